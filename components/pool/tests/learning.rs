//! Guards against a table that grows with callers' texts, slow reclassification, and retries
//! beyond the budget.

use std::time::{Duration, Instant};

use pool::retry::Budget;
use pool::shape::{SHAPES_MAX, Table};
use pool::{Key, Shape};

const THRESHOLD: Duration = ms(50);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn the_table_is_bounded_and_keeps_what_runs_often() {
    let mut table = Table::default();
    for key in 0..3 * SHAPES_MAX as u64 {
        table.learn(Key(u64::MAX), ms(2));
        table.learn(Key(key), ms(1));
        assert!(table.len() <= SHAPES_MAX);
    }
    assert!(table.get(Key(u64::MAX)).is_some());
    assert!(table.get(Key(0)).is_none());
}

#[test]
fn a_shape_turns_long_at_once_and_short_again_slowly() {
    let (mut table, key) = (Table::default(), Key(1));
    for _ in 0..100 {
        table.learn(key, ms(2));
    }
    assert!(!table.is_long(key, THRESHOLD));
    table.overrun(key, ms(60));
    assert!(table.is_long(key, THRESHOLD));
    table.learn(key, ms(900));
    let mut runs = 0;
    while table.is_long(key, THRESHOLD) {
        table.learn(key, ms(2));
        runs += 1;
    }
    assert!((20..500).contains(&runs), "{runs}");
}

/// One run in ten is long: the percentile must show it although the mean stays low.
#[test]
fn the_percentile_finds_a_long_tail() {
    let (mut table, key) = (Table::default(), Key(1));
    for run in 0..2_000 {
        table.learn(key, ms(if run % 10 == 0 { 100 } else { 1 }));
    }
    let Shape { mean, p95 } = *table.get(key).unwrap();
    assert!(mean < THRESHOLD, "{mean:?}");
    assert!(p95 >= THRESHOLD, "{p95:?}");
    assert!(table.is_long(key, THRESHOLD));
}

#[test]
fn an_unknown_shape_is_expected_to_be_average() {
    let mut table = Table::default();
    assert_eq!(table.expected(Key(9)), Duration::ZERO);
    table.learn(Key(1), ms(8));
    assert_eq!(table.expected(Key(9)), ms(8));
    assert!(
        !table.is_long(Key(9), Duration::from_nanos(1)),
        "short at first"
    );
}

#[test]
fn retries_stay_within_a_tenth_of_the_requests_of_the_window() {
    let begin = Instant::now();
    let mut budget = Budget::new(Duration::from_secs(10), begin);
    assert!(!budget.spend(begin), "no request, no retry");
    for _ in 0..25 {
        budget.on_request(begin);
    }
    let spent = |budget: &mut Budget, now| (0..100).filter(|_| budget.spend(now)).count();
    assert_eq!(spent(&mut budget.clone(), begin), 2);
    let later = begin + Duration::from_secs(9);
    for _ in 0..20 {
        budget.on_request(later);
    }
    assert_eq!(spent(&mut budget.clone(), later), 4, "45 requests");
    let past = begin + Duration::from_secs(11);
    assert_eq!(spent(&mut budget, past), 2, "20 requests");
    assert_eq!(spent(&mut budget, past), 0, "2 retries");
    let idle = begin + Duration::from_secs(1_000);
    assert_eq!(spent(&mut budget, idle), 0);
    for _ in 0..10 {
        budget.on_request(idle);
    }
    assert_eq!(spent(&mut budget, idle), 1);
}

//! Guards against a table of service times that grows with the variety of statements, against slow
//! reclassification of shapes, and against retries beyond the budget.

use std::time::{Duration, Instant};

use pool::retry::Budget;
use pool::service_time::{MAX_SHAPES, Table};
use pool::{Estimate, Key};

const THRESHOLD: Duration = ms(50);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn table_is_bounded_and_keeps_frequent_shapes() {
    let mut service_times = Table::default();
    for key in 0..3 * MAX_SHAPES as u64 {
        service_times.record(Key(u64::MAX), ms(2));
        service_times.record(Key(key), ms(1));
        assert!(service_times.len() <= MAX_SHAPES);
    }
    assert!(service_times.get(Key(u64::MAX)).is_some());
    assert!(service_times.get(Key(0)).is_none());
}

#[test]
fn shape_becomes_long_at_once_and_short_again_slowly() {
    let (mut service_times, key) = (Table::default(), Key(1));
    for _ in 0..100 {
        service_times.record(key, ms(2));
    }
    assert!(!service_times.is_long(key, THRESHOLD));
    service_times.record_overrun(key, ms(60));
    assert!(service_times.is_long(key, THRESHOLD));
    service_times.record(key, ms(900));
    let mut runs = 0;
    while service_times.is_long(key, THRESHOLD) {
        service_times.record(key, ms(2));
        runs += 1;
    }
    assert!((20..500).contains(&runs), "{runs}");
}

/// If one run in ten is long, the percentile must show it although the mean stays low.
#[test]
fn percentile_detects_a_long_tail() {
    let (mut service_times, key) = (Table::default(), Key(1));
    for run in 0..2_000 {
        service_times.record(key, ms(if run % 10 == 0 { 100 } else { 1 }));
    }
    let Estimate { mean, p95 } = *service_times.get(key).unwrap();
    assert!(mean < THRESHOLD, "{mean:?}");
    assert!(p95 >= THRESHOLD, "{p95:?}");
    assert!(service_times.is_long(key, THRESHOLD));
}

#[test]
fn unknown_shape_is_expected_to_take_the_overall_mean() {
    let mut service_times = Table::default();
    assert_eq!(service_times.expected(Key(9)), Duration::ZERO);
    service_times.record(Key(1), ms(8));
    assert_eq!(service_times.expected(Key(9)), ms(8));
    assert!(
        !service_times.is_long(Key(9), Duration::from_nanos(1)),
        "an unknown shape counts as short"
    );
}

#[test]
fn retries_stay_within_a_tenth_of_the_requests_in_the_window() {
    let start = Instant::now();
    let mut budget = Budget::new(Duration::from_secs(10), start);
    assert!(!budget.try_spend(start), "no retry without requests");
    for _ in 0..25 {
        budget.on_request(start);
    }
    let count_retries =
        |budget: &mut Budget, now| (0..100).filter(|_| budget.try_spend(now)).count();
    assert_eq!(count_retries(&mut budget.clone(), start), 2);
    let later = start + Duration::from_secs(9);
    for _ in 0..20 {
        budget.on_request(later);
    }
    assert_eq!(
        count_retries(&mut budget.clone(), later),
        4,
        "45 requests are in the window"
    );
    let after_window = start + Duration::from_secs(11);
    assert_eq!(
        count_retries(&mut budget, after_window),
        2,
        "20 requests are left in the window"
    );
    assert_eq!(
        count_retries(&mut budget, after_window),
        0,
        "both retries are spent"
    );
    let idle = start + Duration::from_secs(1_000);
    assert_eq!(count_retries(&mut budget, idle), 0);
    for _ in 0..10 {
        budget.on_request(idle);
    }
    assert_eq!(count_retries(&mut budget, idle), 1);
}

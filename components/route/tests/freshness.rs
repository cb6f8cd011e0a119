//! Guards against age bounds below the true age of a replica's data.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use route::Positions;
use route::freshness::MAX_OBSERVATIONS;
use types::{Lsn, Point, Term};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const fn point(term: u64, lsn: u64) -> Point {
    Point {
        term: Term(term),
        lsn: Lsn(lsn),
    }
}

/// Guards against replicas that seem to age although the primary is idle.
#[test]
fn replicas_of_an_idle_primary_stay_young() {
    let (mut positions, start) = (Positions::default(), Instant::now());
    let lease_deadline = start + ms(10_000);
    positions.observe(point(1, 50), start, lease_deadline);
    positions.observe(point(1, 50), start + ms(900), lease_deadline);
    assert_eq!(
        positions.age_bound(point(1, 50), start + ms(1_000)),
        Some(ms(100))
    );
    assert_eq!(positions.age_bound(point(1, 49), start + ms(1_000)), None);
    positions.observe(point(1, 60), start + ms(500), lease_deadline);
    assert_eq!(
        positions.age_bound(point(1, 60), start + ms(1_000)),
        Some(ms(100))
    );
    assert_eq!(positions.len(), 1, "a delayed reply adds nothing");
}

/// Guards against age bounds by a primary that another one may have replaced.
#[test]
fn ignores_observations_after_the_lease_and_of_older_terms() {
    let (mut positions, start) = (Positions::default(), Instant::now());
    positions.observe(point(1, 50), start, start + ms(100));
    positions.observe(point(1, 60), start + ms(100), start + ms(100));
    assert_eq!(positions.last_position(), Some(point(1, 50)));
    let lease_deadline = start + ms(10_000);
    positions.observe(point(2, 55), start + ms(200), lease_deadline);
    positions.observe(point(1, 99), start + ms(300), lease_deadline);
    assert_eq!(
        (positions.last_position(), positions.len()),
        (Some(point(2, 55)), 1)
    );
    assert_eq!(positions.age_bound(point(1, 99), start + ms(300)), None);
}

/// Guards against unbounded memory use and against coarse bounds of recent ages.
#[test]
fn long_histories_stay_bounded_with_exact_recent_ages() {
    let (mut positions, start) = (Positions::default(), Instant::now());
    let mut now = start;
    for lsn in 0..100_000 {
        positions.observe(point(1, lsn), now, now + ms(1_000));
        assert!(positions.len() <= MAX_OBSERVATIONS);
        if lsn >= 20 {
            assert_eq!(
                positions.age_bound(point(1, lsn - 20), now),
                Some(ms(2_000))
            );
        }
        now += ms(100);
    }
    // The bounds get coarser with age but still exist.
    let age = positions.age_bound(point(1, 99_700), now).unwrap();
    assert!(age >= ms(30_000), "{age:?}");
    assert!(positions.age_bound(point(1, 0), now).is_some());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(13), failure_persistence: None, ..ProptestConfig::with_cases(256)
    })]

    /// The primary writes at known instants, and its replies are delayed and out of order. A
    /// replica at `lsn` lacks the next write, so the age of its data is the time since that write.
    #[test]
    fn age_bound_is_never_below_the_true_age(
        gaps in prop::collection::vec(1..50_u64, 2..200),
        probes in prop::collection::vec((any::<prop::sample::Index>(), 0..400_u64), 1..300),
    ) {
        let start = Instant::now();
        let mut writes = vec![start];
        for gap in &gaps {
            writes.push(writes[writes.len() - 1] + ms(*gap));
        }
        let end = writes[writes.len() - 1] + ms(10);
        let mut positions = Positions::default();
        for (index, delay) in probes {
            let requested_at = writes[index.index(writes.len())];
            let replied_at = requested_at + ms(delay);
            let lsn = writes.partition_point(|at| *at <= replied_at) - 1;
            positions.observe(point(1, lsn as u64), requested_at, end + ms(1_000));
        }
        for lsn in 0..writes.len() - 1 {
            let missing_write_at = writes[lsn + 1];
            if let Some(age) = positions.age_bound(point(1, lsn as u64), end) {
                prop_assert!(end - missing_write_at <= age);
            }
        }
    }
}

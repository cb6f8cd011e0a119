//! Guards against taking a replica's data for younger than it is.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use route::Track;
use route::freshness::OBSERVATIONS_MAX;
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

#[test]
fn an_idle_primary_keeps_its_replicas_young() {
    let (mut track, start) = (Track::default(), Instant::now());
    let lease = start + ms(10_000);
    track.observe(point(1, 50), start, lease);
    track.observe(point(1, 50), start + ms(900), lease);
    assert_eq!(track.age(point(1, 50), start + ms(1_000)), Some(ms(100)));
    assert_eq!(track.age(point(1, 49), start + ms(1_000)), None);
    track.observe(point(1, 60), start + ms(500), lease);
    assert_eq!(track.age(point(1, 60), start + ms(1_000)), Some(ms(100)));
    assert_eq!(track.len(), 1, "a late answer adds nothing");
}

/// Guards against dating by a primary that another one may have replaced.
#[test]
fn observations_beyond_the_lease_and_of_older_terms_do_not_count() {
    let (mut track, start) = (Track::default(), Instant::now());
    track.observe(point(1, 50), start, start + ms(100));
    track.observe(point(1, 60), start + ms(100), start + ms(100));
    assert_eq!(track.last(), Some(point(1, 50)));
    let lease = start + ms(10_000);
    track.observe(point(2, 55), start + ms(200), lease);
    track.observe(point(1, 99), start + ms(300), lease);
    assert_eq!((track.last(), track.len()), (Some(point(2, 55)), 1));
    assert_eq!(track.age(point(1, 99), start + ms(300)), None);
}

#[test]
fn hours_of_observations_stay_bounded_and_recent_ages_exact() {
    let (mut track, start) = (Track::default(), Instant::now());
    let mut now = start;
    for lsn in 0..100_000 {
        track.observe(point(1, lsn), now, now + ms(1_000));
        assert!(track.len() <= OBSERVATIONS_MAX);
        if lsn >= 20 {
            assert_eq!(track.age(point(1, lsn - 20), now), Some(ms(2_000)));
        }
        now += ms(100);
    }
    // The older an age, the coarser its bound, but there is one.
    let age = track.age(point(1, 99_700), now).unwrap();
    assert!(age >= ms(30_000), "{age:?}");
    assert!(track.age(point(1, 0), now).is_some());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(13), failure_persistence: None, ..ProptestConfig::with_cases(256)
    })]

    /// The primary writes at known instants and answers late and out of order. A replica at `lsn`
    /// lacks the next write, so that its data is at most as old as the time since that write.
    #[test]
    fn the_bound_is_never_below_the_true_age(
        gaps in prop::collection::vec(1..50_u64, 2..200),
        probes in prop::collection::vec((any::<prop::sample::Index>(), 0..400_u64), 1..300),
    ) {
        let start = Instant::now();
        let mut writes = vec![start];
        for gap in &gaps {
            writes.push(writes[writes.len() - 1] + ms(*gap));
        }
        let end = writes[writes.len() - 1] + ms(10);
        let mut track = Track::default();
        for (index, delay) in probes {
            let asked = writes[index.index(writes.len())];
            let answered = asked + ms(delay);
            let lsn = writes.partition_point(|at| *at <= answered) - 1;
            track.observe(point(1, lsn as u64), asked, end + ms(1_000));
        }
        for lsn in 0..writes.len() - 1 {
            let missing = writes[lsn + 1];
            if let Some(age) = track.age(point(1, lsn as u64), end) {
                prop_assert!(end - missing <= age);
            }
        }
    }
}

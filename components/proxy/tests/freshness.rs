//! Positions that reads have to see.

use std::time::Duration;

use clock::Moment;
use proxy::freshness::{Track, needed};
use registry::Sample;
use registry::plan::Freshness;
use rstest::rstest;
use types::{Lsn, Point, Term};

fn at(ms: u64) -> Moment {
    Moment::new(Duration::from_millis(ms))
}

fn point(term: u64, number: u64) -> Point {
    Point {
        term: Term(term),
        lsn: Lsn(number),
    }
}

fn track(samples: &[(u64, u64, u64)]) -> Track {
    let mut track = Track::default();
    for (ms, term, number) in samples {
        let point = point(*term, *number);
        track.observe(Sample { point, at: at(*ms) });
    }
    track
}

/// Position that a read has to see.
fn position(
    freshness: Freshness,
    track: &Track,
    own: Option<Point>,
    arrived: Moment,
) -> Option<Point> {
    let own = own.map(|point| Sample { point, at: at(0) });
    needed(freshness, track, own, arrived).map(|sample| sample.point)
}

const AGED: Freshness = Freshness::Aged(Duration::from_millis(1500));
const SESSION: Freshness = Freshness::Session(Duration::from_millis(1500));

#[test]
fn sends_latest_reads_to_the_primary() {
    let track = track(&[(1000, 1, 5)]);
    assert_eq!(position(Freshness::Latest, &track, None, at(1000)), None);
}

// A sample that is older than the read accepts says nothing of commits in between.
#[rstest]
#[case::young(2400, Some(point(1, 5)))]
#[case::just_so(2500, Some(point(1, 5)))]
#[case::old(2501, None)]
fn uses_samples_within_the_accepted_age(#[case] arrived: u64, #[case] expected: Option<Point>) {
    let track = track(&[(1000, 1, 5)]);
    assert_eq!(position(AGED, &track, None, at(arrived)), expected);
}

// A lagging replica can serve a read that accepts its lag: naming the latest position sent such
// reads to the primary, which overflowed.
#[test]
fn names_the_oldest_position_that_is_accepted() {
    let track = track(&[(1000, 1, 5), (2000, 1, 6), (3000, 1, 7)]);
    assert_eq!(position(AGED, &track, None, at(3200)), Some(point(1, 6)));
}

// A session sees its own commit, however old the data is that it accepts of others.
#[rstest]
#[case::own_is_later(point(1, 9), point(1, 9))]
#[case::own_is_covered(point(1, 4), point(1, 6))]
#[case::own_of_a_later_term(point(2, 1), point(2, 1))]
#[case::own_of_an_earlier_term(point(0, 99), point(1, 6))]
fn covers_the_sessions_commits(#[case] own: Point, #[case] expected: Point) {
    let track = track(&[(1000, 1, 5), (2000, 1, 6)]);
    assert_eq!(
        position(SESSION, &track, Some(own), at(3000)),
        Some(expected)
    );
}

#[test]
fn ignores_own_commits_where_the_route_does_not_ask_for_them() {
    let track = track(&[(1000, 1, 5)]);
    let own = Some(point(1, 9));
    assert_eq!(position(AGED, &track, own, at(1000)), Some(point(1, 5)));
}

// The old primary's last positions may have been rolled back: no log would ever hold them.
#[test]
fn forgets_positions_of_an_earlier_term() {
    let track = track(&[(1000, 1, 107), (1500, 2, 80)]);
    assert_eq!(position(AGED, &track, None, at(1600)), Some(point(2, 80)));
}

// An answer of the old primary that arrives late must not take the place of the new one's.
#[test]
fn ignores_samples_of_an_earlier_term() {
    let track = track(&[(1000, 2, 80), (1500, 1, 107)]);
    assert_eq!(position(AGED, &track, None, at(1600)), Some(point(2, 80)));
}

// The clock counts the time that a machine is suspended, so that a sample from before is too old.
#[test]
fn counts_suspended_time() {
    let track = track(&[(1000, 1, 5)]);
    assert_eq!(position(SESSION, &track, None, at(6000)), None);
}

#[test]
fn bounds_what_it_keeps() {
    let samples: Vec<_> = (0..100_000).map(|n| (n, 1, n)).collect();
    let track = track(&samples);
    let text = format!("{track:?}");
    assert!(text.matches("Sample").count() < 1000);
    assert_eq!(track.latest().unwrap().point, point(1, 99_999));
}

// The lag tells whether a replica is worth a try: from the first sample that its log lacks.
#[rstest]
#[case::level(point(1, 7), Some(0))]
#[case::lacks_the_last(point(1, 6), Some(200))]
#[case::lacks_all(point(1, 4), Some(2200))]
#[case::other_term(point(0, 9), None)]
fn tells_lag(#[case] end: Point, #[case] expected: Option<u64>) {
    let track = track(&[(1000, 1, 5), (2000, 1, 6), (3000, 1, 7)]);
    let expected = expected.map(Duration::from_millis);
    assert_eq!(track.lag(end, at(3200)), expected);
}

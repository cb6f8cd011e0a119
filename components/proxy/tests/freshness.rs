//! Positions that servers must have reached to serve a read.

use std::time::Duration;

use clock::Moment;
use proxy::freshness::{History, required_sample};
use registry::Sample;
use registry::plan::Freshness;
use rstest::rstest;
use types::{Lsn, Point, Term};

fn at(ms: u64) -> Moment {
    Moment::new(Duration::from_millis(ms))
}

fn point(term: u64, lsn: u64) -> Point {
    Point {
        term: Term(term),
        lsn: Lsn(lsn),
    }
}

fn history(samples: &[(u64, u64, u64)]) -> History {
    let mut history = History::default();
    for (ms, term, lsn) in samples {
        let point = point(*term, *lsn);
        history.observe(Sample { point, at: at(*ms) });
    }
    history
}

/// Position that a server must have reached.
fn position(
    freshness: Freshness,
    history: &History,
    last_commit: Option<Point>,
    received_at: Moment,
) -> Option<Point> {
    let last_commit = last_commit.map(|point| Sample { point, at: at(0) });
    required_sample(freshness, history, last_commit, received_at).map(|sample| sample.point)
}

const AGED: Freshness = Freshness::Aged(Duration::from_millis(1500));
const SESSION: Freshness = Freshness::Session(Duration::from_millis(1500));

#[test]
fn sends_latest_reads_to_the_primary() {
    let history = history(&[(1000, 1, 5)]);
    assert_eq!(position(Freshness::Latest, &history, None, at(1000)), None);
}

// A sample older than the read accepts must not be used, as it misses later commits.
#[rstest]
#[case::recent(2400, Some(point(1, 5)))]
#[case::at_the_limit(2500, Some(point(1, 5)))]
#[case::too_old(2501, None)]
fn uses_samples_within_the_accepted_age(#[case] received_ms: u64, #[case] expected: Option<Point>) {
    let history = history(&[(1000, 1, 5)]);
    assert_eq!(position(AGED, &history, None, at(received_ms)), expected);
}

// With the latest position as the requirement, lagging replicas refused reads that accept their
// lag, which then overloaded the primary.
#[test]
fn requires_the_oldest_acceptable_position() {
    let history = history(&[(1000, 1, 5), (2000, 1, 6), (3000, 1, 7)]);
    assert_eq!(position(AGED, &history, None, at(3200)), Some(point(1, 6)));
}

// A session must see its own commits, however old the other data may be.
#[rstest]
#[case::commit_is_later(point(1, 9), point(1, 9))]
#[case::commit_is_earlier(point(1, 4), point(1, 6))]
#[case::commit_of_a_later_term(point(2, 1), point(2, 1))]
#[case::commit_of_an_earlier_term(point(0, 99), point(1, 6))]
fn requires_the_sessions_own_commits(#[case] last_commit: Point, #[case] expected: Point) {
    let history = history(&[(1000, 1, 5), (2000, 1, 6)]);
    assert_eq!(
        position(SESSION, &history, Some(last_commit), at(3000)),
        Some(expected)
    );
}

#[test]
fn ignores_own_commits_if_the_route_accepts_aged_reads() {
    let history = history(&[(1000, 1, 5)]);
    let last_commit = Some(point(1, 9));
    assert_eq!(
        position(AGED, &history, last_commit, at(1000)),
        Some(point(1, 5))
    );
}

// The old primary's last positions may have been rolled back, and then no log ever reaches them.
#[test]
fn forgets_positions_of_an_earlier_term() {
    let history = history(&[(1000, 1, 107), (1500, 2, 80)]);
    assert_eq!(position(AGED, &history, None, at(1600)), Some(point(2, 80)));
}

// A late answer of the old primary must not replace a sample of the new one.
#[test]
fn ignores_samples_of_an_earlier_term() {
    let history = history(&[(1000, 2, 80), (1500, 1, 107)]);
    assert_eq!(position(AGED, &history, None, at(1600)), Some(point(2, 80)));
}

// The clock includes the time that a machine is suspended, so a sample from before must count as
// too old.
#[test]
fn counts_time_while_suspended() {
    let history = history(&[(1000, 1, 5)]);
    assert_eq!(position(SESSION, &history, None, at(6000)), None);
}

#[test]
fn bounds_the_number_of_samples() {
    let samples: Vec<_> = (0..100_000).map(|ms| (ms, 1, ms)).collect();
    let history = history(&samples);
    let text = format!("{history:?}");
    assert!(text.matches("Sample").count() < 1000);
    assert_eq!(history.latest().unwrap().point, point(1, 99_999));
}

// The lag must be measured from the first sample that the replica's log lacks.
#[rstest]
#[case::no_lag(point(1, 7), Some(0))]
#[case::lacks_the_last(point(1, 6), Some(200))]
#[case::lacks_all(point(1, 4), Some(2200))]
#[case::other_term(point(0, 9), None)]
fn measures_lag_from_the_first_missing_sample(#[case] end: Point, #[case] expected: Option<u64>) {
    let history = history(&[(1000, 1, 5), (2000, 1, 6), (3000, 1, 7)]);
    let expected = expected.map(Duration::from_millis);
    assert_eq!(history.lag(end, at(3200)), expected);
}

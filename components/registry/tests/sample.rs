//! Positions of primaries as processes pass them on.

use std::time::Duration;

use clock::Moment;
use registry::Sample;
use rstest::rstest;
use types::{Lsn, Point, Term};

fn moment(ms: u64) -> Moment {
    Moment::new(Duration::from_millis(ms))
}

// A sample that looked younger than it is would let a replica serve a read staler than accepted. The
// clocks of two processes have nothing in common, and either message may take any time.
#[rstest]
#[case::prompt(0, 0)]
#[case::slow_question(900, 0)]
#[case::slow_answer(0, 5000)]
fn never_looks_younger(#[case] question_ms: u64, #[case] answer_ms: u64) {
    // The teller's clock is 70 s ahead of the hearer's.
    let skew = 70_000;
    let taken = 1_000;
    let sample = Sample {
        point: Point {
            term: Term(3),
            lsn: Lsn(8),
        },
        at: moment(taken + skew),
    };
    let asked = 1_300;
    let told = sample.told("orders", moment(asked + question_ms + skew));
    let heard = Sample::heard(&told, moment(asked));
    assert_eq!(heard.point, sample.point);
    assert!(
        heard.at <= moment(taken),
        "{heard:?}, heard after {answer_ms} ms"
    );
}

// An age beyond what the message can carry is told as the longest one.
#[test]
fn survives_an_age_out_of_range() {
    let sample = Sample {
        point: Point {
            term: Term(1),
            lsn: Lsn(1),
        },
        at: moment(0),
    };
    let told = sample.told("orders", moment(u64::from(u32::MAX) * 3));
    assert_eq!(told.age_ms, u32::MAX);
}

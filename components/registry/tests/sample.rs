//! Guards against samples that look younger than they are after their exchange between processes.

use std::time::Duration;

use clock::Moment;
use registry::Sample;
use rstest::rstest;
use types::{Lsn, Point, Term};

fn moment(ms: u64) -> Moment {
    Moment::new(Duration::from_millis(ms))
}

// A sample that looks younger than it is lets a replica serve reads that are staler than accepted.
// The clocks of two processes are unrelated, and each message may be delayed arbitrarily.
#[rstest]
#[case::prompt(0, 0)]
#[case::slow_request(900, 0)]
#[case::slow_reply(0, 5000)]
fn decoded_sample_never_looks_younger(#[case] request_ms: u64, #[case] reply_ms: u64) {
    // The sender's clock is 70 s ahead of the receiver's.
    let skew_ms = 70_000;
    let sampled_at_ms = 1_000;
    let sample = Sample {
        point: Point {
            term: Term(3),
            lsn: Lsn(8),
        },
        at: moment(sampled_at_ms + skew_ms),
    };
    let requested_at_ms = 1_300;
    let raw = sample.to_wire("orders", moment(requested_at_ms + request_ms + skew_ms));
    let decoded = Sample::from_wire(&raw, moment(requested_at_ms));
    assert_eq!(decoded.point, sample.point);
    assert!(
        decoded.at <= moment(sampled_at_ms),
        "{decoded:?}, received after {reply_ms} ms"
    );
}

// An age that overflows the message field must not wrap to a small one.
#[test]
fn saturates_an_age_out_of_range() {
    let sample = Sample {
        point: Point {
            term: Term(1),
            lsn: Lsn(1),
        },
        at: moment(0),
    };
    let raw = sample.to_wire("orders", moment(u64::from(u32::MAX) * 3));
    assert_eq!(raw.age_ms, u32::MAX);
}

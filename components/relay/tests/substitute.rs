//! Guards statements that the entry puts in place of the caller's: the caller sees the completion
//! of its own statement, and the target's error if the substitute fails.

use bytes::BytesMut;
use pg::{Frame, Severity, Status};
use relay::statement::Prepared;
use relay::{Exchange, Progress};

fn answer(exchange: &mut Exchange, bytes: &[u8], out: &mut BytesMut) -> Progress {
    let frame = Frame::first(bytes, 1 << 16).unwrap().unwrap();
    exchange
        .answer(frame, &mut Prepared::default(), out)
        .unwrap()
}

fn complete(tag: &str) -> BytesMut {
    let mut out = BytesMut::new();
    pg::complete(&mut out, tag);
    out
}

fn ready(status: Status) -> BytesMut {
    let mut out = BytesMut::new();
    pg::ready(&mut out, status);
    out
}

fn duplicate() -> BytesMut {
    let mut out = BytesMut::new();
    pg::error(&mut out, Severity::Error, "23505", "duplicate key");
    out
}

fn substituted() -> Exchange {
    let mut exchange = Exchange::default();
    exchange.substitute(
        "INSERT INTO t VALUES (1)",
        pg::SET_COMPLETE,
        &mut BytesMut::new(),
    );
    exchange
}

#[test]
fn the_completion_is_that_of_the_callers_statement() {
    let (mut exchange, mut out) = (substituted(), BytesMut::new());
    assert_eq!(
        answer(&mut exchange, &complete("INSERT 0 1"), &mut out),
        Progress::Pending
    );
    assert_eq!(
        answer(&mut exchange, &ready(Status::Open), &mut out),
        Progress::Done
    );
    assert_eq!(out, [complete("SET"), ready(Status::Open)].concat());
}

#[test]
fn an_error_of_the_substitute_reaches_the_caller() {
    let (mut exchange, mut out) = (substituted(), BytesMut::new());
    assert_eq!(
        answer(&mut exchange, &duplicate(), &mut out),
        Progress::Pending
    );
    assert_eq!(
        answer(&mut exchange, &ready(Status::Failed), &mut out),
        Progress::Done
    );
    assert_eq!(out, [duplicate(), ready(Status::Failed)].concat());
    assert!(exchange.failed());
}

/// An error earlier in a transaction must not count for its COMMIT: the answer of a COMMIT that
/// succeeded would then be passed on without its position.
#[test]
fn a_new_batch_forgets_the_error_of_the_last_one() {
    let mut exchange = substituted();
    answer(&mut exchange, &duplicate(), &mut BytesMut::new());
    answer(&mut exchange, &ready(Status::Open), &mut BytesMut::new());
    exchange.begin();
    assert!(!exchange.failed());
}

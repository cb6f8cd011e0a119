//! Guards against wrong answers to a statement that the entry sends in place of the caller's: the
//! caller must get the completion of its own statement, or the target's error if the substitute
//! fails.

use bytes::BytesMut;
use pg::{Frame, Severity, Status};
use relay::statement::Cache;
use relay::{Exchange, Progress};

fn answer(exchange: &mut Exchange, bytes: &[u8], out: &mut BytesMut) -> Progress {
    let frame = Frame::first(bytes, 1 << 16).unwrap().unwrap();
    exchange.answer(frame, &mut Cache::default(), out).unwrap()
}

fn command_complete(tag: &str) -> BytesMut {
    let mut out = BytesMut::new();
    pg::command_complete(&mut out, tag);
    out
}

fn ready_for_query(status: Status) -> BytesMut {
    let mut out = BytesMut::new();
    pg::ready_for_query(&mut out, status);
    out
}

fn duplicate_key_error() -> BytesMut {
    let mut out = BytesMut::new();
    pg::error_response(&mut out, Severity::Error, "23505", "duplicate key");
    out
}

fn exchange_with_substitute() -> Exchange {
    let mut exchange = Exchange::default();
    exchange.substitute(
        "INSERT INTO t VALUES (1)",
        pg::SET_COMPLETE,
        &mut BytesMut::new(),
    );
    exchange
}

#[test]
fn caller_gets_the_completion_of_its_own_statement() {
    let (mut exchange, mut out) = (exchange_with_substitute(), BytesMut::new());
    assert_eq!(
        answer(&mut exchange, &command_complete("INSERT 0 1"), &mut out),
        Progress::Pending
    );
    assert_eq!(
        answer(&mut exchange, &ready_for_query(Status::Open), &mut out),
        Progress::Done
    );
    assert_eq!(
        out,
        [command_complete("SET"), ready_for_query(Status::Open)].concat()
    );
}

#[test]
fn caller_gets_the_error_of_the_substitute() {
    let (mut exchange, mut out) = (exchange_with_substitute(), BytesMut::new());
    assert_eq!(
        answer(&mut exchange, &duplicate_key_error(), &mut out),
        Progress::Pending
    );
    assert_eq!(
        answer(&mut exchange, &ready_for_query(Status::Failed), &mut out),
        Progress::Done
    );
    assert_eq!(
        out,
        [duplicate_key_error(), ready_for_query(Status::Failed)].concat()
    );
    assert!(exchange.failed());
}

/// Guards against an error earlier in a transaction that counts for its COMMIT: the answer of a
/// successful COMMIT would then be forwarded without its position.
#[test]
fn new_batch_resets_the_error_of_the_previous_one() {
    let mut exchange = exchange_with_substitute();
    answer(&mut exchange, &duplicate_key_error(), &mut BytesMut::new());
    answer(
        &mut exchange,
        &ready_for_query(Status::Open),
        &mut BytesMut::new(),
    );
    exchange.begin_batch();
    assert!(!exchange.failed());
}

//! Guards against answers that are matched to the wrong request: a caller must get byte for byte the
//! answers of a connection of its own, whatever the entry adds on the shared one.

mod model;

use bytes::BytesMut;
use model::{STATEMENT_TEXTS, Server};
use pg::{Frame, Frames, Status};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use relay::statement::{Cache, Names, Table};
use relay::{Exchange, Failure, Progress};

const OBJECT_NAMES: [&str; 3] = ["", "a", "b"];

#[derive(Clone, Debug)]
enum Request {
    Parse(usize, usize),
    Bind(usize, usize),
    DescribeStatement(usize),
    DescribePortal(usize),
    Execute(usize),
    CloseStatement(usize),
    ClosePortal(usize),
}

#[derive(Clone, Debug)]
enum End {
    Sync,
    Flush,
    Query(usize),
}

#[derive(Clone, Debug)]
struct Batch {
    requests: Vec<Request>,
    end: End,
    /// Whether completions are held back and the position query follows.
    holds_completions: bool,
    /// Whether setup statements of the entry go first.
    has_setup: bool,
}

fn any_request() -> impl Strategy<Value = Request> {
    let name = || 0..OBJECT_NAMES.len();
    prop_oneof![
        3 => (name(), 0..STATEMENT_TEXTS.len()).prop_map(|(name, text)| Request::Parse(name, text)),
        3 => (name(), name()).prop_map(|(portal, name)| Request::Bind(portal, name)),
        1 => name().prop_map(Request::DescribeStatement),
        1 => name().prop_map(Request::DescribePortal),
        3 => name().prop_map(Request::Execute),
        1 => name().prop_map(Request::CloseStatement),
        1 => name().prop_map(Request::ClosePortal),
    ]
}

fn any_batch() -> impl Strategy<Value = Batch> {
    let end = prop_oneof![
        4 => Just(End::Sync),
        1 => Just(End::Flush),
        2 => (0..=STATEMENT_TEXTS.len()).prop_map(End::Query),
    ];
    let requests = prop::collection::vec(any_request(), 0..6);
    (requests, end, any::<bool>(), any::<bool>()).prop_map(
        |(requests, end, holds_completions, has_setup)| Batch {
            requests,
            end,
            holds_completions,
            has_setup,
        },
    )
}

fn put_object_message(out: &mut BytesMut, tag: u8, kind: u8, name: usize) {
    let body = [&[kind], OBJECT_NAMES[name].as_bytes(), b"\0"].concat();
    out.extend_from_slice(&[tag]);
    out.extend_from_slice(&i32::try_from(body.len() + 4).unwrap().to_be_bytes());
    out.extend_from_slice(&body);
}

impl Batch {
    fn encode(&self) -> BytesMut {
        let mut out = BytesMut::new();
        let name = |index: &usize| OBJECT_NAMES[*index].as_bytes();
        for request in &self.requests {
            match request {
                Request::Parse(index, text) => {
                    pg::parse(
                        &mut out,
                        name(index),
                        STATEMENT_TEXTS[*text].as_bytes(),
                        &[0, 0],
                    );
                }
                Request::Bind(portal, index) => {
                    pg::bind(&mut out, name(portal), name(index), &[0, 0, 0, 0, 0, 0]);
                }
                Request::DescribeStatement(index) => {
                    put_object_message(&mut out, b'D', b'S', *index)
                }
                Request::DescribePortal(index) => put_object_message(&mut out, b'D', b'P', *index),
                Request::CloseStatement(index) => put_object_message(&mut out, b'C', b'S', *index),
                Request::ClosePortal(index) => put_object_message(&mut out, b'C', b'P', *index),
                Request::Execute(index) => {
                    let body = [name(index), &[0, 0, 0, 0, 0]].concat();
                    out.extend_from_slice(b"E");
                    out.extend_from_slice(&i32::try_from(body.len() + 4).unwrap().to_be_bytes());
                    out.extend_from_slice(&body);
                }
            }
        }
        match self.end {
            End::Sync => pg::sync(&mut out),
            End::Flush => out.extend_from_slice(b"H\0\0\0\x04"),
            End::Query(index) => pg::query(
                &mut out,
                STATEMENT_TEXTS.get(index).unwrap_or(&"commit").as_bytes(),
            ),
        }
        out
    }
}

/// The state that the entry keeps for a caller and a target connection, with the target's server.
#[derive(Debug, Default)]
struct Entry {
    names: Names,
    table: Table,
    prepared: Cache,
    exchange: Option<Exchange>,
    server: Server,
}

impl Entry {
    /// Runs a batch and returns the answers that the caller gets. The target's answers arrive in
    /// chunks of the given lengths, repeated.
    fn run_batch(&mut self, batch: &Batch, chunk_lengths: &[usize]) -> Result<BytesMut, Failure> {
        let (mut caller, mut target, mut answers) = Default::default();
        let mut exchange = self.exchange.take().unwrap_or_default();
        exchange.begin_batch();
        if batch.has_setup && exchange.status() == Status::Idle && !exchange.is_unsynced() {
            exchange.set_up("SET x = 1", &mut target);
        }
        for frame in Frames::new(&batch.encode(), usize::MAX) {
            exchange.request(
                frame?,
                &mut self.names,
                &mut self.table,
                &mut self.prepared,
                &mut target,
            )?;
        }
        if batch.holds_completions && !matches!(batch.end, End::Flush) && !exchange.is_skipping() {
            exchange.hold_completions();
            exchange.query_position(&mut target);
        }
        exchange.emit_generated(&mut caller)?;
        self.server.answer(&target, &mut answers);
        self.feed(&mut exchange, &answers, chunk_lengths, &mut caller)?;
        assert!(exchange.is_done(), "an answer is missing: {exchange:?}");
        caller.extend_from_slice(&exchange.take_held());
        exchange.settle_names(&mut self.names, &mut self.table);
        if exchange.status() != Status::Idle || exchange.is_unsynced() {
            self.exchange = Some(exchange);
        }
        Ok(caller)
    }

    fn feed(
        &mut self,
        exchange: &mut Exchange,
        answers: &[u8],
        chunk_lengths: &[usize],
        caller: &mut BytesMut,
    ) -> Result<(), Failure> {
        let mut inbox = BytesMut::new();
        let mut chunk_lengths = chunk_lengths.iter().cycle();
        let mut rest = answers;
        while !rest.is_empty() {
            let length = chunk_lengths
                .next()
                .map_or(rest.len(), |length| (*length).min(rest.len()));
            inbox.extend_from_slice(&rest[..length]);
            rest = &rest[length..];
            let mut frames = Frames::new(&inbox, usize::MAX);
            for frame in frames.by_ref() {
                exchange.answer(frame?, &mut self.prepared, caller)?;
            }
            let consumed = frames.consumed();
            let _taken = inbox.split_to(consumed);
        }
        Ok(())
    }
}

fn config() -> Config {
    Config {
        cases: 2_000,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_240_918),
        failure_persistence: None,
        ..Config::default()
    }
}

fn tags(bytes: &[u8]) -> String {
    let frames = Frames::new(bytes, usize::MAX);
    frames.map(|frame| char::from(frame.unwrap().tag)).collect()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn caller_gets_the_answers_of_its_own_connection(
        batches in prop::collection::vec(any_batch(), 1..8),
        chunk_lengths in prop::collection::vec(1..40_usize, 1..6),
    ) {
        let mut direct = Server::default();
        let mut entry = Entry::default();
        for (index, batch) in batches.iter().enumerate() {
            let mut expected = BytesMut::new();
            direct.answer(&batch.encode(), &mut expected);
            let actual = entry.run_batch(batch, &chunk_lengths).unwrap();
            prop_assert_eq!(tags(&actual), tags(&expected), "batch {}: {:?}", index, batch);
            prop_assert_eq!(&actual, &expected, "batch {}: {:?}", index, batch);
        }
    }

    /// Guards against a late answer that reaches another caller: it must end the connection.
    #[test]
    fn unsolicited_answer_is_a_failure(
        batch in any_batch(),
        tag in prop::sample::select(b"123CDEIKRTVWZnst".to_vec()),
    ) {
        let mut entry = Entry::default();
        entry.run_batch(&batch, &[]).unwrap();
        let mut exchange = entry.exchange.take().unwrap_or_default();
        let raw = [tag, 0, 0, 0, 5, b'I'];
        let frame = Frame::first(&raw, 100).unwrap().unwrap();
        let mut caller = BytesMut::new();
        let result = exchange.answer(frame, &mut entry.prepared, &mut caller);
        prop_assert!(result.is_err(), "{:?}", result);
        prop_assert!(caller.is_empty());
    }

    /// Guards against an answer that belongs to another request, which shows in its type.
    #[test]
    fn answer_of_an_unexpected_type_is_a_failure(
        request in any_request(),
        tag in prop::sample::select(b"123CDEIKRTVWZnst".to_vec()),
    ) {
        let batch = Batch { requests: vec![request], end: End::Sync, holds_completions: false, has_setup: false };
        let mut entry = Entry::default();
        let (mut exchange, mut target) = (Exchange::default(), BytesMut::new());
        for frame in Frames::new(&batch.encode(), usize::MAX) {
            let result = exchange.request(
                frame.unwrap(), &mut entry.names, &mut entry.table, &mut entry.prepared, &mut target,
            );
            prop_assert!(result.is_ok());
        }
        let mut caller = BytesMut::new();
        exchange.emit_generated(&mut caller).unwrap();
        caller.clear();
        let expected_tags: &[u8] = match &batch.requests[0] {
            Request::Parse(..) => b"1",
            Request::Bind(..) => b"2",
            Request::DescribeStatement(_) | Request::DescribePortal(_) => b"tTn",
            Request::Execute(_) => b"DCIs",
            // The entry has answered the Close; only the Sync is outstanding.
            Request::CloseStatement(_) => b"Z",
            Request::ClosePortal(_) => b"3",
        };
        prop_assume!(!expected_tags.contains(&tag) && tag != b'E');
        let raw = [tag, 0, 0, 0, 5, b'I'];
        let frame = Frame::first(&raw, 100).unwrap().unwrap();
        let result = exchange.answer(frame, &mut entry.prepared, &mut caller);
        prop_assert!(matches!(result, Err(Failure::Unexpected(_))), "{:?}", result);
        prop_assert!(caller.is_empty());
    }
}

/// Guards against an exchange that is done before its last answer: its connection would be reused
/// while an answer is still on its way.
#[test]
fn exchange_is_done_with_its_last_answer_only() {
    let mut entry = Entry::default();
    let (mut exchange, mut target) = (Exchange::default(), BytesMut::new());
    let mut query = BytesMut::new();
    pg::query(&mut query, b"rows 2");
    let frame = Frame::first(&query, 100).unwrap().unwrap();
    let result = exchange.request(
        frame,
        &mut entry.names,
        &mut entry.table,
        &mut entry.prepared,
        &mut target,
    );
    assert_eq!(result, Ok(()));
    exchange.hold_completions();
    exchange.query_position(&mut target);
    let (mut answers, mut caller) = (BytesMut::new(), BytesMut::new());
    entry.server.answer(&target, &mut answers);
    let frames: Vec<_> = Frames::new(&answers, usize::MAX)
        .map(Result::unwrap)
        .collect();
    let (last, preceding) = frames.split_last().unwrap();
    for frame in preceding {
        let progress = exchange.answer(*frame, &mut entry.prepared, &mut caller);
        assert_eq!(progress, Ok(Progress::Pending));
    }
    assert_eq!(tags(&caller), "TDD", "the completion is held back");
    let progress = exchange.answer(*last, &mut entry.prepared, &mut caller);
    assert_eq!(progress, Ok(Progress::Done));
    assert_eq!(tags(&exchange.take_held()), "CZ");
    assert!(exchange.position().is_some());
}

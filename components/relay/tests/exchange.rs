//! Guards against answers that reach the wrong request: a caller must get byte for byte what a
//! connection of its own would have given, whatever the entry adds on the shared one.

mod model;

use bytes::BytesMut;
use model::{Server, TEXTS};
use pg::{Frame, Frames, Status};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use relay::statement::{Names, Prepared, Table};
use relay::{Exchange, Failure, Progress};

const NAMES: [&str; 3] = ["", "a", "b"];

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
    /// The answer is held back and followed by the position query.
    holds: bool,
    /// Statements of the entry's own go first.
    sets_up: bool,
}

fn request() -> impl Strategy<Value = Request> {
    let name = || 0..NAMES.len();
    prop_oneof![
        3 => (name(), 0..TEXTS.len()).prop_map(|(name, text)| Request::Parse(name, text)),
        3 => (name(), name()).prop_map(|(portal, name)| Request::Bind(portal, name)),
        1 => name().prop_map(Request::DescribeStatement),
        1 => name().prop_map(Request::DescribePortal),
        3 => name().prop_map(Request::Execute),
        1 => name().prop_map(Request::CloseStatement),
        1 => name().prop_map(Request::ClosePortal),
    ]
}

fn batch() -> impl Strategy<Value = Batch> {
    let end = prop_oneof![
        4 => Just(End::Sync),
        1 => Just(End::Flush),
        2 => (0..=TEXTS.len()).prop_map(End::Query),
    ];
    let requests = prop::collection::vec(request(), 0..6);
    (requests, end, any::<bool>(), any::<bool>()).prop_map(|(requests, end, holds, sets_up)| {
        Batch {
            requests,
            end,
            holds,
            sets_up,
        }
    })
}

fn object(out: &mut BytesMut, tag: u8, kind: u8, name: usize) {
    let body = [&[kind], NAMES[name].as_bytes(), b"\0"].concat();
    out.extend_from_slice(&[tag]);
    out.extend_from_slice(&i32::try_from(body.len() + 4).unwrap().to_be_bytes());
    out.extend_from_slice(&body);
}

impl Batch {
    fn encode(&self) -> BytesMut {
        let mut out = BytesMut::new();
        let name = |at: &usize| NAMES[*at].as_bytes();
        for request in &self.requests {
            match request {
                Request::Parse(at, text) => {
                    pg::parse(&mut out, name(at), TEXTS[*text].as_bytes(), &[0, 0]);
                }
                Request::Bind(portal, at) => {
                    pg::bind(&mut out, name(portal), name(at), &[0, 0, 0, 0, 0, 0]);
                }
                Request::DescribeStatement(at) => object(&mut out, b'D', b'S', *at),
                Request::DescribePortal(at) => object(&mut out, b'D', b'P', *at),
                Request::CloseStatement(at) => object(&mut out, b'C', b'S', *at),
                Request::ClosePortal(at) => object(&mut out, b'C', b'P', *at),
                Request::Execute(at) => {
                    let body = [name(at), &[0, 0, 0, 0, 0]].concat();
                    out.extend_from_slice(b"E");
                    out.extend_from_slice(&i32::try_from(body.len() + 4).unwrap().to_be_bytes());
                    out.extend_from_slice(&body);
                }
            }
        }
        match self.end {
            End::Sync => pg::sync(&mut out),
            End::Flush => out.extend_from_slice(b"H\0\0\0\x04"),
            End::Query(at) => pg::query(&mut out, TEXTS.get(at).unwrap_or(&"commit").as_bytes()),
        }
        out
    }
}

/// The entry's side: what it keeps for a caller and for a target connection.
#[derive(Debug, Default)]
struct Entry {
    names: Names,
    table: Table,
    prepared: Prepared,
    exchange: Option<Exchange>,
    server: Server,
}

impl Entry {
    /// Runs a batch and returns what the caller gets. `splits` cuts the answers into pieces.
    fn run(&mut self, batch: &Batch, splits: &[usize]) -> Result<BytesMut, Failure> {
        let (mut caller, mut target, mut answers) = Default::default();
        let mut exchange = self.exchange.take().unwrap_or_default();
        exchange.begin();
        if batch.sets_up && exchange.status() == Status::Idle && !exchange.is_unsynced() {
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
        if batch.holds && !matches!(batch.end, End::Flush) && !exchange.is_skipping() {
            exchange.hold();
            exchange.ask_position(&mut target);
        }
        exchange.add_own(&mut caller)?;
        self.server.answer(&target, &mut answers);
        self.feed(&mut exchange, &answers, splits, &mut caller)?;
        assert!(exchange.is_done(), "an answer is missing: {exchange:?}");
        caller.extend_from_slice(&exchange.take_held());
        exchange.settle(&mut self.names, &mut self.table);
        if exchange.status() != Status::Idle || exchange.is_unsynced() {
            self.exchange = Some(exchange);
        }
        Ok(caller)
    }

    fn feed(
        &mut self,
        exchange: &mut Exchange,
        answers: &[u8],
        splits: &[usize],
        caller: &mut BytesMut,
    ) -> Result<(), Failure> {
        let mut inbox = BytesMut::new();
        let mut splits = splits.iter().cycle();
        let mut rest = answers;
        while !rest.is_empty() {
            let length = splits
                .next()
                .map_or(rest.len(), |split| (*split).min(rest.len()));
            inbox.extend_from_slice(&rest[..length]);
            rest = &rest[length..];
            let mut frames = Frames::new(&inbox, usize::MAX);
            for frame in frames.by_ref() {
                exchange.answer(frame?, &mut self.prepared, caller)?;
            }
            let used = frames.used();
            let _taken = inbox.split_to(used);
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
    fn caller_gets_what_its_own_connection_would_give(
        batches in prop::collection::vec(batch(), 1..8),
        splits in prop::collection::vec(1..40_usize, 1..6),
    ) {
        let mut direct = Server::default();
        let mut entry = Entry::default();
        for (at, batch) in batches.iter().enumerate() {
            let mut wanted = BytesMut::new();
            direct.answer(&batch.encode(), &mut wanted);
            let given = entry.run(batch, &splits).unwrap();
            prop_assert_eq!(tags(&given), tags(&wanted), "batch {}: {:?}", at, batch);
            prop_assert_eq!(&given, &wanted, "batch {}: {:?}", at, batch);
        }
    }

    /// A late answer has no owner: it must end the connection and must reach no caller.
    #[test]
    fn answer_that_was_not_asked_for_is_a_failure(
        batch in batch(),
        tag in prop::sample::select(b"123CDEIKRTVWZnst".to_vec()),
    ) {
        let mut entry = Entry::default();
        entry.run(&batch, &[]).unwrap();
        let mut exchange = entry.exchange.take().unwrap_or_default();
        let raw = [tag, 0, 0, 0, 5, b'I'];
        let frame = Frame::first(&raw, 100).unwrap().unwrap();
        let mut caller = BytesMut::new();
        let result = exchange.answer(frame, &mut entry.prepared, &mut caller);
        prop_assert!(result.is_err(), "{:?}", result);
        prop_assert!(caller.is_empty());
    }

    /// An answer of another kind than the expected one belongs to another request.
    #[test]
    fn answer_of_another_kind_is_a_failure(
        request in request(),
        tag in prop::sample::select(b"123CDEIKRTVWZnst".to_vec()),
    ) {
        let batch = Batch { requests: vec![request], end: End::Sync, holds: false, sets_up: false };
        let mut entry = Entry::default();
        let (mut exchange, mut target) = (Exchange::default(), BytesMut::new());
        for frame in Frames::new(&batch.encode(), usize::MAX) {
            let sent = exchange.request(
                frame.unwrap(), &mut entry.names, &mut entry.table, &mut entry.prepared, &mut target,
            );
            prop_assert!(sent.is_ok());
        }
        let mut caller = BytesMut::new();
        exchange.add_own(&mut caller).unwrap();
        caller.clear();
        let wanted: &[u8] = match &batch.requests[0] {
            Request::Parse(..) => b"1",
            Request::Bind(..) => b"2",
            Request::DescribeStatement(_) | Request::DescribePortal(_) => b"tTn",
            Request::Execute(_) => b"DCIs",
            // Answered by the entry: only the Sync is left.
            Request::CloseStatement(_) => b"Z",
            Request::ClosePortal(_) => b"3",
        };
        prop_assume!(!wanted.contains(&tag) && tag != b'E');
        let raw = [tag, 0, 0, 0, 5, b'I'];
        let frame = Frame::first(&raw, 100).unwrap().unwrap();
        let result = exchange.answer(frame, &mut entry.prepared, &mut caller);
        prop_assert!(matches!(result, Err(Failure::Unexpected(_))), "{:?}", result);
        prop_assert!(caller.is_empty());
    }
}

/// An exchange is done only once every answer has arrived, or its connection would be reused with
/// an answer on its way.
#[test]
fn exchange_is_done_with_its_last_answer() {
    let mut entry = Entry::default();
    let (mut exchange, mut target) = (Exchange::default(), BytesMut::new());
    let mut query = BytesMut::new();
    pg::query(&mut query, b"rows 2");
    let frame = Frame::first(&query, 100).unwrap().unwrap();
    let sent = exchange.request(
        frame,
        &mut entry.names,
        &mut entry.table,
        &mut entry.prepared,
        &mut target,
    );
    assert_eq!(sent, Ok(()));
    exchange.hold();
    exchange.ask_position(&mut target);
    let (mut answers, mut caller) = (BytesMut::new(), BytesMut::new());
    entry.server.answer(&target, &mut answers);
    let frames: Vec<_> = Frames::new(&answers, usize::MAX)
        .map(Result::unwrap)
        .collect();
    let (last, first) = frames.split_last().unwrap();
    for frame in first {
        let progress = exchange.answer(*frame, &mut entry.prepared, &mut caller);
        assert_eq!(progress, Ok(Progress::Pending));
    }
    assert_eq!(tags(&caller), "TDD", "the completion is held back");
    let progress = exchange.answer(*last, &mut entry.prepared, &mut caller);
    assert_eq!(progress, Ok(Progress::Done));
    assert_eq!(tags(&exchange.take_held()), "CZ");
    assert!(exchange.probe().is_some());
}

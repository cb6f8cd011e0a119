//! State of one exchange: the answers that are still expected from the target, in order.

use std::collections::VecDeque;
use std::fmt;

use bytes::BytesMut;
use pg::{Frame, Invalid, Kind, Message, Status};

use crate::probe;
use crate::statement::{Id, Names, Prepared, Table};

/// Most bytes held back for a write's acknowledgement.
const MAX_HELD: usize = 16 << 20;

/// Name that no statement on a target has; statements there are named by [`Id::name`].
const UNKNOWN: &str = "limpettally_unknown";

/// An answer that the target owes, or that the entry adds itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Expected {
    /// ParseComplete; the statement becomes prepared. Forwarded if the caller asked for it.
    Parse { id: Id, forward: bool },
    /// BindComplete.
    Bind,
    /// Up to RowDescription or NoData.
    Describe,
    /// Up to CommandComplete, EmptyQueryResponse or PortalSuspended.
    Execute,
    /// CloseComplete. Forwarded if the caller asked for it.
    Close { forward: bool },
    /// A frame of the entry's own, for a request that the target does not see.
    Own(&'static [u8]),
    /// ReadyForQuery after a Sync.
    Sync,
    /// Up to ReadyForQuery after a simple query.
    Simple,
    /// Up to ReadyForQuery after a simple query that stands for the caller's; the caller gets this
    /// completion in place of the target's.
    Substitute(&'static [u8]),
    /// Up to ReadyForQuery after statements of the entry's own.
    SetUp,
    /// Up to ReadyForQuery after the position query; nothing of it is forwarded.
    Probe,
}

/// Whether answers are held back.
#[derive(Debug, Default)]
enum Hold {
    /// Everything is forwarded.
    #[default]
    Off,
    /// The first completion and all after it are held back.
    Armed,
    /// Bytes held back so far.
    On(BytesMut),
}

/// Why an exchange cannot go on. The target connection must be closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// A frame that the protocol does not allow.
    Frame(Invalid),
    /// An answer that was not asked for.
    Unexpected(u8),
    /// The answers to a write are larger than can be held back.
    TooLarge,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Frame(invalid) => invalid.fmt(f),
            Self::Unexpected(tag) => write!(f, "unexpected answer {:?}", char::from(*tag)),
            Self::TooLarge => f.write_str("answers to a write exceed what can be held back"),
        }
    }
}

impl std::error::Error for Failure {}

impl From<Invalid> for Failure {
    fn from(invalid: Invalid) -> Self {
        Self::Frame(invalid)
    }
}

/// Where an exchange stands after some answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// Answers are still expected.
    Pending,
    /// Every expected answer has arrived.
    Done,
}

/// An exchange between a caller and a target connection.
#[derive(Debug, Default)]
pub struct Exchange {
    /// Answers in the order in which the target owes them.
    expected: VecDeque<Expected>,
    /// Transaction status in the last ReadyForQuery.
    status: Status,
    hold: Hold,
    /// Whether any error answered the caller's requests.
    failed: bool,
    /// After an error the target skips everything up to a Sync that was not sent yet.
    skipping: bool,
    probe: Option<probe::Answer>,
}

impl Exchange {
    /// Transaction status in the last ReadyForQuery.
    #[must_use]
    pub fn status(&self) -> Status {
        self.status
    }

    /// Whether an error answered any of the caller's requests.
    #[must_use]
    pub fn failed(&self) -> bool {
        self.failed
    }

    /// The target's answer to the position query.
    #[must_use]
    pub fn probe(&self) -> Option<probe::Answer> {
        self.probe
    }

    /// Whether every expected answer has arrived, so that the connection can serve another caller.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.expected.is_empty()
    }

    /// Begins the next batch of a transaction: what is known of the last one no longer counts.
    pub fn begin(&mut self) {
        self.failed = false;
        self.probe = None;
    }

    /// Holds back completions from now on, until [`Self::take_held`].
    pub fn hold(&mut self) {
        if matches!(self.hold, Hold::Off) {
            self.hold = Hold::Armed;
        }
    }

    /// Ends the holding back and returns the bytes held.
    pub fn take_held(&mut self) -> BytesMut {
        match std::mem::take(&mut self.hold) {
            Hold::On(bytes) => bytes,
            Hold::Off | Hold::Armed => BytesMut::new(),
        }
    }

    /// Sends statements of the entry's own, whose answers nobody gets.
    pub fn set_up(&mut self, text: &str, out: &mut BytesMut) {
        pg::query(out, text.as_bytes());
        self.expected.push_back(Expected::SetUp);
    }

    /// Sends a statement in place of the caller's simple query. Its errors are forwarded, and its
    /// completion is replaced by `completion`.
    pub fn substitute(&mut self, text: &str, completion: &'static [u8], out: &mut BytesMut) {
        pg::query(out, text.as_bytes());
        self.expected.push_back(Expected::Substitute(completion));
    }

    /// Appends the position query.
    pub fn ask_position(&mut self, out: &mut BytesMut) {
        pg::query(out, probe::QUERY.as_bytes());
        self.expected.push_back(Expected::Probe);
    }

    /// Translates a caller's message for a target connection.
    ///
    /// A statement that the caller did not prepare is passed on under a name that no statement
    /// has, so that the target refuses it and undoes what came before it in the same series.
    ///
    /// # Errors
    /// Fails on a message that may not be sent at this point.
    pub fn request(
        &mut self,
        frame: Frame<'_>,
        names: &mut Names,
        table: &mut Table,
        prepared: &mut Prepared,
        out: &mut BytesMut,
    ) -> Result<(), Failure> {
        let message = Message::try_from(frame)?;
        if std::mem::take(&mut self.skipping) && message != Message::Sync {
            self.skipping = true;
            return Ok(());
        }
        match message {
            Message::Query(_) => self.pass(frame, Expected::Simple, out),
            Message::Parse { name, text, types } => {
                let id = table.acquire(text, types);
                if let Some(old) = names.set(name, id) {
                    table.release(old);
                }
                if prepared.has(id) {
                    self.expected.push_back(Expected::Own(pg::PARSE_COMPLETE));
                } else {
                    self.prepare(id, true, table, prepared, out);
                }
            }
            Message::Bind {
                portal,
                statement,
                rest,
            } => {
                let name = self.ensure(statement, names, table, prepared, out);
                pg::bind(out, portal, name.as_bytes(), rest);
                self.expected.push_back(Expected::Bind);
            }
            Message::Describe(Kind::Statement, name) => {
                let name = self.ensure(name, names, table, prepared, out);
                pg::describe_statement(out, name.as_bytes());
                self.expected.push_back(Expected::Describe);
            }
            Message::Describe(Kind::Portal, _) => self.pass(frame, Expected::Describe, out),
            Message::Execute => self.pass(frame, Expected::Execute, out),
            Message::Close(Kind::Statement, name) => {
                if let Some(old) = names.remove(name) {
                    table.release(old);
                }
                self.expected.push_back(Expected::Own(pg::CLOSE_COMPLETE));
            }
            Message::Close(Kind::Portal, _) => {
                self.pass(frame, Expected::Close { forward: true }, out);
            }
            Message::Sync => {
                self.close_surplus(prepared, out);
                self.pass(frame, Expected::Sync, out);
            }
            Message::Flush => out.extend_from_slice(frame.raw),
            Message::Copy | Message::Terminate => return Err(Invalid::Tag(frame.tag).into()),
        }
        Ok(())
    }

    fn pass(&mut self, frame: Frame<'_>, expected: Expected, out: &mut BytesMut) {
        out.extend_from_slice(frame.raw);
        self.expected.push_back(expected);
    }

    /// Name on the target of a caller's statement, prepared there first if need be.
    fn ensure(
        &mut self,
        name: &[u8],
        names: &Names,
        table: &Table,
        prepared: &mut Prepared,
        out: &mut BytesMut,
    ) -> String {
        let Some(id) = names.get(name) else {
            return UNKNOWN.to_owned();
        };
        if !prepared.has(id) {
            self.prepare(id, false, table, prepared, out);
        }
        id.name()
    }

    fn prepare(
        &mut self,
        id: Id,
        forward: bool,
        table: &Table,
        prepared: &mut Prepared,
        out: &mut BytesMut,
    ) {
        let Some(statement) = table.get(id) else {
            return;
        };
        pg::parse(out, id.name().as_bytes(), &statement.text, &statement.types);
        prepared.add(id);
        self.expected.push_back(Expected::Parse { id, forward });
    }

    fn close_surplus(&mut self, prepared: &mut Prepared, out: &mut BytesMut) {
        while let Some(id) = prepared.evict() {
            pg::close_statement(out, id.name().as_bytes());
            self.expected.push_back(Expected::Close { forward: false });
        }
    }

    /// Takes one answer of the target and appends to `out` what the caller gets of it.
    ///
    /// # Errors
    /// Fails on an answer that no request asked for; the connection must be closed, since it can
    /// no longer be known which answer belongs to whom.
    pub fn answer(
        &mut self,
        frame: Frame<'_>,
        prepared: &mut Prepared,
        out: &mut BytesMut,
    ) -> Result<Progress, Failure> {
        self.add_own(out)?;
        match frame.tag {
            b'N' | b'S' => self.notice(frame, out)?,
            b'A' => {}
            b'E' => self.error(frame, prepared, out)?,
            b'Z' => self.ready(frame, out)?,
            _ => self.expected_answer(frame, out)?,
        }
        self.add_own(out)?;
        Ok(if self.is_done() {
            Progress::Done
        } else {
            Progress::Pending
        })
    }

    fn notice(&mut self, frame: Frame<'_>, out: &mut BytesMut) -> Result<(), Failure> {
        match self.expected.front() {
            None | Some(Expected::Probe | Expected::SetUp) => Ok(()),
            Some(_) => self.emit(frame, out),
        }
    }

    fn error(
        &mut self,
        frame: Frame<'_>,
        prepared: &mut Prepared,
        out: &mut BytesMut,
    ) -> Result<(), Failure> {
        match self.expected.front() {
            None => return Err(Failure::Unexpected(frame.tag)),
            Some(Expected::Probe | Expected::SetUp) => return Ok(()),
            Some(Expected::Simple | Expected::Substitute(_)) => {}
            // The target skips everything up to the next Sync.
            Some(_) => self.skip_to_sync(prepared),
        }
        self.failed = true;
        self.emit(frame, out)
    }

    fn skip_to_sync(&mut self, prepared: &mut Prepared) {
        while let Some(expected) = self.expected.front() {
            match expected {
                Expected::Sync => return,
                Expected::Parse { id, .. } => prepared.forget(*id),
                _ => {}
            }
            self.expected.pop_front();
        }
        self.skipping = true;
    }

    fn ready(&mut self, frame: Frame<'_>, out: &mut BytesMut) -> Result<(), Failure> {
        self.status = frame.status()?;
        match self.expected.pop_front() {
            Some(Expected::Sync | Expected::Simple | Expected::Substitute(_)) => {
                self.emit(frame, out)
            }
            Some(Expected::Probe | Expected::SetUp) => Ok(()),
            _ => Err(Failure::Unexpected(frame.tag)),
        }
    }

    fn expected_answer(&mut self, frame: Frame<'_>, out: &mut BytesMut) -> Result<(), Failure> {
        let expected = *self
            .expected
            .front()
            .ok_or(Failure::Unexpected(frame.tag))?;
        if let (Expected::Substitute(completion), b'C') = (expected, frame.tag) {
            return self.put(completion, out);
        }
        let (ends, forward) = match (expected, frame.tag) {
            (Expected::Parse { forward, .. }, b'1') | (Expected::Close { forward }, b'3') => {
                (true, forward)
            }
            (Expected::Bind, b'2')
            | (Expected::Describe, b'T' | b'n')
            | (Expected::Execute, b'C' | b'I' | b's') => (true, true),
            (Expected::Describe, b't')
            | (Expected::Execute, b'D')
            | (Expected::Simple, b'T' | b'D' | b'C' | b'I') => (false, true),
            (Expected::Probe, b'D') => {
                self.probe = probe::Answer::parse(&frame);
                (false, false)
            }
            (Expected::Probe, b'T' | b'C') | (Expected::SetUp, b'T' | b'D' | b'C' | b'I') => {
                (false, false)
            }
            _ => return Err(Failure::Unexpected(frame.tag)),
        };
        if ends {
            self.expected.pop_front();
        }
        if forward {
            self.emit(frame, out)
        } else {
            Ok(())
        }
    }

    /// Answers at once what needs no answer of the target and has none before it.
    ///
    /// # Errors
    /// Fails if the bytes held back exceed their limit.
    pub fn add_own(&mut self, out: &mut BytesMut) -> Result<(), Failure> {
        while let Some(Expected::Own(raw)) = self.expected.front().copied() {
            self.expected.pop_front();
            self.put(raw, out)?;
        }
        Ok(())
    }

    fn emit(&mut self, frame: Frame<'_>, out: &mut BytesMut) -> Result<(), Failure> {
        if matches!(self.hold, Hold::Armed) && matches!(frame.tag, b'C' | b'I' | b's' | b'Z') {
            self.hold = Hold::On(BytesMut::new());
        }
        self.put(frame.raw, out)
    }

    fn put(&mut self, raw: &[u8], out: &mut BytesMut) -> Result<(), Failure> {
        match &mut self.hold {
            Hold::On(held) if held.len() + raw.len() > MAX_HELD => return Err(Failure::TooLarge),
            Hold::On(held) => held.extend_from_slice(raw),
            Hold::Off | Hold::Armed => out.extend_from_slice(raw),
        }
        Ok(())
    }
}

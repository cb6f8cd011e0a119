//! State of one exchange: the answers that are still expected from the target, in order.

use std::collections::VecDeque;

use bytes::BytesMut;
use pg::{Frame, Invalid, Kind, Message, Status};

use crate::expected::Expected;
use crate::failure::Failure;
use crate::hold::Hold;
use crate::naming::Journal;
use crate::probe;
use crate::statement::{Id, Names, Prepared, Table};

/// Name that no statement on a target has; statements there are named by [`Id::name`].
const UNKNOWN: &str = "limpettally_unknown";

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
    /// Extended messages were sent and no Sync after them.
    unsynced: bool,
    journal: Journal,
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

    /// Whether the target skips everything up to a Sync that the caller has not sent yet.
    #[must_use]
    pub fn is_skipping(&self) -> bool {
        self.skipping
    }

    /// Whether a Sync has to come before the connection can serve another caller.
    #[must_use]
    pub fn is_unsynced(&self) -> bool {
        self.unsynced || self.skipping
    }

    /// Takes back the names of statements whose preparation or closing was refused or skipped. To be
    /// called once the answers have arrived, and when they are given up.
    pub fn settle(&mut self, names: &mut Names, table: &mut Table) {
        self.journal.settle(names, table);
    }

    /// Begins the next batch of a transaction: what is known of the last one no longer counts.
    pub fn begin(&mut self) {
        self.failed = false;
        self.probe = None;
    }

    /// Holds back completions from now on, until [`Self::take_held`].
    pub fn hold(&mut self) {
        self.hold.arm();
    }

    /// Ends the holding back and returns the bytes held.
    pub fn take_held(&mut self) -> BytesMut {
        self.hold.take()
    }

    /// Sends statements of the entry's own, whose answers are dropped.
    pub fn set_up(&mut self, text: &str, out: &mut BytesMut) {
        pg::query(out, text.as_bytes());
        self.expected.push_back(Expected::SetUp);
    }

    /// Sends a statement in place of the caller's simple query. Its errors are forwarded, and its
    /// completion is replaced by `completion`.
    pub fn substitute(&mut self, text: &str, completion: &'static [u8], out: &mut BytesMut) {
        if self.skipping {
            return;
        }
        self.unsynced = false;
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
        self.unsynced = !matches!(message, Message::Sync | Message::Query(_));
        match message {
            Message::Query(_) => {
                // A simple query takes the place of the unnamed statement.
                self.journal.remove(b"", names);
                self.pass(frame, Expected::Simple, out);
            }
            Message::Parse { name, text, types } => {
                if !name.is_empty() && names.get(name).is_some() {
                    let known = self.ensure(name, names, table, prepared, out);
                    pg::parse(out, known.as_bytes(), text, types);
                    self.expected.push_back(Expected::Duplicate);
                    return Ok(());
                }
                let id = table.acquire(text, types);
                self.journal.set(name, id, names);
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
                self.journal.remove(name, names);
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
            Some(front) => {
                if matches!(front, Expected::Parse { forward: true, .. }) {
                    self.journal.refuse();
                }
                self.skip_to_sync(prepared);
            }
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
            Some(Expected::Simple) => {
                self.journal.confirm();
                self.emit(frame, out)
            }
            Some(Expected::Sync | Expected::Substitute(_)) => self.emit(frame, out),
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
            if matches!(expected, Expected::Parse { forward: true, .. }) {
                self.journal.confirm();
            }
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
            self.journal.confirm();
            self.put(raw, out)?;
        }
        Ok(())
    }

    fn emit(&mut self, frame: Frame<'_>, out: &mut BytesMut) -> Result<(), Failure> {
        if matches!(frame.tag, b'C' | b'I' | b's' | b'Z') {
            self.hold.begin();
        }
        self.put(frame.raw, out)
    }

    fn put(&mut self, raw: &[u8], out: &mut BytesMut) -> Result<(), Failure> {
        self.hold.put(raw, out)
    }
}

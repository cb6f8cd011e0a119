//! State of an exchange: matches the answers of the target to the requests, in order.

use std::collections::VecDeque;

use bytes::BytesMut;
use pg::{Error, Frame, Message, Object, Status};

use crate::expected::Expected;
use crate::failure::Failure;
use crate::hold::Hold;
use crate::name_journal::Journal;
use crate::probe;
use crate::statement::{Cache, Id, Names, Table};

/// Name that no statement on a target has; statements there are named by
/// [`Id::target_name`].
const UNKNOWN_STATEMENT: &str = "limpettally_unknown";

/// Whether an exchange has received all of its answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    Pending,
    Done,
}

/// Exchange of messages between a caller and a target connection.
#[derive(Debug, Default)]
pub struct Exchange {
    /// Outstanding answers, in the order in which they must arrive.
    expected: VecDeque<Expected>,
    /// Transaction status in the last ReadyForQuery.
    status: Status,
    hold: Hold,
    /// Whether any of the caller's requests was answered by an error.
    failed: bool,
    /// After an error the target skips all requests up to a Sync, which was not sent yet.
    skipping: bool,
    /// Messages of the extended query protocol were sent without a Sync after them.
    unsynced: bool,
    name_journal: Journal,
    position: Option<probe::Answer>,
}

impl Exchange {
    /// Transaction status in the last ReadyForQuery.
    #[must_use]
    pub fn status(&self) -> Status {
        self.status
    }

    /// Whether any of the caller's requests was answered by an error.
    #[must_use]
    pub fn failed(&self) -> bool {
        self.failed
    }

    /// The target's answer to the position query.
    #[must_use]
    pub fn position(&self) -> Option<probe::Answer> {
        self.position
    }

    /// Whether every expected answer has arrived.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.expected.is_empty()
    }

    /// Whether the target skips all requests up to a Sync, which the caller has not sent yet.
    #[must_use]
    pub fn is_skipping(&self) -> bool {
        self.skipping
    }

    /// Whether a Sync must be sent before the connection can serve another caller.
    #[must_use]
    pub fn is_unsynced(&self) -> bool {
        self.unsynced || self.skipping
    }

    /// Undoes the changes of statement names whose Parse or Close was refused or skipped. Must be
    /// called once all answers have arrived, and when the exchange is abandoned.
    pub fn settle_names(&mut self, names: &mut Names, table: &mut Table) {
        self.name_journal.settle(names, table);
    }

    /// Begins the next batch of a transaction: resets error and position of the previous one.
    pub fn begin_batch(&mut self) {
        self.failed = false;
        self.position = None;
    }

    /// Holds back the answers from the next completion on, until [`Self::take_held`].
    pub fn hold_completions(&mut self) {
        self.hold.arm();
    }

    /// Stops holding back and returns the held bytes.
    pub fn take_held(&mut self) -> BytesMut {
        self.hold.take()
    }

    /// Sends setup statements of the entry, whose answers are dropped.
    pub fn set_up(&mut self, text: &str, out: &mut BytesMut) {
        pg::query(out, text.as_bytes());
        self.expected.push_back(Expected::Setup);
    }

    /// Sends a statement in place of the caller's simple query. Its errors are forwarded; its
    /// completion is replaced by `completion`.
    pub fn substitute(&mut self, text: &str, completion: &'static [u8], out: &mut BytesMut) {
        if self.skipping {
            return;
        }
        self.unsynced = false;
        pg::query(out, text.as_bytes());
        self.expected.push_back(Expected::Substitute(completion));
    }

    /// Sends the position query.
    pub fn query_position(&mut self, out: &mut BytesMut) {
        pg::query(out, probe::QUERY.as_bytes());
        self.expected.push_back(Expected::PositionQuery);
    }

    /// Translates a caller's message for a target connection.
    ///
    /// A statement that the caller did not prepare is forwarded under a name that no statement has,
    /// so that the target refuses it and rolls back the requests since the last Sync.
    ///
    /// # Errors
    /// Fails on a message that is malformed or not allowed at this point.
    pub fn request(
        &mut self,
        frame: Frame<'_>,
        names: &mut Names,
        table: &mut Table,
        prepared: &mut Cache,
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
                // A simple query replaces the unnamed statement.
                self.name_journal.remove(b"", names);
                self.forward_request(frame, Expected::Simple, out);
            }
            Message::Parse { name, text, types } => {
                if !name.is_empty() && names.get(name).is_some() {
                    let target_name = self.ensure_prepared(name, names, table, prepared, out);
                    pg::parse(out, target_name.as_bytes(), text, types);
                    self.expected.push_back(Expected::DuplicateName);
                    return Ok(());
                }
                let id = table.acquire(text, types);
                self.name_journal.set(name, id, names);
                if prepared.contains(id) {
                    self.expected
                        .push_back(Expected::Generated(pg::PARSE_COMPLETE));
                } else {
                    self.prepare(id, true, table, prepared, out);
                }
            }
            Message::Bind {
                portal,
                statement,
                values,
            } => {
                let target_name = self.ensure_prepared(statement, names, table, prepared, out);
                pg::bind(out, portal, target_name.as_bytes(), values);
                self.expected.push_back(Expected::Bind);
            }
            Message::Describe(Object::Statement, name) => {
                let target_name = self.ensure_prepared(name, names, table, prepared, out);
                pg::describe_statement(out, target_name.as_bytes());
                self.expected.push_back(Expected::Describe);
            }
            Message::Describe(Object::Portal, _) => {
                self.forward_request(frame, Expected::Describe, out)
            }
            Message::Execute => self.forward_request(frame, Expected::Execute, out),
            Message::Close(Object::Statement, name) => {
                self.name_journal.remove(name, names);
                self.expected
                    .push_back(Expected::Generated(pg::CLOSE_COMPLETE));
            }
            Message::Close(Object::Portal, _) => {
                self.forward_request(frame, Expected::Close { forward: true }, out);
            }
            Message::Sync => {
                self.close_surplus(prepared, out);
                self.forward_request(frame, Expected::Sync, out);
            }
            Message::Flush => out.extend_from_slice(frame.raw),
            Message::Copy | Message::Terminate => return Err(Error::Tag(frame.tag).into()),
        }
        Ok(())
    }

    fn forward_request(&mut self, frame: Frame<'_>, expected: Expected, out: &mut BytesMut) {
        out.extend_from_slice(frame.raw);
        self.expected.push_back(expected);
    }

    /// Returns the name that a caller's statement has on the target, after preparing it there if
    /// necessary.
    fn ensure_prepared(
        &mut self,
        name: &[u8],
        names: &Names,
        table: &Table,
        prepared: &mut Cache,
        out: &mut BytesMut,
    ) -> String {
        let Some(id) = names.get(name) else {
            return UNKNOWN_STATEMENT.to_owned();
        };
        if !prepared.contains(id) {
            self.prepare(id, false, table, prepared, out);
        }
        id.target_name()
    }

    fn prepare(
        &mut self,
        id: Id,
        forward: bool,
        table: &Table,
        prepared: &mut Cache,
        out: &mut BytesMut,
    ) {
        let Some(statement) = table.get(id) else {
            return;
        };
        pg::parse(
            out,
            id.target_name().as_bytes(),
            &statement.text,
            &statement.types,
        );
        prepared.add(id);
        self.expected.push_back(Expected::Parse { id, forward });
    }

    fn close_surplus(&mut self, prepared: &mut Cache, out: &mut BytesMut) {
        while let Some(id) = prepared.pop_surplus() {
            pg::close_statement(out, id.target_name().as_bytes());
            self.expected.push_back(Expected::Close { forward: false });
        }
    }

    /// Processes one answer of the target and appends to `out` what the caller gets of it.
    ///
    /// # Errors
    /// Fails on an answer that no request asked for. The connection must be closed, since its
    /// further answers can no longer be matched to requests.
    pub fn answer(
        &mut self,
        frame: Frame<'_>,
        prepared: &mut Cache,
        out: &mut BytesMut,
    ) -> Result<Progress, Failure> {
        self.emit_generated(out)?;
        match frame.tag {
            b'N' | b'S' => self.on_notice(frame, out)?,
            b'A' => {}
            b'E' => self.on_error(frame, prepared, out)?,
            b'Z' => self.on_ready(frame, out)?,
            _ => self.on_expected_answer(frame, out)?,
        }
        self.emit_generated(out)?;
        Ok(if self.is_done() {
            Progress::Done
        } else {
            Progress::Pending
        })
    }

    fn on_notice(&mut self, frame: Frame<'_>, out: &mut BytesMut) -> Result<(), Failure> {
        match self.expected.front() {
            None | Some(Expected::PositionQuery | Expected::Setup) => Ok(()),
            Some(_) => self.forward_answer(frame, out),
        }
    }

    fn on_error(
        &mut self,
        frame: Frame<'_>,
        prepared: &mut Cache,
        out: &mut BytesMut,
    ) -> Result<(), Failure> {
        match self.expected.front() {
            None => return Err(Failure::Unexpected(frame.tag)),
            Some(Expected::PositionQuery | Expected::Setup) => return Ok(()),
            Some(Expected::Simple | Expected::Substitute(_)) => {}
            // The target skips all requests up to the next Sync.
            Some(front) => {
                if matches!(front, Expected::Parse { forward: true, .. }) {
                    self.name_journal.refuse();
                }
                self.skip_to_sync(prepared);
            }
        }
        self.failed = true;
        self.forward_answer(frame, out)
    }

    fn skip_to_sync(&mut self, prepared: &mut Cache) {
        while let Some(expected) = self.expected.front() {
            match expected {
                Expected::Sync => return,
                Expected::Parse { id, .. } => prepared.remove(*id),
                _ => {}
            }
            self.expected.pop_front();
        }
        self.skipping = true;
    }

    fn on_ready(&mut self, frame: Frame<'_>, out: &mut BytesMut) -> Result<(), Failure> {
        self.status = frame.status()?;
        match self.expected.pop_front() {
            Some(Expected::Simple) => {
                self.name_journal.confirm();
                self.forward_answer(frame, out)
            }
            Some(Expected::Sync | Expected::Substitute(_)) => self.forward_answer(frame, out),
            Some(Expected::PositionQuery | Expected::Setup) => Ok(()),
            _ => Err(Failure::Unexpected(frame.tag)),
        }
    }

    fn on_expected_answer(&mut self, frame: Frame<'_>, out: &mut BytesMut) -> Result<(), Failure> {
        let expected = *self
            .expected
            .front()
            .ok_or(Failure::Unexpected(frame.tag))?;
        if let (Expected::Substitute(completion), b'C') = (expected, frame.tag) {
            return self.write(completion, out);
        }
        let (completes, forward) = match (expected, frame.tag) {
            (Expected::Parse { forward, .. }, b'1') | (Expected::Close { forward }, b'3') => {
                (true, forward)
            }
            (Expected::Bind, b'2')
            | (Expected::Describe, b'T' | b'n')
            | (Expected::Execute, b'C' | b'I' | b's') => (true, true),
            (Expected::Describe, b't')
            | (Expected::Execute, b'D')
            | (Expected::Simple, b'T' | b'D' | b'C' | b'I') => (false, true),
            (Expected::PositionQuery, b'D') => {
                self.position = probe::Answer::from_row(&frame);
                (false, false)
            }
            (Expected::PositionQuery, b'T' | b'C')
            | (Expected::Setup, b'T' | b'D' | b'C' | b'I') => (false, false),
            _ => return Err(Failure::Unexpected(frame.tag)),
        };
        if completes {
            self.expected.pop_front();
            if matches!(expected, Expected::Parse { forward: true, .. }) {
                self.name_journal.confirm();
            }
        }
        if forward {
            self.forward_answer(frame, out)
        } else {
            Ok(())
        }
    }

    /// Emits the generated answers that are next in order.
    ///
    /// # Errors
    /// Fails if the bytes held back exceed their limit.
    pub fn emit_generated(&mut self, out: &mut BytesMut) -> Result<(), Failure> {
        while let Some(Expected::Generated(raw)) = self.expected.front().copied() {
            self.expected.pop_front();
            self.name_journal.confirm();
            self.write(raw, out)?;
        }
        Ok(())
    }

    fn forward_answer(&mut self, frame: Frame<'_>, out: &mut BytesMut) -> Result<(), Failure> {
        if matches!(frame.tag, b'C' | b'I' | b's' | b'Z') {
            self.hold.on_completion();
        }
        self.write(frame.raw, out)
    }

    fn write(&mut self, raw: &[u8], out: &mut BytesMut) -> Result<(), Failure> {
        self.hold.write(raw, out)
    }
}

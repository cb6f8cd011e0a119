//! Sessions: state of the client connections.

use std::collections::{HashMap, VecDeque};

use bytes::{Bytes, BytesMut};
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::response::TransactionStatus;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use crate::describe::Field;
use crate::store::{Row, Transaction};
use crate::value::{Type, Value};

/// Progress of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// No start-up message has been received yet.
    New,
    /// Waits until the simulated time to open a connection is over.
    Opening,
    Open,
    /// Replication connection, which receives the log.
    Replica,
}

/// A prepared statement; its plan is looked up in the cache by its SQL.
#[derive(Clone, Debug)]
pub(crate) struct Statement {
    pub(crate) sql: String,
    pub(crate) parameter_types: Vec<Type>,
}

/// A statement with its parameters.
#[derive(Debug)]
pub(crate) struct Portal {
    pub(crate) sql: String,
    pub(crate) parameter_types: Vec<Type>,
    pub(crate) parameters: Vec<Value>,
    pub(crate) result_formats: Vec<i16>,
    /// Rows that have not been fetched yet; `None` before the statement has run.
    pub(crate) remainder: Option<Remainder>,
}

/// Part of a result that has not been fetched yet.
#[derive(Debug)]
pub(crate) struct Remainder {
    pub(crate) fields: Vec<Field>,
    pub(crate) rows: VecDeque<Row>,
}

/// Request of a client that runs statements.
#[derive(Debug)]
pub(crate) enum Request {
    /// The statements of a simple query, from the one with the given index on.
    Script {
        sql: String,
        index: usize,
    },
    Execute {
        portal: String,
        max_rows: usize,
    },
}

/// Progress of the current statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    New,
    /// Waits for a slot or for the end of its simulated execution time.
    Delayed,
    /// Can run now.
    Ready,
    /// Waits for a row lock.
    WaitingForLock,
}

/// A request and the progress of its current statement.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) request: Request,
    pub(crate) stage: Stage,
}

/// A client connection.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) phase: Phase,
    pub(crate) pid: i32,
    pub(crate) secret: i32,
    pub(crate) settings: HashMap<String, String>,
    /// Settings of the start-up message, which DISCARD ALL and RESET restore.
    pub(crate) default_settings: HashMap<String, String>,
    pub(crate) inbox: VecDeque<PgWireFrontendMessage>,
    pub(crate) statements: HashMap<String, Statement>,
    pub(crate) portals: HashMap<String, Portal>,
    pub(crate) transaction: Option<Transaction>,
    pub(crate) job: Option<Job>,
    /// Ignores messages until the next Sync, after an error.
    pub(crate) skip_until_sync: bool,
    /// The client has disconnected; the messages that it had sent still run, as in PostgreSQL.
    pub(crate) disconnected: bool,
    /// Encoded replies that have not been sent yet.
    pub(crate) write_buffer: BytesMut,
    output: UnboundedSender<Bytes>,
    /// Replies with the deadlines at which they are sent.
    delayed: VecDeque<(Instant, Bytes)>,
}

impl Session {
    pub(crate) fn new(pid: i32, secret: i32, output: UnboundedSender<Bytes>) -> Self {
        Self {
            phase: Phase::New,
            pid,
            secret,
            settings: HashMap::new(),
            default_settings: HashMap::new(),
            inbox: VecDeque::new(),
            statements: HashMap::new(),
            portals: HashMap::new(),
            transaction: None,
            job: None,
            skip_until_sync: false,
            disconnected: false,
            write_buffer: BytesMut::new(),
            output,
            delayed: VecDeque::new(),
        }
    }

    pub(crate) fn status(&self) -> TransactionStatus {
        match &self.transaction {
            Some(transaction) if transaction.failed => TransactionStatus::Error,
            Some(transaction) if transaction.explicit => TransactionStatus::Transaction,
            _ => TransactionStatus::Idle,
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.job.is_none() && self.inbox.is_empty()
    }

    /// Sends the buffered replies, or delays them until `send_at`.
    pub(crate) fn flush(&mut self, send_at: Option<Instant>) {
        if self.write_buffer.is_empty() {
            return;
        }
        let bytes = self.write_buffer.split().freeze();
        match send_at {
            Some(deadline) => self.delayed.push_back((deadline, bytes)),
            // A reply without delay must not overtake delayed ones.
            None => match self.delayed.back() {
                Some((last, _)) => self.delayed.push_back((*last, bytes)),
                None => self.send(bytes),
            },
        }
    }

    pub(crate) fn send(&self, bytes: Bytes) {
        // Fails if the client has disconnected, which `Event::Closed` reports.
        let _ = self.output.send(bytes);
    }

    /// Sends the delayed replies that are due.
    pub(crate) fn send_due(&mut self, now: Instant) {
        while let Some((deadline, _)) = self.delayed.front()
            && *deadline <= now
            && let Some((_, bytes)) = self.delayed.pop_front()
        {
            self.send(bytes);
        }
    }

    /// Sends all delayed replies.
    pub(crate) fn send_delayed(&mut self) {
        while let Some((_, bytes)) = self.delayed.pop_front() {
            self.send(bytes);
        }
    }

    pub(crate) fn has_delayed_replies(&self) -> bool {
        !self.delayed.is_empty()
    }
}

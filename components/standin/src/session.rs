//! State of one client connection.

use std::collections::{HashMap, VecDeque};

use bytes::{Bytes, BytesMut};
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::response::TransactionStatus;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use crate::describe::Field;
use crate::store::{Row, Transaction};
use crate::value::{Type, Value};

/// How far a connection has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// No start-up message yet.
    New,
    /// Waits for the simulated time to open a connection.
    Opening,
    Open,
    /// A replica that receives the log.
    Replica,
}

/// A prepared statement; its plan is looked up by text.
#[derive(Clone, Debug)]
pub(crate) struct Prepared {
    pub(crate) text: String,
    pub(crate) params: Vec<Type>,
}

/// A bound statement.
#[derive(Debug)]
pub(crate) struct Portal {
    pub(crate) text: String,
    pub(crate) types: Vec<Type>,
    pub(crate) params: Vec<Value>,
    pub(crate) formats: Vec<i16>,
    /// Result that is still to be fetched, once the statement has run.
    pub(crate) rest: Option<Rest>,
}

#[derive(Debug)]
pub(crate) struct Rest {
    pub(crate) fields: Vec<Field>,
    pub(crate) rows: VecDeque<Row>,
}

/// What a session is working on.
#[derive(Debug)]
pub(crate) enum Work {
    /// The statements of a simple query, from the given one on.
    Script {
        text: String,
        at: usize,
    },
    Execute {
        portal: String,
        most: usize,
    },
}

/// How far the statement at hand has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    Fresh,
    /// Waits for a slot or has one.
    Served,
    Ready,
    /// Waits for a row lock.
    Locked,
}

#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) work: Work,
    pub(crate) stage: Stage,
}

/// One client connection.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) phase: Phase,
    pub(crate) pid: i32,
    pub(crate) secret: i32,
    pub(crate) settings: HashMap<String, String>,
    /// Settings that DISCARD ALL and RESET go back to.
    pub(crate) base: HashMap<String, String>,
    pub(crate) inbox: VecDeque<PgWireFrontendMessage>,
    pub(crate) statements: HashMap<String, Prepared>,
    pub(crate) portals: HashMap<String, Portal>,
    pub(crate) transaction: Option<Transaction>,
    pub(crate) job: Option<Job>,
    /// Ignores messages up to Sync after an error.
    pub(crate) skipping: bool,
    /// The client is gone; as in a real server, what it had sent still runs.
    pub(crate) gone: bool,
    pub(crate) reply: BytesMut,
    output: UnboundedSender<Bytes>,
    /// Replies that are held back until their deadlines.
    held: VecDeque<(Instant, Bytes)>,
}

impl Session {
    pub(crate) fn new(pid: i32, secret: i32, output: UnboundedSender<Bytes>) -> Self {
        Self {
            phase: Phase::New,
            pid,
            secret,
            settings: HashMap::new(),
            base: HashMap::new(),
            inbox: VecDeque::new(),
            statements: HashMap::new(),
            portals: HashMap::new(),
            transaction: None,
            job: None,
            skipping: false,
            gone: false,
            reply: BytesMut::new(),
            output,
            held: VecDeque::new(),
        }
    }

    pub(crate) fn status(&self) -> TransactionStatus {
        match &self.transaction {
            Some(own) if own.failed => TransactionStatus::Error,
            Some(own) if own.explicit => TransactionStatus::Transaction,
            _ => TransactionStatus::Idle,
        }
    }

    pub(crate) fn idle(&self) -> bool {
        self.job.is_none() && self.inbox.is_empty()
    }

    /// Sends what has been replied so far, or holds it until the deadline.
    pub(crate) fn flush(&mut self, hold: Option<Instant>) {
        if self.reply.is_empty() {
            return;
        }
        let bytes = self.reply.split().freeze();
        match hold {
            Some(deadline) => self.held.push_back((deadline, bytes)),
            // Replies keep their order when the delay ends.
            None => match self.held.back() {
                Some((last, _)) => self.held.push_back((*last, bytes)),
                None => self.send(bytes),
            },
        }
    }

    pub(crate) fn send(&self, bytes: Bytes) {
        // Fails when the client is gone, which its own event reports.
        let _ = self.output.send(bytes);
    }

    /// Sends held replies that are due.
    pub(crate) fn release(&mut self, now: Instant) {
        while let Some((deadline, _)) = self.held.front()
            && *deadline <= now
            && let Some((_, bytes)) = self.held.pop_front()
        {
            self.send(bytes);
        }
    }

    /// Sends all held replies.
    pub(crate) fn release_all(&mut self) {
        while let Some((_, bytes)) = self.held.pop_front() {
            self.send(bytes);
        }
    }

    pub(crate) fn holds(&self) -> bool {
        !self.held.is_empty()
    }
}

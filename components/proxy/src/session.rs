//! A caller's session.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use ahash::HashMap;
use bytes::BytesMut;
use link::io;
use registry::Sample;
use registry::plan::Freshness;
use registry::tenant::Digest;
use types::Point;

use crate::event::ConnKey;
use crate::protocol::{Access, Body, Code, State};
use crate::refuse::Reason;
use crate::tenant;
use clock::Moment;

/// Maximum number of variables that a session may set.
pub const MAX_VARIABLES: usize = 100;
/// Maximum number of prepared names of a session.
pub const MAX_PREPARED_NAMES: usize = 1000;

/// The parts of a route that apply to a statement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Route {
    /// Index of the service.
    pub service: usize,
    /// How fresh the data that reads see must be.
    pub freshness: Freshness,
    /// Time limit for one statement.
    pub timeout: Duration,
    /// Response time that callers aim for.
    pub goal: Duration,
    /// Rank among waiting statements; 0 goes first.
    pub priority: u8,
    /// Tenant of the caller; `None` if the route is public and no tenant holds the key.
    pub tenant: Option<tenant::Id>,
}

/// An open transaction.
#[derive(Debug)]
pub struct Transaction {
    /// The route that was current at its begin.
    pub route: Route,
    /// The transaction contains no writes, according to its caller or to the purpose of its route.
    pub read_only: bool,
    /// Whether `read_only` was derived from the route instead of stated by the caller.
    pub assumed_read_only: bool,
    /// When its begin was received.
    pub received_moment: Moment,
    /// The connection on which it runs, from its first statement on.
    pub conn: Option<ConnKey>,
    /// One of its statements has run.
    pub has_run: bool,
    /// One of its writes has run.
    pub has_written: bool,
    /// It has a token of its tenant's rate limit, or needs none.
    pub admitted: bool,
    /// It can only be ended.
    pub failed: bool,
    /// When it may be ended for being idle.
    pub idle_deadline: Option<Instant>,
}

/// What a statement does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Reads or writes, as text of the caller.
    Plain(Access),
    /// Runs a prepared statement.
    Execute {
        /// What the prepared statement does.
        access: Access,
        /// Number of its shape.
        number: u32,
        /// Offset of the arguments within the text, in bytes.
        arguments_start: usize,
    },
    Commit,
}

impl Kind {
    /// Whether the statement may change data, by itself or by committing its transaction.
    #[must_use]
    pub fn may_change(self) -> bool {
        !matches!(
            self,
            Self::Plain(Access::Read)
                | Self::Execute {
                    access: Access::Read,
                    ..
                }
        )
    }

    /// Label in metrics and logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Commit => "commit",
            _ if self.may_change() => "write",
            _ => "read",
        }
    }
}

/// What decides the order of waiting statements.
#[derive(Clone, Copy, Debug)]
pub struct Urgency {
    /// 0 goes first.
    pub rank: u8,
    /// When the statement has to start to be answered within its goal.
    pub start_by: Instant,
}

impl Urgency {
    /// The urgency of what goes before all statements.
    #[must_use]
    pub fn first(now: Instant) -> Self {
        Self {
            rank: 0,
            start_by: now,
        }
    }

    /// Order in a queue at a moment: by rank, and within a rank statements that are in time before
    /// late ones.
    #[must_use]
    pub fn order(&self, now: Instant) -> (u8, bool) {
        (self.rank, self.start_by < now)
    }
}

/// Progress of a query.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// It waits for a token of its tenant's rate limit, and for no server yet.
    Unadmitted,
    /// It waits for a connection, a primary, or the end of a retry delay.
    Waiting,
    /// A connection is being prepared for it; it has not been sent.
    Preparing(ConnKey),
    /// It was sent.
    Sent(ConnKey),
    /// It has committed, and its success is held back until the leader consents.
    Held,
}

/// The success of a commit that is held back.
#[derive(Debug)]
pub struct Held {
    /// Messages of the server.
    pub answer: BytesMut,
    /// Index of the server.
    pub server: usize,
    /// Position that the server named: the end of its log when it acknowledged the commit.
    pub end: Point,
    /// The commit is at this point or past it.
    pub least: Point,
    /// When it was sent.
    pub sent_at: Moment,
    /// Token of the service's last choice of a primary that was known when it was sent; 0 before the
    /// first one.
    pub token: u64,
    /// Number of the last request for consent that named it.
    pub request: Option<u64>,
}

/// A caller's statement while it is being served.
#[derive(Debug)]
pub struct Query {
    /// The caller's id of the attempt.
    pub id: String,
    /// The statement as it was sent.
    pub text: String,
    pub kind: Kind,
    pub route: Route,
    /// When it was received.
    pub received_at: Instant,
    /// The same time on the clock by which the age of samples is measured.
    pub received_moment: Moment,
    /// When it is given up if no server has answered.
    pub deadline: Instant,
    /// When it is refused as not run if it still waits.
    pub wait_deadline: Instant,
    /// When it has to be sent to be answered within its goal.
    pub start_by: Instant,
    /// When it is sent to another server if it is an unanswered read.
    pub hedge_at: Option<Instant>,
    /// Earliest time of the next attempt.
    pub retry_at: Option<Instant>,
    pub stage: Stage,
    /// It is the statement for which the token of its operation was taken.
    pub has_token: bool,
    /// Position that the server must have applied.
    pub after: Option<Point>,
    /// Indices of the servers on which it was tried.
    pub tried_servers: Vec<usize>,
    /// Index of the server that had no connection for it at the last attempt.
    pub waits_for: Option<usize>,
    /// Why it was last retried.
    pub retry_cause: Option<Code>,
}

impl Query {
    #[must_use]
    pub fn urgency(&self) -> Urgency {
        Urgency {
            rank: self.route.priority,
            start_by: self.start_by,
        }
    }

    /// The content that is forwarded to a server.
    #[must_use]
    pub fn body(&self) -> Body<'_> {
        match self.kind {
            Kind::Execute {
                number,
                arguments_start,
                ..
            } => Body::Execute {
                number,
                arguments: &self.text[arguments_start..],
            },
            Kind::Plain(_) | Kind::Commit => Body::Text(&self.text),
        }
    }

    /// When the loop has to check it next.
    #[must_use]
    pub fn next_due(&self) -> Instant {
        match self.stage {
            Stage::Waiting => {
                let pause = self.retry_at.unwrap_or(self.wait_deadline);
                pause.min(self.wait_deadline)
            }
            Stage::Unadmitted | Stage::Preparing(_) => self.wait_deadline,
            Stage::Held => self.deadline,
            Stage::Sent(_) => self.hedge_at.unwrap_or(self.deadline).min(self.deadline),
        }
    }
}

/// The session of a caller on one connection.
#[derive(Debug)]
pub struct Session {
    /// Its socket.
    pub handle: io::Handle,
    /// Bytes that contain no complete message yet, or wait for the current query.
    pub inbox: BytesMut,
    /// Bytes to send at the end of the loop's turn.
    pub out: BytesMut,
    /// Database of the startup message; `None` before it.
    pub database: Option<String>,
    /// Digest of the key that the startup message named.
    pub digest: Option<Digest>,
    /// Variables that were acknowledged to the caller.
    pub variables: BTreeMap<String, String>,
    /// Numbers of the shapes of prepared statements, by name.
    pub prepared: HashMap<String, u32>,
    /// The session's last commit.
    pub last_commit: Option<Sample>,
    pub transaction: Option<Transaction>,
    /// The current query.
    pub query: Option<Query>,
    /// Invariant: set if and only if the stage of the query is [`Stage::Held`].
    pub held: Option<Held>,
    /// A transaction that was assumed to be read-only has written.
    pub assumption_failed: bool,
    /// Set once the proxy closes the session.
    pub closing: Option<Closing>,
}

/// Progress of a session that the proxy closes. It ends once all statements that were read are
/// answered and its bytes have been handed to the socket.
#[derive(Clone, Copy, Debug)]
pub struct Closing {
    /// Why statements that were read ahead are refused; `None` if no answer is owed to them.
    pub refusal: Option<Reason>,
    /// No more bytes of the caller follow.
    pub read_ended: bool,
}

impl Session {
    /// A session before its startup message.
    #[must_use]
    pub fn new(handle: io::Handle) -> Self {
        Self {
            handle,
            inbox: BytesMut::new(),
            out: BytesMut::new(),
            database: None,
            digest: None,
            variables: BTreeMap::new(),
            prepared: HashMap::default(),
            last_commit: None,
            transaction: None,
            query: None,
            held: None,
            assumption_failed: false,
            closing: None,
        }
    }

    /// The state that is reported to the caller.
    #[must_use]
    pub fn state(&self) -> State {
        match &self.transaction {
            None => State::Idle,
            Some(transaction) if transaction.failed => State::Failed,
            Some(_) => State::Open,
        }
    }

    /// Whether the session is closing and has nothing left to answer or to hand to the socket.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        let read_ended = self.closing.is_some_and(|closing| closing.read_ended);
        read_ended && self.query.is_none() && self.handle.backlog_bytes() == 0
    }

    /// Whether the caller has nothing open, so that closing the session interrupts nothing.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.query.is_none() && self.transaction.is_none() && self.inbox.is_empty()
    }
}

//! A caller's session.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use ahash::HashMap;
use bytes::BytesMut;
use link::io;
use registry::Sample;
use registry::plan::Freshness;
use types::Point;

use crate::event::ConnKey;
use crate::protocol::{Access, Body, Code, State};
use clock::Moment;

/// Values that a session may set.
pub const MAX_VALUES: usize = 100;
/// Prepared names that a session may hold.
pub const MAX_PREPARED: usize = 1000;

/// A route as statements carry it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Route {
    /// Index of the service.
    pub service: usize,
    /// What reads may see.
    pub freshness: Freshness,
    /// Longest time for one statement.
    pub timeout: Duration,
    /// Response time that callers aim for.
    pub goal: Duration,
    /// Rank among waiting statements; 0 goes first.
    pub priority: u8,
}

/// An open transaction.
#[derive(Debug)]
pub struct Transaction {
    /// The route in force at its begin.
    pub route: Route,
    /// It will only read: by its caller's word, or by what its route is for.
    pub read_only: bool,
    /// Its caller has not said so.
    pub assumed: bool,
    /// When its begin was received.
    pub arrived: Moment,
    /// Connection that it runs on, from its first statement on.
    pub conn: Option<ConnKey>,
    /// A statement of it has run.
    pub used: bool,
    /// A write of it has run.
    pub wrote: bool,
    /// It can only be ended.
    pub failed: bool,
    /// When it may be ended for resting.
    pub rests_until: Option<Instant>,
}

/// What a statement does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// It reads or writes, as sent by the caller.
    Plain(Access),
    /// It runs a prepared statement.
    Execute {
        /// What that does.
        access: Access,
        /// Number of its shape.
        number: u32,
        /// Where the arguments begin in the text.
        arguments: usize,
    },
    /// It commits.
    Commit,
}

impl Kind {
    /// Whether the statement may change data, by itself or as the end of its transaction.
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

/// Where a statement stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// It waits for a connection, a primary, or the end of a pause.
    Waiting,
    /// A connection prepares for it; it has not been sent.
    Preparing(ConnKey),
    /// It was sent.
    Sent(ConnKey),
}

/// A statement under way.
#[derive(Debug)]
pub struct Work {
    /// The caller's name for the attempt.
    pub id: String,
    /// The statement as it was sent.
    pub text: String,
    /// What it does.
    pub kind: Kind,
    /// Its route.
    pub route: Route,
    /// When it was received.
    pub arrived: Instant,
    /// The same on the clock for ages.
    pub moment: Moment,
    /// Until when a server may answer.
    pub deadline: Instant,
    /// Until when it may wait before it is refused as not run.
    pub hold_until: Instant,
    /// When an unanswered read is sent to another server.
    pub hedge_at: Option<Instant>,
    /// Not tried again before this.
    pub pause_until: Option<Instant>,
    /// Where it stands.
    pub stage: Stage,
    /// Position that was named to the server.
    pub after: Option<Point>,
    /// Servers that it was tried on.
    pub tried: Vec<usize>,
    /// Why it was tried again last.
    pub retried: Option<Code>,
}

impl Work {
    /// What is passed on to a server.
    #[must_use]
    pub fn body(&self) -> Body<'_> {
        match self.kind {
            Kind::Execute {
                number, arguments, ..
            } => Body::Execute {
                number,
                arguments: &self.text[arguments..],
            },
            Kind::Plain(_) | Kind::Commit => Body::Text(&self.text),
        }
    }

    /// When the loop has to look at it next.
    #[must_use]
    pub fn due(&self) -> Instant {
        match self.stage {
            Stage::Waiting => {
                let pause = self.pause_until.unwrap_or(self.hold_until);
                pause.min(self.hold_until)
            }
            Stage::Preparing(_) => self.hold_until,
            Stage::Sent(_) => self.hedge_at.unwrap_or(self.deadline).min(self.deadline),
        }
    }
}

/// A session. It is one connection of a caller.
#[derive(Debug)]
pub struct Session {
    /// Its socket.
    pub handle: io::Handle,
    /// Bytes that hold no complete message yet, or wait for the statement under way.
    pub inbox: BytesMut,
    /// Bytes to send at the end of the loop's turn.
    pub out: BytesMut,
    /// Database that it named; none before its first message.
    pub database: Option<String>,
    /// Values that were acknowledged to the caller.
    pub values: BTreeMap<String, String>,
    /// Prepared names with the numbers of their shapes.
    pub prepared: HashMap<String, u32>,
    /// Its last commit.
    pub own: Option<Sample>,
    /// The open transaction.
    pub transaction: Option<Transaction>,
    /// The statement under way.
    pub work: Option<Work>,
    /// It has written in a transaction that was taken for a reading one.
    pub writes: bool,
    /// To be closed once its bytes are with its socket.
    pub closing: bool,
}

impl Session {
    /// A session of which nothing is known yet.
    #[must_use]
    pub fn new(handle: io::Handle) -> Self {
        Self {
            handle,
            inbox: BytesMut::new(),
            out: BytesMut::new(),
            database: None,
            values: BTreeMap::new(),
            prepared: HashMap::default(),
            own: None,
            transaction: None,
            work: None,
            writes: false,
            closing: false,
        }
    }

    /// State that the caller is told.
    #[must_use]
    pub fn state(&self) -> State {
        match &self.transaction {
            None => State::Idle,
            Some(open) if open.failed => State::Failed,
            Some(_) => State::Open,
        }
    }

    /// Whether nothing of the caller is open, so that a close cuts nothing.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.work.is_none() && self.transaction.is_none() && self.inbox.is_empty()
    }
}

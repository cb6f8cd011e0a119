//! A connection to a server, or one that is borrowed from another proxy.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Instant;

use ahash::HashSet;
use bytes::BytesMut;
use clock::Moment;
use link::io;
use types::Point;

use crate::event::SessionKey;
use crate::protocol::Code;
use crate::tenant;

/// Purpose of a message to a server, which tells how its answer is handled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// Startup of the connection.
    Startup,
    /// Sets a variable, resets the connection or prepares a shape for the session that uses it.
    Setup,
    /// Begins a transaction.
    Begin {
        sent_at: Moment,
        /// The transaction may write, so that only a leader accepts it.
        writing: bool,
    },
    /// Runs the session's statement.
    Statement { sent_at: Moment },
    /// Rolls back a transaction; no session waits for the answer.
    Rollback,
}

/// Result of the current answer, before its last message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The statement has run.
    Complete,
    Error(Code),
}

/// A connection of another proxy.
#[derive(Clone, Copy, Debug)]
pub struct Loan {
    /// Address of the lender for streams from other proxies.
    pub lender: SocketAddr,
    /// Number of the loan.
    pub number: u64,
    /// The lender has granted the connection.
    pub granted: bool,
}

/// A connection to a server.
#[derive(Debug)]
pub struct Conn {
    /// Index of the server.
    pub server: usize,
    /// The tenant in whose name it was opened; it serves no other.
    pub tenant: Option<tenant::Id>,
    /// It has served a statement or a loan.
    pub has_been_used: bool,
    /// Its socket, once it is open.
    pub handle: Option<io::Handle>,
    /// Bytes that contain no complete message yet.
    pub inbox: BytesMut,
    /// Bytes to send at the end of the loop's turn.
    pub out: BytesMut,
    /// Messages whose answers are pending, in order.
    pub pending: VecDeque<Purpose>,
    /// Encoded messages of the current answer, which are passed on to the caller.
    pub answer: BytesMut,
    /// Result of the current answer.
    pub outcome: Option<Outcome>,
    /// Session variables that are set on the connection.
    pub variables: BTreeMap<String, String>,
    /// Numbers of the shapes that are prepared on the connection.
    pub prepared: HashSet<u32>,
    /// Session that uses the connection.
    pub session: Option<SessionKey>,
    /// A transaction is open that the proxy itself began for a single read.
    pub implicit_transaction: bool,
    /// End of the server's log, as far as it was known, when the last statement was sent.
    pub log_end: Option<Point>,
    /// Token of the choice of the service's primary that was known then; 0 before the first one.
    pub token: u64,
    /// When its last use began or ended.
    pub used_at: Instant,
    /// Another proxy may have left unknown variables and shapes on it.
    pub needs_reset: bool,
    /// Set if it is borrowed from another proxy. Invariant: `handle` is `None` then.
    pub loan: Option<Loan>,
    /// Stream and number of the loan under which another proxy uses it.
    pub lent_to: Option<(u64, u64)>,
    /// Messages of the borrower whose answers are pending. A loan begins with one, for the statement
    /// for which it was granted.
    pub lent_pending: usize,
    /// The borrower has sent a message.
    pub lent_started: bool,
}

impl Conn {
    /// A connection that is being opened.
    #[must_use]
    pub fn new(server: usize, tenant: Option<tenant::Id>, now: Instant) -> Self {
        Self {
            server,
            tenant,
            has_been_used: false,
            handle: None,
            inbox: BytesMut::new(),
            out: BytesMut::new(),
            pending: VecDeque::from([Purpose::Startup]),
            answer: BytesMut::new(),
            outcome: None,
            variables: BTreeMap::new(),
            prepared: HashSet::default(),
            session: None,
            implicit_transaction: false,
            log_end: None,
            token: 0,
            used_at: now,
            needs_reset: false,
            loan: None,
            lent_to: None,
            lent_pending: 0,
            lent_started: false,
        }
    }

    /// Whether something runs on the connection that takes a slot of its server.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        let takes_slot = |purpose: &Purpose| match purpose {
            Purpose::Startup | Purpose::Begin { .. } | Purpose::Statement { .. } => true,
            Purpose::Setup | Purpose::Rollback => false,
        };
        let is_own = self.loan.is_none();
        (is_own && self.pending.iter().any(takes_slot)) || self.lent_pending > 0
    }

    /// A connection that a lender is asked for.
    #[must_use]
    pub fn borrowed(server: usize, tenant: Option<tenant::Id>, now: Instant, loan: Loan) -> Self {
        Self {
            pending: VecDeque::new(),
            needs_reset: true,
            loan: Some(loan),
            ..Self::new(server, tenant, now)
        }
    }
}

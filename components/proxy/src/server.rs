//! Servers and services as this entry sees them.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::choose::Candidate;
use crate::event::{ConnKey, SessionKey};
use crate::freshness::Track;
use crate::lend::Asked;
use crate::protocol::Code;
use ahash::HashSet;
use bytes::BytesMut;
use clock::Moment;
use link::io;
use registry::Life;

/// Latency that is assumed of a server before its first answer.
const FIRST_LATENCY: Duration = Duration::from_millis(5);
/// Weight of the latest answer in the smoothed latency.
const SMOOTHING: f64 = 0.2;
/// First pause after a failure; doubled by each further one.
const PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after failures.
const MAX_PAUSE: Duration = Duration::from_millis(1600);
/// How long the lag that a server showed is assumed to last.
const LAGGING: Duration = Duration::from_millis(300);
/// Time without a served statement in which a smoothed latency halves: a server that was slow once
/// would never be tried again otherwise.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Multiple of a route's goal from which a primary's smoothed latency counts as slow.
const SLOW_FACTOR: u32 = 2;
/// How long a primary has to be slow. Demand that swells for a moment is over before.
const SLOW: Duration = Duration::from_millis(1500);
/// Time after a change of primary in which slowness is no reason for another.
const SETTLED: Duration = Duration::from_secs(10);
/// Connections of one server that an entry may have borrowed or asked for.
const MAX_LOANS: usize = 64;
/// How long no connection is opened after the server had none to give.
const FULL: Duration = Duration::from_millis(300);

/// What an answer in the making belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expect {
    /// The opening of the connection.
    Startup,
    /// A value, a reset or a preparation for the session that uses the connection.
    Setup,
    /// The begin of a transaction, sent at this moment.
    Begin {
        /// When it was sent.
        at: Moment,
        /// It may write, so that only a primary takes it.
        writing: bool,
    },
    /// The statement of the session.
    Statement {
        /// When it was sent.
        at: Moment,
    },
    /// The end of a transaction that nobody waits for.
    Rollback,
}

/// How the answer in the making ended before its last message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// Well.
    Done,
    /// With an error.
    Error(Code),
}

/// A connection of another entry.
#[derive(Clone, Copy, Debug)]
pub struct Loan {
    /// Link address of the entry.
    pub lender: SocketAddr,
    /// Number of the loan.
    pub number: u64,
    /// The connection may be used.
    pub granted: bool,
}

/// A connection to a server.
#[derive(Debug)]
pub struct Conn {
    /// Index of the server.
    pub server: usize,
    /// Its socket, once it is open.
    pub handle: Option<io::Handle>,
    /// Bytes that hold no complete message yet.
    pub inbox: BytesMut,
    /// Bytes to send at the end of the loop's turn.
    pub out: BytesMut,
    /// Answers that are due, in order.
    pub expected: VecDeque<Expect>,
    /// Messages of the present answer for the caller, as they came.
    pub answer: BytesMut,
    /// How the present answer ended.
    pub ended: Option<Ended>,
    /// Values set on it.
    pub values: BTreeMap<String, String>,
    /// Shapes prepared on it.
    pub prepared: HashSet<u32>,
    /// Session that uses it.
    pub session: Option<SessionKey>,
    /// A transaction that the entry began for a single read is open.
    pub wrapped: bool,
    /// When its last use began or ended.
    pub since: Instant,
    /// Values and shapes that another entry may have left on it are unknown.
    pub stale: bool,
    /// It belongs to another entry. Invariant: there is no socket then.
    pub loan: Option<Loan>,
    /// Stream and number of the loan under which another entry uses it.
    pub lent_to: Option<(u64, u64)>,
}

impl Conn {
    /// A connection that is being opened.
    #[must_use]
    pub fn new(server: usize, now: Instant) -> Self {
        Self {
            server,
            handle: None,
            inbox: BytesMut::new(),
            out: BytesMut::new(),
            expected: VecDeque::from([Expect::Startup]),
            answer: BytesMut::new(),
            ended: None,
            values: BTreeMap::new(),
            prepared: HashSet::default(),
            session: None,
            wrapped: false,
            since: now,
            stale: false,
            loan: None,
            lent_to: None,
        }
    }

    /// A connection that another entry is asked for.
    #[must_use]
    pub fn borrowed(server: usize, now: Instant, loan: Loan) -> Self {
        Self {
            expected: VecDeque::new(),
            stale: true,
            loan: Some(loan),
            ..Self::new(server, now)
        }
    }
}

/// A server.
#[derive(Debug)]
pub struct Server {
    /// Its identity.
    pub id: String,
    /// Index of its service.
    pub service: usize,
    /// Where it takes connections.
    pub address: SocketAddr,
    /// Its present life.
    pub life: Life,
    /// It is in the entry's own failure domain.
    pub local: bool,
    /// The registry holds it.
    pub listed: bool,
    /// Since when it takes no new work.
    pub draining_since: Option<Instant>,
    /// All connections.
    pub conns: Vec<ConnKey>,
    /// Those that nobody uses, the latest used last.
    pub idle: Vec<ConnKey>,
    /// Those that belong to other entries or are asked for there.
    pub loans: usize,
    /// Those that are being opened, or asked for.
    pub opening: usize,
    /// Other entries that wait for a connection, in their order.
    pub asked: VecDeque<Asked>,
    /// This entry's share of the connections.
    pub share: usize,
    /// Other entries of the failure domain keep its connections.
    pub borrows: bool,
    /// Connections beyond the share that may be borrowed at present.
    borrow: usize,
    /// Connections that all entries share.
    shared: usize,
    /// Statements of this entry that it works on.
    pub running: usize,
    latency: Duration,
    pause: Option<Duration>,
    down_until: Option<Instant>,
    full_until: Option<Instant>,
    /// How far its log was behind when it answered last.
    lag: Option<Duration>,
    /// When it served a statement last.
    served_at: Option<Instant>,
    /// Last answer of any kind.
    pub answered_at: Option<Instant>,
}

impl Server {
    /// A server of which only the registry's entry is known.
    #[must_use]
    pub fn new(registered: &registry::Server, service: usize, local: bool) -> Self {
        Self {
            id: registered.id.clone(),
            service,
            address: registered.address,
            life: registered.life,
            local,
            listed: true,
            draining_since: None,
            conns: Vec::new(),
            idle: Vec::new(),
            loans: 0,
            opening: 0,
            asked: VecDeque::new(),
            share: 1,
            borrows: false,
            borrow: 0,
            shared: 1,
            running: 0,
            latency: FIRST_LATENCY,
            pause: None,
            down_until: None,
            full_until: None,
            lag: None,
            served_at: None,
            answered_at: None,
        }
    }

    /// Whether a connection may be opened now, or another entry asked for one.
    #[must_use]
    pub fn has_room(&self, now: Instant) -> bool {
        if self.borrows {
            self.listed && !self.is_down(now) && self.conns.len() < MAX_LOANS
        } else {
            self.has_own_room(now)
        }
    }

    /// Whether a connection of this entry's own may be opened now.
    #[must_use]
    pub fn has_own_room(&self, now: Instant) -> bool {
        let full = self.full_until.is_some_and(|until| now < until);
        let (own, most) = (self.conns.len() - self.loans, self.share + self.borrow);
        self.listed && !full && !self.is_down(now) && own < most
    }

    /// Whether it is passed over after failures.
    #[must_use]
    pub fn is_down(&self, now: Instant) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }

    /// Until when it is passed over after failures or for want of connections.
    #[must_use]
    pub fn paused_until(&self) -> Option<Instant> {
        self.down_until.max(self.full_until)
    }

    /// A statement was answered after `took`.
    pub fn on_served(&mut self, now: Instant, took: Duration) {
        self.served_at = Some(now);
        self.latency = self.latency.mul_f64(1.0 - SMOOTHING) + took.mul_f64(SMOOTHING);
    }

    /// Smoothed time of its answers.
    #[must_use]
    pub fn latency(&self) -> Duration {
        self.latency
    }

    /// It answered something.
    pub fn on_answer(&mut self, now: Instant, lag: Option<Duration>) {
        self.answered_at = Some(now);
        self.pause = None;
        self.down_until = None;
        self.lag = lag;
    }

    /// It could not be reached, or left a statement unanswered.
    pub fn on_failure(&mut self, now: Instant) {
        let pause = self.pause.map_or(PAUSE, |pause| (pause * 2).min(MAX_PAUSE));
        self.pause = Some(pause);
        self.down_until = Some(now + pause);
    }

    /// Forgets failures, as something has changed.
    pub fn forgive(&mut self, now: Instant) {
        self.pause = None;
        self.down_until = self.down_until.map(|until| until.min(now));
    }

    /// It had no connection to give: nothing is borrowed any more.
    pub fn on_full(&mut self, now: Instant) {
        self.full_until = Some(now + FULL);
        self.borrow = 0;
    }

    /// Whether entries are so many that they can't all keep a connection: each opens one for its
    /// use and closes it soon after.
    #[must_use]
    pub fn is_crowded(&self) -> bool {
        self.share < 2
    }

    /// Sets this entry's share, of all that are shared.
    pub fn set_share(&mut self, share: usize, shared: usize) {
        (self.share, self.shared) = (share, shared);
    }

    /// It gave a sign of life on a connection that is lent.
    pub fn on_sign(&mut self, now: Instant) {
        self.answered_at = Some(now);
        self.pause = None;
        self.down_until = None;
    }

    /// Statements wait although the share is used up: one more connection may be borrowed, as
    /// other entries rarely use all of theirs.
    pub fn borrow(&mut self, now: Instant) {
        let full = self.full_until.is_some_and(|until| now < until);
        let most = self.shared.saturating_sub(self.share) / 2;
        if !self.borrows
            && !full
            && self.conns.len() >= self.share + self.borrow
            && self.borrow < most
        {
            self.borrow += 1;
        }
    }

    /// As a candidate for a read.
    #[must_use]
    pub fn candidate(&self, index: usize, primary: bool, tried: bool, now: Instant) -> Candidate {
        let recent = self.answered_at.is_some_and(|at| now < at + LAGGING);
        let rest = self.served_at.map(|at| now.saturating_duration_since(at));
        let half_lives = rest.map_or(0.0, |rest| rest.div_duration_f64(HALF_LIFE));
        Candidate {
            index,
            draining: self.draining_since.is_some() || !self.listed,
            primary,
            local: self.local,
            idle: !self.idle.is_empty(),
            room: self.has_room(now),
            running: self.running,
            latency: self.latency.mul_f64(0.5_f64.powf(half_lives)),
            down_until: self.down_until,
            lag: self.lag.filter(|_| recent),
            tried,
        }
    }
}

/// A service.
#[derive(Debug)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Indices of its servers.
    pub servers: Vec<usize>,
    /// Index of the server that leads, as far as is known.
    pub primary: Option<usize>,
    /// Positions of the primary.
    pub track: Track,
    /// When the last statement for it was received.
    pub used_at: Option<Instant>,
    /// When the coordinators last had an answer of the primary.
    pub heard_at: Option<Moment>,
    /// Statements that wait.
    pub waiting: VecDeque<SessionKey>,
    /// Since when the primary can't be used.
    pub missed_since: Option<Instant>,
    /// Since when the primary answers far too slowly.
    pub slow_since: Option<Instant>,
    /// When the last promotion was known to have taken effect.
    pub confirmed_at: Option<Instant>,
    /// Token of the last promotion that is known to have taken effect.
    pub confirmed: u64,
    /// Connections that each server takes from all callers together.
    pub connections: u32,
    /// Whether this entry lends connections; none while no entries are known.
    pub lends: Option<bool>,
    /// Until when this entry lends in place of others.
    pub stands_in_until: Option<Instant>,
    /// Entries that lend connections, in the order in which they are asked.
    pub lenders: Vec<SocketAddr>,
}

impl Service {
    /// Takes note of how slowly the primary answers, by the goal of a statement that it served.
    pub fn on_primary_latency(&mut self, now: Instant, latency: Duration, goal: Duration) {
        if latency > goal * SLOW_FACTOR {
            self.slow_since.get_or_insert(now);
        } else {
            self.slow_since = None;
        }
    }

    /// Whether the primary has been slow for so long that another one is better. A change costs a
    /// second without writes, and is of no use where callers simply are too many: one in a while.
    #[must_use]
    pub fn is_primary_slow(&self, now: Instant) -> bool {
        let slow = self.slow_since.is_some_and(|since| now >= since + SLOW);
        slow && self.confirmed_at.is_none_or(|at| now >= at + SETTLED)
    }

    /// A service without servers.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            servers: Vec::new(),
            primary: None,
            track: Track::default(),
            used_at: None,
            heard_at: None,
            waiting: VecDeque::new(),
            missed_since: None,
            slow_since: None,
            confirmed_at: None,
            confirmed: 0,
            connections: 0,
            lends: None,
            stands_in_until: None,
            lenders: Vec::new(),
        }
    }
}

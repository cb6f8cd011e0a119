//! Servers as this proxy sees them, and its connections to them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::choose::Candidate;
use crate::event::ConnKey;
use crate::lend::Waiter;
use crate::lenders::Lending;
use admission::tenancy::Times;
use admission::{Queue, Window};
use registry::Life;
use types::{Name, Point};

/// Assumed latency of a server before its first answer.
const INITIAL_LATENCY: Duration = Duration::from_millis(5);
/// Weight of the latest answer in the smoothed latency.
const LATENCY_SMOOTHING: f64 = 0.2;
/// Pause after the first failure, doubled with each further one.
const FIRST_FAILURE_PAUSE: Duration = Duration::from_millis(100);
/// Upper limit of the pause after failures.
const MAX_FAILURE_PAUSE: Duration = Duration::from_millis(1600);
/// How long the last lag of a server is assumed to hold.
const LAG_VALIDITY: Duration = Duration::from_millis(300);
/// Time without a served statement in which the smoothed latency halves, so that a server that was
/// slow once is tried again.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(2);
/// Maximum number of connections to one server that are borrowed or requested from lenders.
const MAX_LOANS: usize = 64;
/// How long all slots of a server are assumed to be taken once a lender has queued a request.
const FULL_SLOTS_PERIOD: Duration = Duration::from_millis(40);
/// How long reads prefer other servers once a lender has not answered a request. It is checked again
/// before the end.
const UNANSWERED_REQUEST_PERIOD: Duration = Duration::from_millis(300);
/// How long no connection is opened after the server had none left.
const FULL_PAUSE: Duration = Duration::from_millis(300);

/// A server.
#[derive(Debug)]
pub struct Server {
    pub id: String,
    /// Index of the service.
    pub service: usize,
    /// Address for connections.
    pub address: SocketAddr,
    /// The current life of the server.
    pub life: Life,
    /// Failure domain.
    pub domain: Name,
    /// The server is in the proxy's own failure domain.
    pub local: bool,
    /// The registry contains the server.
    pub listed: bool,
    /// Since when the server takes no new statements.
    pub draining_since: Option<Instant>,
    /// All connections.
    pub conns: Vec<ConnKey>,
    /// Unused connections, the most recently used one last.
    pub idle: Vec<ConnKey>,
    /// Number of connections that are borrowed or requested from lenders.
    pub borrowed: usize,
    /// Number of connections that are being opened or requested from lenders.
    pub opening: usize,
    /// Other proxies that wait for a connection.
    pub waiters: Queue<Waiter>,
    /// Some of them may have named a tenant.
    pub has_tenant_waiters: bool,
    /// Measured times of the connections.
    pub times: Times,
    /// This proxy's share of the server's connections.
    pub share: usize,
    /// Other proxies hold the server's connections and lend them.
    pub uses_lenders: bool,
    /// Lenders of this server, which count while the plan has tenants.
    pub lending: Lending,
    /// Lenders that denied a connection to this server, and until when each is skipped. Empty while
    /// the plan has no tenants.
    pub denied: BTreeMap<SocketAddr, Instant>,
    /// Until when no lender can be asked.
    pub no_lender_until: Option<Instant>,
    /// Limit of the statements that run on this proxy's own connections, lent ones included.
    pub window: Window,
    /// Number of connections that may currently be opened beyond the share.
    overcommit: usize,
    /// Number of connections that all proxies share.
    shared_total: usize,
    /// Number of this proxy's statements that the server is running.
    pub running: usize,
    latency: Duration,
    /// Length of the last pause after a failure; `None` if the server has answered since.
    failure_pause: Option<Duration>,
    /// End of the pause after failures, in which the server is skipped.
    down_until: Option<Instant>,
    /// Until when no connection is opened, as the server had none left.
    full_until: Option<Instant>,
    /// Until when all slots are assumed to be taken, as the lender has queued a request.
    full_slots_until: Option<Instant>,
    /// How far the server's log lagged at its last answer.
    lag: Option<Duration>,
    /// Latest end of the server's log that it has named.
    pub log_end: Option<Point>,
    /// When the server last served a statement.
    served_at: Option<Instant>,
    /// When the server last answered anything.
    pub answered_at: Option<Instant>,
}

impl Server {
    /// Creates a server from its registration.
    #[must_use]
    pub fn new(registered: &registry::Server, service: usize, local: bool) -> Self {
        Self {
            id: registered.id.clone(),
            service,
            address: registered.address,
            life: registered.life,
            domain: registered.domain.clone(),
            local,
            listed: true,
            draining_since: None,
            conns: Vec::new(),
            idle: Vec::new(),
            borrowed: 0,
            opening: 0,
            waiters: Queue::default(),
            has_tenant_waiters: false,
            times: Times::default(),
            share: 1,
            uses_lenders: false,
            lending: Lending::default(),
            denied: BTreeMap::new(),
            no_lender_until: None,
            window: Window::new(registered.slots),
            overcommit: 0,
            shared_total: 1,
            running: 0,
            latency: INITIAL_LATENCY,
            failure_pause: None,
            down_until: None,
            full_until: None,
            full_slots_until: None,
            lag: None,
            log_end: None,
            served_at: None,
            answered_at: None,
        }
    }

    /// Whether a connection may be opened or requested from a lender now.
    #[must_use]
    pub fn has_room(&self, now: Instant) -> bool {
        if self.uses_lenders {
            let can_ask = self.no_lender_until.is_none_or(|until| until <= now);
            self.listed && can_ask && !self.is_down(now) && self.conns.len() < MAX_LOANS
        } else {
            self.has_own_room(now)
        }
    }

    /// Whether a connection of this proxy's own may be opened now.
    #[must_use]
    pub fn has_own_room(&self, now: Instant) -> bool {
        self.own_room(now) > 0
    }

    /// Number of connections of this proxy's own that may be opened now.
    #[must_use]
    pub fn own_room(&self, now: Instant) -> usize {
        let own_conns = self.conns.len() - self.borrowed;
        if self.may_open(now) {
            self.own_limit().saturating_sub(own_conns)
        } else {
            0
        }
    }

    /// Number of connections of its own that this proxy may have.
    #[must_use]
    pub fn own_limit(&self) -> usize {
        self.share + self.overcommit
    }

    fn may_open(&self, now: Instant) -> bool {
        let full = self.full_until.is_some_and(|until| now < until);
        self.listed && !full && !self.is_down(now)
    }

    /// Whether a connection of this proxy's own may be put in place of another one now.
    #[must_use]
    pub fn may_replace(&self, now: Instant) -> bool {
        self.may_open(now) && self.conns.len() - self.borrowed <= self.own_limit()
    }

    /// Whether the server is skipped after failures.
    #[must_use]
    pub fn is_down(&self, now: Instant) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }

    /// Until when the server is skipped after failures or because it has no connection left.
    #[must_use]
    pub fn paused_until(&self) -> Option<Instant> {
        self.down_until.max(self.full_until)
    }

    /// Records that a statement was answered after `elapsed`.
    pub fn on_served(&mut self, now: Instant, elapsed: Duration) {
        self.window.on_served();
        self.served_at = Some(now);
        self.latency =
            self.latency.mul_f64(1.0 - LATENCY_SMOOTHING) + elapsed.mul_f64(LATENCY_SMOOTHING);
    }

    /// Smoothed response time.
    #[must_use]
    pub fn latency(&self) -> Duration {
        self.latency
    }

    /// Records an answer and how far the server's log lagged.
    pub fn on_answer(&mut self, now: Instant, lag: Option<Duration>) {
        self.answered_at = Some(now);
        self.failure_pause = None;
        self.down_until = None;
        self.lag = lag;
    }

    /// Records that the server could not be reached or left a statement unanswered.
    pub fn on_failure(&mut self, now: Instant) {
        let pause = self.failure_pause.map_or(FIRST_FAILURE_PAUSE, |pause| {
            (pause * 2).min(MAX_FAILURE_PAUSE)
        });
        self.failure_pause = Some(pause);
        self.down_until = Some(now + pause);
    }

    /// Ends the pause after failures, as the role of the server has changed.
    pub fn clear_failures(&mut self, now: Instant) {
        self.failure_pause = None;
        self.down_until = self.down_until.map(|until| until.min(now));
    }

    /// Records that the server had no connection left, so that no connection beyond the share is
    /// opened.
    pub fn on_connection_limit(&mut self, now: Instant) {
        self.full_until = Some(now + FULL_PAUSE);
        self.overcommit = 0;
    }

    /// Records that the server rejected a statement, as all its slots were taken.
    pub fn on_rejected(&mut self, now: Instant) {
        if !self.uses_lenders {
            self.window.on_rejected(now);
        }
        self.on_full_slots(now);
    }

    /// Records that the lender has queued a request because all slots are taken.
    pub fn on_full_slots(&mut self, now: Instant) {
        self.full_slots_until = Some(now + FULL_SLOTS_PERIOD);
    }

    /// Records that the lender has not answered a request, so that reads prefer other servers.
    pub fn on_unanswered_request(&mut self, now: Instant) {
        self.full_slots_until = Some(now + UNANSWERED_REQUEST_PERIOD);
    }

    /// Whether all slots are assumed to be taken.
    #[must_use]
    pub fn has_full_slots(&self, now: Instant) -> bool {
        self.full_slots_until.is_some_and(|until| now < until)
    }

    /// Whether there are too many proxies for each to keep a connection. Each then opens one when
    /// needed and closes it soon after.
    #[must_use]
    pub fn is_oversubscribed(&self) -> bool {
        self.share < 2
    }

    /// Sets this proxy's share and the number of connections that all proxies share.
    pub fn set_share(&mut self, share: usize, shared_total: usize) {
        (self.share, self.shared_total) = (share, shared_total);
    }

    /// Sets this proxy's share, beyond which it opens no connection.
    pub fn set_exact_share(&mut self, share: usize) {
        self.set_share(share, share);
        self.overcommit = 0;
    }

    /// Records that the server sent bytes on a lent connection.
    pub fn on_lent_bytes(&mut self, now: Instant) {
        self.answered_at = Some(now);
        self.failure_pause = None;
        self.down_until = None;
    }

    /// Allows one more connection beyond the share while statements wait, as other proxies rarely
    /// use all of theirs.
    pub fn overcommit(&mut self, now: Instant) {
        let full = self.full_until.is_some_and(|until| now < until);
        let limit = self.shared_total.saturating_sub(self.share) / 2;
        if !self.uses_lenders
            && !full
            && self.conns.len() >= self.share + self.overcommit
            && self.overcommit < limit
        {
            self.overcommit += 1;
        }
    }

    /// The server as a candidate for a read of a tenant for which it has an idle connection, or
    /// for which one can be opened.
    #[must_use]
    pub fn candidate(
        &self,
        index: usize,
        primary: bool,
        tried: bool,
        (has_idle, can_open): (bool, bool),
        now: Instant,
    ) -> Candidate {
        let recent = self.answered_at.is_some_and(|at| now < at + LAG_VALIDITY);
        let since_served = self.served_at.map(|at| now.saturating_duration_since(at));
        let half_lives = since_served.map_or(0.0, |since_served| {
            since_served.div_duration_f64(LATENCY_HALF_LIFE)
        });
        Candidate {
            index,
            draining: self.draining_since.is_some() || !self.listed,
            primary,
            local: self.local,
            has_idle,
            can_open,
            running: self.running,
            latency: self.latency.mul_f64(0.5_f64.powf(half_lives)),
            full: self.has_full_slots(now),
            down_until: self
                .down_until
                .max(self.no_lender_until.filter(|_| self.uses_lenders)),
            lag: self.lag.filter(|_| recent),
            tried,
        }
    }
}

//! State of a target in this entry: connections, queue and probe.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ahash::HashMap;
use bytes::BytesMut;
use pool::{Pool, Queue, Ticket, connection, queue, service_time};
use relay::Exchange;
use relay::statement::Cache;
use route::{Candidate, Observed};
use types::target::{Announcement, Role, State};
use types::{Name, Point};

use crate::caller::Job;
use crate::event::{CallerKey, ConnKey};
use link::io;

/// Interval of probes while no write or read waits for a replica.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of probes while a write or read waits for a replica that made no progress.
pub const AWAITED_PROBE_INTERVAL: Duration = Duration::from_millis(1);
/// Pause before a failed probe connection is opened again.
pub const PROBE_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time limit for the answer to a probe; then its connection is closed.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an idle connection stays open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Service time from which a statement counts as long, unless typical ones are slower.
const LONG_SERVICE_TIME: Duration = Duration::from_millis(50);
/// Longest wait before a long statement gets priority.
const MAX_LONG_WAIT: Duration = Duration::from_millis(500);

/// What a connection is used for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// Statements of callers; the id is that of the pool.
    Pool(connection::Id),
    /// Queries of the target's role and position.
    Probe,
}

#[derive(Debug)]
pub struct Conn {
    /// Index of its target.
    pub target_index: usize,
    pub purpose: Purpose,
    /// Handle of its socket, once it is open.
    pub handle: Option<io::Handle>,
    /// Received bytes that do not form a complete frame yet.
    pub inbox: BytesMut,
    /// Bytes to send at the end of the event loop's turn.
    pub out: BytesMut,
    /// Statements prepared on this connection.
    pub prepared: Cache,
    /// The exchange in progress.
    pub exchange: Option<Exchange>,
    /// Caller that the connection is reserved for.
    pub caller: Option<CallerKey>,
    /// Queue slot held by the running statement.
    pub ticket: Option<Ticket>,
    /// Whether a part of the current answer was forwarded to the caller.
    pub forwarded: bool,
    /// The current batch.
    pub job: Option<Job>,
    /// Bytes of the current batch if it can be retried after the loss of the target.
    pub replay: Option<BytesMut>,
    /// When the current batch was sent.
    pub sent_at: Instant,
    /// Process id for CancelRequest.
    pub process: i32,
    /// Secret for CancelRequest.
    pub secret: i32,
    /// Cancel connections in progress; meanwhile the connection is not returned to its pool.
    pub pending_cancels: u32,
    /// Parameters set on the connection for its last caller.
    pub parameters: Vec<(String, String)>,
}

impl Conn {
    /// A connection that is being opened.
    #[must_use]
    pub fn new(target_index: usize, purpose: Purpose, now: Instant) -> Self {
        Self {
            target_index,
            purpose,
            handle: None,
            inbox: BytesMut::new(),
            out: BytesMut::new(),
            prepared: Cache::default(),
            exchange: None,
            caller: None,
            ticket: None,
            forwarded: false,
            job: None,
            replay: None,
            sent_at: now,
            process: 0,
            secret: 0,
            pending_cancels: 0,
            parameters: Vec::new(),
        }
    }
}

/// Periodic query of a target's role and position on a connection of its own.
#[derive(Debug)]
pub struct Probe {
    /// Connection of the probe.
    pub conn: Option<ConnKey>,
    /// When the next query or connection attempt is due; None while an answer is pending.
    pub next_at: Option<Instant>,
    /// When the current query was sent or the connection attempt began.
    pub sent_at: Instant,
    /// When the last answer arrived; the start of the probe if there was none.
    pub answered_at: Instant,
    /// When probing started. Silence before that says nothing about the target.
    pub started_at: Instant,
    /// Role and position in the last answer.
    pub last_answer: Option<(Role, Observed)>,
    /// Whether the last answer showed a new position.
    pub progressed: bool,
}

/// A target, with this entry's connections to it.
#[derive(Debug)]
pub struct Target {
    pub name: Name,
    pub database: Name,
    /// Failure domain.
    pub domain: Name,
    /// Address of its PostgreSQL server.
    pub address: SocketAddr,
    /// State by the catalog.
    pub state: State,
    /// Whether the target is still in the catalog.
    pub in_catalog: bool,
    /// Connections for statements.
    pub pool: Pool,
    /// Limits of the queue.
    limits: queue::Limits,
    /// Slots that long statements of this entry may hold: a share of those of all entries.
    long_slots: u32,
    /// Statements that wait or run.
    pub queue: Queue,
    /// When the queue and the pool are checked next without an event. They share one timer, since
    /// one for each statement would stay until the idle deadline of its connection.
    pub queue_due_at: Option<Instant>,
    /// Callers of queued batches.
    pub queued_callers: HashMap<Ticket, CallerKey>,
    /// Connections by their id in the pool.
    pub conns: HashMap<connection::Id, ConnKey>,
    pub probe: Probe,
    /// The target's last announcement, with its expiry.
    pub announcement: Option<(Announcement, Instant)>,
    /// Connections allowed at present, including that of the probe.
    pub quota: u32,
}

impl Target {
    /// A target that is new in the catalog.
    #[must_use]
    pub fn new(announcement: &Announcement, now: Instant) -> Self {
        let limits = connection::Limits {
            quota: 0,
            min_live: 1,
            idle_timeout: IDLE_TIMEOUT,
        };
        Self {
            name: announcement.target.clone(),
            database: announcement.database.clone(),
            domain: announcement.domain.clone(),
            address: announcement.address,
            state: State::Serving,
            in_catalog: true,
            pool: Pool::new(limits),
            limits: queue_limits(1, 0, 1),
            long_slots: 0,
            queue: Queue::new(queue_limits(1, 0, 1)),
            queue_due_at: None,
            queued_callers: HashMap::default(),
            conns: HashMap::default(),
            probe: Probe {
                conn: None,
                next_at: Some(now),
                sent_at: now,
                answered_at: now,
                started_at: now,
                last_answer: None,
                progressed: false,
            },
            announcement: None,
            quota: 0,
        }
    }

    /// Applies the state and settings of the catalog.
    pub fn configure(&mut self, catalog_target: &catalog::Target) {
        let values = catalog_target.values();
        self.state = catalog_target.state();
        self.domain = catalog_target.announcement().domain.clone();
        self.address = catalog_target.announcement().address;
        self.limits = queue_limits(
            catalog_target.slots(),
            self.long_slots,
            values.queue_max_waiting,
        );
        self.queue.set_limits(self.limits);
    }

    /// Whether the target answers its probe; `silence_limit` is the silence that counts as failure.
    #[must_use]
    pub fn is_up(&self, now: Instant, silence_limit: Duration) -> bool {
        self.probe.last_answer.is_some()
            && now.saturating_duration_since(self.probe.answered_at) <= silence_limit
    }

    /// How long the target has left the probe unanswered; None while the quota allows no
    /// connection.
    #[must_use]
    pub fn silence(&self, now: Instant) -> Option<Duration> {
        let from = self.probe.answered_at.max(self.probe.started_at);
        (self.quota > 0).then(|| now.saturating_duration_since(from))
    }

    /// Whether an unexpired announcement of the target was received here.
    #[must_use]
    pub fn is_heard(&self, now: Instant) -> bool {
        self.announcement
            .as_ref()
            .is_some_and(|(_, until)| now < *until)
    }

    /// Current state: that of the catalog, or leaving if the target itself announces so.
    #[must_use]
    pub fn state(&self, now: Instant) -> State {
        let leaving = self
            .announcement
            .as_ref()
            .is_some_and(|(a, until)| a.leaving && now < *until);
        if leaving { State::Leaving } else { self.state }
    }

    /// The target as a candidate of a routing decision.
    #[must_use]
    pub fn candidate(
        &self,
        index: usize,
        domain: &Name,
        silence_limit: Duration,
        now: Instant,
    ) -> Candidate {
        let load = self.queue.running() + self.queue.waiting();
        Candidate {
            target: index,
            same_domain: self.domain == *domain,
            state: self.state(now),
            role: self
                .probe
                .last_answer
                .map_or(Role::Replica, |(role, _)| role),
            observed: self.probe.last_answer.map(|(_, observed)| observed),
            reachable: self.is_up(now, silence_limit),
            announced_directly: self.is_heard(now),
            load: u32::try_from(load).unwrap_or(u32::MAX),
            connections: self.pool.quota(),
        }
    }

    /// Position in the last answer to the probe.
    #[must_use]
    pub fn point(&self) -> Option<Point> {
        self.probe.last_answer.map(|(_, observed)| observed.point)
    }

    /// Sets the slots that long statements may hold. True if they have changed.
    pub fn set_long_slots(&mut self, slots: u32) -> bool {
        let changed = self.long_slots != slots;
        self.long_slots = slots;
        if changed {
            self.limits.long_max = slots;
            self.queue.set_limits(self.limits);
        }
        changed
    }

    /// Whether the connections are within the granted quota.
    #[must_use]
    pub fn is_within_quota(&self) -> bool {
        self.pool.count().total() <= self.pool.quota()
    }

    /// Whether a statement of this shape has to wait until a slot for long statements is granted.
    #[must_use]
    pub fn lacks_long_slot(&self, key: pool::Key, service_times: &service_time::Table) -> bool {
        self.long_slots == 0 && service_times.is_long(key, LONG_SERVICE_TIME)
    }

    /// Connections that the entry would use without a limit.
    #[must_use]
    pub fn demand(&self) -> u32 {
        let waiting = u32::try_from(self.queue.waiting()).unwrap_or(u32::MAX);
        self.pool
            .count()
            .in_use
            .saturating_add(waiting)
            .saturating_add(2)
    }
}

fn queue_limits(slots: u32, long_max: u32, waiting: u32) -> queue::Limits {
    queue::Limits {
        slots,
        long_max,
        waiting_max: waiting as usize,
        long_after: LONG_SERVICE_TIME,
        max_aging_time: MAX_LONG_WAIT,
    }
}

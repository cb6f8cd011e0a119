//! A target as this entry uses it: connections, queue, watch.

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

use crate::caller::Wait;
use crate::event::{CallerKey, ConnKey};
use link::io;

/// Interval of position queries when no write or read waits for an answer.
pub const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Interval while a write or a read waits for a replica that made no progress.
pub const WATCH_WAITED: Duration = Duration::from_millis(1);
/// Pause before a failed watch connects again.
pub const WATCH_RETRY: Duration = Duration::from_millis(50);
/// Time for one answer of a watched target; a connection without one is closed.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an idle connection is kept.
const IDLE: Duration = Duration::from_secs(60);
/// Service time from which a statement counts as long unless typical ones are slower.
const LONG_AFTER: Duration = Duration::from_millis(50);
/// Longest wait before a long statement moves up.
const AGE_AFTER: Duration = Duration::from_millis(500);

/// What a connection is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// Statements of callers, under its id in the pool.
    Pool(connection::Id),
    /// Role and position.
    Watch,
}

/// A connection to a target.
#[derive(Debug)]
pub struct Conn {
    /// Index of the target.
    pub server: usize,
    /// What it is for.
    pub purpose: Purpose,
    /// Its socket, once it is open.
    pub handle: Option<io::Handle>,
    /// Bytes that hold no complete frame yet.
    pub inbox: BytesMut,
    /// Bytes to send at the end of the loop's turn.
    pub out: BytesMut,
    /// Statements prepared on it.
    pub prepared: Cache,
    /// Exchange that it works on.
    pub exchange: Option<Exchange>,
    /// Caller that it belongs to.
    pub caller: Option<CallerKey>,
    /// Slot that the statement holds.
    pub ticket: Option<Ticket>,
    /// Bytes of the present answer were given to the caller.
    pub forwarded: bool,
    /// The present batch.
    pub wait: Option<Wait>,
    /// Its bytes, if it may be sent again should the target be lost.
    pub replay: Option<BytesMut>,
    /// When it was sent.
    pub started: Instant,
    /// Process id for CancelRequest.
    pub process: i32,
    /// Secret for CancelRequest.
    pub secret: i32,
    /// Cancel connections under way; the connection takes no other exchange meanwhile.
    pub cancels: u32,
    /// Parameters that were set on it.
    pub parameters: Vec<(String, String)>,
}

impl Conn {
    /// A connection that is being opened.
    #[must_use]
    pub fn new(server: usize, purpose: Purpose, now: Instant) -> Self {
        Self {
            server,
            purpose,
            handle: None,
            inbox: BytesMut::new(),
            out: BytesMut::new(),
            prepared: Cache::default(),
            exchange: None,
            caller: None,
            ticket: None,
            forwarded: false,
            wait: None,
            replay: None,
            started: now,
            process: 0,
            secret: 0,
            cancels: 0,
            parameters: Vec::new(),
        }
    }
}

/// The watch of a target.
#[derive(Debug)]
pub struct Watch {
    /// Its connection.
    pub conn: Option<ConnKey>,
    /// When the next question or attempt is due; none while an answer is awaited.
    pub next_at: Option<Instant>,
    /// When the present question was sent or the connection attempt began.
    pub asked_at: Instant,
    /// When the target answered last; the start of the watch if it never did.
    pub answered_at: Instant,
    /// Since when questions are asked. Silence before that says nothing of the target.
    pub since: Instant,
    /// What it said last.
    pub last: Option<(Role, Observed)>,
    /// The last answer showed progress.
    pub advanced: bool,
}

/// A target.
#[derive(Debug)]
pub struct Server {
    /// Its name.
    pub name: Name,
    /// Its database.
    pub database: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Address of the PostgreSQL protocol.
    pub address: SocketAddr,
    /// State in force by the catalog.
    pub state: State,
    /// Still in the catalog.
    pub known: bool,
    /// Connections for statements.
    pub pool: Pool,
    /// Settings of the queue.
    limits: queue::Limits,
    /// Slots that long work of this entry may hold: a part of what all entries together have.
    long_slots: u32,
    /// Statements that wait or run.
    pub queue: Queue,
    /// When the queue and the connections are looked at next without an event. One timer for both,
    /// since one for each statement would stay until the idle deadline of its connection.
    pub due_at: Option<Instant>,
    /// Callers of waiting statements.
    pub tickets: HashMap<Ticket, CallerKey>,
    /// Connections by their id in the pool.
    pub conns: HashMap<connection::Id, ConnKey>,
    /// The watch.
    pub watch: Watch,
    /// Its own announcement, and until when it holds.
    pub heard: Option<(Announcement, Instant)>,
    /// Connections that it may have now, the watch's included.
    pub quota: u32,
}

impl Server {
    /// A target that was just learnt of.
    #[must_use]
    pub fn new(announcement: &Announcement, now: Instant) -> Self {
        let limits = connection::Limits {
            quota: 0,
            min_live: 1,
            idle_timeout: IDLE,
        };
        Self {
            name: announcement.target.clone(),
            database: announcement.database.clone(),
            domain: announcement.domain.clone(),
            address: announcement.address,
            state: State::Serving,
            known: true,
            pool: Pool::new(limits),
            limits: queue_limits(1, 0, 1),
            long_slots: 0,
            queue: Queue::new(queue_limits(1, 0, 1)),
            due_at: None,
            tickets: HashMap::default(),
            conns: HashMap::default(),
            watch: Watch {
                conn: None,
                next_at: Some(now),
                asked_at: now,
                answered_at: now,
                since: now,
                last: None,
                advanced: false,
            },
            heard: None,
            quota: 0,
        }
    }

    /// Takes its state and settings from the catalog.
    pub fn configure(&mut self, target: &catalog::Target) {
        let values = target.values();
        self.state = target.state();
        self.domain = target.announcement().domain.clone();
        self.address = target.announcement().address;
        self.limits = queue_limits(target.slots(), self.long_slots, values.queue_max_waiting);
        self.queue.set_limits(self.limits);
    }

    /// Whether it answers its watch; `detect` is the silence that counts as failure.
    #[must_use]
    pub fn is_up(&self, now: Instant, detect: Duration) -> bool {
        self.watch.last.is_some() && now.saturating_duration_since(self.watch.answered_at) <= detect
    }

    /// How long it has left questions unanswered; none while it may not be asked.
    #[must_use]
    pub fn silence(&self, now: Instant) -> Option<Duration> {
        let from = self.watch.answered_at.max(self.watch.since);
        (self.quota > 0).then(|| now.saturating_duration_since(from))
    }

    /// Whether its announcements are heard here.
    #[must_use]
    pub fn is_heard(&self, now: Instant) -> bool {
        self.heard.as_ref().is_some_and(|(_, until)| now < *until)
    }

    /// State in force: the catalog's, or leaving if the target itself says so.
    #[must_use]
    pub fn state(&self, now: Instant) -> State {
        let leaving = self
            .heard
            .as_ref()
            .is_some_and(|(a, until)| a.leaving && now < *until);
        if leaving { State::Leaving } else { self.state }
    }

    /// What the choice of a target needs to know of it.
    #[must_use]
    pub fn candidate(
        &self,
        index: usize,
        domain: &Name,
        detect: Duration,
        now: Instant,
    ) -> Candidate {
        let load = self.queue.running() + self.queue.waiting();
        Candidate {
            target: index,
            same_domain: self.domain == *domain,
            state: self.state(now),
            role: self.watch.last.map_or(Role::Replica, |(role, _)| role),
            observed: self.watch.last.map(|(_, observed)| observed),
            reachable: self.is_up(now, detect),
            announced_directly: self.is_heard(now),
            load: u32::try_from(load).unwrap_or(u32::MAX),
            connections: self.pool.quota(),
        }
    }

    /// Last position heard.
    #[must_use]
    pub fn point(&self) -> Option<Point> {
        self.watch.last.map(|(_, observed)| observed.point)
    }

    /// Sets the slots that long work may hold. True if they have changed.
    pub fn set_long_slots(&mut self, slots: u32) -> bool {
        let changed = self.long_slots != slots;
        self.long_slots = slots;
        if changed {
            self.limits.long_max = slots;
            self.queue.set_limits(self.limits);
        }
        changed
    }

    /// Whether the connections are within what control has granted.
    #[must_use]
    pub fn is_within_quota(&self) -> bool {
        self.pool.count().total() <= self.pool.quota()
    }

    /// Whether a statement of this shape has to wait for control to grant a slot for long work.
    #[must_use]
    pub fn lacks_long_slot(&self, key: pool::Key, shapes: &service_time::Table) -> bool {
        self.long_slots == 0 && shapes.is_long(key, LONG_AFTER)
    }

    /// Connections that the entry would use if it could.
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
        long_after: LONG_AFTER,
        age_after: AGE_AFTER,
    }
}

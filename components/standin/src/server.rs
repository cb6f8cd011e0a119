//! Event loop that owns the state of a stand-in target.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{self, UnboundedReceiver};
use tokio::time::Instant;

use crate::announce::Announcer;
use crate::cache::Cache;
use crate::config::Config;
use crate::eval::Status;
use crate::event::{Event, Events};
use crate::faults::Faults;
use crate::session::{Phase, Session, Stage};
use crate::slots::Slots;
use crate::socket;
use crate::standby::{Standby, TERMINATED_MESSAGE};
use crate::store::{Locks, Store};
use crate::wal::Wal;

/// Maximum number of events per iteration of the loop, so that timers and new connections are not
/// starved.
const MAX_EVENTS_PER_TURN: usize = 256;

/// Pause after the listener failed to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum time to write the last replies on shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(200);

/// What to do at a deadline.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Timer {
    /// Accept the start-up of a session: the simulated time to open a connection is over.
    FinishOpening(u64),
    /// Send the delayed replies of a session.
    SendReplies(u64),
    /// Replay the next log record.
    Replay,
    /// Connect to the primary.
    Connect,
    Announce,
    /// Accept connections again after an error.
    ResumeAccepting,
}

/// State of a stand-in target.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) config: Config,
    pub(crate) address: SocketAddr,
    /// Time of the current event.
    pub(crate) now: Instant,
    pub(crate) events: Events,
    pub(crate) store: Store,
    pub(crate) locks: Locks,
    pub(crate) wal: Wal,
    pub(crate) standby: Standby,
    pub(crate) sessions: HashMap<u64, Session>,
    /// Replication sessions, which receive the log.
    pub(crate) replicas: Vec<u64>,
    /// Number of sessions that count towards the connection limit.
    pub(crate) connections: u32,
    accepting: bool,
    next_session: u64,
    pub(crate) cache: Cache,
    pub(crate) slots: Slots,
    pub(crate) timers: BTreeSet<(Instant, Timer)>,
    pub(crate) faults: Faults,
    /// Sessions that no longer wait for a slot, a lock or the end of a simulated time.
    pub(crate) ready: VecDeque<u64>,
    pub(crate) announcer: Announcer,
}

impl Server {
    /// `identity` distinguishes the database of this process from all others.
    pub(crate) fn new(config: Config, address: SocketAddr, identity: u64, events: Events) -> Self {
        Self {
            address,
            now: Instant::now(),
            store: Store::default(),
            locks: Locks::default(),
            wal: Wal::new(identity),
            standby: Standby::new(config.primary, config.lag),
            sessions: HashMap::new(),
            replicas: Vec::new(),
            connections: 0,
            accepting: true,
            next_session: 1,
            cache: Cache::default(),
            slots: Slots::new(config.slots as usize),
            timers: BTreeSet::new(),
            faults: Faults::default(),
            ready: VecDeque::new(),
            announcer: Announcer::start(&config, &events),
            events,
            config,
        }
    }

    /// Serves connections until `stop` completes.
    pub(crate) async fn run(
        mut self,
        listener: TcpListener,
        mut events: UnboundedReceiver<Event>,
        stop: impl Future<Output = ()>,
    ) {
        let mut stop = std::pin::pin!(stop);
        let mut batch = Vec::with_capacity(MAX_EVENTS_PER_TURN);
        self.start_timers();
        loop {
            let deadline = self.next_deadline();
            let expired = async {
                match deadline {
                    Some(deadline) => tokio::time::sleep_until(deadline).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = &mut stop => break,
                accepted = listener.accept(), if self.accepting => {
                    self.now = Instant::now();
                    match accepted {
                        Ok((stream, _)) => self.accept(stream),
                        Err(error) => self.pause_accepting(&error),
                    }
                }
                _ = events.recv_many(&mut batch, MAX_EVENTS_PER_TURN) => {
                    self.now = Instant::now();
                    for event in batch.drain(..) {
                        self.on_event(event);
                        self.advance_ready();
                    }
                }
                () = expired => {}
            }
            self.now = Instant::now();
            self.run_due_timers();
            self.advance_ready();
            if let Some(until) = self.faults.frozen_until.take() {
                tokio::select! {
                    () = &mut stop => break,
                    () = tokio::time::sleep_until(until) => {}
                }
            }
        }
        drop(listener);
        self.shut_down(events).await;
    }

    /// Ends all sessions with an error, like a fast shutdown of PostgreSQL.
    async fn shut_down(mut self, mut events: UnboundedReceiver<Event>) {
        let sessions: Vec<_> = self.sessions.keys().copied().collect();
        for id in &sessions {
            self.terminate(*id, "57P01", TERMINATED_MESSAGE);
        }
        let closed = async {
            let mut remaining = sessions.len();
            while remaining > 0 {
                let event = events.recv().await;
                remaining -= usize::from(matches!(event, Some(Event::Closed(_))));
            }
        };
        // A client that does not read its replies must not delay the shutdown.
        let _ = tokio::time::timeout(SHUTDOWN_TIMEOUT, closed).await;
        tracing::info!(target = %self.config.target, "stopped");
    }

    fn start_timers(&mut self) {
        let role = if self.standby.in_recovery {
            "replica"
        } else {
            "primary"
        };
        let (target, address) = (&self.config.target, self.address);
        tracing::info!(%target, %address, role, "serving");
        if self.standby.in_recovery {
            self.timers.insert((self.now, Timer::Connect));
        }
        self.timers.insert((self.now, Timer::Announce));
    }

    fn next_deadline(&self) -> Option<Instant> {
        let timer = self.timers.first().map(|(due, _)| *due);
        [timer, self.slots.next_deadline()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Stops accepting for a short time: an error such as a lack of file descriptors would recur
    /// immediately.
    fn pause_accepting(&mut self, error: &std::io::Error) {
        tracing::warn!(
            target = %self.config.target,
            %error,
            "could not accept a connection; accepting again after a pause"
        );
        self.accepting = false;
        self.timers
            .insert((self.now + ACCEPT_RETRY_DELAY, Timer::ResumeAccepting));
    }

    fn accept(&mut self, stream: TcpStream) {
        let refusing = self
            .faults
            .refusing_until
            .is_some_and(|until| self.now < until);
        // Disables Nagle's algorithm, so that small replies are sent without waiting for
        // acknowledgements. This fails if the client has already disconnected.
        if refusing || stream.set_nodelay(true).is_err() {
            return;
        }
        let id = self.next_session;
        self.next_session += 1;
        let (output, replies) = mpsc::unbounded_channel::<Bytes>();
        let (pid, secret) = self.cancel_key(id);
        self.sessions.insert(id, Session::new(pid, secret, output));
        tokio::spawn(socket::run(stream, id, self.events.clone(), replies));
    }

    /// Process ID and secret key of a session for cancel requests. The port is part of the seed, so
    /// that a key does not match a session of another target.
    fn cancel_key(&self, id: u64) -> (i32, i32) {
        let seed = id ^ (u64::from(self.address.port()) << 40);
        // Finalizer of splitmix64: consecutive seeds give unrelated keys.
        let mixed = (seed ^ (seed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (id as i32, (mixed ^ (mixed >> 31)) as i32)
    }

    pub(crate) fn on_event(&mut self, event: Event) {
        match event {
            Event::Messages(id, messages) => {
                if let Some(session) = self.sessions.get_mut(&id) {
                    session.inbox.extend(messages);
                    self.advance(id);
                }
            }
            Event::Closed(id) => self.on_closed(id),
            Event::Upstream(connection, message) => self.on_upstream(connection, message),
            Event::UpstreamClosed(connection) => self.on_upstream_closed(connection),
            Event::Announced(address, accepted) => self.announcer.on_result(address, accepted),
        }
    }

    fn on_closed(&mut self, id: u64) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session.disconnected = true;
        if session.phase == Phase::Open {
            self.advance(id);
        } else {
            self.remove_session(id);
        }
    }

    /// Handles the timers and slots whose deadline has passed.
    fn run_due_timers(&mut self) {
        while let Some(id) = self.slots.pop_finished(self.now) {
            if let Some(job) = self.sessions.get_mut(&id).and_then(|s| s.job.as_mut()) {
                job.stage = Stage::Ready;
                self.ready.push_back(id);
            }
        }
        while let Some((due, timer)) = self.timers.first().copied()
            && due <= self.now
        {
            self.timers.pop_first();
            match timer {
                Timer::FinishOpening(id) => self.finish_opening(id),
                Timer::SendReplies(id) => {
                    if let Some(session) = self.sessions.get_mut(&id) {
                        session.send_due(self.now);
                    }
                }
                Timer::Connect => self.connect_if_disconnected(),
                Timer::Replay => self.replay(),
                Timer::Announce => self.announce(),
                Timer::ResumeAccepting => self.accepting = true,
            }
        }
    }

    /// Continues the sessions that no longer wait.
    fn advance_ready(&mut self) {
        while let Some(id) = self.ready.pop_front() {
            self.advance(id);
        }
    }

    /// Removes a session, discards its open transaction and releases its locks and slot. Its socket
    /// closes once all pending replies have been written.
    pub(crate) fn remove_session(&mut self, id: u64) {
        let Some(mut session) = self.sessions.remove(&id) else {
            return;
        };
        session.flush(None);
        session.send_delayed();
        if matches!(session.phase, Phase::Opening | Phase::Open) {
            self.connections -= 1;
        }
        if session.phase == Phase::Replica {
            self.replicas.retain(|replica| *replica != id);
            tracing::info!(target = %self.config.target, "replica disconnected");
        }
        self.slots.cancel(self.now, id);
        self.locks.stop_waiting(id);
        self.release_locks(id);
    }

    /// Releases a session's locks and wakes the sessions that wait for them.
    pub(crate) fn release_locks(&mut self, id: u64) {
        for waiter in self.locks.release(id) {
            if let Some(job) = self.sessions.get_mut(&waiter).and_then(|s| s.job.as_mut()) {
                job.stage = Stage::Ready;
                self.ready.push_back(waiter);
            }
        }
    }

    /// Sends the buffered replies of a session, after the simulated reply delay.
    pub(crate) fn flush(&mut self, id: u64) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let delay = self.faults.reply_delay;
        let send_at = (delay > Duration::ZERO).then(|| self.now + delay);
        session.flush(send_at);
        if session.has_delayed_replies() {
            let due = send_at.unwrap_or(self.now);
            self.timers.insert((due, Timer::SendReplies(id)));
        }
    }

    pub(crate) fn status(&self, pid: i32) -> Status {
        Status {
            in_recovery: self.standby.in_recovery,
            timeline: self.wal.timeline,
            previous_timeline: self.wal.previous_timeline(),
            lsn: self.wal.end,
            received_lsn: self.standby.received_lsn,
            replayed_lsn: if self.standby.in_recovery {
                Some(self.wal.end)
            } else {
                self.standby.promotion_lsn
            },
            pid,
        }
    }
}

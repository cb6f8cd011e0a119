//! The loop that owns all state.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{self, UnboundedReceiver};
use tokio::time::Instant;

use crate::announce::Announcers;
use crate::cache::Cache;
use crate::config::Config;
use crate::eval::Facts;
use crate::event::{Event, Events};
use crate::faults::Faults;
use crate::session::{Phase, Session, Stage};
use crate::slots::Slots;
use crate::socket;
use crate::standby::{Standby, TERMINATED};
use crate::store::{Locks, Store};
use crate::wal::Wal;

/// Events that one turn of the loop takes at most, so that timers and new connections get theirs.
const BATCH: usize = 256;

/// Pause after an error of the listener.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Time for the last answers to be written.
const SHUTDOWN: Duration = Duration::from_millis(200);

/// What a stored deadline is for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Timer {
    /// The simulated time to open a connection is over.
    Open(u64),
    /// Held replies of a session are due.
    Release(u64),
    /// The next log record is due for replay.
    Replay,
    /// A replica connects to its primary.
    Connect,
    Announce,
    /// The listener is tried again.
    Accept,
}

/// All state of a stand-in target.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) config: Config,
    pub(crate) address: SocketAddr,
    /// Time of the event at hand.
    pub(crate) now: Instant,
    pub(crate) events: Events,
    pub(crate) store: Store,
    pub(crate) locks: Locks,
    pub(crate) wal: Wal,
    pub(crate) standby: Standby,
    pub(crate) sessions: HashMap<u64, Session>,
    /// Sessions that receive the log.
    pub(crate) replicas: Vec<u64>,
    /// Sessions that count against the connection limit.
    pub(crate) connections: u32,
    accepting: bool,
    next: u64,
    pub(crate) cache: Cache,
    pub(crate) slots: Slots,
    pub(crate) timers: BTreeSet<(Instant, Timer)>,
    pub(crate) faults: Faults,
    /// Sessions whose obstacle has gone.
    pub(crate) ready: VecDeque<u64>,
    pub(crate) announcers: Announcers,
}

impl Server {
    /// `identity` tells the database of this process from that of any other.
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
            next: 1,
            cache: Cache::default(),
            slots: Slots::new(config.slots as usize),
            timers: BTreeSet::new(),
            faults: Faults::default(),
            ready: VecDeque::new(),
            announcers: Announcers::start(&config, &events),
            events,
            config,
        }
    }

    /// Serves until `stop` is done.
    pub(crate) async fn run(
        mut self,
        listener: TcpListener,
        mut events: UnboundedReceiver<Event>,
        stop: impl Future<Output = ()>,
    ) {
        let mut stop = std::pin::pin!(stop);
        let mut batch = Vec::with_capacity(BATCH);
        self.begin();
        loop {
            let deadline = self.deadline();
            let wait = async {
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
                _ = events.recv_many(&mut batch, BATCH) => {
                    self.now = Instant::now();
                    for event in batch.drain(..) {
                        self.on_event(event);
                        self.settle();
                    }
                }
                () = wait => {}
            }
            self.now = Instant::now();
            self.on_time();
            self.settle();
            if let Some(until) = self.faults.frozen.take() {
                tokio::select! {
                    () = &mut stop => break,
                    () = tokio::time::sleep_until(until) => {}
                }
            }
        }
        drop(listener);
        self.shut_down(events).await;
    }

    /// Ends all sessions with an error, as a server does on a fast shutdown.
    async fn shut_down(mut self, mut events: UnboundedReceiver<Event>) {
        let open: Vec<_> = self.sessions.keys().copied().collect();
        for id in &open {
            self.refuse(*id, "57P01", TERMINATED);
        }
        let closed = async {
            let mut left = open.len();
            while left > 0 {
                let event = events.recv().await;
                left -= usize::from(matches!(event, Some(Event::Closed(_))));
            }
        };
        // A client that does not read must not hold up the end.
        let _ = tokio::time::timeout(SHUTDOWN, closed).await;
        tracing::info!(target = %self.config.target, "stopped");
    }

    fn begin(&mut self) {
        let role = if self.standby.recovery {
            "replica"
        } else {
            "primary"
        };
        let (target, address) = (&self.config.target, self.address);
        tracing::info!(%target, %address, role, "serving");
        if self.standby.recovery {
            self.timers.insert((self.now, Timer::Connect));
        }
        self.timers.insert((self.now, Timer::Announce));
    }

    fn deadline(&self) -> Option<Instant> {
        let timer = self.timers.first().map(|(due, _)| *due);
        [timer, self.slots.deadline()].into_iter().flatten().min()
    }

    /// Stops accepting for a moment: an error such as a lack of file descriptors would come back at
    /// once.
    fn pause_accepting(&mut self, error: &std::io::Error) {
        tracing::warn!(target = %self.config.target, %error, "accepting paused");
        self.accepting = false;
        self.timers.insert((self.now + ACCEPT_PAUSE, Timer::Accept));
    }

    fn accept(&mut self, stream: TcpStream) {
        let refusing = self.faults.refusing.is_some_and(|until| self.now < until);
        // Small answers must not wait for acknowledgements. Setting that fails when the client has
        // gone already.
        if refusing || stream.set_nodelay(true).is_err() {
            return;
        }
        let id = self.next;
        self.next += 1;
        let (output, commands) = mpsc::unbounded_channel::<Bytes>();
        let (pid, secret) = self.key(id);
        self.sessions.insert(id, Session::new(pid, secret, output));
        tokio::spawn(socket::run(stream, id, self.events.clone(), commands));
    }

    /// Key of a session for cancel requests. The port is part of it, so that a key never fits a
    /// session of another target.
    fn key(&self, id: u64) -> (i32, i32) {
        let seed = id ^ (u64::from(self.address.port()) << 40);
        // The finalizer of splitmix64, which spreads neighbouring seeds.
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
            Event::Lost(connection) => self.on_lost(connection),
            Event::Announced(address, accepted) => self.announcers.on_result(address, accepted),
        }
    }

    fn on_closed(&mut self, id: u64) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session.gone = true;
        if session.phase == Phase::Open {
            self.advance(id);
        } else {
            self.remove(id);
        }
    }

    /// Does what is due.
    fn on_time(&mut self) {
        while let Some(id) = self.slots.finished(self.now) {
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
                Timer::Open(id) => self.opened(id),
                Timer::Release(id) => {
                    if let Some(session) = self.sessions.get_mut(&id) {
                        session.release(self.now);
                    }
                }
                Timer::Connect => self.connect_again(),
                Timer::Replay => self.replay(),
                Timer::Announce => self.announce(),
                Timer::Accept => self.accepting = true,
            }
        }
    }

    /// Lets sessions go on whose obstacle has gone.
    fn settle(&mut self) {
        while let Some(id) = self.ready.pop_front() {
            self.advance(id);
        }
    }

    /// Ends a session: rolls back and frees what it holds. Its socket closes once everything that
    /// was sent has been written.
    pub(crate) fn remove(&mut self, id: u64) {
        let Some(mut session) = self.sessions.remove(&id) else {
            return;
        };
        session.flush(None);
        session.release_all();
        if matches!(session.phase, Phase::Opening | Phase::Open) {
            self.connections -= 1;
        }
        if session.phase == Phase::Replica {
            self.replicas.retain(|replica| *replica != id);
            tracing::info!(target = %self.config.target, "replica disconnected");
        }
        self.slots.cancel(self.now, id);
        self.locks.stop_waiting(id);
        self.unlock(id);
    }

    /// Releases a session's locks and wakes those that wait for them.
    pub(crate) fn unlock(&mut self, id: u64) {
        for woken in self.locks.release(id) {
            if let Some(job) = self.sessions.get_mut(&woken).and_then(|s| s.job.as_mut()) {
                job.stage = Stage::Ready;
                self.ready.push_back(woken);
            }
        }
    }

    /// Sends what a session has replied, after the simulated delay.
    pub(crate) fn flush(&mut self, id: u64) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let delay = self.faults.reply_delay;
        let hold = (delay > Duration::ZERO).then(|| self.now + delay);
        session.flush(hold);
        if session.holds() {
            let due = hold.unwrap_or(self.now);
            self.timers.insert((due, Timer::Release(id)));
        }
    }

    pub(crate) fn facts(&self, pid: i32) -> Facts {
        Facts {
            recovery: self.standby.recovery,
            timeline: self.wal.timeline,
            previous: self.wal.previous(),
            lsn: self.wal.end,
            received: self.standby.received,
            replayed: if self.standby.recovery {
                Some(self.wal.end)
            } else {
                self.standby.replayed
            },
            pid,
        }
    }
}

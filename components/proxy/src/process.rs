//! The loop: one task that owns all state and takes every event in turn.

use std::marker::PhantomData;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use ahash::HashMap;
use anyhow::{Context, Result};
use link::io;
use pool::retry::Budget;
use registry::{Plan, Registry};
use slotmap::SlotMap;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::borrow::Lenders;
use crate::event::{ConnKey, Event, SessionKey};
use crate::lend::Borrowers;
use crate::log_limit::Journal;
use crate::metrics::Set;
use crate::protocol::{Access, Protocol};
use crate::server::{Conn, Server, Service};
use crate::session::Session;
use crate::stop::Stop;
use crate::subscribe::Subscription;
use crate::timer::{Timer, Timers};
use clock::Clock;

/// Events that wait for the loop; senders wait beyond that.
const EVENTS: usize = 4096;
/// Events taken before timers are looked at again.
const BATCH: usize = 128;
/// Window of the retry budget.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Interval of the upkeep of connections and of reports to coordinators.
const UPKEEP: Duration = Duration::from_millis(250);
/// Messages that wait for the stream of an entry that borrows connections.
const LOAN_OUT: usize = 1024;
/// Pause after a failed accept; without it a process that is out of descriptors spins.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A shape of prepared statements, with the number under which servers know it.
pub type Shapes = HashMap<(Access, String), u32>;

/// State of a proxy process.
#[derive(Debug)]
pub struct Loop<P, C> {
    pub(crate) settings: settings::Proxy,
    pub(crate) path: PathBuf,
    pub(crate) clock: C,
    pub(crate) events: mpsc::Sender<Event>,
    pub(crate) metrics: Set,
    pub(crate) journal: Journal,
    pub(crate) subscription: Subscription,
    pub(crate) lenders: Lenders,
    pub(crate) borrowers: Borrowers,
    pub(crate) registry: Registry,
    /// Registry, plan or neighbours have changed in this turn.
    pub(crate) changed: bool,
    pub(crate) plan: Plan,
    pub(crate) sessions: SlotMap<SessionKey, Session>,
    pub(crate) conns: SlotMap<ConnKey, Conn>,
    /// Servers; an index stays valid after the server has left.
    pub(crate) servers: Vec<Server>,
    /// Index of the present life of each server by its identity.
    pub(crate) indices: HashMap<String, usize>,
    /// Services; an index stays valid.
    pub(crate) services: Vec<Service>,
    /// Index of each service by its name.
    pub(crate) names: HashMap<String, usize>,
    pub(crate) shapes: Shapes,
    /// Shapes by their numbers.
    pub(crate) numbered: Vec<(Access, String)>,
    pub(crate) timers: Timers,
    /// Bounds what is run a second time.
    pub(crate) budget: Budget,
    /// Sessions and connections with bytes to send at the end of the turn.
    pub(crate) dirty_sessions: Vec<SessionKey>,
    pub(crate) dirty_conns: Vec<ConnKey>,
    /// Sessions whose next message is due.
    pub(crate) ready: Vec<SessionKey>,
    /// Services whose waiting statements are due.
    pub(crate) due: Vec<usize>,
    /// Set by SIGTERM.
    pub(crate) stop: Option<Stop>,
    kind: PhantomData<P>,
}

/// Runs a proxy process until SIGTERM or SIGINT. `path` is its settings file, which is read again
/// when it changes.
///
/// # Errors
/// Fails if an address can't be bound.
pub async fn run<P: Protocol, C: Clock + 'static>(
    settings: settings::Proxy,
    path: PathBuf,
    clock: C,
) -> Result<()> {
    let stop = observe::stop::signal().context("signals")?;
    let listener = TcpListener::bind(settings.listen)
        .await
        .with_context(|| format!("listen on {}", settings.listen))?;
    let http = TcpListener::bind(settings.http)
        .await
        .with_context(|| format!("listen on {}", settings.http))?;
    let (events, mut queue) = mpsc::channel(EVENTS);
    spawn_local(observe::http::serve(http, events.clone()));
    let link = TcpListener::bind(settings.link)
        .await
        .with_context(|| format!("listen on {}", settings.link))?;
    accept_borrowers(link, events.clone());
    let accepting = spawn_local(accept(listener, events.clone()));
    let stopped = events.clone();
    spawn_local(async move {
        stop.await;
        let _ended = stopped.send(Event::Stop).await;
    });
    spawn_local(observe::reload::changes(
        path.clone(),
        events.clone(),
        || Event::Reload,
    )?);
    tracing::info!(instance = %settings.instance, listen = %settings.listen, "proxy started");
    let mut state = Loop::<P, C>::new(settings, path, clock, events, now());
    while state.turn(&mut queue).await {
        if state
            .stop
            .as_ref()
            .is_some_and(|stop| stop.is_closed(now()))
        {
            accepting.abort();
        }
    }
    tracing::info!(sessions = state.sessions.len(), "proxy stopped");
    Ok(())
}

fn accept_borrowers(listener: TcpListener, events: mpsc::Sender<Event>) {
    spawn_local(link::listen(listener, move |path, number, stream| {
        if path != link::LOAN {
            return;
        }
        let events = events.clone();
        let (out, outgoing) = mpsc::channel(LOAN_OUT);
        spawn_local(async move {
            if events.send(Event::Borrower(number, out)).await.is_ok() {
                let wrap = move |event| Event::Borrow(number, event);
                stream.run(outgoing, events, wrap).await;
            }
        });
    }));
}

async fn accept(listener: TcpListener, events: mpsc::Sender<Event>) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                if events.send(Event::Accepted(socket)).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                tracing::warn!(%error, "accept of a caller failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

impl<P: Protocol, C: Clock> Loop<P, C> {
    pub(crate) fn new(
        settings: settings::Proxy,
        path: PathBuf,
        clock: C,
        events: mpsc::Sender<Event>,
        now: Instant,
    ) -> Self {
        let mut timers = Timers::default();
        timers.add(now, Timer::Upkeep);
        Self {
            subscription: Subscription::new(&settings, now),
            lenders: Lenders::default(),
            borrowers: Borrowers::default(),
            settings,
            path,
            clock,
            events,
            metrics: Set::new(),
            journal: Journal::new(now),
            registry: Registry::default(),
            changed: false,
            plan: Plan::default(),
            sessions: SlotMap::with_key(),
            conns: SlotMap::with_key(),
            servers: Vec::new(),
            indices: HashMap::default(),
            services: Vec::new(),
            names: HashMap::default(),
            shapes: HashMap::default(),
            numbered: Vec::new(),
            timers,
            budget: Budget::new(RETRY_WINDOW, now),
            dirty_sessions: Vec::new(),
            dirty_conns: Vec::new(),
            ready: Vec::new(),
            due: Vec::new(),
            stop: None,
            kind: PhantomData,
        }
    }

    /// Waits for events or a timer and handles what there is. False once the process should end.
    async fn turn(&mut self, queue: &mut mpsc::Receiver<Event>) -> bool {
        let first = match queue.try_recv() {
            Ok(event) => Some(event),
            Err(_) => self.wait(queue).await,
        };
        let now = now();
        let mut next = first;
        for _ in 0..BATCH {
            let Some(event) = next else { break };
            self.on_event(now, event);
            next = queue.try_recv().ok();
        }
        if let Some(event) = next {
            self.on_event(now, event);
        }
        // Many orders come at once at a start; each pass looks at every server.
        if std::mem::take(&mut self.changed) {
            self.on_registry(now);
        }
        self.on_timers(now);
        self.settle(now);
        self.return_idle(now);
        self.flush(now);
        !self.is_stopped(now)
    }

    async fn wait(&mut self, queue: &mut mpsc::Receiver<Event>) -> Option<Event> {
        let stop = self.stop.as_ref().map(|stop| stop.next(now()));
        match [self.timers.next(), stop].into_iter().flatten().min() {
            None => queue.recv().await,
            Some(deadline) => tokio::select! {
                biased;
                event = queue.recv() => event,
                () = tokio::time::sleep_until(deadline.into()) => None,
            },
        }
    }

    pub(crate) fn on_event(&mut self, now: Instant, event: Event) {
        match event {
            Event::Accepted(socket) => self.on_accepted(socket),
            Event::Session(key, event) => self.on_session(now, key, event),
            Event::Opened(key, result) => self.on_opened(now, key, result),
            Event::Conn(key, event) => self.on_conn(now, key, event),
            Event::Dialed(dial, out) => self.on_dialed(now, dial, out),
            Event::Coordinator(dial, event) => self.on_coordinator(now, dial, event),
            Event::LenderDialed(address, dial, out) => {
                self.on_lender_dialed(now, address, dial, out);
            }
            Event::Lender(address, dial, event) => self.on_lender(now, address, dial, event),
            Event::Borrower(stream, out) => self.on_borrower(now, stream, out),
            Event::Borrow(stream, event) => self.on_borrow(now, stream, event),
            Event::Http(request) => self.on_request(now, request),
            Event::Reload => self.reload(),
            Event::Stop => self.on_stop(now),
        }
    }

    fn on_timers(&mut self, now: Instant) {
        while let Some(due) = self.timers.pop(now) {
            match due {
                Timer::Session(key) => self.on_session_due(now, key),
                Timer::Service(index) => self.due.push(index),
                Timer::Subscription => self.keep_subscription(now),
                Timer::Upkeep => {
                    self.timers.add(now + UPKEEP, Timer::Upkeep);
                    self.on_upkeep(now);
                }
            }
        }
        self.on_stop_tick(now);
    }

    /// Works until no session and no service is due.
    pub(crate) fn settle(&mut self, now: Instant) {
        loop {
            if let Some(key) = self.ready.pop() {
                self.advance(now, key);
            } else if let Some(service) = self.due.pop() {
                self.due.retain(|other| *other != service);
                self.retry_waiting(now, service);
                self.lend_idle(now, service);
            } else {
                return;
            }
        }
    }

    fn on_upkeep(&mut self, now: Instant) {
        self.find_silent_lenders(now);
        self.pulse_borrowers(now);
        self.end_stand_ins(now);
        self.close_idle(now);
        self.find_unusable(now);
        self.probe_missed(now);
        self.move_sessions(now);
        self.keep_subscription(now);
        let gauge = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        self.metrics.sessions.set(gauge(self.sessions.len()));
        let waiting = self.services.iter().map(|it| it.waiting.len()).sum();
        self.metrics.waiting.set(gauge(waiting));
        for index in 0..self.services.len() {
            if !self.services[index].waiting.is_empty() {
                self.due.push(index);
            }
        }
    }

    /// Sends what the turn has produced, one write a connection.
    pub(crate) fn flush(&mut self, now: Instant) {
        for key in std::mem::take(&mut self.dirty_conns) {
            let Some(conn) = self.conns.get_mut(key) else {
                continue;
            };
            if conn.loan.is_some() {
                self.send_borrowed(now, key);
                continue;
            }
            let Some(handle) = &mut conn.handle else {
                continue;
            };
            let events = &self.events;
            handle.send(conn.out.split().freeze(), |out| {
                io::wait_for_room(out, events.clone(), Event::Conn(key, io::Event::Room));
            });
        }
        for key in std::mem::take(&mut self.dirty_sessions) {
            let Some(session) = self.sessions.get_mut(key) else {
                continue;
            };
            let events = &self.events;
            session.handle.send(session.out.split().freeze(), |out| {
                io::wait_for_room(out, events.clone(), Event::Session(key, io::Event::Room));
            });
            if session.closing && session.handle.backlog() == 0 {
                // The socket is closed after the bytes that it was given.
                self.sessions.remove(key);
            }
        }
    }
}

/// The monotonic clock, which is paused in tests.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

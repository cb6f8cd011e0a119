//! The event loop: one task owns all state and handles the events one after the other.

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

use crate::acknowledge::Acknowledgements;
use crate::borrow::Lenders;
use crate::conn::Conn;
use crate::event::{ConnKey, Event, SessionKey};
use crate::identity::Unconfirmed;
use crate::lend::Borrowers;
use crate::log_limit::Limiter;
use crate::metrics::Set;
use crate::protocol::{Access, Protocol};
use crate::rate::Rates;
use crate::server::Server;
use crate::service::Service;
use crate::session::Session;
use crate::stop::Stop;
use crate::subscribe::Subscription;
use crate::tenant::Directory;
use crate::timer::{Timer, Timers};
use clock::Clock;

/// Capacity of the event queue; senders wait when it is full.
const EVENT_QUEUE_LEN: usize = 4096;
/// Maximum number of events handled before timers are checked again.
const MAX_EVENTS_PER_TURN: usize = 128;
const RETRY_BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Interval of connection maintenance and of reports to coordinators.
pub(crate) const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// Capacity of the queue of messages to a borrower.
const LOAN_QUEUE_LEN: usize = 1024;
/// Delay after a failed accept, so that a process without free file descriptors does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Shapes of prepared statements, with the numbers by which servers know them.
pub type Shapes = HashMap<(Access, String), u32>;

/// State of a proxy process.
#[derive(Debug)]
pub struct Loop<P, C> {
    pub(crate) settings: settings::Proxy,
    pub(crate) settings_path: PathBuf,
    pub(crate) clock: C,
    pub(crate) events: mpsc::Sender<Event>,
    pub(crate) metrics: Set,
    pub(crate) log_limiter: Limiter,
    pub(crate) subscription: Subscription,
    pub(crate) lenders: Lenders,
    pub(crate) borrowers: Borrowers,
    pub(crate) registry: Registry,
    /// The registry, the plan or the neighbours have changed in this turn.
    pub(crate) registry_changed: bool,
    pub(crate) plan: Plan,
    /// Tenants of the plan, and of earlier ones.
    pub(crate) directory: Directory,
    pub(crate) unconfirmed: Unconfirmed,
    pub(crate) rates: Rates,
    pub(crate) acknowledgements: Acknowledgements,
    pub(crate) sessions: SlotMap<SessionKey, Session>,
    /// Number of callers whose sessions have ended and whose last bytes are being written.
    pub(crate) finishing_callers: usize,
    pub(crate) conns: SlotMap<ConnKey, Conn>,
    /// Servers. The index of a server stays valid after it has been removed.
    pub(crate) servers: Vec<Server>,
    /// Index of the current life of each server, by server id.
    pub(crate) server_indices: HashMap<String, usize>,
    /// Services. The index of a service stays valid.
    pub(crate) services: Vec<Service>,
    /// Index of each service, by name.
    pub(crate) service_indices: HashMap<String, usize>,
    pub(crate) shapes: Shapes,
    /// Shapes, indexed by number.
    pub(crate) shapes_by_number: Vec<(Access, String)>,
    pub(crate) timers: Timers,
    /// Limits the number of repeated reads.
    pub(crate) retry_budget: Budget,
    /// Sessions with bytes to send at the end of the turn.
    pub(crate) dirty_sessions: Vec<SessionKey>,
    pub(crate) dirty_conns: Vec<ConnKey>,
    /// Sessions whose next message can be processed.
    pub(crate) ready_sessions: Vec<SessionKey>,
    /// Services whose waiting statements are to be dispatched again.
    pub(crate) due_services: Vec<usize>,
    /// Set by SIGTERM or SIGINT.
    pub(crate) stop: Option<Stop>,
    protocol: PhantomData<P>,
}

/// Runs a proxy process until SIGTERM or SIGINT. The settings file `settings_path` is read again
/// when it changes.
///
/// # Errors
/// Fails if an address cannot be bound.
pub async fn run<P: Protocol, C: Clock + 'static>(
    settings: settings::Proxy,
    settings_path: PathBuf,
    clock: C,
) -> Result<()> {
    let stop = observe::stop::signal().context("install signal handlers")?;
    let caller_listener = TcpListener::bind(settings.listen)
        .await
        .with_context(|| format!("listen on {}", settings.listen))?;
    let http_listener = TcpListener::bind(settings.http)
        .await
        .with_context(|| format!("listen on {}", settings.http))?;
    let (events, mut queue) = mpsc::channel(EVENT_QUEUE_LEN);
    spawn_local(observe::http::serve(http_listener, events.clone()));
    let borrower_listener = TcpListener::bind(settings.link)
        .await
        .with_context(|| format!("listen on {}", settings.link))?;
    accept_borrowers(borrower_listener, events.clone());
    let accepting = spawn_local(accept(caller_listener, events.clone()));
    let stop_events = events.clone();
    spawn_local(async move {
        stop.await;
        let _ended = stop_events.send(Event::Stop).await;
    });
    spawn_local(observe::reload::changes(
        settings_path.clone(),
        events.clone(),
        || Event::Reload,
    )?);
    tracing::info!(instance = %settings.instance, listen = %settings.listen, "proxy started");
    let mut event_loop = Loop::<P, C>::new(settings, settings_path, clock, events, now());
    while event_loop.run_turn(&mut queue).await {
        if event_loop
            .stop
            .as_ref()
            .is_some_and(|stop| stop.is_closed(now()))
        {
            accepting.abort();
        }
    }
    let open = event_loop.sessions.values();
    let statements = open.filter(|session| session.query.is_some()).count();
    tracing::info!(
        sessions = event_loop.sessions.len(),
        statements,
        writing = event_loop.finishing_callers,
        "proxy stopped"
    );
    Ok(())
}

fn accept_borrowers(listener: TcpListener, events: mpsc::Sender<Event>) {
    spawn_local(link::listen(listener, move |path, number, stream| {
        if path != link::LOAN_PATH {
            return;
        }
        let events = events.clone();
        let (out, outgoing) = mpsc::channel(LOAN_QUEUE_LEN);
        spawn_local(async move {
            if events
                .send(Event::BorrowerAccepted(number, out))
                .await
                .is_ok()
            {
                let wrap = move |event| Event::Borrower(number, event);
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
                tracing::warn!(
                    %error,
                    "failed to accept a caller's connection; retrying"
                );
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

impl<P: Protocol, C: Clock> Loop<P, C> {
    pub(crate) fn new(
        settings: settings::Proxy,
        settings_path: PathBuf,
        clock: C,
        events: mpsc::Sender<Event>,
        now: Instant,
    ) -> Self {
        let mut timers = Timers::default();
        timers.add(now, Timer::Maintenance);
        Self {
            subscription: Subscription::new(&settings, now),
            lenders: Lenders::default(),
            borrowers: Borrowers::default(),
            settings,
            settings_path,
            clock,
            events,
            metrics: Set::new(),
            log_limiter: Limiter::new(now),
            registry: Registry::default(),
            registry_changed: false,
            plan: Plan::default(),
            directory: Directory::default(),
            unconfirmed: Unconfirmed::default(),
            rates: Rates::new(now),
            acknowledgements: Acknowledgements::default(),
            sessions: SlotMap::with_key(),
            finishing_callers: 0,
            conns: SlotMap::with_key(),
            servers: Vec::new(),
            server_indices: HashMap::default(),
            services: Vec::new(),
            service_indices: HashMap::default(),
            shapes: HashMap::default(),
            shapes_by_number: Vec::new(),
            timers,
            retry_budget: Budget::new(RETRY_BUDGET_WINDOW, now),
            dirty_sessions: Vec::new(),
            dirty_conns: Vec::new(),
            ready_sessions: Vec::new(),
            due_services: Vec::new(),
            stop: None,
            protocol: PhantomData,
        }
    }

    /// Waits for events or a timer and handles them. Returns false once the process should end.
    async fn run_turn(&mut self, queue: &mut mpsc::Receiver<Event>) -> bool {
        let first = match queue.try_recv() {
            Ok(event) => Some(event),
            Err(_) => self.wait(queue).await,
        };
        let now = now();
        let mut next = first;
        for _ in 0..MAX_EVENTS_PER_TURN {
            let Some(event) = next else { break };
            self.on_event(now, event);
            next = queue.try_recv().ok();
        }
        if let Some(event) = next {
            self.on_event(now, event);
        }
        // Many changes arrive at once at startup, and each update looks at every server.
        if std::mem::take(&mut self.registry_changed) {
            self.on_registry(now);
        }
        self.on_timers(now);
        self.resolve_held(now);
        self.process_due(now);
        self.request_consents(now);
        self.claim_tokens(now);
        self.return_idle_loans(now);
        self.withdraw_requests();
        self.flush(now);
        !self.is_stopped(now)
    }

    async fn wait(&mut self, queue: &mut mpsc::Receiver<Event>) -> Option<Event> {
        let stop = self.stop.as_ref().map(|stop| stop.next_check(now()));
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
            Event::CallerFinished => {
                self.finishing_callers = self.finishing_callers.saturating_sub(1);
            }
            Event::ConnOpened(key, result) => self.on_conn_opened(now, key, result),
            Event::Conn(key, event) => self.on_conn(now, key, event),
            Event::CoordinatorDialed(dial, out) => self.on_coordinator_dialed(now, dial, out),
            Event::Coordinator(dial, event) => self.on_coordinator(now, dial, event),
            Event::LenderDialed(address, dial, out) => {
                self.on_lender_dialed(now, address, dial, out);
            }
            Event::Lender(address, dial, event) => self.on_lender(now, address, dial, event),
            Event::IssuerDialed(dial, out) => self.on_issuer_dialed(now, dial, out),
            Event::Issuer(dial, event) => self.on_issuer(now, dial, event),
            Event::BorrowerAccepted(stream, out) => self.on_borrower_accepted(now, stream, out),
            Event::Borrower(stream, event) => self.on_borrower(now, stream, event),
            Event::Http(request) => self.on_http_request(now, request),
            Event::Reload => self.reload(),
            Event::Stop => self.on_stop(now),
        }
    }

    /// Runs until no session and no service is due.
    pub(crate) fn process_due(&mut self, now: Instant) {
        loop {
            if let Some(key) = self.ready_sessions.pop() {
                self.process_inbox(now, key);
            } else if let Some(service) = self.due_services.pop() {
                self.due_services.retain(|other| *other != service);
                self.retry_waiting(now, service);
                self.lend_idle(now, service);
            } else {
                return;
            }
        }
    }

    pub(crate) fn on_maintenance(&mut self, now: Instant) {
        self.close_failed_lenders(now);
        self.pulse_borrowers(now);
        self.end_backup_lending(now);
        self.close_idle(now);
        self.detect_unresponsive(now);
        self.probe_unusable(now);
        self.move_sessions(now);
        self.maintain_subscription(now);
        self.maintain_issuer(now);
        let gauge = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        self.metrics.sessions.set(gauge(self.sessions.len()));
        self.metrics.server_connections.set(gauge(self.conns.len()));
        let borrowed = self.servers.iter().map(|server| server.borrowed).sum();
        self.metrics.borrowed_connections.set(gauge(borrowed));
        self.metrics.unaccounted.set(gauge(self.unaccounted()));
        let waiting = self
            .services
            .iter()
            .map(|service| service.waiting.len())
            .sum();
        self.metrics.waiting.set(gauge(waiting));
        for index in 0..self.services.len() {
            if !self.services[index].waiting.is_empty() {
                self.due_services.push(index);
            }
        }
        // A borrower may wait for a connection that was expected to become free and hangs.
        let lending = self
            .servers
            .iter()
            .filter(|server| server.has_tenant_waiters);
        self.due_services
            .extend(lending.map(|server| server.service));
    }

    /// Sends what the turn has produced, with one write per connection.
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
                io::notify_when_writable(
                    out,
                    events.clone(),
                    Event::Conn(key, io::Event::Writable),
                );
            });
        }
        for key in std::mem::take(&mut self.dirty_sessions) {
            let Some(session) = self.sessions.get_mut(key) else {
                continue;
            };
            let events = &self.events;
            session.handle.send(session.out.split().freeze(), |out| {
                io::notify_when_writable(
                    out,
                    events.clone(),
                    Event::Session(key, io::Event::Writable),
                );
            });
            if session.is_finished() {
                // The socket is closed after the bytes that were handed to it.
                self.remove_session(now, key);
            }
        }
    }
}

/// The monotonic clock, which tests can pause.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

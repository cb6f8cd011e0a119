//! The event loop: one task that owns all state and handles every event in turn.

use std::time::Instant;

use ahash::HashMap;
use anyhow::{Context, Result};
use pool::retry::Budget;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use relay::statement::Table;
use session::Signer;
use slotmap::SlotMap;
use sql::Cache;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use types::Name;
use types::target::Announcement;

use crate::caller::Caller;
use crate::control::Control;
use crate::database::Database;
use crate::event::{CallerKey, ConnKey, Event};
use crate::metrics::Set;
use crate::startup::Verifier;
use crate::stop::Stop;
use crate::target::{Conn, Target};
use crate::timer::Timers;
use link::io;

/// Capacity of the event queue in events; senders wait while it is full.
const EVENT_QUEUE_LEN: usize = 4096;
/// Limit of events handled before timers are checked again.
const MAX_EVENTS_PER_TURN: usize = 256;
/// Statement texts whose classification is cached.
const CACHED_CLASSES: std::num::NonZeroUsize = std::num::NonZeroUsize::new(10_000).unwrap();
/// Window of the retry budget.
const RETRY_WINDOW: std::time::Duration = std::time::Duration::from_secs(10);
/// Unsent bytes of a caller's socket above which its target is not read.
const MAX_BACKLOG_BYTES: usize = 1 << 20;

/// State of an entry instance.
#[derive(Debug)]
pub struct Loop {
    pub(crate) settings: settings::Entry,
    pub(crate) events: mpsc::Sender<Event>,
    pub(crate) rng: SmallRng,
    pub(crate) metrics: Set,
    pub(crate) signer: Signer,
    pub(crate) verifiers: HashMap<String, Verifier>,
    pub(crate) control: Control,
    /// Id of the current dial to a control instance; events of earlier dials are dropped.
    pub(crate) dial_id: u64,
    pub(crate) callers: SlotMap<CallerKey, Caller>,
    /// Callers by the process id given to them for CancelRequest.
    pub(crate) callers_by_process: HashMap<i32, CallerKey>,
    pub(crate) starting_connections: usize,
    pub(crate) conns: SlotMap<ConnKey, Conn>,
    /// Targets. An index stays valid after its target has left the catalog.
    pub(crate) targets: Vec<Target>,
    /// Index of each target by its name.
    pub(crate) target_indices: HashMap<Name, usize>,
    /// Announcements received, with their expiry.
    pub(crate) announcements: HashMap<Name, (Announcement, Instant)>,
    pub(crate) databases: HashMap<Name, Database>,
    pub(crate) class_cache: Cache,
    /// Service times by shape, shared by all targets: a shape found to be long on one target need
    /// not be learned again on each of the others at the expense of short statements there.
    pub(crate) service_times: pool::service_time::Table,
    pub(crate) statements: Table,
    pub(crate) timers: Timers,
    /// Limits retries to a share of the recent requests.
    pub(crate) retry_budget: Budget,
    /// The catalog has changed since it was last written to its file.
    pub(crate) save_pending: bool,
    /// Connections and callers with bytes to send at the end of the turn.
    pub(crate) dirty_conns: Vec<ConnKey>,
    pub(crate) dirty_callers: Vec<CallerKey>,
    /// Callers whose next batch may be complete.
    pub(crate) ready_callers: Vec<CallerKey>,
    /// Indices of targets whose queue has to be scheduled.
    pub(crate) due_queues: Vec<usize>,
    /// Parameters reported by a target, sent to callers at startup.
    pub(crate) target_parameters: Vec<(String, String)>,
    /// Whether the lease had expired at the last check.
    pub(crate) lease_ended: bool,
    /// Phase of a graceful stop, set by SIGTERM or SIGINT.
    pub(crate) stop: Option<Stop>,
}

/// Runs an entry instance until SIGTERM or SIGINT.
///
/// # Errors
/// Fails if an address can't be bound, or if the signal handlers or the session keys can't be set
/// up.
pub async fn run(settings: settings::Entry) -> Result<()> {
    let stop = observe::stop::signal().context("install the signal handlers")?;
    let listener = TcpListener::bind(settings.listen)
        .await
        .with_context(|| format!("listen on {}", settings.listen))?;
    let http = TcpListener::bind(settings.http)
        .await
        .with_context(|| format!("listen on {}", settings.http))?;
    let (events, mut queue) = mpsc::channel(EVENT_QUEUE_LEN);
    spawn_local(observe::http::serve(http, events.clone()));
    let accepting = spawn_local(accept(listener, events.clone()));
    let stop_events = events.clone();
    spawn_local(async move {
        stop.await;
        let _ended = stop_events.send(Event::Stop).await;
    });
    let mut state = Loop::new(settings, events, now())?;
    tracing::info!(instance = %state.settings.instance, listen = %state.settings.listen, "entry started");
    while state.turn(&mut queue).await {
        if state.stop.is_some() {
            accepting.abort();
        }
    }
    tracing::info!("entry stopped");
    Ok(())
}

async fn accept(listener: TcpListener, events: mpsc::Sender<Event>) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                if events.send(Event::Accepted(socket)).await.is_err() {
                    return;
                }
            }
            // Out of file descriptors: closing connections will free some.
            Err(_) => tokio::time::sleep(std::time::Duration::from_millis(100)).await,
        }
    }
}

impl Loop {
    fn new(settings: settings::Entry, events: mpsc::Sender<Event>, now: Instant) -> Result<Self> {
        let mut rng: SmallRng = rand::make_rng();
        let verifier = |caller: &settings::Caller| {
            let iterations = u16::try_from(caller.iterations).unwrap_or(u16::MAX);
            let (hash, salt) = (caller.hash.clone(), caller.salt.clone());
            (
                caller.user.clone(),
                Verifier {
                    hash,
                    salt,
                    iterations,
                },
            )
        };
        let boot = rand::RngExt::random(&mut rng);
        let control = Control::new(
            settings.instance.clone(),
            settings.domain.clone(),
            boot,
            settings.control.clone(),
            now,
        );
        let mut state = Self {
            signer: signer(&settings)?,
            verifiers: settings.callers.iter().map(verifier).collect(),
            settings,
            events,
            rng: SmallRng::from_rng(&mut rng),
            metrics: Set::new(),
            control,
            dial_id: 0,
            callers: SlotMap::with_key(),
            callers_by_process: HashMap::default(),
            starting_connections: 0,
            conns: SlotMap::with_key(),
            targets: Vec::new(),
            target_indices: HashMap::default(),
            announcements: HashMap::default(),
            databases: HashMap::default(),
            class_cache: Cache::new(CACHED_CLASSES),
            service_times: pool::service_time::Table::default(),
            statements: Table::default(),
            timers: Timers::default(),
            retry_budget: Budget::new(RETRY_WINDOW, now),
            save_pending: false,
            dirty_conns: Vec::new(),
            dirty_callers: Vec::new(),
            ready_callers: Vec::new(),
            due_queues: Vec::new(),
            target_parameters: Vec::new(),
            lease_ended: false,
            stop: None,
        };
        state.load_catalog(now);
        Ok(state)
    }

    /// Waits for an event or a timer and handles what is due. False once the process should end.
    async fn turn(&mut self, queue: &mut mpsc::Receiver<Event>) -> bool {
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
        self.on_timers(now);
        self.process_ready(now);
        self.flush();
        !self.is_stopped(now)
    }

    async fn wait(&mut self, queue: &mut mpsc::Receiver<Event>) -> Option<Event> {
        let stop = self.stop.map(Stop::deadline);
        let deadline = [self.timers.next(), self.control.deadline(), stop];
        match deadline.into_iter().flatten().min() {
            None => queue.recv().await,
            Some(deadline) => tokio::select! {
                biased;
                event = queue.recv() => event,
                () = tokio::time::sleep_until(deadline.into()) => None,
            },
        }
    }

    fn on_event(&mut self, now: Instant, event: Event) {
        match event {
            Event::Accepted(socket) => self.on_accepted(socket),
            Event::Login(login) => {
                let _gone = login.reply.send(self.verifiers.get(&login.user).cloned());
            }
            Event::Startup(outcome) => self.on_startup(now, outcome),
            Event::Caller(key, event) => self.on_caller_event(now, key, event),
            Event::Opened(key, result) => self.on_opened(now, key, result),
            Event::Conn(key, event) => self.on_conn_event(now, key, event),
            Event::Cancelled(key) => self.on_cancelled(now, key),
            Event::Dialed(dial_id, out) => self.on_dialed(now, dial_id, out),
            Event::Control(dial_id, event) => self.on_control(now, dial_id, event),
            Event::Http(request) => self.on_request(now, request),
            Event::Stop => self.on_stop(now),
        }
    }

    /// Advances callers and schedules queues until none of them is due.
    fn process_ready(&mut self, now: Instant) {
        self.on_control_tick(now);
        loop {
            if let Some(key) = self.ready_callers.pop() {
                self.advance(now, key);
            } else if let Some(index) = self.due_queues.pop() {
                self.schedule(now, index);
            } else {
                return;
            }
        }
    }

    /// Sends the output of the turn, with one write per connection.
    pub(crate) fn flush(&mut self) {
        for key in std::mem::take(&mut self.dirty_conns) {
            let Some(conn) = self.conns.get_mut(key) else {
                continue;
            };
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
        for key in std::mem::take(&mut self.dirty_callers) {
            let Some(caller) = self.callers.get_mut(key) else {
                continue;
            };
            let events = &self.events;
            caller.handle.send(caller.out.split().freeze(), |out| {
                io::notify_when_writable(
                    out,
                    events.clone(),
                    Event::Caller(key, io::Event::Writable),
                );
            });
            self.apply_backpressure(key);
            self.remove_if_done(key);
        }
    }

    /// Stops reading from the target of a caller that lags behind, and resumes once it has caught
    /// up.
    pub(crate) fn apply_backpressure(&mut self, key: CallerKey) {
        let Some(caller) = self.callers.get(key) else {
            return;
        };
        let lagging = caller.handle.backlog_bytes() > MAX_BACKLOG_BYTES;
        let crate::caller::State::Running(conn) = caller.state else {
            return;
        };
        if let Some(handle) = self
            .conns
            .get_mut(conn)
            .and_then(|conn| conn.handle.as_mut())
        {
            if lagging {
                handle.pause()
            } else {
                handle.resume()
            }
        }
    }
}

fn signer(settings: &settings::Entry) -> Result<Signer> {
    let key = |key: &settings::Key| {
        session::Key::new(key.id, key.secret.as_str().as_bytes())
            .map_err(|error| anyhow::anyhow!("session key {}: {error}", key.id))
    };
    let mut keys = settings.session_keys.iter().map(key);
    let first = keys.next().context("no session key is configured")??;
    Ok(Signer::new(first, keys.next().transpose()?))
}

/// The monotonic clock, which is paused in tests.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

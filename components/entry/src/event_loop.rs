//! The loop: one task that owns all state and takes every event in turn.

use std::time::Instant;

use ahash::HashMap;
use anyhow::{Context, Result};
use pool::retry::Budget;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use relay::statement::StatementTable;
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
use crate::server::{Conn, Server};
use crate::startup::Verifier;
use crate::stop::Stop;
use crate::timer::Timers;
use link::io;

/// Events that wait for the loop; senders wait beyond that.
const EVENTS: usize = 4096;
/// Events taken before timers are looked at again.
const BATCH: usize = 256;
/// Texts whose class is kept.
const CLASSES: std::num::NonZeroUsize = std::num::NonZeroUsize::new(10_000).unwrap();
/// Window of the retry budget.
const RETRY_WINDOW: std::time::Duration = std::time::Duration::from_secs(10);
/// Bytes that a caller's socket may lag behind before its target is paused.
const MAX_BACKLOG: usize = 1 << 20;

/// State of an entry process.
#[derive(Debug)]
pub struct Loop {
    pub(crate) settings: settings::Entry,
    pub(crate) events: mpsc::Sender<Event>,
    pub(crate) rng: SmallRng,
    pub(crate) metrics: Set,
    pub(crate) signer: Signer,
    pub(crate) verifiers: HashMap<String, Verifier>,
    pub(crate) control: Control,
    /// Number of the present dial to control; events of earlier ones are dropped.
    pub(crate) dial: u64,
    pub(crate) callers: SlotMap<CallerKey, Caller>,
    /// Callers by the process id that they were given.
    pub(crate) processes: HashMap<i32, CallerKey>,
    pub(crate) starting: usize,
    pub(crate) conns: SlotMap<ConnKey, Conn>,
    /// Targets; an index stays valid, also after the target has left the catalog.
    pub(crate) servers: Vec<Server>,
    /// Index of each target by its name.
    pub(crate) indices: HashMap<Name, usize>,
    /// Announcements heard here, and until when each holds.
    pub(crate) heard: HashMap<Name, (Announcement, Instant)>,
    pub(crate) databases: HashMap<Name, Database>,
    pub(crate) cache: Cache,
    /// Service times by shape. One table for all targets: what one has shown to be long need not be
    /// learnt again at the expense of short work on each of the others.
    pub(crate) shapes: pool::service_time::ServiceTimes,
    pub(crate) statements: StatementTable,
    pub(crate) timers: Timers,
    /// Bounds what is sent again.
    pub(crate) budget: Budget,
    /// The catalog has changed since it was last written to its file.
    pub(crate) unsaved: bool,
    /// Connections and callers with bytes to send at the end of the turn.
    pub(crate) dirty_conns: Vec<ConnKey>,
    pub(crate) dirty_callers: Vec<CallerKey>,
    /// Callers whose next batch is due.
    pub(crate) ready: Vec<CallerKey>,
    /// Targets whose queue is due.
    pub(crate) due_queues: Vec<usize>,
    /// Parameters that targets reported, for the start of callers.
    pub(crate) parameters: Vec<(String, String)>,
    /// The lease has run out, as last seen.
    pub(crate) lease_ended: bool,
    /// Set by SIGTERM.
    pub(crate) stop: Option<Stop>,
}

/// Runs an entry process until SIGTERM or SIGINT.
///
/// # Errors
/// Fails if an address can't be bound.
pub async fn run(settings: settings::Entry) -> Result<()> {
    let stop = observe::stop::signal().context("signals")?;
    let listener = TcpListener::bind(settings.listen)
        .await
        .with_context(|| format!("listen on {}", settings.listen))?;
    let http = TcpListener::bind(settings.http)
        .await
        .with_context(|| format!("listen on {}", settings.http))?;
    let (events, mut queue) = mpsc::channel(EVENTS);
    spawn_local(observe::http::serve(http, events.clone()));
    let accepting = spawn_local(accept(listener, events.clone()));
    let stopped = events.clone();
    spawn_local(async move {
        stop.await;
        let _ended = stopped.send(Event::Stop).await;
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
            // Out of descriptors: connections that end free some.
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
            dial: 0,
            callers: SlotMap::with_key(),
            processes: HashMap::default(),
            starting: 0,
            conns: SlotMap::with_key(),
            servers: Vec::new(),
            indices: HashMap::default(),
            heard: HashMap::default(),
            databases: HashMap::default(),
            cache: Cache::new(CLASSES),
            shapes: pool::service_time::ServiceTimes::default(),
            statements: StatementTable::default(),
            timers: Timers::default(),
            budget: Budget::new(RETRY_WINDOW, now),
            unsaved: false,
            dirty_conns: Vec::new(),
            dirty_callers: Vec::new(),
            ready: Vec::new(),
            due_queues: Vec::new(),
            parameters: Vec::new(),
            lease_ended: false,
            stop: None,
        };
        state.restore(now);
        Ok(state)
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
        self.on_timers(now);
        self.settle(now);
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
            Event::Start(outcome) => self.on_start(now, outcome),
            Event::Caller(key, event) => self.on_caller(now, key, event),
            Event::Opened(key, result) => self.on_opened(now, key, result),
            Event::Conn(key, event) => self.on_conn(now, key, event),
            Event::Cancelled(key) => self.on_cancelled(now, key),
            Event::Dialed(dial, out) => self.on_dialed(now, dial, out),
            Event::Control(dial, event) => self.on_control(now, dial, event),
            Event::Http(request) => self.on_request(now, request),
            Event::Stop => self.on_stop(now),
        }
    }

    /// Works until no caller and no queue is due.
    fn settle(&mut self, now: Instant) {
        self.on_control_tick(now);
        loop {
            if let Some(key) = self.ready.pop() {
                self.advance(now, key);
            } else if let Some(server) = self.due_queues.pop() {
                self.schedule(now, server);
            } else {
                return;
            }
        }
    }

    /// Sends what the turn has produced, one write a connection.
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
                io::wait_for_room(out, events.clone(), Event::Conn(key, io::Event::Room));
            });
        }
        for key in std::mem::take(&mut self.dirty_callers) {
            let Some(caller) = self.callers.get_mut(key) else {
                continue;
            };
            let events = &self.events;
            caller.handle.send(caller.out.split().freeze(), |out| {
                io::wait_for_room(out, events.clone(), Event::Caller(key, io::Event::Room));
            });
            self.pace(key);
            self.remove_if_done(key);
        }
    }

    /// Pauses the target of a caller that does not read, and resumes it.
    pub(crate) fn pace(&mut self, key: CallerKey) {
        let Some(caller) = self.callers.get(key) else {
            return;
        };
        let behind = caller.handle.backlog() > MAX_BACKLOG;
        let crate::caller::State::Running(conn) = caller.state else {
            return;
        };
        if let Some(handle) = self
            .conns
            .get_mut(conn)
            .and_then(|conn| conn.handle.as_mut())
        {
            if behind {
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
            .map_err(|weak| anyhow::anyhow!("session key {}: {weak}", key.id))
    };
    let mut keys = settings.session_keys.iter().map(key);
    let first = keys.next().context("no session key")??;
    Ok(Signer::new(first, keys.next().transpose()?))
}

/// The monotonic clock, which is paused in tests.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

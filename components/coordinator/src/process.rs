//! The event loop: one task that owns all state and handles one event after the other.

use std::collections::BTreeMap;
use std::marker::PhantomData;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use cluster::roster::{Roster, Size};
use cluster::{Peers, data, writes};
use consensus::{Epoch, Identity, Node};
use disk::{Native, Wal};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use registry::{Plan, Registry};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::acknowledge::Relay;
use crate::api::Api;
use crate::event::Event;
use crate::leadership::Leadership;
use crate::log;
use crate::metrics::Set;
use crate::neighbours::Neighbours;
use crate::rate::Rates;
use crate::samples::Cache;
use crate::servers::{Agent, Connection};
use crate::streams;
use crate::subscribers::Subscribers;

/// Length of the event queue; senders wait while it is full.
const EVENT_QUEUE_LEN: usize = 4096;
/// Events handled before the timers are checked again.
const MAX_EVENTS_PER_TURN: usize = 256;
/// Connections of the HTTP endpoint, which servers keep open between heartbeats. The remaining file
/// descriptors of the machines' limit of 4,096 are for streams, connections to servers and files.
const MAX_HTTP_CONNECTIONS: usize = 3000;
/// Largest body of an HTTP request.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Delay between a failed write and the exit of the process, which is then restarted.
const WRITE_FAILURE_EXIT_DELAY: Duration = Duration::from_secs(1);
/// Heartbeat interval of the replicated log. With the election timeouts it bounds the time to detect a
/// lost leader; a slow disk may take 100 ms for a sync.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(60);
const ELECTION_TIMEOUT_MIN: Duration = Duration::from_millis(300);
const ELECTION_TIMEOUT_MAX: Duration = Duration::from_millis(600);
/// Largest encoded order; plans are the largest orders.
const MAX_ORDER_BYTES: usize = MAX_BODY_BYTES + 1024;

/// The request that waits for the commit of an order.
#[derive(Debug)]
pub enum Waiter {
    /// A server's heartbeat.
    Heartbeat {
        /// Path of the request.
        path: String,
        reply: observe::http::Reply,
    },
    /// A request whose reply only confirms the commit.
    Acknowledgement {
        /// Path of the request.
        path: String,
        reply: observe::http::Reply,
    },
    /// No request.
    None,
}

/// A proposed order that is not committed yet.
#[derive(Debug)]
pub struct Proposal {
    /// Epoch of the proposal. An order committed under another epoch is not this one.
    pub epoch: Epoch,
    pub proposed_at: Instant,
    pub waiter: Waiter,
}

/// State of a coordinator process.
#[derive(Debug)]
pub struct Loop<A, C> {
    pub(crate) settings: settings::Coordinator,
    /// Settings file.
    pub(crate) settings_path: PathBuf,
    pub(crate) events: mpsc::Sender<Event>,
    pub(crate) node: Node<SmallRng>,
    pub(crate) disk: writes::Queue<Wal<Native>>,
    pub(crate) peers: Peers<Event>,
    pub(crate) roster: Roster,
    pub(crate) subscribers: Subscribers,
    pub(crate) sample_cache: Cache,
    pub(crate) neighbours: Neighbours,
    pub(crate) registry: Registry,
    /// Decoded plan of the registry.
    pub(crate) plan: Plan,
    /// Set while this instance leads and has applied all orders of earlier epochs.
    pub(crate) leadership: Option<Leadership>,
    pub(crate) rates: Rates,
    pub(crate) relay: Relay,
    /// Own proposals by log index.
    pub(crate) proposals: BTreeMap<u64, Proposal>,
    /// Requests for the plan that wait for a quorum of heartbeat replies, by the number of the read,
    /// with path and reply channel.
    pub(crate) reads: BTreeMap<u64, (String, observe::http::Reply)>,
    pub(crate) next_read: u64,
    pub(crate) metrics: Set,
    /// Index of the last applied log entry.
    pub(crate) applied_index: u64,
    pub(crate) applied_at: Instant,
    /// Index that the latest snapshot covers.
    pub(crate) snapshot_index: u64,
    pub(crate) maintenance_at: Instant,
    /// When a write failed. The state of the log on disk is then unknown, and the process restarts to
    /// read it.
    pub(crate) write_failed_at: Option<Instant>,
    /// Set by SIGTERM or SIGINT: when the process ends even if requests still wait.
    pub(crate) stop_deadline: Option<Instant>,
    marker: PhantomData<(A, C)>,
}

/// Runs a coordinator process until SIGTERM or SIGINT. `settings_path` is its settings file, which is
/// reloaded when it changes.
///
/// # Errors
/// Returns an error if the data directory can't be opened, an address can't be bound, or a write to
/// the disk fails.
pub async fn run<A: Api + 'static, C: Connection>(
    settings: settings::Coordinator,
    settings_path: PathBuf,
) -> Result<()> {
    let mut stop = Box::pin(observe::stop::signal().context("install signal handlers")?);
    let mut rng: SmallRng = rand::make_rng();
    let (wal, opened) = tokio::select! {
        opened = data::open(&settings.data, &mut rng) => opened?,
        _signal = &mut stop => return Ok(()),
    };
    let link_listener = TcpListener::bind(settings.link)
        .await
        .with_context(|| format!("listen on {}", settings.link))?;
    let http_listener = TcpListener::bind(settings.http)
        .await
        .with_context(|| format!("listen on {}", settings.http))?;
    let (events, mut queue) = mpsc::channel(EVENT_QUEUE_LEN);
    let limits = observe::http::Limits {
        body: MAX_BODY_BYTES,
        connections: MAX_HTTP_CONNECTIONS,
        ..Default::default()
    };
    spawn_local(observe::http::serve_with(
        http_listener,
        events.clone(),
        limits,
    ));
    streams::accept(link_listener, events.clone());
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
    tracing::info!(
        instance = %settings.instance, disk = opened.disk.0, new = opened.is_new, torn = opened.torn_bytes,
        founding = settings.founding, last = opened.saved.entries.len(), "coordinator started"
    );
    let mut event_loop = Loop::<A, C>::new(settings, settings_path, events, wal, opened, rng)?;
    while event_loop.run_turn(&mut queue).await? {}
    tracing::info!("coordinator stopped");
    Ok(())
}

impl<A: Api, C: Connection> Loop<A, C> {
    fn new(
        settings: settings::Coordinator,
        settings_path: PathBuf,
        events: mpsc::Sender<Event>,
        wal: Wal<Native>,
        opened: disk::Opened,
        mut rng: SmallRng,
    ) -> Result<Self> {
        let now = now();
        let identity = Identity::new(settings.instance.clone(), opened.disk);
        let registry = registry::convert::decode_snapshot(&opened.saved.snapshot.data)
            .context("decode the registry in the snapshot")?;
        let applied_index = opened.saved.snapshot.position.index;
        let consensus_settings = consensus::Settings {
            heartbeat_interval: HEARTBEAT_INTERVAL,
            election_timeout_min: ELECTION_TIMEOUT_MIN,
            election_timeout_max: ELECTION_TIMEOUT_MAX,
            max_append_bytes: MAX_ORDER_BYTES,
            ..Default::default()
        };
        let node = Node::new(
            now,
            identity,
            consensus_settings,
            SmallRng::from_rng(&mut rng),
            opened.saved,
        );
        let size = Size {
            voters: 2 * settings.tolerated + 1,
            domains: settings.domains,
        };
        let mut event_loop = Self {
            peers: Peers::new(settings.link, events.clone()),
            roster: Roster::new(size, settings.seeds.clone()),
            settings,
            settings_path,
            events,
            node,
            disk: writes::Queue::new(wal),
            subscribers: Subscribers::default(),
            sample_cache: Cache::default(),
            neighbours: Neighbours::new(now),
            plan: log::read_plan::<A>(&registry),
            registry,
            leadership: None,
            rates: Rates::default(),
            relay: Relay::default(),
            proposals: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_read: 0,
            metrics: Set::new(),
            applied_index,
            applied_at: now,
            snapshot_index: applied_index,
            maintenance_at: now,
            write_failed_at: None,
            stop_deadline: None,
            marker: PhantomData,
        };
        event_loop.update_peers(now);
        Ok(event_loop)
    }

    /// Waits for events or a timer and handles them. Returns false once the process should end.
    async fn run_turn(&mut self, queue: &mut mpsc::Receiver<Event>) -> Result<bool> {
        let deadline = tokio::time::Instant::from_std(self.deadline());
        let first = tokio::select! {
            biased;
            event = queue.recv() => event,
            () = tokio::time::sleep_until(deadline) => None,
        };
        let now = now();
        let mut next = first;
        for _ in 0..MAX_EVENTS_PER_TURN {
            let Some(event) = next else { break };
            self.on_event(now, event)?;
            next = queue.try_recv().ok();
        }
        if let Some(event) = next {
            self.on_event(now, event)?;
        }
        self.on_tick(now)?;
        self.disk.start_batch(now, &self.events, Event::Disk);
        if self
            .write_failed_at
            .is_some_and(|at| now >= at + WRITE_FAILURE_EXIT_DELAY)
        {
            bail!("disk write failed; restart to read the log again");
        }
        Ok(!self.may_exit(now))
    }

    /// Whether the process is stopping and has answered all requests or reached its time limit.
    fn may_exit(&self, now: Instant) -> bool {
        let has_request = |proposal: &Proposal| !matches!(proposal.waiter, Waiter::None);
        let is_idle = self.reads.is_empty() && !self.proposals.values().any(has_request);
        self.stop_deadline
            .is_some_and(|stop_deadline| is_idle || stop_deadline <= now)
    }

    fn deadline(&self) -> Instant {
        let deadlines = [
            self.node.deadline(),
            self.peers.deadline(),
            self.leadership.as_ref().map(Leadership::deadline),
            self.stop_deadline,
            self.write_failed_at.map(|at| at + WRITE_FAILURE_EXIT_DELAY),
            self.disk.deadline(),
        ];
        let first = deadlines.into_iter().flatten().min();
        first.map_or(self.maintenance_at, |first| first.min(self.maintenance_at))
    }

    fn on_event(&mut self, now: Instant, event: Event) -> Result<()> {
        match event {
            Event::Peer(event) => self.on_peer(now, event)?,
            Event::EntryOpened(id, sender) => self.subscribers.open(id, sender),
            Event::Entry(id, link::Event::Message(message)) => self.on_entry(now, id, message)?,
            Event::Entry(id, link::Event::Closed(_)) => self.subscribers.close(id),
            Event::RateOpened(id, sender) => self.rates.open(id, sender),
            Event::Rate(id, event) => self.on_rate(id, event),
            Event::Disk(completion) => self.on_disk(now, completion)?,
            Event::CommandAnswer {
                service,
                id,
                command,
                status,
            } => {
                let mut actions = Vec::new();
                if let Some(leadership) = &mut self.leadership {
                    tracing::info!(
                        service,
                        id,
                        ?command,
                        ?status,
                        "outcome of a command to a server"
                    );
                    if let Some(machine) = leadership.machine(&service) {
                        machine.on_answer(&id, command, status, &mut actions);
                    }
                    leadership.schedule_step(now);
                }
                let actions = actions.into_iter().map(|action| (service.clone(), action));
                self.run_failover_actions(now, actions.collect())?;
            }
            Event::PromotionAnswer {
                service,
                token,
                answer,
            } => {
                if let Some(leadership) = &mut self.leadership {
                    if let Some(machine) = leadership.machine(&service) {
                        machine.on_promotion(now, token, answer, &self.registry);
                    }
                    leadership.schedule_step(now);
                }
            }
            Event::Ping { id, ping } => {
                if let Some(leadership) = &mut self.leadership {
                    leadership.on_ping(now, &id, ping);
                }
            }
            Event::Http(request) => self.on_request(now, request)?,
            Event::Reload => self.reload(now),
            Event::Stop => {
                tracing::info!("stop asked for");
                self.stop_deadline = Some(now + self.settings.stop_timeout);
            }
        }
        Ok(())
    }

    fn on_tick(&mut self, now: Instant) -> Result<()> {
        self.peers.on_tick(now);
        if self.node.deadline().is_some_and(|deadline| deadline <= now) {
            let mut actions = Vec::new();
            self.node.on_tick(now, &mut actions);
            self.run_consensus_actions(now, actions)?;
        }
        self.run_maintenance(now)?;
        let mut actions = Vec::new();
        if let Some(leadership) = &mut self.leadership {
            let events = &self.events;
            let start_agent = |server: &registry::Server| Agent::start::<C>(events, server);
            leadership.on_tick(now, &self.registry, start_agent, &mut actions);
        }
        self.run_failover_actions(now, actions)?;
        self.answer_claims();
        let gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        self.metrics.revision.set(gauge(self.registry.revision()));
        self.metrics
            .version
            .set(gauge(self.registry.plan_version()));
        self.metrics
            .entries
            .set(gauge(self.subscribers.count() as u64));
        Ok(())
    }

    fn reload(&mut self, now: Instant) {
        match settings::load::<settings::Coordinator>(&self.settings_path) {
            Ok(settings) => {
                tracing::info!(seeds = ?settings.seeds, "settings reloaded");
                self.roster.set_seeds(settings.seeds);
                self.update_peers(now);
            }
            Err(report) => {
                tracing::warn!(%report, "rejected the changed settings; keeping the previous ones")
            }
        }
    }
}

/// Reads the monotonic clock, which tests can pause.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

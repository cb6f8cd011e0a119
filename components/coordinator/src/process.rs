//! The loop: one task that owns all state and takes every event in turn.

use std::collections::BTreeMap;
use std::marker::PhantomData;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use cluster::roster::{Roster, Size};
use cluster::{Peers, peers, writes};
use consensus::{Epoch, Identity, Node};
use disk::{Native, Wal};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use registry::failover::Action;
use registry::{Order, Plan, Registry};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::api::Api;
use crate::event::{Event, StreamId};
use crate::fleet::{self, Agent, Fleet};
use crate::lead::Lead;
use crate::log;
use crate::metrics::Set;
use crate::neighbours::Neighbours;
use crate::samples::Samples;
use crate::subscribers::Subscribers;

/// Events that wait for the loop; senders wait beyond that.
const EVENTS: usize = 4096;
/// Events taken before timers are looked at again.
const BATCH: usize = 256;
/// Messages that wait for an entry's stream.
const ENTRY_OUT: usize = 1024;
/// Connections on the HTTP endpoint. Servers keep theirs between heartbeats; the rest of the
/// machines' 4,096 descriptors is for streams, agents and files.
const MAX_CONNECTIONS: usize = 3000;
/// Bytes of a request's body.
const MAX_BODY: usize = 4 << 20;
/// Pause after a failed write before the process ends to be started again.
const FAILED: Duration = Duration::from_secs(1);
/// Interval of heartbeats of the log. With the election timeouts it bounds how long a lost leader
/// goes unnoticed; a slow disk may take 100 ms for a sync.
const HEARTBEAT: Duration = Duration::from_millis(60);
/// Shortest election timeout.
const ELECTION_MIN: Duration = Duration::from_millis(300);
/// Longest election timeout.
const ELECTION_MAX: Duration = Duration::from_millis(600);
/// Bytes of one order; the largest is a plan.
const MAX_ORDER: usize = MAX_BODY + 1024;

/// Who waits for an order.
#[derive(Debug)]
pub enum Waiter {
    /// A server, for the answer to its heartbeat.
    Heartbeat {
        /// Path of the request.
        path: String,
        /// Where the answer goes.
        reply: observe::http::Reply,
    },
    /// A caller that only wants to know that it is done.
    Done {
        /// Path of the request.
        path: String,
        /// Where the answer goes.
        reply: observe::http::Reply,
    },
    /// Nobody.
    None,
}

/// An order under way.
#[derive(Debug)]
pub struct Proposal {
    /// Epoch under which it was made.
    pub epoch: Epoch,
    /// When it was made.
    pub at: Instant,
    /// Who waits for it.
    pub waiter: Waiter,
}

/// State of a coordinator process.
#[derive(Debug)]
pub struct Loop<A, F> {
    pub(crate) settings: settings::Coordinator,
    pub(crate) path: PathBuf,
    pub(crate) events: mpsc::Sender<Event>,
    pub(crate) node: Node<SmallRng>,
    pub(crate) disk: writes::Queue<Wal<Native>>,
    pub(crate) peers: Peers<Event>,
    pub(crate) roster: Roster,
    pub(crate) subscribers: Subscribers,
    pub(crate) samples: Samples,
    pub(crate) neighbours: Neighbours,
    pub(crate) registry: Registry,
    /// The plan that the registry holds as a document.
    pub(crate) plan: Plan,
    /// Set while this instance leads and its registry holds all earlier orders.
    pub(crate) lead: Option<Lead>,
    /// Orders by their index.
    pub(crate) waiting: BTreeMap<u64, Proposal>,
    /// Reads that wait for a round of heartbeats.
    pub(crate) reads: BTreeMap<u64, (String, observe::http::Reply)>,
    pub(crate) next_read: u64,
    pub(crate) metrics: Set,
    pub(crate) applied: u64,
    /// When the last entry was applied.
    pub(crate) applied_at: Instant,
    pub(crate) compacted: u64,
    pub(crate) upkeep_at: Instant,
    /// When a write failed. The log can't be trusted beyond it, and a new start reads what is there.
    pub(crate) failed_at: Option<Instant>,
    /// Set by SIGTERM: when the process ends although orders wait for their commit.
    pub(crate) stop_at: Option<Instant>,
    kind: PhantomData<(A, F)>,
}

/// Runs a coordinator process until SIGTERM or SIGINT. `path` is its settings file, which is read
/// again when it changes.
///
/// # Errors
/// Fails if the data folder can't be opened, an address can't be bound, or a write to the disk
/// failed.
pub async fn run<A: Api + 'static, F: Fleet>(
    settings: settings::Coordinator,
    path: PathBuf,
) -> Result<()> {
    let stop = observe::stop::signal().context("signals")?;
    let mut rng: SmallRng = rand::make_rng();
    let (wal, opened) = Wal::open(Native, &settings.data, &mut rng)
        .with_context(|| format!("open {}", settings.data.display()))?;
    let link = TcpListener::bind(settings.link)
        .await
        .with_context(|| format!("listen on {}", settings.link))?;
    let http = TcpListener::bind(settings.http)
        .await
        .with_context(|| format!("listen on {}", settings.http))?;
    let (events, mut queue) = mpsc::channel(EVENTS);
    let limits = observe::http::Limits {
        body: MAX_BODY,
        connections: MAX_CONNECTIONS,
        ..Default::default()
    };
    spawn_local(observe::http::serve_with(http, events.clone(), limits));
    accept_streams(link, events.clone());
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
    tracing::info!(
        instance = %settings.instance, disk = opened.disk.0, new = opened.is_new, torn = opened.torn_bytes,
        founding = settings.founding, last = opened.saved.entries.len(), "coordinator started"
    );
    let mut state = Loop::<A, F>::new(settings, path, events, wal, opened, rng)?;
    while state.turn(&mut queue).await? {}
    tracing::info!("coordinator stopped");
    Ok(())
}

fn accept_streams(listener: TcpListener, events: mpsc::Sender<Event>) {
    spawn_local(link::listen(listener, move |path, number, stream| {
        let events = events.clone();
        match path {
            link::PEER_PATH => {
                spawn_local(peers::receive(stream, events));
            }
            link::ENTRY_PATH => {
                let id = StreamId(number);
                let (out, outgoing) = mpsc::channel(ENTRY_OUT);
                spawn_local(async move {
                    if events.send(Event::EntryOpen(id, out)).await.is_ok() {
                        let wrap = move |event| Event::Entry(id, event);
                        stream.run(outgoing, events, wrap).await;
                    }
                });
            }
            _ => {}
        }
    }));
}

impl<A: Api, F: Fleet> Loop<A, F> {
    fn new(
        settings: settings::Coordinator,
        path: PathBuf,
        events: mpsc::Sender<Event>,
        wal: Wal<Native>,
        opened: disk::Opened,
        mut rng: SmallRng,
    ) -> Result<Self> {
        let now = now();
        let me = Identity::new(settings.instance.clone(), opened.disk);
        let registry =
            log::decode(&opened.saved.snapshot.data).context("registry of the snapshot")?;
        let applied = opened.saved.snapshot.position.index;
        let times = consensus::Settings {
            heartbeat_interval: HEARTBEAT,
            election_timeout_min: ELECTION_MIN,
            election_timeout_max: ELECTION_MAX,
            max_append_bytes: MAX_ORDER,
            ..Default::default()
        };
        let node = Node::new(now, me, times, SmallRng::from_rng(&mut rng), opened.saved);
        let size = Size {
            voters: 2 * settings.tolerated + 1,
            domains: settings.domains,
        };
        let mut state = Self {
            peers: Peers::new(settings.link, events.clone()),
            roster: Roster::new(size, settings.seeds.clone()),
            settings,
            path,
            events,
            node,
            disk: writes::Queue::new(wal),
            subscribers: Subscribers::default(),
            samples: Samples::default(),
            neighbours: Neighbours::new(now),
            plan: log::plan::<A>(&registry),
            registry,
            lead: None,
            waiting: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_read: 0,
            metrics: Set::new(),
            applied,
            applied_at: now,
            compacted: applied,
            upkeep_at: now,
            failed_at: None,
            stop_at: None,
            kind: PhantomData,
        };
        state.keep_peers(now);
        Ok(state)
    }

    /// Waits for events or a timer and handles what there is. False once the process should end.
    async fn turn(&mut self, queue: &mut mpsc::Receiver<Event>) -> Result<bool> {
        let deadline = tokio::time::Instant::from_std(self.deadline());
        let first = tokio::select! {
            biased;
            event = queue.recv() => event,
            () = tokio::time::sleep_until(deadline) => None,
        };
        let now = now();
        let mut next = first;
        for _ in 0..BATCH {
            let Some(event) = next else { break };
            self.on_event(now, event)?;
            next = queue.try_recv().ok();
        }
        if let Some(event) = next {
            self.on_event(now, event)?;
        }
        self.on_tick(now)?;
        self.disk.start_batch(&self.events, Event::Disk);
        if self.failed_at.is_some_and(|at| now >= at + FAILED) {
            bail!("a write to the disk failed");
        }
        Ok(!self.is_stopped(now))
    }

    /// Whether a stopping process has answered everybody, or has no time left.
    fn is_stopped(&self, now: Instant) -> bool {
        let is_awaited = |proposal: &Proposal| !matches!(proposal.waiter, Waiter::None);
        let done = self.reads.is_empty() && !self.waiting.values().any(is_awaited);
        self.stop_at.is_some_and(|stop_at| done || stop_at <= now)
    }

    fn deadline(&self) -> Instant {
        let due = [
            self.node.deadline(),
            self.peers.deadline(),
            self.lead.as_ref().map(Lead::deadline),
            self.stop_at,
            self.failed_at.map(|at| at + FAILED),
        ];
        let first = due.into_iter().flatten().min();
        first.map_or(self.upkeep_at, |first| first.min(self.upkeep_at))
    }

    fn on_event(&mut self, now: Instant, event: Event) -> Result<()> {
        match event {
            Event::Peer(event) => self.on_peer(now, event)?,
            Event::EntryOpen(id, out) => self.subscribers.open(id, out),
            Event::Entry(id, link::Event::Message(message)) => self.on_entry(now, id, message)?,
            Event::Entry(id, link::Event::Closed(_)) => self.subscribers.close(id),
            Event::Disk(done) => self.on_disk(now, done)?,
            Event::Answer {
                service,
                id,
                command,
                status,
            } => {
                let mut actions = Vec::new();
                if let Some(lead) = &mut self.lead {
                    tracing::info!(service, id, ?command, ?status, "answer of a server");
                    if let Some(machine) = lead.machine(&service) {
                        machine.on_answer(&id, command, status, &mut actions);
                    }
                    lead.step_soon(now);
                }
                let actions = actions.into_iter().map(|action| (service.clone(), action));
                self.act(now, actions.collect())?;
            }
            Event::Promoted {
                service,
                token,
                answer,
            } => {
                if let Some(lead) = &mut self.lead {
                    if let Some(machine) = lead.machine(&service) {
                        machine.on_promotion(now, token, answer);
                    }
                    lead.step_soon(now);
                }
            }
            Event::Ping { id, ping } => {
                if let Some(lead) = &mut self.lead {
                    lead.on_ping(now, &id, ping);
                }
            }
            Event::Http(request) => self.on_request(now, request)?,
            Event::Reload => self.reload(now),
            Event::Stop => {
                tracing::info!("stop asked for");
                self.stop_at = Some(now + self.settings.stop_timeout);
            }
        }
        Ok(())
    }

    fn on_tick(&mut self, now: Instant) -> Result<()> {
        self.peers.on_tick(now);
        if self.node.deadline().is_some_and(|deadline| deadline <= now) {
            let mut actions = Vec::new();
            self.node.on_tick(now, &mut actions);
            self.drive(now, actions)?;
        }
        self.on_upkeep(now)?;
        let mut due = Vec::new();
        if let Some(lead) = &mut self.lead {
            let events = &self.events;
            let start = |server: &registry::Server| Agent::start::<F>(events, server);
            lead.on_tick(now, &self.registry, start, &mut due);
        }
        self.act(now, due)?;
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

    /// Carries out the actions of changes of primary.
    fn act(&mut self, now: Instant, actions: Vec<(String, Action)>) -> Result<()> {
        for (service, action) in actions {
            let order = match action {
                Action::Command { id, command } => {
                    if let Some(lead) = &self.lead {
                        lead.command(&id, command);
                    }
                    continue;
                }
                Action::Promote { id, token } => {
                    let (platform, me) = (self.settings.promoter, self.settings.instance.as_str());
                    fleet::promote::<F>(&self.events, platform, me, &service, &id, token);
                    continue;
                }
                Action::Choose { id } => Order::Lead { service, id },
                Action::Confirm { token } => Order::Confirm { service, token },
            };
            if let Err((refusal, _)) = self.propose(now, &order, Waiter::None)? {
                tracing::warn!(%refusal, ?order, "order not proposed");
                self.metrics.common.retries.add("proposal");
            }
        }
        Ok(())
    }

    fn reload(&mut self, now: Instant) {
        match settings::load::<settings::Coordinator>(&self.path) {
            Ok(settings) => {
                tracing::info!(seeds = ?settings.seeds, "settings read again");
                self.roster.set_seeds(settings.seeds);
                self.keep_peers(now);
            }
            Err(report) => tracing::warn!(%report, "changed settings refused"),
        }
    }
}

/// The monotonic clock, which is paused in tests.
fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

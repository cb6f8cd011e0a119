//! The event loop: one task that owns all state and handles all events in sequence.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use catalog::Catalog;
use cluster::{data, writes};
use consensus::{Epoch, Identity, Node};
use disk::{Native, Wal};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use types::Name;

use crate::actions::FOLLOW_REASON;
use crate::api;
use crate::entries::Streams;
use crate::event::{Event, StreamId};
use crate::introductions::Introductions;
use crate::leader::Leader;
use crate::metrics::Set;
use crate::peers::Peers;

/// Capacity of the event queue in events; senders wait while it is full.
const EVENT_QUEUE_LEN: usize = 4096;
/// Limit of events handled before timers are checked again.
const MAX_EVENTS_PER_TURN: usize = 256;
/// Capacity of the queue to an entry in messages; a stream with a full queue is dropped.
const ENTRY_QUEUE_LEN: usize = 8192;
/// Interval between introductions while this instance is not in the member list, and between checks
/// for instances that return with a new disk.
const HELLO_INTERVAL: Duration = Duration::from_millis(200);

/// Receiver of the outcome of a proposal.
#[derive(Debug)]
pub enum Waiter {
    /// An operator's HTTP request.
    Operator(api::Pending),
    /// The failover machine of a database.
    Machine(Name),
    /// No one waits for the outcome.
    None,
}

/// State of a control instance.
#[derive(Debug)]
pub struct Loop {
    pub(crate) settings: settings::Control,
    pub(crate) events: mpsc::Sender<Event>,
    pub(crate) node: Node<SmallRng>,
    pub(crate) disk: writes::Queue<Wal<Native>>,
    pub(crate) peers: Peers,
    pub(crate) introductions: Introductions,
    pub(crate) streams: Streams,
    pub(crate) catalog: Catalog,
    /// Set while this instance leads and its catalog holds every command of earlier epochs.
    pub(crate) leader: Option<Leader>,
    /// Waiters of proposals by log index, with the epoch of the proposal.
    pub(crate) waiters: BTreeMap<u64, (Epoch, Waiter)>,
    pub(crate) pending_reads: BTreeMap<u64, api::Read>,
    pub(crate) next_read_id: u64,
    /// Committed changes whose answers wait for confirmations of entries, each for a bounded time.
    pub(crate) confirmations: Vec<api::Confirmation>,
    pub(crate) metrics: Set,
    pub(crate) applied_index: u64,
    pub(crate) snapshot_index: u64,
    pub(crate) next_hello: Instant,
    /// Set by SIGTERM or SIGINT: time at which the process ends even if operators' changes still
    /// wait for their commit.
    pub(crate) stop_deadline: Option<Instant>,
    /// Whether an event may let changes of primary proceed. They are stepped once at the end of the
    /// turn: a step for each renewal made the cost quadratic in the number of entries.
    pub(crate) step_due: bool,
    /// Number of follow commands under way.
    pub(crate) running_follows: usize,
}

/// Runs a control instance until SIGTERM or SIGINT.
///
/// # Errors
/// Fails if the data folder can't be opened, an address can't be bound, or a write to the disk
/// failed.
pub async fn run(settings: settings::Control) -> Result<()> {
    let mut stop = Box::pin(observe::stop::signal().context("install signal handlers")?);
    let mut rng: SmallRng = rand::make_rng();
    let (wal, opened) = tokio::select! {
        opened = data::open(&settings.data, &mut rng) => opened?,
        _signal = &mut stop => return Ok(()),
    };
    let link = TcpListener::bind(settings.link)
        .await
        .with_context(|| format!("listen on {}", settings.link))?;
    let http = TcpListener::bind(settings.http)
        .await
        .with_context(|| format!("listen on {}", settings.http))?;
    let (events, mut queue) = mpsc::channel(EVENT_QUEUE_LEN);
    spawn_local(observe::http::serve(http, events.clone()));
    accept_streams(link, events.clone());
    let stop_events = events.clone();
    spawn_local(async move {
        stop.await;
        let _ended = stop_events.send(Event::Stop).await;
    });
    tracing::info!(
        instance = %settings.instance, disk = opened.disk.0, new = opened.is_new, torn = opened.torn_bytes,
        "control started"
    );
    let mut state = Loop::new(settings, events, wal, opened, rng)?;
    while state.run_turn(&mut queue).await? {}
    tracing::info!("control stopped");
    Ok(())
}

fn accept_streams(listener: TcpListener, events: mpsc::Sender<Event>) {
    spawn_local(link::listen(listener, move |path, number, stream| {
        let events = events.clone();
        match path {
            link::PEER_PATH => {
                spawn_local(receive_from_peer(stream, events));
            }
            link::ENTRY_PATH => {
                let id = StreamId(number);
                let (sender, outgoing) = mpsc::channel(ENTRY_QUEUE_LEN);
                spawn_local(async move {
                    if events.send(Event::EntryOpened(id, sender)).await.is_ok() {
                        let wrap = move |event| Event::EntryStream(id, event);
                        stream.run(outgoing, events, wrap).await;
                    }
                });
            }
            _ => {}
        }
    }));
}

/// Receives messages from another control instance. Answers go over the stream that this instance
/// opens to the other one; the unused sender is kept because dropping it would close this stream.
async fn receive_from_peer(stream: link::Stream, events: mpsc::Sender<Event>) {
    let (idle_sender, outgoing) = mpsc::channel::<wire::Peer>(1);
    let wrap = |event| match event {
        link::Event::Message(message) => Event::PeerMessage(message),
        link::Event::Closed(_) => Event::IncomingPeerClosed,
    };
    stream.run(outgoing, events, wrap).await;
    drop(idle_sender);
}

impl Loop {
    fn new(
        settings: settings::Control,
        events: mpsc::Sender<Event>,
        wal: Wal<Native>,
        opened: disk::Opened,
        mut rng: SmallRng,
    ) -> Result<Self> {
        let now = now();
        let own_identity = Identity {
            instance: settings.instance.clone(),
            disk: opened.disk,
        };
        let catalog = match &*opened.saved.snapshot.data {
            [] => Catalog::new(settings.organisation.clone()),
            bytes => Catalog::decode(bytes).context("decode the catalog of the snapshot")?,
        };
        // Instances with different organisations would refuse different commands, and their
        // catalogs would diverge.
        ensure!(
            *catalog.organisation() == settings.organisation,
            "the data folder belongs to organisation {}, but the settings name {}",
            catalog.organisation(),
            settings.organisation
        );
        let applied_index = opened.saved.snapshot.position.index;
        let node = Node::new(
            now,
            own_identity,
            consensus::Settings::default(),
            SmallRng::from_rng(&mut rng),
            opened.saved,
        );
        let peers = Peers::new(settings.instance.clone(), events.clone());
        let mut state = Self {
            settings,
            events,
            node,
            disk: writes::Queue::new(wal),
            peers,
            introductions: Introductions::default(),
            streams: Streams::default(),
            catalog,
            leader: None,
            waiters: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
            next_read_id: 0,
            confirmations: Vec::new(),
            metrics: Set::new(),
            applied_index,
            snapshot_index: applied_index,
            next_hello: now,
            stop_deadline: None,
            step_due: false,
            running_follows: 0,
        };
        state.update_peers(now);
        Ok(state)
    }

    /// Waits for an event or a timer and handles all that are due. Returns false once the process
    /// should end.
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
        self.disk.start_batch(now, &self.events, Event::DiskBatch);
        Ok(!self.may_stop(now))
    }

    /// Whether a stop was requested, and all operators are answered or the stop deadline has
    /// passed.
    fn may_stop(&self, now: Instant) -> bool {
        let is_operator = |(_, waiter): &(Epoch, Waiter)| matches!(waiter, Waiter::Operator(_));
        let all_answered = !self.waiters.values().any(is_operator);
        self.stop_deadline
            .is_some_and(|stop_deadline| all_answered || stop_deadline <= now)
    }

    fn deadline(&self) -> Instant {
        if self.step_due && self.leader.is_some() {
            return now();
        }
        let deadlines = [
            self.node.deadline(),
            self.peers.deadline(),
            self.leader.as_ref().map(Leader::deadline),
            self.confirmation_deadline(),
            Some(self.next_hello),
            self.stop_deadline,
            self.disk.deadline(),
        ];
        deadlines
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(self.next_hello)
    }

    fn on_event(&mut self, now: Instant, event: Event) -> Result<()> {
        match event {
            Event::PeerOpened(name, sender) => {
                self.peers.on_opened(&name, sender, &self.hello());
                self.bootstrap(now)?;
            }
            Event::PeerClosed(name) => self.peers.on_closed(now, &name),
            Event::PeerMessage(message) => self.on_peer_message(now, message)?,
            Event::EntryOpened(id, sender) => self.streams.open(id, sender),
            Event::EntryStream(id, link::Event::Message(message)) => {
                self.on_entry_message(now, id, message)?
            }
            Event::EntryStream(id, link::Event::Closed(_)) => self.streams.close(id),
            Event::DiskBatch(result) => self.on_disk_batch(now, result)?,
            Event::Position {
                database,
                target,
                round,
                position,
            } => {
                if let Some(machine) = self
                    .leader
                    .as_mut()
                    .and_then(|leader| leader.machine(&database))
                {
                    machine.on_position(now, &target, round, position);
                }
                self.step_due = true;
            }
            Event::Promoted {
                database,
                target,
                term,
                start,
            } => {
                let mut actions = Vec::new();
                if let Some(machine) = self
                    .leader
                    .as_mut()
                    .and_then(|leader| leader.machine(&database))
                {
                    machine.on_promoted(now, &target, term, start, &self.catalog, &mut actions);
                }
                self.run_failover_actions(
                    now,
                    actions
                        .into_iter()
                        .map(|action| (database.clone(), action))
                        .collect(),
                )?;
                self.step_due = true;
            }
            Event::Following {
                database,
                target,
                primary,
            } => {
                self.running_follows -= 1;
                if let Some(machine) = self
                    .leader
                    .as_mut()
                    .and_then(|leader| leader.machine(&database))
                {
                    machine.on_following(&target, &primary, &self.catalog);
                }
            }
            Event::IncomingPeerClosed => {}
            Event::CommandFailed(reason) => {
                self.running_follows -= usize::from(reason == FOLLOW_REASON);
                self.metrics.common.retries.add(reason);
            }
            Event::Http(request) => self.on_request(now, request)?,
            Event::Stop => self.stop_deadline = Some(now + self.settings.stop_timeout),
        }
        Ok(())
    }

    fn on_tick(&mut self, now: Instant) -> Result<()> {
        self.peers.on_tick(now);
        if self.node.deadline().is_some_and(|deadline| deadline <= now) {
            let mut actions = Vec::new();
            self.node.on_tick(now, &mut actions);
            self.run_node_actions(now, actions)?;
        }
        if self.next_hello <= now {
            self.next_hello = now + HELLO_INTERVAL;
            if self.is_nonmember() {
                self.peers.send_hello(&self.hello());
                self.bootstrap(now)?;
            }
            self.propose_rejoin(now)?;
        }
        let mut actions = Vec::new();
        if let Some(leader) = &mut self.leader {
            let step_active = std::mem::take(&mut self.step_due);
            leader.on_tick(now, step_active, &self.catalog, &mut actions);
        }
        self.run_failover_actions(now, actions)?;
        self.check_confirmations(now);
        self.metrics
            .revision
            .set(i64::try_from(self.catalog.revision().0).unwrap_or(i64::MAX));
        self.metrics
            .entries
            .set(i64::try_from(self.streams.count()).unwrap_or(i64::MAX));
        Ok(())
    }
}

/// Monotonic time of the tokio runtime, which tests can pause.
fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

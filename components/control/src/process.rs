//! The loop: one task that owns all state and takes every event in turn.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use catalog::Catalog;
use cluster::writes;
use consensus::{Epoch, Identity, Node};
use disk::{Native, Wal};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use types::Name;

use crate::act::FOLLOW;
use crate::api;
use crate::entries::Streams;
use crate::event::{Event, StreamId};
use crate::lead::Lead;
use crate::members::Introductions;
use crate::metrics::Set;
use crate::peers::Peers;

/// Events that wait for the loop; senders wait beyond that.
const EVENTS: usize = 4096;
/// Events taken before timers are looked at again.
const BATCH: usize = 256;
/// Messages that wait for an entry's stream.
const ENTRY_OUT: usize = 8192;
/// Interval of introductions while the first member list is not complete.
const HELLO_INTERVAL: Duration = Duration::from_millis(200);

/// Who waits for a proposal.
#[derive(Debug)]
pub enum Waiter {
    /// An operator's request.
    Reply(api::Pending),
    /// A change of primary.
    Machine(Name),
    /// Nobody.
    None,
}

/// State of a control process.
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
    /// Set while this instance leads and its catalog holds all earlier commands.
    pub(crate) lead: Option<Lead>,
    /// Proposals by their index, with the epoch under which they were made.
    pub(crate) waiting: BTreeMap<u64, (Epoch, Waiter)>,
    pub(crate) reads: BTreeMap<u64, api::Read>,
    pub(crate) next_read: u64,
    /// Accepted changes that wait for entries, each for a bounded time.
    pub(crate) confirming: Vec<api::Confirming>,
    pub(crate) metrics: Set,
    pub(crate) applied: u64,
    pub(crate) compacted: u64,
    pub(crate) hello_at: Instant,
    /// Set by SIGTERM: when the process ends although operators' changes wait for their commit.
    pub(crate) stop_at: Option<Instant>,
    /// Something happened that changes of primary under way may wait for. They are stepped once at
    /// the end of the turn: one step a renewal cost the square of the number of entries.
    pub(crate) step_due: bool,
    /// Follow commands under way.
    pub(crate) follows: usize,
}

/// Runs a control process until SIGTERM or SIGINT.
///
/// # Errors
/// Fails if the data folder can't be opened, an address can't be bound, or a write to the disk
/// failed.
pub async fn run(settings: settings::Control) -> Result<()> {
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
    spawn_local(observe::http::serve(http, events.clone()));
    accept_streams(link, events.clone());
    let stopped = events.clone();
    spawn_local(async move {
        stop.await;
        let _ended = stopped.send(Event::Stop).await;
    });
    tracing::info!(
        instance = %settings.instance, disk = opened.disk.0, new = opened.is_new, torn = opened.torn_bytes,
        "control started"
    );
    let mut state = Loop::new(settings, events, wal, opened, rng)?;
    while state.turn(&mut queue).await? {}
    tracing::info!("control stopped");
    Ok(())
}

fn accept_streams(listener: TcpListener, events: mpsc::Sender<Event>) {
    spawn_local(link::listen(listener, move |path, number, stream| {
        let events = events.clone();
        match path {
            link::PEER_PATH => {
                spawn_local(receive(stream, events));
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

/// Receives from another control instance. Answers go over the stream that this side opens; the
/// sender is kept so that this one stays open.
async fn receive(stream: link::Stream, events: mpsc::Sender<Event>) {
    let (keep, outgoing) = mpsc::channel::<wire::Peer>(1);
    let wrap = |event| match event {
        link::Event::Message(message) => Event::Peer(message),
        link::Event::Closed(_) => Event::PeerEnded,
    };
    stream.run(outgoing, events, wrap).await;
    drop(keep);
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
        let me = Identity {
            instance: settings.instance.clone(),
            disk: opened.disk,
        };
        let catalog = match &*opened.saved.snapshot.data {
            [] => Catalog::new(settings.organisation.clone()),
            bytes => Catalog::decode(bytes).context("catalog of the snapshot")?,
        };
        // Instances that differ in it would refuse different commands and so hold unequal catalogs.
        ensure!(
            *catalog.organisation() == settings.organisation,
            "the data folder is of organisation {}, the settings name {}",
            catalog.organisation(),
            settings.organisation
        );
        let applied = opened.saved.snapshot.position.index;
        let node = Node::new(
            now,
            me,
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
            lead: None,
            waiting: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_read: 0,
            confirming: Vec::new(),
            metrics: Set::new(),
            applied,
            compacted: applied,
            hello_at: now,
            stop_at: None,
            step_due: false,
            follows: 0,
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
        Ok(!self.is_stopped(now))
    }

    /// Whether a stopping process has answered every operator, or has no time left.
    fn is_stopped(&self, now: Instant) -> bool {
        let waits = |(_, waiter): &(Epoch, Waiter)| matches!(waiter, Waiter::Reply(_));
        let done = !self.waiting.values().any(waits);
        self.stop_at.is_some_and(|stop_at| done || stop_at <= now)
    }

    fn deadline(&self) -> Instant {
        if self.step_due && self.lead.is_some() {
            return now();
        }
        let due = [
            self.node.deadline(),
            self.peers.deadline(),
            self.lead.as_ref().map(Lead::deadline),
            self.confirm_at(),
            Some(self.hello_at),
            self.stop_at,
        ];
        due.into_iter().flatten().min().unwrap_or(self.hello_at)
    }

    fn on_event(&mut self, now: Instant, event: Event) -> Result<()> {
        match event {
            Event::PeerOpen(name, out) => {
                self.peers.on_open(&name, out, &self.hello());
                self.found(now)?;
            }
            Event::PeerClosed(name) => self.peers.on_closed(now, &name),
            Event::Peer(message) => self.on_peer(now, message)?,
            Event::EntryOpen(id, out) => self.streams.open(id, out),
            Event::Entry(id, link::Event::Message(message)) => self.on_entry(now, id, message)?,
            Event::Entry(id, link::Event::Closed(_)) => self.streams.close(id),
            Event::Disk(done) => self.on_disk(now, done)?,
            Event::Position {
                database,
                target,
                round,
                position,
            } => {
                if let Some(machine) = self.lead.as_mut().and_then(|lead| lead.machine(&database)) {
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
                if let Some(machine) = self.lead.as_mut().and_then(|lead| lead.machine(&database)) {
                    machine.on_promoted(now, &target, term, start, &self.catalog, &mut actions);
                }
                self.act(
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
                self.follows -= 1;
                if let Some(machine) = self.lead.as_mut().and_then(|lead| lead.machine(&database)) {
                    machine.on_following(&target, &primary, &self.catalog);
                }
            }
            Event::PeerEnded => {}
            Event::CommandFailed(reason) => {
                self.follows -= usize::from(reason == FOLLOW);
                self.metrics.common.retries.add(reason);
            }
            Event::Http(request) => self.on_request(now, request)?,
            Event::Stop => self.stop_at = Some(now + self.settings.stop_timeout),
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
        if self.hello_at <= now {
            self.hello_at = now + HELLO_INTERVAL;
            if self.is_outside() {
                self.peers.send_hello(&self.hello());
                self.found(now)?;
            }
            self.join_returning(now)?;
        }
        let mut due = Vec::new();
        if let Some(lead) = &mut self.lead {
            let at_once = std::mem::take(&mut self.step_due);
            lead.on_tick(now, at_once, &self.catalog, &mut due);
        }
        self.act(now, due)?;
        self.confirm(now);
        self.metrics
            .revision
            .set(i64::try_from(self.catalog.revision().0).unwrap_or(i64::MAX));
        self.metrics
            .entries
            .set(i64::try_from(self.streams.count()).unwrap_or(i64::MAX));
        Ok(())
    }
}

/// The monotonic clock, which is paused in tests.
fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

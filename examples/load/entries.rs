//! Runs fake entries against control processes and prints what these cost.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use admin::client::Client;
use anyhow::{Context, Result, ensure};
use clap::ArgMatches;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use wire::{Command, Down};

use crate::changes::{Arrivals, Sent, client, ms, set, spread};
use crate::fake::{Fake, MEMBERS, Plan, size};
use crate::process::{Probe, kib};
use crate::{number, texts};

/// Longest time for the catalog to fill and for all entries to have a lease.
const PATIENCE: Duration = Duration::from_secs(240);
/// Announcements of one renewal while the catalog is filled.
const CHUNK: usize = 400;
/// Dials under way at a time.
const DIALS: usize = 32;
/// Messages that wait for a stream.
const OUT: usize = 256;
/// Nodes of the settings tree that changes go to in turn.
const NODES: usize = 7;

#[derive(Debug)]
enum Event {
    Open(usize, Option<mpsc::Sender<wire::Up>>),
    Message(usize, link::Event<Down>),
    Changed(Result<Sent>),
}

struct Load {
    plan: Plan,
    fakes: Vec<Fake>,
    leader: SocketAddr,
    client: Client,
    events: mpsc::Sender<Event>,
    queue: mpsc::Receiver<Event>,
    pids: Vec<String>,
    /// Announcements and first primaries that the first entry learnt of.
    announced: usize,
    opened: usize,
    /// When the first entry learnt of each new primary after the failures.
    promoted: Vec<Instant>,
    /// Entries renew at once when the catalog changes, as real ones do; not while they join.
    hasty: bool,
    arrivals: Arrivals,
    sent: Vec<Sent>,
    changes: usize,
    snapshot: usize,
}

/// Runs the subcommand.
pub async fn run(matches: &ArgMatches) -> Result<()> {
    let number = |name| number(matches, name);
    let mut load = Load::new(matches)?;
    let (floor, secs) = (number("floor"), number("secs"));
    let root = "organisation";
    set(
        &load.client,
        root,
        "connections.floor",
        u32::try_from(floor)?,
        (0, 0),
    )
    .await?;
    load.fill().await?;
    load.join_all(number("entries")).await?;
    load.hasty = true;
    load.pause(3).await?;
    for _ in 0..number("quiet") {
        load.window(secs, 0).await?;
    }
    for _ in 0..number("windows") {
        load.window(secs, number("changes")).await?;
    }
    load.pause(2).await?;
    if !load.sent.is_empty() {
        load.arrivals.print(&load.sent, load.fakes.len());
    }
    load.joins(number("joins")).await?;
    load.fail(number("fail")).await?;
    load.pause(number("stay")).await
}

impl Load {
    fn new(matches: &ArgMatches) -> Result<Self> {
        let (events, queue) = mpsc::channel(4096);
        let leader = *texts(matches, "control").first().context("--control")?;
        let pids = texts(matches, "pids");
        let plan = Plan {
            entries: number(matches, "entries"),
            targets: number(matches, "targets"),
            port: u16::try_from(number(matches, "port"))?,
            report: number(matches, "report"),
            announce: number(matches, "announce"),
            demand: number(matches, "demand"),
            fill: None,
            failed: None,
        };
        Ok(Self {
            plan,
            fakes: Vec::new(),
            leader: leader.parse()?,
            client: client(&texts(matches, "http"))?,
            events,
            queue,
            pids: pids.into_iter().map(str::to_owned).collect(),
            announced: 0,
            opened: 0,
            promoted: Vec::new(),
            hasty: false,
            arrivals: Arrivals::default(),
            sent: Vec::new(),
            changes: 0,
            snapshot: 0,
        })
    }

    fn dial(&mut self, index: usize) {
        self.fakes[index].dialed_at = Instant::now();
        let (events, leader) = (self.events.clone(), self.leader);
        spawn_local(async move {
            let Ok(stream) = link::dial(leader, link::ENTRY_PATH).await else {
                let _ended = events.send(Event::Open(index, None)).await;
                return;
            };
            let (out, outgoing) = mpsc::channel(OUT);
            if events.send(Event::Open(index, Some(out))).await.is_ok() {
                let wrap = move |event| Event::Message(index, event);
                stream.run(outgoing, events, wrap).await;
            }
        });
    }

    fn on_event(&mut self, now: Instant, event: Event) -> Result<()> {
        match event {
            Event::Open(index, Some(out)) => {
                self.fakes[index].send_hello(out);
                self.fakes[index].renew_at = now;
            }
            Event::Open(index, None) => self.dial(index),
            Event::Message(index, link::Event::Message(message)) => {
                self.on_message(now, index, message);
            }
            Event::Message(index, link::Event::Closed(error)) => {
                println!("stream of entry {index} ended: {error:#}");
                self.fakes[index].out = None;
                self.dial(index);
            }
            Event::Changed(sent) => self.sent.push(sent?),
        }
        Ok(())
    }

    fn on_message(&mut self, now: Instant, index: usize, message: Down) {
        let fake = &mut self.fakes[index];
        if index == 0 {
            fake.received += size(&message);
        }
        match message {
            Down::Update { revision, command } => {
                fake.revision = revision;
                if self.hasty {
                    fake.renew_at = now;
                }
                if matches!(command, Command::Set { .. }) {
                    self.arrivals.note(revision, now);
                }
                if index == 0 {
                    self.on_command(now, &command);
                }
            }
            Down::Snapshot { revision, catalog } => {
                fake.revision = revision;
                fake.caught_up = Some(now - fake.dialed_at);
                self.snapshot = catalog.len();
            }
            Down::Grant { seq, .. } => fake.on_grant(seq),
            Down::Redirect { leader } => {
                fake.out = None;
                if let Some(leader) = leader.and_then(|leader| leader.parse().ok()) {
                    self.leader = leader;
                }
            }
        }
    }

    fn on_command(&mut self, now: Instant, command: &Command) {
        match command {
            Command::Announce(_) => self.announced += 1,
            Command::Open { term: 1, .. } => self.opened += 1,
            Command::Open { .. } => self.promoted.push(now),
            _ => {}
        }
    }

    /// Handles what has arrived, and sends the renewals that are due.
    async fn turn(&mut self) -> Result<()> {
        let wait = tokio::time::timeout(Duration::from_millis(5), self.queue.recv());
        let mut next = wait.await.ok().flatten();
        let now = Instant::now();
        for _ in 0..1024 {
            let Some(event) = next else { break };
            self.on_event(now, event)?;
            next = self.queue.try_recv().ok();
        }
        if let Some(event) = next {
            self.on_event(now, event)?;
        }
        for fake in &mut self.fakes {
            if fake.renew_at <= now && fake.out.is_some() {
                fake.renew(now, &self.plan);
            }
        }
        Ok(())
    }

    async fn pause(&mut self, secs: usize) -> Result<()> {
        let end = Instant::now() + Duration::from_secs(secs as u64);
        while Instant::now() < end {
            self.turn().await?;
        }
        Ok(())
    }

    /// Announces the targets, with the first entry alone, until each database has a primary.
    async fn fill(&mut self) -> Result<()> {
        let began = Instant::now();
        self.fakes.push(Fake::new(0, began));
        self.dial(0);
        let count = self.plan.targets;
        while self.announced < count || self.opened < count / MEMBERS {
            ensure!(
                began.elapsed() < PATIENCE,
                "{} of {count} targets, {} primaries",
                self.announced,
                self.opened
            );
            self.plan.fill = Some(self.announced..count.min(self.announced + CHUNK));
            self.turn().await?;
        }
        self.plan.fill = None;
        let revision = self.fakes[0].revision;
        println!(
            "catalog: {count} targets, revision {revision}, {:.1} s",
            began.elapsed().as_secs_f64()
        );
        Ok(())
    }

    /// Connects the other entries, which hold the catalog already.
    async fn join_all(&mut self, entries: usize) -> Result<()> {
        let began = Instant::now();
        let leased = |load: &Self| load.fakes.iter().filter(|fake| fake.grants > 0).count();
        loop {
            let ready = leased(self);
            while self.fakes.len() < entries.min(ready + DIALS) {
                let index = self.fakes.len();
                let mut fake = Fake::new(index, Instant::now());
                fake.revision = self.fakes[0].revision;
                self.fakes.push(fake);
                self.dial(index);
            }
            if ready == entries.max(1) {
                break;
            }
            ensure!(
                began.elapsed() < PATIENCE,
                "{ready} of {entries} have a lease"
            );
            self.turn().await?;
        }
        println!(
            "entries: {entries} have a lease after {:.1} s",
            began.elapsed().as_secs_f64()
        );
        Ok(())
    }

    fn grants(&self) -> u64 {
        self.fakes.iter().map(|fake| fake.grants).sum()
    }

    async fn window(&mut self, secs: usize, changes: usize) -> Result<()> {
        let pids: Vec<&str> = self.pids.iter().map(String::as_str).collect();
        let probe = Probe::start(&pids)?;
        let own = Probe::start(&["self"])?;
        let (grants, sent, received) = (self.grants(), self.fakes[0].sent, self.fakes[0].received);
        let mut changed = 0;
        while probe.elapsed() < secs as f64 {
            if (changed as f64) < probe.elapsed() * changes as f64 {
                changed += 1;
                self.change();
            }
            self.turn().await?;
        }
        let rate = |count: usize| count as f64 / probe.elapsed();
        println!(
            "window: control {} | own {} | grants {:.0}/s | entry sends {:.0} B/s, gets {:.0} B/s",
            probe.end()?,
            own.end()?,
            rate(usize::try_from(self.grants() - grants)?),
            rate(self.fakes[0].sent - sent),
            rate(self.fakes[0].received - received),
        );
        Ok(())
    }

    fn change(&mut self) {
        self.changes += 1;
        let (count, base) = (self.changes, self.fakes[0].revision);
        let path = format!("organisation/region-0/domain-{}", count % NODES);
        let value = u32::try_from(count % 1000 + 1).unwrap_or(1);
        let (client, events) = (self.client.clone(), self.events.clone());
        spawn_local(async move {
            let sent = set(&client, &path, "read.wait_ms", value, (base, count)).await;
            let _ended = events.send(Event::Changed(sent)).await;
        });
    }

    /// Connects further entries without a catalog, one after the other.
    async fn joins(&mut self, joins: usize) -> Result<()> {
        let mut times = Vec::new();
        for _ in 0..joins {
            let index = self.fakes.len();
            self.fakes.push(Fake::new(index, Instant::now()));
            self.dial(index);
            let began = Instant::now();
            while self.fakes[index].caught_up.is_none() {
                ensure!(began.elapsed() < PATIENCE, "no catalog");
                self.turn().await?;
            }
            times.extend(self.fakes[index].caught_up.map(ms));
            self.pause(1).await?;
        }
        if joins > 0 {
            println!(
                "joins: catalog of {} bytes, {}",
                self.snapshot,
                spread(&mut times)
            );
        }
        Ok(())
    }

    /// Lets primaries fall silent and waits until all databases have new ones.
    async fn fail(&mut self, count: usize) -> Result<()> {
        if count == 0 {
            return Ok(());
        }
        let began = Instant::now();
        self.plan.failed = Some((count, began));
        // Real entries report silence just past the limit of 300 ms.
        for fake in &mut self.fakes {
            fake.renew_at = began + Duration::from_millis(302);
        }
        while self.promoted.len() < count {
            ensure!(
                began.elapsed() < PATIENCE,
                "{} of {count} promoted",
                self.promoted.len()
            );
            self.turn().await?;
        }
        let mut times: Vec<f64> = self.promoted.iter().map(|at| ms(*at - began)).collect();
        println!(
            "failures: {count} databases, new primary after {}",
            spread(&mut times)
        );
        let memory = kib(&self.pids[0])? / 1024.0;
        println!("  leader's memory {memory:.1} MiB");
        Ok(())
    }
}

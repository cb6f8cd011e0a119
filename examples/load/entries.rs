//! Runs fake entries against control processes, and prints the processor time, memory and delays of
//! the control processes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use admin::client::Client;
use anyhow::{Context, Result, ensure};
use clap::ArgMatches;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use wire::{Command, Down};

use crate::changes::{Arrivals, Change, client, format_spread, ms, set_value};
use crate::fake::{Entry, Plan, TARGETS_PER_DATABASE, encoded_len};
use crate::process::{Probe, resident_kib};
use crate::{number, values};

/// Longest time of each step: filling the catalog, connecting entries, joins and failovers.
const STEP_TIMEOUT: Duration = Duration::from_secs(240);
/// While the catalog is filled.
const ANNOUNCEMENTS_PER_RENEWAL: usize = 400;
const MAX_CONCURRENT_DIALS: usize = 32;
const STREAM_QUEUE_LEN: usize = 256;
/// Nodes of the settings tree that are changed in turn.
const SETTING_NODE_COUNT: usize = 7;

#[derive(Debug)]
enum Event {
    Dialed(usize, Option<mpsc::Sender<wire::Up>>),
    Message(usize, link::Event<Down>),
    Changed(Result<Change>),
}

struct Load {
    plan: Plan,
    entries: Vec<Entry>,
    leader: SocketAddr,
    client: Client,
    events: mpsc::Sender<Event>,
    incoming: mpsc::Receiver<Event>,
    pids: Vec<String>,
    /// Announced targets that the first entry received.
    announced: usize,
    /// First primaries of databases that the first entry received.
    first_primaries: usize,
    /// When the first entry received each new primary after the failures.
    promoted_at: Vec<Instant>,
    /// Entries renew immediately when the catalog changes, as real ones do. Off while they connect.
    renew_on_change: bool,
    arrivals: Arrivals,
    changes: Vec<Change>,
    change_count: usize,
    catalog_bytes: usize,
}

pub async fn run(matches: &ArgMatches) -> Result<()> {
    let number = |name| number(matches, name);
    let mut load = Load::new(matches)?;
    let (floor, secs) = (number("floor"), number("secs"));
    let root = "organisation";
    set_value(
        &load.client,
        root,
        "connections.floor",
        u32::try_from(floor)?,
        (0, 0),
    )
    .await?;
    load.fill_catalog().await?;
    load.connect_all(number("entries")).await?;
    load.renew_on_change = true;
    load.run_for(3).await?;
    for _ in 0..number("quiet") {
        load.measure_window(secs, 0).await?;
    }
    for _ in 0..number("windows") {
        load.measure_window(secs, number("changes")).await?;
    }
    load.run_for(2).await?;
    if !load.changes.is_empty() {
        load.arrivals.print(&load.changes, load.entries.len());
    }
    load.measure_joins(number("joins")).await?;
    load.measure_failover(number("fail")).await?;
    load.run_for(number("stay")).await
}

impl Load {
    fn new(matches: &ArgMatches) -> Result<Self> {
        let (events, incoming) = mpsc::channel(4096);
        let leader = *values(matches, "control")
            .first()
            .context("--control is empty")?;
        let pids = values(matches, "pids");
        let plan = Plan {
            entry_count: number(matches, "entries"),
            target_count: number(matches, "targets"),
            first_port: u16::try_from(number(matches, "port"))?,
            reported_targets: number(matches, "report"),
            announcers: number(matches, "announce"),
            demanded_targets: number(matches, "demand"),
            fill: None,
            failed: None,
        };
        Ok(Self {
            plan,
            entries: Vec::new(),
            leader: leader.parse()?,
            client: client(&values(matches, "http"))?,
            events,
            incoming,
            pids: pids.into_iter().map(str::to_owned).collect(),
            announced: 0,
            first_primaries: 0,
            promoted_at: Vec::new(),
            renew_on_change: false,
            arrivals: Arrivals::default(),
            changes: Vec::new(),
            change_count: 0,
            catalog_bytes: 0,
        })
    }

    fn dial(&mut self, index: usize) {
        self.entries[index].dialed_at = Instant::now();
        let (events, leader) = (self.events.clone(), self.leader);
        spawn_local(async move {
            let Ok(stream) = link::dial(leader, link::ENTRY_PATH).await else {
                let _ended = events.send(Event::Dialed(index, None)).await;
                return;
            };
            let (sender, outgoing) = mpsc::channel(STREAM_QUEUE_LEN);
            if events
                .send(Event::Dialed(index, Some(sender)))
                .await
                .is_ok()
            {
                let to_event = move |event| Event::Message(index, event);
                stream.run(outgoing, events, to_event).await;
            }
        });
    }

    fn on_event(&mut self, now: Instant, event: Event) -> Result<()> {
        match event {
            Event::Dialed(index, Some(sender)) => {
                self.entries[index].send_hello(sender);
                self.entries[index].renew_at = now;
            }
            Event::Dialed(index, None) => self.dial(index),
            Event::Message(index, link::Event::Message(message)) => {
                self.on_message(now, index, message);
            }
            Event::Message(index, link::Event::Closed(error)) => {
                println!("stream of entry {index} ended: {error:#}");
                self.entries[index].sender = None;
                self.dial(index);
            }
            Event::Changed(change) => self.changes.push(change?),
        }
        Ok(())
    }

    fn on_message(&mut self, now: Instant, index: usize, message: Down) {
        let entry = &mut self.entries[index];
        if index == 0 {
            entry.received += encoded_len(&message);
        }
        match message {
            Down::Update { revision, command } => {
                entry.revision = revision;
                if self.renew_on_change {
                    entry.renew_at = now;
                }
                if matches!(command, Command::Set { .. }) {
                    self.arrivals.record(revision, now);
                }
                if index == 0 {
                    self.on_command(now, &command);
                }
            }
            Down::Snapshot { revision, catalog } => {
                entry.revision = revision;
                entry.catalog_after = Some(now - entry.dialed_at);
                self.catalog_bytes = catalog.len();
            }
            Down::Grant { seq, .. } => entry.on_grant(seq),
            Down::Redirect { leader } => {
                entry.sender = None;
                if let Some(leader) = leader.and_then(|leader| leader.parse().ok()) {
                    self.leader = leader;
                }
            }
        }
    }

    fn on_command(&mut self, now: Instant, command: &Command) {
        match command {
            Command::Announce(_) => self.announced += 1,
            Command::Open { term: 1, .. } => self.first_primaries += 1,
            Command::Open { .. } => self.promoted_at.push(now),
            _ => {}
        }
    }

    /// Handles the events that have arrived, and sends the renewals that are due.
    async fn process_events(&mut self) -> Result<()> {
        let received = tokio::time::timeout(Duration::from_millis(5), self.incoming.recv());
        let mut next_event = received.await.ok().flatten();
        let now = Instant::now();
        for _ in 0..1024 {
            let Some(event) = next_event else { break };
            self.on_event(now, event)?;
            next_event = self.incoming.try_recv().ok();
        }
        if let Some(event) = next_event {
            self.on_event(now, event)?;
        }
        for entry in &mut self.entries {
            if entry.renew_at <= now && entry.sender.is_some() {
                entry.renew(now, &self.plan);
            }
        }
        Ok(())
    }

    async fn run_for(&mut self, secs: usize) -> Result<()> {
        let end = Instant::now() + Duration::from_secs(secs as u64);
        while Instant::now() < end {
            self.process_events().await?;
        }
        Ok(())
    }

    /// Announces the targets from the first entry until each database has a primary.
    async fn fill_catalog(&mut self) -> Result<()> {
        let started = Instant::now();
        self.entries.push(Entry::new(0, started));
        self.dial(0);
        let count = self.plan.target_count;
        while self.announced < count || self.first_primaries < count / TARGETS_PER_DATABASE {
            ensure!(
                started.elapsed() < STEP_TIMEOUT,
                "the catalog has {} of {count} targets and {} primaries",
                self.announced,
                self.first_primaries
            );
            self.plan.fill =
                Some(self.announced..count.min(self.announced + ANNOUNCEMENTS_PER_RENEWAL));
            self.process_events().await?;
        }
        self.plan.fill = None;
        let revision = self.entries[0].revision;
        println!(
            "catalog: {count} targets, revision {revision}, {:.1} s",
            started.elapsed().as_secs_f64()
        );
        Ok(())
    }

    /// Connects the other entries, which start with the current revision of the catalog.
    async fn connect_all(&mut self, count: usize) -> Result<()> {
        let started = Instant::now();
        let leased_count =
            |load: &Self| load.entries.iter().filter(|entry| entry.grants > 0).count();
        loop {
            let ready = leased_count(self);
            while self.entries.len() < count.min(ready + MAX_CONCURRENT_DIALS) {
                let index = self.entries.len();
                let mut entry = Entry::new(index, Instant::now());
                entry.revision = self.entries[0].revision;
                self.entries.push(entry);
                self.dial(index);
            }
            if ready == count.max(1) {
                break;
            }
            ensure!(
                started.elapsed() < STEP_TIMEOUT,
                "{ready} of {count} have a lease"
            );
            self.process_events().await?;
        }
        println!(
            "entries: {count} have a lease after {:.1} s",
            started.elapsed().as_secs_f64()
        );
        Ok(())
    }

    fn total_grants(&self) -> u64 {
        self.entries.iter().map(|entry| entry.grants).sum()
    }

    async fn measure_window(&mut self, secs: usize, changes: usize) -> Result<()> {
        let pids: Vec<&str> = self.pids.iter().map(String::as_str).collect();
        let probe = Probe::start(&pids)?;
        let own = Probe::start(&["self"])?;
        let (grants_before, sent_before, received_before) = (
            self.total_grants(),
            self.entries[0].sent,
            self.entries[0].received,
        );
        let mut sent_changes = 0;
        while probe.elapsed() < secs as f64 {
            if (sent_changes as f64) < probe.elapsed() * changes as f64 {
                sent_changes += 1;
                self.send_change();
            }
            self.process_events().await?;
        }
        let rate = |count: usize| count as f64 / probe.elapsed();
        println!(
            "window: control {} | own {} | grants {:.0}/s | entry sends {:.0} B/s, gets {:.0} B/s",
            probe.summary()?,
            own.summary()?,
            rate(usize::try_from(self.total_grants() - grants_before)?),
            rate(self.entries[0].sent - sent_before),
            rate(self.entries[0].received - received_before),
        );
        Ok(())
    }

    fn send_change(&mut self) {
        self.change_count += 1;
        let (number, base) = (self.change_count, self.entries[0].revision);
        let path = format!(
            "organisation/region-0/domain-{}",
            number % SETTING_NODE_COUNT
        );
        let value = u32::try_from(number % 1000 + 1).unwrap_or(1);
        let (client, events) = (self.client.clone(), self.events.clone());
        spawn_local(async move {
            let change = set_value(&client, &path, "read.wait_ms", value, (base, number)).await;
            let _ended = events.send(Event::Changed(change)).await;
        });
    }

    /// Measures the time until each of further entries, connected one by one without a catalog, has
    /// received it.
    async fn measure_joins(&mut self, count: usize) -> Result<()> {
        let mut times = Vec::new();
        for _ in 0..count {
            let index = self.entries.len();
            self.entries.push(Entry::new(index, Instant::now()));
            self.dial(index);
            let started = Instant::now();
            while self.entries[index].catalog_after.is_none() {
                ensure!(
                    started.elapsed() < STEP_TIMEOUT,
                    "the catalog has not arrived"
                );
                self.process_events().await?;
            }
            times.extend(self.entries[index].catalog_after.map(ms));
            self.run_for(1).await?;
        }
        if count > 0 {
            println!(
                "joins: catalog of {} bytes, {}",
                self.catalog_bytes,
                format_spread(&mut times)
            );
        }
        Ok(())
    }

    /// Reports the primaries of `count` databases as silent, and measures the time until all of them have
    /// new primaries.
    async fn measure_failover(&mut self, count: usize) -> Result<()> {
        if count == 0 {
            return Ok(());
        }
        let started = Instant::now();
        self.plan.failed = Some((count, started));
        // Real entries report silence when it exceeds the limit of 300 ms.
        for entry in &mut self.entries {
            entry.renew_at = started + Duration::from_millis(302);
        }
        while self.promoted_at.len() < count {
            ensure!(
                started.elapsed() < STEP_TIMEOUT,
                "{} of {count} databases have a new primary",
                self.promoted_at.len()
            );
            self.process_events().await?;
        }
        let mut times: Vec<f64> = self
            .promoted_at
            .iter()
            .map(|promoted_at| ms(*promoted_at - started))
            .collect();
        println!(
            "failures: {count} databases, new primary after {}",
            format_spread(&mut times)
        );
        let memory = resident_kib(&self.pids[0])? / 1024.0;
        println!("  leader's memory {memory:.1} MiB");
        Ok(())
    }
}

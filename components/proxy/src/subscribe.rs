//! The stream to a coordinator: the registry, and complaints about primaries.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use registry::{Order, Registry, Sample};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use types::Name;
use wire::{Complaint, Publish, Question, Subscribe};

use crate::event::Event;
use crate::process::Loop;
use crate::protocol::Protocol;
use crate::server::Service;
use crate::timer::Timer;
use clock::{Clock, Moment};

/// Pause before the next coordinator is dialled.
const RETRY: Duration = Duration::from_millis(100);
/// Time without a sign that the coordinator is in contact with a leader, after which another one is
/// dialled. Several pulses are sent in this time.
const SILENCE: Duration = Duration::from_millis(900);
/// Age from which a sample of a primary is worth a question.
const OLD: Duration = Duration::from_millis(250);
/// Time after the last statement for a service in which positions of its primary are asked for.
const USED: Duration = Duration::from_secs(5);
/// Entries that are assumed before a coordinator has told their number.
const ASSUMED: u32 = 64;
/// Complaints that wait for the stream.
const OUT: usize = 16;

#[derive(Debug)]
enum State {
    Down(Instant),
    Dialing,
    Up {
        out: mpsc::Sender<Subscribe>,
        silent_at: Instant,
    },
}

/// The stream, and where else to dial.
#[derive(Debug)]
pub struct Subscription {
    instance: Name,
    domain: Name,
    seeds: Vec<SocketAddr>,
    /// Coordinators that the last one named.
    known: Vec<SocketAddr>,
    /// Number of the next address. Starts differently on each entry, so that coordinators share the
    /// streams.
    next: usize,
    /// Number of the present dial; events of earlier ones are dropped.
    dial: u64,
    state: State,
    /// Number of the latest question for positions of primaries, and when it was sent.
    asked: (u64, Moment),
    /// What was complained of last.
    complaints: Vec<(String, String)>,
    /// Entries of the whole system.
    entries: u32,
    /// Until when the last sign of a coordinator in contact with a leader counts.
    current_until: Option<Instant>,
}

impl Subscription {
    /// Not connected.
    #[must_use]
    pub fn new(settings: &settings::Proxy, now: Instant) -> Self {
        let bytes = settings.instance.as_str().bytes();
        let spread = bytes.fold(0usize, |sum, byte| sum.wrapping_mul(31) + usize::from(byte));
        Self {
            instance: settings.instance.clone(),
            domain: settings.domain.clone(),
            seeds: settings.seeds.clone(),
            known: Vec::new(),
            next: spread,
            dial: 0,
            state: State::Down(now),
            asked: Default::default(),
            complaints: Vec::new(),
            entries: ASSUMED,
            current_until: None,
        }
    }

    /// Entries of the whole system, which share the servers' connections.
    pub fn entries(&self) -> u32 {
        self.entries.max(1)
    }

    /// Tells the coordinator that this entry stops.
    pub fn leave(&mut self) {
        if let State::Up { out, .. } = &self.state {
            // Without room the end of the stream tells it later.
            let _full = out.try_send(Subscribe::Leave);
        }
    }

    /// Whether a coordinator that is in contact with a leader was heard of lately.
    pub fn is_current(&self, now: Instant) -> bool {
        self.current_until.is_some_and(|until| now < until)
    }

    /// Takes other seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    fn address(&mut self) -> Option<SocketAddr> {
        let mut all: Vec<SocketAddr> = self.seeds.iter().chain(&self.known).copied().collect();
        all.sort_unstable();
        all.dedup();
        self.next = self.next.wrapping_add(1);
        let index = self.next.checked_rem(all.len())?;
        all.get(index).copied()
    }
}

impl<P: Protocol, C: Clock> Loop<P, C> {
    /// Dials, or gives a silent stream up.
    pub(crate) fn keep_subscription(&mut self, now: Instant) {
        match &self.subscription.state {
            State::Down(at) if *at <= now => {}
            State::Up { silent_at, .. } if *silent_at <= now => {
                tracing::warn!("coordinator is silent or has lost its leader");
                self.metrics.common.retries.add("coordinator");
            }
            _ => {
                self.complain(now);
                return self.ask(now);
            }
        }
        let Some(address) = self.subscription.address() else {
            return;
        };
        self.subscription.dial += 1;
        self.subscription.state = State::Dialing;
        let (dial, events) = (self.subscription.dial, self.events.clone());
        spawn_local(async move {
            let Ok(stream) = link::dial(address, link::ENTRY_PATH).await else {
                let _ended = events.send(Event::Dialed(dial, None)).await;
                return;
            };
            let (out, outgoing) = mpsc::channel(OUT);
            if events.send(Event::Dialed(dial, Some(out))).await.is_ok() {
                let wrap = move |event| Event::Coordinator(dial, event);
                stream.run(outgoing, events, wrap).await;
            }
        });
    }

    pub(crate) fn on_dialed(
        &mut self,
        now: Instant,
        dial: u64,
        out: Option<mpsc::Sender<Subscribe>>,
    ) {
        if dial != self.subscription.dial {
            return;
        }
        let Some(out) = out else {
            return self.dial_after(now, RETRY);
        };
        let open = Subscribe::Open {
            version: wire::VERSION,
            instance: self.subscription.instance.to_string(),
            domain: self.subscription.domain.to_string(),
            address: self.settings.link.to_string(),
        };
        // The channel is new and has room.
        let _sent = out.try_send(open);
        self.subscription.complaints.clear();
        self.subscription.state = State::Up {
            out,
            silent_at: now + SILENCE,
        };
    }

    pub(crate) fn on_coordinator(&mut self, now: Instant, dial: u64, event: link::Event<Publish>) {
        if dial != self.subscription.dial {
            return;
        }
        let message = match event {
            link::Event::Message(message) => message,
            link::Event::Closed(error) => {
                tracing::warn!(error = %format!("{error:#}"), "coordinator lost");
                return self.dial_after(now, RETRY);
            }
        };
        match message {
            Publish::Snapshot(raw) => match Registry::try_from(raw) {
                // A coordinator that is behind sends what this entry has seen already.
                Ok(registry) if registry.revision() < self.registry.revision() => {}
                Ok(registry) => {
                    tracing::info!(revision = registry.revision(), "registry received");
                    self.registry = registry;
                    self.changed = true;
                }
                Err(error) => self.on_unreadable(now, &error),
            },
            Publish::Update { revision, order } => match Order::try_from(order) {
                Ok(_) if revision <= self.registry.revision() => {}
                Ok(order) => {
                    let _outcome = self.registry.apply(revision, &order);
                    self.changed = true;
                }
                Err(error) => self.on_unreadable(now, &error),
            },
            Publish::Pulse {
                current,
                entries,
                coordinators,
            } => {
                if let State::Up { silent_at, .. } = &mut self.subscription.state
                    && current
                {
                    *silent_at = now + SILENCE;
                    self.subscription.current_until = Some(now + SILENCE);
                }
                if current && entries != 0 && entries != self.subscription.entries {
                    self.subscription.entries = entries;
                    self.changed = true;
                }
                let known = coordinators.iter().filter_map(|it| it.parse().ok());
                self.subscription.known = known.collect();
            }
            Publish::Plan(change) => match self.plan.apply(change) {
                // A coordinator that is behind sends what this entry has seen already.
                Ok(false) => {}
                Ok(true) => {
                    tracing::info!(
                        version = self.plan.version,
                        routes = self.plan.routes.len(),
                        services = self.plan.services.len(),
                        "plan in force"
                    );
                    self.changed = true;
                }
                Err(error) => self.on_unreadable(now, &error),
            },
            Publish::Entries(entries) => self.on_neighbours(&entries),
            Publish::Samples(answer) => self.on_samples(&answer),
        }
    }

    /// Asks for positions of the primaries whose own samples are old. Few statements of an entry run
    /// on each primary, and reads that accept an age should not go there for a sample alone.
    fn ask(&mut self, now: Instant) {
        let State::Up { out, .. } = &self.subscription.state else {
            return;
        };
        let moment = self.clock.moment();
        let wanted = self.services.iter().filter(|it| {
            let used = it.used_at.is_some_and(|at| now < at + USED);
            used && it.track.age(moment).is_none_or(|age| age > OLD)
        });
        let services: Vec<String> = wanted.map(|it| it.name.clone()).collect();
        if services.is_empty() {
            return;
        }
        let number = self.subscription.asked.0 + 1;
        let question = Question { number, services };
        if out.try_send(Subscribe::Ask(question)).is_ok() {
            self.subscription.asked = (number, moment);
        }
    }

    fn on_samples(&mut self, answer: &wire::Samples) {
        let (number, asked) = self.subscription.asked;
        if answer.number != number {
            return;
        }
        for told in &answer.samples {
            if let Some(index) = self.names.get(&told.service) {
                let sample = Sample::from_wire(told, asked);
                self.services[*index].track.observe(sample);
                self.services[*index].heard_at = Some(sample.at);
                self.due.push(*index);
            }
        }
    }

    fn on_unreadable(&mut self, now: Instant, error: &anyhow::Error) {
        tracing::error!(error = %format!("{error:#}"), "message of a coordinator refused");
        self.metrics.common.refusals.add("coordinator");
        self.dial_after(now, RETRY);
    }

    fn dial_after(&mut self, now: Instant, pause: Duration) {
        self.subscription.state = State::Down(now + pause);
        self.timers.add(now + pause, Timer::Subscription);
    }

    /// Tells the coordinators which primaries can't be used, when that has changed.
    fn complain(&mut self, now: Instant) {
        let State::Up { out, .. } = &self.subscription.state else {
            return;
        };
        let unusable = |it: &&Service| it.missed_since.is_some() || it.is_primary_slow(now);
        let missed = self.services.iter().filter(unusable);
        let complaints: Vec<(String, String)> = missed
            .filter_map(|service| {
                let primary = &self.servers[service.primary?];
                Some((service.name.clone(), primary.id.clone()))
            })
            .collect();
        if complaints == self.subscription.complaints {
            return;
        }
        let message = complaints.iter().map(|(service, id)| Complaint {
            service: service.clone(),
            id: id.clone(),
            entries: 1,
        });
        if out.try_send(Subscribe::Complain(message.collect())).is_ok() {
            tracing::info!(?complaints, "unusable primaries reported");
            self.subscription.complaints = complaints;
        }
    }

    pub(crate) fn reload(&mut self) {
        match settings::load::<settings::Proxy>(&self.path) {
            Ok(settings) => {
                tracing::info!(seeds = ?settings.seeds, "settings read again");
                self.subscription.set_seeds(settings.seeds);
            }
            Err(report) => tracing::warn!(%report, "changed settings refused"),
        }
    }
}

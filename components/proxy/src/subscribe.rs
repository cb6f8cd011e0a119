//! The stream to a coordinator, which sends the registry and receives reports about unusable
//! primaries.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use registry::{Order, Sample};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use types::Name;
use wire::{Complaint, Publish, Question, Subscribe};

use crate::event::Event;
use crate::process::Loop;
use crate::protocol::Protocol;
use crate::service::Service;
use crate::timer::Timer;
use clock::{Clock, Moment};

/// Delay before the next coordinator is dialed.
const REDIAL_DELAY: Duration = Duration::from_millis(100);
/// If no pulse shows for this long that the coordinator is in contact with a leader, another one is
/// dialed. Several pulses are sent in this time.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(900);
/// Age from which newer samples of a primary are requested.
const SAMPLE_REFRESH_AGE: Duration = Duration::from_millis(250);
/// Samples of a service's primary are requested for this long after the last statement for the
/// service.
const SERVICE_ACTIVE_PERIOD: Duration = Duration::from_secs(5);
/// Assumed number of proxies before a coordinator has sent it.
const INITIAL_PROXY_COUNT: u32 = 64;
/// Capacity of the queue of messages to the coordinator.
const STREAM_QUEUE_LEN: usize = 16;

#[derive(Debug)]
enum State {
    /// Holds the time from which a coordinator may be dialed again.
    Down(Instant),
    Dialing,
    Up {
        out: mpsc::Sender<Subscribe>,
        /// When the coordinator counts as silent if no pulse arrives before.
        silence_deadline: Instant,
    },
}

/// State of the stream, and the addresses to dial.
#[derive(Debug)]
pub struct Subscription {
    instance: Name,
    domain: Name,
    seeds: Vec<SocketAddr>,
    /// Coordinators that the last pulse named.
    coordinators: Vec<SocketAddr>,
    /// Number of the address that was dialed last, modulo the number of addresses. Its start depends
    /// on the instance name, which spreads the proxies over the coordinators.
    address_number: usize,
    /// Number of the current dial; events of earlier dials are ignored.
    dial: u64,
    state: State,
    /// Number of the latest request for samples, and when it was sent.
    last_question: (u64, Moment),
    /// Unusable primaries that were last reported, as pairs of service and server id.
    complaints: Vec<(String, String)>,
    /// Number of proxies in the whole system, if a coordinator has sent it.
    pub known_proxy_count: Option<u32>,
    /// Until when the last pulse of a coordinator in contact with a leader counts.
    current_until: Option<Instant>,
    /// When that pulse arrived, on the clock that also counts suspended time.
    last_contact: Option<Moment>,
    /// When the stream was opened or brought its last pulse, on the same clock.
    heard_at: Option<Moment>,
}

impl Subscription {
    #[must_use]
    pub fn new(settings: &settings::Proxy, now: Instant) -> Self {
        let bytes = settings.instance.as_str().bytes();
        let name_hash = bytes.fold(0usize, |sum, byte| sum.wrapping_mul(31) + usize::from(byte));
        Self {
            instance: settings.instance.clone(),
            domain: settings.domain.clone(),
            seeds: settings.seeds.clone(),
            coordinators: Vec::new(),
            address_number: name_hash,
            dial: 0,
            state: State::Down(now),
            last_question: Default::default(),
            complaints: Vec::new(),
            known_proxy_count: None,
            current_until: None,
            last_contact: None,
            heard_at: None,
        }
    }

    /// Number of proxies in the whole system, which share the servers' connections.
    pub fn proxy_count(&self) -> u32 {
        self.known_proxy_count.unwrap_or(INITIAL_PROXY_COUNT)
    }

    /// Tells the coordinator that this proxy stops.
    pub fn leave(&mut self) {
        if let State::Up { out, .. } = &self.state {
            // If the queue is full, the end of the stream tells the coordinator later.
            let _full = out.try_send(Subscribe::Leave);
        }
    }

    /// Whether a coordinator in contact with a leader has sent a pulse lately.
    pub fn is_current(&self, now: Instant) -> bool {
        self.current_until.is_some_and(|until| now < until)
    }

    /// When a coordinator in contact with a leader last sent a pulse.
    pub fn last_contact(&self) -> Option<Moment> {
        self.last_contact
    }

    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Sends a message to the coordinator. Returns false if there is no stream or its queue is full.
    pub fn send(&self, message: Subscribe) -> bool {
        match &self.state {
            State::Up { out, .. } => out.try_send(message).is_ok(),
            State::Down(_) | State::Dialing => false,
        }
    }

    fn address(&mut self) -> Option<SocketAddr> {
        let mut all: Vec<SocketAddr> = self
            .seeds
            .iter()
            .chain(&self.coordinators)
            .copied()
            .collect();
        all.sort_unstable();
        all.dedup();
        self.address_number = self.address_number.wrapping_add(1);
        let index = self.address_number.checked_rem(all.len())?;
        all.get(index).copied()
    }
}

impl<P: Protocol, C: Clock> Loop<P, C> {
    /// Dials a coordinator, and gives up a stream that is silent.
    pub(crate) fn maintain_subscription(&mut self, now: Instant) {
        match &self.subscription.state {
            State::Down(at) if *at <= now => {}
            State::Up {
                silence_deadline, ..
            } if *silence_deadline <= now => {
                tracing::warn!(
                    "coordinator is silent or has lost its leader; dialing another coordinator"
                );
                self.metrics.common.retries.add("coordinator");
            }
            _ => {
                self.report_unusable_primaries(now);
                return self.request_samples(now);
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
                let _ended = events.send(Event::CoordinatorDialed(dial, None)).await;
                return;
            };
            let (out, outgoing) = mpsc::channel(STREAM_QUEUE_LEN);
            if events
                .send(Event::CoordinatorDialed(dial, Some(out)))
                .await
                .is_ok()
            {
                let wrap = move |event| Event::Coordinator(dial, event);
                stream.run(outgoing, events, wrap).await;
            }
        });
    }

    pub(crate) fn on_coordinator_dialed(
        &mut self,
        now: Instant,
        dial: u64,
        out: Option<mpsc::Sender<Subscribe>>,
    ) {
        if dial != self.subscription.dial {
            return;
        }
        let Some(out) = out else {
            return self.dial_after(now, REDIAL_DELAY);
        };
        let open = Subscribe::Open {
            version: wire::VERSION,
            instance: self.subscription.instance.to_string(),
            domain: self.subscription.domain.to_string(),
            address: self.settings.link.to_string(),
        };
        // The channel is new and has room.
        let _sent = out.try_send(open);
        self.acknowledgements.forget_request();
        self.subscription.complaints.clear();
        self.subscription.heard_at = Some(self.clock.moment());
        self.subscription.state = State::Up {
            out,
            silence_deadline: now + SILENCE_TIMEOUT,
        };
    }

    pub(crate) fn on_coordinator(&mut self, now: Instant, dial: u64, event: link::Event<Publish>) {
        if dial != self.subscription.dial {
            return;
        }
        let message = match event {
            link::Event::Message(message) => message,
            link::Event::Closed(error) => {
                tracing::warn!(
                    error = %format!("{error:#}"),
                    "coordinator stream lost; dialing another coordinator"
                );
                return self.dial_after(now, REDIAL_DELAY);
            }
        };
        match message {
            Publish::Snapshot(raw) => {
                // A coordinator that is behind sends what this proxy has already applied.
                if raw.revision >= self.registry.revision() {
                    tracing::info!(revision = raw.revision, "registry received");
                    self.registry = raw.into();
                    self.registry_changed = true;
                }
            }
            Publish::Update { revision, .. } if revision <= self.registry.revision() => {}
            Publish::Update { revision, order } => match Order::try_from(order) {
                Ok(order) => {
                    let _outcome = self.registry.apply(revision, &order);
                    self.registry_changed = true;
                }
                Err(error) => {
                    tracing::error!(
                        revision,
                        error = %format!("{error:#}"),
                        "invalid order from a coordinator; skipping it"
                    );
                    self.metrics.common.refusals.add("coordinator");
                }
            },
            Publish::Pulse {
                current,
                entries,
                coordinators,
                leader,
                epoch,
            } => {
                let moment = self.clock.moment();
                let heard_at = self.subscription.heard_at.replace(moment);
                let silence = heard_at.map_or(Duration::ZERO, |at| moment.since(at));
                if self.settings.keys.require_contact && silence >= SILENCE_TIMEOUT {
                    // The pulse may have waited in the socket while this machine was suspended, and
                    // then shows no contact at present.
                    tracing::warn!("pulse after a silence; dialing another coordinator");
                    return self.dial_after(now, Duration::ZERO);
                }
                if let State::Up {
                    silence_deadline, ..
                } = &mut self.subscription.state
                    && current
                {
                    *silence_deadline = now + SILENCE_TIMEOUT;
                    self.subscription.current_until = Some(now + SILENCE_TIMEOUT);
                    self.subscription.last_contact = Some(moment);
                }
                if current && entries != 0 && self.subscription.known_proxy_count != Some(entries) {
                    self.subscription.known_proxy_count = Some(entries);
                    self.registry_changed = true;
                }
                let known = coordinators
                    .iter()
                    .filter_map(|address| address.parse().ok());
                self.subscription.coordinators = known.collect();
                if current {
                    self.on_leader(&leader, epoch);
                    self.set_issuer(now, &leader);
                    self.confirm_keys();
                }
            }
            Publish::Plan(change) => match self.plan.apply(change) {
                // A coordinator that is behind sends what this proxy has already applied.
                Ok(false) => {}
                Ok(true) => {
                    tracing::info!(
                        version = self.plan.version,
                        routes = self.plan.routes.len(),
                        services = self.plan.services.len(),
                        "new plan applied"
                    );
                    self.registry_changed = true;
                    self.on_plan_changed();
                    self.on_limits_changed(now);
                }
                Err(error) => self.on_invalid_message(now, &error),
            },
            Publish::Entries(entries) => self.on_neighbours(&entries),
            Publish::Samples(answer) => self.on_samples(&answer),
            Publish::Advanced(answer) => self.on_consents(now, &answer),
        }
    }

    /// Requests positions of primaries whose samples in this proxy are old. Only few statements of
    /// a proxy run on each primary, and a read that accepts aged data should not be sent there just
    /// to get a sample.
    fn request_samples(&mut self, now: Instant) {
        let State::Up { out, .. } = &self.subscription.state else {
            return;
        };
        let moment = self.clock.moment();
        let outdated = self.services.iter().filter(|service| {
            let active = service
                .last_request_at
                .is_some_and(|at| now < at + SERVICE_ACTIVE_PERIOD);
            active
                && service
                    .history
                    .age(moment)
                    .is_none_or(|age| age > SAMPLE_REFRESH_AGE)
        });
        let services: Vec<String> = outdated.map(|service| service.name.clone()).collect();
        if services.is_empty() {
            return;
        }
        let number = self.subscription.last_question.0 + 1;
        let question = Question { number, services };
        if out.try_send(Subscribe::Ask(question)).is_ok() {
            self.subscription.last_question = (number, moment);
        }
    }

    fn on_samples(&mut self, answer: &wire::Samples) {
        let (number, requested_at) = self.subscription.last_question;
        if answer.number != number {
            return;
        }
        for wire_sample in &answer.samples {
            if let Some(index) = self.service_indices.get(&wire_sample.service) {
                let sample = Sample::from_wire(wire_sample, requested_at);
                self.services[*index].history.observe(sample);
                self.services[*index].primary_reached_at = Some(sample.at);
                self.due_services.push(*index);
            }
        }
    }

    fn on_invalid_message(&mut self, now: Instant, error: &anyhow::Error) {
        tracing::error!(
            error = %format!("{error:#}"),
            "received an invalid message from a coordinator; dialing another coordinator"
        );
        self.metrics.common.refusals.add("coordinator");
        self.dial_after(now, REDIAL_DELAY);
    }

    fn dial_after(&mut self, now: Instant, pause: Duration) {
        self.subscription.state = State::Down(now + pause);
        self.timers.add(now + pause, Timer::Subscription);
    }

    /// Reports to the coordinators which primaries are unusable, if that has changed.
    fn report_unusable_primaries(&mut self, now: Instant) {
        let State::Up { out, .. } = &self.subscription.state else {
            return;
        };
        let is_unusable =
            |service: &&Service| service.unusable_since.is_some() || service.is_primary_slow(now);
        let unusable = self.services.iter().filter(is_unusable);
        let complaints: Vec<(String, String)> = unusable
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
        match settings::load::<settings::Proxy>(&self.settings_path) {
            Ok(settings) => {
                tracing::info!(seeds = ?settings.seeds, "settings reloaded");
                self.subscription.set_seeds(settings.seeds);
            }
            Err(report) => {
                tracing::warn!(%report, "rejected the changed settings; keeping the previous ones")
            }
        }
    }
}

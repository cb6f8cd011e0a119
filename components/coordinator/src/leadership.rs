//! What only the leader holds, in memory: signs of life of servers, what entries report of
//! primaries, and the changes of primary. All of it begins anew with each leader.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use cluster::convert::Report;
use registry::failover::{Action, Command, Signals, Verdict};
use registry::{Machine, Registry, Sample};
use types::Name;

use crate::event::Ping;
use crate::servers::Agent;

/// Interval of the steps of all services.
const STEP: Duration = Duration::from_millis(100);
/// How long a report of another instance counts; several are sent in this time.
const REPORT: Duration = Duration::from_millis(1500);
/// Silence of a primary towards this instance that counts, if entries miss it as well.
const SILENCE: Duration = Duration::from_millis(900);
/// Silence of a primary towards this instance that counts by itself.
const LONG_SILENCE: Duration = Duration::from_secs(3);
/// How long the entries' majority has to miss a primary that answers this instance.
const MISSED: Duration = Duration::from_millis(300);
/// Time after a promotion in which entries that have not heard of it still miss the primary.
const FRESH: Duration = Duration::from_secs(1);
/// Time after a server's last call in which it may still run, if nothing shows that it has ended.
const LEAVING: Duration = Duration::from_secs(12);
/// Silence after which a server is removed from the registry.
pub const GONE: Duration = Duration::from_secs(20);

/// A server under watch.
#[derive(Debug)]
struct Watch {
    /// Start of the life that is watched.
    born: u64,
    agent: Agent,
    /// Last answer, at first the start of the watch.
    answered_at: Instant,
    /// It answered that it does not lead.
    follows: bool,
    /// End of its log when it led last.
    led: Option<Sample>,
    /// Since when most entries miss it.
    missed_since: Option<Instant>,
    /// Until when nothing is held against it, as it has only begun to lead.
    fresh_until: Option<Instant>,
    /// It has sent its last call, at this moment.
    left_at: Option<Instant>,
    /// It has closed its connection and answered nothing since. Of one that has sent its last call,
    /// only the end of the process does that.
    closed: bool,
}

/// State of a leader.
#[derive(Debug)]
pub struct Lead {
    since: Instant,
    /// Last heartbeat of each server.
    heard: BTreeMap<String, Instant>,
    reports: BTreeMap<Name, (Instant, Report)>,
    /// By the server's identity.
    watches: BTreeMap<String, Watch>,
    machines: BTreeMap<String, Machine>,
    /// When each change under way began.
    begun: BTreeMap<String, Instant>,
    step_at: Instant,
}

impl Lead {
    /// State of a new leader.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            since: now,
            heard: BTreeMap::new(),
            reports: BTreeMap::new(),
            watches: BTreeMap::new(),
            machines: BTreeMap::new(),
            begun: BTreeMap::new(),
            step_at: now,
        }
    }

    /// When a step is due.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        self.step_at
    }

    /// Has all services stepped at the end of the turn.
    pub fn step_soon(&mut self, now: Instant) {
        self.step_at = now;
    }

    /// A server sent a heartbeat.
    pub fn on_heartbeat(&mut self, now: Instant, id: &str) {
        match self.heard.get_mut(id) {
            Some(at) => *at = now,
            None => {
                self.heard.insert(id.to_owned(), now);
            }
        }
    }

    /// A server sent its last call.
    pub fn on_leave(&mut self, now: Instant, id: &str) {
        self.on_heartbeat(now, id);
        if let Some(watch) = self.watches.get_mut(id) {
            watch.left_at.get_or_insert(now);
        }
    }

    /// Whether a server that has sent its last call is gone. Until its process has ended it receives
    /// commits, and may be the only one that has them: the answer to the call may be lost in a cut.
    #[must_use]
    pub fn has_left(&self, now: Instant, id: &str) -> bool {
        let Some(watch) = self.watches.get(id) else {
            return false;
        };
        watch
            .left_at
            .is_some_and(|at| watch.closed || now >= at + LEAVING)
    }

    /// Time since a server's last heartbeat, at most the time of this leadership.
    #[must_use]
    pub fn silence(&self, now: Instant, id: &str) -> Duration {
        let heard = self.heard.get(id).copied().unwrap_or(self.since);
        now.saturating_duration_since(heard)
    }

    /// Another instance, or this one, tells what its entries report.
    pub fn on_report(&mut self, now: Instant, report: Report) {
        self.reports.insert(report.instance.clone(), (now, report));
        self.reports.retain(|_, (at, _)| now < *at + REPORT);
    }

    /// Entries that miss a primary, and all entries.
    fn missing(&self, now: Instant, service: &str, id: &str) -> (u32, u32) {
        let reports = self.reports.values().filter(|(at, _)| now < *at + REPORT);
        let (mut missing, mut all) = (0, 0);
        for (_, report) in reports {
            all += report.entries;
            let complaints = report.complaints.iter();
            let of = complaints.filter(|it| it.service == service && it.id == id);
            missing += of.map(|it| it.entries).sum::<u32>();
        }
        (missing, all)
    }

    /// A server was asked whether it leads.
    pub fn on_ping(&mut self, now: Instant, id: &str, ping: Ping) {
        let Some(watch) = self.watches.get_mut(id) else {
            return;
        };
        match ping {
            Ping::Leads(sample) => {
                watch.answered_at = now;
                (watch.follows, watch.closed) = (false, false);
                watch.led = Some(sample);
            }
            Ping::Follows => {
                watch.answered_at = now;
                (watch.follows, watch.closed) = (true, false);
            }
            Ping::Closed => watch.closed = true,
            Ping::Silent => {}
        }
    }

    /// The latest position of a service's primary.
    #[must_use]
    pub fn sample(&self, service: &str, registry: &Registry) -> Option<Sample> {
        let primary = registry.primary(service)?;
        self.watches.get(&primary.id)?.led
    }

    /// Sends a command to a server.
    pub fn command(&self, id: &str, command: Command) {
        if let Some(watch) = self.watches.get(id) {
            watch.agent.command(command);
        }
    }

    /// The machine of a service.
    pub fn machine(&mut self, service: &str) -> Option<&mut Machine> {
        self.machines.get_mut(service)
    }

    /// Steps all services if that is due. `start` starts the agent of a server.
    pub fn on_tick(
        &mut self,
        now: Instant,
        registry: &Registry,
        start: impl Fn(&registry::Server) -> Agent,
        out: &mut Vec<(String, Action)>,
    ) {
        if now < self.step_at {
            return;
        }
        self.step_at = now + STEP;
        self.follow(now, registry, start);
        let mut services: Vec<&str> = registry.servers().map(|s| s.service.as_str()).collect();
        services.sort_unstable();
        services.dedup();
        for service in services {
            self.step(now, service, registry, out);
        }
    }

    /// Watches the present life of every server.
    fn follow(
        &mut self,
        now: Instant,
        registry: &Registry,
        start: impl Fn(&registry::Server) -> Agent,
    ) {
        let is_current = |id: &String, watch: &mut Watch| {
            let server = registry.server(id);
            server.is_some_and(|server| server.life.born == watch.born)
        };
        self.watches.retain(is_current);
        for server in registry.servers() {
            if self.watches.contains_key(&server.id) {
                continue;
            }
            let watch = Watch {
                born: server.life.born,
                agent: start(server),
                answered_at: now,
                follows: false,
                led: None,
                missed_since: None,
                fresh_until: None,
                left_at: None,
                closed: false,
            };
            self.watches.insert(server.id.clone(), watch);
        }
    }

    fn step(
        &mut self,
        now: Instant,
        service: &str,
        registry: &Registry,
        out: &mut Vec<(String, Action)>,
    ) {
        let verdict = self.verdict(now, service, registry);
        let led = |id: &str| self.watches.get(id)?.led.map(|sample| sample.point);
        let terms = registry.servers_of(service).filter_map(|it| led(&it.id));
        let term = terms.map(|end| end.term.0).max();
        let last_led_point = registry.primary(service).and_then(|it| led(&it.id));
        let signals = Signals {
            verdict,
            term,
            last_led_point,
        };
        let (heard, since) = (&self.heard, self.since);
        let silence = |id: &str| {
            let heard = heard.get(id).copied().unwrap_or(since);
            now.saturating_duration_since(heard)
        };
        let machine = self
            .machines
            .entry(service.to_owned())
            .or_insert_with(|| Machine::new(service));
        let before = machine.phase();
        let mut actions = Vec::new();
        machine.step(now, registry, signals, silence, &mut actions);
        if machine.phase() != before {
            let primary = registry.primary(service);
            tracing::info!(
                service,
                from = before,
                to = machine.phase(),
                ?verdict,
                primary = primary.map(|server| server.id.as_str()),
                draining = primary.is_some_and(|server| server.draining),
                "change of primary"
            );
        }
        if machine.is_active() {
            self.begun.entry(service.to_owned()).or_insert(now);
        }
        out.extend(actions.into_iter().map(|it| (service.to_owned(), it)));
    }

    /// A change has ended; returns how long it took. Nothing that was said of the new primary
    /// before counts.
    pub fn on_confirmed(&mut self, now: Instant, service: &str, id: &str) -> Option<Duration> {
        if let Some(watch) = self.watches.get_mut(id) {
            watch.answered_at = now;
            watch.follows = false;
            watch.missed_since = None;
            watch.fresh_until = Some(now + FRESH);
        }
        let begun = self.begun.remove(service)?;
        Some(now.saturating_duration_since(begun))
    }

    /// Whether a primary can be used. An instance that alone has lost it says nothing: what
    /// counts is whether entries reach it, and whether it still leads.
    fn verdict(&mut self, now: Instant, service: &str, registry: &Registry) -> Verdict {
        let Some(primary) = registry.primary(service) else {
            return Verdict::Unknown;
        };
        let (missing, entries) = self.missing(now, service, &primary.id);
        let heard = self.silence(now, &primary.id);
        let Some(watch) = self.watches.get_mut(&primary.id) else {
            return Verdict::Unknown;
        };
        let fresh = watch.fresh_until.is_some_and(|until| now < until);
        if missing > 0 && missing * 2 >= entries && !fresh {
            watch.missed_since.get_or_insert(now);
        } else {
            watch.missed_since = None;
        }
        let silent = now.saturating_duration_since(watch.answered_at);
        let missed = watch
            .missed_since
            .is_some_and(|since| now >= since + MISSED);
        let unreachable = silent > SILENCE && missing > 0;
        let gone = silent > LONG_SILENCE && heard > LONG_SILENCE;
        if watch.follows || missed || unreachable || gone {
            Verdict::Failed
        } else if silent > SILENCE {
            Verdict::Unknown
        } else {
            Verdict::Serving
        }
    }
}

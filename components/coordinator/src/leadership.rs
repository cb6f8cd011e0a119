//! State that only the leader holds, in memory: when servers last answered, reports of entries about
//! primaries, and the changes of primary. Each new leader starts without it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use cluster::convert::Report;
use registry::failover::{Action, Command, Signals, Verdict};
use registry::{History, Machine, Registry, Sample, Watermark};
use types::Name;

use crate::acknowledge::Consents;
use crate::event::Ping;
use crate::servers::Agent;

/// Interval at which the failover machines of all services run.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// How long a report of an instance counts; reports are sent several times in it.
const REPORT_LIFETIME: Duration = Duration::from_millis(1500);
/// A primary that has not answered this instance for longer has failed if an entry reports that it
/// can't use it.
const REPORTED_SILENCE: Duration = Duration::from_millis(900);
/// A primary that has neither answered this instance nor sent it a heartbeat for longer has failed,
/// whatever the entries report.
const UNREPORTED_SILENCE: Duration = Duration::from_secs(3);
/// How long at least half of the entries must report that they can't use a primary that answers this
/// instance.
const REPORTED_PERIOD: Duration = Duration::from_millis(300);
/// Time after a promotion in which reports about the new primary don't count: entries that have not
/// learned of it yet can't use it.
const PROMOTION_GRACE: Duration = Duration::from_secs(1);
/// Time after a server's leave request in which its process may still run, unless its connection
/// shows that it has ended.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(12);
/// A server of a service without a plan that has sent no heartbeat for longer is removed from the
/// registry. Those of planned services stay: a silent server may still receive commits.
pub const REMOVAL_SILENCE: Duration = Duration::from_secs(20);
/// Interval of the log lines about a change of primary that waits for servers.
const WAIT_LOG_INTERVAL: Duration = Duration::from_secs(2);

/// What the leader knows about one server.
#[derive(Debug)]
struct Watch {
    /// Start of the watched life, as `Life::born`.
    born: u64,
    agent: Agent,
    /// Time of the last answer; initially when the watch began.
    answered_at: Instant,
    /// The last answer said that the server is not the primary.
    not_primary: bool,
    /// End of its log at its last answer as primary, in this life or an earlier one.
    last_sample: Option<Sample>,
    /// When that answer was asked for.
    sample_asked_at: Option<Instant>,
    /// The open connection leads to the watched life: a heartbeat of it has arrived since the
    /// connection was opened. A server that has restarted may not be registered again yet.
    is_identified: bool,
    /// Since when at least half of the entries report that they can't use it.
    reported_since: Option<Instant>,
    /// End of the time after its promotion in which reports of entries don't count.
    grace_until: Option<Instant>,
    /// When it sent its leave request.
    left_at: Option<Instant>,
    /// It has closed its connection and not answered since. After a leave request this means that
    /// its process has ended.
    closed: bool,
}

/// State of the leader.
#[derive(Debug)]
pub struct Leadership {
    leading_since: Instant,
    /// Last heartbeat of each server.
    heartbeats: BTreeMap<String, Instant>,
    /// Latest report of each instance, and when it arrived.
    reports: BTreeMap<Name, (Instant, Report)>,
    /// Watches of the registered servers, by server identity.
    watches: BTreeMap<String, Watch>,
    /// Failover machines, by service.
    machines: BTreeMap<String, Machine>,
    /// Start of each change of primary in progress, by service.
    change_starts: BTreeMap<String, Instant>,
    /// Log index of the latest departure from each service, and when this instance knew of it.
    departures: BTreeMap<String, (u64, Instant)>,
    consents: Consents,
    /// Next log line about each change of primary that waits.
    wait_log_at: BTreeMap<String, Instant>,
    step_at: Instant,
}

impl Leadership {
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            leading_since: now,
            heartbeats: BTreeMap::new(),
            reports: BTreeMap::new(),
            watches: BTreeMap::new(),
            machines: BTreeMap::new(),
            change_starts: BTreeMap::new(),
            departures: BTreeMap::new(),
            consents: Consents::new(now),
            wait_log_at: BTreeMap::new(),
            step_at: now,
        }
    }

    /// When the next step is due.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        self.step_at
    }

    /// Schedules a step of all services for the end of this turn of the event loop.
    pub fn schedule_step(&mut self, now: Instant) {
        self.step_at = now;
    }

    /// Handles a heartbeat, or another message, of the life of a server that started at `born`.
    pub fn on_heartbeat(&mut self, now: Instant, id: &str, born: u64) {
        if let Some(watch) = self.watches.get_mut(id) {
            watch.is_identified |= watch.born == born;
        }
        match self.heartbeats.get_mut(id) {
            Some(at) => *at = now,
            None => {
                self.heartbeats.insert(id.to_owned(), now);
            }
        }
    }

    /// Handles a leave request of a server.
    pub fn on_leave(&mut self, now: Instant, id: &str, born: u64) {
        self.on_heartbeat(now, id, born);
        if let Some(watch) = self.watches.get_mut(id) {
            watch.left_at.get_or_insert(now);
        }
    }

    /// Whether the process of a server that sent a leave request has ended. Until then the server may
    /// receive commits, and may be the only one that holds them: the reply to its request may have been
    /// lost in a network partition.
    #[must_use]
    pub fn has_left(&self, now: Instant, id: &str) -> bool {
        let Some(watch) = self.watches.get(id) else {
            return false;
        };
        watch
            .left_at
            .is_some_and(|at| watch.closed || now >= at + LEAVE_TIMEOUT)
    }

    /// Time since a server's last heartbeat, or since this instance became leader if there was none.
    #[must_use]
    pub fn heartbeat_silence(&self, now: Instant, id: &str) -> Duration {
        let heartbeat_at = self
            .heartbeats
            .get(id)
            .copied()
            .unwrap_or(self.leading_since);
        now.saturating_duration_since(heartbeat_at)
    }

    /// Stores the report of an instance, which may be this one, about its entries.
    pub fn on_report(&mut self, now: Instant, report: Report) {
        self.reports.insert(report.instance.clone(), (now, report));
        self.reports
            .retain(|_, (at, _)| now < *at + REPORT_LIFETIME);
    }

    /// Returns how many entries report that they can't use a primary, and how many there are.
    fn count_reporting(&self, now: Instant, service: &str, id: &str) -> (u32, u32) {
        let reports = self
            .reports
            .values()
            .filter(|(at, _)| now < *at + REPORT_LIFETIME);
        let (mut reporting, mut total) = (0, 0);
        for (_, report) in reports {
            total += report.entries;
            let complaints = report.complaints.iter();
            let matching =
                complaints.filter(|complaint| complaint.service == service && complaint.id == id);
            reporting += matching.map(|complaint| complaint.entries).sum::<u32>();
        }
        (reporting, total)
    }

    pub fn on_ping(&mut self, now: Instant, id: &str, ping: Ping) {
        let Some(watch) = self.watches.get_mut(id) else {
            return;
        };
        match ping {
            Ping::Connected => watch.is_identified = false,
            Ping::Primary { sample, asked_at } => {
                watch.answered_at = now;
                (watch.not_primary, watch.closed) = (false, false);
                watch.last_sample = Some(sample);
                watch.sample_asked_at = Some(asked_at);
            }
            Ping::NotPrimary => {
                watch.answered_at = now;
                (watch.not_primary, watch.closed) = (true, false);
            }
            Ping::Closed => (watch.closed, watch.is_identified) = (true, false),
            Ping::Unanswered => watch.is_identified = false,
        }
    }

    /// The latest sample of a service's primary.
    #[must_use]
    pub fn sample(&self, service: &str, registry: &Registry) -> Option<Sample> {
        let primary = registry.primary(service)?;
        self.watches.get(&primary.id)?.last_sample
    }

    pub fn command(&self, id: &str, command: Command) {
        if let Some(watch) = self.watches.get(id) {
            watch.agent.command(command);
        }
    }

    /// Whether servers may join a service at present.
    #[must_use]
    pub fn admits_servers(&self, service: &str) -> bool {
        let machine = self.machines.get(service);
        machine.is_none_or(Machine::admits_servers)
    }

    /// Handles a watermark of an entry and returns whether its commits may be passed on.
    /// `is_confirmed` tells whether a quorum confirms that this instance leads.
    pub fn advance(
        &mut self,
        now: Instant,
        mark: &Watermark,
        registry: &Registry,
        is_confirmed: bool,
    ) -> bool {
        let machine = self.machines.get(&mark.service);
        let is_steady = machine.is_none_or(Machine::admits_commits);
        let admits_commits = is_confirmed && is_steady;
        self.consents.advance(now, mark, registry, admits_commits)
    }

    /// Handles a heartbeat of a server that is not registered yet, or of a new life of one.
    pub fn on_joining(&mut self, now: Instant, server: &registry::Server) {
        self.consents.on_joining(now, server);
    }

    /// The failover machine of a service.
    pub fn machine(&mut self, service: &str) -> Option<&mut Machine> {
        self.machines.get_mut(service)
    }

    /// Steps all services if that is due, and adds the actions to `out`. `start_agent` starts the agent
    /// of a server.
    pub fn on_tick(
        &mut self,
        now: Instant,
        registry: &Registry,
        start_agent: impl Fn(&registry::Server) -> Agent,
        out: &mut Vec<(String, Action)>,
    ) {
        if now < self.step_at {
            return;
        }
        self.step_at = now + STEP_INTERVAL;
        self.update_watches(now, registry, start_agent);
        let mut services: Vec<&str> = registry.servers().map(|s| s.service.as_str()).collect();
        services.sort_unstable();
        services.dedup();
        for service in services {
            self.step(now, service, registry, out);
        }
    }

    /// Drops watches of lives that have ended and adds watches of new servers.
    fn update_watches(
        &mut self,
        now: Instant,
        registry: &Registry,
        start_agent: impl Fn(&registry::Server) -> Agent,
    ) {
        self.watches.retain(|id, _| registry.server(id).is_some());
        for server in registry.servers() {
            let known = self.watches.get(&server.id);
            if known.is_some_and(|watch| watch.born == server.life.born) {
                continue;
            }
            let watch = Watch {
                born: server.life.born,
                agent: start_agent(server),
                answered_at: now,
                not_primary: false,
                last_sample: known.and_then(|watch| watch.last_sample),
                sample_asked_at: known.and_then(|watch| watch.sample_asked_at),
                is_identified: false,
                reported_since: None,
                grace_until: None,
                left_at: registry.is_leaving(&server.id).then_some(now),
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
        let led_point = |id: &str| self.watches.get(id)?.last_sample.map(|sample| sample.point);
        let points = registry
            .servers_of(service)
            .filter_map(|server| led_point(&server.id));
        let term = points.map(|point| point.term.0).max();
        let last_led_point = registry
            .primary(service)
            .and_then(|server| led_point(&server.id));
        let signals = Signals {
            verdict,
            term,
            last_led_point,
            led_after_departures: self.led_after_departures(now, service, registry),
            watermark: self.consents.watermark(service),
        };
        let watches = &self.watches;
        let is_identified = |id: &str| watches.get(id).is_some_and(|watch| watch.is_identified);
        let machine = self
            .machines
            .entry(service.to_owned())
            .or_insert_with(|| Machine::new(service));
        let old_phase = machine.phase();
        let mut actions = Vec::new();
        machine.step(now, registry, signals, is_identified, &mut actions);
        if machine.phase() != old_phase {
            let primary = registry.primary(service);
            tracing::info!(
                service,
                from = old_phase,
                to = machine.phase(),
                ?verdict,
                primary = primary.map(|server| server.id.as_str()),
                draining = primary.is_some_and(|server| server.draining),
                "change of primary"
            );
        }
        if machine.is_active() {
            let started_at = *self.change_starts.entry(service.to_owned()).or_insert(now);
            let log_at = self.wait_log_at.entry(service.to_owned());
            let log_at = log_at.or_insert(started_at + WAIT_LOG_INTERVAL);
            if *log_at <= now {
                *log_at = now + WAIT_LOG_INTERVAL;
                if let Some(missing) = machine.missing(registry, is_identified) {
                    tracing::warn!(
                        service,
                        ?missing,
                        ms = now.saturating_duration_since(started_at).as_millis(),
                        "change of primary waits for the old primary or the missing servers"
                    );
                }
            }
        }
        out.extend(
            actions
                .into_iter()
                .map(|action| (service.to_owned(), action)),
        );
    }

    /// Whether the primary of a service has proved to lead, in answer to a question that was asked
    /// after this instance knew of every departure from the service.
    fn led_after_departures(&mut self, now: Instant, service: &str, registry: &Registry) -> bool {
        let departed = registry.history(service).and_then(History::last_departure);
        let Some(index) = departed else {
            return true;
        };
        let known = self.departures.get(service);
        let known_at = match known.filter(|(known, _)| *known == index) {
            Some((_, at)) => *at,
            None => {
                self.departures.insert(service.to_owned(), (index, now));
                now
            }
        };
        let watch = registry
            .primary(service)
            .and_then(|server| self.watches.get(&server.id));
        watch
            .and_then(|watch| watch.sample_asked_at)
            .is_some_and(|asked_at| asked_at > known_at)
    }

    /// Handles the end of a change of primary and returns its duration. Earlier answers and reports
    /// about the new primary no longer count.
    pub fn on_confirmed(&mut self, now: Instant, service: &str, id: &str) -> Option<Duration> {
        if let Some(watch) = self.watches.get_mut(id) {
            watch.answered_at = now;
            watch.not_primary = false;
            watch.reported_since = None;
            watch.grace_until = Some(now + PROMOTION_GRACE);
        }
        self.wait_log_at.remove(service);
        let started_at = self.change_starts.remove(service)?;
        Some(now.saturating_duration_since(started_at))
    }

    /// Whether the primary of a service can be used. That this instance alone can't reach it proves
    /// little: what counts is whether entries reach it, and whether it is still the primary.
    fn verdict(&mut self, now: Instant, service: &str, registry: &Registry) -> Verdict {
        let Some(primary) = registry.primary(service) else {
            return Verdict::Unknown;
        };
        let (reporting, total) = self.count_reporting(now, service, &primary.id);
        let heartbeat_silence = self.heartbeat_silence(now, &primary.id);
        let Some(watch) = self.watches.get_mut(&primary.id) else {
            return Verdict::Unknown;
        };
        let in_grace = watch.grace_until.is_some_and(|until| now < until);
        if reporting > 0 && reporting * 2 >= total && !in_grace {
            watch.reported_since.get_or_insert(now);
        } else {
            watch.reported_since = None;
        }
        let answer_silence = now.saturating_duration_since(watch.answered_at);
        let reported = watch
            .reported_since
            .is_some_and(|since| now >= since + REPORTED_PERIOD);
        let unreachable = answer_silence > REPORTED_SILENCE && reporting > 0;
        let silent = answer_silence > UNREPORTED_SILENCE && heartbeat_silence > UNREPORTED_SILENCE;
        if watch.not_primary || reported || unreachable || silent {
            Verdict::Failed
        } else if answer_silence > REPORTED_SILENCE {
            Verdict::Unknown
        } else {
            Verdict::Serving
        }
    }
}

//! Change of primary of one service, as decisions without I/O.
//!
//! Servers acknowledge a commit once one replica has received it, so that only the most advanced of
//! all replicas may lead next. The machine stops every replica from receiving, reads what each has,
//! and only then chooses. Nothing is assumed of orders without an answer: each may run seconds
//! later, and carries a term or a token that makes it harmless then.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use types::Point;
use types::target::Role;

use crate::server::Server;
use crate::state::Registry;

/// Pause before an unanswered command to a server is repeated.
const REPEAT: Duration = Duration::from_millis(600);
/// Pause between two questions whether a promotion has taken effect.
const VERIFY: Duration = Duration::from_millis(120);
/// How long the old primary is waited for; it answers at once if it can be reached.
const STEP_DOWN: Duration = Duration::from_millis(400);
/// How long a replica is waited for before the old primary, which has stepped down, leads again.
const CATCH_UP: Duration = Duration::from_secs(1);
/// Time for a choice to be committed.
const CHOICE: Duration = Duration::from_secs(2);
/// Time for a promotion to take effect before everything is gathered anew.
const PROMOTION: Duration = Duration::from_secs(4);
/// Silence after which a replica counts as lost for good. A partition is over before.
const LOST: Duration = Duration::from_secs(12);
/// How long a service may be without a known primary before one is chosen.
const ABSENT: Duration = Duration::from_secs(2);

/// A command to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Command {
    /// Tell role and positions.
    Status,
    /// Receive nothing more until a promotion to this term.
    Pause(u64),
    /// Stop leading if the own term is lower.
    StepDown(u64),
    /// Show that it leads: only a primary begins a transaction that may write.
    Verify,
}

/// What a server says of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Status {
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: u64,
    /// End of the log that it has received, which may not be applied yet.
    pub received: Point,
    /// Term of the pause that it keeps; 0 if it keeps none.
    pub paused: u64,
}

/// Answer of the platform to a promotion.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Promotion {
    /// It takes effect soon, or has.
    Accepted,
    /// The server does not run, or a higher token was seen.
    Refused,
    /// No answer, or not now; it may still be carried out.
    Unknown,
}

/// What the loop has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a command to a server and report its answer.
    Command {
        /// The server.
        id: String,
        /// The command.
        command: Command,
    },
    /// Propose that this server leads.
    Choose {
        /// The server.
        id: String,
    },
    /// Ask the platform to promote a server.
    Promote {
        /// The server.
        id: String,
        /// Fencing token.
        token: u64,
    },
    /// Propose that a promotion has taken effect.
    Confirm {
        /// Its token.
        token: u64,
    },
}

/// What the leader knows of a service's primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It serves.
    Serving,
    /// Nothing can be said yet.
    Unknown,
    /// It can't be used.
    Failed,
}

/// What a step is decided on.
#[derive(Clone, Copy, Debug)]
pub struct Signals {
    /// State of the present primary.
    pub verdict: Verdict,
    /// Highest term that was seen.
    pub term: Option<u64>,
    /// End of the primary's log when it was last seen to lead.
    pub led: Option<Point>,
}

#[derive(Debug)]
enum Phase {
    Steady,
    Gather(Gather),
    /// A choice is proposed.
    Choose {
        /// Token of the choice before; the new one is higher.
        after: u64,
        until: Instant,
    },
    Promote(Promote),
}

#[derive(Debug)]
struct Gather {
    since: Instant,
    /// Term that the new primary would have at least.
    term: Option<u64>,
    /// Answers of paused servers.
    rows: BTreeMap<String, Status>,
    /// Latest command to each server.
    asked: BTreeMap<String, Instant>,
    /// Servers other than the registry's primary that said they lead: the promotion of an earlier
    /// choice was not carried out.
    leading: BTreeSet<String>,
    /// The registry's primary leads no longer by its own word.
    stepped_down: Option<Status>,
}

#[derive(Debug)]
struct Promote {
    id: String,
    token: u64,
    until: Instant,
    /// When the platform is asked next; none while an answer is awaited or once it accepted.
    call_at: Option<Instant>,
    accepted: bool,
    /// It leads; the order that says so is proposed.
    leads: bool,
    verify_at: Instant,
}

/// The machine of one service. All that must survive a change of leader is in the replicated
/// state: a new leader that finds an unconfirmed choice gathers anew under a new token.
#[derive(Debug)]
pub struct Machine {
    service: String,
    phase: Phase,
    absent_since: Option<Instant>,
}

impl Machine {
    /// A machine at the start of a leader.
    #[must_use]
    pub fn new(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            phase: Phase::Steady,
            absent_since: None,
        }
    }

    /// Whether a change is under way.
    #[must_use]
    pub fn is_active(&self) -> bool {
        !matches!(self.phase, Phase::Steady)
    }

    /// Name of the present phase, for logs.
    #[must_use]
    pub fn phase(&self) -> &'static str {
        match self.phase {
            Phase::Steady => "steady",
            Phase::Gather(_) => "gather",
            Phase::Choose { .. } => "choose",
            Phase::Promote(_) => "promote",
        }
    }

    /// Does what is due. `silence` tells how long a server has sent no heartbeat.
    pub fn step(
        &mut self,
        now: Instant,
        registry: &Registry,
        signals: Signals,
        silence: impl Fn(&str) -> Duration,
        out: &mut Vec<Action>,
    ) {
        if matches!(self.phase, Phase::Steady) && self.must_change(now, registry, signals) {
            self.phase = Phase::Gather(Gather::new(now, signals.term));
        }
        match &mut self.phase {
            Phase::Steady => {}
            Phase::Gather(gather) => {
                gather.ask(now, &self.service, registry, out);
                if let Some(id) = gather.choice(now, &self.service, registry, signals.led, silence)
                {
                    let after = registry
                        .leader(&self.service)
                        .map_or(0, |leader| leader.token);
                    out.push(Action::Choose { id });
                    self.phase = Phase::Choose {
                        after,
                        until: now + CHOICE,
                    };
                }
            }
            Phase::Choose { after, until } => match registry.leader(&self.service) {
                Some(leader) if leader.token > *after => {
                    let promote = Promote::new(now, leader.id.clone(), leader.token);
                    self.phase = Phase::Promote(promote);
                    self.step_promotion(now, out);
                }
                _ if *until <= now => {
                    self.phase = Phase::Gather(Gather::new(now, signals.term));
                }
                _ => {}
            },
            Phase::Promote(promote) if promote.is_confirmed(&self.service, registry) => {
                self.phase = Phase::Steady;
            }
            Phase::Promote(promote) if promote.until <= now => {
                self.phase = Phase::Gather(Gather::new(now, None));
            }
            Phase::Promote(_) => self.step_promotion(now, out),
        }
    }

    fn must_change(&mut self, now: Instant, registry: &Registry, signals: Signals) -> bool {
        let Some(primary) = registry.primary(&self.service) else {
            let replicas = registry.members(&self.service).count() > 0;
            let since = *self.absent_since.get_or_insert(now);
            return replicas && now >= since + ABSENT;
        };
        self.absent_since = None;
        let unconfirmed = registry
            .leader(&self.service)
            .is_some_and(|leader| !leader.confirmed);
        let others = || {
            registry
                .members(&self.service)
                .filter(|s| s.id != primary.id)
        };
        let replaceable = primary.draining && others().any(|server| !server.draining);
        let failed = signals.verdict == Verdict::Failed && others().next().is_some();
        unconfirmed || replaceable || failed
    }

    fn step_promotion(&mut self, now: Instant, out: &mut Vec<Action>) {
        let Phase::Promote(promote) = &mut self.phase else {
            return;
        };
        if promote.call_at.is_some_and(|at| at <= now) {
            promote.call_at = None;
            let (id, token) = (promote.id.clone(), promote.token);
            out.push(Action::Promote { id, token });
        }
        if promote.verify_at <= now && !promote.leads {
            promote.verify_at = now + VERIFY;
            let (id, command) = (promote.id.clone(), Command::Verify);
            out.push(Action::Command { id, command });
        }
    }

    /// Takes a server's answer to a command; none if it failed.
    pub fn on_answer(
        &mut self,
        id: &str,
        command: Command,
        status: Option<Status>,
        out: &mut Vec<Action>,
    ) {
        match &mut self.phase {
            Phase::Gather(gather) => gather.on_answer(id, command, status),
            // An answer to an earlier question would do as well: whoever leads does not stop leading
            // but by a later promotion.
            Phase::Promote(promote)
                if command == Command::Verify
                    && promote.id == id
                    && status.is_some()
                    && promote.accepted =>
            {
                promote.leads = true;
                out.push(Action::Confirm {
                    token: promote.token,
                });
            }
            _ => {}
        }
    }

    /// Takes the platform's answer to a promotion.
    pub fn on_promotion(&mut self, now: Instant, token: u64, answer: Promotion) {
        let Phase::Promote(promote) = &mut self.phase else {
            return;
        };
        if promote.token != token {
            return;
        }
        match answer {
            Promotion::Accepted => promote.accepted = true,
            Promotion::Unknown => promote.call_at = Some(now + REPEAT),
            Promotion::Refused => self.phase = Phase::Gather(Gather::new(now, None)),
        }
    }
}

impl Promote {
    fn is_confirmed(&self, service: &str, registry: &Registry) -> bool {
        let leader = registry.leader(service);
        leader.is_some_and(|leader| leader.token == self.token && leader.confirmed)
    }

    fn new(now: Instant, id: String, token: u64) -> Self {
        Self {
            id,
            token,
            until: now + PROMOTION,
            call_at: Some(now),
            accepted: false,
            leads: false,
            verify_at: now + VERIFY,
        }
    }
}

impl Gather {
    fn new(now: Instant, term: Option<u64>) -> Self {
        Self {
            since: now,
            term: term.map(|term| term + 1),
            rows: BTreeMap::new(),
            asked: BTreeMap::new(),
            leading: BTreeSet::new(),
            stepped_down: None,
        }
    }

    fn ask(&mut self, now: Instant, service: &str, registry: &Registry, out: &mut Vec<Action>) {
        let primary = registry.primary(service).map(|server| &server.id);
        for server in registry.members(service) {
            let is_primary = primary == Some(&server.id);
            let done = if is_primary {
                self.stepped_down.is_some()
            } else {
                self.rows.contains_key(&server.id)
            };
            let asked = self.asked.get(&server.id);
            if done || asked.is_some_and(|at| now < *at + REPEAT) {
                continue;
            }
            let command = match self.term {
                None => Command::Status,
                Some(term) if is_primary || self.leading.contains(&server.id) => {
                    Command::StepDown(term)
                }
                Some(term) => Command::Pause(term),
            };
            self.asked.insert(server.id.clone(), now);
            let id = server.id.clone();
            out.push(Action::Command { id, command });
        }
    }

    fn on_answer(&mut self, id: &str, command: Command, status: Option<Status>) {
        let Some(status) = status else {
            return;
        };
        let newest = status.term.max(status.paused);
        match (command, self.term) {
            (Command::Status, None) => self.raise(newest + 1),
            (Command::Status, Some(term)) if term <= status.term => self.raise(newest + 1),
            (Command::Pause(asked), Some(term))
                if asked == term && status.role == Role::Primary && status.term < term =>
            {
                self.leading.insert(id.to_owned());
                self.asked.remove(id);
            }
            // Still to be paused, as a replica.
            (Command::StepDown(asked), Some(term))
                if asked == term && status.role == Role::Replica && self.leading.remove(id) =>
            {
                self.asked.remove(id);
            }
            (Command::Pause(asked), Some(term)) if asked == term => {
                if status.paused >= term && status.term < term {
                    self.rows.insert(id.to_owned(), status);
                } else {
                    self.raise(newest + 1);
                }
            }
            (Command::StepDown(asked), Some(term)) if asked == term => {
                if status.role == Role::Replica {
                    self.stepped_down = Some(status);
                } else if status.term >= term {
                    self.raise(newest + 1);
                }
            }
            _ => {}
        }
    }

    /// Starts again under a higher term.
    fn raise(&mut self, term: u64) {
        self.term = Some(term);
        self.rows.clear();
        self.asked.clear();
        self.stepped_down = None;
    }

    /// The server to promote, once no other one can hold an acknowledged commit that it lacks.
    fn choice(
        &self,
        now: Instant,
        service: &str,
        registry: &Registry,
        led: Option<Point>,
        silence: impl Fn(&str) -> Duration,
    ) -> Option<String> {
        let primary = registry.primary(service);
        if primary.is_some() && self.stepped_down.is_none() && now < self.since + STEP_DOWN {
            return None;
        }
        let is_primary = |server: &&Server| primary.is_some_and(|p| p.id == server.id);
        let replicas = registry.members(service).filter(|s| !is_primary(s));
        let mut awaited = replicas
            .clone()
            .filter(|s| !self.rows.contains_key(&s.id) && silence(&s.id) < LOST);
        let is_complete = awaited.next().is_none();
        let answered = replicas.filter_map(|server| {
            let row = self.rows.get(&server.id)?;
            Some((row.received, server))
        });
        let best = answered.max_by_key(|(point, server)| {
            // Of equals one that stays, and then always the same one.
            let id = std::cmp::Reverse(server.id.clone());
            (point.term, point.lsn, !server.draining, id)
        });
        if is_complete {
            return best.map(|(_, server)| server.id.clone());
        }
        let (end, old) = (self.acknowledged(service, registry, led)?, primary?);
        match best {
            Some((point, server)) if (point.term, point.lsn) >= (end.term, end.lsn) => {
                Some(server.id.clone())
            }
            _ if old.draining || now < self.since + CATCH_UP => None,
            _ => Some(old.id.clone()),
        }
    }

    /// End of the old primary's log, which holds every acknowledged commit once it has stepped down.
    /// While a choice is unconfirmed another server may have led since; and a server that was started
    /// anew under its identity may hold less than it did when it led.
    fn acknowledged(
        &self,
        service: &str,
        registry: &Registry,
        led: Option<Point>,
    ) -> Option<Point> {
        let leader = registry.leader(service);
        let settled = leader.is_none_or(|leader| leader.confirmed);
        let (end, led) = (self.stepped_down?.received, led?);
        let kept = (end.term, end.lsn) >= (led.term, led.lsn);
        (settled && kept).then_some(end)
    }
}

//! Change of primary of one service, as decisions without I/O.
//!
//! Servers acknowledge a commit once one replica has received it, so that only the most advanced of
//! all replicas may lead next. The machine stops every replica from receiving, reads what each has,
//! and only then chooses. Nothing is assumed of orders without an answer: each may run seconds
//! later, and carries a term or a token that makes it harmless then.

mod gather;

use std::time::{Duration, Instant};

use types::Point;
use types::target::Role;

use crate::server::Life;
use crate::state::Registry;
use gather::Gather;

/// Pause before an unanswered command to a server is repeated.
const REPEAT: Duration = Duration::from_millis(600);
/// Pause between two questions whether a promotion has taken effect.
const VERIFY: Duration = Duration::from_millis(120);
/// Time for a choice to be committed.
const CHOICE: Duration = Duration::from_secs(2);
/// Time for a promotion to take effect before everything is gathered anew.
const PROMOTION: Duration = Duration::from_secs(4);
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
    /// An earlier leader's choice is unconfirmed; the server is asked whether it leads already.
    Recheck(Recheck),
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
struct Recheck {
    id: String,
    /// Token of the choice.
    token: u64,
    until: Instant,
    leads: bool,
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
    /// Its last heartbeat before the promotion, if it followed by its own word then.
    followed: Option<Life>,
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
            Phase::Recheck(_) => "recheck",
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
            self.begin(now, registry, signals, out);
        }
        match &mut self.phase {
            Phase::Steady => {}
            // It has every commit that it or an earlier primary acknowledged. Its promotion needs a token
            // of this leader, under which no late order of an earlier one is carried out.
            Phase::Recheck(recheck) if recheck.leads => {
                let (id, after) = (recheck.id.clone(), recheck.token);
                out.push(Action::Choose { id });
                self.phase = Phase::Choose {
                    after,
                    until: now + CHOICE,
                };
            }
            Phase::Recheck(recheck) if recheck.until <= now => {
                self.phase = Phase::Gather(Gather::new(now, signals.term));
            }
            Phase::Recheck(_) => {}
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
                    let promote = Promote::new(now, leader.id.clone(), leader.token, registry);
                    self.phase = Phase::Promote(promote);
                    self.step_promotion(now, registry, out);
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
            Phase::Promote(_) => self.step_promotion(now, registry, out),
        }
    }

    fn begin(
        &mut self,
        now: Instant,
        registry: &Registry,
        signals: Signals,
        out: &mut Vec<Action>,
    ) {
        let unconfirmed = registry.leader(&self.service).filter(|it| !it.confirmed);
        let server = unconfirmed.and_then(|leader| Some((leader, registry.server(&leader.id)?)));
        let Some((leader, _)) = server.filter(|(_, server)| !server.draining) else {
            self.phase = Phase::Gather(Gather::new(now, signals.term));
            return;
        };
        let (id, command) = (leader.id.clone(), Command::Verify);
        out.push(Action::Command { id, command });
        self.phase = Phase::Recheck(Recheck {
            id: leader.id.clone(),
            token: leader.token,
            until: now + REPEAT,
            leads: false,
        });
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

    fn step_promotion(&mut self, now: Instant, registry: &Registry, out: &mut Vec<Action>) {
        let Phase::Promote(promote) = &mut self.phase else {
            return;
        };
        if promote.accepted && !promote.leads && promote.is_announced(registry) {
            promote.leads = true;
            let token = promote.token;
            out.push(Action::Confirm { token });
        }
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
            Phase::Recheck(recheck) if command == Command::Verify && recheck.id == id => {
                recheck.leads |= status.is_some();
            }
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

    /// Whether the server has said since that it leads. A server that callers press answers no
    /// question for a while, but tells of its new role at once.
    fn is_announced(&self, registry: &Registry) -> bool {
        let (Some(followed), Some(server)) = (self.followed, registry.server(&self.id)) else {
            return false;
        };
        server.role == Role::Primary
            && server.life.born == followed.born
            && server.life.sequence > followed.sequence
    }

    fn new(now: Instant, id: String, token: u64, registry: &Registry) -> Self {
        let server = registry.server(&id);
        let follower = server.filter(|server| server.role == Role::Replica);
        Self {
            followed: follower.map(|server| server.life),
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

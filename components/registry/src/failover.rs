//! Failover and planned switch of the primary of one service, as decisions without I/O.
//!
//! Servers acknowledge a commit once one replica has received it, so only the most advanced of all
//! replicas may become primary. The state machine pauses replication on every replica, reads the
//! positions, and only then chooses. A command without an answer may still run seconds later; it
//! carries a term or a token that makes it harmless by then.

mod action;
mod gather;
mod promote;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::history::{History, Lifetime};
use crate::state::Registry;
pub use action::{Action, Command, Cover, Promotion, Signals, Status, Verdict};
use gather::{Choice, Gather};
use promote::{Promote, VERIFY_INTERVAL};

/// Delay before an unanswered command is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(600);
/// Time limit for the commit of a choice.
const CHOICE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a service may have no known primary before one is chosen.
const NO_PRIMARY_GRACE: Duration = Duration::from_secs(2);

#[derive(Debug)]
enum Phase {
    Steady,
    /// The choice of an earlier leader is unconfirmed; checks whether that server is already
    /// primary.
    Recheck(Recheck),
    /// Pauses all replicas and reads their positions.
    Gather(Gather),
    /// A choice is proposed but not committed yet.
    Choose {
        /// Token of the previous choice; that of the new one is higher.
        previous_token: u64,
        /// The lives on whose logs and pauses the choice rests; none if the server leads already.
        proof: BTreeSet<Lifetime>,
        /// The registered lives at that time.
        lives: BTreeSet<Lifetime>,
        deadline: Instant,
    },
    Promote(Promote),
}

#[derive(Debug)]
struct Recheck {
    id: String,
    /// Fencing token of the choice.
    token: u64,
    deadline: Instant,
    /// It proved to be the primary.
    is_primary: bool,
}

/// Failover state machine of one service, run by the leading coordinator.
///
/// Everything that must survive the loss of this coordinator is in the replicated state: a new
/// leader that finds an unconfirmed choice makes a new one under a new token.
#[derive(Debug)]
pub struct Machine {
    service: String,
    phase: Phase,
    no_primary_since: Option<Instant>,
    /// When the last cover was proposed.
    cover_proposed_at: Option<Instant>,
}

impl Machine {
    #[must_use]
    pub fn new(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            phase: Phase::Steady,
            no_primary_since: None,
            cover_proposed_at: None,
        }
    }

    /// Whether a failover or switch is in progress.
    #[must_use]
    pub fn is_active(&self) -> bool {
        !matches!(self.phase, Phase::Steady)
    }

    /// Name of the current phase, for logs.
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

    /// Whether a server may join the service, or one that has restarted join it again. Not between a
    /// choice and its promotion: it would receive commits of the old primary, which the chosen server
    /// lacks.
    #[must_use]
    pub fn admits_servers(&self) -> bool {
        !matches!(self.phase, Phase::Choose { .. } | Phase::Promote(_))
    }

    /// Whether commits of the primary may be passed on to callers. Not during a change: a server that
    /// the choice does not count may acknowledge them, and the chosen server would lack them.
    #[must_use]
    pub fn admits_commits(&self) -> bool {
        matches!(self.phase, Phase::Steady)
    }

    /// Ids of the servers that keep a change of primary waiting: their answer, or that of the old
    /// primary, is needed to know which commits were acknowledged. `None` if no choice is due; empty
    /// if only the old primary, or a server that is not registered, can have the commits.
    #[must_use]
    pub fn missing(
        &self,
        registry: &Registry,
        is_identified: impl Fn(&str) -> bool,
    ) -> Option<Vec<String>> {
        match &self.phase {
            Phase::Gather(gather) => Some(gather.missing(&self.service, registry, is_identified)),
            _ => None,
        }
    }

    /// Appends the actions that are due to `actions`. `is_identified` tells whether the connection to
    /// a server is known to lead to its registered life.
    pub fn step(
        &mut self,
        now: Instant,
        registry: &Registry,
        signals: Signals,
        is_identified: impl Fn(&str) -> bool,
        actions: &mut Vec<Action>,
    ) {
        if matches!(self.phase, Phase::Steady | Phase::Gather(_)) {
            self.cover_departures(now, registry, signals, actions);
        }
        let least_term = least_term(&self.service, registry);
        if matches!(self.phase, Phase::Steady) && self.is_change_needed(now, registry, signals) {
            self.begin_change(now, registry, signals, actions);
        }
        match &mut self.phase {
            Phase::Steady => {}
            // A primary has every acknowledged commit. It is promoted again under a token of this
            // leader, so that delayed promotions of an earlier leader are refused.
            Phase::Recheck(recheck) if recheck.is_primary => {
                let (id, previous_token) = (recheck.id.clone(), recheck.token);
                actions.push(Action::Choose { id, cover: None });
                self.phase = Phase::Choose {
                    previous_token,
                    proof: BTreeSet::new(),
                    lives: lives_of(&self.service, registry),
                    deadline: now + CHOICE_TIMEOUT,
                };
            }
            Phase::Recheck(recheck) if recheck.deadline <= now => {
                self.phase = Phase::Gather(Gather::new(now, signals.term, least_term));
            }
            Phase::Recheck(_) => {}
            Phase::Gather(gather) => {
                gather.identify(&self.service, registry, &is_identified);
                gather.send_commands(now, &self.service, registry, actions);
                let choice = gather.choose(now, &self.service, registry, signals, is_identified);
                if let Some(Choice { id, lives, cover }) = choice {
                    let previous_token = registry
                        .chosen_primary(&self.service)
                        .map_or(0, |chosen| chosen.token);
                    let cover = Some(cover);
                    actions.push(Action::Choose { id, cover });
                    self.phase = Phase::Choose {
                        previous_token,
                        proof: lives,
                        lives: lives_of(&self.service, registry),
                        deadline: now + CHOICE_TIMEOUT,
                    };
                }
            }
            Phase::Choose {
                previous_token,
                proof,
                lives,
                deadline,
            } => match registry.chosen_primary(&self.service) {
                // A registration was under way when the choice was made.
                Some(chosen)
                    if chosen.token > *previous_token
                        && !lives_of(&self.service, registry).is_subset(lives) =>
                {
                    self.phase = Phase::Gather(Gather::new(now, signals.term, least_term));
                }
                Some(chosen) if chosen.token > *previous_token => {
                    let proof = std::mem::take(proof);
                    let promote = Promote::new(now, chosen, proof, registry);
                    self.phase = Phase::Promote(promote);
                    self.step_promotion(now, registry, signals.term, is_identified, actions);
                }
                _ if *deadline <= now => {
                    self.phase = Phase::Gather(Gather::new(now, signals.term, least_term));
                }
                _ => {}
            },
            Phase::Promote(promote) if promote.is_confirmed(&self.service, registry) => {
                self.phase = Phase::Steady;
            }
            Phase::Promote(promote) if promote.deadline <= now => {
                self.phase = Phase::Gather(Gather::new(now, None, least_term));
            }
            Phase::Promote(_) => {
                self.step_promotion(now, registry, signals.term, is_identified, actions);
            }
        }
    }

    /// Proposes the end of the log of a primary that leads as a bound of the acknowledged commits, if
    /// servers have departed since the last one. The remaining replicas can then be relied on again.
    fn cover_departures(
        &mut self,
        now: Instant,
        registry: &Registry,
        signals: Signals,
        actions: &mut Vec<Action>,
    ) {
        let departed = registry
            .history(&self.service)
            .and_then(History::last_departure);
        let (Some(until), Some(point)) = (departed, signals.last_led_point) else {
            return;
        };
        let is_confirmed = registry
            .chosen_primary(&self.service)
            .is_none_or(|chosen| chosen.confirmed);
        let is_pending = self
            .cover_proposed_at
            .is_some_and(|at| now < at + RETRY_INTERVAL);
        if is_confirmed && signals.led_after_departures && !is_pending {
            self.cover_proposed_at = Some(now);
            let term = point.term.0;
            actions.push(Action::Cover(Cover { until, point, term }));
        }
    }

    fn begin_change(
        &mut self,
        now: Instant,
        registry: &Registry,
        signals: Signals,
        actions: &mut Vec<Action>,
    ) {
        let unconfirmed = registry
            .chosen_primary(&self.service)
            .filter(|chosen| !chosen.confirmed);
        let least_term = least_term(&self.service, registry);
        let candidate = unconfirmed.and_then(|chosen| Some((chosen, registry.server(&chosen.id)?)));
        let Some((chosen, _)) = candidate.filter(|(_, server)| !server.draining) else {
            self.phase = Phase::Gather(Gather::new(now, signals.term, least_term));
            return;
        };
        let (id, command) = (chosen.id.clone(), Command::Verify);
        actions.push(Action::Command { id, command });
        self.phase = Phase::Recheck(Recheck {
            id: chosen.id.clone(),
            token: chosen.token,
            deadline: now + RETRY_INTERVAL,
            is_primary: false,
        });
    }

    fn is_change_needed(&mut self, now: Instant, registry: &Registry, signals: Signals) -> bool {
        let Some(primary) = registry.primary(&self.service) else {
            let has_servers = registry.servers_of(&self.service).count() > 0;
            let since = *self.no_primary_since.get_or_insert(now);
            return has_servers && now >= since + NO_PRIMARY_GRACE;
        };
        self.no_primary_since = None;
        let unconfirmed = registry
            .chosen_primary(&self.service)
            .is_some_and(|chosen| !chosen.confirmed);
        let others = || {
            registry
                .servers_of(&self.service)
                .filter(|server| server.id != primary.id)
        };
        let replace_draining = primary.draining && others().any(|server| !server.draining);
        let failed = signals.verdict == Verdict::Failed && others().next().is_some();
        unconfirmed || replace_draining || failed
    }

    fn step_promotion(
        &mut self,
        now: Instant,
        registry: &Registry,
        term: Option<u64>,
        is_identified: impl Fn(&str) -> bool,
        actions: &mut Vec<Action>,
    ) {
        let least_term = least_term(&self.service, registry);
        let Phase::Promote(promote) = &mut self.phase else {
            return;
        };
        let is_due = promote.call_at.is_some_and(|at| at <= now);
        if is_due && !promote.is_proved(registry, is_identified) {
            self.phase = Phase::Gather(Gather::new(now, term, least_term));
            return;
        }
        if promote.accepted && !promote.is_primary && promote.has_reported_primary(registry) {
            promote.is_primary = true;
            let token = promote.token;
            actions.push(Action::Confirm { token });
        }
        if is_due {
            promote.call_at = None;
            let (id, token) = (promote.id.clone(), promote.token);
            actions.push(Action::Promote { id, token });
        }
        if promote.verify_at <= now && !promote.is_primary {
            promote.verify_at = now + VERIFY_INTERVAL;
            let (id, command) = (promote.id.clone(), Command::Verify);
            actions.push(Action::Command { id, command });
        }
    }

    /// Handles a server's answer to a command; `None` if the command failed.
    pub fn on_answer(
        &mut self,
        id: &str,
        command: Command,
        status: Option<Status>,
        actions: &mut Vec<Action>,
    ) {
        match &mut self.phase {
            Phase::Gather(gather) => gather.on_answer(id, command, status),
            Phase::Recheck(recheck) if command == Command::Verify && recheck.id == id => {
                recheck.is_primary |= status.is_some();
            }
            // An answer to an earlier command is as good: a primary keeps its role until a later
            // promotion.
            Phase::Promote(promote)
                if command == Command::Verify
                    && promote.id == id
                    && status.is_some()
                    && promote.accepted =>
            {
                promote.is_primary = true;
                actions.push(Action::Confirm {
                    token: promote.token,
                });
            }
            _ => {}
        }
    }

    /// Handles the platform's reply to a promotion request.
    pub fn on_promotion(
        &mut self,
        now: Instant,
        token: u64,
        reply: Promotion,
        registry: &Registry,
    ) {
        let least_term = least_term(&self.service, registry);
        let Phase::Promote(promote) = &mut self.phase else {
            return;
        };
        if promote.token != token {
            return;
        }
        match reply {
            Promotion::Accepted => promote.accepted = true,
            Promotion::Unknown => promote.call_at = Some(now + RETRY_INTERVAL),
            Promotion::Refused => self.phase = Phase::Gather(Gather::new(now, None, least_term)),
        }
    }
}

/// Least term for which a pause keeps a replica from receiving from any primary so far.
fn least_term(service: &str, registry: &Registry) -> u64 {
    let history = registry.history(service);
    history.map_or(0, |history| history.term() + 1)
}

fn lives_of(service: &str, registry: &Registry) -> BTreeSet<Lifetime> {
    let servers = registry.servers_of(service);
    servers.map(Lifetime::of).collect()
}

//! Pauses all replicas of a service, reads their positions and chooses the server to promote.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use types::Point;
use types::target::Role;

use super::{Action, Command, Cover, RETRY_INTERVAL, Signals, Status};
use crate::history::{Lifetime, is_at_or_past};
use crate::server::Server;
use crate::state::Registry;

/// How long to wait for the old primary to step down; it answers at once if it is reachable.
const STEP_DOWN_TIMEOUT: Duration = Duration::from_millis(400);
/// How long to wait for an up-to-date replica before the stepped-down primary is promoted again.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug)]
pub(super) struct Gather {
    started_at: Instant,
    /// Term for which replicas are paused; `None` until a server has reported its term.
    term: Option<u64>,
    /// Least term for which a pause keeps a replica from receiving.
    least_term: u64,
    /// Statuses of the paused lives. Those of lives that have ended since are kept: what they had
    /// received may be acknowledged.
    paused: BTreeMap<Lifetime, Status>,
    /// Those of them whose statuses are known to be theirs: their connections were identified
    /// afterwards, while they were registered.
    identified: BTreeSet<Lifetime>,
    /// The latest command to each server.
    asked: BTreeMap<String, Asked>,
    /// Servers other than the registry's primary that report being primary: the promotion of an
    /// earlier choice was not carried out.
    other_primaries: BTreeSet<String>,
    /// The registry's primary, once it has reported to be a replica.
    stepped_down: Option<SteppedDown>,
    /// Highest term that a server has reported.
    seen_term: u64,
}

#[derive(Debug)]
struct SteppedDown {
    life: Lifetime,
    /// End of its log.
    end: Point,
}

#[derive(Debug)]
struct Asked {
    /// Start of the registered life at that time.
    born: u64,
    at: Instant,
}

/// The server to promote, and the end of its log.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    server: &'a Server,
    end: Point,
}

/// The server to promote, with the proof that it has every acknowledged commit.
#[derive(Debug)]
pub(super) struct Choice {
    pub id: String,
    /// The lives on whose logs and pauses the proof rests.
    pub lives: BTreeSet<Lifetime>,
    pub cover: Cover,
}

impl Gather {
    pub(super) fn new(now: Instant, term: Option<u64>, least_term: u64) -> Self {
        Self {
            started_at: now,
            term: term.map(|term| least_term.max(term + 1)),
            least_term,
            paused: BTreeMap::new(),
            identified: BTreeSet::new(),
            asked: BTreeMap::new(),
            other_primaries: BTreeSet::new(),
            stepped_down: None,
            seen_term: 0,
        }
    }

    pub(super) fn send_commands(
        &mut self,
        now: Instant,
        service: &str,
        registry: &Registry,
        actions: &mut Vec<Action>,
    ) {
        let primary = registry.last_primary(service).map(|server| &server.id);
        for server in registry.servers_of(service) {
            let is_primary = primary == Some(&server.id);
            let done = if is_primary {
                let stepped_down = self.stepped_down.as_ref();
                stepped_down.is_some_and(|old| old.life == Lifetime::of(server))
            } else {
                self.paused.contains_key(&Lifetime::of(server))
            };
            let born = server.life.born;
            let asked = self.asked.get(&server.id);
            let is_waiting =
                asked.is_some_and(|asked| asked.born == born && now < asked.at + RETRY_INTERVAL);
            if done || is_waiting {
                continue;
            }
            let command = match self.term {
                None => Command::Status,
                Some(term) if is_primary || self.other_primaries.contains(&server.id) => {
                    Command::StepDown(term)
                }
                Some(term) => Command::Pause(term),
            };
            let id = server.id.clone();
            self.asked.insert(id.clone(), Asked { born, at: now });
            actions.push(Action::Command { id, command });
        }
    }

    pub(super) fn on_answer(&mut self, id: &str, command: Command, status: Option<Status>) {
        let Some(status) = status else {
            return;
        };
        let newest = status.term.max(status.paused);
        let is_later_term = status.term > self.seen_term;
        self.seen_term = self.seen_term.max(status.term);
        if is_later_term && (!self.paused.is_empty() || self.stepped_down.is_some()) {
            // A promotion of an earlier choice was carried out late. It may have ended the pauses.
            return self.restart(newest + 1);
        }
        match (command, self.term) {
            (Command::Status, None) => self.restart(newest + 1),
            (Command::Status, Some(term)) if term <= status.term => self.restart(newest + 1),
            (Command::Pause(sent_term), Some(term))
                if sent_term == term && status.role == Role::Primary && status.term < term =>
            {
                self.other_primaries.insert(id.to_owned());
                self.asked.remove(id);
            }
            // It is now a replica and still has to be paused.
            (Command::StepDown(sent_term), Some(term))
                if sent_term == term
                    && status.role == Role::Replica
                    && self.other_primaries.remove(id) =>
            {
                self.asked.remove(id);
            }
            (Command::Pause(sent_term), Some(term)) if sent_term == term => {
                if status.paused >= term && status.term < term {
                    self.record_paused(id, status);
                } else {
                    self.restart(newest + 1);
                }
            }
            (Command::StepDown(sent_term), Some(term)) if sent_term == term => {
                if status.role == Role::Replica {
                    self.record_stepped_down(id, status);
                } else if status.term >= term {
                    self.restart(newest + 1);
                }
            }
            _ => {}
        }
    }

    fn record_paused(&mut self, id: &str, status: Status) {
        if let Some(life) = self.asked_life(id) {
            self.paused.insert(life, status);
        }
    }

    fn record_stepped_down(&mut self, id: &str, status: Status) {
        if let Some(life) = self.asked_life(id) {
            let end = status.received;
            // A later life with less has lost its log.
            let is_less = |old: &SteppedDown| !is_at_or_past(end, old.end);
            if !self.stepped_down.as_ref().is_some_and(is_less) {
                self.stepped_down = Some(SteppedDown { life, end });
            }
        }
    }

    /// The life to which the latest command to a server was sent.
    fn asked_life(&self, id: &str) -> Option<Lifetime> {
        let born = self.asked.get(id)?.born;
        let id = id.to_owned();
        Some(Lifetime { id, born })
    }

    /// Starts over with a higher term.
    fn restart(&mut self, term: u64) {
        self.term = Some(self.least_term.max(term));
        self.paused.clear();
        self.identified.clear();
        self.asked.clear();
        self.stepped_down = None;
    }

    /// Notes which statuses are those of the registered lives. Has to be called after each answer and
    /// before the registry changes.
    pub(super) fn identify(
        &mut self,
        service: &str,
        registry: &Registry,
        is_identified: impl Fn(&str) -> bool,
    ) {
        for server in registry.servers_of(service) {
            let life = Lifetime::of(server);
            if self.paused.contains_key(&life) && is_identified(&server.id) {
                self.identified.insert(life);
            }
        }
    }

    /// The server to promote, once it is proved that no other server can have an acknowledged commit
    /// that it lacks. `docs/promises.md` has the proof. `is_identified` tells whether the connection
    /// to a server is known to lead to its registered life.
    pub(super) fn choose(
        &self,
        now: Instant,
        service: &str,
        registry: &Registry,
        signals: Signals,
        is_identified: impl Fn(&str) -> bool,
    ) -> Option<Choice> {
        let primary = registry.last_primary(service);
        if primary.is_some()
            && self.stepped_down.is_none()
            && now < self.started_at + STEP_DOWN_TIMEOUT
        {
            return None;
        }
        let best = self.best_replica(service, registry, &is_identified);
        let stepped_down = self.stepped_down(service, registry, signals.last_led_point);
        // While a choice is unconfirmed, another server may have been primary since, and the chosen
        // one is like a replica.
        let is_confirmed = is_confirmed(service, registry);
        let word = stepped_down.filter(|_| is_confirmed);
        let old = stepped_down.filter(|old| {
            let life = self.stepped_down.as_ref().map(|old| &old.life);
            life == Some(&Lifetime::of(old.server)) && is_identified(&old.server.id)
        });
        let ahead = old.filter(|old| best.is_none_or(|best| !is_at_or_past(best.end, old.end)));
        let top = ahead.or(best);
        let is_complete = self.is_complete(service, registry, top, stepped_down, &is_identified);
        let chosen = if is_complete {
            top
        } else {
            // Once the primary has stepped down, its log has every acknowledged commit, whatever
            // servers have received.
            let word = word.filter(|_| signals.last_led_point.is_some())?;
            let caught_up = best.filter(|best| is_at_or_past(best.end, word.end));
            let may_return = !word.server.draining && now >= self.started_at + CATCH_UP_TIMEOUT;
            caught_up.or(old.filter(|_| may_return))
        }?;
        // A server that is not registered may have acknowledged commits alone.
        let known = [
            floor(service, registry),
            signals.watermark.unwrap_or_default(),
        ];
        let has_all = known
            .into_iter()
            .all(|point| is_at_or_past(chosen.end, point));
        let mut lives = BTreeSet::from([Lifetime::of(chosen.server)]);
        if is_complete {
            lives.extend(replicas(service, registry).map(Lifetime::of));
        }
        has_all.then(|| Choice {
            id: chosen.server.id.clone(),
            lives,
            cover: Cover {
                until: registry.revision(),
                point: chosen.end,
                term: self.term.unwrap_or_default(),
            },
        })
    }

    /// The most advanced of the paused replicas.
    fn best_replica<'a>(
        &self,
        service: &'a str,
        registry: &'a Registry,
        is_identified: &impl Fn(&str) -> bool,
    ) -> Option<Candidate<'a>> {
        let paused = replicas(service, registry).filter_map(|server| {
            let status = self.paused.get(&Lifetime::of(server))?;
            let end = status.received;
            is_identified(&server.id).then_some(Candidate { server, end })
        });
        paused.max_by_key(|Candidate { server, end }| {
            // Among equals a server that is not draining, then the lowest id.
            let id = std::cmp::Reverse(server.id.clone());
            (end.term, end.lsn, !server.draining, id)
        })
    }

    /// The registry's primary, if it has stepped down and has the log that it led with. If its choice
    /// is confirmed, no server has an acknowledged commit that it lacks.
    fn stepped_down<'a>(
        &self,
        service: &'a str,
        registry: &'a Registry,
        last_led_point: Option<Point>,
    ) -> Option<Candidate<'a>> {
        let SteppedDown { life, end } = self.stepped_down.as_ref()?;
        let known = [floor(service, registry), last_led_point.unwrap_or_default()];
        let has_all = known.into_iter().all(|point| is_at_or_past(*end, point));
        let server = registry.last_primary(service)?;
        (server.id == life.id && has_all).then_some(Candidate { server, end: *end })
    }

    /// Whether `top`, the most advanced server that has answered, has every acknowledged commit: all
    /// replicas are paused, and those that have departed since the last floor were paused as well, or
    /// all servers that may have led have answered, which have what any replica may have had.
    fn is_complete(
        &self,
        service: &str,
        registry: &Registry,
        top: Option<Candidate<'_>>,
        old: Option<Candidate<'_>>,
        is_identified: &impl Fn(&str) -> bool,
    ) -> bool {
        let is_paused = |server: &Server| {
            self.paused.contains_key(&Lifetime::of(server)) && is_identified(&server.id)
        };
        let ends = self.paused.values().map(|status| status.received);
        let has_received = |top: Candidate<'_>| {
            let old_end = old.map(|old| old.end);
            ends.chain(old_end).all(|end| is_at_or_past(top.end, end))
        };
        replicas(service, registry).all(is_paused)
            && top.is_some_and(has_received)
            && (self.unknown_departures(service, registry).next().is_none()
                || self.have_leaders_answered(service, registry, old))
    }

    /// Whether every server that may have led since a choice was last confirmed has answered.
    fn have_leaders_answered(
        &self,
        service: &str,
        registry: &Registry,
        old: Option<Candidate<'_>>,
    ) -> bool {
        // A chosen server that lacks the floor has restarted without leading: a primary keeps its log.
        let stepped_down = self.stepped_down.as_ref().map(|old| old.life.id.as_str());
        let stepped_down =
            stepped_down.filter(|_| old.is_some() || !is_confirmed(service, registry));
        let has_answered = |id: &str| {
            let server = registry.server(id);
            let is_paused =
                server.is_some_and(|server| self.paused.contains_key(&Lifetime::of(server)));
            stepped_down == Some(id) || is_paused
        };
        let history = registry.history(service);
        history.is_some_and(|history| history.leaders().all(has_answered))
    }

    /// Departed lives that were not paused before, so that their logs are unknown.
    fn unknown_departures<'a>(
        &'a self,
        service: &str,
        registry: &'a Registry,
    ) -> impl Iterator<Item = &'a Lifetime> {
        let departures = registry.history(service).into_iter();
        let departures = departures.flat_map(|history| history.departures());
        departures.filter(|life| !self.identified.contains(*life))
    }

    /// Ids of the servers without whose answer, or that of the primary, no choice can be proved.
    pub(super) fn missing(
        &self,
        service: &str,
        registry: &Registry,
        is_identified: impl Fn(&str) -> bool,
    ) -> Vec<String> {
        let unpaused = replicas(service, registry).filter(|server| {
            !self.paused.contains_key(&Lifetime::of(server)) || !is_identified(&server.id)
        });
        let departed = self.unknown_departures(service, registry);
        let departed = departed.map(|life| life.id.clone());
        unpaused
            .map(|server| server.id.clone())
            .chain(departed)
            .collect()
    }
}

fn replicas<'a>(service: &'a str, registry: &'a Registry) -> impl Iterator<Item = &'a Server> {
    let primary = registry
        .last_primary(service)
        .map(|server| server.id.as_str());
    let servers = registry.servers_of(service);
    servers.filter(move |server| Some(server.id.as_str()) != primary)
}

fn is_confirmed(service: &str, registry: &Registry) -> bool {
    let chosen = registry.chosen_primary(service);
    chosen.is_none_or(|chosen| chosen.confirmed)
}

fn floor(service: &str, registry: &Registry) -> Point {
    let history = registry.history(service);
    history.map_or_else(Point::default, |history| history.floor())
}

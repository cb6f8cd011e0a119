//! Pauses all replicas of a service, reads their positions and chooses the server to promote.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use types::Point;
use types::target::Role;

use super::{Action, Command, Cover, RETRY_INTERVAL, Signals, Status};
use crate::history::{Departure, is_at_or_past};
use crate::server::Server;
use crate::state::Registry;

/// How long to wait for the old primary to step down; it answers at once if it is reachable.
const STEP_DOWN_TIMEOUT: Duration = Duration::from_millis(400);
/// How long to wait for an up-to-date replica before the stepped-down primary is promoted again.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug)]
pub(super) struct Gather {
    started_at: Instant,
    /// Lowest term of the new primary; `None` until a server has reported its term.
    term: Option<u64>,
    /// Statuses of the paused lives. Those of lives that have ended since are kept: what they had
    /// received may be acknowledged.
    paused: BTreeMap<Departure, Status>,
    /// The latest command to each server.
    asked: BTreeMap<String, Asked>,
    /// Servers other than the registry's primary that report being primary: the promotion of an
    /// earlier choice was not carried out.
    other_primaries: BTreeSet<String>,
    /// Status of the registry's primary once it has reported to be a replica.
    stepped_down: Option<Status>,
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
    pub cover: Cover,
}

fn life_of(server: &Server) -> Departure {
    Departure {
        id: server.id.clone(),
        born: server.life.born,
    }
}

impl Gather {
    pub(super) fn new(now: Instant, term: Option<u64>) -> Self {
        Self {
            started_at: now,
            term: term.map(|term| term + 1),
            paused: BTreeMap::new(),
            asked: BTreeMap::new(),
            other_primaries: BTreeSet::new(),
            stepped_down: None,
        }
    }

    pub(super) fn send_commands(
        &mut self,
        now: Instant,
        service: &str,
        registry: &Registry,
        actions: &mut Vec<Action>,
    ) {
        let primary = registry.primary(service).map(|server| &server.id);
        for server in registry.servers_of(service) {
            let is_primary = primary == Some(&server.id);
            let done = if is_primary {
                self.stepped_down.is_some()
            } else {
                self.paused.contains_key(&life_of(server))
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
                    self.stepped_down = Some(status);
                } else if status.term >= term {
                    self.restart(newest + 1);
                }
            }
            _ => {}
        }
    }

    fn record_paused(&mut self, id: &str, status: Status) {
        let Some(asked) = self.asked.get(id) else {
            return;
        };
        let life = Departure {
            id: id.to_owned(),
            born: asked.born,
        };
        self.paused.insert(life, status);
    }

    /// Starts over with a higher term.
    fn restart(&mut self, term: u64) {
        self.term = Some(term);
        self.paused.clear();
        self.asked.clear();
        self.stepped_down = None;
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
        let primary = registry.primary(service);
        if primary.is_some()
            && self.stepped_down.is_none()
            && now < self.started_at + STEP_DOWN_TIMEOUT
        {
            return None;
        }
        let best = self.best_replica(service, registry, &is_identified);
        let old = self.old_primary(service, registry, signals.last_led_point);
        let chosen = if self.is_complete(service, registry, old, &is_identified) {
            let ahead = old.filter(|old| best.is_none_or(|best| !is_at_or_past(best.end, old.end)));
            ahead.or(best)
        } else {
            // Once the primary has stepped down, its log has every acknowledged commit, whatever
            // servers have received.
            let old = old.filter(|_| signals.last_led_point.is_some())?;
            let caught_up = best.filter(|best| is_at_or_past(best.end, old.end));
            let may_return = !old.server.draining && now >= self.started_at + CATCH_UP_TIMEOUT;
            caught_up.or(may_return.then_some(old))
        }?;
        let has_all = is_at_or_past(chosen.end, floor(service, registry));
        has_all.then(|| Choice {
            id: chosen.server.id.clone(),
            cover: Cover {
                until: registry.revision(),
                point: chosen.end,
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
            let status = self.paused.get(&life_of(server))?;
            let end = status.received;
            is_identified(&server.id).then_some(Candidate { server, end })
        });
        paused.max_by_key(|Candidate { server, end }| {
            // Among equals a server that is not draining, then the lowest id.
            let id = std::cmp::Reverse(server.id.clone());
            (end.term, end.lsn, !server.draining, id)
        })
    }

    /// The old primary, if it has stepped down and has the log that it led with: then no server has
    /// an acknowledged commit that it lacks. Not while a choice is unconfirmed, as another server may
    /// have been primary since.
    fn old_primary<'a>(
        &self,
        service: &'a str,
        registry: &'a Registry,
        last_led_point: Option<Point>,
    ) -> Option<Candidate<'a>> {
        let chosen = registry.chosen_primary(service);
        let is_confirmed = chosen.is_none_or(|chosen| chosen.confirmed);
        let end = self.stepped_down?.received;
        let known = [floor(service, registry), last_led_point.unwrap_or_default()];
        let has_all = known.into_iter().all(|point| is_at_or_past(end, point));
        let server = registry.primary(service)?;
        (is_confirmed && has_all).then_some(Candidate { server, end })
    }

    /// Whether the paused replicas, or they and the old primary, hold every acknowledged commit: all
    /// replicas are paused, and those that have departed since the last floor were paused as well, or
    /// the old primary has what they may have had.
    fn is_complete(
        &self,
        service: &str,
        registry: &Registry,
        old: Option<Candidate<'_>>,
        is_identified: &impl Fn(&str) -> bool,
    ) -> bool {
        let is_paused = |server: &Server| {
            self.paused.contains_key(&life_of(server)) && is_identified(&server.id)
        };
        if !replicas(service, registry).all(is_paused) {
            return false;
        }
        let received = |point: Point| {
            let mut ends = self.paused.values().map(|status| status.received);
            ends.all(|end| is_at_or_past(point, end))
        };
        let old_has_all = old.is_some_and(|old| received(old.end));
        let best = self.best_replica(service, registry, is_identified);
        let best_has_all = best.is_some_and(|best| received(best.end));
        old_has_all || (best_has_all && self.unknown_departures(service, registry).next().is_none())
    }

    /// Departed lives that were not paused before, so that their logs are unknown.
    fn unknown_departures<'a>(
        &'a self,
        service: &str,
        registry: &'a Registry,
    ) -> impl Iterator<Item = &'a Departure> {
        let departures = registry.history(service).into_iter();
        let departures = departures.flat_map(|history| history.departures());
        departures.filter(|life| !self.paused.contains_key(*life))
    }

    /// Ids of the servers without whose answer, or that of the primary, no choice can be proved.
    pub(super) fn missing(
        &self,
        service: &str,
        registry: &Registry,
        is_identified: impl Fn(&str) -> bool,
    ) -> Vec<String> {
        let unpaused = replicas(service, registry).filter(|server| {
            !self.paused.contains_key(&life_of(server)) || !is_identified(&server.id)
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
    let primary = registry.primary(service).map(|server| server.id.as_str());
    let servers = registry.servers_of(service);
    servers.filter(move |server| Some(server.id.as_str()) != primary)
}

fn floor(service: &str, registry: &Registry) -> Point {
    let history = registry.history(service);
    history.map_or_else(Point::default, |history| history.floor())
}

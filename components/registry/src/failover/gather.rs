//! The part of a change in which every replica is stopped and read, up to the choice.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use types::Point;
use types::target::Role;

use super::{Action, Command, REPEAT, Status};
use crate::server::Server;
use crate::state::Registry;

/// How long the old primary is waited for; it answers at once if it can be reached.
const STEP_DOWN: Duration = Duration::from_millis(400);
/// Silence after which a replica counts as lost for good. A partition is over before.
const LOST: Duration = Duration::from_secs(12);
/// How long a replica is waited for before the old primary, which has stepped down, leads again.
const CATCH_UP: Duration = Duration::from_secs(1);

#[derive(Debug)]
pub(super) struct Gather {
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

impl Gather {
    pub(super) fn new(now: Instant, term: Option<u64>) -> Self {
        Self {
            since: now,
            term: term.map(|term| term + 1),
            rows: BTreeMap::new(),
            asked: BTreeMap::new(),
            leading: BTreeSet::new(),
            stepped_down: None,
        }
    }

    pub(super) fn ask(
        &mut self,
        now: Instant,
        service: &str,
        registry: &Registry,
        out: &mut Vec<Action>,
    ) {
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

    pub(super) fn on_answer(&mut self, id: &str, command: Command, status: Option<Status>) {
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
    pub(super) fn choice(
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
            // The old primary may alone have what it acknowledged with a replica that is lost.
            let old = primary.zip(self.stepped_down);
            let ahead = |(_, status): &(&Server, Status)| {
                let end = (status.received.term, status.received.lsn);
                best.is_none_or(|(point, _)| (point.term, point.lsn) < end)
            };
            let old = old.filter(ahead).map(|(server, _)| server);
            let best = old.or(best.map(|(_, server)| server));
            return best.map(|server| server.id.clone());
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

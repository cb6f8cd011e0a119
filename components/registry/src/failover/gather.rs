//! Pauses all replicas of a service, reads their positions and chooses the server to promote.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use types::Point;
use types::target::Role;

use super::{Action, Command, RETRY_INTERVAL, Status};
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
    /// Statuses of the paused servers.
    paused: BTreeMap<String, Status>,
    /// When the latest command was sent to each server.
    sent_at: BTreeMap<String, Instant>,
    /// Servers other than the registry's primary that report being primary: the promotion of an
    /// earlier choice was not carried out.
    other_primaries: BTreeSet<String>,
    /// Status of the registry's primary once it has reported to be a replica.
    stepped_down: Option<Status>,
}

impl Gather {
    pub(super) fn new(now: Instant, term: Option<u64>) -> Self {
        Self {
            started_at: now,
            term: term.map(|term| term + 1),
            paused: BTreeMap::new(),
            sent_at: BTreeMap::new(),
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
                self.paused.contains_key(&server.id)
            };
            let sent_at = self.sent_at.get(&server.id);
            if done || sent_at.is_some_and(|at| now < *at + RETRY_INTERVAL) {
                continue;
            }
            let command = match self.term {
                None => Command::Status,
                Some(term) if is_primary || self.other_primaries.contains(&server.id) => {
                    Command::StepDown(term)
                }
                Some(term) => Command::Pause(term),
            };
            self.sent_at.insert(server.id.clone(), now);
            let id = server.id.clone();
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
                self.sent_at.remove(id);
            }
            // It is now a replica and still has to be paused.
            (Command::StepDown(sent_term), Some(term))
                if sent_term == term
                    && status.role == Role::Replica
                    && self.other_primaries.remove(id) =>
            {
                self.sent_at.remove(id);
            }
            (Command::Pause(sent_term), Some(term)) if sent_term == term => {
                if status.paused >= term && status.term < term {
                    self.paused.insert(id.to_owned(), status);
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

    /// Starts over with a higher term.
    fn restart(&mut self, term: u64) {
        self.term = Some(term);
        self.paused.clear();
        self.sent_at.clear();
        self.stepped_down = None;
    }

    /// The server to promote, once no other server can have an acknowledged commit that it lacks.
    pub(super) fn choose(
        &self,
        now: Instant,
        service: &str,
        registry: &Registry,
        last_led_point: Option<Point>,
    ) -> Option<String> {
        let primary = registry.primary(service);
        if primary.is_some()
            && self.stepped_down.is_none()
            && now < self.started_at + STEP_DOWN_TIMEOUT
        {
            return None;
        }
        let is_primary = |server: &&Server| primary.is_some_and(|p| p.id == server.id);
        let replicas = registry
            .servers_of(service)
            .filter(|server| !is_primary(server));
        // Silence towards this instance is no proof that a replica receives nothing any more.
        let is_complete = replicas
            .clone()
            .all(|server| self.paused.contains_key(&server.id));
        let answered = replicas.filter_map(|server| {
            let status = self.paused.get(&server.id)?;
            Some((status.received, server))
        });
        let best = answered.max_by_key(|(point, server)| {
            // Among equals a server that is not draining, then the lowest id.
            let id = std::cmp::Reverse(server.id.clone());
            (point.term, point.lsn, !server.draining, id)
        });
        if is_complete {
            // The old primary may be the only server left with a commit that a removed replica had
            // received.
            let old = primary.zip(self.stepped_down);
            let ahead = |(_, status): &(&Server, Status)| {
                let end = (status.received.term, status.received.lsn);
                best.is_none_or(|(point, _)| (point.term, point.lsn) < end)
            };
            let old = old.filter(ahead).map(|(server, _)| server);
            let best = old.or(best.map(|(_, server)| server));
            return best.map(|server| server.id.clone());
        }
        let (end, old) = (
            self.acknowledged_end(service, registry, last_led_point)?,
            primary?,
        );
        match best {
            Some((point, server)) if (point.term, point.lsn) >= (end.term, end.lsn) => {
                Some(server.id.clone())
            }
            _ if old.draining || now < self.started_at + CATCH_UP_TIMEOUT => None,
            _ => Some(old.id.clone()),
        }
    }

    /// End of the old primary's log if that log contains every acknowledged commit, which holds
    /// once it has stepped down. `None` while a choice is unconfirmed, as another server may have
    /// been primary since, and if the server was restarted with less data than it had as primary.
    fn acknowledged_end(
        &self,
        service: &str,
        registry: &Registry,
        last_led_point: Option<Point>,
    ) -> Option<Point> {
        let chosen = registry.chosen_primary(service);
        let is_confirmed = chosen.is_none_or(|chosen| chosen.confirmed);
        let (end, last_led_point) = (self.stepped_down?.received, last_led_point?);
        let has_all = (end.term, end.lsn) >= (last_led_point.term, last_led_point.lsn);
        (is_confirmed && has_all).then_some(end)
    }
}

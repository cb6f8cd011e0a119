//! Application of commands to the catalog.

use std::collections::BTreeSet;

use types::target::{Announcement, State};
use types::{Name, Point, Revision};

use crate::answers::Answer;
use crate::change::{Change, Finding, Outcome, Winner};
use crate::command::Command;
use crate::database::{Database, Phase};
use crate::generated::{Key, Values};
use crate::path::{MAX_LEVELS, Path};
use crate::state::{Catalog, Tombstone};
use crate::target::Target;
use crate::tree::{MAX_NODES, Record};

/// Targets in the catalog; bounds the size of the snapshot.
pub const MAX_TARGETS: usize = 20_000;

/// Kept states of retired targets; the oldest is dropped beyond this number.
const MAX_RETIRED_MARKS: usize = 1_000;

/// Findings in one refusal, as refusals are kept with their request ids.
const MAX_FINDINGS: usize = 100;

impl Catalog {
    /// Applies a committed command.
    ///
    /// Deterministic: the same commands in the same order have the same outcomes.
    pub fn apply(&mut self, revision: Revision, command: &Command) -> Outcome {
        if revision <= self.revision {
            let text = format!("{} was applied before", revision.0);
            return Outcome::refused("revision", text);
        }
        self.revision = revision;
        match command.change() {
            Some(change) => self.apply_once(revision, command, change),
            None => self.execute(revision, command),
        }
    }

    /// Applies an operator's change, unless its request id was answered before: a resent request
    /// gets the first answer and changes nothing.
    fn apply_once(&mut self, revision: Revision, command: &Command, change: &Change) -> Outcome {
        let digest = digest(command);
        if let Some(answer) = self.answers.get(&change.request) {
            if answer.digest == digest {
                return answer.outcome.clone();
            }
            return Outcome::refused("request", "the id belongs to another change");
        }
        let outcome = if change.base < revision {
            self.execute(revision, command)
        } else {
            Outcome::refused("base", format!("{} is in the future", change.base.0))
        };
        let answer = Answer {
            digest,
            outcome: outcome.clone(),
        };
        self.answers.insert_first(&change.request, answer);
        outcome
    }

    fn execute(&mut self, revision: Revision, command: &Command) -> Outcome {
        match command {
            Command::Set {
                path,
                key,
                value,
                change,
            } => self.set(path, *key, *value, change),
            Command::Announce(announcement) => self.announce(announcement),
            Command::Mark {
                target,
                state,
                change,
            } => self.mark(target, *state, change),
            Command::Enroll { instance, domain } => self.enroll(instance, domain),
            Command::Retire { target } => self.retire(target),
            Command::Dismiss { instance } => match self.entries.remove(instance) {
                Some(_) => Outcome::Applied(revision),
                None => Outcome::Unchanged,
            },
            Command::Fence {
                database,
                term,
                hold,
                reason,
            } => self.fence(database, *term, *hold, reason),
            Command::Choose {
                database,
                term,
                target,
                point,
            } => self.choose(database, *term, target, *point),
            Command::Open {
                database,
                term,
                target,
                start,
            } => self.open(database, *term, target, *start),
        }
    }

    fn winner(&self, change: &Change) -> Winner {
        Winner {
            revision: self.revision,
            request: change.request.clone(),
            operator: change.operator.clone(),
        }
    }

    fn set(&mut self, path: &Path, key: Key, value: Option<u32>, change: &Change) -> Outcome {
        if let Some(winner) = self.tree.winner(path).filter(|w| w.revision > change.base) {
            return Outcome::Conflict(winner.clone());
        }
        let findings = self.check_setting(path, key, value);
        if !findings.is_empty() {
            return Outcome::Refused(findings);
        }
        self.tree.set(Record {
            path: path.clone(),
            key,
            value,
            previous: None,
            winner: self.winner(change),
        });
        self.refresh_settings(path);
        Outcome::Applied(self.revision)
    }

    fn check_setting(&self, path: &Path, key: Key, value: Option<u32>) -> Vec<Finding> {
        let mut findings = Vec::new();
        if path.names().first() != Some(&self.organisation) {
            let text = format!("the organisation is {}", self.organisation);
            findings.push(Finding::new(path.to_string(), text));
        }
        if self.tree.is_full_for(path) {
            let text = format!("more than {MAX_NODES} nodes");
            findings.push(Finding::new(path.to_string(), text));
        }
        if matches!(key, Key::ConnectionsLimit | Key::ConnectionsFloor) {
            let count = self.entries.len();
            if path.names().len() < MAX_LEVELS {
                let values = self.tree.effective_if_set(path, path, key, value);
                let limit = values.connections_limit;
                findings.extend(check_floors(&path.to_string(), &values, limit, count));
            }
            for target in self.targets.values() {
                if path.covers(&self.organisation, &target.announcement) {
                    let target_path = self.announced_path(&target.announcement);
                    let values = self.tree.effective_if_set(&target_path, path, key, value);
                    let limit = values
                        .connections_limit
                        .min(target.announcement.connections);
                    findings.extend(check_floors(
                        &target_path.to_string(),
                        &values,
                        limit,
                        count,
                    ));
                }
            }
        }
        limit_findings(findings)
    }

    /// Recomputes the effective settings of the targets at or below `path`.
    fn refresh_settings(&mut self, path: &Path) {
        for (name, target) in &mut self.targets {
            if !path.covers(&self.organisation, &target.announcement) {
                continue;
            }
            let target_path = Path::of_target(&self.organisation, &target.announcement);
            target.values = self.tree.effective(&target_path);
            let database = self.databases.get_mut(&target.announcement.database);
            if let Some(database) = database.filter(|d| d.primary.as_ref() == Some(name)) {
                database.record_acks(target.values.write_acks);
            }
        }
    }

    /// The reasons to refuse `announcement`; none if it is acceptable.
    pub(crate) fn check_announcement(&self, announcement: &Announcement) -> Vec<Finding> {
        let path = self.announced_path(announcement);
        let path_text = path.to_string();
        let mut findings = Vec::new();
        let mut add = |text: String| findings.push(Finding::new(&path_text, text));
        match self.targets.get(&announcement.target) {
            // A target's log positions belong to the term history of its database, so it can't move
            // to another one.
            Some(known) if known.announcement.database != announcement.database => {
                add(format!("is of database {}", known.announcement.database));
            }
            None if self.targets.len() >= MAX_TARGETS => {
                add(format!("more than {MAX_TARGETS} targets"));
            }
            _ => {}
        }
        if let Some(database) = self.databases.get(&announcement.database) {
            if database.service != announcement.service {
                add(format!("the database is of service {}", database.service));
            }
            if database.group != announcement.group {
                add(format!("the database is of group {}", database.group));
            }
        }
        let values = self.tree.effective(&path);
        let limit = values.connections_limit.min(announcement.connections);
        findings.extend(check_floors(&path_text, &values, limit, self.entries.len()));
        findings
    }

    fn announce(&mut self, announcement: &Announcement) -> Outcome {
        let findings = self.check_announcement(announcement);
        if !findings.is_empty() {
            return Outcome::Refused(findings);
        }
        let name = &announcement.target;
        let known = self.targets.get(name);
        if known.is_some_and(|target| target.announcement == *announcement) {
            return Outcome::Unchanged;
        }
        let retired = self.retired.remove(name);
        let (marked_state, winner) = match (known, retired) {
            (Some(known), _) => (known.marked_state, known.winner.clone()),
            (None, Some(retired)) => (retired.state, Some(retired.winner)),
            (None, None) => (State::default(), None),
        };
        let unchanged = known.filter(|known| known.announcement.leaving == announcement.leaving);
        let target = Target {
            announcement: announcement.clone(),
            marked_state,
            winner,
            state_revision: unchanged.map_or(self.revision, |known| known.state_revision),
            values: self.tree.effective(&self.announced_path(announcement)),
        };
        self.targets.insert(name.clone(), target);
        self.add_database(announcement);
        Outcome::Applied(self.revision)
    }

    fn add_database(&mut self, announcement: &Announcement) {
        let revision = self.revision;
        let database = self
            .databases
            .entry(announcement.database.clone())
            .or_insert_with(|| Database {
                service: announcement.service.clone(),
                group: announcement.group.clone(),
                primary: None,
                history: types::database::History::default(),
                phase: Phase::Steady,
                fence_had_hold: false,
                point_at_choice: Point::default(),
                phase_since: revision,
                min_acks: 0,
                reason: String::new(),
                members: BTreeSet::new(),
            });
        database.members.insert(announcement.target.clone());
    }

    fn mark(&mut self, name: &Name, state: State, change: &Change) -> Outcome {
        let winner = self.winner(change);
        let revision = self.revision;
        let Some(target) = self.targets.get_mut(name) else {
            return Outcome::refused(name.as_str(), "no such target");
        };
        let last_winner = target.winner.as_ref();
        if let Some(last) = last_winner.filter(|last| last.revision > change.base) {
            return Outcome::Conflict(last.clone());
        }
        target.marked_state = state;
        target.winner = Some(winner);
        target.state_revision = revision;
        Outcome::Applied(revision)
    }

    fn enroll(&mut self, instance: &Name, domain: &Name) -> Outcome {
        let known = self.entries.get(instance);
        if known == Some(domain) {
            return Outcome::Unchanged;
        }
        if known.is_none() {
            let count = self.entries.len() + 1;
            let exceeded = |target: &Target| {
                let path = self.announced_path(&target.announcement).to_string();
                check_floors(&path, &target.values, target.connections_limit(), count)
            };
            let findings: Vec<Finding> = self.targets.values().filter_map(exceeded).collect();
            if !findings.is_empty() {
                return Outcome::Refused(limit_findings(findings));
            }
        }
        self.entries.insert(instance.clone(), domain.clone());
        Outcome::Applied(self.revision)
    }

    fn retire(&mut self, name: &Name) -> Outcome {
        let Some(target) = self.targets.get(name) else {
            return Outcome::Unchanged;
        };
        let database_name = target.announcement.database.clone();
        let is_last = self.members(database_name.as_str()).count() == 1;
        let is_steady = |database: &Database| database.phase == Phase::Steady;
        if target.state() != State::Leaving {
            return Outcome::refused(name.as_str(), "is not leaving");
        }
        if !self.databases.get(&database_name).is_none_or(is_steady) {
            return Outcome::refused(name.as_str(), "its database is changing its primary");
        }
        let primary = self
            .databases
            .get(&database_name)
            .and_then(Database::primary);
        if primary == Some(name) && !is_last {
            return Outcome::refused(name.as_str(), "is the primary of its database");
        }
        if let Some(winner) = target.winner.clone() {
            let state = target.marked_state;
            self.keep_retired_mark(name, Tombstone { state, winner });
        }
        self.targets.remove(name);
        if let Some(database) = self.databases.get_mut(&database_name) {
            database.members.remove(name);
        }
        if is_last {
            self.databases.remove(&database_name);
        }
        Outcome::Applied(self.revision)
    }

    fn keep_retired_mark(&mut self, name: &Name, mark: Tombstone) {
        if self.retired.len() >= MAX_RETIRED_MARKS {
            let oldest = self.retired.iter().min_by_key(|(_, r)| r.winner.revision);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.retired.remove(&oldest);
            }
        }
        self.retired.insert(name.clone(), mark);
    }
}

/// Checksum that tells a resent request from another request with the same id.
fn digest(command: &Command) -> u32 {
    let mut bytes = Vec::new();
    // Encoding fails only above the size limit of a message, and a valid command is far below it.
    match wire::encode(&wire::Command::from(command), &mut bytes) {
        Ok(()) => crc32fast::hash(&bytes),
        Err(_) => 0,
    }
}

/// Checks that the floors of all entry instances together fit the connection limit.
///
/// Connections up to the floor need no lease, so they can be in use at any time.
fn check_floors(path: &str, values: &Values, limit: u32, entries: usize) -> Option<Finding> {
    let total = u64::from(values.connections_floor) * entries as u64;
    (total > u64::from(limit)).then(|| {
        let floor = values.connections_floor;
        let text = format!("floor {floor} for {entries} entries exceeds the limit {limit}");
        Finding::new(path, text)
    })
}

fn limit_findings(mut findings: Vec<Finding>) -> Vec<Finding> {
    if findings.len() > MAX_FINDINGS {
        let more = findings.len() - MAX_FINDINGS;
        findings.truncate(MAX_FINDINGS);
        findings.push(Finding::new("", format!("{more} more findings")));
    }
    findings
}

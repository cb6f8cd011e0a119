//! Applying a command.

use std::collections::BTreeSet;

use types::target::{Announcement, State};
use types::{Name, Point, Revision};

use crate::answers::Answer;
use crate::change::{Change, Finding, Outcome, Winner};
use crate::command::Command;
use crate::database::{Database, Phase};
use crate::generated::{Key, Values};
use crate::path::{LEVELS, Path};
use crate::state::{Catalog, Retired};
use crate::target::Target;
use crate::tree::{MAX_NODES, Record};

/// Most targets; bounds the snapshot.
pub const MAX_TARGETS: usize = 20_000;

/// Most marks of retired targets; the oldest is dropped beyond it.
const MAX_RETIRED: usize = 1_000;

/// Most targets named by one refusal, since refusals are kept with their request ids.
const MAX_PLACES: usize = 100;

impl Catalog {
    /// Applies a committed command. The same commands in the same order give the same outcomes.
    pub fn apply(&mut self, revision: Revision, command: &Command) -> Outcome {
        if revision <= self.revision {
            let text = format!("{} was applied before", revision.0);
            return Outcome::refused("revision", text);
        }
        self.revision = revision;
        match command.change() {
            Some(change) => self.apply_once(revision, command, change),
            None => self.run(revision, command),
        }
    }

    /// The outcome of the first command with this request id; a resend changes nothing.
    fn apply_once(&mut self, revision: Revision, command: &Command, change: &Change) -> Outcome {
        let digest = digest(command);
        if let Some(answer) = self.answers.get(&change.request) {
            if answer.digest == digest {
                return answer.outcome.clone();
            }
            return Outcome::refused("request", "the id belongs to another change");
        }
        let outcome = if change.base < revision {
            self.run(revision, command)
        } else {
            Outcome::refused("base", format!("{} is in the future", change.base.0))
        };
        let answer = Answer {
            digest,
            outcome: outcome.clone(),
        };
        self.answers.keep(&change.request, answer);
        outcome
    }

    fn run(&mut self, revision: Revision, command: &Command) -> Outcome {
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
        self.refresh(path);
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
            if path.names().len() < LEVELS {
                let values = self.tree.assume(path, path, key, value);
                let limit = values.connections_limit;
                findings.extend(check_floor(&path.to_string(), &values, limit, count));
            }
            for target in self.targets.values() {
                if path.covers(&self.organisation, &target.announcement) {
                    let place = self.path_of(&target.announcement);
                    let values = self.tree.assume(&place, path, key, value);
                    let limit = values
                        .connections_limit
                        .min(target.announcement.connections);
                    findings.extend(check_floor(&place.to_string(), &values, limit, count));
                }
            }
        }
        shorten(findings)
    }

    /// Derives the settings of the targets beneath `path` again.
    fn refresh(&mut self, path: &Path) {
        for (name, target) in &mut self.targets {
            if !path.covers(&self.organisation, &target.announcement) {
                continue;
            }
            let place = Path::of(&self.organisation, &target.announcement);
            target.values = self.tree.effective(&place);
            let database = self.databases.get_mut(&target.announcement.database);
            if let Some(database) = database.filter(|d| d.primary.as_ref() == Some(name)) {
                database.note_acks(target.values.write_acks);
            }
        }
    }

    /// Everything that makes `announcement` unacceptable.
    pub(crate) fn check_announcement(&self, announcement: &Announcement) -> Vec<Finding> {
        let path = self.path_of(announcement);
        let place = path.to_string();
        let mut findings = Vec::new();
        let mut add = |text: String| findings.push(Finding::new(&place, text));
        match self.targets.get(&announcement.target) {
            // A target that moved would take its log positions to another database's history.
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
        findings.extend(check_floor(&place, &values, limit, self.entries.len()));
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
        let (marked, winner) = match (known, retired) {
            (Some(known), _) => (known.marked, known.winner.clone()),
            (None, Some(retired)) => (retired.state, Some(retired.winner)),
            (None, None) => (State::default(), None),
        };
        let same = known.filter(|k| k.announcement.leaving == announcement.leaving);
        let target = Target {
            announcement: announcement.clone(),
            marked,
            winner,
            changed: same.map_or(self.revision, |known| known.changed),
            values: self.tree.effective(&self.path_of(announcement)),
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
                held: false,
                point: Point::default(),
                since: revision,
                acks: 0,
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
        let last = target.winner.as_ref();
        if let Some(last) = last.filter(|last| last.revision > change.base) {
            return Outcome::Conflict(last.clone());
        }
        target.marked = state;
        target.winner = Some(winner);
        target.changed = revision;
        Outcome::Applied(revision)
    }

    fn enroll(&mut self, instance: &Name, domain: &Name) -> Outcome {
        let known = self.entries.get(instance);
        if known == Some(domain) {
            return Outcome::Unchanged;
        }
        if known.is_none() {
            let count = self.entries.len() + 1;
            let check = |target: &Target| {
                let place = self.path_of(&target.announcement).to_string();
                check_floor(&place, &target.values, target.limit(), count)
            };
            let findings: Vec<Finding> = self.targets.values().filter_map(check).collect();
            if !findings.is_empty() {
                return Outcome::Refused(shorten(findings));
            }
        }
        self.entries.insert(instance.clone(), domain.clone());
        Outcome::Applied(self.revision)
    }

    fn retire(&mut self, name: &Name) -> Outcome {
        let Some(target) = self.targets.get(name) else {
            return Outcome::Unchanged;
        };
        let key = target.announcement.database.clone();
        let last = self.members(key.as_str()).count() == 1;
        let steady = |d: &Database| d.phase == Phase::Steady;
        if target.state() != State::Leaving {
            return Outcome::refused(name.as_str(), "is not leaving");
        }
        if !self.databases.get(&key).is_none_or(steady) {
            return Outcome::refused(name.as_str(), "its database is changing its primary");
        }
        let primary = self.databases.get(&key).and_then(Database::primary);
        if primary == Some(name) && !last {
            return Outcome::refused(name.as_str(), "is the primary of its database");
        }
        if let Some(winner) = target.winner.clone() {
            let state = target.marked;
            self.keep_mark(name, Retired { state, winner });
        }
        self.targets.remove(name);
        if let Some(database) = self.databases.get_mut(&key) {
            database.members.remove(name);
        }
        if last {
            self.databases.remove(&key);
        }
        Outcome::Applied(self.revision)
    }

    fn keep_mark(&mut self, name: &Name, mark: Retired) {
        if self.retired.len() >= MAX_RETIRED {
            let oldest = self.retired.iter().min_by_key(|(_, r)| r.winner.revision);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.retired.remove(&oldest);
            }
        }
        self.retired.insert(name.clone(), mark);
    }
}

/// Tells a resend from a second use of a request id.
fn digest(command: &Command) -> u32 {
    let mut bytes = Vec::new();
    // The only failure is a command above the size limit, and a checked one is far below it.
    match wire::encode(&wire::Command::from(command), &mut bytes) {
        Ok(()) => crc32fast::hash(&bytes),
        Err(_) => 0,
    }
}

/// Floors are used without a lease, so all of them together have to fit the limit at any time.
fn check_floor(place: &str, values: &Values, limit: u32, entries: usize) -> Option<Finding> {
    let floors = u64::from(values.connections_floor) * entries as u64;
    (floors > u64::from(limit)).then(|| {
        let floor = values.connections_floor;
        let text = format!("floor {floor} for {entries} entries exceeds the limit {limit}");
        Finding::new(place, text)
    })
}

fn shorten(mut findings: Vec<Finding>) -> Vec<Finding> {
    if findings.len() > MAX_PLACES {
        let more = findings.len() - MAX_PLACES;
        findings.truncate(MAX_PLACES);
        findings.push(Finding::new("", format!("{more} more findings")));
    }
    findings
}

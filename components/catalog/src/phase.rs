//! Steps of a change of primary. Each is valid in one phase and term only.

use types::{Lsn, Name, Point, Term};

use crate::change::Outcome;
use crate::database::{Database, Phase};
use crate::state::Catalog;

impl Catalog {
    pub(crate) fn fence(&mut self, name: &Name, term: Term, hold: bool, reason: &str) -> Outcome {
        let revision = self.revision;
        let Some(database) = self.databases.get_mut(name) else {
            return unknown(name);
        };
        match (&database.phase, database.term()) {
            // A promotion raises the timeline by one, and the term is the timeline.
            (Phase::Steady, Some(last)) if Some(term.0) == last.0.checked_add(1) => {
                database.since = revision;
            }
            // Ending the hold of the same fence. No entry may acknowledge either way, so that
            // what entries confirmed of the fence still counts.
            (
                Phase::Fenced {
                    term: same,
                    hold: true,
                },
                _,
            ) if *same == term && !hold => {}
            _ => return misplaced(name, database),
        }
        database.phase = Phase::Fenced { term, hold };
        reason.clone_into(&mut database.reason);
        Outcome::Applied(revision)
    }

    pub(crate) fn choose(
        &mut self,
        name: &Name,
        term: Term,
        target: &Name,
        point: Point,
    ) -> Outcome {
        let revision = self.revision;
        if !self.is_member(name, target) {
            return Outcome::refused(target.as_str(), format!("no target of {name}"));
        }
        let Some(database) = self.databases.get_mut(name) else {
            return unknown(name);
        };
        match database.phase {
            Phase::Fenced { term: fenced, .. } if fenced == term => {}
            _ => return misplaced(name, database),
        }
        if database.primary.as_ref() == Some(target) {
            return Outcome::refused(target.as_str(), "is the old primary");
        }
        database.held = database.is_held();
        database.point = point;
        database.since = revision;
        database.phase = Phase::Chosen {
            term,
            target: target.clone(),
        };
        Outcome::Applied(revision)
    }

    pub(crate) fn open(&mut self, name: &Name, term: Term, target: &Name, start: Lsn) -> Outcome {
        let revision = self.revision;
        if !self.is_member(name, target) {
            return Outcome::refused(target.as_str(), format!("no target of {name}"));
        }
        let acks = self.targets.get(target).map_or(0, |t| t.values.write_acks);
        let Some(database) = self.databases.get_mut(name) else {
            return unknown(name);
        };
        let last = database.term();
        let same = last == Some(term) && database.primary.as_ref() == Some(target);
        match &database.phase {
            Phase::Steady if same => return Outcome::Unchanged,
            Phase::Steady if last.is_none() && term > Term(0) => begin(database, term, start, acks),
            Phase::Chosen { term: t, target: n } if *t == term && n == target => {
                if start < database.point.lsn {
                    return Outcome::refused(target.as_str(), "lacks what it had when chosen");
                }
                begin(database, term, start, acks);
            }
            // Undoing a fence: nobody was chosen, so that no target was promoted, and the old
            // primary goes on in its term.
            Phase::Fenced { .. } if same => database.note_acks(acks),
            _ => return misplaced(name, database),
        }
        database.since = revision;
        database.phase = Phase::Steady;
        database.held = false;
        database.point = Point::default();
        database.primary = Some(target.clone());
        Outcome::Applied(revision)
    }

    fn is_member(&self, database: &Name, target: &Name) -> bool {
        let known = self.targets.get(target);
        known.is_some_and(|known| known.announcement.database == *database)
    }
}

fn begin(database: &mut Database, term: Term, start: Lsn, acks: u32) {
    database.history.begin(term, start);
    database.acks = acks;
}

fn unknown(name: &Name) -> Outcome {
    Outcome::refused(name.as_str(), "no such database")
}

fn misplaced(name: &Name, database: &Database) -> Outcome {
    let last = database.term().unwrap_or_default().0;
    let text = match &database.phase {
        Phase::Steady => format!("steady in term {last}"),
        Phase::Fenced { term, .. } => format!("fenced for term {}", term.0),
        Phase::Chosen { term, target } => format!("{target} is chosen for term {}", term.0),
    };
    Outcome::refused(name.as_str(), text)
}

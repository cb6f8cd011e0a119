//! Commands of a change of primary. Each is valid in one phase and term only.

use types::{Lsn, Name, Point, Term};

use crate::change::Outcome;
use crate::database::{Database, Phase};
use crate::state::Catalog;

impl Catalog {
    pub(crate) fn fence(&mut self, name: &Name, term: Term, hold: bool, reason: &str) -> Outcome {
        let revision = self.revision;
        let Some(database) = self.databases.get_mut(name) else {
            return refuse_unknown_database(name);
        };
        match (&database.phase, database.term()) {
            // The term is the PostgreSQL timeline, which a promotion raises by one.
            (Phase::Steady, Some(last)) if Some(term.0) == last.0.checked_add(1) => {
                database.phase_since = revision;
            }
            // Ends the hold of the same fence. Entry instances acknowledge no write with or without
            // hold, so their confirmations of the fence stay valid and the phase does not restart.
            (
                Phase::Fenced {
                    term: fenced,
                    hold: true,
                },
                _,
            ) if *fenced == term && !hold => {}
            _ => return refuse_in_phase(name, database),
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
            return refuse_unknown_database(name);
        };
        match database.phase {
            Phase::Fenced { term: fenced, .. } if fenced == term => {}
            _ => return refuse_in_phase(name, database),
        }
        if database.primary.as_ref() == Some(target) {
            return Outcome::refused(target.as_str(), "is the old primary");
        }
        database.fence_had_hold = database.holds_writes();
        database.point_at_choice = point;
        database.phase_since = revision;
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
        let write_acks = self.targets.get(target).map_or(0, |t| t.values.write_acks);
        let Some(database) = self.databases.get_mut(name) else {
            return refuse_unknown_database(name);
        };
        let last = database.term();
        let is_current = last == Some(term) && database.primary.as_ref() == Some(target);
        match &database.phase {
            Phase::Steady if is_current => return Outcome::Unchanged,
            Phase::Steady if last.is_none() && term > Term(0) => {
                begin_term(database, term, start, write_acks)
            }
            Phase::Chosen {
                term: next_term,
                target: chosen,
            } if *next_term == term && chosen == target => {
                if start < database.point_at_choice.lsn {
                    return Outcome::refused(target.as_str(), "lacks what it had when chosen");
                }
                begin_term(database, term, start, write_acks);
            }
            // Undoes a fence. No target was chosen and so none was promoted: the old primary
            // continues in its term.
            Phase::Fenced { .. } if is_current => database.record_acks(write_acks),
            _ => return refuse_in_phase(name, database),
        }
        database.phase_since = revision;
        database.phase = Phase::Steady;
        database.fence_had_hold = false;
        database.point_at_choice = Point::default();
        database.primary = Some(target.clone());
        Outcome::Applied(revision)
    }

    fn is_member(&self, database: &Name, target: &Name) -> bool {
        let target = self.targets.get(target);
        target.is_some_and(|target| target.announcement.database == *database)
    }
}

fn begin_term(database: &mut Database, term: Term, start: Lsn, write_acks: u32) {
    database.history.begin(term, start);
    database.min_acks = write_acks;
}

fn refuse_unknown_database(name: &Name) -> Outcome {
    Outcome::refused(name.as_str(), "no such database")
}

fn refuse_in_phase(name: &Name, database: &Database) -> Outcome {
    let last = database.term().unwrap_or_default().0;
    let text = match &database.phase {
        Phase::Steady => format!("steady in term {last}"),
        Phase::Fenced { term, .. } => format!("fenced for term {}", term.0),
        Phase::Chosen { term, target } => format!("{target} is chosen for term {}", term.0),
    };
    Outcome::refused(name.as_str(), text)
}

//! What a machine remembers besides the catalog.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use catalog::{Command, Database, Phase};
use types::{Lsn, Name, Revision};

use crate::change::{Action, Reason};
use crate::choice::Position;

/// How long an answer counts: a target that has answered and then died must not be chosen.
const FRESH: Duration = Duration::from_secs(1);

/// What the machine remembers of the present phase. All of it can be lost: a new leader starts
/// from the committed phase, and each step may be repeated.
#[derive(Debug)]
pub(crate) struct Work {
    pub since: Revision,
    phase: Phase,
    pub entered: Instant,
    pub proposed: Option<(Instant, Command)>,
    pub asked: Option<Instant>,
    /// First query of the round.
    pub opened: Option<Instant>,
    pub answers: BTreeMap<Name, Position>,
    /// When each answer came.
    heard: BTreeMap<Name, Instant>,
    pub sent: Option<Instant>,
    /// Where the new term began.
    pub start: Option<Lsn>,
    /// Position of the primary before a planned switch.
    pub mark: Option<(Instant, Lsn)>,
    /// The primary was seen healthy in this phase.
    pub healthy: bool,
    pub followed: Option<Instant>,
    pub following: BTreeSet<Name>,
    pub reported: Option<Reason>,
}

impl Work {
    pub fn new(now: Instant, database: &Database) -> Self {
        Self {
            since: database.phase_since(),
            phase: database.phase().clone(),
            entered: now,
            proposed: None,
            asked: None,
            opened: None,
            answers: BTreeMap::new(),
            heard: BTreeMap::new(),
            sent: None,
            start: None,
            mark: None,
            healthy: false,
            followed: None,
            following: BTreeSet::new(),
            reported: None,
        }
    }

    /// Whether this is about the phase that the database is in.
    pub fn is_of(&self, database: &Database) -> bool {
        self.since == database.phase_since() && self.phase == *database.phase()
    }

    /// Takes in an answer.
    pub fn answer(&mut self, now: Instant, target: &Name, position: Position) {
        self.answers.insert(target.clone(), position);
        self.heard.insert(target.clone(), now);
    }

    /// Drops answers that no longer count.
    pub fn expire(&mut self, now: Instant) {
        self.heard.retain(|_, heard| now < *heard + FRESH);
        let heard = &self.heard;
        self.answers.retain(|target, _| heard.contains_key(target));
    }

    /// Tells the operator a reason once in a row.
    pub fn report(&mut self, reason: Reason, out: &mut Vec<Action>) {
        if self.reported.as_ref() != Some(&reason) {
            self.reported = Some(reason.clone());
            out.push(Action::Stalled(reason));
        }
    }
}

/// Begin of each stage, as far as this leader saw it.
#[derive(Debug)]
pub(crate) struct Clock {
    pub failed: Option<Instant>,
    pub fenced: Option<Instant>,
    pub promoted: Option<Instant>,
}

impl Clock {
    pub const fn new() -> Self {
        Self {
            failed: None,
            fenced: None,
            promoted: None,
        }
    }
}

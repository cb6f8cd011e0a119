//! State of a change of primary that is kept in memory only.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use catalog::{Command, Database, Phase};
use types::{Lsn, Name, Revision};

use crate::change::{Action, Stall};
use crate::selection::Position;

/// Older answers are dropped, so that a target that died after its answer is not chosen.
const MAX_ANSWER_AGE: Duration = Duration::from_secs(1);

/// Progress within the current phase. It may be lost at any time: a new leader starts from the
/// committed phase, and each step may be repeated.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Revision at which the phase began; also identifies the round of position queries.
    pub since: Revision,
    phase: Phase,
    pub entered_at: Instant,
    pub last_proposal: Option<(Instant, Command)>,
    pub last_query: Option<Instant>,
    /// Time of the first position query in this phase.
    pub first_query: Option<Instant>,
    pub answers: BTreeMap<Name, Position>,
    /// Time of arrival of each answer.
    answered_at: BTreeMap<Name, Instant>,
    pub last_promotion: Option<Instant>,
    /// Position at which the promoted target began the new term.
    pub term_start: Option<Lsn>,
    /// Position of the primary, and when it was read, that a replica must reach soon for a planned
    /// switch to start.
    pub catch_up_lsn: Option<(Instant, Lsn)>,
    /// Whether the primary was reported healthy in this phase.
    pub seen_healthy: bool,
    pub last_follow: Option<Instant>,
    /// Replicas that confirmed the follow command.
    pub followers: BTreeSet<Name>,
    pub last_reported: Option<Stall>,
}

impl Progress {
    pub fn new(now: Instant, database: &Database) -> Self {
        Self {
            since: database.phase_since(),
            phase: database.phase().clone(),
            entered_at: now,
            last_proposal: None,
            last_query: None,
            first_query: None,
            answers: BTreeMap::new(),
            answered_at: BTreeMap::new(),
            last_promotion: None,
            term_start: None,
            catch_up_lsn: None,
            seen_healthy: false,
            last_follow: None,
            followers: BTreeSet::new(),
            last_reported: None,
        }
    }

    /// Whether the database is still in the phase that this state belongs to.
    pub fn is_current(&self, database: &Database) -> bool {
        self.since == database.phase_since() && self.phase == *database.phase()
    }

    pub fn record_answer(&mut self, now: Instant, target: &Name, position: Position) {
        self.answers.insert(target.clone(), position);
        self.answered_at.insert(target.clone(), now);
    }

    pub fn expire_answers(&mut self, now: Instant) {
        self.answered_at
            .retain(|_, answered_at| now < *answered_at + MAX_ANSWER_AGE);
        let answered_at = &self.answered_at;
        self.answers
            .retain(|target, _| answered_at.contains_key(target));
    }

    /// Reports a stall, unless it has the same reason as the last one.
    pub fn report_stall(&mut self, reason: Stall, out: &mut Vec<Action>) {
        if self.last_reported.as_ref() != Some(&reason) {
            self.last_reported = Some(reason.clone());
            out.push(Action::ReportStall(reason));
        }
    }
}

/// When each stage began; none for those that began under an earlier leader.
#[derive(Debug)]
pub(crate) struct Times {
    pub failed_at: Option<Instant>,
    pub fenced_at: Option<Instant>,
    pub promoted_at: Option<Instant>,
}

impl Times {
    pub const fn new() -> Self {
        Self {
            failed_at: None,
            fenced_at: None,
            promoted_at: None,
        }
    }
}

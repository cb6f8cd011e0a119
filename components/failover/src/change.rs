//! Interface of the change of primary of one database: inputs, actions and state machine.

use std::fmt;
use std::time::{Duration, Instant};

use catalog::{Catalog, Command, Outcome, Phase};
use types::{Lsn, Name, Revision, Term};

use crate::health::Verdict;
use crate::selection::Position;
use crate::state::{Progress, Times};
use crate::step::Step;

/// Inputs of a step besides the catalog.
#[derive(Clone, Copy, Debug)]
pub struct Signals {
    /// Health of the current primary.
    pub verdict: Verdict,
    /// Whether no lease can be in use under a catalog older than
    /// [`catalog::Database::phase_since`].
    pub fenced: bool,
}

/// Part of the time in which callers cannot write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// From the last answer of the old primary to the verdict that it failed.
    Detect,
    /// From the verdict to the end of the last lease under the old catalog.
    Fence,
    /// From the end of the fence to the promotion.
    Promote,
    /// From the promotion until every entry instance knows the new primary.
    Publish,
}

impl Stage {
    /// Name of the histogram of this stage.
    #[must_use]
    pub const fn metric(self) -> &'static str {
        match self {
            Self::Detect => "failover_detect_seconds",
            Self::Fence => "failover_fence_seconds",
            Self::Promote => "failover_promote_seconds",
            Self::Publish => "failover_publish_seconds",
        }
    }
}

/// Why a change makes no progress.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Stall {
    NoReplica,
    /// Too few replicas answer to know that no acknowledged write is lost.
    TooFewReplicas {
        needed: usize,
        /// Answers received from replicas that follow the database's history.
        valid: usize,
    },
    /// No target of a new database reports that it is the primary, or more than one does.
    NoSinglePrimary,
    /// The chosen target does not answer, and no other may be promoted for the same term.
    PromotionUnanswered(Name),
    /// The chosen target reports another term than the one it was promoted for.
    UnexpectedTerm(Name, Term),
    /// The chosen target lacks writes that it had when it was chosen: its disk was emptied since.
    ChosenLostData(Name),
    /// A planned switch was undone because no replica caught up in time.
    SwitchUndone,
    /// The catalog refused a command.
    CommandRefused(String),
}

impl fmt::Display for Stall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoReplica => f.write_str("the primary failed and there is no replica"),
            Self::TooFewReplicas { needed, valid } => {
                write!(f, "{valid} of {needed} needed replicas answer")
            }
            Self::NoSinglePrimary => f.write_str("not exactly one target is the primary"),
            Self::PromotionUnanswered(name) => write!(f, "{name} is chosen and does not answer"),
            Self::UnexpectedTerm(name, term) => write!(f, "{name} is on term {}", term.0),
            Self::ChosenLostData(name) => write!(f, "{name} lacks what it had when it was chosen"),
            Self::SwitchUndone => f.write_str("no replica caught up in time; the switch is undone"),
            Self::CommandRefused(text) => write!(f, "the catalog refused: {text}"),
        }
    }
}

/// Action that the control leader has to execute.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Append a command to the replicated log, and pass its outcome to
    /// [`Machine::on_outcome`] if it is refused.
    Propose(Command),
    /// Ask a target for its position, and pass the answer to [`Machine::on_position`] with
    /// the same round.
    QueryPosition {
        target: Name,
        /// Distinguishes answers of this phase from late answers of an earlier one.
        round: Revision,
    },
    /// Promote a target unless it is the primary of `term` already, and pass the result to
    /// [`Machine::on_promoted`]. A target on a later term must not be promoted: the action
    /// is outdated.
    Promote {
        target: Name,
        /// Term that begins with the promotion.
        term: Term,
    },
    /// Point a replica at the primary, and call [`Machine::on_following`] when that is
    /// done.
    Follow { target: Name, primary: Name },
    /// Tell the operator why there is no progress; the machine keeps trying.
    ReportStall(Stall),
    /// Add a duration to the histogram of a stage.
    ObserveStage(Stage, Duration),
}

/// Formats the action as one line of text.
impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Propose(command) => write!(f, "propose: {command}"),
            Self::QueryPosition { target, round } => {
                write!(f, "ask {target} for its position, round {}", round.0)
            }
            Self::Promote { target, term } => write!(f, "promote {target} for term {}", term.0),
            Self::Follow { target, primary } => write!(f, "let {target} follow {primary}"),
            Self::ReportStall(reason) => write!(f, "no progress: {reason}"),
            Self::ObserveStage(stage, duration) => write!(f, "{}: {duration:?}", stage.metric()),
        }
    }
}

/// State machine that decides the steps of a change of primary of one database.
#[derive(Debug)]
pub struct Machine {
    name: Name,
    state: Option<Progress>,
    times: Times,
    /// Set after a planned switch was undone, so that the next one is delayed.
    no_switch_before: Option<Instant>,
}

impl Machine {
    /// Creates the machine of the database `name`.
    #[must_use]
    pub const fn new(name: Name) -> Self {
        Self {
            name,
            state: None,
            times: Times::new(),
            no_switch_before: None,
        }
    }

    /// Continues from the committed phase. The leader runs it on each change of the catalog or of
    /// the signals, on each answer, and every 20 ms while the database is not steady or its primary
    /// is not serving.
    pub fn step(
        &mut self,
        now: Instant,
        catalog: &Catalog,
        signals: &Signals,
        out: &mut Vec<Action>,
    ) {
        let Some(database) = catalog.database(self.name.as_str()) else {
            return;
        };
        let state = self.state.take().filter(|state| state.is_current(database));
        let mut state = state.unwrap_or_else(|| Progress::new(now, database));
        let mut step = Step {
            now,
            name: &self.name,
            catalog,
            database,
            signals,
            state: &mut state,
            times: &mut self.times,
            no_switch_before: &mut self.no_switch_before,
            out,
        };
        step.run();
        self.state = Some(state);
    }

    /// Handles a target's answer to the position query of `round`. An answer of another round is
    /// ignored.
    pub fn on_position(
        &mut self,
        now: Instant,
        target: &Name,
        round: Revision,
        position: Position,
    ) {
        if let Some(state) = self.state.as_mut().filter(|state| state.since == round) {
            state.record_answer(now, target, position);
        }
    }

    /// Handles the report that `target` is the primary of `term`, whether it was promoted just now
    /// or earlier. `start` is the last position of the previous term that it kept; a later one
    /// would hide lost writes.
    pub fn on_promoted(
        &mut self,
        now: Instant,
        target: &Name,
        term: Term,
        start: Lsn,
        catalog: &Catalog,
        out: &mut Vec<Action>,
    ) {
        let Some(database) = catalog.database(self.name.as_str()) else {
            return;
        };
        let Phase::Chosen {
            term: expected,
            target: chosen,
        } = database.phase()
        else {
            return;
        };
        let Some(state) = self
            .state
            .as_mut()
            .filter(|state| state.is_current(database))
        else {
            return;
        };
        if chosen != target || state.term_start.is_some() {
            return;
        }
        if term != *expected {
            return state.report_stall(Stall::UnexpectedTerm(target.clone(), term), out);
        }
        if start < database.point_at_choice().lsn {
            return state.report_stall(Stall::ChosenLostData(target.clone()), out);
        }
        state.term_start = Some(start);
        if let Some(fenced) = self.times.fenced_at.take() {
            out.push(Action::ObserveStage(Stage::Promote, now - fenced));
        }
        self.times.promoted_at = Some(now);
    }

    /// Records that `target` follows `primary`.
    pub fn on_following(&mut self, target: &Name, primary: &Name, catalog: &Catalog) {
        let database = catalog.database(self.name.as_str());
        let current = database.filter(|database| database.primary() == Some(primary));
        let state = self.state.as_mut();
        let state =
            state.filter(|state| current.is_some_and(|database| state.is_current(database)));
        if let Some(state) = state {
            state.followers.insert(target.clone());
        }
    }

    /// Handles the outcome of a proposal. A refusal is reported only if the database is still in
    /// the same phase; otherwise the command was just outdated.
    pub fn on_outcome(&mut self, outcome: &Outcome, catalog: &Catalog, out: &mut Vec<Action>) {
        let Some(database) = catalog.database(self.name.as_str()) else {
            return;
        };
        let state = self
            .state
            .as_mut()
            .filter(|state| state.is_current(database));
        if let (Outcome::Refused(findings), Some(state)) = (outcome, state) {
            let texts: Vec<String> = findings.iter().map(ToString::to_string).collect();
            state.report_stall(Stall::CommandRefused(texts.join("; ")), out);
        }
    }
}

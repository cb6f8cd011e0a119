//! Change of primary of one database.

use std::fmt;
use std::time::{Duration, Instant};

use catalog::{Catalog, Command, Outcome, Phase};
use types::{Lsn, Name, Revision, Term};

use crate::choice::Position;
use crate::health::Verdict;
use crate::step::Turn;
use crate::work::{Clock, Work};

/// What the control leader knows besides the catalog.
#[derive(Clone, Copy, Debug)]
pub struct Signals {
    /// Health of the present primary.
    pub verdict: Verdict,
    /// The grants table's answer for [`Database::since`]: no lease is in use under an older
    /// catalog.
    pub fenced: bool,
}

/// Part of the gap that callers notice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// From the last answer of the old primary to the verdict.
    Detect,
    /// From the verdict to the end of the last old lease.
    Fence,
    /// From there to the promotion.
    Promote,
    /// From there until every entry knows the new primary.
    Publish,
}

impl Stage {
    /// Name of the stage's histogram.
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
pub enum Reason {
    /// The primary failed and there is no replica.
    NoReplica,
    /// Too few replicas answer to know that no acknowledged write is lost.
    TooFew {
        /// Answers needed.
        needed: usize,
        /// Answers that count.
        had: usize,
    },
    /// A new database has no primary, or more than one target that says it is the primary.
    NoSinglePrimary,
    /// The chosen target does not answer; another one may not be promoted for the same term.
    NoPromotion(Name),
    /// The promoted target is on another term than the one it was promoted for.
    OtherTerm(Name, Term),
    /// The promoted target lacks what it had when it was chosen: its disk was emptied since.
    Emptied(Name),
    /// A planned switch has been undone, since no replica caught up in time.
    Undone,
    /// The catalog refused a step.
    Refused(String),
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoReplica => f.write_str("the primary failed and there is no replica"),
            Self::TooFew { needed, had } => {
                write!(f, "{had} of {needed} needed replicas answer")
            }
            Self::NoSinglePrimary => f.write_str("not exactly one target is the primary"),
            Self::NoPromotion(name) => write!(f, "{name} is chosen and does not answer"),
            Self::OtherTerm(name, term) => write!(f, "{name} is on term {}", term.0),
            Self::Emptied(name) => write!(f, "{name} lacks what it had when it was chosen"),
            Self::Undone => f.write_str("no replica caught up in time; the switch is undone"),
            Self::Refused(text) => write!(f, "the catalog refused: {text}"),
        }
    }
}

/// What the control leader is to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Put a command into the replicated log; report its outcome if it is refused.
    Propose(Command),
    /// Ask a target for its position; the answer names the same round.
    Query {
        /// The target.
        target: Name,
        /// Tells answers of this change from late ones of an earlier change.
        round: Revision,
    },
    /// Promote a target unless it is the primary of `term` already; report the result. A target
    /// whose term is later is left alone: the command is late.
    Promote {
        /// The target.
        target: Name,
        /// Term that the promotion begins.
        term: Term,
    },
    /// Let a replica follow the primary; report when done.
    Follow {
        /// The replica.
        target: Name,
        /// The primary.
        primary: Name,
    },
    /// Tell the operator; the machine goes on trying.
    Stalled(Reason),
    /// Add to a stage's histogram.
    Observe(Stage, Duration),
}

/// One line for logs.
impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Propose(command) => write!(f, "propose: {command}"),
            Self::Query { target, round } => {
                write!(f, "ask {target} for its position, round {}", round.0)
            }
            Self::Promote { target, term } => write!(f, "promote {target} for term {}", term.0),
            Self::Follow { target, primary } => write!(f, "let {target} follow {primary}"),
            Self::Stalled(reason) => write!(f, "no progress: {reason}"),
            Self::Observe(stage, took) => write!(f, "{}: {took:?}", stage.metric()),
        }
    }
}

/// Decides the steps of changes of primary of one database.
#[derive(Debug)]
pub struct Machine {
    name: Name,
    work: Option<Work>,
    clock: Clock,
    /// No planned switch before this time.
    pause: Option<Instant>,
}

impl Machine {
    /// A machine for the database called `name`.
    #[must_use]
    pub const fn new(name: Name) -> Self {
        Self {
            name,
            work: None,
            clock: Clock::new(),
            pause: None,
        }
    }

    /// Goes on from the committed phase; to be called on each change of the catalog or of the
    /// signals, on each answer, and every 20 ms while the database is not steady
    /// or its primary is not serving.
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
        let work = self.work.take().filter(|work| work.is_of(database));
        let mut work = work.unwrap_or_else(|| Work::new(now, database));
        let mut turn = Turn {
            now,
            name: &self.name,
            catalog,
            database,
            signals,
            work: &mut work,
            clock: &mut self.clock,
            pause: &mut self.pause,
            out,
        };
        turn.run();
        self.work = Some(work);
    }

    /// A target's position as answer to a query of `round`.
    pub fn on_position(
        &mut self,
        now: Instant,
        target: &Name,
        round: Revision,
        position: Position,
    ) {
        if let Some(work) = self.work.as_mut().filter(|work| work.since == round) {
            work.answer(now, target, position);
        }
    }

    /// `target` is the primary of `term`, just promoted or already before. `start` is the last
    /// position of the earlier term that it kept; a later one would hide lost writes.
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
            term: wanted,
            target: chosen,
        } = database.phase()
        else {
            return;
        };
        let Some(work) = self.work.as_mut().filter(|w| w.is_of(database)) else {
            return;
        };
        if chosen != target || work.start.is_some() {
            return;
        }
        if term != *wanted {
            return work.report(Reason::OtherTerm(target.clone(), term), out);
        }
        if start < database.point_at_choice().lsn {
            return work.report(Reason::Emptied(target.clone()), out);
        }
        work.start = Some(start);
        if let Some(fenced) = self.clock.fenced.take() {
            out.push(Action::Observe(Stage::Promote, now - fenced));
        }
        self.clock.promoted = Some(now);
    }

    /// `target` follows `primary`.
    pub fn on_following(&mut self, target: &Name, primary: &Name, catalog: &Catalog) {
        let database = catalog.database(self.name.as_str());
        let present = database.filter(|d| d.primary() == Some(primary));
        let work = self.work.as_mut();
        let work = work.filter(|w| present.is_some_and(|d| w.is_of(d)));
        if let Some(work) = work {
            work.following.insert(target.clone());
        }
    }

    /// Outcome of a proposal. A refusal is told if the catalog is still in the same phase; else the
    /// command was merely late.
    pub fn on_outcome(&mut self, outcome: &Outcome, catalog: &Catalog, out: &mut Vec<Action>) {
        let Some(database) = catalog.database(self.name.as_str()) else {
            return;
        };
        let work = self.work.as_mut().filter(|work| work.is_of(database));
        if let (Outcome::Refused(findings), Some(work)) = (outcome, work) {
            let texts: Vec<String> = findings.iter().map(ToString::to_string).collect();
            work.report(Reason::Refused(texts.join("; ")), out);
        }
    }
}

//! Databases: terms, primary and the phase of a change of primary.

use std::collections::BTreeSet;

use types::database::History;
use types::{Name, Point, Revision, Term};

/// Phase of a change of primary.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Phase {
    /// No change is under way. There may be no primary yet.
    #[default]
    Steady,
    /// No write is acknowledged any more under a term before `term`.
    Fenced {
        /// Term that begins when the change ends.
        term: Term,
        /// Entry instances queue new writes instead of refusing them.
        hold: bool,
    },
    /// Only `target` may be promoted for `term`.
    Chosen {
        /// Term that begins when the change ends.
        term: Term,
        target: Name,
    },
}

/// One database: a group of targets that replicate from one primary.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Database {
    pub(crate) service: Name,
    pub(crate) group: Name,
    /// The old primary during a change of primary.
    pub(crate) primary: Option<Name>,
    pub(crate) history: History,
    pub(crate) phase: Phase,
    /// In phase `Chosen`: the value of `hold` of the preceding fence.
    pub(crate) fence_had_hold: bool,
    /// In phase `Chosen`: position of the chosen target at the choice.
    pub(crate) point_at_choice: Point,
    /// Revision at which the phase began.
    pub(crate) phase_since: Revision,
    /// Least nonzero `write.acks` in force since the term began; 0 if there was none.
    pub(crate) min_acks: u32,
    /// Reason given for the last change of primary.
    pub(crate) reason: String,
    /// Derived from the targets, so that a lookup need not search all of them.
    pub(crate) members: BTreeSet<Name>,
}

impl Database {
    #[must_use]
    pub const fn service(&self) -> &Name {
        &self.service
    }

    #[must_use]
    pub const fn group(&self) -> &Name {
        &self.group
    }

    /// The primary of the current term; during a change of primary, the old primary.
    #[must_use]
    pub const fn primary(&self) -> Option<&Name> {
        self.primary.as_ref()
    }

    /// The primary and its term; none during a change of primary or before the first primary.
    #[must_use]
    pub fn writable_primary(&self) -> Option<(&Name, Term)> {
        let steady = self.phase == Phase::Steady;
        let term = self.history.current()?;
        let primary = self.primary.as_ref()?;
        steady.then_some((primary, term))
    }

    /// The terms with the log position at which each began.
    #[must_use]
    pub const fn history(&self) -> &History {
        &self.history
    }

    /// The current term; none before the first primary.
    #[must_use]
    pub fn term(&self) -> Option<Term> {
        self.history.current()
    }

    #[must_use]
    pub const fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Whether entry instances queue new writes until the end of a planned switch.
    #[must_use]
    pub const fn holds_writes(&self) -> bool {
        match self.phase {
            Phase::Steady => false,
            Phase::Fenced { hold, .. } => hold,
            Phase::Chosen { .. } => self.fence_had_hold,
        }
    }

    /// In phase `Chosen`, the position of the chosen target at the choice. A term that begins
    /// before it would lack acknowledged writes, as the target's disk was emptied after the choice.
    #[must_use]
    pub const fn point_at_choice(&self) -> Point {
        self.point_at_choice
    }

    /// Revision at which the current phase began.
    #[must_use]
    pub const fn phase_since(&self) -> Revision {
        self.phase_since
    }

    /// Least nonzero `write.acks` in force since the current term began; 0 if there was none.
    ///
    /// The choice of a primary uses this value and not the current setting, because entry instances
    /// may have acknowledged writes under it. Writes under `write.acks` 0 are not protected against
    /// the loss of the primary, so 0 is left out.
    #[must_use]
    pub const fn min_acks(&self) -> u32 {
        self.min_acks
    }

    pub(crate) fn record_acks(&mut self, write_acks: u32) {
        if write_acks > 0 && (self.min_acks == 0 || write_acks < self.min_acks) {
            self.min_acks = write_acks;
        }
    }

    /// Reason given for the last change of primary.
    #[must_use]
    pub fn reason(&self) -> &str {
        &self.reason
    }
}

//! Databases: terms, primary and the phase of a change of primary.

use std::collections::BTreeSet;

use types::database::History;
use types::{Name, Point, Revision, Term};

/// How far a change of primary has come.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Phase {
    /// No change is under way. Without a primary, none has been found yet.
    #[default]
    Steady,
    /// No write is acknowledged any more under an earlier term than `term`.
    Fenced {
        /// Term that begins when the change ends.
        term: Term,
        /// Entries queue new writes instead of refusing them.
        hold: bool,
    },
    /// `target`, and no other, may be promoted for `term`.
    Chosen {
        /// Term that begins when the change ends.
        term: Term,
        /// The next primary.
        target: Name,
    },
}

/// One database: a group of targets that replicate from one primary.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Database {
    pub(crate) service: Name,
    pub(crate) group: Name,
    /// During a change, the old primary.
    pub(crate) primary: Option<Name>,
    pub(crate) history: History,
    pub(crate) phase: Phase,
    /// In phase `Chosen`: whether the fence was one with hold.
    pub(crate) held: bool,
    /// Position that the chosen target had.
    pub(crate) point: Point,
    pub(crate) since: Revision,
    /// Least `write.acks` above 0 in force since the term began; 0 if there was none.
    pub(crate) acks: u32,
    pub(crate) reason: String,
    /// Derived from the targets; kept so that a lookup doesn't go through all of them.
    pub(crate) members: BTreeSet<Name>,
}

impl Database {
    /// Service that it belongs to.
    #[must_use]
    pub const fn service(&self) -> &Name {
        &self.service
    }

    /// Its group of targets.
    #[must_use]
    pub const fn group(&self) -> &Name {
        &self.group
    }

    /// The primary of the present term; during a change, the old one.
    #[must_use]
    pub const fn primary(&self) -> Option<&Name> {
        self.primary.as_ref()
    }

    /// Where writes go: the primary, unless a change is under way.
    #[must_use]
    pub fn writable(&self) -> Option<(&Name, Term)> {
        let steady = self.phase == Phase::Steady;
        let term = self.history.current()?;
        let primary = self.primary.as_ref()?;
        steady.then_some((primary, term))
    }

    /// Terms and where each began.
    #[must_use]
    pub const fn history(&self) -> &History {
        &self.history
    }

    /// The present term; none before the first primary.
    #[must_use]
    pub fn term(&self) -> Option<Term> {
        self.history.current()
    }

    /// How far a change of primary has come.
    #[must_use]
    pub const fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Whether new writes wait for the end of a planned switch.
    #[must_use]
    pub const fn is_held(&self) -> bool {
        match self.phase {
            Phase::Steady => false,
            Phase::Fenced { hold, .. } => hold,
            Phase::Chosen { .. } => self.held,
        }
    }

    /// In phase `Chosen`, the position that the target had. A term that begins before it would lack
    /// acknowledged writes: the target's disk was emptied after the choice.
    #[must_use]
    pub const fn point(&self) -> Point {
        self.point
    }

    /// Revision at which the phase was entered.
    #[must_use]
    pub const fn since(&self) -> Revision {
        self.since
    }

    /// Least `write.acks` above 0 in force since the present term began; 0 if there was none.
    ///
    /// The choice of a primary counts with it, not with the present value: entries may have
    /// acknowledged writes under it. Writes under 0 are not protected and so don't count.
    #[must_use]
    pub const fn acks(&self) -> u32 {
        self.acks
    }

    pub(crate) fn note_acks(&mut self, acks: u32) {
        if acks > 0 && (self.acks == 0 || acks < self.acks) {
            self.acks = acks;
        }
    }

    /// Why the last change of primary began.
    #[must_use]
    pub fn reason(&self) -> &str {
        &self.reason
    }
}

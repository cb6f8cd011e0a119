//! Terms of a database, and whether a position survived the promotions between them.

use crate::{Lsn, Point, Term};

/// Relation of a session's position to the current term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Relation {
    /// The position is part of the current term: a target covers it once it has replayed up to
    /// this lsn.
    Requires(Lsn),
    /// The position was written after the point from which a later term began, so that a promotion
    /// discarded it.
    Lost,
    /// The term of the position is later than every term of this history.
    UnknownTerm,
}

/// Terms of a database with the position at which each began.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct History {
    /// Invariant: terms increase strictly; a start may be below that of an earlier term.
    starts: Vec<(Term, Lsn)>,
}

impl History {
    /// Adds a term that begins at `start`. Returns false if it is not later than the current term.
    pub fn begin(&mut self, term: Term, start: Lsn) -> bool {
        let is_later = self.current().is_none_or(|last| term > last);
        if is_later {
            self.starts.push((term, start));
        }
        is_later
    }

    #[must_use]
    pub fn current(&self) -> Option<Term> {
        self.starts.last().map(|(term, _)| *term)
    }

    /// Terms and their start positions, oldest first.
    #[must_use]
    pub fn starts(&self) -> &[(Term, Lsn)] {
        &self.starts
    }

    /// Relation of `point` to the current term. A position survives if every later term began at
    /// or after it.
    #[must_use]
    pub fn relation(&self, point: Point) -> Relation {
        match self.current() {
            Some(last) if point.term <= last => {}
            _ => return Relation::UnknownTerm,
        }
        let lost = self
            .starts
            .iter()
            .any(|(term, start)| *term > point.term && *start < point.lsn);
        if lost {
            Relation::Lost
        } else {
            Relation::Requires(point.lsn)
        }
    }
}

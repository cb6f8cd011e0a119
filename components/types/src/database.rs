//! History of a database's terms.

use crate::{Lsn, Point, Term};

/// Relation of a session's position to the present term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// A target of the present term covers the position once it has this lsn.
    Needs(Lsn),
    /// The position was on a tail that a promotion discarded.
    Lost,
    /// The position names a term that this history does not know yet.
    Ahead,
}

/// Terms of a database with the position at which each began.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct History {
    /// Invariant: terms rise strictly; a start may be below that of an earlier term.
    starts: Vec<(Term, Lsn)>,
}

impl History {
    /// Adds a term that begins at `start`. Returns false if it is not later than the last one.
    pub fn begin(&mut self, term: Term, start: Lsn) -> bool {
        let later = self.current().is_none_or(|last| term > last);
        if later {
            self.starts.push((term, start));
        }
        later
    }

    /// The present term.
    #[must_use]
    pub fn current(&self) -> Option<Term> {
        self.starts.last().map(|(term, _)| *term)
    }

    /// Terms and their starts, oldest first.
    #[must_use]
    pub fn starts(&self) -> &[(Term, Lsn)] {
        &self.starts
    }

    /// How `point` relates to the present term.
    ///
    /// A position survives if every later term began at or after it.
    #[must_use]
    pub fn standing(&self, point: Point) -> Standing {
        match self.current() {
            Some(last) if point.term <= last => {}
            _ => return Standing::Ahead,
        }
        let lost = self
            .starts
            .iter()
            .any(|(term, start)| *term > point.term && *start < point.lsn);
        if lost {
            Standing::Lost
        } else {
            Standing::Needs(point.lsn)
        }
    }
}

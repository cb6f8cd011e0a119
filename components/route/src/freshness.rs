//! Bound on the age of a replica's data.

use std::time::{Duration, Instant};

use types::{Lsn, Point, Term};

/// Observations kept. Thinning spaces the older ones out, so that a fixed number covers any time and
/// recent ages stay exact.
pub const OBSERVATIONS_MAX: usize = 64;

/// Positions of the primary with the instants at which it had them.
///
/// A write that a replica at an observed position lacks was made after that observation began, so
/// that the time since then bounds the age of the replica's data from above.
#[derive(Clone, Debug, Default)]
pub struct Track {
    term: Term,
    /// Invariant: lsn and instant both rise strictly; at most [`OBSERVATIONS_MAX`] entries.
    seen: Vec<(Lsn, Instant)>,
}

impl Track {
    /// Notes that the primary was at `point`, asked at `asked` (the instant of sending, since the
    /// answer may have been delayed).
    ///
    /// `lease_end` is the deadline of the entry's lease when the answer arrived. An observation
    /// beyond it is dropped: another primary may have taken writes by then, and an old primary's
    /// position would date replicas too young.
    pub fn observe(&mut self, point: Point, asked: Instant, lease_end: Instant) {
        if asked >= lease_end || point.term < self.term {
            return;
        }
        if point.term > self.term {
            self.term = point.term;
            self.seen.clear();
        }
        match self.seen.last_mut() {
            Some((lsn, at)) if point.lsn == *lsn => *at = asked.max(*at),
            // Late answers say nothing that a newer one does not.
            Some((lsn, at)) if point.lsn < *lsn || asked <= *at => {}
            _ => self.push(point.lsn, asked),
        }
    }

    /// Upper bound of the age of a target whose position is at least `point`; `None` if unknown.
    #[must_use]
    pub fn age(&self, point: Point, now: Instant) -> Option<Duration> {
        if point.term != self.term {
            return None;
        }
        let after = self.seen.partition_point(|(lsn, _)| *lsn <= point.lsn);
        let (_, at) = self.seen[..after].last()?;
        Some(now.saturating_duration_since(*at))
    }

    /// Term of the observations.
    #[must_use]
    pub const fn term(&self) -> Term {
        self.term
    }

    /// The last position observed.
    #[must_use]
    pub fn last(&self) -> Option<Point> {
        let (lsn, _) = *self.seen.last()?;
        Some(Point {
            term: self.term,
            lsn,
        })
    }

    /// Number of observations kept.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.seen.len()
    }

    /// Nothing was observed under the present term.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    fn push(&mut self, lsn: Lsn, at: Instant) {
        if self.seen.len() >= OBSERVATIONS_MAX {
            self.thin();
        }
        self.seen.push((lsn, at));
    }

    /// Drops every second observation of the older half. An age can only grow by that.
    fn thin(&mut self) {
        let half = self.seen.len() / 2;
        let mut at = 0;
        self.seen.retain(|_| {
            at += 1;
            at > half || at % 2 == 1
        });
    }
}

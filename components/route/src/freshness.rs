//! Upper bound on the age of a replica's data.

use std::time::{Duration, Instant};

use types::{Lsn, Point, Term};

/// Limit of the observations in memory. Older ones are thinned out, so that a fixed number covers
/// any period while recent ages stay exact.
pub const MAX_OBSERVATIONS: usize = 64;

/// Positions of the primary with the instants at which they were requested.
///
/// If a replica has reached an observed position, every write that it lacks was made after that
/// request, so the time since the request is an upper bound of the age of its data.
#[derive(Clone, Debug, Default)]
pub struct Positions {
    term: Term,
    /// Invariant: lsn and instant are strictly increasing; at most [`MAX_OBSERVATIONS`] entries.
    observations: Vec<(Lsn, Instant)>,
}

impl Positions {
    /// Records that the primary was at `point` when it was asked at `requested_at`, the instant of
    /// sending, as the reply may have been delayed.
    ///
    /// `lease_deadline` is the deadline of the entry's lease when the reply arrived. An observation
    /// at or after it is dropped: another primary may have taken writes by then, and the position
    /// of the old one would make replicas look younger than they are.
    pub fn observe(&mut self, point: Point, requested_at: Instant, lease_deadline: Instant) {
        if requested_at >= lease_deadline || point.term < self.term {
            return;
        }
        if point.term > self.term {
            self.term = point.term;
            self.observations.clear();
        }
        match self.observations.last_mut() {
            Some((lsn, at)) if point.lsn == *lsn => *at = requested_at.max(*at),
            // A delayed reply adds nothing to a newer one.
            Some((lsn, at)) if point.lsn < *lsn || requested_at <= *at => {}
            _ => self.push(point.lsn, requested_at),
        }
    }

    /// Upper bound of the age of a target that has reached `point`; `None` if unknown.
    #[must_use]
    pub fn age_bound(&self, point: Point, now: Instant) -> Option<Duration> {
        if point.term != self.term {
            return None;
        }
        let end = self
            .observations
            .partition_point(|(lsn, _)| *lsn <= point.lsn);
        let (_, at) = self.observations[..end].last()?;
        Some(now.saturating_duration_since(*at))
    }

    #[must_use]
    pub const fn term(&self) -> Term {
        self.term
    }

    #[must_use]
    pub fn last_position(&self) -> Option<Point> {
        let (lsn, _) = *self.observations.last()?;
        Some(Point {
            term: self.term,
            lsn,
        })
    }

    #[must_use]
    pub const fn len(&self) -> usize {
        self.observations.len()
    }

    /// Whether no position of the current term has been observed.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.observations.is_empty()
    }

    fn push(&mut self, lsn: Lsn, at: Instant) {
        if self.observations.len() >= MAX_OBSERVATIONS {
            self.thin_out();
        }
        self.observations.push((lsn, at));
    }

    /// Drops every second observation of the older half. This can only increase an age bound.
    fn thin_out(&mut self) {
        let half = self.observations.len() / 2;
        let mut ordinal = 0;
        self.observations.retain(|_| {
            ordinal += 1;
            ordinal > half || ordinal % 2 == 1
        });
    }
}

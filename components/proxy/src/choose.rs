//! Choice of a server for a read that a replica may serve.

use std::time::{Duration, Instant};

use types::Point;

/// Added to the cost of a server in another failure domain: the way there and its price.
const REMOTE: Duration = Duration::from_millis(4);
/// Factor on the cost of the primary, which alone can serve writes.
const PRIMARY: f64 = 1.5;
/// Added to the cost of a server without a free connection: one has to be opened first.
const OPENING: Duration = Duration::from_millis(15);
/// Added to the cost of a replica that was last seen before the position.
const BEHIND: Duration = Duration::from_millis(10);

/// A server as a candidate.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Its index.
    pub index: usize,
    /// It takes no new work.
    pub draining: bool,
    /// It leads, as far as is known.
    pub primary: bool,
    /// It is in the entry's own failure domain.
    pub local: bool,
    /// A connection is idle.
    pub idle: bool,
    /// A connection may be opened.
    pub room: bool,
    /// Statements of this entry that it works on.
    pub running: usize,
    /// Smoothed time of its answers.
    pub latency: Duration,
    /// Not before this, after failures.
    pub down_until: Option<Instant>,
    /// Not before this for reads that need a position, after it lacked one.
    pub behind_until: Option<Instant>,
    /// Latest position that it showed.
    pub point: Option<Point>,
    /// This request was tried there already.
    pub tried: bool,
}

impl Candidate {
    /// Expected cost of a read, in seconds.
    fn cost(&self, after: Point) -> f64 {
        let busy = 1.0 + self.running as f64;
        let mut cost = self.latency.as_secs_f64() * busy;
        if self.primary {
            cost *= PRIMARY;
        }
        if !self.local {
            cost += REMOTE.as_secs_f64();
        }
        if !self.idle {
            cost += OPENING.as_secs_f64();
        }
        let seen = self.point.map(|point| (point.term, point.lsn));
        if !self.primary && seen.is_none_or(|seen| seen < (after.term, after.lsn)) {
            cost += BEHIND.as_secs_f64();
        }
        cost
    }

    fn is_up(&self, now: Instant) -> bool {
        self.down_until.is_none_or(|until| until <= now)
    }

    fn is_level(&self, now: Instant) -> bool {
        self.behind_until.is_none_or(|until| until <= now)
    }
}

/// The cheapest server that may serve a read after a position; none if all have to be waited for.
///
/// A server that was tried before is used again only if no other is left.
#[must_use]
pub fn choose(candidates: &[Candidate], after: Point, now: Instant) -> Option<usize> {
    let cheapest = |again: bool| {
        let fitting = candidates.iter().filter(|it| {
            let usable = !it.draining && (it.idle || it.room);
            usable && it.is_up(now) && it.is_level(now) && (again || !it.tried)
        });
        let cheapest = fitting.min_by(|a, b| a.cost(after).total_cmp(&b.cost(after)));
        cheapest.map(|it| it.index)
    };
    cheapest(false).or_else(|| cheapest(true))
}

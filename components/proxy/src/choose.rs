//! Choice of a server for a read that a replica may serve.

use std::time::{Duration, Instant};

/// Added to the cost of a server in another failure domain: the way there and its price.
const REMOTE: Duration = Duration::from_millis(4);
/// Factor on the cost of the primary, which alone can serve writes and writing transactions.
const PRIMARY: f64 = 4.0;
/// Added to the cost of a server without a free connection: one has to be opened first.
const OPENING: Duration = Duration::from_millis(15);

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
    /// How far its log is behind; none if that is not known.
    pub lag: Option<Duration>,
    /// This request was tried there already.
    pub tried: bool,
}

impl Candidate {
    /// Expected cost of a read, in seconds.
    fn cost(&self) -> f64 {
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
        cost
    }

    fn is_up(&self, now: Instant) -> bool {
        self.down_until.is_none_or(|until| until <= now)
    }

    /// Whether its log should hold a position that the primary had `age` ago.
    fn holds(&self, age: Duration) -> bool {
        self.lag.is_none_or(|lag| lag <= age)
    }
}

/// The cheapest server that may serve a read of a position that the primary had `age` ago; none if
/// all have to be waited for.
///
/// A server that seems to lack the position is not chosen, and one that was tried before only if no
/// other is left.
#[must_use]
pub fn choose(candidates: &[Candidate], age: Duration, now: Instant) -> Option<usize> {
    let cheapest = |again: bool| {
        let fitting = candidates.iter().filter(|it| {
            let usable = !it.draining && (it.idle || it.room) && it.is_up(now);
            usable && it.holds(age) && (again || !it.tried)
        });
        let cheapest = fitting.min_by(|a, b| a.cost().total_cmp(&b.cost()));
        cheapest.map(|it| it.index)
    };
    cheapest(false).or_else(|| cheapest(true))
}

//! Choice of a server for a read that a replica may serve.

use std::time::{Duration, Instant};

/// Added to the cost of a server in another failure domain, for the network latency and traffic
/// fees.
const REMOTE_COST: Duration = Duration::from_millis(4);
/// Factor on the cost of the primary, which is the only server for writes and writing transactions.
const PRIMARY_COST_FACTOR: f64 = 4.0;
/// Added to the cost of a server without an idle connection, as one must be opened first.
const OPENING_COST: Duration = Duration::from_millis(15);

/// What the choice knows about a server.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Index of the server.
    pub index: usize,
    /// The server takes no new statements.
    pub draining: bool,
    /// The server is believed to be the primary.
    pub primary: bool,
    /// The server is in the proxy's own failure domain.
    pub local: bool,
    /// An idle connection is available.
    pub has_idle: bool,
    /// A connection may be opened.
    pub can_open: bool,
    /// Number of this proxy's statements that the server is running.
    pub running: usize,
    /// Smoothed response time.
    pub latency: Duration,
    /// All slots of the server are taken, as far as is known.
    pub full: bool,
    /// The server is skipped until then, after failures.
    pub down_until: Option<Instant>,
    /// How far the server's log lags; `None` if unknown.
    pub lag: Option<Duration>,
    /// The statement was already tried on this server.
    pub tried: bool,
}

impl Candidate {
    /// Expected cost of a read, in seconds.
    fn cost(&self) -> f64 {
        let busy = 1.0 + self.running as f64;
        let mut cost = self.latency.as_secs_f64() * busy;
        if self.primary {
            cost *= PRIMARY_COST_FACTOR;
        }
        if !self.local {
            cost += REMOTE_COST.as_secs_f64();
        }
        if !self.has_idle {
            cost += OPENING_COST.as_secs_f64();
        }
        cost
    }

    fn is_up(&self, now: Instant) -> bool {
        self.down_until.is_none_or(|until| until <= now)
    }

    /// Whether the server's log should contain the position that the primary had `age` ago.
    fn has_reached(&self, age: Duration) -> bool {
        self.lag.is_none_or(|lag| lag <= age)
    }
}

/// Returns the cheapest server that may serve a read at the position that the primary had `age`
/// ago, or `None` if the read has to wait.
///
/// A server that seems to lack the position is not chosen. One whose slots are taken, or that was
/// tried before, is chosen only if no other is left.
#[must_use]
pub fn choose(candidates: &[Candidate], age: Duration, now: Instant) -> Option<usize> {
    let cheapest = |allow_full: bool, allow_tried: bool| {
        let fitting = candidates.iter().filter(|candidate| {
            let usable = !candidate.draining
                && (candidate.has_idle || candidate.can_open)
                && candidate.is_up(now);
            let wanted = (allow_full || !candidate.full) && (allow_tried || !candidate.tried);
            usable && candidate.has_reached(age) && wanted
        });
        let cheapest = fitting.min_by(|a, b| a.cost().total_cmp(&b.cost()));
        cheapest.map(|candidate| candidate.index)
    };
    cheapest(false, false)
        .or_else(|| cheapest(false, true))
        .or_else(|| cheapest(true, false))
        .or_else(|| cheapest(true, true))
}

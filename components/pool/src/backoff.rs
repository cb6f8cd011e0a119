//! Delay between attempts to open a connection.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

/// First delay, about the time that opening a connection takes.
pub const FIRST: Duration = Duration::from_millis(20);

/// Longest delay. A target that returns is in use again within it.
pub const LAST: Duration = Duration::from_secs(1);

/// Doubles the delay at each failure in a row.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
    until: Option<Instant>,
}

impl Backoff {
    /// No failure so far.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            failures: 0,
            until: None,
        }
    }

    /// Notes a failure. The delay is drawn from the upper half of its range, so that entries that
    /// failed together do not return together. Attempts that fail during a delay began before it
    /// and do not lengthen it.
    pub fn fail<R: Rng + ?Sized>(&mut self, now: Instant, rng: &mut R) {
        if !self.ready(now) {
            return;
        }
        let factor = 1_u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        let delay = FIRST.saturating_mul(factor).min(LAST);
        let percent = rng.random_range(50..=100);
        self.failures = self.failures.saturating_add(1);
        self.until = Some(now + delay * percent / 100);
    }

    /// Notes a success.
    pub const fn succeed(&mut self) {
        self.failures = 0;
        self.until = None;
    }

    /// An attempt may start.
    #[must_use]
    pub fn ready(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }

    /// Instant of the next attempt after a failure.
    #[must_use]
    pub const fn until(&self) -> Option<Instant> {
        self.until
    }
}

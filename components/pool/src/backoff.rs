//! Exponential backoff between attempts to open a connection.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

/// Delay after the first failure, about the time that opening a connection takes.
pub const FIRST_DELAY: Duration = Duration::from_millis(20);

/// Upper limit of the delay, and so of the time until a recovered target is used again.
pub const MAX_DELAY: Duration = Duration::from_secs(1);

/// Doubles the delay with each consecutive failure.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
    retry_at: Option<Instant>,
}

impl Backoff {
    #[must_use]
    pub const fn new() -> Self {
        Self {
            failures: 0,
            retry_at: None,
        }
    }

    /// Records a failure. The delay has a jitter of up to half its length, so that entries that
    /// failed at the same time do not retry at the same time. An attempt that fails during a delay
    /// was started before it and does not extend it.
    pub fn on_failure<R: Rng + ?Sized>(&mut self, now: Instant, rng: &mut R) {
        if !self.is_ready(now) {
            return;
        }
        let factor = 1_u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        let delay = FIRST_DELAY.saturating_mul(factor).min(MAX_DELAY);
        let percent = rng.random_range(50..=100);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = Some(now + delay * percent / 100);
    }

    /// Records a success, which ends the backoff.
    pub const fn on_success(&mut self) {
        self.failures = 0;
        self.retry_at = None;
    }

    /// Whether an attempt may start.
    #[must_use]
    pub fn is_ready(&self, now: Instant) -> bool {
        self.retry_at.is_none_or(|retry_at| now >= retry_at)
    }

    /// Earliest instant of the next attempt; `None` if the last one succeeded.
    #[must_use]
    pub const fn retry_at(&self) -> Option<Instant> {
        self.retry_at
    }
}

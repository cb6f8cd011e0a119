//! Budget of repeated statements.

use std::time::{Duration, Instant};

/// Retries allowed per hundred requests. More would multiply the load of a target that fails
/// because it is overloaded.
pub const PERCENT: u64 = 10;

/// Parts of the window; the oldest one leaves as a whole.
const PARTS: usize = 10;

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    requests: u64,
    retries: u64,
}

/// Retries and requests over a sliding window.
#[derive(Clone, Debug)]
pub struct Budget {
    parts: [Part; PARTS],
    /// Part of the present.
    at: usize,
    /// End of that part.
    end: Instant,
    width: Duration,
}

impl Budget {
    /// An empty window of length `window` that begins at `now`.
    #[must_use]
    pub fn new(window: Duration, now: Instant) -> Self {
        let width = (window / 10).max(Duration::from_millis(1));
        Self {
            parts: [Part::default(); PARTS],
            at: 0,
            end: now + width,
            width,
        }
    }

    /// Notes a request. A retry is no request.
    pub fn on_request(&mut self, now: Instant) {
        self.slide(now);
        self.parts[self.at].requests += 1;
    }

    /// Spends a retry if the budget allows one.
    pub fn spend(&mut self, now: Instant) -> bool {
        self.slide(now);
        let requests: u64 = self.parts.iter().map(|part| part.requests).sum();
        let retries: u64 = self.parts.iter().map(|part| part.retries).sum();
        let allowed = (retries + 1) * 100 <= requests * PERCENT;
        if allowed {
            self.parts[self.at].retries += 1;
        }
        allowed
    }

    fn slide(&mut self, now: Instant) {
        if now >= self.end + self.width * 10 {
            *self = Self::new(self.width * 10, now);
            return;
        }
        while now >= self.end {
            self.at = (self.at + 1) % PARTS;
            self.parts[self.at] = Part::default();
            self.end += self.width;
        }
    }
}

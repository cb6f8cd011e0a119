//! Retry budget: limits retries to a share of the requests.

use std::time::{Duration, Instant};

/// More retries would multiply the load of a target that fails because it is overloaded.
pub const MAX_RETRIES_PER_100_REQUESTS: u64 = 10;

/// Number of buckets that make up the sliding window; the oldest one expires as a whole. The literal
/// 10 in calculations with durations is the same number.
const BUCKET_COUNT: usize = 10;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    requests: u64,
    retries: u64,
}

/// Counts retries and requests over a sliding window.
#[derive(Clone, Debug)]
pub struct Budget {
    buckets: [Bucket; BUCKET_COUNT],
    /// Index of the bucket that counts at present.
    current: usize,
    /// When the current bucket is complete.
    current_end: Instant,
    bucket_width: Duration,
}

impl Budget {
    /// An empty window of length `window` that begins at `now`.
    #[must_use]
    pub fn new(window: Duration, now: Instant) -> Self {
        let bucket_width = (window / 10).max(Duration::from_millis(1));
        Self {
            buckets: [Bucket::default(); BUCKET_COUNT],
            current: 0,
            current_end: now + bucket_width,
            bucket_width,
        }
    }

    /// Counts a request. A retry is not a request.
    pub fn on_request(&mut self, now: Instant) {
        self.slide(now);
        self.buckets[self.current].requests += 1;
    }

    /// Whether the budget allows a retry, which is then counted.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        self.slide(now);
        let requests: u64 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u64 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let allowed = (retries + 1) * 100 <= requests * MAX_RETRIES_PER_100_REQUESTS;
        if allowed {
            self.buckets[self.current].retries += 1;
        }
        allowed
    }

    fn slide(&mut self, now: Instant) {
        if now >= self.current_end + self.bucket_width * 10 {
            *self = Self::new(self.bucket_width * 10, now);
            return;
        }
        while now >= self.current_end {
            self.current = (self.current + 1) % BUCKET_COUNT;
            self.buckets[self.current] = Bucket::default();
            self.current_end += self.bucket_width;
        }
    }
}

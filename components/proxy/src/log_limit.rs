//! Bound on the log lines about single statements.

use std::time::{Duration, Instant};

/// Lines about served statements a second.
const SERVED: u32 = 10;
/// Lines about statements that were refused, failed or tried again, a second.
const FAILED: u32 = 100;
/// Time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// What a line is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Line {
    /// A statement that was served at the first try.
    Served,
    /// Any other decision.
    Failed,
}

/// Counts lines.
#[derive(Debug)]
pub struct Journal {
    ends_at: Instant,
    served: u32,
    failed: u32,
}

impl Journal {
    /// No lines yet.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            ends_at: now + WINDOW,
            served: 0,
            failed: 0,
        }
    }

    /// Whether one more line may be written now.
    pub fn allows(&mut self, now: Instant, line: Line) -> bool {
        if now >= self.ends_at {
            *self = Self::new(now);
        }
        let (count, limit) = match line {
            Line::Served => (&mut self.served, SERVED),
            Line::Failed => (&mut self.failed, FAILED),
        };
        *count += 1;
        *count <= limit
    }
}

//! Rate limit of the log lines about single statements.

use std::time::{Duration, Instant};

/// Maximum number of lines per second about statements that were served at the first attempt.
const MAX_SERVED_LINES: u32 = 10;
/// Maximum number of lines per second about statements that were refused, failed or retried.
const MAX_FAILED_LINES: u32 = 100;
const COUNT_WINDOW: Duration = Duration::from_secs(1);

/// What a log line is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Line {
    /// A statement that was served at the first attempt.
    Served,
    /// A statement that was refused, failed or retried.
    Failed,
}

/// Counts the lines of the current second.
#[derive(Debug)]
pub struct Limiter {
    window_end: Instant,
    served_lines: u32,
    failed_lines: u32,
}

impl Limiter {
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            window_end: now + COUNT_WINDOW,
            served_lines: 0,
            failed_lines: 0,
        }
    }

    /// Counts a line and returns whether it may be written.
    pub fn allows(&mut self, now: Instant, line: Line) -> bool {
        if now >= self.window_end {
            *self = Self::new(now);
        }
        let (count, limit) = match line {
            Line::Served => (&mut self.served_lines, MAX_SERVED_LINES),
            Line::Failed => (&mut self.failed_lines, MAX_FAILED_LINES),
        };
        *count += 1;
        *count <= limit
    }
}

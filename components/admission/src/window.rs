//! Limit of the statements that one process has running on a server.
//!
//! Several processes share the slots of a server, and none knows what the others have running. Each
//! adapts its own limit to the server's answers: it grows with every statement that has run, and
//! shrinks with every one that the server rejects for want of a slot. After a rejection the process
//! pauses, for longer with each one in a row, so that the server is not asked again before a slot
//! can be free.

use std::time::{Duration, Instant};

/// Growth of the limit for as many served statements as the limit allows.
const GROWTH: f64 = 0.5;
/// Factor on the limit at a rejection.
const REDUCTION: f64 = 0.8;
/// Statements beyond the slots that a process alone may have under way: while one is answered and the
/// next one sent, the slot would rest.
const SURPLUS: f64 = 1.0;
/// Pause after the first rejection, doubled with each further one in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(4);
/// Upper limit of the pause.
const MAX_PAUSE: Duration = Duration::from_millis(16);

/// Limit of the statements that this process has running on a server.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// Number of statements that the server runs at once.
    slots: u32,
    /// Invariant: at least 1, at most `slots` and `SURPLUS`.
    limit: f64,
    /// Length of the last pause; `None` if a statement has run since.
    pause: Option<Duration>,
    /// Until when no statement is admitted.
    paused_until: Option<Instant>,
}

impl Window {
    /// A window for a server with this many slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            limit: f64::from(slots) + SURPLUS,
            pause: None,
            paused_until: None,
        }
    }

    /// Whether one more statement may be sent while `running` ones are not answered.
    #[must_use]
    pub fn admits(&self, now: Instant, running: usize) -> bool {
        // The limit is a small number, which `usize` holds.
        let limit = self.limit as usize;
        running < limit && self.paused_until.is_none_or(|until| until <= now)
    }

    /// Until when no statement is admitted, if a pause is under way.
    #[must_use]
    pub fn paused_until(&self) -> Option<Instant> {
        self.paused_until
    }

    /// Records that the server has run a statement.
    pub fn on_served(&mut self) {
        self.pause = None;
        let largest = f64::from(self.slots) + SURPLUS;
        self.limit = (self.limit + GROWTH / self.limit).min(largest);
    }

    /// Records that the server has rejected a statement, as all its slots were taken.
    pub fn on_rejected(&mut self, now: Instant) {
        let pause = self.pause.map_or(FIRST_PAUSE, |pause| pause * 2);
        let pause = pause.min(MAX_PAUSE);
        self.pause = Some(pause);
        self.paused_until = Some(now + pause);
        self.limit = (self.limit * REDUCTION).max(1.0);
    }
}

//! Timers of the loop.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use crate::event::SessionKey;

/// What is due.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Timer {
    /// A statement of a session, or its resting transaction.
    Session(SessionKey),
    /// Statements that wait for a service.
    Service(usize),
    /// The stream to a coordinator.
    Subscription,
    /// Idle connections, unusable primaries, and the stream to a coordinator.
    Upkeep,
}

/// Timers, earliest first. One that is no longer needed is found out when it is due.
#[derive(Debug, Default)]
pub struct Timers(BinaryHeap<Reverse<(Instant, Timer)>>);

impl Timers {
    /// Adds a timer.
    pub fn add(&mut self, at: Instant, timer: Timer) {
        self.0.push(Reverse((at, timer)));
    }

    /// When the first one is due.
    #[must_use]
    pub fn next(&self) -> Option<Instant> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes one that is due.
    pub fn pop(&mut self, now: Instant) -> Option<Timer> {
        let Reverse((at, timer)) = *self.0.peek()?;
        (at <= now).then(|| {
            self.0.pop();
            timer
        })
    }
}

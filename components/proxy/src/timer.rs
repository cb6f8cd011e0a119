//! Timers of the loop.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use crate::event::SessionKey;

/// What a timer is for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Timer {
    /// The current query of a session, or its idle transaction.
    Session(SessionKey),
    /// Statements that wait for a service.
    Service(usize),
    /// The stream to a coordinator.
    Subscription,
    /// The rate limits of tenants, and the stream to their issuer.
    Rate,
    /// Periodic maintenance of connections, primaries and streams.
    Maintenance,
}

/// Timers, earliest first. A timer is not cancelled; its handler checks whether anything is due.
#[derive(Debug, Default)]
pub struct Timers(BinaryHeap<Reverse<(Instant, Timer)>>);

impl Timers {
    pub fn add(&mut self, at: Instant, timer: Timer) {
        self.0.push(Reverse((at, timer)));
    }

    /// When the first timer is due.
    #[must_use]
    pub fn next(&self) -> Option<Instant> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes and returns a timer that is due.
    pub fn pop(&mut self, now: Instant) -> Option<Timer> {
        let Reverse((at, timer)) = *self.0.peek()?;
        (at <= now).then(|| {
            self.0.pop();
            timer
        })
    }
}

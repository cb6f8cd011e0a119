//! Timers of the loop.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use clock::Clock;

use crate::event::SessionKey;
use crate::process::{Loop, MAINTENANCE_INTERVAL};
use crate::protocol::Protocol;

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
    /// Requests to lenders may be unanswered.
    Requests,
    /// Commits are held back, or the request for their consent is unanswered.
    Consent,
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

impl<P: Protocol, C: Clock> Loop<P, C> {
    /// Handles the timers that are due.
    pub(crate) fn on_timers(&mut self, now: Instant) {
        while let Some(due) = self.timers.pop(now) {
            match due {
                Timer::Session(key) => self.on_session_due(now, key),
                Timer::Service(index) => self.due_services.push(index),
                Timer::Subscription => self.maintain_subscription(now),
                Timer::Rate => self.on_rate_due(now),
                // The end of the turn sends what is due.
                Timer::Consent => {}
                Timer::Requests => self.check_requests(now),
                Timer::Maintenance => {
                    self.timers
                        .add(now + MAINTENANCE_INTERVAL, Timer::Maintenance);
                    self.on_maintenance(now);
                }
            }
        }
        self.advance_stop(now);
    }
}

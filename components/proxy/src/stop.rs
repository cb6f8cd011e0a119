//! The graceful stop: out of the rotation first, then sessions end where nothing is cut.

use std::time::{Duration, Instant};

use crate::event::SessionKey;
use crate::process::Loop;
use crate::protocol::Protocol;
use crate::refuse::Reason;
use clock::Clock;

/// Time in which a load balancer notices that the entry is not ready. Sessions that are closed
/// before would come back here.
const ROTATION: Duration = Duration::from_millis(2300);
/// Share of the time for the stop that open transactions have.
const TRANSACTIONS: u32 = 2;
/// Time before the deadline by which the process ends.
const MARGIN: Duration = Duration::from_millis(300);
/// Time after the last session in which its last bytes reach its socket.
const LINGER: Duration = Duration::from_millis(200);
/// Interval at which sessions are looked at.
const STEP: Duration = Duration::from_millis(50);

/// A stop under way.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// From when idle sessions are closed and no new ones are taken.
    close_at: Instant,
    /// From when open transactions are ended.
    end_at: Instant,
    /// When the process ends.
    deadline: Instant,
    /// Since when there are no sessions any more.
    empty_since: Option<Instant>,
}

impl Stop {
    /// Whether new connections are refused.
    #[must_use]
    pub fn is_closed(&self, now: Instant) -> bool {
        now >= self.close_at
    }

    /// When sessions have to be looked at next.
    #[must_use]
    pub fn next(&self, now: Instant) -> Instant {
        (now + STEP).max(self.close_at).min(self.deadline)
    }
}

impl<P: Protocol, C: Clock> Loop<P, C> {
    pub(crate) fn on_stop(&mut self, now: Instant) {
        if self.stop.is_some() {
            return;
        }
        let limit = self.settings.stop_timeout;
        tracing::info!(sessions = self.sessions.len(), "stop asked for");
        self.subscription.leave();
        self.stop = Some(Stop {
            close_at: now + ROTATION.min(limit / 2),
            end_at: now + limit / TRANSACTIONS,
            deadline: now + limit.saturating_sub(MARGIN),
            empty_since: None,
        });
    }

    /// Closes sessions between transactions, and late in the stop those that rest in one.
    pub(crate) fn on_stop_tick(&mut self, now: Instant) {
        let Some(stop) = self.stop else {
            return;
        };
        if !stop.is_closed(now) {
            return;
        }
        if let Some(stop) = &mut self.stop {
            let empty = self.sessions.is_empty() && self.borrowers.is_idle();
            stop.empty_since = empty.then(|| stop.empty_since.unwrap_or(now));
        }
        let idle = |key: &SessionKey| self.sessions.get(*key).is_some_and(|s| s.is_idle());
        for key in self.sessions.keys().filter(idle).collect::<Vec<_>>() {
            self.end_session(key);
        }
        if now < stop.end_at {
            return;
        }
        let resting = |key: &SessionKey| {
            let session = self.sessions.get(*key);
            session.is_some_and(|s| s.work.is_none() && s.transaction.is_some())
        };
        for key in self.sessions.keys().filter(resting).collect::<Vec<_>>() {
            self.metrics.common.refusals.add(Reason::Stopping.label());
            self.end_transaction(now, key);
            self.end_session(key);
        }
    }

    /// Closes a session after the bytes that it was given.
    pub(crate) fn end_session(&mut self, key: SessionKey) {
        if let Some(session) = self.sessions.get_mut(key) {
            session.closing = true;
            self.dirty_sessions.push(key);
        }
    }

    /// Whether the stop has come so far that nothing new is begun for others.
    pub(crate) fn is_ending(&self, now: Instant) -> bool {
        self.stop.is_some_and(|stop| now >= stop.end_at)
    }

    /// Whether the process may end.
    pub(crate) fn is_stopped(&self, now: Instant) -> bool {
        self.stop.is_some_and(|stop| {
            let empty = stop.empty_since.is_some_and(|since| now >= since + LINGER);
            empty || now >= stop.deadline
        })
    }
}

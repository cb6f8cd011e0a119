//! Ends of sessions, and graceful stop: the proxy first reports that it is not ready, then closes
//! sessions between transactions, and ends once the last bytes of callers are written.

use std::time::{Duration, Instant};

use link::io;
use tokio::task::spawn_local;

use crate::event::{Event, SessionKey};
use crate::process::Loop;
use crate::protocol::Protocol;
use crate::refuse::Reason;
use clock::Clock;

/// Time in which a load balancer notices that the proxy is not ready. Callers whose sessions are
/// closed earlier would reconnect to this proxy.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(2300);
/// Open transactions may continue for the stop timeout divided by this number.
const TRANSACTION_TIME_DIVISOR: u32 = 2;
/// The process ends this long before the stop timeout.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Time after the end of the last session for its last bytes to reach the socket.
const FLUSH_TIME: Duration = Duration::from_millis(200);
/// Interval at which sessions are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A stop in progress.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// When idle sessions are closed and no new ones are accepted.
    close_at: Instant,
    /// When open transactions are ended.
    end_transactions_at: Instant,
    /// When the process ends.
    deadline: Instant,
    /// Since when there are neither sessions nor loans, and all answers are written.
    empty_since: Option<Instant>,
}

impl Stop {
    /// Whether new connections are refused.
    #[must_use]
    pub fn is_closed(&self, now: Instant) -> bool {
        now >= self.close_at
    }

    /// When sessions have to be checked next.
    #[must_use]
    pub fn next_check(&self, now: Instant) -> Instant {
        (now + CHECK_INTERVAL).max(self.close_at).min(self.deadline)
    }
}

impl<P: Protocol, C: Clock> Loop<P, C> {
    pub(crate) fn on_stop(&mut self, now: Instant) {
        if self.stop.is_some() {
            return;
        }
        let timeout = self.settings.stop_timeout;
        tracing::info!(sessions = self.sessions.len(), "stop asked for");
        self.subscription.leave();
        self.stop = Some(Stop {
            close_at: now + LOAD_BALANCER_DELAY.min(timeout / 2),
            end_transactions_at: now + timeout / TRANSACTION_TIME_DIVISOR,
            deadline: now + timeout.saturating_sub(EXIT_MARGIN),
            empty_since: None,
        });
    }

    /// Closes sessions between transactions and, late in the stop, sessions with an idle
    /// transaction.
    pub(crate) fn advance_stop(&mut self, now: Instant) {
        let Some(stop) = self.stop else {
            return;
        };
        if !stop.is_closed(now) {
            return;
        }
        if let Some(stop) = &mut self.stop {
            let written = self.sessions.is_empty() && self.finishing_callers == 0;
            let empty = written && self.borrowers.is_idle();
            stop.empty_since = empty.then(|| stop.empty_since.unwrap_or(now));
        }
        self.refuse_unconfirmed();
        let idle = |key: &SessionKey| self.is_idle(*key);
        for key in self.sessions.keys().filter(idle).collect::<Vec<_>>() {
            self.end_session(key);
        }
        if now < stop.end_transactions_at {
            return;
        }
        let in_idle_transaction = |key: &SessionKey| {
            let session = self.sessions.get(*key);
            session.is_some_and(|s| s.query.is_none() && s.transaction.is_some())
        };
        for key in self
            .sessions
            .keys()
            .filter(in_idle_transaction)
            .collect::<Vec<_>>()
        {
            self.metrics.common.refusals.add(Reason::Stopping.label());
            self.end_session(key);
        }
    }

    /// Removes a session and rolls back its transaction, also if its caller has disconnected.
    pub(crate) fn remove_session(&mut self, now: Instant, key: SessionKey) {
        self.unconfirmed.remove(key);
        self.roll_back_on_server(now, key);
        let Some(session) = self.sessions.remove(key) else {
            return;
        };
        if let Some(query) = session.query {
            self.return_token(key, &query);
            self.abandon(&query);
            self.log_outcome(now, &query, "caller_gone", None);
        }
        self.finish_writes(session.handle);
    }

    /// Has a caller's last bytes written. A stop waits for them until its deadline: a caller that
    /// reads slowly can't be told from one that has stalled.
    pub(crate) fn finish_writes(&mut self, handle: io::Handle) {
        self.finishing_callers += 1;
        let events = self.events.clone();
        spawn_local(async move {
            handle.close().await;
            let _ended = events.send(Event::CallerFinished).await;
        });
    }

    /// Closes a session after the bytes that are to be sent. Its transaction is rolled back at once,
    /// as a caller that reads slowly would otherwise keep the connection to the server.
    pub(crate) fn end_session(&mut self, key: SessionKey) {
        self.unconfirmed.remove(key);
        self.roll_back_on_server(crate::process::now(), key);
        if let Some(session) = self.sessions.get_mut(key) {
            session.closing = true;
            self.dirty_sessions.push(key);
        }
    }

    /// Whether open transactions are being ended, so that no new loan is granted.
    pub(crate) fn is_ending_transactions(&self, now: Instant) -> bool {
        self.stop
            .is_some_and(|stop| now >= stop.end_transactions_at)
    }

    /// Whether the process may end.
    pub(crate) fn is_stopped(&self, now: Instant) -> bool {
        self.stop.is_some_and(|stop| {
            let empty = stop
                .empty_since
                .is_some_and(|since| now >= since + FLUSH_TIME);
            empty || now >= stop.deadline
        })
    }
}

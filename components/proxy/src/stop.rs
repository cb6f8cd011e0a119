//! Ends of sessions, and graceful stop: the proxy first reports that it is not ready, then closes
//! sessions between transactions, and ends once the last bytes of callers are written.

use std::time::{Duration, Instant};

use link::io;
use tokio::task::spawn_local;

use crate::event::{Event, SessionKey};
use crate::process::Loop;
use crate::protocol::Protocol;
use crate::refuse::Reason;
use crate::session::Closing;
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
    /// When statements without an answer are given up, so that their callers are told before the
    /// process ends.
    give_up_at: Instant,
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
        let check = (now + CHECK_INTERVAL).max(self.close_at);
        let next = if now < self.give_up_at {
            self.give_up_at
        } else {
            self.deadline
        };
        check.min(next)
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
        let deadline = now + timeout.saturating_sub(EXIT_MARGIN);
        self.stop = Some(Stop {
            close_at: now + LOAD_BALANCER_DELAY.min(timeout / 2),
            end_transactions_at: now + timeout / TRANSACTION_TIME_DIVISOR,
            deadline,
            give_up_at: deadline.checked_sub(FLUSH_TIME).unwrap_or(now).max(now),
            empty_since: None,
        });
    }

    /// Closes sessions between transactions and, late in the stop, all sessions between statements.
    /// Just before its deadline, statements that still run are given up.
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
            self.end_session(key, Some(Reason::Stopping));
        }
        if now >= stop.end_transactions_at {
            self.end_between_statements();
        }
        if now >= stop.give_up_at {
            self.give_up_statements(now);
        }
    }

    /// Closes all sessions that wait for no answer. A caller that sends statements ahead is never
    /// idle, and would otherwise be cut at the end of the process.
    fn end_between_statements(&mut self) {
        let mut ended = Vec::new();
        for (key, session) in &self.sessions {
            if session.query.is_none() && session.closing.is_none() {
                ended.push((key, session.transaction.is_some()));
            }
        }
        for (key, in_transaction) in ended {
            if in_transaction {
                self.metrics.common.refusals.add(Reason::Stopping.label());
            }
            self.end_session(key, Some(Reason::Stopping));
        }
    }

    fn give_up_statements(&mut self, now: Instant) {
        let unanswered = self.sessions.iter().filter(|(_, s)| s.query.is_some());
        for key in unanswered.map(|(key, _)| key).collect::<Vec<_>>() {
            self.give_up(now, key);
            self.end_session(key, Some(Reason::Stopping));
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

    /// Closes a session after the bytes that are to be sent and the answers to statements that were
    /// read ahead. They are refused for the reason `refusal`, or dropped if it is `None`. The
    /// transaction is rolled back at once, as a caller that reads slowly would otherwise keep the
    /// connection to the server.
    pub(crate) fn end_session(&mut self, key: SessionKey, refusal: Option<Reason>) {
        self.unconfirmed.remove(key);
        self.roll_back_on_server(crate::process::now(), key);
        let Some(session) = self.sessions.get_mut(key) else {
            return;
        };
        if session.closing.is_some() {
            return;
        }
        session.handle.end_reading();
        session.closing = Some(Closing {
            refusal,
            read_ended: false,
        });
        self.ready_sessions.push(key);
        self.dirty_sessions.push(key);
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

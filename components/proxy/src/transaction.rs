//! Begin of transactions, and limits on them.

use std::time::Instant;

use clock::Clock;
use registry::plan::Freshness;

use crate::event::SessionKey;
use crate::process::Loop;
use crate::protocol::Protocol;
use crate::refuse::Reason;
use crate::session::Transaction;
use crate::timer::Timer;

impl<P: Protocol, C: Clock> Loop<P, C> {
    /// Begins a transaction. A server is chosen at its first statement.
    pub(crate) fn begin(&mut self, key: SessionKey, read_only: bool) {
        let route = match self.route(key) {
            Ok(route) => route,
            Err(reason) => return self.reject_operation(key, reason),
        };
        let received_moment = self.clock.moment();
        if let Some(session) = self.sessions.get_mut(key) {
            // Routes for aged reads carry no writes, and transactions on replicas relieve the
            // primary.
            let aged = matches!(route.freshness, Freshness::Aged(_));
            let assumed_read_only = !read_only && aged && !session.assumption_failed;
            session.transaction = Some(Transaction {
                route,
                read_only: read_only || assumed_read_only,
                assumed_read_only,
                received_moment,
                conn: None,
                has_run: false,
                has_written: false,
                admitted: false,
                failed: false,
                idle_deadline: None,
            });
        }
        self.start_idle_timeout(key);
        self.acknowledge(key);
    }

    /// Starts the limit on the time that a transaction may be idle.
    pub(crate) fn start_idle_timeout(&mut self, key: SessionKey) {
        let Some(limit) = self.plan.idle_limit else {
            return;
        };
        let until = crate::process::now() + limit;
        let session = self.sessions.get_mut(key);
        if let Some(transaction) = session.and_then(|session| session.transaction.as_mut()) {
            transaction.idle_deadline = Some(until);
            self.timers.add(until, Timer::Session(key));
        }
    }

    /// Fails a transaction that was assumed to be read-only but writes. It is rolled back, and
    /// later transactions of the session begin on the primary.
    pub(crate) fn fail_assumed_read_only(&mut self, now: Instant, key: SessionKey) {
        if let Some(session) = self.sessions.get_mut(key) {
            session.assumption_failed = true;
        }
        self.fail_transaction(now, key);
        self.reject(key, Reason::NotReadOnly);
    }
}

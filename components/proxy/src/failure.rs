//! Handles lost connections, missing answers and disconnected callers.

use std::time::{Duration, Instant};

use crate::borrow::CAUSE_LENDER_LOST;
use crate::conn::{Loan, Purpose};
use crate::connection::CAUSE_REFUSED;
use crate::event::{ConnKey, SessionKey};
use crate::process::Loop;
use crate::protocol::{Code, Command, Protocol};
use crate::refuse::Reason;
use crate::session::{Kind, Query, Stage, Urgency};
use crate::timer::Timer;
use clock::Clock;

/// A primary that answers nothing for this long while statements wait for it counts as unusable.
const UNANSWERED_LIMIT: Duration = Duration::from_millis(400);

/// After this time without a usable primary idle sessions are closed. By then the load balancer has
/// noticed that this proxy is not ready.
const MOVE_SESSIONS_DELAY: Duration = Duration::from_millis(2500);
/// Each maintenance pass closes one in this many idle sessions.
const MOVE_SESSIONS_DIVISOR: usize = 4;

impl<P: Protocol, C: Clock> Loop<P, C> {
    /// Handles a connection that can no longer be used. The session that uses it is retried
    /// elsewhere or told the outcome.
    pub(crate) fn on_conn_lost(&mut self, now: Instant, key: ConnKey, cause: &'static str) {
        let Some(conn) = self.conns.get(key) else {
            return;
        };
        let (index, session, used_at) = (conn.server, conn.session, conn.used_at);
        let idle = session.is_none() && conn.pending.is_empty();
        let requested = conn.loan.is_some_and(|loan| !loan.granted);
        let starting = requested || conn.pending.front() == Some(&Purpose::Startup);
        // The lender was lost, which says nothing about the server.
        let lender_lost = conn.loan.is_some() && cause == CAUSE_LENDER_LOST;
        self.metrics.server_failures.add(cause);
        self.on_lent_conn_lost(now, key);
        self.close_conn(key);
        let server = &mut self.servers[index];
        let full = cause == Code::ConnectionLimit.label();
        // A server under a burst of new connections drops some of them but keeps serving, which is
        // no failure. A server that refuses them has stopped and would otherwise be dialed over and
        // over.
        let alive = server.answered_at.is_some_and(|at| at > used_at);
        let dropped = starting && alive && cause != CAUSE_REFUSED;
        if server.listed && !full && !dropped && !lender_lost && (starting || !idle) {
            server.on_failure(now);
            let (until, service) = (server.paused_until(), server.service);
            if let Some(until) = until {
                self.timers.add(until, Timer::Service(service));
            }
            self.mark_unusable(now, index);
        }
        if self.servers[index].is_down(now) {
            self.deny_waiters(now, index, true);
        }
        self.due_services.push(self.servers[index].service);
        if let Some(session) = session {
            tracing::debug!(
                id = self.servers[index].id,
                cause,
                "lost a connection that a session was using"
            );
            self.on_session_conn_lost(now, session, key);
        }
    }

    /// Handles the loss of the connection that a session uses.
    fn on_session_conn_lost(&mut self, now: Instant, key: SessionKey, conn: ConnKey) {
        let Some(session) = self.sessions.get_mut(key) else {
            return;
        };
        let mut bound = false;
        let mut has_run = false;
        if let Some(transaction) = &mut session.transaction {
            bound = transaction.conn == Some(conn);
            has_run = transaction.has_run;
            transaction.conn = transaction.conn.filter(|other| *other != conn);
            transaction.failed |= bound && has_run;
        }
        let Some(query) = &mut session.query else {
            // The transaction is idle; the caller is told at its next statement.
            if let Some(transaction) = session.transaction.as_mut().filter(|_| bound) {
                transaction.failed = true;
            }
            return;
        };
        query.retry_cause = Some(Code::Unknown);
        match query.stage {
            Stage::Unadmitted | Stage::Waiting | Stage::Held => {}
            Stage::Preparing(_) if !has_run => self.retry(now, key, Duration::ZERO),
            Stage::Preparing(_) => self.refuse(now, key, Reason::TransactionLost),
            Stage::Sent(_) if query.kind == Kind::Commit => {
                self.refuse(now, key, Reason::OutcomeUnknown);
            }
            Stage::Sent(_) if bound => self.refuse(now, key, Reason::TransactionLost),
            Stage::Sent(_) if query.kind.may_change() => {
                self.refuse(now, key, Reason::OutcomeUnknown);
            }
            Stage::Sent(_) => {
                self.metrics.common.retries.add("connection_lost");
                self.retry(now, key, Duration::ZERO);
            }
        }
    }

    /// Handles a sent statement without an answer: a read is first tried on another server, and at
    /// its deadline any statement is given up.
    pub(crate) fn on_unanswered(&mut self, now: Instant, key: SessionKey) {
        let Some(query) = self.sessions.get_mut(key).and_then(|s| s.query.as_mut()) else {
            return;
        };
        let Stage::Sent(conn) = query.stage else {
            return;
        };
        let (deadline, kind) = (query.deadline, query.kind);
        if now < deadline {
            query.hedge_at = None;
            let due = query.next_due();
            let sent = self.conns.get(conn).map(|conn| (conn.server, conn.used_at));
            self.timers.add(due, Timer::Session(key));
            let Some((index, sent_at)) = sent else {
                return;
            };
            let server = &self.servers[index];
            let answered = server.answered_at.is_some_and(|at| at > sent_at);
            // A server that answers other statements is merely slow, and a second attempt would add
            // to the load.
            if answered || !self.try_spend_retry() {
                return;
            }
            self.metrics.common.retries.add("unanswered");
            self.detach(key, conn);
            self.on_conn_lost(now, conn, "unanswered");
            if let Some(query) = self.sessions.get_mut(key).and_then(|s| s.query.as_mut()) {
                query.retry_cause = Some(Code::Timeout);
            }
            return self.retry(now, key, Duration::ZERO);
        }
        let reason = self.unanswered_reason(key, kind);
        self.detach(key, conn);
        self.on_conn_lost(now, conn, "timeout");
        self.refuse(now, key, reason);
    }

    /// What the caller of a statement that was sent is told if its answer does not come.
    fn unanswered_reason(&self, key: SessionKey, kind: Kind) -> Reason {
        let session = self.sessions.get(key);
        match kind {
            Kind::Commit => Reason::OutcomeUnknown,
            _ if session.is_some_and(|s| s.transaction.is_some()) => Reason::TransactionLost,
            _ if kind.may_change() => Reason::OutcomeUnknown,
            _ => Reason::Unanswered,
        }
    }

    /// Gives up a session's statement since this proxy ends, which says nothing about the server.
    pub(crate) fn give_up(&mut self, now: Instant, key: SessionKey) {
        let Some(query) = self.sessions.get(key).and_then(|s| s.query.as_ref()) else {
            return;
        };
        let (stage, kind) = (query.stage, query.kind);
        if let Stage::Preparing(conn) | Stage::Sent(conn) = stage {
            self.detach(key, conn);
        }
        let reason = match stage {
            Stage::Sent(_) => self.unanswered_reason(key, kind),
            Stage::Held => Reason::OutcomeUnknown,
            Stage::Unadmitted | Stage::Waiting | Stage::Preparing(_) => Reason::Stopping,
        };
        self.refuse(now, key, reason);
    }

    /// Detaches a connection from a session.
    fn detach(&mut self, key: SessionKey, conn: ConnKey) {
        if let Some(conn) = self.conns.get_mut(conn)
            && conn.session.take().is_some()
        {
            let server = &mut self.servers[conn.server];
            server.running = server.running.saturating_sub(1);
        }
        let session = self.sessions.get_mut(key);
        if let Some(transaction) = session.and_then(|session| session.transaction.as_mut()) {
            transaction.conn = None;
        }
    }

    /// Removes a query that has not been sent from its connection.
    pub(crate) fn cancel_unsent(&mut self, now: Instant, key: SessionKey) {
        let query = self.sessions.get(key).and_then(|s| s.query.as_ref());
        if let Some(Stage::Preparing(conn)) = query.map(|query| query.stage) {
            self.detach(key, conn);
            // The server may have begun the transaction already, so the connection cannot be
            // reused.
            self.on_conn_lost(now, conn, "begin_unanswered");
        }
    }

    /// Detaches the connection from the query of a disconnected caller. If an answer still arrives,
    /// the connection becomes idle again.
    pub(crate) fn abandon(&mut self, query: &Query) {
        if let Stage::Preparing(conn) | Stage::Sent(conn) = query.stage
            && let Some(conn) = self.conns.get_mut(conn)
            && conn.session.take().is_some()
        {
            let server = &mut self.servers[conn.server];
            server.running = server.running.saturating_sub(1);
        }
    }

    /// Rolls back a session's transaction on its server. The session's own record of it stays.
    pub(crate) fn roll_back_on_server(&mut self, now: Instant, key: SessionKey) {
        let Some(session) = self.sessions.get_mut(key) else {
            return;
        };
        let busy = session
            .query
            .as_ref()
            .is_some_and(|query| query.stage != Stage::Waiting);
        let transaction = session.transaction.as_mut();
        if let Some(conn) = transaction.and_then(|transaction| transaction.conn.take_if(|_| !busy))
        {
            self.release(now, conn, true);
        }
    }

    /// Ends a transaction on the proxy's own initiative; the caller is told at its next statement.
    pub(crate) fn fail_transaction(&mut self, now: Instant, key: SessionKey) {
        self.roll_back_on_server(now, key);
        let session = self.sessions.get_mut(key);
        if let Some(transaction) = session.and_then(|session| session.transaction.as_mut()) {
            transaction.failed = true;
            transaction.idle_deadline = None;
        }
    }

    /// Records that a server could not be used, if it is the primary of its service. A primary that
    /// was chosen but not confirmed does not lead yet and is not recorded.
    pub(crate) fn mark_unusable(&mut self, now: Instant, index: usize) {
        let service = &mut self.services[self.servers[index].service];
        let chosen = self.registry.chosen_primary(&service.name);
        let leads = chosen.is_none_or(|leader| leader.confirmed);
        if service.primary == Some(index) && leads {
            service.unusable_since.get_or_insert(now);
        }
    }

    /// Probes whether unusable primaries lead. Callers may have moved elsewhere, so that no
    /// statement would show it.
    pub(crate) fn probe_unusable(&mut self, now: Instant) {
        for index in 0..self.services.len() {
            let service = &self.services[index];
            let Some(primary) = service.primary.filter(|_| service.unusable_since.is_some()) else {
                continue;
            };
            let server = &self.servers[primary];
            let is_busy = |key: &ConnKey| {
                let conn = self.conns.get(*key);
                let is_requested = |loan: Loan| !loan.granted;
                conn.is_some_and(|conn| {
                    let awaits_answer = conn.session.is_none() && !conn.pending.is_empty();
                    awaits_answer || conn.loan.is_some_and(is_requested)
                })
            };
            if server.conns.iter().any(is_busy) {
                continue;
            }
            if !server.idle.is_empty() {
                self.probe(now, primary);
            } else if server.has_room(now) {
                let tenant = self.directory.largest();
                self.open(now, primary, tenant, Urgency::first(now));
            }
        }
    }

    fn probe(&mut self, now: Instant, index: usize) {
        if let Some(key) = self.servers[index].idle.pop() {
            self.probe_on(now, key);
        }
    }

    /// Probes on an unused connection whether its server leads.
    pub(crate) fn probe_on(&mut self, now: Instant, key: ConnKey) {
        let sent_at = self.clock.moment();
        if let Some(conn) = self.conns.get_mut(key) {
            let begin = Command::Begin {
                read_only: false,
                after: None,
            };
            P::encode_command(&mut conn.out, begin);
            conn.pending.push_back(Purpose::Begin {
                sent_at,
                writing: true,
            });
            conn.used_at = now;
            self.dirty_conns.push(key);
        }
    }

    /// Closes idle sessions while a primary is unusable for long, so that callers reconnect through
    /// proxies that reach it. They are closed in steps, as the primary may return.
    pub(crate) fn move_sessions(&mut self, now: Instant) {
        if self.stop.is_some() || !self.is_cut_off(now, MOVE_SESSIONS_DELAY) {
            return;
        }
        let idle = |key: &SessionKey| self.is_idle(*key);
        let idle: Vec<SessionKey> = self.sessions.keys().filter(idle).collect();
        let step = idle.len().div_ceil(MOVE_SESSIONS_DIVISOR);
        for key in idle.into_iter().take(step) {
            self.metrics.common.retries.add("session_moved");
            self.end_session(key, Some(Reason::NoPrimary));
        }
    }

    /// Detects primaries that leave statements unanswered.
    pub(crate) fn detect_unresponsive(&mut self, now: Instant) {
        let mut unresponsive = Vec::new();
        for conn in self.conns.values() {
            let sent = matches!(
                conn.pending.front(),
                Some(Purpose::Statement { .. } | Purpose::Begin { .. })
            );
            let server = &self.servers[conn.server];
            let answered = server.answered_at.is_some_and(|at| at > conn.used_at);
            // A lender that is silent itself says nothing about the server.
            let lender_silent =
                |loan: Loan| self.lenders.is_silent_since(loan.lender, conn.used_at);
            let answered = answered || conn.loan.is_some_and(lender_silent);
            if sent && !answered && now >= conn.used_at + UNANSWERED_LIMIT {
                unresponsive.push(conn.server);
            }
        }
        for index in unresponsive {
            self.mark_unusable(now, index);
        }
    }
}

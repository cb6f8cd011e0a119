//! Lost connections, missing answers, and callers that leave.

use std::time::{Duration, Instant};

use crate::borrow::LENDER_LOST;
use crate::connection::REFUSED;
use crate::event::{ConnKey, SessionKey};
use crate::process::Loop;
use crate::protocol::{Code, Command, Protocol};
use crate::refuse::Reason;
use crate::server::{Expect, Loan};
use crate::session::{Kind, Stage, Work};
use crate::timer::Timer;
use clock::Clock;

/// Time without an answer of a primary, while statements wait for one, after which it counts as
/// unusable.
const UNANSWERED: Duration = Duration::from_millis(400);

/// Time without a usable primary after which sessions are moved. The load balancer has noticed by
/// then that this entry is not ready.
const MOVED: Duration = Duration::from_millis(2500);
/// Parts in which idle sessions are moved.
const MOVE_STEPS: usize = 4;

impl<P: Protocol, C: Clock> Loop<P, C> {
    /// A connection is of no use any more. Whoever uses it is served elsewhere or told the outcome.
    pub(crate) fn on_conn_lost(&mut self, now: Instant, key: ConnKey, cause: &'static str) {
        let Some(conn) = self.conns.get(key) else {
            return;
        };
        let (index, session, since) = (conn.server, conn.session, conn.since);
        let idle = session.is_none() && conn.expected.is_empty();
        let asked = conn.loan.is_some_and(|loan| !loan.granted);
        let starting = asked || conn.expected.front() == Some(&Expect::Startup);
        // What was lost is another entry, not the server.
        let of_lender = conn.loan.is_some() && cause == LENDER_LOST;
        self.metrics.failures.add(cause);
        self.on_lent_lost(now, key);
        self.close_conn(key);
        let server = &mut self.servers[index];
        let full = cause == Code::ConnectionLimit.label();
        // Under a burst of openings a server drops some of them and serves on. One that refuses them
        // has ended, and would be dialled over and over.
        let alive = server.answered_at.is_some_and(|at| at > since);
        let crowded = starting && alive && cause != REFUSED;
        if server.listed && !full && !crowded && !of_lender && (starting || !idle) {
            server.on_failure(now);
            let (until, service) = (server.paused_until(), server.service);
            if let Some(until) = until {
                self.timers.add(until, Timer::Service(service));
            }
            self.miss(now, index);
        }
        if self.servers[index].is_down(now) {
            self.deny_asked(now, index, true);
        }
        self.due.push(self.servers[index].service);
        if let Some(session) = session {
            tracing::debug!(id = self.servers[index].id, cause, "connection lost in use");
            self.on_session_lost(now, session, key);
        }
    }

    /// The connection that a session uses is lost.
    fn on_session_lost(&mut self, now: Instant, key: SessionKey, conn: ConnKey) {
        let Some(session) = self.sessions.get_mut(key) else {
            return;
        };
        let mut bound = false;
        let mut used = false;
        if let Some(open) = &mut session.transaction {
            bound = open.conn == Some(conn);
            used = open.used;
            open.conn = open.conn.filter(|other| *other != conn);
            open.failed |= bound && used;
        }
        let Some(work) = &mut session.work else {
            // It rests in its transaction; the next statement is told.
            if let Some(open) = session.transaction.as_mut().filter(|_| bound) {
                open.failed = true;
            }
            return;
        };
        work.retried = Some(Code::Unknown);
        match work.stage {
            Stage::Waiting => {}
            Stage::Preparing(_) if !used => self.retry(now, key, Duration::ZERO),
            Stage::Preparing(_) => self.refuse(now, key, Reason::TransactionLost),
            Stage::Sent(_) if work.kind == Kind::Commit => {
                self.refuse(now, key, Reason::OutcomeUnknown);
            }
            Stage::Sent(_) if bound => self.refuse(now, key, Reason::TransactionLost),
            Stage::Sent(_) if work.kind.may_change() => {
                self.refuse(now, key, Reason::OutcomeUnknown);
            }
            Stage::Sent(_) => {
                self.metrics.common.retries.add("connection_lost");
                self.retry(now, key, Duration::ZERO);
            }
        }
    }

    /// A sent statement has no answer: a read goes to another server first, and at the end of its
    /// time any statement is given up.
    pub(crate) fn on_unanswered(&mut self, now: Instant, key: SessionKey) {
        let Some(work) = self.sessions.get_mut(key).and_then(|s| s.work.as_mut()) else {
            return;
        };
        let Stage::Sent(conn) = work.stage else {
            return;
        };
        let (deadline, kind) = (work.deadline, work.kind);
        if now < deadline {
            work.hedge_at = None;
            let due = work.due();
            let sent = self.conns.get(conn).map(|conn| (conn.server, conn.since));
            self.timers.add(due, Timer::Session(key));
            let Some((index, since)) = sent else {
                return;
            };
            let server = &self.servers[index];
            let answered = server.answered_at.is_some_and(|at| at > since);
            // A server that answers others is slow, and a second run would only add to its load.
            if answered || !self.budget_allows() {
                return;
            }
            self.metrics.common.retries.add("unanswered");
            self.detach(key, conn);
            self.on_conn_lost(now, conn, "unanswered");
            if let Some(work) = self.sessions.get_mut(key).and_then(|s| s.work.as_mut()) {
                work.retried = Some(Code::Timeout);
            }
            return self.retry(now, key, Duration::ZERO);
        }
        let in_transaction = self
            .sessions
            .get(key)
            .is_some_and(|session| session.transaction.is_some());
        self.detach(key, conn);
        self.on_conn_lost(now, conn, "timeout");
        let reason = match kind {
            Kind::Commit => Reason::OutcomeUnknown,
            _ if in_transaction => Reason::TransactionLost,
            _ if kind.may_change() => Reason::OutcomeUnknown,
            _ => Reason::Unanswered,
        };
        self.refuse(now, key, reason);
    }

    /// Takes a connection away from a session.
    fn detach(&mut self, key: SessionKey, conn: ConnKey) {
        if let Some(conn) = self.conns.get_mut(conn)
            && conn.session.take().is_some()
        {
            let server = &mut self.servers[conn.server];
            server.running = server.running.saturating_sub(1);
        }
        let session = self.sessions.get_mut(key);
        if let Some(open) = session.and_then(|session| session.transaction.as_mut()) {
            open.conn = None;
        }
    }

    /// Takes work that is not sent off its connection.
    pub(crate) fn withdraw(&mut self, now: Instant, key: SessionKey) {
        let work = self.sessions.get(key).and_then(|s| s.work.as_ref());
        if let Some(Stage::Preparing(conn)) = work.map(|work| work.stage) {
            self.detach(key, conn);
            // The transaction may be begun by the time that this arrives.
            self.on_conn_lost(now, conn, "begin_unanswered");
        }
    }

    /// Work of a caller that is gone. Its answer, if one comes, gives the connection back.
    pub(crate) fn abandon(&mut self, work: &Work) {
        if let Stage::Preparing(conn) | Stage::Sent(conn) = work.stage
            && let Some(conn) = self.conns.get_mut(conn)
            && conn.session.take().is_some()
        {
            let server = &mut self.servers[conn.server];
            server.running = server.running.saturating_sub(1);
        }
    }

    /// Rolls a session's transaction back at its server. The session keeps its own record of it.
    pub(crate) fn end_transaction(&mut self, now: Instant, key: SessionKey) {
        let Some(session) = self.sessions.get_mut(key) else {
            return;
        };
        let busy = session
            .work
            .as_ref()
            .is_some_and(|work| work.stage != Stage::Waiting);
        let open = session.transaction.as_mut();
        if let Some(conn) = open.and_then(|open| open.conn.take_if(|_| !busy)) {
            self.release(now, conn, true);
        }
    }

    /// Ends a transaction on the entry's own account; its caller is told at its next statement.
    pub(crate) fn fail_transaction(&mut self, now: Instant, key: SessionKey) {
        self.end_transaction(now, key);
        let session = self.sessions.get_mut(key);
        if let Some(open) = session.and_then(|session| session.transaction.as_mut()) {
            open.failed = true;
            open.rests_until = None;
        }
    }

    /// Takes note that a server could not be used, if it is its service's primary. One that was
    /// only chosen does not lead yet.
    pub(crate) fn miss(&mut self, now: Instant, index: usize) {
        let service = &mut self.services[self.servers[index].service];
        let chosen = self.registry.chosen_primary(&service.name);
        let leads = chosen.is_none_or(|leader| leader.confirmed);
        if service.primary == Some(index) && leads {
            service.missed_since.get_or_insert(now);
        }
    }

    /// Asks missed primaries whether they lead. Callers may be elsewhere by now, so that no
    /// statement would show it.
    pub(crate) fn probe_missed(&mut self, now: Instant) {
        for index in 0..self.services.len() {
            let service = &self.services[index];
            let Some(primary) = service.primary.filter(|_| service.missed_since.is_some()) else {
                continue;
            };
            let server = &self.servers[primary];
            let asked = |key: &ConnKey| {
                let conn = self.conns.get(*key);
                let waits = |loan: Loan| !loan.granted;
                conn.is_some_and(|conn| {
                    let asked = conn.session.is_none() && !conn.expected.is_empty();
                    asked || conn.loan.is_some_and(waits)
                })
            };
            if server.conns.iter().any(asked) {
                continue;
            }
            if !server.idle.is_empty() {
                self.probe(now, primary);
            } else if server.has_room(now) {
                self.open(now, primary, 0);
            }
        }
    }

    fn probe(&mut self, now: Instant, index: usize) {
        if let Some(key) = self.servers[index].idle.pop() {
            self.probe_on(now, key);
        }
    }

    /// Asks a server on a connection that nobody uses whether it leads.
    pub(crate) fn probe_on(&mut self, now: Instant, key: ConnKey) {
        let at = self.clock.moment();
        if let Some(conn) = self.conns.get_mut(key) {
            let begin = Command::Begin {
                read_only: false,
                after: None,
            };
            P::command(&mut conn.out, begin);
            conn.expected.push_back(Expect::Begin { at, writing: true });
            conn.since = now;
            self.dirty_conns.push(key);
        }
    }

    /// Closes sessions between transactions while a primary is missed for long, so that they come
    /// back through entries that reach it. They go in steps, as the primary may return.
    pub(crate) fn move_sessions(&mut self, now: Instant) {
        if self.stop.is_some() || !self.is_cut_off(now, MOVED) {
            return;
        }
        let idle = |key: &SessionKey| self.sessions.get(*key).is_some_and(|s| s.is_idle());
        let idle: Vec<SessionKey> = self.sessions.keys().filter(idle).collect();
        let step = idle.len().div_ceil(MOVE_STEPS);
        for key in idle.into_iter().take(step) {
            self.metrics.common.retries.add("session_moved");
            self.end_session(key);
        }
    }

    /// Finds primaries that leave statements unanswered.
    pub(crate) fn find_unusable(&mut self, now: Instant) {
        let mut silent = Vec::new();
        for conn in self.conns.values() {
            let sent = matches!(
                conn.expected.front(),
                Some(Expect::Statement { .. } | Expect::Begin { .. })
            );
            let server = &self.servers[conn.server];
            let answered = server.answered_at.is_some_and(|at| at > conn.since);
            // A lender that is silent itself says nothing of the server.
            let mute = |loan: Loan| self.lenders.is_silent_since(loan.lender, conn.since);
            let answered = answered || conn.loan.is_some_and(mute);
            if sent && !answered && now >= conn.since + UNANSWERED {
                silent.push(conn.server);
            }
        }
        for index in silent {
            self.miss(now, index);
        }
    }
}

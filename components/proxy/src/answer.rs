//! Handles answers of servers.

use std::time::{Duration, Instant};

use registry::history::is_at_or_past;
use registry::{Sample, Watermark};
use types::Point;

use crate::conn::{Outcome, Purpose};
use crate::event::{ConnKey, SessionKey};
use crate::process::Loop;
use crate::protocol::{Answer, Code, Protocol, State};
use crate::refuse::Reason;
use crate::session::{Held, Kind, Query};
use clock::{Clock, Moment};

/// Delay before a statement is retried at a primary that does not lead yet or no longer leads.
const NOT_LEADING_RETRY_DELAY: Duration = Duration::from_millis(60);
/// First delay before a statement is retried at a server that is out of capacity.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Delay before a read is retried at a server whose log lacks the position, if no other server may
/// serve it.
const LAGGING_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Limit of the doublings of `BUSY_RETRY_DELAY`.
const MAX_BUSY_DOUBLINGS: usize = 4;
/// Maximum number of attempts that each go to another server and are answered `Busy` or `ReadOnly`.
/// Such an attempt adds two items to the list of tried servers, so the list is limited to twice this
/// length; a repeated attempt at the same server adds only one.
const MAX_ATTEMPTS: usize = 8;
/// Maximum size of an answer, which is held back until it is complete.
const MAX_ANSWER_BYTES: usize = 8 << 20;

impl<P: Protocol, C: Clock> Loop<P, C> {
    /// Handles one message of a server. Returns false once the connection is gone.
    pub(crate) fn on_answer(
        &mut self,
        now: Instant,
        key: ConnKey,
        raw: &[u8],
        answer: Answer<'_>,
    ) -> bool {
        let Some(conn) = self.conns.get_mut(key) else {
            return false;
        };
        let is_statement = matches!(conn.pending.front(), Some(Purpose::Statement { .. }));
        match answer {
            Answer::Row | Answer::Complete | Answer::Error { .. } if conn.pending.is_empty() => {
                self.on_conn_lost(now, key, "unexpected_answer");
                return false;
            }
            Answer::Row => {
                if is_statement {
                    conn.answer.extend_from_slice(raw);
                }
                if conn.answer.len() > MAX_ANSWER_BYTES {
                    self.on_conn_lost(now, key, "answer_too_large");
                    return false;
                }
            }
            Answer::Complete => {
                if is_statement {
                    conn.answer.extend_from_slice(raw);
                }
                conn.outcome = Some(Outcome::Complete);
            }
            Answer::Error { code, text } => {
                if conn.pending.front() == Some(&Purpose::Startup) {
                    let server = &mut self.servers[conn.server];
                    tracing::info!(
                        id = server.id,
                        code = code.label(),
                        text,
                        "server rejected the connection"
                    );
                    if code == Code::ConnectionLimit {
                        server.on_connection_limit(now);
                    }
                    self.on_conn_lost(now, key, code.label());
                    return false;
                }
                if is_statement {
                    conn.answer.extend_from_slice(raw);
                }
                conn.outcome = Some(Outcome::Error(code));
            }
            Answer::Ready { state, point } => return self.on_ready(now, key, state, point),
        }
        true
    }

    /// Handles the end of an answer.
    fn on_ready(&mut self, now: Instant, key: ConnKey, state: State, point: Option<Point>) -> bool {
        let Some(conn) = self.conns.get_mut(key) else {
            return false;
        };
        let outcome = conn.outcome.take();
        let Some(purpose) = conn.pending.pop_front() else {
            self.on_conn_lost(now, key, "unexpected_answer");
            return false;
        };
        let index = conn.server;
        self.record_answer(now, index, point);
        let error = match outcome {
            Some(Outcome::Error(code)) => Some(code),
            Some(Outcome::Complete) => None,
            None if purpose == Purpose::Startup => None,
            // The answer ended without a result or an error.
            None => Some(Code::Other),
        };
        match (purpose, error) {
            (Purpose::Startup, _) => {
                let server = &mut self.servers[index];
                server.opening = server.opening.saturating_sub(1);
                self.measure_opening(now, key);
                self.release(now, key, false);
            }
            (Purpose::Setup, None) => {}
            (Purpose::Setup, Some(code)) => {
                self.on_conn_lost(now, key, code.label());
                return self.conns.contains_key(key);
            }
            (Purpose::Rollback, _) => self.release(now, key, state != State::Idle),
            (Purpose::Begin { sent_at, writing }, None) => {
                if writing {
                    self.on_leadership_proved(key, sent_at, point);
                }
                self.on_begun(now, key);
            }
            (Purpose::Begin { .. }, Some(code)) => {
                self.on_begin_failed(now, key, code, state);
            }
            (Purpose::Statement { sent_at }, error) => {
                self.on_statement_answered(now, key, sent_at, error, state, point);
            }
        }
        self.conns.contains_key(key)
    }

    /// Records that a server answered and how far its log lags.
    fn record_answer(&mut self, now: Instant, index: usize, point: Option<Point>) {
        let moment = self.clock.moment();
        let server = &mut self.servers[index];
        let history = &self.services[server.service].history;
        let lag = point.and_then(|point| history.lag(point, moment));
        server.on_answer(now, lag);
        let known = server.log_end;
        if let Some(point) =
            point.filter(|point| known.is_none_or(|known| !is_at_or_past(known, *point)))
        {
            server.log_end = Some(point);
        }
    }

    /// Records that a server was the leader at some time after `at`, when the statement was sent.
    fn on_leadership_proved(&mut self, key: ConnKey, at: Moment, point: Option<Point>) {
        let Some(conn) = self.conns.get(key) else {
            return;
        };
        let service = &mut self.services[self.servers[conn.server].service];
        if service.primary == Some(conn.server) {
            service.unusable_since = None;
        }
        if let Some(point) = point {
            service.history.observe(Sample { point, at });
        }
    }

    fn on_begun(&mut self, now: Instant, key: ConnKey) {
        let Some(session_key) = self.conns.get(key).and_then(|conn| conn.session) else {
            // The caller disconnected in the meantime.
            return self.release(now, key, true);
        };
        let session = self.sessions.get_mut(session_key);
        if let Some(transaction) = session.and_then(|session| session.transaction.as_mut()) {
            transaction.conn = Some(key);
        }
        self.send_statement(now, session_key, key);
    }

    fn on_begin_failed(&mut self, now: Instant, key: ConnKey, code: Code, state: State) {
        let Some(conn) = self.conns.get(key) else {
            return;
        };
        let (session, server) = (conn.session, conn.server);
        self.release(now, key, state != State::Idle);
        if code == Code::Busy {
            self.return_idle_loan(key);
        }
        if session.is_none() {
            self.on_not_run(now, server, code);
        }
        if let Some(session) = session {
            self.retry_not_run(now, session, server, code);
        }
    }

    /// Retries a statement that a server has not run, or refuses it.
    fn retry_not_run(&mut self, now: Instant, key: SessionKey, server: usize, code: Code) {
        let mut pause = self.on_not_run(now, server, code);
        let Some(query) = self.sessions.get_mut(key).and_then(|s| s.query.as_mut()) else {
            return;
        };
        query.retry_cause = Some(code);
        let attempts = query.tried_servers.len();
        if code == Code::Busy {
            // The delay grows with each attempt, as an overloaded server rejects early retries.
            pause *= 1 << attempts.min(MAX_BUSY_DOUBLINGS);
        }
        if code == Code::Busy || code == Code::ReadOnly {
            // Counts repeated attempts at the same server.
            query.tried_servers.push(server);
        }
        let (wait_deadline, reason) = (query.wait_deadline, code.label());
        self.metrics.common.retries.add(reason);
        // A lender knows when the server may have a slot, and holds the next attempt back until then.
        let is_paced = code == Code::Busy && self.servers[server].uses_lenders;
        let goes_elsewhere =
            matches!(code, Code::Busy | Code::Lagging) && self.has_untried_server(now, key);
        if is_paced || goes_elsewhere {
            pause = Duration::ZERO;
        }
        if now >= wait_deadline || attempts >= MAX_ATTEMPTS * 2 {
            let reason = if code == Code::ReadOnly {
                Reason::NoPrimary
            } else {
                Reason::Exhausted
            };
            return self.refuse_unsent(now, key, reason);
        }
        self.retry(now, key, pause);
    }

    /// Records why a server has not run a statement. Returns the delay before the same server is
    /// tried again; another server may be tried at once.
    fn on_not_run(&mut self, now: Instant, index: usize, code: Code) -> Duration {
        match code {
            Code::ReadOnly => {
                self.mark_unusable(now, index);
                NOT_LEADING_RETRY_DELAY
            }
            Code::Busy => {
                self.servers[index].on_rejected(now);
                BUSY_RETRY_DELAY
            }
            // Each attempt passes a lender, which all statements of the service need.
            Code::Lagging if self.servers[index].uses_lenders => LAGGING_RETRY_DELAY,
            _ => Duration::ZERO,
        }
    }

    /// Handles the answer to a session's statement, which was sent at `at`.
    fn on_statement_answered(
        &mut self,
        now: Instant,
        key: ConnKey,
        at: Moment,
        error: Option<Code>,
        state: State,
        point: Option<Point>,
    ) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let answer = conn.answer.split();
        let (index, implicit_transaction) = (conn.server, conn.implicit_transaction);
        let Some(session_key) = conn.session else {
            return self.release(now, key, state != State::Idle);
        };
        let elapsed = now.saturating_duration_since(conn.used_at);
        if error != Some(Code::Busy) {
            self.servers[index].on_served(now, elapsed);
        }
        let latency = self.servers[index].latency();
        let Some(session) = self.sessions.get_mut(session_key) else {
            return self.release(now, key, state != State::Idle);
        };
        let Some(query) = session.query.take() else {
            return self.release(now, key, state != State::Idle);
        };
        if let Some(code) = error
            && self.is_retried(&query, session_key, code)
        {
            if let Some(session) = self.sessions.get_mut(session_key) {
                session.query = Some(query);
                if let Some(transaction) = &mut session.transaction {
                    transaction.conn = None;
                }
            }
            if code == Code::NotPrepared
                && let Some(conn) = self.conns.get_mut(key)
            {
                conn.prepared.clear();
            }
            self.release(now, key, state != State::Idle);
            if code == Code::Busy {
                self.return_idle_loan(key);
            }
            return self.retry_not_run(now, session_key, index, code);
        }
        let service = &mut self.services[query.route.service];
        if service.primary == Some(index) {
            service.on_primary_latency(now, latency, query.route.goal);
        }
        if error.is_none() && self.proves_leadership(session_key, query.kind) {
            self.on_leadership_proved(key, at, point);
        }
        let Some(session) = self.sessions.get_mut(session_key) else {
            return;
        };
        let transaction = session.transaction.as_ref();
        let committed = match query.kind {
            Kind::Commit => transaction.is_some_and(|transaction| transaction.has_written),
            kind => transaction.is_none() && kind.may_change(),
        };
        let holds = error.is_none() && committed;
        let is_commit = query.kind == Kind::Commit;
        let mut keeps_conn = false;
        if is_commit {
            session.transaction = None;
        } else if let Some(transaction) = &mut session.transaction {
            transaction.has_run |= error.is_none();
            transaction.has_written |= error.is_none() && query.kind.may_change();
            // If the server has ended the transaction itself, the caller still has to be told.
            transaction.failed = state != State::Open;
            keeps_conn = state != State::Idle;
            if !keeps_conn {
                transaction.conn = None;
            }
        }
        if holds {
            let known = self.conns.get(key).map(|conn| (conn.log_end, conn.token));
            let (log_end, token) = known.unwrap_or_default();
            self.release(now, key, implicit_transaction || state != State::Idle);
            let held = point.map(|end| Held {
                answer,
                server: index,
                end,
                least: Watermark::least_point(log_end, end),
                sent_at: at,
                token,
                request: None,
            });
            return self.hold(now, session_key, query, held);
        }
        session.out.extend_from_slice(&answer);
        let reported = session.state();
        P::encode_ready(&mut session.out, reported, point);
        self.dirty_sessions.push(session_key);
        self.ready_sessions.push(session_key);
        if keeps_conn {
            // The server has a slot for another statement while the transaction is idle.
            self.due_services.push(query.route.service);
            if let Some(conn) = self.conns.get_mut(key) {
                conn.used_at = now;
            }
            self.start_idle_timeout(session_key);
        } else {
            self.release(now, key, implicit_transaction || state != State::Idle);
        }
        self.count_outcome(now, &query, index, error);
    }

    /// Whether the success of a statement proves that its server led. A server that does not lead
    /// refuses writes and every statement of a writing transaction, except the commit of a
    /// transaction that wrote nothing.
    fn proves_leadership(&self, key: SessionKey, kind: Kind) -> bool {
        let transaction = self.sessions.get(key).and_then(|s| s.transaction.as_ref());
        match (transaction, kind) {
            (Some(transaction), Kind::Commit) => transaction.has_written,
            (Some(transaction), _) => !transaction.read_only,
            (None, kind) => kind.may_change(),
        }
    }

    /// Whether a failed statement is retried. It is if neither the statement nor its transaction
    /// has run, or if it is a read, which may run twice.
    fn is_retried(&mut self, query: &Query, key: SessionKey, code: Code) -> bool {
        let transaction = self.sessions.get(key).and_then(|s| s.transaction.as_ref());
        if let Some(transaction) = transaction {
            return !transaction.has_run && query.kind != Kind::Commit && code.is_not_run();
        }
        if code.is_not_run() {
            return true;
        }
        let retryable = matches!(code, Code::Failed | Code::Timeout | Code::Other);
        retryable
            && !query.kind.may_change()
            && query.retry_cause.is_none()
            && self.try_spend_retry()
    }

    pub(crate) fn try_spend_retry(&mut self) -> bool {
        self.retry_budget.try_spend(crate::process::now())
    }

    pub(crate) fn count_outcome(
        &mut self,
        now: Instant,
        query: &Query,
        index: usize,
        error: Option<Code>,
    ) {
        let elapsed = now.saturating_duration_since(query.received_at);
        self.metrics
            .statement_seconds
            .observe(elapsed.as_secs_f64());
        let outcome = match error {
            None => {
                self.metrics.served.add(query.kind.label());
                if !query.kind.may_change() {
                    let primary = self.services[query.route.service].primary;
                    let role = if primary == Some(index) {
                        "primary"
                    } else {
                        "replica"
                    };
                    self.metrics.reads.add(role);
                }
                "served"
            }
            Some(code) => {
                self.metrics.server_errors.add(code.label());
                code.label()
            }
        };
        self.log_outcome(now, query, outcome, Some(index));
    }
}

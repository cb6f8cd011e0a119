//! Answers of servers.

use std::time::{Duration, Instant};

use registry::Sample;
use types::Point;

use crate::event::{ConnKey, SessionKey};
use crate::process::Loop;
use crate::protocol::{Answer, Code, Protocol, State};
use crate::refuse::Reason;
use crate::server::{Ended, Expect};
use crate::session::{Kind, Work};
use clock::{Clock, Moment};

/// Pause before a statement is tried again at a primary that does not lead yet, or no more.
const NOT_LEADING: Duration = Duration::from_millis(60);
/// First pause before a statement is tried again at a server without capacity.
const BUSY: Duration = Duration::from_millis(10);
/// Doublings of that pause at most.
const MAX_DOUBLINGS: usize = 4;
/// Times that a statement is tried.
const MAX_TRIES: usize = 8;
/// Bytes of one answer that are held back until it is complete.
const MAX_ANSWER: usize = 8 << 20;

impl<P: Protocol, C: Clock> Loop<P, C> {
    /// Takes one message of a server. False once the connection is gone.
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
        let is_statement = matches!(conn.expected.front(), Some(Expect::Statement { .. }));
        match answer {
            Answer::Row | Answer::Done | Answer::Error { .. } if conn.expected.is_empty() => {
                self.on_conn_lost(now, key, "unexpected_answer");
                return false;
            }
            Answer::Row => {
                if is_statement {
                    conn.answer.extend_from_slice(raw);
                }
                if conn.answer.len() > MAX_ANSWER {
                    self.on_conn_lost(now, key, "answer_too_large");
                    return false;
                }
            }
            Answer::Done => {
                if is_statement {
                    conn.answer.extend_from_slice(raw);
                }
                conn.ended = Some(Ended::Done);
            }
            Answer::Error { code, text } => {
                if conn.expected.front() == Some(&Expect::Startup) {
                    let server = &mut self.servers[conn.server];
                    tracing::info!(
                        id = server.id,
                        code = code.label(),
                        text,
                        "connection refused"
                    );
                    if code == Code::ConnectionLimit {
                        server.on_full(now);
                    }
                    self.on_conn_lost(now, key, code.label());
                    return false;
                }
                if is_statement {
                    conn.answer.extend_from_slice(raw);
                }
                conn.ended = Some(Ended::Error(code));
            }
            Answer::Ready { state, point } => return self.on_ready(now, key, state, point),
        }
        true
    }

    /// An answer is complete.
    fn on_ready(&mut self, now: Instant, key: ConnKey, state: State, point: Option<Point>) -> bool {
        let Some(conn) = self.conns.get_mut(key) else {
            return false;
        };
        let ended = conn.ended.take();
        let Some(expect) = conn.expected.pop_front() else {
            self.on_conn_lost(now, key, "unexpected_answer");
            return false;
        };
        let index = conn.server;
        self.observe(now, index, point);
        let error = match ended {
            Some(Ended::Error(code)) => Some(code),
            Some(Ended::Done) => None,
            None if expect == Expect::Startup => None,
            // Neither an end nor an error before the last message.
            None => Some(Code::Other),
        };
        match (expect, error) {
            (Expect::Startup, _) => {
                let server = &mut self.servers[index];
                server.opening = server.opening.saturating_sub(1);
                self.release(now, key, false);
            }
            (Expect::Setup, None) => {}
            (Expect::Setup, Some(code)) => {
                self.on_conn_lost(now, key, code.label());
                return self.conns.contains_key(key);
            }
            (Expect::Rollback, _) => self.release(now, key, state != State::Idle),
            (Expect::Begin { at, writing }, None) => {
                if writing {
                    self.on_leading(key, at, point);
                }
                self.on_begun(now, key);
            }
            (Expect::Begin { .. }, Some(code)) => {
                self.on_not_begun(now, key, code, state);
            }
            (Expect::Statement { at }, error) => {
                self.on_statement(now, key, at, error, state, point);
            }
        }
        self.conns.contains_key(key)
    }

    /// Takes note of a server's answer and of how far its log is behind.
    fn observe(&mut self, now: Instant, index: usize, point: Option<Point>) {
        let moment = self.clock.moment();
        let server = &mut self.servers[index];
        let track = &self.services[server.service].track;
        let lag = point.and_then(|point| track.lag(point, moment));
        server.on_answer(now, lag);
    }

    /// A server has proved that it led after `at`.
    fn on_leading(&mut self, key: ConnKey, at: Moment, point: Option<Point>) {
        let Some(conn) = self.conns.get(key) else {
            return;
        };
        let service = &mut self.services[self.servers[conn.server].service];
        if service.primary == Some(conn.server) {
            service.missed_since = None;
        }
        if let Some(point) = point {
            service.track.observe(Sample { point, at });
        }
    }

    fn on_begun(&mut self, now: Instant, key: ConnKey) {
        let Some(session_key) = self.conns.get(key).and_then(|conn| conn.session) else {
            // The caller is gone meanwhile.
            return self.release(now, key, true);
        };
        let session = self.sessions.get_mut(session_key);
        if let Some(open) = session.and_then(|session| session.transaction.as_mut()) {
            open.conn = Some(key);
        }
        self.send_statement(now, session_key, key);
    }

    fn on_not_begun(&mut self, now: Instant, key: ConnKey, code: Code, state: State) {
        let Some(conn) = self.conns.get(key) else {
            return;
        };
        let (session, server) = (conn.session, conn.server);
        self.release(now, key, state != State::Idle);
        if session.is_none() {
            self.on_not_run(now, server, code);
        }
        if let Some(session) = session {
            self.try_again(now, session, server, code);
        }
    }

    /// Tries a statement again that a server has not run, or refuses it.
    fn try_again(&mut self, now: Instant, key: SessionKey, server: usize, code: Code) {
        let mut pause = self.on_not_run(now, server, code);
        let Some(work) = self.sessions.get_mut(key).and_then(|s| s.work.as_mut()) else {
            return;
        };
        work.retried = Some(code);
        let tries = work.tried.len();
        if code == Code::Busy {
            // Longer each time: a server that is pressed rejects whatever comes early.
            pause *= 1 << tries.min(MAX_DOUBLINGS);
        }
        if code == Code::Busy || code == Code::ReadOnly {
            // Several tries at one server are counted too.
            work.tried.push(server);
        }
        self.metrics.common.retries.add(code.label());
        if now >= work.hold_until || tries >= MAX_TRIES * 2 {
            let reason = if code == Code::ReadOnly {
                Reason::NoPrimary
            } else {
                Reason::Exhausted
            };
            return self.refuse_waiting(now, key, reason);
        }
        self.retry(now, key, pause);
    }

    /// Takes note of why a server has not run a statement. Returns a pause before it may be asked
    /// again; another server may be asked at once.
    fn on_not_run(&mut self, now: Instant, index: usize, code: Code) -> Duration {
        match code {
            Code::ReadOnly => {
                self.miss(now, index);
                NOT_LEADING
            }
            Code::Busy => BUSY,
            _ => Duration::ZERO,
        }
    }

    /// The statement of a session is answered.
    fn on_statement(
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
        let (index, wrapped) = (conn.server, conn.wrapped);
        let Some(session_key) = conn.session else {
            return self.release(now, key, state != State::Idle);
        };
        let took = now.saturating_duration_since(conn.since);
        self.servers[index].on_served(now, took);
        let latency = self.servers[index].latency();
        let Some(session) = self.sessions.get_mut(session_key) else {
            return self.release(now, key, state != State::Idle);
        };
        let Some(work) = session.work.take() else {
            return self.release(now, key, state != State::Idle);
        };
        if let Some(code) = error
            && self.is_tried_again(&work, session_key, code)
        {
            if let Some(session) = self.sessions.get_mut(session_key) {
                session.work = Some(work);
                if let Some(open) = &mut session.transaction {
                    open.conn = None;
                }
            }
            if code == Code::NotPrepared
                && let Some(conn) = self.conns.get_mut(key)
            {
                conn.prepared.clear();
            }
            self.release(now, key, state != State::Idle);
            return self.try_again(now, session_key, index, code);
        }
        let service = &mut self.services[work.route.service];
        if service.primary == Some(index) {
            service.on_primary_latency(now, latency, work.route.goal);
        }
        if error.is_none() && self.proves_leading(session_key, work.kind) {
            self.on_leading(key, at, point);
        }
        let Some(session) = self.sessions.get_mut(session_key) else {
            return;
        };
        let open = session.transaction.as_ref();
        let committed = match work.kind {
            Kind::Commit => open.is_some_and(|open| open.wrote),
            kind => open.is_none() && kind.may_change(),
        };
        if error.is_none() && committed {
            session.own = point.map(|point| Sample { point, at }).or(session.own);
        }
        let done = work.kind == Kind::Commit;
        let mut kept = false;
        if done {
            session.transaction = None;
        } else if let Some(open) = &mut session.transaction {
            open.used |= error.is_none();
            open.wrote |= error.is_none() && work.kind.may_change();
            // A server that has ended the transaction by itself leaves nothing but the report.
            open.failed = state != State::Open;
            kept = state != State::Idle;
            if !kept {
                open.conn = None;
            }
        }
        session.out.extend_from_slice(&answer);
        let reported = session.state();
        P::ready(&mut session.out, reported, point);
        self.dirty_sessions.push(session_key);
        self.ready.push(session_key);
        if kept {
            if let Some(conn) = self.conns.get_mut(key) {
                conn.since = now;
            }
            self.rest(session_key);
        } else {
            self.release(now, key, wrapped || state != State::Idle);
        }
        self.count(now, &work, index, error);
    }

    /// Whether the success of a statement shows that its server led. A server that does not lead
    /// refuses writes and all of a writing transaction, but for the commit of one that wrote nothing.
    fn proves_leading(&self, key: SessionKey, kind: Kind) -> bool {
        let open = self.sessions.get(key).and_then(|s| s.transaction.as_ref());
        match (open, kind) {
            (Some(open), Kind::Commit) => open.wrote,
            (Some(open), _) => !open.read_only,
            (None, kind) => kind.may_change(),
        }
    }

    /// Whether a statement with an error is tried again: nothing of it, or of its transaction, has
    /// run; or it only reads, and may run twice.
    fn is_tried_again(&mut self, work: &Work, key: SessionKey, code: Code) -> bool {
        let open = self.sessions.get(key).and_then(|s| s.transaction.as_ref());
        if let Some(open) = open {
            return !open.used && work.kind != Kind::Commit && code.is_not_run();
        }
        if code.is_not_run() {
            return true;
        }
        let again = matches!(code, Code::Failed | Code::Timeout | Code::Other);
        again && !work.kind.may_change() && work.retried.is_none() && self.budget_allows()
    }

    pub(crate) fn budget_allows(&mut self) -> bool {
        self.budget.try_spend(crate::process::now())
    }

    fn count(&mut self, now: Instant, work: &Work, index: usize, error: Option<Code>) {
        let took = now.saturating_duration_since(work.arrived);
        self.metrics.statement_seconds.observe(took.as_secs_f64());
        let outcome = match error {
            None => {
                self.metrics.served.add(work.kind.label());
                if !work.kind.may_change() {
                    let primary = self.services[work.route.service].primary;
                    let place = if primary == Some(index) {
                        "primary"
                    } else {
                        "replica"
                    };
                    self.metrics.reads.add(place);
                }
                "served"
            }
            Some(code) => {
                self.metrics.errors.add(code.label());
                code.label()
            }
        };
        self.log_outcome(now, work, outcome, Some(index));
    }
}

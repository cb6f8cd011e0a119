//! Refusals: answers to callers whose statements were not run or have an unknown outcome.

use std::borrow::Cow;
use std::time::Instant;

use crate::event::SessionKey;
use crate::log_limit::Line;
use crate::process::Loop;
use crate::protocol::{Code, Protocol, Request, State, Statement};
use crate::session::{Kind, Query, Stage};
use clock::Clock;

/// Why a statement is not served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// No connection became free in time.
    NoConnection,
    /// Too many statements wait for the service.
    QueueFull,
    /// No primary is known, or it is unusable.
    NoPrimary,
    /// The servers that were tried had no capacity or lacked the position.
    Exhausted,
    /// The proxy is stopping.
    Stopping,
    /// The plan does not contain the database.
    NoDatabase,
    /// No tenant of the plan holds the caller's key.
    KeyUnknown,
    /// A tenant held the key of an open session, but none does any more.
    KeyWithdrawn,
    /// Whether a tenant holds the caller's key can't be told without a coordinator.
    KeyUnconfirmed,
    /// The tenant has used up its rate limit.
    RateLimit {
        /// Time after which it may have a token.
        retry_in_ms: u64,
    },
    /// The tenant's rate limit can't be told without contact to its issuer.
    RateUnknown,
    /// The message is invalid, or not allowed in the state of the session.
    Malformed,
    /// A message is too large, or the session has too many variables or prepared names.
    TooLarge,
    /// The prepared name is unknown.
    NotPrepared,
    /// The connection of the transaction was lost; the server rolls back.
    TransactionLost,
    /// The transaction was idle too long.
    IdleTransaction,
    /// The transaction was assumed to be read-only but writes.
    NotReadOnly,
    /// The read was not answered in time.
    Unanswered,
    /// The write was not answered, so that its outcome is unknown.
    OutcomeUnknown,
}

impl Reason {
    /// Label in metrics and logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::NoConnection => "no_connection",
            Self::QueueFull => "queue_full",
            Self::NoPrimary => "no_primary",
            Self::Exhausted => "exhausted",
            Self::Stopping => "stopping",
            Self::NoDatabase => "no_database",
            Self::KeyUnknown => "key_unknown",
            Self::KeyWithdrawn => "key_withdrawn",
            Self::KeyUnconfirmed => "key_unconfirmed",
            Self::RateLimit { .. } => "rate_limit",
            Self::RateUnknown => "rate_unknown",
            Self::Malformed => "malformed",
            Self::TooLarge => "too_large",
            Self::NotPrepared => "not_prepared",
            Self::TransactionLost => "transaction_lost",
            Self::IdleTransaction => "rested",
            Self::NotReadOnly => "not_reading",
            Self::Unanswered => "unanswered",
            Self::OutcomeUnknown => "outcome_unknown",
        }
    }

    /// Error code for the caller.
    #[must_use]
    pub fn code(self) -> Code {
        match self {
            Self::NoConnection
            | Self::QueueFull
            | Self::NoPrimary
            | Self::Exhausted
            | Self::KeyUnconfirmed
            | Self::RateLimit { .. }
            | Self::RateUnknown
            | Self::Stopping => Code::Busy,
            Self::NoDatabase => Code::NoDatabase,
            Self::KeyUnknown | Self::KeyWithdrawn => Code::Denied,
            Self::Malformed => Code::Malformed,
            Self::TooLarge => Code::TooLarge,
            Self::NotPrepared => Code::NotPrepared,
            Self::TransactionLost | Self::IdleTransaction | Self::NotReadOnly => Code::Aborted,
            Self::Unanswered => Code::Timeout,
            Self::OutcomeUnknown => Code::Unknown,
        }
    }

    /// Error message for the caller, with the time to come back if that is known.
    #[must_use]
    pub fn message(self) -> Cow<'static, str> {
        match self {
            Self::RateLimit { retry_in_ms } => {
                format!("{}; retry after {retry_in_ms} ms", self.text()).into()
            }
            _ => self.text().into(),
        }
    }

    /// Error message for the caller, without figures.
    #[must_use]
    pub fn text(self) -> &'static str {
        match self {
            Self::NoConnection => "not run: no connection became free in time",
            Self::QueueFull => "not run: too many statements wait",
            Self::NoPrimary => "not run: no primary can be used at present",
            Self::Exhausted => "not run: no server could take it",
            Self::Stopping => "not run: this entry stops",
            Self::NoDatabase => "no such database",
            Self::KeyUnknown => "no tenant holds this key",
            Self::KeyWithdrawn => "not run: the key was withdrawn",
            Self::KeyUnconfirmed => "not run: the key can't be checked at present",
            Self::RateLimit { .. } => "not run: the tenant's rate limit is used up",
            Self::RateUnknown => "not run: the tenant's rate limit can't be checked at present",
            Self::Malformed => "not run: the statement can't be read or does not fit here",
            Self::TooLarge => "not run: too large or too many",
            Self::NotPrepared => "not run: no such prepared statement",
            Self::TransactionLost => "rolled back: the connection to the server was lost",
            Self::IdleTransaction => "rolled back: the transaction rested too long",
            Self::NotReadOnly => "rolled back: it began on a replica; begin it again to write",
            Self::Unanswered => "the server did not answer in time",
            Self::OutcomeUnknown => "the outcome is unknown: not confirmed in time",
        }
    }
}

impl<P: Protocol, C: Clock> Loop<P, C> {
    /// Answers a message that starts no query with an error.
    pub(crate) fn reject(&mut self, key: SessionKey, reason: Reason) {
        self.metrics.common.refusals.add(reason.label());
        if let Some(session) = self.sessions.get_mut(key) {
            P::encode_error(&mut session.out, reason.code(), &reason.message());
            let state = session.state();
            P::encode_ready(&mut session.out, state, None);
            self.dirty_sessions.push(key);
        }
    }

    /// Answers a message of a closing session, for which nothing is started any more.
    pub(crate) fn refuse_message(
        &mut self,
        now: Instant,
        key: SessionKey,
        request: Request<'_>,
        refusal: Option<Reason>,
    ) {
        let (Some(reason), Some(session)) = (refusal, self.sessions.get_mut(key)) else {
            return;
        };
        match request {
            Request::Startup { .. } if session.digest.is_none() => {
                P::encode_error(&mut session.out, reason.code(), reason.text());
                self.dirty_sessions.push(key);
            }
            Request::Query { statement, .. } if session.database.is_some() => {
                self.refuse_statement(now, key, statement, reason);
            }
            _ => {}
        }
    }

    fn refuse_statement(
        &mut self,
        now: Instant,
        key: SessionKey,
        statement: Statement<'_>,
        reason: Reason,
    ) {
        let Some(session) = self.sessions.get_mut(key) else {
            return;
        };
        match (session.state(), statement) {
            (State::Idle, _) => self.reject(key, reason),
            (State::Open | State::Failed, Statement::Rollback) => self.report_ended(key),
            (State::Open | State::Failed, Statement::Commit) => {
                session.transaction = None;
                self.reject(key, Reason::TransactionLost);
            }
            (State::Open | State::Failed, _) => {
                self.fail_transaction(now, key);
                self.reject(key, Reason::TransactionLost);
            }
        }
    }

    /// Ends a session's query with a refusal or an unknown outcome. A commit also ends the open
    /// transaction; after any other statement the caller has to end it.
    pub(crate) fn refuse(&mut self, now: Instant, key: SessionKey, reason: Reason) {
        let Some(session) = self.sessions.get_mut(key) else {
            return;
        };
        let Some(query) = session.query.take() else {
            return;
        };
        self.return_token(key, &query);
        let Some(session) = self.sessions.get_mut(key) else {
            return;
        };
        session.held = None;
        if reason == Reason::OutcomeUnknown {
            self.metrics.unknown_outcomes.add(query.kind.label());
        } else {
            self.metrics.common.refusals.add(reason.label());
        }
        if query.kind == Kind::Commit {
            session.transaction = None;
        } else if let Some(transaction) = &mut session.transaction {
            transaction.failed = true;
        }
        P::encode_error(&mut session.out, reason.code(), &reason.message());
        let state = session.state();
        P::encode_ready(&mut session.out, state, None);
        self.dirty_sessions.push(key);
        self.ready_sessions.push(key);
        self.log_outcome(now, &query, reason.label(), None);
    }

    /// Logs how a statement ended, with the data on which the decision was based.
    pub(crate) fn log_outcome(
        &mut self,
        now: Instant,
        query: &Query,
        outcome: &str,
        server: Option<usize>,
    ) {
        let served = outcome == "served" && query.retry_cause.is_none();
        let line = if served { Line::Served } else { Line::Failed };
        if !self.log_limiter.allows(now, line) {
            self.metrics.log_lines_dropped.inc();
            return;
        }
        let service = &self.services[query.route.service];
        let primary = service.primary.map(|index| self.servers[index].id.as_str());
        let sample = service.history.latest();
        tracing::info!(
            request = query.id,
            service = service.name,
            kind = query.kind.label(),
            tenant = query.route.tenant.map(|id| self.directory.name(id)),
            outcome,
            server = server.map(|index| self.servers[index].id.as_str()),
            primary,
            after = ?query.after.map(|point| (point.term.0, point.lsn.0)),
            sample = ?sample.map(|sample| (sample.point.term.0, sample.point.lsn.0)),
            sample_age_ms = service.history.age(self.clock.moment()).map(|age| age.as_millis()),
            plan = self.plan.version,
            tried = query.tried_servers.len(),
            retried = query.retry_cause.map(Code::label),
            sent = matches!(query.stage, Stage::Sent(_)),
            waiting = service.waiting.len(),
            ms = now.saturating_duration_since(query.received_at).as_millis(),
            "statement"
        );
    }

    /// Confirms to a caller that its transaction has ended.
    pub(crate) fn report_ended(&mut self, key: SessionKey) {
        if let Some(session) = self.sessions.get_mut(key) {
            session.transaction = None;
            P::encode_complete(&mut session.out);
            P::encode_ready(&mut session.out, State::Idle, None);
            self.dirty_sessions.push(key);
        }
    }
}

//! Refusals: what callers are told of statements that were not run, or whose outcome is unknown.

use std::time::Instant;

use crate::event::SessionKey;
use crate::log_limit::Line;
use crate::process::Loop;
use crate::protocol::{Code, Protocol, State};
use crate::session::{Kind, Stage, Work};
use clock::Clock;

/// Why a statement is not served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// No connection became free in time.
    NoConnection,
    /// Too many statements wait for the service.
    QueueFull,
    /// No primary is known, or it can't be used.
    NoPrimary,
    /// The servers that were tried had no capacity or lacked the position.
    Exhausted,
    /// The entry stops.
    Stopping,
    /// The database is not in the plan.
    NoDatabase,
    /// The message does not fit the session's state.
    Malformed,
    /// A collection of the session is full, or a message too large.
    TooLarge,
    /// The prepared name is unknown.
    NotPrepared,
    /// The connection of the transaction was lost; the server rolls back.
    TransactionLost,
    /// The transaction rested too long.
    Rested,
    /// The transaction was taken for a reading one and writes.
    NotReading,
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
            Self::Malformed => "malformed",
            Self::TooLarge => "too_large",
            Self::NotPrepared => "not_prepared",
            Self::TransactionLost => "transaction_lost",
            Self::Rested => "rested",
            Self::NotReading => "not_reading",
            Self::Unanswered => "unanswered",
            Self::OutcomeUnknown => "outcome_unknown",
        }
    }

    /// Code that the caller is told.
    #[must_use]
    pub fn code(self) -> Code {
        match self {
            Self::NoConnection
            | Self::QueueFull
            | Self::NoPrimary
            | Self::Exhausted
            | Self::Stopping => Code::Busy,
            Self::NoDatabase => Code::NoDatabase,
            Self::Malformed => Code::Malformed,
            Self::TooLarge => Code::TooLarge,
            Self::NotPrepared => Code::NotPrepared,
            Self::TransactionLost | Self::Rested | Self::NotReading => Code::Aborted,
            Self::Unanswered => Code::Timeout,
            Self::OutcomeUnknown => Code::Unknown,
        }
    }

    /// Words for the caller.
    #[must_use]
    pub fn text(self) -> &'static str {
        match self {
            Self::NoConnection => "not run: no connection became free in time",
            Self::QueueFull => "not run: too many statements wait",
            Self::NoPrimary => "not run: no primary can be used at present",
            Self::Exhausted => "not run: no server could take it",
            Self::Stopping => "not run: this entry stops",
            Self::NoDatabase => "no such database",
            Self::Malformed => "not run: the statement can't be read or does not fit here",
            Self::TooLarge => "not run: too large or too many",
            Self::NotPrepared => "not run: no such prepared statement",
            Self::TransactionLost => "rolled back: the connection to the server was lost",
            Self::Rested => "rolled back: the transaction rested too long",
            Self::NotReading => "rolled back: it began on a replica; begin it again to write",
            Self::Unanswered => "the server did not answer in time",
            Self::OutcomeUnknown => "the outcome is unknown: the server did not answer",
        }
    }
}

impl<P: Protocol, C: Clock> Loop<P, C> {
    /// Answers a message that starts no work.
    pub(crate) fn reject(&mut self, key: SessionKey, reason: Reason) {
        self.metrics.common.refusals.add(reason.label());
        if let Some(session) = self.sessions.get_mut(key) {
            P::error(&mut session.out, reason.code(), reason.text());
            let state = session.state();
            P::ready(&mut session.out, state, None);
            self.dirty_sessions.push(key);
        }
    }

    /// Ends the work of a session with a refusal or an unknown outcome. What it does to an open
    /// transaction is up to the reason: a commit ends it, anything else leaves it to be ended.
    pub(crate) fn refuse(&mut self, now: Instant, key: SessionKey, reason: Reason) {
        let Some(session) = self.sessions.get_mut(key) else {
            return;
        };
        let Some(work) = session.work.take() else {
            return;
        };
        if reason == Reason::OutcomeUnknown {
            self.metrics.unknown.add(work.kind.label());
        } else {
            self.metrics.common.refusals.add(reason.label());
        }
        if work.kind == Kind::Commit {
            session.transaction = None;
        } else if let Some(open) = &mut session.transaction {
            open.failed = true;
        }
        P::error(&mut session.out, reason.code(), reason.text());
        let state = session.state();
        P::ready(&mut session.out, state, None);
        self.dirty_sessions.push(key);
        self.ready.push(key);
        self.log_outcome(now, &work, reason.label(), None);
    }

    /// Writes the line that tells how a statement ended and what that was decided on.
    pub(crate) fn log_outcome(
        &mut self,
        now: Instant,
        work: &Work,
        outcome: &str,
        server: Option<usize>,
    ) {
        let served = outcome == "served" && work.retried.is_none();
        let line = if served { Line::Served } else { Line::Failed };
        if !self.journal.allows(now, line) {
            self.metrics.dropped.inc();
            return;
        }
        let service = &self.services[work.route.service];
        let primary = service.primary.map(|index| self.servers[index].id.as_str());
        let sample = service.track.latest();
        tracing::info!(
            request = work.id,
            service = service.name,
            kind = work.kind.label(),
            outcome,
            server = server.map(|index| self.servers[index].id.as_str()),
            primary,
            after = ?work.after.map(|point| (point.term.0, point.lsn.0)),
            sample = ?sample.map(|it| (it.point.term.0, it.point.lsn.0)),
            sample_age_ms = service.track.age(self.clock.moment()).map(|age| age.as_millis()),
            plan = self.plan.version,
            tried = work.tried.len(),
            retried = work.retried.map(Code::label),
            sent = matches!(work.stage, Stage::Sent(_)),
            waiting = service.waiting.len(),
            ms = now.saturating_duration_since(work.arrived).as_millis(),
            "statement"
        );
    }

    /// Tells a caller that its transaction is over, in answer to a request to end it.
    pub(crate) fn report_ended(&mut self, key: SessionKey) {
        if let Some(session) = self.sessions.get_mut(key) {
            session.transaction = None;
            P::done(&mut session.out);
            P::ready(&mut session.out, State::Idle, None);
            self.dirty_sessions.push(key);
        }
    }
}

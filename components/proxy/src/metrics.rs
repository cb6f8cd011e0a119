//! Metrics of a proxy.

use observe::metrics::{Metrics, Reasons, SERVICE_BUCKETS_SECONDS};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;

/// The set.
#[derive(Debug)]
pub struct Set {
    /// Registry, refusals and retries.
    pub common: Metrics,
    /// Statements that were answered with success, by kind.
    pub served: Reasons,
    /// Reads by where they ran.
    pub reads: Reasons,
    /// Statements whose outcome is unknown, by reason.
    pub unknown: Reasons,
    /// Errors of servers that were passed on.
    pub errors: Reasons,
    /// Failures of servers and connections, by kind.
    pub failures: Reasons,
    /// Connections opened to servers.
    pub opened: Counter,
    /// Connections asked for at other entries.
    pub borrowed: Counter,
    /// Open sessions.
    pub sessions: Gauge,
    /// Statements that wait.
    pub waiting: Gauge,
    /// Log lines left out.
    pub dropped: Counter,
    /// Time from a statement's arrival to its answer.
    pub statement_seconds: Histogram,
    /// Time that a statement waited before it was sent.
    pub wait_seconds: Histogram,
}

impl Set {
    /// All at zero.
    #[must_use]
    pub fn new() -> Self {
        let mut common = Metrics::new();
        let served = common.reasons("served", "Statements answered with success, by kind");
        let reads = common.reasons("reads", "Reads by where they ran");
        let unknown = common.reasons("unknown_outcomes", "Statements of unknown outcome");
        let errors = common.reasons("server_errors", "Errors of servers that were passed on");
        let failures = common.reasons("server_failures", "Failures of servers, by kind");
        let opened = common.counter("connections_opened", "Connections opened to servers");
        let borrowed = common.counter("loans", "Connections asked for at other entries");
        let sessions = common.gauge("sessions", "Open sessions");
        let waiting = common.gauge("waiting", "Statements that wait for a connection");
        let dropped = common.counter("log_lines_dropped", "Log lines left out to bound the log");
        let statement_seconds = common.histogram(
            "statement_seconds",
            "Time from a statement's arrival to its answer",
            &SERVICE_BUCKETS_SECONDS,
        );
        let wait_seconds = common.histogram(
            "wait_seconds",
            "Time that a statement waited before it was sent",
            &SERVICE_BUCKETS_SECONDS,
        );
        Self {
            common,
            served,
            reads,
            unknown,
            errors,
            failures,
            opened,
            borrowed,
            sessions,
            waiting,
            dropped,
            statement_seconds,
            wait_seconds,
        }
    }
}

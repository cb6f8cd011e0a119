//! Metrics of a proxy.

use observe::metrics::{Metrics, Reasons, SERVICE_BUCKETS_SECONDS};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;

#[derive(Debug)]
pub struct Set {
    /// Metric registry, refusals and retries.
    pub common: Metrics,
    /// Statements answered successfully, by kind.
    pub served: Reasons,
    /// Reads, by role of the server.
    pub reads: Reasons,
    /// Statements whose outcome is unknown, by kind.
    pub unknown_outcomes: Reasons,
    /// Commits whose success was passed on to callers: of the `primary`, or of a `former_primary`.
    pub acknowledged_commits: Reasons,
    /// Changes of primary after which a commit that was passed on may be missing.
    pub commits_beyond_choice: Counter,
    /// Errors of servers that were passed on to callers.
    pub server_errors: Reasons,
    /// Failures of servers and connections, by cause.
    pub server_failures: Reasons,
    /// Connections opened to servers.
    pub connections_opened: Counter,
    /// Connections in the name of tenants, by event: `opened` where there was room, `replaced` in
    /// place of another tenant's, `reused` for a further statement or loan.
    pub tenant_connections: Reasons,
    /// Connections requested from lenders.
    pub loans: Counter,
    pub sessions: Gauge,
    /// Connections to servers that are open, being opened, or borrowed.
    pub server_connections: Gauge,
    /// Connections borrowed or requested from lenders, which are also in `server_connections`.
    pub borrowed_connections: Gauge,
    /// Connections that are neither idle nor in use, and deviations of the servers' counts.
    pub unaccounted: Gauge,
    /// Statements that wait for a connection.
    pub waiting: Gauge,
    /// Log lines dropped by the rate limit.
    pub log_lines_dropped: Counter,
    /// Time from the arrival of a statement to its answer.
    pub statement_seconds: Histogram,
    /// Time that a statement waited before it was sent.
    pub wait_seconds: Histogram,
}

impl Set {
    #[must_use]
    pub fn new() -> Self {
        let mut common = Metrics::new();
        let served = common.reasons("served", "Statements answered with success, by kind");
        let reads = common.reasons("reads", "Reads by where they ran");
        let unknown_outcomes = common.reasons("unknown_outcomes", "Statements of unknown outcome");
        let acknowledged_commits = common.reasons(
            "acknowledged_commits",
            "Commits whose success was passed on, by what their server is",
        );
        let commits_beyond_choice = common.counter(
            "commits_beyond_choice",
            "Changes of primary after which a commit that was passed on may be missing",
        );
        let server_errors =
            common.reasons("server_errors", "Errors of servers that were passed on");
        let server_failures = common.reasons("server_failures", "Failures of servers, by kind");
        let connections_opened =
            common.counter("connections_opened", "Connections opened to servers");
        let tenant_connections = common.reasons(
            "tenant_connections",
            "Connections in the name of tenants, by event",
        );
        let loans = common.counter("loans", "Connections asked for at other entries");
        let sessions = common.gauge("sessions", "Open sessions");
        let server_connections = common.gauge("server_connections", "Connections to servers");
        let borrowed_connections = common.gauge(
            "borrowed_connections",
            "Connections borrowed from other entries",
        );
        let unaccounted = common.gauge(
            "unaccounted",
            "Connections neither idle nor in use, and wrong counts",
        );
        let waiting = common.gauge("waiting", "Statements that wait for a connection");
        let log_lines_dropped =
            common.counter("log_lines_dropped", "Log lines left out to bound the log");
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
            unknown_outcomes,
            acknowledged_commits,
            commits_beyond_choice,
            server_errors,
            server_failures,
            connections_opened,
            tenant_connections,
            loans,
            sessions,
            server_connections,
            borrowed_connections,
            unaccounted,
            waiting,
            log_lines_dropped,
            statement_seconds,
            wait_seconds,
        }
    }
}

//! Metrics of an entry instance.

use observe::metrics::{Metrics, Reasons, SERVICE_BUCKETS_SECONDS};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;

/// Reasons of the counter `refusals`.
const REFUSAL_REASONS: [&str; 27] = [
    "request_id",
    "queue_full",
    "queue_deadline",
    "no_primary",
    "lease",
    "stopping",
    "leaving",
    "quota",
    "stale",
    "lost",
    "cancelled",
    "start_timeout",
    "start_closed",
    "start_protocol",
    "start_version",
    "start_password",
    "too_many_callers",
    "too_many_starting",
    "unknown_database",
    "session_bound",
    "local_mixed",
    "invalid_frame",
    "transaction_lost",
    "target_lost",
    "unauthorized",
    "announcement",
    "parameter",
];
/// Reasons of the counter `unknown_outcomes`.
const UNKNOWN_OUTCOME_REASONS: [&str; 6] = [
    "lease",
    "term",
    "target_lost",
    "ack_timeout",
    "no_position",
    "stopping",
];
/// Reasons of the counter `retries`.
const RETRY_REASONS: [&str; 1] = ["read_target_lost"];

#[derive(Debug)]
pub struct Set {
    /// Registry, refusals and retries.
    pub common: Metrics,
    /// Statements whose outcome is unknown, by reason.
    pub unknown_outcomes: Reasons,
    /// Connections to targets that could not be opened or were lost, by reason.
    pub target_failures: Reasons,
    /// Cancel requests, by outcome.
    pub cancels: Reasons,
    pub callers: Gauge,
    /// Batches answered, by kind of target and statement.
    pub batches: Reasons,
    /// Writes acknowledged after enough replicas confirmed them.
    pub acknowledged: Counter,
    /// Time from the primary's answer to a write until its acknowledgement, or until its outcome is
    /// reported as unknown.
    pub ack_wait: Histogram,
    /// Time from sending a batch to a target until the end of its answer.
    pub batch_time: Histogram,
}

impl Set {
    /// Registers all metrics.
    #[must_use]
    pub fn new() -> Self {
        let mut common = Metrics::new();
        common.refusals.declare(&REFUSAL_REASONS);
        common.retries.declare(&RETRY_REASONS);
        let set = Self {
            unknown_outcomes: common.reasons(
                "unknown_outcomes",
                "Statements whose outcome is unknown, by reason",
            ),
            target_failures: common.reasons(
                "target_failures",
                "Connections to targets that failed, by reason",
            ),
            cancels: common.reasons("cancels", "Cancel requests, by what became of them"),
            callers: common.gauge("callers", "Callers connected"),
            batches: common.reasons("batches", "Batches answered, by where they ran"),
            acknowledged: common.counter("writes_acknowledged", "Writes acknowledged"),
            ack_wait: common.histogram(
                "write_ack_wait_seconds",
                "From a write's completion on the primary to its acknowledgement, or to the report that its outcome is unknown",
                &SERVICE_BUCKETS_SECONDS,
            ),
            batch_time: common.histogram(
                "batch_seconds",
                "From the start of a batch on a target to the end of its answer",
                &SERVICE_BUCKETS_SECONDS,
            ),
            common,
        };
        set.unknown_outcomes.declare(&UNKNOWN_OUTCOME_REASONS);
        set
    }
}

//! Metrics of an entry process.

use observe::metrics::{Metrics, Reasons, SERVICE_BUCKETS_SECONDS};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;

/// Reasons of the counter `refusals`.
const REFUSALS: [&str; 27] = [
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
const UNKNOWN: [&str; 6] = [
    "lease",
    "term",
    "target_lost",
    "ack_timeout",
    "no_position",
    "stopping",
];
/// Reasons of the counter `retries`.
const RETRIES: [&str; 1] = ["read_target_lost"];

/// Metrics of an entry process.
#[derive(Debug)]
pub struct Set {
    /// Registry, refusals and retries.
    pub common: Metrics,
    /// Statements whose outcome could not be known, by reason.
    pub unknown: Reasons,
    /// Connections to targets that could not be opened or were lost, by reason.
    pub target_failures: Reasons,
    /// Cancel requests, by what became of them.
    pub cancels: Reasons,
    /// Callers connected.
    pub callers: Gauge,
    /// Batches answered, by where they ran.
    pub batches: Reasons,
    /// Writes acknowledged after replicas covered them.
    pub acknowledged: Counter,
    /// From a write's completion on the primary to its acknowledgement.
    pub ack_wait: Histogram,
    /// From a batch's arrival to the end of its answer.
    pub service: Histogram,
}

impl Set {
    /// All metrics, registered.
    #[must_use]
    pub fn new() -> Self {
        let mut common = Metrics::new();
        common.refusals.declare(&REFUSALS);
        common.retries.declare(&RETRIES);
        let set = Self {
            unknown: common.reasons(
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
            service: common.histogram(
                "batch_seconds",
                "From the start of a batch on a target to the end of its answer",
                &SERVICE_BUCKETS_SECONDS,
            ),
            common,
        };
        set.unknown.declare(&UNKNOWN);
        set
    }
}

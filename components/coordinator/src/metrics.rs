//! Metrics of a coordinator.

use observe::metrics::{Metrics, PHASE_BUCKETS_SECONDS, Reasons};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;

/// Reasons that the counter `refusals` reports.
const REFUSAL_REASONS: [&str; 10] = [
    "invalid",
    "not_leader",
    "no_quorum",
    "no_plan",
    "lost_leadership",
    "version",
    "invalid_order",
    "registry_full",
    "unknown_service",
    "change_of_primary",
];

#[derive(Debug)]
pub struct Set {
    /// Metrics that all processes have.
    pub common: Metrics,
    /// 1 while this instance leads, otherwise 0.
    pub leader: Gauge,
    /// Index of the last applied order.
    pub revision: Gauge,
    /// Version of the plan in force.
    pub version: Gauge,
    /// Entries subscribed to this instance.
    pub entries: Gauge,
    /// 1 while writes wait for space on the disk, otherwise 0.
    pub disk_full: Gauge,
    /// Duration of a change of primary, from its start to its confirmation.
    pub change_seconds: Histogram,
    /// Time from the proposal of an order to its commit.
    pub commit_seconds: Histogram,
    /// Requests for consent to pass on commits, by answer: `given` or `withheld`.
    pub consents: Reasons,
    /// Tokens of rate limits that were issued.
    pub tokens_issued: Counter,
    /// Tokens that waiting operations claimed and did not get.
    pub tokens_short: Counter,
}

impl Set {
    #[must_use]
    pub fn new() -> Self {
        let mut common = Metrics::new();
        common.refusals.declare(&REFUSAL_REASONS);
        let leader = common.gauge("leader", "1 while this instance leads");
        let revision = common.gauge("revision", "Index of the last applied order");
        let version = common.gauge("plan_version", "Version of the plan in force");
        let entries = common.gauge("entries", "Entries subscribed to this instance");
        let disk_full = common.gauge("disk_full", "1 while writes wait for space on the disk");
        let change_seconds = common.histogram(
            "primary_change_seconds",
            "Time of a change of primary, from its begin to its confirmation",
            &PHASE_BUCKETS_SECONDS,
        );
        let commit_seconds = common.histogram(
            "commit_seconds",
            "Time from the proposal of an order to its commit",
            &PHASE_BUCKETS_SECONDS,
        );
        let consents = common.reasons(
            "consents",
            "Requests for consent to pass on commits, by answer",
        );
        let tokens_issued = common.counter("tokens_issued", "Tokens of rate limits issued");
        let tokens_short = common.counter(
            "tokens_short",
            "Tokens of rate limits that waiting operations claimed and did not get",
        );
        Self {
            common,
            leader,
            revision,
            version,
            entries,
            disk_full,
            change_seconds,
            commit_seconds,
            consents,
            tokens_issued,
            tokens_short,
        }
    }
}

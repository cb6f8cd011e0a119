//! Metrics of a control instance.

use failover::Stage;
use observe::metrics::{Metrics, PHASE_BUCKETS_SECONDS, Reasons};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;

/// Reasons of the counter `refusals`.
const REFUSAL_REASONS: [&str; 15] = [
    "not_leader",
    "no_quorum",
    "not_ready",
    "replaced",
    "invalid",
    "version",
    "conflict",
    "findings",
    "refused",
    "unknown",
    "not_found",
    "bad_method",
    "unauthorized",
    "unknown_identity",
    "invalid_command",
];
/// Reasons of the counter `retries`.
const RETRY_REASONS: [&str; 5] = ["position", "promote", "follow", "follow_later", "proposal"];

/// Metrics of a control instance.
#[derive(Debug)]
pub struct Set {
    /// Registry, refusals and retries.
    pub common: Metrics,
    /// Whether this instance leads: 1 or 0.
    pub leader: Gauge,
    /// Revision of the catalog.
    pub revision: Gauge,
    /// Entries connected to this instance.
    pub entries: Gauge,
    /// 1 while writes wait for space on the disk, otherwise 0.
    pub disk_full: Gauge,
    /// Changes of primary without progress, by reason.
    pub stalled: Reasons,
    detect: Histogram,
    fence: Histogram,
    promote: Histogram,
    publish: Histogram,
}

impl Set {
    /// Creates and registers all metrics.
    #[must_use]
    pub fn new() -> Self {
        let mut common = Metrics::new();
        common.refusals.declare(&REFUSAL_REASONS);
        common.retries.declare(&RETRY_REASONS);
        let stage =
            |common: &mut Metrics, name, help| common.histogram(name, help, &PHASE_BUCKETS_SECONDS);
        Self {
            leader: common.gauge("control_leader", "Whether this instance leads, 1 or 0"),
            revision: common.gauge("catalog_revision", "Revision of the catalog"),
            entries: common.gauge("control_entries", "Entries connected to this instance"),
            disk_full: common.gauge("disk_full", "1 while writes wait for space on the disk"),
            stalled: common.reasons(
                "failover_stalls",
                "Changes of primary without progress, by reason",
            ),
            detect: stage(
                &mut common,
                "failover_detect_seconds",
                "From a primary's last answer to the verdict that it failed",
            ),
            fence: stage(
                &mut common,
                "failover_fence_seconds",
                "From the verdict to the end of the last lease of the old term",
            ),
            promote: stage(
                &mut common,
                "failover_promote_seconds",
                "From the fence to the promotion",
            ),
            publish: stage(
                &mut common,
                "failover_publish_seconds",
                "From the promotion until every entry knows it",
            ),
            common,
        }
    }

    /// Histogram of the duration of a stage of a change of primary.
    #[must_use]
    pub fn stage(&self, stage: Stage) -> &Histogram {
        match stage {
            Stage::Detect => &self.detect,
            Stage::Fence => &self.fence,
            Stage::Promote => &self.promote,
            Stage::Publish => &self.publish,
        }
    }
}

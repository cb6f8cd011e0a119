//! Metrics of a process, in OpenMetrics format.

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Content type of the text that [`encode`] returns.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Histogram buckets for statements and requests, in seconds: doubling from 50 µs, half the latency
/// that an entry may add, to 6.6 s.
pub const SERVICE_BUCKETS_SECONDS: [f64; 18] = [
    50e-6, 100e-6, 200e-6, 400e-6, 800e-6, 1.6e-3, 3.2e-3, 6.4e-3, 12.8e-3, 25.6e-3, 51.2e-3,
    0.1024, 0.2048, 0.4096, 0.8192, 1.6384, 3.2768, 6.5536,
];

/// Histogram buckets for the phases of a change of primary, in seconds. Some bounds equal the
/// targets for these phases: 0.3 s to detect a failure, 0.5 s of held writes, 1.5 s of failover
/// gap.
pub const PHASE_BUCKETS_SECONDS: [f64; 14] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0,
];

/// Label set of a counter by reason.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Reason {
    reason: &'static str,
}

/// Family of counters, one for each reason.
#[derive(Clone, Debug, Default)]
pub struct Reasons(Family<Reason, Counter>);

impl Reasons {
    /// Increments the counter of `reason`.
    pub fn add(&self, reason: &'static str) {
        self.0.get_or_create(&Reason { reason }).inc();
    }

    /// Exports the counters of `reasons` as zero, so that a rate also includes the first increment.
    pub fn declare(&self, reasons: &[&'static str]) {
        for reason in reasons {
            self.0.get_or_create(&Reason { reason }).inc_by(0);
        }
    }

    /// Value of the counter of `reason`.
    #[must_use]
    pub fn count(&self, reason: &'static str) -> u64 {
        self.0
            .get(&Reason { reason })
            .map_or(0, |counter| counter.get())
    }
}

/// Metrics that every process exports, and the registry for further ones.
#[derive(Debug)]
pub struct Metrics {
    pub registry: Registry,
    /// Rejected requests, by reason.
    pub refusals: Reasons,
    /// Retried requests, by reason.
    pub retries: Reasons,
}

impl Metrics {
    /// Creates a registry in which `refusals` and `retries` are registered.
    #[must_use]
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::default(),
            refusals: Reasons::default(),
            retries: Reasons::default(),
        };
        metrics.refusals = metrics.reasons("refusals", "Requests refused as not run, by reason");
        metrics.retries = metrics.reasons("retries", "Requests sent again, by reason");
        metrics
    }

    /// Registers a family of counters by reason. The text format appends `_total` to the name.
    pub fn reasons(&mut self, name: &str, help: &str) -> Reasons {
        let reasons = Reasons::default();
        self.registry.register(name, help, reasons.0.clone());
        reasons
    }

    /// Registers a counter. The text format appends `_total` to the name.
    pub fn counter(&mut self, name: &str, help: &str) -> Counter {
        let counter = Counter::default();
        self.registry.register(name, help, counter.clone());
        counter
    }

    /// Registers a gauge.
    pub fn gauge(&mut self, name: &str, help: &str) -> Gauge {
        let gauge = Gauge::default();
        self.registry.register(name, help, gauge.clone());
        gauge
    }

    /// Registers a histogram of durations in seconds; `name` ends in `_seconds`. For `buckets` see
    /// [`SERVICE_BUCKETS_SECONDS`] and [`PHASE_BUCKETS_SECONDS`].
    pub fn histogram(&mut self, name: &str, help: &str, buckets: &[f64]) -> Histogram {
        let histogram = Histogram::new(buckets.iter().copied());
        self.registry.register(name, help, histogram.clone());
        histogram
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// Encodes the metrics as OpenMetrics text.
#[must_use]
pub fn encode(registry: &Registry) -> String {
    let mut text = String::new();
    // Formatting into a string cannot fail.
    match text::encode(&mut text, registry) {
        Ok(()) => text,
        Err(std::fmt::Error) => String::new(),
    }
}

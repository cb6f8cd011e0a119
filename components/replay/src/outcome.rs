//! Compares the stated outcomes of a trace with the figures of a run.

use crate::format::{Measure, Outcome};
use crate::measure::{is_short, recovery_ms};
use crate::report::{Check, Report, latency_quantiles};
use crate::{Run, Trace};

/// Measures and judges a stated outcome. `None` if it lacks a window, a base or a capacity that its
/// measure needs.
pub fn measure(trace: &Trace, run: &Run, report: &Report, outcome: &Outcome) -> Option<Check> {
    let window = outcome.window.as_ref().and_then(|name| trace.window(name));
    let base = outcome.base.as_ref().and_then(|name| trace.window(name));
    let ratio = |short: bool, quantile: fn((u64, u64)) -> u64| {
        let (window, base) = (window?, base?);
        let quantiles = latency_quantiles(trace, run, window, short)
            .zip(latency_quantiles(trace, run, base, short));
        Some(quantiles.map(|(measured, reference)| {
            quantile(measured) as f64 / quantile(reference).max(1) as f64
        }))
    };
    let value = match outcome.measure {
        Measure::History => Some(report.violations as f64),
        Measure::ReplicaReads => {
            let name = &*window?.name;
            let reads = report.reads.iter().find(|reads| reads.window == *name);
            reads.and_then(crate::report::Reads::replica_share)
        }
        Measure::ReadGapMs => longest_gap_ms(report, "read"),
        Measure::WriteGapMs => longest_gap_ms(report, "write"),
        Measure::Goodput => {
            let (name, capacity) = (&*window?.name, outcome.capacity_per_s?);
            let goodput = report.loads.iter().find(|goodput| goodput.window == *name);
            goodput.map(|goodput| goodput.goodput_per_s / capacity)
        }
        Measure::RecoveryMs => {
            let (window, base) = (window?, base?);
            let short_samples = run.samples.iter().filter(|s| is_short(trace, s));
            let samples: Vec<_> = short_samples
                .map(|s| (s.due_us, s.latency_us(), s.is_done()))
                .collect();
            let p50 = latency_quantiles(trace, run, base, true).map(|(p50, _)| p50);
            p50.and_then(|p50| recovery_ms(&samples, window.until_us, p50))
                .map(|ms| ms as f64)
        }
        Measure::ShortP99 => ratio(true, |(_, p99)| p99)?,
        Measure::LongP50 => ratio(false, |(p50, _)| p50)?,
    };
    let (min, max) = (outcome.min, outcome.max);
    let within_bounds =
        |value: f64| min.is_none_or(|min| value >= min) && max.is_none_or(|max| value <= max);
    Some(Check {
        text: describe(outcome),
        value,
        min,
        max,
        passed: value.is_some_and(within_bounds),
    })
}

fn describe(outcome: &Outcome) -> String {
    let mut description = outcome.measure.to_string();
    if let Some(window) = &outcome.window {
        description += &format!(" in {}", **window);
    }
    if let Some(base) = &outcome.base {
        description += &format!(" against {}", **base);
    }
    if let Some(capacity) = outcome.capacity_per_s {
        description += &format!(" of {capacity}/s");
    }
    description
}

/// Returns the longest gap after a kill or a freeze. `None` if one of the gaps could not be measured.
fn longest_gap_ms(report: &Report, kind: &str) -> Option<f64> {
    let is_failure = |fault: &str| fault.starts_with("kill") || fault.starts_with("freeze");
    let gaps = report
        .gaps
        .iter()
        .filter(|gap| gap.kind == kind && is_failure(&gap.fault));
    let gaps: Option<Vec<f64>> = gaps.map(|gap| gap.gap_ms).collect();
    gaps?.into_iter().reduce(f64::max)
}

//! Stated outcomes against the figures of a run.

use crate::format::{Measure, Outcome};
use crate::measure::{is_short, recovery};
use crate::report::{Check, Report, latencies};
use crate::{Run, Trace};

/// Measures what `stated` names. None if it lacks a window, a base or a capacity.
pub fn check(trace: &Trace, run: &Run, report: &Report, stated: &Outcome) -> Option<Check> {
    let window = stated.window.as_ref().and_then(|name| trace.window(name));
    let base = stated.base.as_ref().and_then(|name| trace.window(name));
    let ratio = |short: bool, pick: fn((u64, u64)) -> u64| {
        let (window, base) = (window?, base?);
        let figures = latencies(trace, run, window, short).zip(latencies(trace, run, base, short));
        Some(figures.map(|(with, without)| pick(with) as f64 / pick(without).max(1) as f64))
    };
    let value = match stated.measure {
        Measure::History => Some(report.violations as f64),
        Measure::ReplicaReads => {
            let name = &*window?.name;
            let reads = report.reads.iter().find(|reads| reads.window == *name);
            reads.and_then(crate::report::Reads::share)
        }
        Measure::ReadGapMs => longest(report, "read"),
        Measure::WriteGapMs => longest(report, "write"),
        Measure::Goodput => {
            let (name, capacity) = (&*window?.name, stated.capacity_per_s?);
            let load = report.loads.iter().find(|load| load.window == *name);
            load.map(|load| load.goodput_per_s / capacity)
        }
        Measure::RecoveryMs => {
            let (window, base) = (window?, base?);
            let short = run.samples.iter().filter(|s| is_short(trace, s));
            let samples: Vec<_> = short
                .map(|s| (s.due_us, s.latency_us(), s.is_done()))
                .collect();
            let p50 = latencies(trace, run, base, true).map(|(p50, _)| p50);
            p50.and_then(|p50| recovery(&samples, window.until_us, p50))
                .map(|ms| ms as f64)
        }
        Measure::ShortP99 => ratio(true, |(_, p99)| p99)?,
        Measure::LongP50 => ratio(false, |(p50, _)| p50)?,
    };
    let (min, max) = (stated.min, stated.max);
    let keeps =
        |value: f64| min.is_none_or(|min| value >= min) && max.is_none_or(|max| value <= max);
    Some(Check {
        text: text(stated),
        value,
        min,
        max,
        passed: value.is_some_and(keeps),
    })
}

fn text(stated: &Outcome) -> String {
    let mut text = stated.measure.to_string();
    if let Some(window) = &stated.window {
        text += &format!(" in {}", **window);
    }
    if let Some(base) = &stated.base {
        text += &format!(" against {}", **base);
    }
    if let Some(capacity) = stated.capacity_per_s {
        text += &format!(" of {capacity}/s");
    }
    text
}

/// The longest gap after a kill or a freeze. None if one could not be measured.
fn longest(report: &Report, kind: &str) -> Option<f64> {
    let failed = |fault: &str| fault.starts_with("kill") || fault.starts_with("freeze");
    let gaps = report
        .gaps
        .iter()
        .filter(|gap| gap.kind == kind && failed(&gap.fault));
    let gaps: Option<Vec<f64>> = gaps.map(|gap| gap.gap_ms).collect();
    gaps?.into_iter().reduce(f64::max)
}

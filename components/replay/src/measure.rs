//! Figures of a run's samples.

use hdrhistogram::Histogram;

use crate::format::{Kind, Window};
use crate::record::Sample;
use crate::{Run, Trace};

/// How long after a fault a gap is looked for.
const AFTER_US: u64 = 8_000_000;
/// Buckets of time for recovery.
const BUCKET_US: u64 = 100_000;
/// Buckets in a row that have to be good before service counts as recovered.
const STEADY: usize = 5;
/// Work is as in the base if its median is at most this many times the base's.
const AS_BEFORE: u64 = 2;
/// Longest latency that a histogram holds, in microseconds.
const LONGEST_US: u64 = 120_000_000;

/// The longest time without a success, after a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Gap {
    /// Its length.
    pub us: u64,
    /// No success ended it.
    pub open: bool,
}

/// The longest interval between successes that ends after `fault_us`, given the instants of all
/// successes in any order. None without a success before the fault.
#[must_use]
pub fn gap(successes: impl IntoIterator<Item = u64>, fault_us: u64) -> Option<Gap> {
    let until = fault_us + AFTER_US;
    let mut instants: Vec<u64> = successes.into_iter().filter(|at| *at <= until).collect();
    instants.sort_unstable();
    let before = instants.iter().rposition(|at| *at <= fault_us)?;
    if before + 1 == instants.len() {
        let us = AFTER_US;
        return Some(Gap { us, open: true });
    }
    let longest = instants[before..]
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .max();
    longest.map(|us| Gap { us, open: false })
}

/// p50 and p99 of latencies in microseconds; none without any.
#[must_use]
pub fn quantiles(latencies: impl IntoIterator<Item = u64>) -> Option<(u64, u64)> {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, LONGEST_US, 3).ok()?;
    for latency in latencies {
        histogram.saturating_record(latency.max(1));
    }
    let at = |q| histogram.value_at_quantile(q);
    (!histogram.is_empty()).then(|| (at(0.5), at(0.99)))
}

/// Work that takes no longer than any other.
#[must_use]
pub fn is_short(trace: &Trace, sample: &Sample) -> bool {
    trace.system.shapes[sample.shape].kind != Kind::Long
}

/// The sample reads.
#[must_use]
pub fn is_read(trace: &Trace, sample: &Sample) -> bool {
    matches!(
        trace.system.shapes[sample.shape].kind,
        Kind::Read | Kind::Long
    )
}

/// Samples due in `window`.
pub fn due<'a>(run: &'a Run, window: &Window) -> impl Iterator<Item = &'a Sample> {
    let (from, until) = (window.from_us, window.until_us);
    run.samples
        .iter()
        .filter(move |s| (from..until).contains(&s.due_us))
}

/// Target statements per second that were answered as done within `window`, whenever they were
/// due. A pair takes a slot twice.
#[must_use]
pub fn goodput(trace: &Trace, run: &Run, window: &Window) -> f64 {
    let within = |s: &&Sample| (window.from_us..window.until_us).contains(&s.answered_us);
    let weight = |s: &Sample| match trace.system.shapes[s.shape].kind {
        Kind::Pair => 2.0,
        _ => 1.0,
    };
    let done = run.samples.iter().filter(|s| s.is_done()).filter(within);
    done.map(weight).sum::<f64>() * 1e6 / (window.until_us - window.from_us) as f64
}

/// Milliseconds from `end_us` until service is as in the base: from there on, five tenths of a
/// second in a row have no refusal and a median latency of at most twice `base_p50_us`.
///
/// `samples` are (due, latency, done). None if that does not happen.
#[must_use]
pub fn recovery(samples: &[(u64, u64, bool)], end_us: u64, base_p50_us: u64) -> Option<u64> {
    let mut buckets: Vec<(Vec<u64>, bool)> = Vec::new();
    for (due, latency, done) in samples.iter().filter(|(due, ..)| *due >= end_us) {
        let index = usize::try_from((due - end_us) / BUCKET_US).ok()?;
        if buckets.len() <= index {
            buckets.resize(index + 1, (Vec::new(), true));
        }
        buckets[index].0.push(*latency);
        buckets[index].1 &= done;
    }
    let good = |(latencies, all): &(Vec<u64>, bool)| {
        let p50 = quantiles(latencies.iter().copied()).map(|(p50, _)| p50);
        *all && p50.is_some_and(|p50| p50 <= AS_BEFORE * base_p50_us)
    };
    let good: Vec<bool> = buckets.iter().map(good).collect();
    let first = good
        .windows(STEADY)
        .position(|run| run.iter().all(|good| *good))?;
    Some(first as u64 * BUCKET_US / 1000)
}

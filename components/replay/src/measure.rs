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
    /// A gap that no success ended is among those compared.
    pub open: bool,
}

/// One statement as far as a gap depends on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// Intended start.
    pub due_us: u64,
    /// Arrival of the answer.
    pub answered_us: u64,
    /// It is done.
    pub done: bool,
}

/// The longest interval between successes that ends after `fault_us`. Time in which no statement
/// was due or waiting is no part of it. None without a success before the fault.
#[must_use]
pub fn gap(attempts: impl IntoIterator<Item = Attempt>, fault_us: u64) -> Option<Gap> {
    let mut attempts: Vec<Attempt> = attempts.into_iter().collect();
    attempts.sort_unstable_by_key(|attempt| attempt.answered_us);
    let before = attempts
        .iter()
        .rposition(|a| a.done && a.answered_us <= fault_us)?;
    let until = fault_us + AFTER_US;
    // Earliest due statement among those that are answered from here on.
    let mut asked = vec![u64::MAX; attempts.len() + 1];
    for i in (0..attempts.len()).rev() {
        asked[i] = asked[i + 1].min(attempts[i].due_us);
    }
    let (mut longest, mut last) = (0, before);
    let since = |last: usize| attempts[last].answered_us.max(asked[last + 1]);
    for (i, attempt) in attempts.iter().enumerate().skip(before + 1) {
        if attempt.done && attempt.answered_us <= until {
            longest = longest.max(attempt.answered_us - since(last));
            last = i;
        }
    }
    let end = attempts.last()?.answered_us.min(until);
    let open = since(last) < end;
    if open {
        longest = longest.max(end - since(last));
    }
    Some(Gap { us: longest, open })
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

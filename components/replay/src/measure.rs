//! Figures computed from the samples of a run.

use hdrhistogram::Histogram;

use crate::format::{Kind, Window};
use crate::record::Sample;
use crate::{Run, Trace};

/// Time after a fault in which gaps are searched for.
const GAP_SEARCH_US: u64 = 8_000_000;
/// Resolution of the recovery time.
const BUCKET_US: u64 = 100_000;
/// Consecutive buckets without a failure or a raised latency that count as a recovery.
const RECOVERED_BUCKETS: usize = 5;
/// Latency counts as recovered if its median is at most this many times that of the base.
const MAX_LATENCY_RATIO: u64 = 2;
/// Longest latency that a histogram holds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// The longest time without an acknowledged statement after a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Gap {
    pub length_us: u64,
    /// The last of the compared gaps was not ended by a success.
    pub open: bool,
}

/// The times and the result of a statement, from which gaps are computed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempt {
    pub due_us: u64,
    pub answered_us: u64,
    /// It was acknowledged.
    pub done: bool,
}

/// Returns the longest interval between successes that ends after `fault_us`. Time in which no
/// statement was due or waiting does not count. `None` without a success before the fault.
#[must_use]
pub fn longest_gap(attempts: impl IntoIterator<Item = Attempt>, fault_us: u64) -> Option<Gap> {
    let mut attempts: Vec<Attempt> = attempts.into_iter().collect();
    attempts.sort_unstable_by_key(|attempt| attempt.answered_us);
    let last_before = attempts
        .iter()
        .rposition(|a| a.done && a.answered_us <= fault_us)?;
    let search_end = fault_us + GAP_SEARCH_US;
    // At each index: the earliest start among the statements answered from there on.
    let mut earliest_due = vec![u64::MAX; attempts.len() + 1];
    for i in (0..attempts.len()).rev() {
        earliest_due[i] = earliest_due[i + 1].min(attempts[i].due_us);
    }
    let (mut longest, mut last_success) = (0, last_before);
    let gap_start = |success: usize| attempts[success].answered_us.max(earliest_due[success + 1]);
    for (i, attempt) in attempts.iter().enumerate().skip(last_before + 1) {
        if attempt.done && attempt.answered_us <= search_end {
            longest = longest.max(attempt.answered_us - gap_start(last_success));
            last_success = i;
        }
    }
    let end = attempts.last()?.answered_us.min(search_end);
    let open = gap_start(last_success) < end;
    if open {
        longest = longest.max(end - gap_start(last_success));
    }
    Some(Gap {
        length_us: longest,
        open,
    })
}

/// Returns p50 and p99 of latencies in microseconds; `None` without any.
#[must_use]
pub fn quantiles(latencies: impl IntoIterator<Item = u64>) -> Option<(u64, u64)> {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3).ok()?;
    for latency in latencies {
        histogram.saturating_record(latency.max(1));
    }
    let at = |q| histogram.value_at_quantile(q);
    (!histogram.is_empty()).then(|| (at(0.5), at(0.99)))
}

/// Whether the sample is of a statement with the usual service time.
#[must_use]
pub fn is_short(trace: &Trace, sample: &Sample) -> bool {
    trace.system.shapes[sample.shape].kind != Kind::Long
}

#[must_use]
pub fn is_read(trace: &Trace, sample: &Sample) -> bool {
    matches!(
        trace.system.shapes[sample.shape].kind,
        Kind::Read | Kind::Long
    )
}

/// Returns the samples whose intended start is in `window`.
pub fn due_in<'a>(run: &'a Run, window: &Window) -> impl Iterator<Item = &'a Sample> {
    let (from, until) = (window.from_us, window.until_us);
    run.samples
        .iter()
        .filter(move |s| (from..until).contains(&s.due_us))
}

/// Returns the statements per second on the targets that were acknowledged within `window`, regardless
/// of their intended starts. A pair counts as two, as it takes a slot twice.
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

/// Returns the milliseconds from `end_us` until service has recovered, that is until the first of
/// `RECOVERED_BUCKETS` consecutive buckets without a failed statement and with a median latency of at
/// most `MAX_LATENCY_RATIO` times `base_p50_us`. `None` if service does not recover.
///
/// `samples` are (intended start, latency, done).
#[must_use]
pub fn recovery_ms(samples: &[(u64, u64, bool)], end_us: u64, base_p50_us: u64) -> Option<u64> {
    let mut buckets: Vec<(Vec<u64>, bool)> = Vec::new();
    for (due, latency, done) in samples.iter().filter(|(due, ..)| *due >= end_us) {
        let index = usize::try_from((due - end_us) / BUCKET_US).ok()?;
        if buckets.len() <= index {
            buckets.resize(index + 1, (Vec::new(), true));
        }
        buckets[index].0.push(*latency);
        buckets[index].1 &= done;
    }
    let recovered = |(latencies, all_done): &(Vec<u64>, bool)| {
        let p50 = quantiles(latencies.iter().copied()).map(|(p50, _)| p50);
        *all_done && p50.is_some_and(|p50| p50 <= MAX_LATENCY_RATIO * base_p50_us)
    };
    let recovered: Vec<bool> = buckets.iter().map(recovered).collect();
    let first_bucket = recovered
        .windows(RECOVERED_BUCKETS)
        .position(|streak| streak.iter().all(|recovered| *recovered))?;
    Some(first_bucket as u64 * BUCKET_US / 1000)
}

//! Report of a run: all figures, and the results of the stated outcomes.

use std::collections::{BTreeMap, HashMap, HashSet};

use anyhow::{Result, bail};
use serde::{Deserialize, Serialize};

use crate::measure::{self, due_in, goodput, is_read, is_short, longest_gap, quantiles};
use crate::record::{Counters, Fault, Scope, Scrape, Status};
use crate::{Run, Sample, Trace, outcome};

/// Violations beyond this number are counted, but not listed.
const MAX_LISTED_VIOLATIONS: usize = 20;
const BUCKET_US: u64 = 100_000;

/// Counts and latencies of the statements of one shape in one window.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Summary {
    /// Name of the window; empty for the whole trace.
    pub window: String,
    /// Name of the shape; `short` for all statements but the long ones.
    pub shape: String,
    /// Acknowledged statements.
    pub done: u64,
    /// Statements that did not run, by SQLSTATE.
    pub not_run: BTreeMap<String, u64>,
    pub unknown: u64,
    /// Median latency of the acknowledged statements, from the intended start.
    pub p50_us: u64,
    /// 99th percentile of the same latency.
    pub p99_us: u64,
}

/// Numbers of reads by the role of the server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Reads {
    pub window: String,
    /// Served by replicas.
    pub replica: u64,
    /// Served by primaries.
    pub primary: u64,
}

impl Reads {
    /// Share of the reads that replicas served; `None` without reads.
    #[must_use]
    pub fn replica_share(&self) -> Option<f64> {
        let total = self.replica + self.primary;
        (total > 0).then(|| self.replica as f64 / total as f64)
    }
}

/// Longest time without an acknowledged statement of one kind after a fault.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Gap {
    /// Action and name of the process.
    pub fault: String,
    /// When the fault was signalled.
    pub at_us: u64,
    /// `read` or `write`.
    pub kind: String,
    /// Length of the gap; `None` without a success before the fault.
    pub gap_ms: Option<f64>,
}

/// Goodput of one window.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Goodput {
    pub window: String,
    /// Acknowledged statements per second on the targets.
    pub goodput_per_s: f64,
}

/// Result of a stated outcome.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Check {
    /// Measure, window, base and capacity.
    pub text: String,
    /// Measured value; `None` if there was nothing to measure.
    pub value: Option<f64>,
    /// Smallest value allowed.
    pub min: Option<f64>,
    /// Largest value allowed.
    pub max: Option<f64>,
    /// The value is within the bounds.
    pub passed: bool,
}

/// Latency of the short statements whose intended starts are in one bucket of `BUCKET_US`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Bucket {
    /// Start of the bucket.
    pub due_us: u64,
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
}

/// All figures of a run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Name of the trace.
    pub trace: String,
    /// Name of the run, for example a commit.
    pub label: String,
    /// Counts and latencies by window and shape.
    pub work: Vec<Summary>,
    /// Reads by window.
    pub reads: Vec<Reads>,
    /// Longest gaps after each fault.
    pub gaps: Vec<Gap>,
    /// Goodput by window.
    pub loads: Vec<Goodput>,
    /// 99th percentile of the time that statements waited for their caller, which sends one at a
    /// time. The latencies include this time.
    pub late_p99_us: u64,
    /// Statements without an answer at the end.
    pub unanswered: u64,
    /// Number of violations in the histories.
    pub violations: u64,
    /// The first `MAX_LISTED_VIOLATIONS` of the violations.
    pub listed: Vec<String>,
    /// Times and texts of faults and changes.
    pub faults: Vec<(u64, String)>,
    /// Latency of short statements over time.
    pub series: Vec<Bucket>,
    /// Results of the stated outcomes.
    pub checks: Vec<Check>,
    /// Problems of the player, not of the system.
    pub notes: Vec<String>,
}

impl Report {
    /// Computes the figures and checks the histories.
    ///
    /// # Errors
    /// Fails for an outcome that lacks a window, a base or a capacity that its measure needs.
    pub fn new(trace: &Trace, run: &Run, label: &str) -> Result<Self> {
        let violations: Vec<String> = trace
            .system
            .databases
            .iter()
            .zip(&run.histories)
            .flat_map(|(database, operations)| {
                let name = &*database.name;
                history::check(operations)
                    .into_iter()
                    .map(move |violation| format!("{name}: {violation}"))
            })
            .collect();
        let mut report = Self {
            trace: trace.system.name.to_string(),
            label: label.to_owned(),
            late_p99_us: wait_p99_us(run),
            unanswered: run.unanswered,
            violations: violations.len() as u64,
            listed: violations.into_iter().take(MAX_LISTED_VIOLATIONS).collect(),
            faults: run
                .faults
                .iter()
                .map(|fault| (fault.at_us, fault.text.clone()))
                .collect(),
            notes: run.notes.clone(),
            series: latency_series(trace, run),
            gaps: gaps_after_faults(trace, run),
            ..Self::default()
        };
        report.add_windows(trace, run);
        for stated in &trace.outcomes {
            let Some(check) = outcome::measure(trace, run, &report, stated) else {
                bail!(
                    "outcome {}: its window, base or capacity is missing",
                    stated.measure
                );
            };
            report.checks.push(check);
        }
        Ok(report)
    }

    fn add_windows(&mut self, trace: &Trace, run: &Run) {
        self.work.extend(summarize(trace, run, None));
        for window in &trace.windows {
            self.work.extend(summarize(trace, run, Some(window)));
            let name = window.name.to_string();
            if let Some((from, until)) = run.counters.get(&name) {
                let increase = |reason: &str| increase(from, until, reason);
                let (replica, primary) = (increase("read_replica"), increase("read_primary"));
                self.reads.push(Reads {
                    window: name.clone(),
                    replica,
                    primary,
                });
            }
            let goodput_per_s = goodput(trace, run, window);
            self.loads.push(Goodput {
                window: name,
                goodput_per_s,
            });
        }
    }

    /// Whether every stated outcome was reached.
    #[must_use]
    pub fn passed(&self) -> bool {
        self.checks.iter().all(|check| check.passed)
    }
}

/// Returns one summary per shape and one for all short statements.
fn summarize(trace: &Trace, run: &Run, window: Option<&crate::format::Window>) -> Vec<Summary> {
    let name = window.map_or(String::new(), |window| window.name.to_string());
    let shapes = trace.system.shapes.iter().enumerate();
    let mut rows: Vec<(String, Option<usize>)> = shapes
        .map(|(i, shape)| (shape.name.to_string(), Some(i)))
        .collect();
    rows.push(("short".to_owned(), None));
    let summarize_row = |(shape, index): (String, Option<usize>)| {
        let selected = |s: &&Sample| match index {
            Some(index) => s.shape == index,
            None => is_short(trace, s),
        };
        let in_window =
            |s: &&Sample| window.is_none_or(|w| (w.from_us..w.until_us).contains(&s.due_us));
        let mut summary = Summary {
            window: name.clone(),
            shape,
            ..Summary::default()
        };
        let mut latencies = Vec::new();
        for sample in run.samples.iter().filter(selected).filter(in_window) {
            match &sample.status {
                Status::Done => latencies.push(sample.latency_us()),
                Status::NotRun(code) => *summary.not_run.entry(code.clone()).or_default() += 1,
                Status::Unknown => summary.unknown += 1,
            }
        }
        summary.done = latencies.len() as u64;
        (summary.p50_us, summary.p99_us) = quantiles(latencies).unwrap_or_default();
        summary
    };
    rows.into_iter().map(summarize_row).collect()
}

/// Increase of a counter, summed over the entries that replied at both instants.
fn increase(from: &Scrape, until: &Scrape, reason: &str) -> u64 {
    let replied_twice = from
        .iter()
        .zip(until)
        .filter_map(|(start, end)| start.as_ref().zip(end.as_ref()));
    let value = |counters: &Counters| counters.get(reason).copied().unwrap_or(0);
    replied_twice
        .map(|(start, end)| value(end).saturating_sub(value(start)))
        .sum()
}

/// Returns the longest gaps of reads and of writes after each fault, over the statements of all
/// callers that the fault affects.
fn gaps_after_faults(trace: &Trace, run: &Run) -> Vec<Gap> {
    let mut gaps = Vec::new();
    for fault in &run.faults {
        let affected = affected_callers(run, fault);
        for (kind, want_reads) in [("read", true), ("write", false)] {
            let attempts = run.samples.iter().filter(|s| {
                let selected = is_read(trace, s) == want_reads && is_short(trace, s);
                selected && affected.contains(&s.caller)
            });
            let gap = longest_gap(attempts.map(Sample::attempt), fault.at_us);
            gaps.push(Gap {
                fault: fault.text.clone(),
                at_us: fault.at_us,
                kind: kind.to_owned(),
                gap_ms: gap.map(|gap| gap.length_us as f64 / 1e3),
            });
        }
    }
    gaps
}

/// Returns the callers that `fault` affects. A caller counts for the entry of its last answer before
/// the fault.
fn affected_callers(run: &Run, fault: &Fault) -> HashSet<u64> {
    let mut locations = HashMap::new();
    for sample in run.samples.iter().filter(|s| s.answered_us <= fault.at_us) {
        locations.insert(sample.caller, (sample.database, sample.entry));
    }
    let affected = |(database, entry)| match fault.scope {
        Scope::Database(failed) => database == failed,
        Scope::Entry(failed) => entry == failed,
        Scope::All => true,
    };
    locations.retain(|_, location| affected(*location));
    locations.into_keys().collect()
}

fn wait_p99_us(run: &Run) -> u64 {
    let waits = run
        .samples
        .iter()
        .map(|s| s.sent_us.saturating_sub(s.due_us));
    quantiles(waits).map_or(0, |(_, p99)| p99)
}

fn latency_series(trace: &Trace, run: &Run) -> Vec<Bucket> {
    let mut buckets: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for sample in run
        .samples
        .iter()
        .filter(|s| s.is_done() && is_short(trace, s))
    {
        let bucket = buckets.entry(sample.due_us / BUCKET_US).or_default();
        bucket.push(sample.latency_us());
    }
    let to_bucket = |(bucket, latencies): (u64, Vec<u64>)| {
        let (p50_us, p99_us) = quantiles(latencies)?;
        let due_us = bucket * BUCKET_US;
        Some(Bucket {
            due_us,
            p50_us,
            p99_us,
        })
    };
    buckets.into_iter().filter_map(to_bucket).collect()
}

/// Returns p50 and p99 of the acknowledged statements due in `window`, either the short or the long
/// ones.
pub(crate) fn latency_quantiles(
    trace: &Trace,
    run: &Run,
    window: &crate::format::Window,
    short: bool,
) -> Option<(u64, u64)> {
    let selected = due_in(run, window).filter(|s| s.is_done() && is_short(trace, s) == short);
    measure::quantiles(selected.map(Sample::latency_us))
}

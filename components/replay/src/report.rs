//! What is printed of a run.

use std::collections::{BTreeMap, HashMap, HashSet};

use anyhow::{Result, bail};
use serde::{Deserialize, Serialize};

use crate::measure::{self, due, gap, goodput, is_read, is_short, quantiles};
use crate::record::{Answer, Counters, Fault, Place, Scrape};
use crate::{Run, Sample, Trace, outcome};

/// Violations that are listed; their number is stated in full.
const LISTED: usize = 20;
const BUCKET_US: u64 = 100_000;

/// Statements of one shape in one window.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Work {
    /// Window; empty for the whole trace.
    pub window: String,
    /// Shape; `short` for all but the long ones.
    pub shape: String,
    /// Statements done.
    pub done: u64,
    /// Statements that did not run, by SQLSTATE.
    pub not_run: BTreeMap<String, u64>,
    /// Statements of unknown outcome.
    pub unknown: u64,
    /// Median latency of those done, from the intended start.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
}

/// Reads by who served them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Reads {
    /// Window.
    pub window: String,
    /// Served by replicas.
    pub replica: u64,
    /// Served by primaries.
    pub primary: u64,
}

impl Reads {
    /// Share of replicas; none without reads.
    #[must_use]
    pub fn share(&self) -> Option<f64> {
        let all = self.replica + self.primary;
        (all > 0).then(|| self.replica as f64 / all as f64)
    }
}

/// Gap of one kind of statement after one fault.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Pause {
    /// The fault.
    pub fault: String,
    /// When it was passed on.
    pub at_us: u64,
    /// `read` or `write`.
    pub kind: String,
    /// Gap; none without a success before the fault.
    pub gap_ms: Option<f64>,
}

/// Goodput of one window.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Window.
    pub window: String,
    /// Target statements done per second.
    pub goodput_per_s: f64,
}

/// A stated outcome with what was measured.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Check {
    /// What is measured, and where.
    pub text: String,
    /// Measured value; none if there was nothing to measure.
    pub value: Option<f64>,
    /// Least value allowed.
    pub min: Option<f64>,
    /// Largest value allowed.
    pub max: Option<f64>,
    /// The value keeps the bound.
    pub passed: bool,
}

/// Latency of short work that was due in one tenth of a second.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Point {
    /// Start of that tenth.
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
    /// What the run is called, for example a commit.
    pub label: String,
    /// Statements by window and shape.
    pub work: Vec<Work>,
    /// Share of replicas by window.
    pub reads: Vec<Reads>,
    /// Gaps after faults.
    pub gaps: Vec<Pause>,
    /// Goodput by window.
    pub loads: Vec<Load>,
    /// 99th percentile of the time that statements waited for their caller, which sends one at a
    /// time; latencies contain it.
    pub late_p99_us: u64,
    /// Statements without an answer at the end.
    pub unanswered: u64,
    /// Number of violations of the history.
    pub violations: u64,
    /// The first of them.
    pub listed: Vec<String>,
    /// Faults and changes with their time.
    pub faults: Vec<(u64, String)>,
    /// Latency over time.
    pub series: Vec<Point>,
    /// Stated outcomes.
    pub checks: Vec<Check>,
    /// Problems of the player itself.
    pub notes: Vec<String>,
}

impl Report {
    /// Computes the figures and checks the history.
    ///
    /// # Errors
    /// Fails for an outcome that lacks what its measure needs.
    pub fn new(trace: &Trace, run: &Run, label: &str) -> Result<Self> {
        let found: Vec<String> = trace
            .system
            .databases
            .iter()
            .zip(&run.history)
            .flat_map(|(database, history)| {
                let name = &*database.name;
                history::check(history)
                    .into_iter()
                    .map(move |v| format!("{name}: {v}"))
            })
            .collect();
        let mut report = Self {
            trace: trace.system.name.to_string(),
            label: label.to_owned(),
            late_p99_us: late(run),
            unanswered: run.unanswered,
            violations: found.len() as u64,
            listed: found.into_iter().take(LISTED).collect(),
            faults: run
                .faults
                .iter()
                .map(|fault| (fault.at_us, fault.text.clone()))
                .collect(),
            notes: run.notes.clone(),
            series: series(trace, run),
            gaps: gaps(trace, run),
            ..Self::default()
        };
        report.windows(trace, run);
        for stated in &trace.outcomes {
            let Some(check) = outcome::check(trace, run, &report, stated) else {
                bail!(
                    "outcome {}: its window, base or capacity is missing",
                    stated.measure
                );
            };
            report.checks.push(check);
        }
        Ok(report)
    }

    fn windows(&mut self, trace: &Trace, run: &Run) {
        self.work.extend(work(trace, run, None));
        for window in &trace.windows {
            self.work.extend(work(trace, run, Some(window)));
            let name = window.name.to_string();
            if let Some((from, until)) = run.counters.get(&name) {
                let rise = |reason: &str| rise(from, until, reason);
                let (replica, primary) = (rise("read_replica"), rise("read_primary"));
                self.reads.push(Reads {
                    window: name.clone(),
                    replica,
                    primary,
                });
            }
            let goodput_per_s = goodput(trace, run, window);
            self.loads.push(Load {
                window: name,
                goodput_per_s,
            });
        }
    }

    /// Every stated outcome was reached.
    #[must_use]
    pub fn passed(&self) -> bool {
        self.checks.iter().all(|check| check.passed)
    }
}

/// One line per shape and one for all short work.
fn work(trace: &Trace, run: &Run, window: Option<&crate::format::Window>) -> Vec<Work> {
    let name = window.map_or(String::new(), |window| window.name.to_string());
    let shapes = trace.system.shapes.iter().enumerate();
    let mut lines: Vec<(String, Option<usize>)> = shapes
        .map(|(i, shape)| (shape.name.to_string(), Some(i)))
        .collect();
    lines.push(("short".to_owned(), None));
    let count = |(shape, index): (String, Option<usize>)| {
        let wanted = |s: &&Sample| match index {
            Some(index) => s.shape == index,
            None => is_short(trace, s),
        };
        let inside =
            |s: &&Sample| window.is_none_or(|w| (w.from_us..w.until_us).contains(&s.due_us));
        let mut line = Work {
            window: name.clone(),
            shape,
            ..Work::default()
        };
        let mut latencies = Vec::new();
        for sample in run.samples.iter().filter(wanted).filter(inside) {
            match &sample.answer {
                Answer::Done => latencies.push(sample.latency_us()),
                Answer::NotRun(code) => *line.not_run.entry(code.clone()).or_default() += 1,
                Answer::Unknown => line.unknown += 1,
            }
        }
        line.done = latencies.len() as u64;
        (line.p50_us, line.p99_us) = quantiles(latencies).unwrap_or_default();
        line
    };
    lines.into_iter().map(count).collect()
}

/// Growth of a counter over the entries that replied at both instants.
fn rise(from: &Scrape, until: &Scrape, reason: &str) -> u64 {
    let both = from
        .iter()
        .zip(until)
        .filter_map(|(a, b)| a.as_ref().zip(b.as_ref()));
    let at = |counters: &Counters| counters.get(reason).copied().unwrap_or(0);
    both.map(|(a, b)| at(b).saturating_sub(at(a))).sum()
}

/// Gaps of reads and of writes after each fault, as the callers that it concerns see them together.
fn gaps(trace: &Trace, run: &Run) -> Vec<Pause> {
    let mut pauses = Vec::new();
    for fault in &run.faults {
        let concerned = concerned(run, fault);
        for (kind, read) in [("read", true), ("write", false)] {
            let attempts = run.samples.iter().filter(|s| {
                let wanted = is_read(trace, s) == read && is_short(trace, s);
                wanted && concerned.contains(&s.caller)
            });
            let gap = gap(attempts.map(Sample::attempt), fault.at_us);
            pauses.push(Pause {
                fault: fault.text.clone(),
                at_us: fault.at_us,
                kind: kind.to_owned(),
                gap_ms: gap.map(|gap| gap.us as f64 / 1e3),
            });
        }
    }
    pauses
}

/// The callers that `fault` concerns; a caller is at the entry of its last answer before it.
fn concerned(run: &Run, fault: &Fault) -> HashSet<u64> {
    let mut last = HashMap::new();
    for sample in run.samples.iter().filter(|s| s.answered_us <= fault.at_us) {
        last.insert(sample.caller, (sample.database, sample.entry));
    }
    let wanted = |(database, entry)| match fault.place {
        Place::Database(failed) => database == failed,
        Place::Entry(failed) => entry == failed,
        Place::All => true,
    };
    last.retain(|_, seen| wanted(*seen));
    last.into_keys().collect()
}

fn late(run: &Run) -> u64 {
    let waits = run
        .samples
        .iter()
        .map(|s| s.sent_us.saturating_sub(s.due_us));
    quantiles(waits).map_or(0, |(_, p99)| p99)
}

fn series(trace: &Trace, run: &Run) -> Vec<Point> {
    let mut buckets: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for sample in run
        .samples
        .iter()
        .filter(|s| s.is_done() && is_short(trace, s))
    {
        let bucket = buckets.entry(sample.due_us / BUCKET_US).or_default();
        bucket.push(sample.latency_us());
    }
    let point = |(bucket, latencies): (u64, Vec<u64>)| {
        let (p50_us, p99_us) = quantiles(latencies)?;
        let due_us = bucket * BUCKET_US;
        Some(Point {
            due_us,
            p50_us,
            p99_us,
        })
    };
    buckets.into_iter().filter_map(point).collect()
}

/// Latencies of the window's done work, short or long.
pub(crate) fn latencies(
    trace: &Trace,
    run: &Run,
    window: &crate::format::Window,
    short: bool,
) -> Option<(u64, u64)> {
    let wanted = due(run, window).filter(|s| s.is_done() && is_short(trace, s) == short);
    measure::quantiles(wanted.map(Sample::latency_us))
}

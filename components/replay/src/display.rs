//! Text form of the report.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use crate::report::{Check, Report, Summary};

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "trace {} {}", self.trace, self.label)?;
        self.write_totals(f)?;
        writeln!(f, "\nreads served by replicas")?;
        for reads in &self.reads {
            let share = reads
                .replica_share()
                .map_or("no reads".to_owned(), |share| {
                    format!("{:.1}%", share * 100.0)
                });
            let (replica, primary) = (reads.replica, reads.primary);
            writeln!(
                f,
                "  {:<14} {share} (replicas {replica}, primaries {primary})",
                reads.window
            )?;
        }
        writeln!(f, "\nfailover gap")?;
        for gap in &self.gaps {
            let length = gap
                .gap_ms
                .map_or("no success before".to_owned(), |ms| format!("{ms:.0} ms"));
            let at = gap.at_us as f64 / 1e6;
            writeln!(f, "  {} at {at:.2} s, {}s: {length}", gap.fault, gap.kind)?;
        }
        writeln!(f, "\nservice at the peak")?;
        for goodput in &self.loads {
            let refused = self
                .find(&goodput.window, "short")
                .map(|summary| format_codes(&summary.not_run));
            let refused = refused.unwrap_or_default();
            let rate = goodput.goodput_per_s;
            writeln!(
                f,
                "  {:<14} {rate:.0} statements/s done; not run: {refused}",
                goodput.window
            )?;
        }
        writeln!(f, "\nlatency by window")?;
        for summary in self
            .work
            .iter()
            .filter(|summary| !summary.window.is_empty() && summary.done > 0)
        {
            let (p50, p99) = (summary.p50_us as f64 / 1e3, summary.p99_us as f64 / 1e3);
            let (window, shape) = (&summary.window, &summary.shape);
            writeln!(
                f,
                "  {window:<14} {shape:<12} p50 {p50:.1} ms, p99 {p99:.1} ms"
            )?;
        }
        writeln!(f, "\nhead-of-line blocking")?;
        let is_blocking_ratio = |check: &&Check| {
            check.text.starts_with("short_p99") || check.text.starts_with("long_p50")
        };
        for check in self.checks.iter().filter(is_blocking_ratio) {
            let ratio = check
                .value
                .map_or("not measured".to_owned(), |ratio| format!("{ratio:.2}"));
            writeln!(f, "  {} times: {ratio}", check.text)?;
        }
        writeln!(f, "\nhistory: {} violations", self.violations)?;
        self.listed
            .iter()
            .try_for_each(|line| writeln!(f, "  {line}"))?;
        self.notes
            .iter()
            .try_for_each(|line| writeln!(f, "note: {line}"))?;
        writeln!(f, "\nstated outcomes")?;
        self.checks
            .iter()
            .try_for_each(|check| writeln!(f, "  {check}"))
    }
}

impl Report {
    fn write_totals(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for summary in self.work.iter().filter(|summary| summary.window.is_empty()) {
            let (shape, done, unknown) = (&summary.shape, summary.done, summary.unknown);
            let refused = format_codes(&summary.not_run);
            let (p50, p99) = (summary.p50_us as f64 / 1e3, summary.p99_us as f64 / 1e3);
            write!(
                f,
                "  {shape:<12} done {done}, not run: {refused}, unknown {unknown}; "
            )?;
            writeln!(f, "p50 {p50:.1} ms, p99 {p99:.1} ms")?;
        }
        let wait = self.late_p99_us as f64 / 1e3;
        writeln!(f, "  waited for their caller: p99 {wait:.1} ms")?;
        writeln!(f, "  without an answer at the end: {}", self.unanswered)
    }

    /// The summary of a shape in a window.
    #[must_use]
    pub fn find(&self, window: &str, shape: &str) -> Option<&Summary> {
        self.work
            .iter()
            .find(|summary| summary.window == window && summary.shape == shape)
    }
}

impl Display for Check {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let state = if self.passed { "passed" } else { "FAILED" };
        let value = self
            .value
            .map_or("not measured".to_owned(), |value| format!("{value:.3}"));
        write!(f, "{state}  {}: {value}", self.text)?;
        if let Some(min) = self.min {
            write!(f, ", at least {min}")?;
        }
        match self.max {
            Some(max) => write!(f, ", at most {max}"),
            None => Ok(()),
        }
    }
}

fn format_codes(counts: &BTreeMap<String, u64>) -> String {
    if counts.is_empty() {
        return "0".to_owned();
    }
    let list: Vec<String> = counts
        .iter()
        .map(|(code, count)| format!("{code} {count}"))
        .collect();
    list.join(", ")
}

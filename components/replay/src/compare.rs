//! Compares the reports of two runs.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::Report;

/// Returns a table with the figures of `first` and `second` side by side.
#[must_use]
pub fn compare(first: &Report, second: &Report) -> String {
    let columns = [figures(first), figures(second)];
    let mut rows: Vec<&String> = columns.iter().flat_map(BTreeMap::keys).collect();
    rows.sort_unstable();
    rows.dedup();
    let heading = |report: &Report| match report.label.as_str() {
        "" => report.trace.clone(),
        label => label.to_owned(),
    };
    let mut table = format!(
        "{:<48} {:>14} {:>14}\n",
        "",
        heading(first),
        heading(second)
    );
    for row in rows {
        let cell = |column: &BTreeMap<String, f64>| {
            column
                .get(row)
                .map_or("-".to_owned(), |value| format!("{value:.3}"))
        };
        // Formatting into a string does not fail.
        let _written = writeln!(
            table,
            "{row:<48} {:>14} {:>14}",
            cell(&columns[0]),
            cell(&columns[1])
        );
    }
    table
}

fn figures(report: &Report) -> BTreeMap<String, f64> {
    let mut figures = BTreeMap::new();
    for summary in &report.work {
        let window = if summary.window.is_empty() {
            "all"
        } else {
            &summary.window
        };
        let name = |figure: &str| format!("{window} {} {figure}", summary.shape);
        let refused: u64 = summary.not_run.values().sum();
        figures.insert(name("done"), summary.done as f64);
        figures.insert(name("not run"), refused as f64);
        figures.insert(name("unknown"), summary.unknown as f64);
        figures.insert(name("p50 ms"), summary.p50_us as f64 / 1e3);
        figures.insert(name("p99 ms"), summary.p99_us as f64 / 1e3);
    }
    for check in &report.checks {
        if let Some(value) = check.value {
            figures.insert(format!("outcome: {}", check.text), value);
        }
    }
    figures
}

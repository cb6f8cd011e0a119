//! Generates the committed traces, with a fixed seed for a reproducible text.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

mod dusk;
mod monday;

pub const TRACE_NAMES: [&str; 2] = ["monday-peak", "dusk-comparison"];
const SEED: u64 = 20_260_907;
/// Keys that statements use in each database. A pair may also use the next key after the last.
const KEY_COUNT: u32 = 400;

/// Returns the text of the trace `name`; `None` if there is no such trace.
#[must_use]
pub fn generate(name: &str) -> Option<String> {
    let mut draft = Draft::new();
    match name {
        "monday-peak" => monday::write(&mut draft),
        "dusk-comparison" => dusk::write(&mut draft),
        _ => return None,
    }
    Some(draft.text)
}

/// Builder of the text of a trace.
struct Draft {
    text: String,
    rng: StdRng,
}

/// Callers `first` to `first + count - 1` of one database, which send the same kinds of statements.
#[derive(Clone, Copy)]
struct Cohort {
    first: u32,
    count: u32,
    max_age_ms: Option<u64>,
    batch: bool,
}

/// Start and end of a span of the trace in microseconds.
#[derive(Clone, Copy)]
struct Span(u64, u64);

impl Draft {
    fn new() -> Self {
        Self {
            text: String::new(),
            rng: StdRng::seed_from_u64(SEED),
        }
    }

    fn push_line(&mut self, value: &Value) {
        self.text += &value.to_string();
        self.text.push('\n');
    }

    fn push_window(&mut self, name: &str, span: Span) {
        let Span(from_us, until_us) = span;
        let window = json!({ "name": name, "from_us": from_us, "until_us": until_us });
        self.push_line(&json!({ "window": window }));
    }

    fn push_outcome(&mut self, outcome: &Value) {
        self.push_line(&json!({ "outcome": outcome }));
    }

    /// Adds statements of `shape` at `rate_per_s` throughout `span`, from a random phase and a random
    /// first key. Returns their line as a template for statements that follow each of them.
    fn push_statements(
        &mut self,
        shape: &str,
        cohort: Cohort,
        rate_per_s: f64,
        span: Span,
    ) -> Value {
        let interval_us = 1e6 / rate_per_s;
        let count = ((span.1 - span.0) as f64 / interval_us) as u32;
        let phase = self.rng.random_range(0.0..interval_us) as u64;
        let first_key = self.rng.random_range(0..cohort.count);
        let mut statement = json!({
            "at_us": span.0 + phase, "caller": cohort.first, "callers": cohort.count,
            "shape": shape, "key": first_key, "keys": KEY_COUNT,
            "count": count, "every_us": interval_us as u64,
        });
        if let Some(age) = cohort.max_age_ms {
            statement["max_age_ms"] = json!(age);
        }
        if cohort.batch {
            statement["weight"] = json!("batch");
        }
        if count > 0 {
            self.push_line(&json!({ "statement": statement }));
        }
        statement
    }

    /// Adds writes, each followed by a read of the same caller and key after `after_us`.
    fn push_writes_and_reads(
        &mut self,
        shapes: [&str; 2],
        cohort: Cohort,
        rate_per_s: f64,
        span: Span,
        after_us: u64,
    ) {
        let mut read = self.push_statements(shapes[0], cohort, rate_per_s, span);
        read["shape"] = json!(shapes[1]);
        read["at_us"] = json!(read["at_us"].as_u64().unwrap_or(0) + after_us);
        self.push_line(&json!({ "statement": read }));
    }

    /// Adds callers that connect to the entries in turn, evenly throughout `span`.
    fn push_arrivals(&mut self, database: &str, first: u32, count: u32, span: Span) {
        let every_us = (span.1 - span.0) / u64::from(count);
        self.push_line(&json!({ "arrive": {
            "at_us": span.0, "caller": first, "entry": "entry-0", "database": database,
            "count": count, "every_us": every_us,
        } }));
    }
}

/// Returns three processes `PREFIX-0` to `PREFIX-2`, one in each domain, from the domain at
/// `first_domain` on.
fn processes(prefix: &str, domains: [&str; 3], first_domain: usize) -> Vec<Value> {
    let process = |i: usize| json!({ "name": format!("{prefix}-{i}"), "domain": domains[(i + first_domain) % 3] });
    (0..3).map(process).collect()
}

/// Returns databases of three targets each, with the primaries in different domains.
fn databases(names: [&str; 3], domains: [&str; 3]) -> Vec<Value> {
    let database = |(first_domain, name): (usize, &&str)| json!({ "name": name, "targets": processes(name, domains, first_domain) });
    names.iter().enumerate().map(database).collect()
}

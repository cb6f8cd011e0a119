//! Generator of the committed traces: a fixed seed, so that it writes the same bytes each time.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

mod dusk;
mod monday;

/// Names of the traces.
pub const NAMES: [&str; 2] = ["monday-peak", "dusk-comparison"];
const SEED: u64 = 20_260_907;
/// Keys of each database that statements use. A pair also uses the one after the last.
const KEYS: u32 = 400;

/// The text of the trace `name`; none if there is no such trace.
#[must_use]
pub fn generate(name: &str) -> Option<String> {
    let mut draft = Draft::new();
    match name {
        "monday-peak" => monday::write(&mut draft),
        "dusk-comparison" => dusk::write(&mut draft),
        _ => return None,
    }
    Some(draft.out)
}

/// Text of a trace in the making.
struct Draft {
    out: String,
    rng: StdRng,
}

/// Callers `first` to `first + count` of one database, who do the same kind of work.
#[derive(Clone, Copy)]
struct Crowd {
    first: u32,
    count: u32,
    max_age_ms: Option<u64>,
    batch: bool,
}

/// A span of the trace in microseconds.
#[derive(Clone, Copy)]
struct Span(u64, u64);

impl Draft {
    fn new() -> Self {
        Self {
            out: String::new(),
            rng: StdRng::seed_from_u64(SEED),
        }
    }

    fn line(&mut self, line: &Value) {
        self.out += &line.to_string();
        self.out.push('\n');
    }

    fn window(&mut self, name: &str, span: Span) {
        let Span(from_us, until_us) = span;
        let window = json!({ "name": name, "from_us": from_us, "until_us": until_us });
        self.line(&json!({ "window": window }));
    }

    fn outcome(&mut self, outcome: &Value) {
        self.line(&json!({ "outcome": outcome }));
    }

    /// Statements of `shape` at `per_s` through `span`, from a random phase and a random caller and
    /// key. Returns their line, for statements that follow each of them.
    fn work(&mut self, shape: &str, crowd: Crowd, per_s: f64, span: Span) -> Value {
        let every = 1e6 / per_s;
        let count = ((span.1 - span.0) as f64 / every) as u32;
        let phase = self.rng.random_range(0.0..every) as u64;
        let turn = self.rng.random_range(0..crowd.count);
        let mut statement = json!({
            "at_us": span.0 + phase, "caller": crowd.first, "callers": crowd.count,
            "shape": shape, "key": turn, "keys": KEYS,
            "count": count, "every_us": every as u64,
        });
        if let Some(age) = crowd.max_age_ms {
            statement["max_age_ms"] = json!(age);
        }
        if crowd.batch {
            statement["weight"] = json!("batch");
        }
        if count > 0 {
            self.line(&json!({ "statement": statement }));
        }
        statement
    }

    /// Writes, each followed by a read of the same caller and key after `after_us`.
    fn write_and_read(
        &mut self,
        shapes: [&str; 2],
        crowd: Crowd,
        per_s: f64,
        span: Span,
        after_us: u64,
    ) {
        let mut read = self.work(shapes[0], crowd, per_s, span);
        read["shape"] = json!(shapes[1]);
        read["at_us"] = json!(read["at_us"].as_u64().unwrap_or(0) + after_us);
        self.line(&json!({ "statement": read }));
    }

    /// Callers arrive at the entries in turn, evenly through `span`.
    fn arrive(&mut self, database: &str, first: u32, count: u32, span: Span) {
        let every_us = (span.1 - span.0) / u64::from(count);
        self.line(&json!({ "arrive": {
            "at_us": span.0, "caller": first, "entry": "entry-0", "database": database,
            "count": count, "every_us": every_us,
        } }));
    }
}

/// Three processes `PREFIX-0` to `PREFIX-2`, one in each domain.
fn places(prefix: &str, domains: [&str; 3], turn: usize) -> Vec<Value> {
    let place =
        |i: usize| json!({ "name": format!("{prefix}-{i}"), "domain": domains[(i + turn) % 3] });
    (0..3).map(place).collect()
}

/// Databases of three targets, with the primaries in different domains.
fn databases(names: [&str; 3], domains: [&str; 3]) -> Vec<Value> {
    let database = |(turn, name): (usize, &&str)| json!({ "name": name, "targets": places(name, domains, turn) });
    names.iter().enumerate().map(database).collect()
}

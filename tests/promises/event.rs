//! Events of a trace, one a line; `docs/promises.md` describes the format.

use serde::Deserialize;

/// One event. Which fields are required depends on the name in `event`.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Event {
    /// Milliseconds since the start of the trace.
    pub at: u64,
    pub event: String,
    /// Expected outcome of the event; not checked if it is absent.
    pub expect: Option<String>,
    /// Explanation for readers of the trace.
    pub note: String,
    pub entry: String,
    pub entries: Vec<String>,
    pub boot: u64,
    pub seq: u64,
    pub revision: u64,
    pub health: Vec<wire::Health>,
    pub demand: Vec<wire::Demand>,
    /// A statement from before the hold is still running.
    pub unfinished: bool,
    /// Connections beyond the quota are still open.
    pub surplus: bool,
    pub command: Option<wire::Command>,
    pub target: String,
    pub point: Option<wire::Point>,
    pub recovering: bool,
    pub session: Option<String>,
    pub max_age: Option<u64>,
    /// Milliseconds at which a statement arrived; default: `at`.
    pub arrived: Option<u64>,
    pub caller: String,
    pub sql: String,
    /// The statement is a write; its completion is held until its position is known.
    pub write: bool,
    /// The record of a request id is sent in place of the caller's statement.
    pub request: bool,
    pub connection: u64,
    pub frames: Vec<String>,
    pub wait: u64,
    pub ticket: u64,
    pub count: u64,
    pub node: String,
    pub by: String,
    pub every: u64,
    pub id: String,
}

impl Event {
    /// Position of the event; for some events only the term counts.
    pub fn point(&self) -> types::Point {
        self.point.clone().expect("the event has a point").into()
    }
}

/// Parses a trace; panics with the number of the first invalid line.
pub fn read(text: &str) -> Vec<Event> {
    let parse = |(index, raw)| {
        serde_json::from_str(raw).unwrap_or_else(|error| panic!("line {}: {error}", index + 1))
    };
    text.lines().enumerate().map(parse).collect()
}

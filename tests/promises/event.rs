//! Lines of a trace; `docs/promises.md` describes the format.

use serde::Deserialize;

/// One event. Which fields it needs depends on its name.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Event {
    /// Milliseconds since the start of the trace.
    pub at: u64,
    pub event: String,
    /// Outcome that the event must have.
    pub expect: Option<String>,
    /// For the reader of the trace.
    pub note: String,
    pub entry: String,
    pub entries: Vec<String>,
    pub boot: u64,
    pub seq: u64,
    pub revision: u64,
    pub health: Vec<wire::Health>,
    pub demand: Vec<wire::Demand>,
    /// Something of before a hold goes on.
    pub unfinished: bool,
    /// Connections beyond the quota are still open.
    pub surplus: bool,
    pub command: Option<wire::Command>,
    pub target: String,
    pub point: Option<wire::Point>,
    pub recovering: bool,
    pub session: Option<String>,
    pub max_age: Option<u64>,
    /// When a statement arrived; now if it is not given.
    pub arrived: Option<u64>,
    pub caller: String,
    pub sql: String,
    /// A write, whose completion is held until its position is known.
    pub write: bool,
    /// A record of a request id that stands for the caller's statement.
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
    /// Position, or term alone, that the event names.
    pub fn point(&self) -> types::Point {
        self.point.clone().expect("a point").into()
    }
}

/// Reads a trace; a line that does not fit the format is named.
pub fn read(text: &str) -> Vec<Event> {
    let parse = |(index, raw)| {
        serde_json::from_str(raw).unwrap_or_else(|error| panic!("line {}: {error}", index + 1))
    };
    text.lines().enumerate().map(parse).collect()
}

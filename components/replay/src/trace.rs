//! Parsing and validation of a trace.

use std::collections::HashSet;

use anyhow::{Context, Result, bail, ensure};
use serde_json::Value;
use settings::Schema;

use crate::event::{Event, Payload, Query};
use crate::format::{Action, Arrive, Kind, Line, Outcome, Statement, System, Window};

/// Longest trace; bounds the load of a replay.
const MAX_LENGTH_US: u64 = 60_000_000;
/// Events after repetitions are expanded; the results stay in memory until the end of the run.
const MAX_EVENTS: usize = 500_000;
/// Callers of a trace, each of which has a connection.
const MAX_CALLERS: u64 = 5_000;
const SCHEMA: &str = include_str!("../../../schema/trace.json");

/// A valid trace with its repetitions expanded.
#[derive(Debug)]
pub struct Trace {
    /// The system that the trace is played against.
    pub system: System,
    /// Named time spans.
    pub windows: Vec<Window>,
    /// Events. Invariant: sorted by time; each caller's first event is its arrival.
    pub events: Vec<Event>,
    /// Outcomes that a run has to reach. Invariant: the windows they name exist.
    pub outcomes: Vec<Outcome>,
}

impl Trace {
    /// Parses the JSON lines in `text`.
    ///
    /// # Errors
    /// Returns every invalid line with its number.
    pub fn parse(text: &str) -> Result<Self> {
        let lines = parse_lines(text)?;
        let mut lines = lines.into_iter();
        let Some((_, Line::System(system))) = lines.next() else {
            bail!("line 1: not a system line");
        };
        let mut trace = Self {
            system,
            windows: Vec::new(),
            events: Vec::new(),
            outcomes: Vec::new(),
        };
        let mut findings = Vec::new();
        for (number, line) in lines {
            if let Err(error) = trace.add_line(line) {
                findings.push(format!("line {number}: {error:#}"));
            }
        }
        trace.events.sort_by_key(|event| event.at_us);
        trace.cross_check(&mut findings);
        ensure!(findings.is_empty(), "{}", findings.join("\n"));
        Ok(trace)
    }

    #[must_use]
    pub fn window(&self, name: &str) -> Option<&Window> {
        self.windows.iter().find(|window| *window.name == name)
    }

    /// Start of the last event.
    #[must_use]
    pub fn length_us(&self) -> u64 {
        self.events.last().map_or(0, |event| event.at_us)
    }

    fn add_line(&mut self, line: Line) -> Result<()> {
        match line {
            Line::System(_) => bail!("duplicate system line"),
            Line::Window(window) => {
                ensure!(window.from_us < window.until_us, "an empty window");
                ensure!(self.window(&window.name).is_none(), "duplicate window name");
                self.windows.push(window);
            }
            Line::Arrive(arrive) => self.arrive(&arrive)?,
            Line::Move(moved) => {
                let payload = Payload::Move {
                    caller: moved.caller.into(),
                    entry: self.entry(&moved.entry)?,
                };
                self.push(moved.at_us, payload)?;
            }
            Line::Statement(statement) => self.statement(&statement)?,
            Line::Fault(fault) => {
                ensure!(self.has_process(&fault.process), "no such process");
                // A target restarted with its original settings would become a second primary.
                let target = self.database_of(&fault.process).is_some();
                ensure!(
                    !target || fault.action != Action::Restart,
                    "a target cannot be restarted"
                );
                let (action, process) = (fault.action, fault.process.to_string());
                self.push(fault.at_us, Payload::Fault { action, process })?;
            }
            Line::Change(change) => {
                ensure!(self.database_of(&change.target).is_some(), "no such target");
                let (target, state) = (change.target.to_string(), change.state);
                self.push(change.at_us, Payload::Change { target, state })?;
            }
            Line::Outcome(outcome) => self.outcomes.push(outcome),
        }
        Ok(())
    }

    fn push(&mut self, at_us: u64, payload: Payload) -> Result<()> {
        ensure!(at_us <= MAX_LENGTH_US, "later than {MAX_LENGTH_US} us");
        ensure!(
            self.events.len() < MAX_EVENTS,
            "more than {MAX_EVENTS} events"
        );
        self.events.push(Event { at_us, payload });
        Ok(())
    }

    fn arrive(&mut self, arrive: &Arrive) -> Result<()> {
        let first_entry = self.entry(&arrive.entry)?;
        let has_name = |database: &crate::format::Database| *database.name == *arrive.database;
        let database = self.system.databases.iter().position(has_name);
        let database = database.context("no such database")?;
        let entries = self.system.entries.len();
        for i in 0..u64::from(arrive.count) {
            let caller = u64::from(arrive.caller) + i;
            ensure!(caller < MAX_CALLERS, "more than {MAX_CALLERS} callers");
            let payload = Payload::Arrive {
                caller,
                entry: (first_entry + usize::try_from(i)?) % entries,
                database,
            };
            self.push(repetition_us(arrive.at_us, arrive.every_us, i), payload)?;
        }
        Ok(())
    }

    fn statement(&mut self, line: &Statement) -> Result<()> {
        let has_name = |shape: &crate::format::Shape| *shape.name == *line.shape;
        let shape = self.system.shapes.iter().position(has_name);
        let shape = shape.context("no such shape")?;
        ensure!(line.callers > 0 && line.keys > 0, "no callers or keys");
        for i in 0..u64::from(line.count) {
            let query = Query {
                caller: u64::from(line.caller) + i % u64::from(line.callers),
                shape,
                key: u64::from(line.key) + (i * KEY_STRIDE) % u64::from(line.keys),
                weight: line.weight,
                max_age_ms: line.max_age_ms,
            };
            self.push(
                repetition_us(line.at_us, line.every_us, i),
                Payload::Statement(query),
            )?;
        }
        Ok(())
    }

    fn entry(&self, name: &str) -> Result<usize> {
        let position = self.system.entries.iter().position(|e| *e.name == name);
        position.context("no such entry")
    }

    fn has_process(&self, name: &str) -> bool {
        let processes = self.system.controls.iter().chain(&self.system.entries);
        processes.clone().any(|process| *process.name == name) || self.database_of(name).is_some()
    }

    /// Index of the database that the target `name` serves.
    #[must_use]
    pub fn database_of(&self, name: &str) -> Option<usize> {
        let has_target = |database: &crate::format::Database| {
            database.targets.iter().any(|target| *target.name == name)
        };
        self.system.databases.iter().position(has_target)
    }

    fn cross_check(&self, findings: &mut Vec<String>) {
        let mut arrived = HashSet::new();
        let mut reported = HashSet::new();
        for event in &self.events {
            match &event.payload {
                Payload::Arrive { caller, .. } if !arrived.insert(*caller) => {
                    findings.push(format!("caller {caller} arrives twice"));
                }
                Payload::Move { caller, .. } | Payload::Statement(Query { caller, .. })
                    if !arrived.contains(caller) && reported.insert(*caller) =>
                {
                    findings.push(format!("caller {caller} acts before it arrives"));
                }
                _ => {}
            }
        }
        for shape in &self.system.shapes {
            let statement_us = self.system.statement_us;
            if shape.service_us < statement_us
                || shape.kind != Kind::Long && shape.service_us != statement_us
            {
                findings.push(format!(
                    "line 1: the service time of {} cannot be played",
                    *shape.name
                ));
            }
        }
        let names = self.outcomes.iter().flat_map(|o| [&o.window, &o.base]);
        for name in names.flatten().filter(|name| self.window(name).is_none()) {
            findings.push(format!("no window {}", **name));
        }
        if self
            .outcomes
            .iter()
            .any(|o| o.min.is_none() == o.max.is_none())
        {
            findings.push("an outcome needs either min or max".to_owned());
        }
    }
}

/// Step between the keys of a repetition. It is prime, so that consecutive keys are far apart and
/// every key of the range is used, unless the size of the range is a multiple of the step.
const KEY_STRIDE: u64 = 7919;

fn repetition_us(first_us: u64, interval_us: u64, i: u64) -> u64 {
    first_us.saturating_add(interval_us.saturating_mul(i))
}

fn parse_lines(text: &str) -> Result<Vec<(usize, Line)>> {
    let schema = Schema::new(SCHEMA, None)?;
    let (mut lines, mut findings) = (Vec::new(), Vec::new());
    let numbered = text.lines().enumerate();
    for (index, text) in numbered.filter(|(_, text)| !text.trim().is_empty()) {
        let number = index + 1;
        let value: Value = match serde_json::from_str(text) {
            Ok(value) => value,
            Err(error) => {
                findings.push(format!("line {number}: invalid JSON: {error}"));
                continue;
            }
        };
        for invalid in schema.check(&value) {
            findings.push(format!("line {number}: {}: {}", invalid.path, invalid.text));
        }
        match serde_json::from_value(value) {
            Ok(line) => lines.push((number, line)),
            Err(error) => findings.push(format!("line {number}: {error}")),
        }
    }
    ensure!(findings.is_empty(), "{}", findings.join("\n"));
    Ok(lines)
}

//! Loading of a trace.

use std::collections::HashSet;

use anyhow::{Context, Result, bail, ensure};
use serde_json::Value;
use settings::Schema;

use crate::event::{Event, Job, What};
use crate::format::{Action, Arrive, Kind, Line, Outcome, Statement, System, Window};

/// Longest trace; a replay is a bounded load.
const MAX_LENGTH_US: u64 = 60_000_000;
/// Events after repetitions are unfolded; their records stay in memory until the end.
const MAX_EVENTS: usize = 500_000;
/// Callers of a trace, each of which is a connection.
const MAX_CALLERS: u64 = 5_000;
const SCHEMA: &str = include_str!("../../../schema/trace.json");

/// A checked trace with its repetitions unfolded.
#[derive(Debug)]
pub struct Trace {
    /// The system that it is meant for.
    pub system: System,
    /// Named spans.
    pub windows: Vec<Window>,
    /// What happens. Invariant: by rising time; each caller's first event is its arrival.
    pub events: Vec<Event>,
    /// What a run has to show. Invariant: the windows they name exist.
    pub outcomes: Vec<Outcome>,
}

impl Trace {
    /// Reads the JSON lines in `text`.
    ///
    /// # Errors
    /// Returns every finding with its line.
    pub fn parse(text: &str) -> Result<Self> {
        let lines = lines(text)?;
        let mut lines = lines.into_iter();
        let Some((_, Line::System(system))) = lines.next() else {
            bail!("line 1: no system");
        };
        let mut trace = Self {
            system,
            windows: Vec::new(),
            events: Vec::new(),
            outcomes: Vec::new(),
        };
        let mut findings = Vec::new();
        for (number, line) in lines {
            if let Err(error) = trace.add(line) {
                findings.push(format!("line {number}: {error:#}"));
            }
        }
        trace.events.sort_by_key(|event| event.at_us);
        trace.cross_check(&mut findings);
        ensure!(findings.is_empty(), "{}", findings.join("\n"));
        Ok(trace)
    }

    /// The window `name`.
    #[must_use]
    pub fn window(&self, name: &str) -> Option<&Window> {
        self.windows.iter().find(|window| *window.name == name)
    }

    /// End of the last event.
    #[must_use]
    pub fn length_us(&self) -> u64 {
        self.events.last().map_or(0, |event| event.at_us)
    }

    fn add(&mut self, line: Line) -> Result<()> {
        match line {
            Line::System(_) => bail!("a second system"),
            Line::Window(window) => {
                ensure!(window.from_us < window.until_us, "an empty window");
                ensure!(
                    self.window(&window.name).is_none(),
                    "a second window of this name"
                );
                self.windows.push(window);
            }
            Line::Arrive(arrive) => self.arrive(&arrive)?,
            Line::Move(step) => {
                let what = What::Move {
                    caller: step.caller.into(),
                    entry: self.entry(&step.entry)?,
                };
                self.push(step.at_us, what)?;
            }
            Line::Statement(statement) => self.statement(&statement)?,
            Line::Fault(fault) => {
                ensure!(self.is_process(&fault.process), "no such process");
                // A target that starts as it did at first would be a second primary.
                let target = self.database_of(&fault.process).is_some();
                ensure!(
                    !target || fault.action != Action::Restart,
                    "a target cannot be restarted"
                );
                let (action, process) = (fault.action, fault.process.to_string());
                self.push(fault.at_us, What::Fault { action, process })?;
            }
            Line::Change(change) => {
                ensure!(self.database_of(&change.target).is_some(), "no such target");
                let (target, state) = (change.target.to_string(), change.state);
                self.push(change.at_us, What::Change { target, state })?;
            }
            Line::Outcome(outcome) => self.outcomes.push(outcome),
        }
        Ok(())
    }

    fn push(&mut self, at_us: u64, what: What) -> Result<()> {
        ensure!(at_us <= MAX_LENGTH_US, "later than {MAX_LENGTH_US} us");
        ensure!(
            self.events.len() < MAX_EVENTS,
            "more than {MAX_EVENTS} events"
        );
        self.events.push(Event { at_us, what });
        Ok(())
    }

    fn arrive(&mut self, arrive: &Arrive) -> Result<()> {
        let first = self.entry(&arrive.entry)?;
        let named = |database: &crate::format::Database| *database.name == *arrive.database;
        let database = self.system.databases.iter().position(named);
        let database = database.context("no such database")?;
        let entries = self.system.entries.len();
        for i in 0..u64::from(arrive.count) {
            let caller = u64::from(arrive.caller) + i;
            ensure!(caller < MAX_CALLERS, "more than {MAX_CALLERS} callers");
            let what = What::Arrive {
                caller,
                entry: (first + usize::try_from(i)?) % entries,
                database,
            };
            self.push(at(arrive.at_us, arrive.every_us, i), what)?;
        }
        Ok(())
    }

    fn statement(&mut self, line: &Statement) -> Result<()> {
        let named = |shape: &crate::format::Shape| *shape.name == *line.shape;
        let shape = self.system.shapes.iter().position(named);
        let shape = shape.context("no such shape")?;
        ensure!(line.callers > 0 && line.keys > 0, "no callers or keys");
        for i in 0..u64::from(line.count) {
            let job = Job {
                caller: u64::from(line.caller) + i % u64::from(line.callers),
                shape,
                key: u64::from(line.key) + (i * KEY_STEP) % u64::from(line.keys),
                weight: line.weight,
                max_age_ms: line.max_age_ms,
            };
            self.push(at(line.at_us, line.every_us, i), What::Statement(job))?;
        }
        Ok(())
    }

    fn entry(&self, name: &str) -> Result<usize> {
        let position = self.system.entries.iter().position(|e| *e.name == name);
        position.context("no such entry")
    }

    fn is_process(&self, name: &str) -> bool {
        let places = self.system.controls.iter().chain(&self.system.entries);
        places.clone().any(|place| *place.name == name) || self.database_of(name).is_some()
    }

    /// Index of the database that the target `name` serves.
    #[must_use]
    pub fn database_of(&self, name: &str) -> Option<usize> {
        let holds = |database: &crate::format::Database| {
            database.targets.iter().any(|target| *target.name == name)
        };
        self.system.databases.iter().position(holds)
    }

    fn cross_check(&self, findings: &mut Vec<String>) {
        let mut known = HashSet::new();
        let mut reported = HashSet::new();
        for event in &self.events {
            match &event.what {
                What::Arrive { caller, .. } if !known.insert(*caller) => {
                    findings.push(format!("caller {caller} arrives twice"));
                }
                What::Move { caller, .. } | What::Statement(Job { caller, .. })
                    if !known.contains(caller) && reported.insert(*caller) =>
                {
                    findings.push(format!("caller {caller} acts before it arrives"));
                }
                _ => {}
            }
        }
        for shape in &self.system.shapes {
            let usual = self.system.statement_us;
            if shape.service_us < usual || shape.kind != Kind::Long && shape.service_us != usual {
                findings.push(format!(
                    "line 1: the service time of {} cannot be played",
                    *shape.name
                ));
            }
        }
        let named = self.outcomes.iter().flat_map(|o| [&o.window, &o.base]);
        for name in named.flatten().filter(|name| self.window(name).is_none()) {
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

/// Step between the keys of a repetition. It is prime, so that neighbours are far apart and every
/// key of a range of another size has its turn.
const KEY_STEP: u64 = 7919;

fn at(first: u64, every: u64, i: u64) -> u64 {
    first.saturating_add(every.saturating_mul(i))
}

fn lines(text: &str) -> Result<Vec<(usize, Line)>> {
    let schema = Schema::new(SCHEMA, None)?;
    let (mut lines, mut findings) = (Vec::new(), Vec::new());
    let written = text.lines().enumerate();
    for (index, text) in written.filter(|(_, text)| !text.trim().is_empty()) {
        let number = index + 1;
        let value: Value = match serde_json::from_str(text) {
            Ok(value) => value,
            Err(error) => {
                findings.push(format!("line {number}: is no JSON: {error}"));
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

//! The loop that owns a run: sends each event at its intended start, whether or not earlier ones
//! were answered, and records the answers.

use std::collections::HashMap;
use std::fs::OpenOptions;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context, Result, ensure};
use history::{Operation, Outcome, Read, Write as Written};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::time::{Instant, sleep_until, timeout};

use crate::caller::{Caller, Command, Done, Task};
use crate::event::{Job, What};
use crate::format::{Kind, Shape};
use crate::record::{Answer, Fault, Place, Run, Sample, Scrape};
use crate::setup::{last, ready, route};
use crate::{Trace, scrape};

/// Time for the last answers after the last event.
const DRAIN: Duration = Duration::from_secs(8);
const PAUSE: Duration = Duration::from_millis(50);

/// One entry's addresses.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Name, as in the trace.
    pub name: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address of the metrics.
    pub http: SocketAddr,
}

/// Where the system runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Addresses {
    /// The trace's entries in its order.
    pub entries: Vec<Entry>,
    /// User of the callers, which is also their password.
    pub user: String,
    /// File that takes a line for each fault and change.
    pub signals: PathBuf,
}

struct Player<'a> {
    trace: &'a Trace,
    addresses: &'a Addresses,
    start: Instant,
    callers: HashMap<u64, (usize, UnboundedSender<Command>)>,
    open: HashMap<usize, (u64, Job)>,
    reports: UnboundedSender<Done>,
    scrapes: UnboundedSender<(usize, Scrape)>,
    run: Run,
}

/// Plays `trace` against the system at `addresses`.
///
/// # Errors
/// Fails if the system does not come up, or its final state cannot be read.
pub async fn play(trace: &Trace, addresses: &Addresses) -> Result<Run> {
    let listed = addresses.entries.iter().map(|entry| &*entry.name);
    let stated = trace.system.entries.iter().map(|entry| &**entry.name);
    ensure!(
        listed.eq(stated),
        "the addresses are not those of the trace's entries"
    );
    ready(trace, addresses).await?;
    let (reports, done) = mpsc::unbounded_channel();
    let (scrapes, counters) = mpsc::unbounded_channel();
    let mut player = Player {
        trace,
        addresses,
        start: Instant::now() + PAUSE,
        callers: HashMap::new(),
        open: HashMap::new(),
        reports,
        scrapes,
        run: Run {
            history: vec![Vec::new(); trace.system.databases.len()],
            ..Run::default()
        },
    };
    player.events(done, counters).await?;
    player.finish().await
}

impl Player<'_> {
    /// Edges of the windows, each with the index that its counters are reported under.
    fn edges(&self) -> Vec<(u64, usize)> {
        let windows = self.trace.windows.iter().enumerate();
        let mut edges: Vec<_> = windows
            .flat_map(|(i, window)| [(window.from_us, 2 * i), (window.until_us, 2 * i + 1)])
            .collect();
        edges.sort_unstable();
        edges
    }

    async fn events(
        &mut self,
        mut done: UnboundedReceiver<Done>,
        mut counters: UnboundedReceiver<(usize, Scrape)>,
    ) -> Result<()> {
        let (edges, trace) = (self.edges(), self.trace);
        let (mut next, mut edge) = (0, 0);
        let last = self.at(trace.length_us()) + DRAIN;
        loop {
            let event = trace.events.get(next).map(|event| self.at(event.at_us));
            let scrape = edges.get(edge).map(|(at, _)| self.at(*at));
            let due = event.into_iter().chain(scrape).min().unwrap_or(last);
            if due == last && self.open.is_empty() || Instant::now() >= last {
                break;
            }
            tokio::select! {
                biased;
                Some(report) = done.recv() => self.answer(report),
                Some((index, scrape)) = counters.recv() => self.count(index, scrape),
                () = sleep_until(due) => {
                    if scrape == Some(due) {
                        self.scrape(edges[edge].1);
                        edge += 1;
                    } else if event == Some(due) {
                        self.event(next)?;
                        next += 1;
                    }
                }
            }
        }
        // The last window's counters may still be on their way.
        while let Ok(Some((index, scrape))) = timeout(PAUSE * 20, counters.recv()).await {
            self.count(index, scrape);
        }
        Ok(())
    }

    fn at(&self, us: u64) -> Instant {
        self.start + Duration::from_micros(us)
    }

    fn us(&self, at: Instant) -> u64 {
        let since = at.saturating_duration_since(self.start).as_micros();
        u64::try_from(since).unwrap_or(u64::MAX)
    }

    fn event(&mut self, index: usize) -> Result<()> {
        let event = &self.trace.events[index];
        match &event.what {
            What::Arrive {
                caller,
                entry,
                database,
            } => self.arrive(*caller, *entry, *database),
            What::Move { caller, entry } => self.command(*caller, Command::Move(*entry)),
            What::Statement(job) => {
                self.open.insert(index, (event.at_us, job.clone()));
                let task = self.task(index, job);
                self.command(job.caller, Command::Run(task));
            }
            What::Fault { action, process } => {
                self.signal(&format!("{action} {process}"), process)?;
            }
            What::Change { target, state } => self.signal(&format!("{state} {target}"), target)?,
        }
        Ok(())
    }

    fn arrive(&mut self, caller: u64, entry: usize, database: usize) {
        let delay = Duration::from_micros(self.trace.system.callers_us);
        let task = Caller::new(route(self.trace, self.addresses, database), entry, delay);
        let (commands, received) = mpsc::unbounded_channel();
        tokio::task::spawn_local(task.run(received, self.reports.clone()));
        self.callers.insert(caller, (database, commands));
    }

    fn command(&mut self, caller: u64, command: Command) {
        let sent = self
            .callers
            .get(&caller)
            .map(|(_, commands)| commands.send(command));
        if !matches!(sent, Some(Ok(()))) {
            self.run.notes.push(format!("caller {caller} has ended"));
        }
    }

    fn shape(&self, job: &Job) -> &Shape {
        &self.trace.system.shapes[job.shape]
    }

    fn task(&self, index: usize, job: &Job) -> Task {
        let shape = self.shape(job);
        Task {
            number: index,
            kind: shape.kind,
            key: job.key,
            // The event's index makes the value unique.
            value: index as u64,
            extra_us: shape
                .service_us
                .saturating_sub(self.trace.system.statement_us),
            weight: job.weight,
            max_age_ms: job.max_age_ms,
        }
    }

    /// The line is short and the reader holds the file open, so that the write does not wait.
    fn signal(&mut self, text: &str, process: &str) -> Result<()> {
        let path = &self.addresses.signals;
        let mut file = OpenOptions::new()
            .append(true)
            .open(path)
            .with_context(|| format!("open {}", path.display()))?;
        writeln!(file, "{text}").context("pass on a fault")?;
        let entries = &self.trace.system.entries;
        let entry = entries.iter().position(|entry| *entry.name == process);
        let place = match (self.trace.database_of(process), entry) {
            (Some(database), _) => Place::Database(database),
            (None, Some(entry)) => Place::Entry(entry),
            (None, None) => Place::All,
        };
        let at_us = self.us(Instant::now());
        let text = text.to_owned();
        self.run.faults.push(Fault { at_us, text, place });
        Ok(())
    }

    fn scrape(&self, index: usize) {
        let https: Vec<_> = self
            .addresses
            .entries
            .iter()
            .map(|entry| entry.http)
            .collect();
        let counters = self.scrapes.clone();
        tokio::task::spawn_local(async move {
            let scrape = scrape::all(&https).await;
            // The run may have ended.
            let _late = counters.send((index, scrape));
        });
    }

    fn count(&mut self, index: usize, scrape: Scrape) {
        let name = self.trace.windows[index / 2].name.to_string();
        let silent = scrape.iter().filter(|counters| counters.is_none()).count();
        if silent > 0 {
            let note = format!("window {name}: {silent} of the entries gave no counters");
            self.run.notes.push(note);
        }
        let (from, until) = self.run.counters.entry(name).or_default();
        *(if index.is_multiple_of(2) { from } else { until }) = scrape;
    }

    fn answer(&mut self, report: Done) {
        let Some((due_us, job)) = self.open.remove(&report.number) else {
            return;
        };
        let Some(&(database, _)) = self.callers.get(&job.caller) else {
            return;
        };
        let answered_us = self.us(report.answered);
        if let Some(operation) = self.operation(&report, &job) {
            self.run.history[database].push(operation);
        }
        let answer = report.result.err().unwrap_or(Answer::Done);
        let shape = job.shape;
        self.run.samples.push(Sample {
            shape,
            database,
            caller: job.caller,
            entry: report.entry,
            due_us,
            sent_us: self.us(report.sent),
            answered_us,
            answer,
        });
    }

    fn operation(&self, report: &Done, job: &Job) -> Option<Operation> {
        let kind = self.shape(job).kind;
        let keys = match kind {
            Kind::Pair => vec![job.key, job.key + 1],
            _ => vec![job.key],
        };
        match (kind, &report.result) {
            (Kind::Long, _) | (Kind::Read, Err(_)) => None,
            (Kind::Read, Ok(rows)) => Some(Operation::Read(Read {
                session: job.caller,
                keys,
                rows: rows.clone(),
                sent_us: self.us(report.sent),
                max_age_us: job.max_age_ms.map(|age| age * 1000),
            })),
            (Kind::Write | Kind::Pair, result) => Some(Operation::Write(Written {
                session: job.caller,
                value: report.number as u64,
                keys,
                answered_us: self.us(report.replied),
                outcome: match result {
                    Ok(_) => Outcome::Done,
                    Err(Answer::NotRun(_)) => Outcome::NotRun,
                    Err(_) => Outcome::Unknown,
                },
            })),
        }
    }

    /// Ends the callers, counts what has no answer as unknown, and reads the final state.
    async fn finish(mut self) -> Result<Run> {
        let open = std::mem::take(&mut self.open);
        self.run.unanswered = open.len() as u64;
        for (number, (_, job)) in open {
            let now = Instant::now();
            let result = Err(Answer::Unknown);
            let report = Done {
                number,
                entry: 0,
                sent: now,
                replied: now,
                answered: now,
                result,
            };
            let database = self.callers.get(&job.caller).map(|(database, _)| *database);
            if let (Some(database), Some(operation)) = (database, self.operation(&report, &job)) {
                self.run.history[database].push(operation);
            }
        }
        self.callers.clear();
        for database in 0..self.run.history.len() {
            let rows = last(&route(self.trace, self.addresses, database)).await?;
            self.run.history[database].push(Operation::Final(rows));
        }
        Ok(self.run)
    }
}

//! Player loop, which owns the state of a run: starts each event at its intended time, whether or not
//! earlier ones were answered, and records the answers.

use std::collections::HashMap;
use std::fs::OpenOptions;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context, Result, ensure};
use history::{Operation, Outcome, Read, Write as HistoryWrite};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::time::{Instant, sleep_until, timeout};

use crate::caller::{Caller, Command, Completion, Request};
use crate::event::{Payload, Query};
use crate::format::{Kind, Shape};
use crate::record::{Fault, Run, Sample, Scope, Scrape, Status};
use crate::setup::{read_final_state, route, wait_until_ready};
use crate::{Trace, scrape};

/// Time after the last event in which answers are awaited.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay of the first event after the setup; also the unit of the wait for the last counters.
const SETTLE_DELAY: Duration = Duration::from_millis(50);

/// Addresses of one entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Name, as in the trace.
    pub name: String,
    /// Address that accepts callers.
    pub listen: SocketAddr,
    /// HTTP address, which serves the metrics.
    pub http: SocketAddr,
}

/// Addresses of the running system.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Addresses {
    /// The entries, in the order of the trace.
    pub entries: Vec<Entry>,
    /// User name of the callers, also used as the password.
    pub user: String,
    /// File to which a line is written for each fault and change.
    pub signals: PathBuf,
}

struct Player<'a> {
    trace: &'a Trace,
    addresses: &'a Addresses,
    start: Instant,
    /// Database index and command channel of each caller.
    callers: HashMap<u64, (usize, UnboundedSender<Command>)>,
    /// Intended start and query of each statement without an answer, by event index.
    pending: HashMap<usize, (u64, Query)>,
    completions: UnboundedSender<Completion>,
    /// Counters with the index of the window bound at which they were read.
    scrapes: UnboundedSender<(usize, Scrape)>,
    run: Run,
}

/// Plays `trace` against the system at `addresses`.
///
/// # Errors
/// Fails if the system does not become ready, or its final state cannot be read.
pub async fn play(trace: &Trace, addresses: &Addresses) -> Result<Run> {
    let address_names = addresses.entries.iter().map(|entry| &*entry.name);
    let trace_names = trace.system.entries.iter().map(|entry| &**entry.name);
    ensure!(
        address_names.eq(trace_names),
        "the addresses do not match the trace's entries"
    );
    wait_until_ready(trace, addresses).await?;
    let (completions, completed) = mpsc::unbounded_channel();
    let (scrapes, counters) = mpsc::unbounded_channel();
    let mut player = Player {
        trace,
        addresses,
        start: Instant::now() + SETTLE_DELAY,
        callers: HashMap::new(),
        pending: HashMap::new(),
        completions,
        scrapes,
        run: Run {
            histories: vec![Vec::new(); trace.system.databases.len()],
            ..Run::default()
        },
    };
    player.run_events(completed, counters).await?;
    player.finish().await
}

impl Player<'_> {
    /// Returns the starts and ends of the windows in order of time. The index is twice that of the
    /// window, plus one for its end.
    fn window_bounds(&self) -> Vec<(u64, usize)> {
        let windows = self.trace.windows.iter().enumerate();
        let mut window_bounds: Vec<_> = windows
            .flat_map(|(i, window)| [(window.from_us, 2 * i), (window.until_us, 2 * i + 1)])
            .collect();
        window_bounds.sort_unstable();
        window_bounds
    }

    async fn run_events(
        &mut self,
        mut completed: UnboundedReceiver<Completion>,
        mut counters: UnboundedReceiver<(usize, Scrape)>,
    ) -> Result<()> {
        let (window_bounds, trace) = (self.window_bounds(), self.trace);
        let (mut next_event, mut next_bound) = (0, 0);
        let deadline = self.instant(trace.length_us()) + DRAIN_TIMEOUT;
        loop {
            let event_at = trace
                .events
                .get(next_event)
                .map(|event| self.instant(event.at_us));
            let scrape_at = window_bounds
                .get(next_bound)
                .map(|(bound_us, _)| self.instant(*bound_us));
            let due = event_at
                .into_iter()
                .chain(scrape_at)
                .min()
                .unwrap_or(deadline);
            if due == deadline && self.pending.is_empty() || Instant::now() >= deadline {
                break;
            }
            tokio::select! {
                biased;
                Some(completion) = completed.recv() => self.record_completion(completion),
                Some((index, scrape)) = counters.recv() => self.record_counters(index, scrape),
                () = sleep_until(due) => {
                    if scrape_at == Some(due) {
                        self.start_scrape(window_bounds[next_bound].1);
                        next_bound += 1;
                    } else if event_at == Some(due) {
                        self.start_event(next_event)?;
                        next_event += 1;
                    }
                }
            }
        }
        // The counters of the last window may not have arrived yet.
        while let Ok(Some((index, scrape))) = timeout(SETTLE_DELAY * 20, counters.recv()).await {
            self.record_counters(index, scrape);
        }
        Ok(())
    }

    fn instant(&self, offset_us: u64) -> Instant {
        self.start + Duration::from_micros(offset_us)
    }

    fn elapsed_us(&self, instant: Instant) -> u64 {
        let elapsed = instant.saturating_duration_since(self.start).as_micros();
        u64::try_from(elapsed).unwrap_or(u64::MAX)
    }

    fn start_event(&mut self, index: usize) -> Result<()> {
        let event = &self.trace.events[index];
        match &event.payload {
            Payload::Arrive {
                caller,
                entry,
                database,
            } => self.arrive(*caller, *entry, *database),
            Payload::Move { caller, entry } => self.send_command(*caller, Command::Move(*entry)),
            Payload::Statement(query) => {
                self.pending.insert(index, (event.at_us, query.clone()));
                let request = self.request(index, query);
                self.send_command(query.caller, Command::Run(request));
            }
            Payload::Fault { action, process } => {
                self.write_signal(&format!("{action} {process}"), process)?;
            }
            Payload::Change { target, state } => {
                self.write_signal(&format!("{state} {target}"), target)?
            }
        }
        Ok(())
    }

    fn arrive(&mut self, caller: u64, entry: usize, database: usize) {
        let delay = Duration::from_micros(self.trace.system.callers_us);
        let new_caller = Caller::new(route(self.trace, self.addresses, database), entry, delay);
        let (commands, received) = mpsc::unbounded_channel();
        tokio::task::spawn_local(new_caller.run(received, self.completions.clone()));
        self.callers.insert(caller, (database, commands));
    }

    fn send_command(&mut self, caller: u64, command: Command) {
        let sent = self
            .callers
            .get(&caller)
            .map(|(_, commands)| commands.send(command));
        if !matches!(sent, Some(Ok(()))) {
            self.run.notes.push(format!("caller {caller} has ended"));
        }
    }

    fn shape(&self, query: &Query) -> &Shape {
        &self.trace.system.shapes[query.shape]
    }

    fn request(&self, index: usize, query: &Query) -> Request {
        let shape = self.shape(query);
        Request {
            number: index,
            kind: shape.kind,
            key: query.key,
            // The index of the event makes the value unique.
            value: index as u64,
            extra_us: shape
                .service_us
                .saturating_sub(self.trace.system.statement_us),
            weight: query.weight,
            max_age_ms: query.max_age_ms,
        }
    }

    /// Writes a line to the starting script. The line is short and the reader keeps the file open, so
    /// that the write does not block.
    fn write_signal(&mut self, text: &str, process: &str) -> Result<()> {
        let path = &self.addresses.signals;
        let mut file = OpenOptions::new()
            .append(true)
            .open(path)
            .with_context(|| format!("open {}", path.display()))?;
        writeln!(file, "{text}").context("write the signal")?;
        let entries = &self.trace.system.entries;
        let entry = entries.iter().position(|entry| *entry.name == process);
        let scope = match (self.trace.database_of(process), entry) {
            (Some(database), _) => Scope::Database(database),
            (None, Some(entry)) => Scope::Entry(entry),
            (None, None) => Scope::All,
        };
        let at_us = self.elapsed_us(Instant::now());
        let text = text.to_owned();
        self.run.faults.push(Fault { at_us, text, scope });
        Ok(())
    }

    fn start_scrape(&self, index: usize) {
        let http_addresses: Vec<_> = self
            .addresses
            .entries
            .iter()
            .map(|entry| entry.http)
            .collect();
        let scrapes = self.scrapes.clone();
        tokio::task::spawn_local(async move {
            let scrape = scrape::read_counters(&http_addresses).await;
            // Sending fails if the run has ended.
            let _run_ended = scrapes.send((index, scrape));
        });
    }

    fn record_counters(&mut self, index: usize, scrape: Scrape) {
        let name = self.trace.windows[index / 2].name.to_string();
        let missing = scrape.iter().filter(|counters| counters.is_none()).count();
        if missing > 0 {
            let note = format!("window {name}: {missing} of the entries gave no counters");
            self.run.notes.push(note);
        }
        let (from, until) = self.run.counters.entry(name).or_default();
        *(if index.is_multiple_of(2) { from } else { until }) = scrape;
    }

    fn record_completion(&mut self, completion: Completion) {
        let Some((due_us, query)) = self.pending.remove(&completion.number) else {
            return;
        };
        let Some(&(database, _)) = self.callers.get(&query.caller) else {
            return;
        };
        let answered_us = self.elapsed_us(completion.answered);
        if let Some(history_operation) = self.history_operation(&completion, &query) {
            self.run.histories[database].push(history_operation);
        }
        let status = completion.result.err().unwrap_or(Status::Done);
        let shape = query.shape;
        self.run.samples.push(Sample {
            shape,
            database,
            caller: query.caller,
            entry: completion.entry,
            due_us,
            sent_us: self.elapsed_us(completion.sent),
            answered_us,
            status,
        });
    }

    fn history_operation(&self, completion: &Completion, query: &Query) -> Option<Operation> {
        let kind = self.shape(query).kind;
        let keys = match kind {
            Kind::Pair => vec![query.key, query.key + 1],
            _ => vec![query.key],
        };
        match (kind, &completion.result) {
            (Kind::Long, _) | (Kind::Read, Err(_)) => None,
            (Kind::Read, Ok(rows)) => Some(Operation::Read(Read {
                session: query.caller,
                keys,
                rows: rows.clone(),
                sent_us: self.elapsed_us(completion.sent),
                max_age_us: query.max_age_ms.map(|age| age * 1000),
            })),
            (Kind::Write | Kind::Pair, result) => Some(Operation::Write(HistoryWrite {
                session: query.caller,
                value: completion.number as u64,
                keys,
                answered_us: self.elapsed_us(completion.replied),
                outcome: match result {
                    Ok(_) => Outcome::Done,
                    Err(Status::NotRun(_)) => Outcome::NotRun,
                    Err(_) => Outcome::Unknown,
                },
            })),
        }
    }

    /// Records statements without an answer as unknown, stops the callers, and reads the final state.
    async fn finish(mut self) -> Result<Run> {
        let unanswered = std::mem::take(&mut self.pending);
        self.run.unanswered = unanswered.len() as u64;
        for (number, (_, query)) in unanswered {
            let now = Instant::now();
            let result = Err(Status::Unknown);
            let completion = Completion {
                number,
                entry: 0,
                sent: now,
                replied: now,
                answered: now,
                result,
            };
            let database = self
                .callers
                .get(&query.caller)
                .map(|(database, _)| *database);
            if let (Some(database), Some(history_operation)) =
                (database, self.history_operation(&completion, &query))
            {
                self.run.histories[database].push(history_operation);
            }
        }
        self.callers.clear();
        for database in 0..self.run.histories.len() {
            let rows = read_final_state(&route(self.trace, self.addresses, database)).await?;
            self.run.histories[database].push(Operation::Final(rows));
        }
        Ok(self.run)
    }
}

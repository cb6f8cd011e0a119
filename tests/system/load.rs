//! A steady load of writes that records the outcome of each write.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

use crate::caller::{Caller, eventually, token};
use crate::harness::{System, TIMEOUT};

/// SQLSTATE of a write with an unknown outcome.
pub const UNKNOWN_OUTCOME: &str = "08007";
/// Pause of a writer after an error.
const RETRY_PAUSE: Duration = Duration::from_millis(5);
const WRITERS_PER_ENTRY: usize = 3;

/// Outcome of a write, as its caller sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    Done,
    /// Error with this SQLSTATE.
    Refused(String),
    /// The connection ended without an answer.
    Cut(String),
}

impl Outcome {
    pub fn of<T>(result: Result<T, tokio_postgres::Error>) -> Self {
        match result {
            Ok(_) => Self::Done,
            Err(error) => match error.code() {
                Some(code) => Self::Refused(code.code().to_owned()),
                None => Self::Cut(format!("{error:?}")),
            },
        }
    }

    /// Whether the entry shuts down, so that the caller has to reconnect.
    pub fn is_shutdown(&self) -> bool {
        *self == Self::Refused("57P01".to_owned())
    }

    /// Whether the error says that the write was not run.
    pub fn is_not_run(&self) -> bool {
        self.is_shutdown() || matches!(self, Self::Refused(code) if code.starts_with("57L"))
    }
}

#[derive(Debug, Default)]
struct Shared {
    next_id: Cell<i32>,
    stop: Cell<bool>,
    outcomes: RefCell<BTreeMap<i32, Outcome>>,
    acknowledged: [Cell<u64>; 3],
}

/// Writers that run until they are stopped.
#[derive(Debug)]
pub struct Load {
    shared: Rc<Shared>,
    writers: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts writers through the given entries.
    pub async fn start(system: &System, entries: &[usize]) -> Self {
        let shared = Rc::new(Shared::default());
        let mut writers = Vec::new();
        for entry in entries {
            for _ in 0..WRITERS_PER_ENTRY {
                let client = system.connect(*entry, None).await.unwrap();
                writers.push(spawn_local(run_writer(client, *entry, Rc::clone(&shared))));
            }
        }
        let load = Self { shared, writers };
        load.progress("the first writes of the load", entries, 20, TIMEOUT)
            .await;
        load
    }

    /// Waits until each of `entries` has acknowledged `count` more writes.
    pub async fn progress(&self, what: &str, entries: &[usize], count: u64, limit: Duration) {
        let before: Vec<_> = self.shared.acknowledged.iter().map(Cell::get).collect();
        let acknowledged =
            |entry: &usize| self.shared.acknowledged[*entry].get() >= before[*entry] + count;
        eventually(what, limit, async || {
            entries.iter().all(acknowledged).then_some(())
        })
        .await;
    }

    /// Stops the writers and returns the outcome of each write.
    pub async fn stop(self) -> BTreeMap<i32, Outcome> {
        self.shared.stop.set(true);
        for writer in self.writers {
            timeout(TIMEOUT, writer)
                .await
                .expect("every write is answered")
                .unwrap();
        }
        self.shared.outcomes.take()
    }
}

async fn run_writer(client: Caller, entry: usize, shared: Rc<Shared>) {
    // Prepared only once: when the driver drops a statement, it closes it on the server and
    // discards the answer, which may be the shutdown error.
    let insert = client
        .prepare("INSERT INTO log VALUES ($1, $2)")
        .await
        .unwrap();
    while !shared.stop.get() {
        let id = shared.next_id.replace(shared.next_id.get() + 1);
        let result = client.execute(&insert, &[&id, &"load"]).await;
        let outcome = client.outcome(result).await;
        let failed = outcome != Outcome::Done;
        let is_shutdown = outcome.is_shutdown();
        if !failed {
            shared.acknowledged[entry].set(shared.acknowledged[entry].get() + 1);
        }
        shared.outcomes.borrow_mut().insert(id, outcome);
        if is_shutdown || client.is_closed() {
            return;
        }
        if failed {
            sleep(RETRY_PAUSE).await;
        }
    }
}

/// Number of rows by id on the current primary.
pub async fn stored(system: &System, entry: usize) -> BTreeMap<i32, usize> {
    let client = system.connect(entry, None).await.unwrap();
    // After its own write a session reads from a target that has all earlier writes.
    eventually("a last write", TIMEOUT, async || {
        let last = client
            .execute("INSERT INTO log VALUES (-1, 'last')", &[])
            .await;
        last.ok()
    })
    .await;
    let reader = system
        .connect(entry, Some(&token(&client).await))
        .await
        .unwrap();
    let mut rows_by_id = BTreeMap::new();
    for row in reader.query("SELECT id FROM log", &[]).await.unwrap() {
        *rows_by_id.entry(row.get(0)).or_default() += 1;
    }
    rows_by_id
}

/// Checks every outcome against the table: an acknowledged write has one row, a write that was not
/// run has none, one with an unknown outcome has at most one, and there is no other error.
pub fn check(outcomes: &BTreeMap<i32, Outcome>, stored: &BTreeMap<i32, usize>) {
    for (id, outcome) in outcomes {
        let rows = stored.get(id).copied().unwrap_or(0);
        match outcome {
            Outcome::Done => assert_eq!(rows, 1, "rows of acknowledged write {id}"),
            Outcome::Refused(code) if code == UNKNOWN_OUTCOME => {
                assert!(rows <= 1, "write {id} has {rows} rows");
            }
            _ if outcome.is_not_run() => assert_eq!(rows, 0, "write {id}: {outcome:?}"),
            _ => panic!("write {id}: {outcome:?}"),
        }
    }
}

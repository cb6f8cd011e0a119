//! A steady load of writes, and what became of each.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

use crate::caller::{Caller, eventually, token};
use crate::harness::{LIMIT, System};

/// SQLSTATE of a write whose outcome is not known.
pub const UNKNOWN: &str = "08007";
/// Pause of a writer after an error.
const PAUSE: Duration = Duration::from_millis(5);
/// Writers of each entry.
const WRITERS: usize = 3;

/// What a caller was told of a write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It is done.
    Done,
    /// An error with this SQLSTATE.
    Refused(String),
    /// The connection ended without an answer.
    Cut(String),
}

impl Outcome {
    /// Takes the result of a statement.
    pub fn of<T>(result: Result<T, tokio_postgres::Error>) -> Self {
        match result {
            Ok(_) => Self::Done,
            Err(error) => match error.code() {
                Some(code) => Self::Refused(code.code().to_owned()),
                None => Self::Cut(format!("{error:?}")),
            },
        }
    }

    /// Whether the entry stops and the caller has to connect again.
    pub fn is_told_to_go(&self) -> bool {
        *self == Self::Refused("57P01".to_owned())
    }

    /// Whether the caller was told that the write did not run.
    pub fn is_not_run(&self) -> bool {
        self.is_told_to_go() || matches!(self, Self::Refused(code) if code.starts_with("57L"))
    }
}

#[derive(Debug, Default)]
struct Record {
    next: Cell<i32>,
    stop: Cell<bool>,
    outcomes: RefCell<BTreeMap<i32, Outcome>>,
    done: [Cell<u64>; 3],
}

/// Writers that go on until they are stopped.
#[derive(Debug)]
pub struct Load {
    record: Rc<Record>,
    writers: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts writers through some entries.
    pub async fn start(system: &System, entries: &[usize]) -> Self {
        let record = Rc::new(Record::default());
        let mut writers = Vec::new();
        for entry in entries {
            for _ in 0..WRITERS {
                let client = system.connect(*entry, None).await.unwrap();
                writers.push(spawn_local(write(client, *entry, Rc::clone(&record))));
            }
        }
        let load = Self { record, writers };
        load.progress("the load begins", entries, 20, LIMIT).await;
        load
    }

    /// Waits until each of `entries` has acknowledged `count` more writes.
    pub async fn progress(&self, what: &str, entries: &[usize], count: u64, limit: Duration) {
        let before: Vec<_> = self.record.done.iter().map(Cell::get).collect();
        let done = |entry: &usize| self.record.done[*entry].get() >= before[*entry] + count;
        eventually(what, limit, async || entries.iter().all(done).then_some(())).await;
    }

    /// Stops the writers and returns the outcome of each write.
    pub async fn stop(self) -> BTreeMap<i32, Outcome> {
        self.record.stop.set(true);
        for writer in self.writers {
            timeout(LIMIT, writer)
                .await
                .expect("every write is answered")
                .unwrap();
        }
        self.record.outcomes.take()
    }
}

async fn write(client: Caller, entry: usize, record: Rc<Record>) {
    // Prepared once: when the driver drops a statement it closes it on the server and discards the
    // answer, which may be the one that tells the caller to go.
    let insert = client
        .prepare("INSERT INTO log VALUES ($1, $2)")
        .await
        .unwrap();
    while !record.stop.get() {
        let id = record.next.replace(record.next.get() + 1);
        let result = client.execute(&insert, &[&id, &"load"]).await;
        let outcome = client.outcome(result).await;
        let pause = outcome != Outcome::Done;
        let gone = outcome.is_told_to_go();
        if !pause {
            record.done[entry].set(record.done[entry].get() + 1);
        }
        record.outcomes.borrow_mut().insert(id, outcome);
        if gone || client.is_closed() {
            return;
        }
        if pause {
            sleep(PAUSE).await;
        }
    }
}

/// How often each id is in the table, as the present primary has it.
pub async fn stored(system: &System, entry: usize) -> BTreeMap<i32, usize> {
    let client = system.connect(entry, None).await.unwrap();
    // The session's own write makes it read from a target that has everything before it.
    eventually("a last write", LIMIT, async || {
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
    let mut found = BTreeMap::new();
    for row in reader.query("SELECT id FROM log", &[]).await.unwrap() {
        *found.entry(row.get(0)).or_default() += 1;
    }
    found
}

/// Checks every answer against the table: what is done is there once, what did not run is absent,
/// and no other error was given.
pub fn check(outcomes: &BTreeMap<i32, Outcome>, stored: &BTreeMap<i32, usize>) {
    for (id, outcome) in outcomes {
        let times = stored.get(id).copied().unwrap_or(0);
        match outcome {
            Outcome::Done => assert_eq!(times, 1, "write {id} was acknowledged"),
            Outcome::Refused(code) if code == UNKNOWN => {
                assert!(times <= 1, "write {id} is there {times} times");
            }
            _ if outcome.is_not_run() => assert_eq!(times, 0, "write {id}: {outcome:?}"),
            _ => panic!("write {id}: {outcome:?}"),
        }
    }
}

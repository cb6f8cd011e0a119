//! Roaming sessions with transactions and reads while two failures come at once; the history of
//! every operation is checked.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use ::history::{Operation, Outcome, Read, Row, Write};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::caller::{Caller, eventually, token};
use crate::control::leader;
use crate::harness::{LIMIT, System};
use crate::run;
use crate::settings::Options;

const SESSIONS: u64 = 6;
/// Transactions that a session makes through one entry before it moves on.
const STAY: u64 = 5;
/// Transactions acknowledged before and after the failures.
const PROGRESS: u64 = 60;
const PAUSE: Duration = Duration::from_millis(5);

struct Record {
    started: Instant,
    stop: Cell<bool>,
    done: Cell<u64>,
    operations: RefCell<Vec<Operation>>,
}

impl Record {
    fn now_us(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_micros()).unwrap()
    }
}

/// One session with a key pair of its own for each transaction.
struct Session<'a> {
    id: u64,
    system: &'a System,
    record: &'a Record,
    token: Option<String>,
}

impl Session<'_> {
    async fn run(mut self) {
        let mut number = 0;
        while !self.record.stop.get() {
            let entry = usize::try_from((self.id + number / STAY) % 3).unwrap();
            let Ok(client) = self.system.connect(entry, self.token.as_deref()).await else {
                sleep(PAUSE).await;
                number += 1;
                continue;
            };
            for _ in 0..STAY {
                number += 1;
                if !self.transact(&client, number).await || client.is_closed() {
                    break;
                }
            }
        }
    }

    /// Writes a pair in a transaction and reads it back. False after an error.
    async fn transact(&mut self, client: &Caller, number: u64) -> bool {
        let value = self.id * 1_000_000 + number;
        let keys = vec![value * 2, value * 2 + 1];
        let outcome = self.write(client, value, &keys).await;
        let done = outcome == Outcome::Done;
        self.record
            .operations
            .borrow_mut()
            .push(Operation::Write(Write {
                session: self.id,
                value,
                keys: keys.clone(),
                answered_us: self.record.now_us(),
                outcome,
            }));
        if !done {
            let _ended = client.batch_execute("ROLLBACK").await;
            sleep(PAUSE).await;
            return false;
        }
        self.record.done.set(self.record.done.get() + 1);
        self.token = Some(token(client).await);
        self.read(client, keys).await;
        true
    }

    async fn write(&self, client: &Caller, value: u64, keys: &[u64]) -> Outcome {
        let insert = |key| format!("INSERT INTO pairs VALUES ({key}, {value})");
        for text in ["BEGIN".to_owned(), insert(keys[0]), insert(keys[1])] {
            if client.batch_execute(&text).await.is_err() {
                return Outcome::NotRun;
            }
        }
        match client.batch_execute("COMMIT").await {
            Ok(()) => Outcome::Done,
            Err(error) => match error.code().map(tokio_postgres::error::SqlState::code) {
                Some(code) if code.starts_with("57L") => Outcome::NotRun,
                _ => Outcome::Unknown,
            },
        }
    }

    async fn read(&self, client: &Caller, keys: Vec<u64>) {
        let sent_us = self.record.now_us();
        let text = format!(
            "SELECT key, value FROM pairs WHERE key IN ({}, {})",
            keys[0], keys[1]
        );
        if let Ok(rows) = client.query(&text, &[]).await {
            self.record
                .operations
                .borrow_mut()
                .push(Operation::Read(Read {
                    session: self.id,
                    keys,
                    rows: rows.iter().map(row).collect(),
                    sent_us,
                    max_age_us: None,
                }));
        }
    }
}

fn row(row: &tokio_postgres::Row) -> Row {
    let number = |column| u64::try_from(row.get::<_, i32>(column)).unwrap();
    Row {
        key: number(0),
        value: number(1),
    }
}

/// Kills the primary and the control leader at once. No session may miss its own writes through any
/// entry, no acknowledged transaction may be lost or doubled, and none may be there in part.
#[test]
fn history_is_whole_when_primary_and_leader_die() {
    run(async {
        let system = System::start(Options::default()).await;
        let client = system.connect(0, None).await.unwrap();
        client
            .batch_execute("CREATE TABLE pairs (key int PRIMARY KEY, value int)")
            .await
            .unwrap();
        let record = Rc::new(Record {
            started: Instant::now(),
            stop: Cell::new(false),
            done: Cell::new(0),
            operations: RefCell::default(),
        });
        let (primary, control) = (system.primary().await, leader(&system, LIMIT).await);
        let kills = [format!("target-{primary}"), format!("control-{control}")];
        // The sessions share the harness, which can then signal but not end its processes.
        let system = Rc::new(system);
        let sessions: Vec<_> = (1..=SESSIONS)
            .map(|id| {
                let (system, record) = (Rc::clone(&system), Rc::clone(&record));
                spawn_local(async move {
                    let session = Session {
                        id,
                        system: &system,
                        record: &record,
                        token: None,
                    };
                    session.run().await;
                })
            })
            .collect();
        let progress = async |what: &str| {
            let before = record.done.get();
            let enough = async || (record.done.get() >= before + PROGRESS).then_some(());
            eventually(what, 2 * LIMIT, enough).await;
        };
        progress("transactions before the failures").await;
        for name in &kills {
            system.signal(name, "-KILL");
        }
        progress("transactions after the failures").await;
        record.stop.set(true);
        for session in sessions {
            timeout(LIMIT, session)
                .await
                .expect("every session ends")
                .unwrap();
        }
        let reader = system.connect(1, None).await.unwrap();
        // A write makes the session read from a target that has everything before it.
        eventually("a last write", LIMIT, async || {
            reader
                .batch_execute("INSERT INTO log VALUES (-1, 'last')")
                .await
                .ok()
        })
        .await;
        let rows = reader
            .query("SELECT key, value FROM pairs", &[])
            .await
            .unwrap();
        let mut operations = record.operations.take();
        operations.push(Operation::Final(rows.iter().map(row).collect()));
        let violations = ::history::check(&operations);
        assert!(
            violations.is_empty(),
            "{} of {}: {violations:#?}",
            violations.len(),
            operations.len()
        );
    });
}

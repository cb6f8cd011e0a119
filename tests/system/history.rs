//! Sessions that move between entries while two failures happen at once; the history of all their
//! operations is checked.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use ::history::{Operation, Outcome, Read, Row, Write};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::caller::{Caller, eventually, token};
use crate::control::leader;
use crate::harness::{System, TIMEOUT};
use crate::run;
use crate::settings::Options;

const SESSIONS: u64 = 6;
/// Transactions of a session through one entry before it moves to the next entry.
const TRANSACTIONS_PER_ENTRY: u64 = 5;
/// Transactions that must be acknowledged before and after the failures.
const MIN_TRANSACTIONS: u64 = 60;
const RETRY_PAUSE: Duration = Duration::from_millis(5);

struct Record {
    started: Instant,
    stop: Cell<bool>,
    acknowledged: Cell<u64>,
    operations: RefCell<Vec<Operation>>,
}

impl Record {
    fn now_us(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_micros()).unwrap()
    }
}

/// A session that writes a new pair of keys in each transaction.
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
            let entry = usize::try_from((self.id + number / TRANSACTIONS_PER_ENTRY) % 3).unwrap();
            let Ok(client) = self.system.connect(entry, self.token.as_deref()).await else {
                sleep(RETRY_PAUSE).await;
                number += 1;
                continue;
            };
            for _ in 0..TRANSACTIONS_PER_ENTRY {
                number += 1;
                if !self.transact(&client, number).await || client.is_closed() {
                    break;
                }
            }
        }
    }

    /// Writes a pair in a transaction and reads it back. Returns false after an error.
    async fn transact(&mut self, client: &Caller, number: u64) -> bool {
        let value = self.id * 1_000_000 + number;
        let keys = vec![value * 2, value * 2 + 1];
        let outcome = self.write(client, value, &keys).await;
        let acknowledged = outcome == Outcome::Done;
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
        if !acknowledged {
            let _rolled_back = client.batch_execute("ROLLBACK").await;
            sleep(RETRY_PAUSE).await;
            return false;
        }
        self.record
            .acknowledged
            .set(self.record.acknowledged.get() + 1);
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
                    rows: rows.iter().map(decode_row).collect(),
                    sent_us,
                    max_age_us: None,
                }));
        }
    }
}

fn decode_row(row: &tokio_postgres::Row) -> Row {
    let number = |column| u64::try_from(row.get::<_, i32>(column)).unwrap();
    Row {
        key: number(0),
        value: number(1),
    }
}

/// Guards against sessions that miss their own writes through any entry, and against transactions
/// that are lost, doubled or stored in part, when primary and control leader are killed at once.
#[test]
fn history_is_consistent_when_primary_and_leader_die() {
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
            acknowledged: Cell::new(0),
            operations: RefCell::default(),
        });
        let (primary, control) = (system.primary().await, leader(&system, TIMEOUT).await);
        let processes = [format!("target-{primary}"), format!("control-{control}")];
        // The sessions share the harness, so that its processes can only be killed by a signal.
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
            let before = record.acknowledged.get();
            let has_progressed =
                async || (record.acknowledged.get() >= before + MIN_TRANSACTIONS).then_some(());
            eventually(what, 2 * TIMEOUT, has_progressed).await;
        };
        progress("transactions before the failures").await;
        for name in &processes {
            system.signal(name, "-KILL");
        }
        progress("transactions after the failures").await;
        record.stop.set(true);
        for session in sessions {
            timeout(TIMEOUT, session)
                .await
                .expect("every session ends")
                .unwrap();
        }
        let reader = system.connect(1, None).await.unwrap();
        // After its own write the session reads from a target that has all earlier writes.
        eventually("a last write", TIMEOUT, async || {
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
        operations.push(Operation::Final(rows.iter().map(decode_row).collect()));
        let violations = ::history::check(&operations);
        assert!(
            violations.is_empty(),
            "{} violations in {} operations: {violations:#?}",
            violations.len(),
            operations.len()
        );
    });
}

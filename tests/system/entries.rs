//! Failures, stops and restarts of entries.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::caller::{connect, eventually, value};
use crate::harness::{System, TIMEOUT};
use crate::load::{Load, Outcome, check, stored};
use crate::run;
use crate::settings::Options;

/// Longer than the lease of 1 s.
const SUSPENSION: Duration = Duration::from_secs(3);

/// Guards against an entry that was suspended and then acknowledges a write that the primary
/// answered meanwhile: its lease has expired, and the primary may have been replaced.
#[test]
fn resumed_entry_acknowledges_nothing() {
    run(async {
        let system = System::start(Options::default()).await;
        let writer = system.connect(0, None).await.unwrap();
        writer
            .execute("INSERT INTO log VALUES (1, 'before')", &[])
            .await
            .unwrap();
        let target = system.target(system.primary().await).await;
        // A row lock blocks the write until the entry is suspended.
        target
            .batch_execute("CREATE TABLE one (id int PRIMARY KEY, v int)")
            .await
            .unwrap();
        target
            .batch_execute("INSERT INTO one VALUES (1, 0)")
            .await
            .unwrap();
        target
            .batch_execute("BEGIN; UPDATE one SET v = 1 WHERE id = 1")
            .await
            .unwrap();
        let write = spawn_local(async move {
            writer
                .simple_query("UPDATE one SET v = v + 10 WHERE id = 1")
                .await
        });
        // The entry has one thread, so it answers this statement after it has forwarded the write.
        let other = system.connect(0, None).await.unwrap();
        eventually("the write waits on the primary", TIMEOUT, async || {
            value(&other, "SELECT 1").await.unwrap();
            (system.metric("entry", 0, "callers ").await == Some(2)).then_some(())
        })
        .await;
        system.suspend("entry-0");
        target.batch_execute("COMMIT").await.unwrap();
        let suspended_at = Instant::now();
        eventually("the write is done on the primary", SUSPENSION, async || {
            let v = value(&target, "SELECT v FROM one WHERE id = 1")
                .await
                .unwrap();
            (v.as_deref() == Some("11")).then_some(())
        })
        .await;
        tokio::time::sleep_until(suspended_at + SUSPENSION).await;
        system.resume("entry-0");
        let outcome = timeout(TIMEOUT, write)
            .await
            .expect("the write is answered")
            .unwrap();
        let outcome = Outcome::of(outcome);
        assert!(
            matches!(&outcome, Outcome::Refused(code) if code == "08007")
                || matches!(outcome, Outcome::Cut(_)),
            "{outcome:?}"
        );
    });
}

/// Guards against a killed entry whose open transactions are not rolled back, or whose end disturbs
/// callers of other entries.
#[test]
fn transaction_of_a_killed_entry_is_rolled_back() {
    run(async {
        let mut system = System::start(Options::default()).await;
        let load = Load::start(&system, &[1, 2]).await;
        let setup = system.connect(1, None).await.unwrap();
        setup
            .batch_execute("CREATE TABLE one (id int PRIMARY KEY, v int)")
            .await
            .unwrap();
        let caller = system.connect(0, None).await.unwrap();
        caller.batch_execute("BEGIN").await.unwrap();
        caller
            .execute("INSERT INTO one VALUES (1, 1)", &[])
            .await
            .unwrap();
        caller
            .execute("INSERT INTO log VALUES (-5, 'lost')", &[])
            .await
            .unwrap();
        system.kill("entry-0");
        // The key can be inserted once the transaction has been rolled back.
        eventually("the rollback", TIMEOUT, async || {
            setup
                .execute("INSERT INTO one VALUES (1, 2)", &[])
                .await
                .ok()
        })
        .await;
        load.progress("writes through the other entries", &[1, 2], 20, TIMEOUT)
            .await;
        let outcomes = load.stop().await;
        let failed = outcomes.values().find(|outcome| **outcome != Outcome::Done);
        assert_eq!(failed, None, "writes through other entries");
        let stored = stored(&system, 2).await;
        assert_eq!(stored.get(&-5), None);
        check(&outcomes, &stored);
    });
}

/// Guards against a graceful stop that interrupts open transactions, leaves idle callers without
/// the shutdown error, or does not end before its deadline.
#[test]
fn stopping_entry_finishes_open_transactions() {
    run(async {
        let mut system = System::start(Options::default()).await;
        let load = Load::start(&system, &[0, 1]).await;
        let mut idle = Vec::new();
        let mut open = Vec::new();
        for _ in 0..3 {
            idle.push(system.connect(0, None).await.unwrap());
            let caller = system.connect(0, None).await.unwrap();
            caller.batch_execute("BEGIN").await.unwrap();
            open.push(caller);
        }
        let started = Instant::now();
        system.signal("entry-0", "-TERM");
        eventually("the entry is stopping", TIMEOUT, async || {
            system.log("entry-0").contains("stopping").then_some(())
        })
        .await;
        for (id, caller) in open.iter().enumerate() {
            let insert = format!("INSERT INTO log VALUES ({}, 'open')", -10 - id as i32);
            caller
                .batch_execute(&insert)
                .await
                .expect("an open transaction continues");
            caller
                .batch_execute("COMMIT")
                .await
                .expect("an open transaction commits");
        }
        for caller in idle.iter().chain(&open) {
            let outcome = caller.outcome(caller.simple_query("SELECT 1").await).await;
            assert!(
                outcome.is_shutdown(),
                "a caller outside of transactions: {outcome:?}"
            );
        }
        let status = system
            .wait_for_exit("entry-0", Duration::from_secs(10))
            .await;
        assert_eq!(status.expect("the entry exits").code(), Some(0));
        let deadline = Duration::from_millis(Options::default().stop_timeout_ms);
        assert!(
            started.elapsed() < deadline,
            "the stop exceeded its deadline"
        );
        let outcomes = load.stop().await;
        let stored = stored(&system, 1).await;
        for id in [-10, -11, -12] {
            assert_eq!(stored.get(&id), Some(&1), "write of an open transaction");
        }
        let unknown = outcomes
            .values()
            .find(|o| **o == Outcome::Refused("08007".into()));
        assert_eq!(unknown, None, "a write with an unknown outcome");
        check(&outcomes, &stored);
    });
}

/// Guards against a rolling restart of the entries that interrupts statements of clients that
/// reconnect when an entry shuts down.
#[test]
fn rolling_restart_interrupts_no_statement() {
    run(async {
        let mut system = System::start(Options::default()).await;
        let addresses = [0, 1, 2].map(|i| system.address("entry", i));
        let stop = Rc::new(Cell::new(false));
        let count = Rc::new(Cell::new(0));
        let mut clients = Vec::new();
        for client in 0..6_i32 {
            let (stop, count) = (Rc::clone(&stop), Rc::clone(&count));
            clients.push(spawn_local(write_through_changing_entries(
                addresses, client, stop, count,
            )));
        }
        for i in 0..3 {
            let before = count.get();
            eventually("writes before the stop", TIMEOUT, async || {
                (count.get() >= before + 50).then_some(())
            })
            .await;
            let name = format!("entry-{i}");
            system.signal(&name, "-TERM");
            let status = system.wait_for_exit(&name, Duration::from_secs(10)).await;
            assert_eq!(status.expect("the entry exits").code(), Some(0));
            system.restart(&name);
            eventually("writes through the restarted entry", TIMEOUT, async || {
                let client = system.connect(i, None).await.ok()?;
                client
                    .batch_execute("INSERT INTO log VALUES (-1, 'up')")
                    .await
                    .ok()
            })
            .await;
        }
        stop.set(true);
        let mut writes = Writes::default();
        for client in clients {
            let client = timeout(TIMEOUT, client)
                .await
                .expect("the client stops")
                .unwrap();
            writes.done.extend(client.done);
            writes.refused.extend(client.refused);
        }
        let (done, refused) = (writes.done.len(), &writes.refused);
        assert!(
            done > 100,
            "too few writes: {done} acknowledged, refused {refused:?}"
        );
        let stored = stored(&system, 0).await;
        for id in writes.done {
            assert_eq!(stored.get(&id), Some(&1), "write {id}");
        }
        for (id, outcome) in writes.refused {
            assert_eq!(stored.get(&id), None, "write {id}: {outcome:?}");
        }
    });
}

/// Ids of acknowledged writes, and of writes that were refused without being run.
#[derive(Debug, Default)]
struct Writes {
    done: Vec<i32>,
    refused: Vec<(i32, Outcome)>,
}

/// Writes until `stop` is set; moves to the next entry whenever one shuts down.
async fn write_through_changing_entries(
    addresses: [SocketAddr; 3],
    client: i32,
    stop: Rc<Cell<bool>>,
    count: Rc<Cell<usize>>,
) -> Writes {
    let mut writes = Writes::default();
    let mut at = client as usize;
    let mut ids = client * 1_000_000..;
    while !stop.get() {
        at += 1;
        // An entry that is stopping or starting refuses connections; the next one is tried.
        let Ok(caller) = connect(addresses[at % 3], None).await else {
            sleep(Duration::from_millis(5)).await;
            continue;
        };
        while !stop.get() {
            let id = ids.next().unwrap();
            let write = format!("INSERT INTO log VALUES ({id}, 'roam')");
            match caller.outcome(caller.simple_query(&write).await).await {
                Outcome::Done => {
                    writes.done.push(id);
                    count.set(count.get() + 1);
                }
                // An entry that has just started has no lease.
                outcome if outcome.is_not_run() => {
                    writes.refused.push((id, outcome));
                    sleep(Duration::from_millis(5)).await;
                    break;
                }
                other => panic!("write {id}: {other:?}"),
            }
        }
    }
    writes
}

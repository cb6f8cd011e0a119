//! Failures and stops of entries.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::caller::{connect, eventually, value};
use crate::harness::{LIMIT, System};
use crate::load::{Load, Outcome, check, stored};
use crate::run;
use crate::settings::Options;

/// Longer than the lease of 1 s, as the brief of the test asks.
const FROZEN: Duration = Duration::from_secs(3);

/// An entry that was frozen must not acknowledge an answer that arrived meanwhile: its lease has
/// ended, and the primary may have been replaced.
#[test]
fn entry_that_wakes_acknowledges_nothing() {
    run(async {
        let system = System::start(Options::default()).await;
        let writer = system.connect(0, None).await.unwrap();
        writer
            .execute("INSERT INTO log VALUES (1, 'before')", &[])
            .await
            .unwrap();
        let target = system.target(system.primary().await).await;
        // A row lock keeps the write on its way until the entry is frozen.
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
        // Answered after the write's bytes, on the entry's one thread.
        let other = system.connect(0, None).await.unwrap();
        eventually("the write waits on the primary", LIMIT, async || {
            value(&other, "SELECT 1").await.unwrap();
            (system.metric("entry", 0, "callers ").await == Some(2)).then_some(())
        })
        .await;
        system.freeze("entry-0");
        target.batch_execute("COMMIT").await.unwrap();
        let frozen = Instant::now();
        eventually("the write is done on the primary", FROZEN, async || {
            let v = value(&target, "SELECT v FROM one WHERE id = 1")
                .await
                .unwrap();
            (v.as_deref() == Some("11")).then_some(())
        })
        .await;
        tokio::time::sleep_until(frozen + FROZEN).await;
        system.unfreeze("entry-0");
        let outcome = timeout(LIMIT, write).await.expect("an answer").unwrap();
        let outcome = Outcome::of(outcome);
        assert!(
            matches!(&outcome, Outcome::Refused(code) if code == "08007")
                || matches!(outcome, Outcome::Cut(_)),
            "{outcome:?}"
        );
    });
}

/// The death of an entry must roll its open transactions back, and must not disturb the callers of
/// other entries.
#[test]
fn killed_entry_leaves_nothing_of_a_transaction() {
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
        // The key is free once the transaction is rolled back.
        eventually("the rollback", LIMIT, async || {
            setup
                .execute("INSERT INTO one VALUES (1, 2)", &[])
                .await
                .ok()
        })
        .await;
        load.progress("writes through the other entries", &[1, 2], 20, LIMIT)
            .await;
        let outcomes = load.stop().await;
        let failed = outcomes.values().find(|outcome| **outcome != Outcome::Done);
        assert_eq!(failed, None, "a caller of another entry");
        let stored = stored(&system, 2).await;
        assert_eq!(stored.get(&-5), None);
        check(&outcomes, &stored);
    });
}

/// A stop must cut no statement: what has started is answered, idle callers are told to go, and the
/// process ends by itself before its deadline.
#[test]
fn stopping_entry_answers_what_has_started() {
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
        eventually("the load balancer is told", LIMIT, async || {
            system.log("entry-0").contains("stopping").then_some(())
        })
        .await;
        for (id, caller) in open.iter().enumerate() {
            let insert = format!("INSERT INTO log VALUES ({}, 'open')", -10 - id as i32);
            caller
                .batch_execute(&insert)
                .await
                .expect("an open transaction goes on");
            caller
                .batch_execute("COMMIT")
                .await
                .expect("an open transaction commits");
        }
        for caller in idle.iter().chain(&open) {
            let told = caller.outcome(caller.simple_query("SELECT 1").await).await;
            assert!(
                told.is_told_to_go(),
                "a caller between transactions: {told:?}"
            );
        }
        let status = system.exited("entry-0", Duration::from_secs(10)).await;
        assert_eq!(status.expect("it ends").code(), Some(0));
        let deadline = Duration::from_millis(Options::default().stop_timeout_ms);
        assert!(started.elapsed() < deadline, "it ends before its deadline");
        let outcomes = load.stop().await;
        let stored = stored(&system, 1).await;
        for id in [-10, -11, -12] {
            assert_eq!(stored.get(&id), Some(&1), "an open transaction");
        }
        let unknown = outcomes
            .values()
            .find(|o| **o == Outcome::Refused("08007".into()));
        assert_eq!(unknown, None, "a stop leaves no outcome open");
        check(&outcomes, &stored);
    });
}

/// A restart of every entry in turn must cut no statement of a client that connects again when it
/// is told to go.
#[test]
fn rolling_restart_cuts_no_statement() {
    run(async {
        let mut system = System::start(Options::default()).await;
        let addresses = [0, 1, 2].map(|i| system.address("entry", i));
        let stop = Rc::new(Cell::new(false));
        let count = Rc::new(Cell::new(0));
        let mut clients = Vec::new();
        for client in 0..6_i32 {
            let (stop, count) = (Rc::clone(&stop), Rc::clone(&count));
            clients.push(spawn_local(roam(addresses, client, stop, count)));
        }
        for i in 0..3 {
            let before = count.get();
            eventually("a load", LIMIT, async || {
                (count.get() >= before + 50).then_some(())
            })
            .await;
            let name = format!("entry-{i}");
            system.signal(&name, "-TERM");
            let status = system.exited(&name, Duration::from_secs(10)).await;
            assert_eq!(status.expect("it ends").code(), Some(0));
            system.restart(&name);
            eventually("the entry writes again", LIMIT, async || {
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
            let client = timeout(LIMIT, client).await.expect("an answer").unwrap();
            writes.done.extend(client.done);
            writes.refused.extend(client.refused);
        }
        let (done, refused) = (writes.done.len(), &writes.refused);
        assert!(
            done > 100,
            "there was a load: {done} done, refused {refused:?}"
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

/// Ids of writes that were acknowledged, and of writes that were refused as not run.
#[derive(Debug, Default)]
struct Writes {
    done: Vec<i32>,
    refused: Vec<(i32, Outcome)>,
}

/// Writes until told to stop, at the next entry whenever one tells it to go.
async fn roam(
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
        // An entry that is stopping or not up yet takes no connection; the balancer tries the next.
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
                // An entry that has just started has no lease yet.
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

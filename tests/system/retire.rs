//! Work that moves off targets which operators retire.

use std::process::{Command, Output};
use std::time::Duration;

use serde_json::Value;
use tokio::time::timeout;

use crate::caller::{eventually, token};
use crate::harness::{LIMIT, System};
use crate::load::{Load, Outcome, check, stored};
use crate::run;
use crate::settings::{Options, TOKEN};

const ALL: [usize; 3] = [0, 1, 2];
/// Time after which a leaving target gets no new work (promise P7).
const LEAVE: Duration = Duration::from_secs(2);

/// Runs an operator's command on a thread of its own, so that the callers of the test go on.
async fn operate(system: &System, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_limpettally"));
    for control in ALL {
        let address = system.address("control-http", control).to_string();
        command.args(["--control", &address]);
    }
    command
        .args(["--json"])
        .args(args)
        .env("LIMPETTALLY_TOKEN", TOKEN)
        .env("USER", "test");
    tokio::task::spawn_blocking(move || command.output().unwrap())
        .await
        .unwrap()
}

async fn accept(system: &System, args: &[&str]) {
    let output = operate(system, args).await;
    assert!(output.status.success(), "{args:?}: {output:?}");
}

/// Waits until the database is steady under another primary than the first.
async fn switched(system: &System) {
    eventually("the switch ends", LIMIT, async || {
        let output = operate(system, &["status"]).await;
        let status: Value = serde_json::from_slice(&output.stdout).ok()?;
        let database = &status["databases"][0];
        let moved = database["primary"]
            .as_str()
            .is_some_and(|primary| primary != "target-0");
        (database["phase"] == "steady" && moved).then_some(())
    })
    .await;
}

/// A planned change of primary must cut no request: every write through every entry is
/// acknowledged, and none is lost.
async fn no_request_is_cut(args: &[&str]) {
    let system = System::start(Options::default()).await;
    let load = Load::start(&system, &ALL).await;
    accept(&system, args).await;
    switched(&system).await;
    load.progress("writes after the switch", &ALL, 50, LIMIT)
        .await;
    let outcomes = load.stop().await;
    check(&outcomes, &stored(&system, 1).await);
    let cut: Vec<_> = outcomes
        .iter()
        .filter(|(_, outcome)| **outcome != Outcome::Done)
        .collect();
    assert!(
        cut.is_empty(),
        "{} of {} writes: {cut:?}",
        cut.len(),
        outcomes.len()
    );
}

#[test]
fn planned_switch_cuts_no_request() {
    run(no_request_is_cut(&["switch", "orders"]));
}

#[test]
fn draining_primary_hands_over_and_cuts_no_request() {
    run(no_request_is_cut(&["targets", "draining", "target-0"]));
}

/// A transaction that was open when the switch began must end as it would have without it, as long
/// as it ends within the hold; one that does not is told so and leaves nothing behind.
#[test]
fn open_transaction_is_done_or_leaves_nothing() {
    run(async {
        let system = System::start(Options::default()).await;
        let client = system.connect(1, None).await.unwrap();
        client
            .batch_execute("BEGIN; INSERT INTO log VALUES (1, 'open')")
            .await
            .unwrap();
        accept(&system, &["switch", "orders"]).await;
        let insert = client
            .batch_execute("INSERT INTO log VALUES (2, 'open')")
            .await;
        let commit = client.batch_execute("COMMIT").await;
        let done = insert.is_ok() && commit.is_ok();
        let unknown = commit
            .as_ref()
            .is_err_and(|error| error.code().is_some_and(|code| code.code() == "08007"));
        let stored = stored(&system, 2).await;
        let found = [1, 2].map(|id| stored.get(&id).copied().unwrap_or(0));
        if done {
            assert_eq!(found, [1, 1], "the transaction was acknowledged");
        } else if !unknown {
            assert_eq!(found, [0, 0], "insert: {insert:?}, commit: {commit:?}");
        } else {
            assert_eq!(found[0], found[1], "half of a transaction");
        }
    });
}

/// A leaving target must get no new work after 2 s. It is frozen then, so that work which went
/// there would not be answered.
#[test]
fn leaving_target_gets_no_new_work() {
    run(async {
        let system = System::start(Options::default()).await;
        let writer = system.connect(0, None).await.unwrap();
        writer
            .execute("INSERT INTO log VALUES (1, 'here')", &[])
            .await
            .unwrap();
        let session = token(&writer).await;
        accept(&system, &["targets", "leaving", "target-2"]).await;
        tokio::time::sleep(LEAVE).await;
        system.freeze("target-2");
        for entry in ALL {
            let reader = system.connect(entry, Some(&session)).await.unwrap();
            for round in 0..50 {
                let rows = reader.query("SELECT id FROM log WHERE id = 1", &[]);
                let rows = timeout(LIMIT, rows).await;
                let rows = rows.unwrap_or_else(|_| panic!("read {round} of entry {entry} hangs"));
                assert_eq!(rows.unwrap().len(), 1);
            }
        }
        system.unfreeze("target-2");
        accept(&system, &["targets", "retire", "target-2"]).await;
        writer
            .execute("INSERT INTO log VALUES (2, 'after')", &[])
            .await
            .unwrap();
    });
}

//! Planned switches, and targets that operators drain, mark as leaving or retire.

use std::process::{Command, Output};
use std::time::Duration;

use serde_json::Value;
use tokio::time::timeout;

use crate::caller::{eventually, token};
use crate::harness::{System, TIMEOUT};
use crate::load::{Load, Outcome, check, stored};
use crate::run;
use crate::settings::{Options, TOKEN};

const ENTRIES: [usize; 3] = [0, 1, 2];
/// Time after which a leaving target gets no new statements (promise P7).
const LEAVING_DELAY: Duration = Duration::from_secs(2);

/// Runs an operators' command on a thread of its own, so that the callers of the test go on.
async fn run_command(system: &System, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_limpettally"));
    for control in ENTRIES {
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

async fn run_accepted_command(system: &System, args: &[&str]) {
    let output = run_command(system, args).await;
    assert!(output.status.success(), "{args:?}: {output:?}");
}

/// Waits until the database is steady with a primary other than `old`, and returns that primary.
async fn wait_for_switch(system: &System, old: &str) -> String {
    eventually("the switch ends", TIMEOUT, async || {
        let output = run_command(system, &["status"]).await;
        let status: Value = serde_json::from_slice(&output.stdout).ok()?;
        let database = &status["databases"][0];
        let primary = database["primary"].as_str()?;
        let moved = database["phase"] == "steady" && primary != old;
        moved.then(|| primary.to_owned())
    })
    .await
}

/// Guards against a planned change of primary that fails or loses a write through any entry.
async fn switch_under_load(args: &[&str]) {
    let system = System::start(Options::default()).await;
    let load = Load::start(&system, &ENTRIES).await;
    run_accepted_command(&system, args).await;
    wait_for_switch(&system, "target-0").await;
    load.progress("writes after the switch", &ENTRIES, 50, TIMEOUT)
        .await;
    let outcomes = load.stop().await;
    check(&outcomes, &stored(&system, 1).await);
    let failed: Vec<_> = outcomes
        .iter()
        .filter(|(_, outcome)| **outcome != Outcome::Done)
        .collect();
    assert!(
        failed.is_empty(),
        "{} of {} writes failed: {failed:?}",
        failed.len(),
        outcomes.len()
    );
}

#[test]
fn planned_switch_fails_no_write() {
    run(switch_under_load(&["switch", "orders"]));
}

#[test]
fn drained_primary_is_replaced_without_a_failed_write() {
    run(switch_under_load(&["targets", "draining", "target-0"]));
}

/// Guards against a switch that stores an open transaction in part: it commits if it ends within
/// the hold, and otherwise fails and is rolled back.
#[test]
fn open_transaction_commits_or_is_rolled_back() {
    run(async {
        let system = System::start(Options::default()).await;
        let caller = system.connect(1, None).await.unwrap();
        caller
            .batch_execute("BEGIN; INSERT INTO log VALUES (1, 'open')")
            .await
            .unwrap();
        run_accepted_command(&system, &["switch", "orders"]).await;
        let insert = caller
            .batch_execute("INSERT INTO log VALUES (2, 'open')")
            .await;
        let commit = caller.batch_execute("COMMIT").await;
        let acknowledged = insert.is_ok() && commit.is_ok();
        let unknown = commit
            .as_ref()
            .is_err_and(|error| error.code().is_some_and(|code| code.code() == "08007"));
        let stored = stored(&system, 2).await;
        let rows = [1, 2].map(|id| stored.get(&id).copied().unwrap_or(0));
        if acknowledged {
            assert_eq!(rows, [1, 1], "rows of an acknowledged transaction");
        } else if !unknown {
            assert_eq!(rows, [0, 0], "insert: {insert:?}, commit: {commit:?}");
        } else {
            assert_eq!(
                rows[0], rows[1],
                "rows of a transaction that was stored in part"
            );
        }
    });
}

/// Guards against new statements on a target that has been leaving for 2 s. The target is suspended
/// then, so that such statements would hang.
#[test]
fn leaving_target_gets_no_new_statements() {
    run(async {
        let system = System::start(Options::default()).await;
        let writer = system.connect(0, None).await.unwrap();
        writer
            .execute("INSERT INTO log VALUES (1, 'here')", &[])
            .await
            .unwrap();
        let session = token(&writer).await;
        run_accepted_command(&system, &["targets", "leaving", "target-2"]).await;
        tokio::time::sleep(LEAVING_DELAY).await;
        system.suspend("target-2");
        for entry in ENTRIES {
            let reader = system.connect(entry, Some(&session)).await.unwrap();
            for round in 0..50 {
                let rows = reader.query("SELECT id FROM log WHERE id = 1", &[]);
                let rows = timeout(TIMEOUT, rows).await;
                let rows =
                    rows.unwrap_or_else(|_| panic!("read {round} through entry {entry} hangs"));
                assert_eq!(rows.unwrap().len(), 1);
            }
        }
        system.resume("target-2");
        run_accepted_command(&system, &["targets", "retire", "target-2"]).await;
        writer
            .execute("INSERT INTO log VALUES (2, 'after')", &[])
            .await
            .unwrap();
    });
}

/// Guards against an old primary that does not follow the new one after a planned switch: too few
/// replicas were left, and the change of primary after the next failure never completed.
#[test]
fn primary_fails_after_two_planned_switches() {
    run(async {
        let mut system = System::start(Options::default()).await;
        let load = Load::start(&system, &ENTRIES).await;
        let mut primary = "target-0".to_owned();
        for _ in 0..2 {
            // Refused while all replicas lag too far behind, as right after the previous switch.
            eventually("the switch is accepted", TIMEOUT, async || {
                let output = run_command(&system, &["switch", "orders"]).await;
                output.status.success().then_some(())
            })
            .await;
            primary = wait_for_switch(&system, &primary).await;
            load.progress("writes after the switch", &ENTRIES, 50, TIMEOUT)
                .await;
        }
        // The previous primary must follow the new one before the next failure.
        eventually("every replica follows the primary", TIMEOUT, async || {
            let output = run_command(&system, &["status"]).await;
            let status: Value = serde_json::from_slice(&output.stdout).ok()?;
            let targets = status["databases"][0]["targets"].as_array()?;
            let has_known_lag = |target: &Value| target["lag_bytes"].as_u64().is_some();
            targets.iter().all(has_known_lag).then_some(())
        })
        .await;
        system.kill(&primary);
        load.progress("writes after the failure", &ENTRIES, 20, TIMEOUT)
            .await;
        let outcomes = load.stop().await;
        check(&outcomes, &stored(&system, 1).await);
    });
}

//! Failures of the primary.

use crate::harness::{LIMIT, System};
use crate::load::{Load, check, stored};
use crate::run;
use crate::settings::Options;

const ALL: [usize; 3] = [0, 1, 2];

/// A healthy primary must stay: an entry that may not connect to it yet, as in the first lease
/// period of its enrolment, knows nothing of its silence.
#[test]
fn healthy_primary_is_not_replaced_after_the_start() {
    run(async {
        let system = System::start(Options::default()).await;
        let load = Load::start(&system, &ALL).await;
        // The first target is the primary that the settings name.
        assert_eq!(system.primary().await, 0);
        for control in 0..3 {
            let name = "failover_detect_seconds_count ";
            assert_eq!(system.metric("control", control, name).await, Some(0));
        }
        let outcomes = load.stop().await;
        check(&outcomes, &stored(&system, 1).await);
    });
}

/// A write that was acknowledged before the primary died must not be lost or doubled by the change
/// of primary, and a write that was refused as not run must not be there.
#[test]
fn killed_primary_loses_no_acknowledged_write() {
    run(async {
        let mut system = System::start(Options::default()).await;
        let load = Load::start(&system, &ALL).await;
        let primary = system.primary().await;
        system.kill(&format!("target-{primary}"));
        load.progress("writes after the change", &ALL, 20, LIMIT)
            .await;
        let outcomes = load.stop().await;
        check(&outcomes, &stored(&system, 1).await);
    });
}

/// A primary that wakes after its successor's promotion must not take writes that are then lost.
#[test]
fn old_primary_that_wakes_gets_no_write_acknowledged() {
    run(async {
        let system = System::start(Options::default()).await;
        let load = Load::start(&system, &ALL).await;
        let primary = format!("target-{}", system.primary().await);
        system.freeze(&primary);
        load.progress("writes after the promotion", &ALL, 20, LIMIT)
            .await;
        system.unfreeze(&primary);
        load.progress("writes beside the old primary", &ALL, 200, LIMIT)
            .await;
        let outcomes = load.stop().await;
        check(&outcomes, &stored(&system, 2).await);
    });
}

/// A transaction whose primary is killed between two statements must not look committed: its caller
/// has seen no error yet, and takes a COMMIT that succeeds for that of its writes.
#[test]
fn commit_of_a_lost_transaction_fails() {
    run(async {
        let mut system = System::start(Options::default()).await;
        let client = system.connect(1, None).await.unwrap();
        let begin = "BEGIN; INSERT INTO log VALUES (1, 'lost')";
        client.batch_execute(begin).await.unwrap();
        let primary = system.primary().await;
        system.kill(&format!("target-{primary}"));
        let commit = crate::caller::eventually("the loss is noticed", LIMIT, async || {
            // A statement that reaches the entry before it has noticed the loss gets an error too.
            Some(client.batch_execute("COMMIT").await)
        });
        let commit = commit.await.expect_err("the COMMIT of a lost transaction");
        let code = commit.code().map(|code| code.code().to_owned());
        assert!(
            matches!(code.as_deref(), Some("57L09" | "08007")),
            "{commit:?}"
        );
        // The caller is outside of any transaction again.
        let write = "INSERT INTO log VALUES (2, 'after')";
        crate::caller::eventually("a write after the change", LIMIT, async || {
            client.batch_execute(write).await.ok()
        })
        .await;
        assert_eq!(stored(&system, 2).await.get(&1), None);
    });
}

/// In a transaction whose target was lost, no later statement may run on its own: the caller would
/// take it for part of the transaction.
#[test]
fn statements_of_a_lost_transaction_do_not_run() {
    run(async {
        let mut system = System::start(Options::default()).await;
        let client = system.connect(1, None).await.unwrap();
        let begin = "BEGIN; INSERT INTO log VALUES (1, 'lost')";
        client.batch_execute(begin).await.unwrap();
        let load = Load::start(&system, &ALL).await;
        let primary = system.primary().await;
        system.kill(&format!("target-{primary}"));
        load.progress("writes after the change", &ALL, 20, LIMIT)
            .await;
        drop(load.stop().await);
        for (text, code) in [
            ("INSERT INTO log VALUES (-2, 'lost')", "57L09"),
            ("INSERT INTO log VALUES (-3, 'lost')", "25P02"),
            ("COMMIT; INSERT INTO log VALUES (-4, 'lost')", "25P02"),
        ] {
            let error = client.batch_execute(text).await.unwrap_err();
            assert_eq!(error.code().unwrap().code(), code, "{text}");
        }
        client.batch_execute("ROLLBACK").await.unwrap();
        let stored = stored(&system, 2).await;
        assert!(
            [-2, -3, -4].iter().all(|id| !stored.contains_key(id)),
            "{stored:?}"
        );
    });
}

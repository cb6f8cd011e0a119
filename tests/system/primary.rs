//! Failures of the primary.

use crate::harness::{System, TIMEOUT};
use crate::load::{Load, check, stored};
use crate::run;
use crate::settings::Options;

const ENTRIES: [usize; 3] = [0, 1, 2];

/// Guards against the replacement of a healthy primary after the start: an entry that may not
/// connect to it yet, as in the first lease period after its enrolment, can't tell whether it is
/// silent.
#[test]
fn healthy_primary_is_not_replaced_after_the_start() {
    run(async {
        let system = System::start(Options::default()).await;
        let load = Load::start(&system, &ENTRIES).await;
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

/// Guards against acknowledged writes that a change of primary loses or doubles, and against writes
/// that are stored although they were refused as not run.
#[test]
fn killed_primary_loses_no_acknowledged_write() {
    run(async {
        let mut system = System::start(Options::default()).await;
        let load = Load::start(&system, &ENTRIES).await;
        let primary = system.primary().await;
        system.kill(&format!("target-{primary}"));
        load.progress("writes after the change", &ENTRIES, 20, TIMEOUT)
            .await;
        let outcomes = load.stop().await;
        check(&outcomes, &stored(&system, 1).await);
    });
}

/// Guards against a resumed old primary that accepts writes which are then lost.
#[test]
fn resumed_old_primary_acknowledges_no_write() {
    run(async {
        let system = System::start(Options::default()).await;
        let load = Load::start(&system, &ENTRIES).await;
        let primary = format!("target-{}", system.primary().await);
        system.suspend(&primary);
        load.progress("writes after the promotion", &ENTRIES, 20, TIMEOUT)
            .await;
        system.resume(&primary);
        load.progress(
            "writes after the old primary resumed",
            &ENTRIES,
            200,
            TIMEOUT,
        )
        .await;
        let outcomes = load.stop().await;
        check(&outcomes, &stored(&system, 2).await);
    });
}

/// Guards against a successful COMMIT of a transaction whose primary was killed between two
/// statements: its caller has seen no error and would take its writes for committed.
#[test]
fn commit_of_a_lost_transaction_fails() {
    run(async {
        let mut system = System::start(Options::default()).await;
        let caller = system.connect(1, None).await.unwrap();
        let begin = "BEGIN; INSERT INTO log VALUES (1, 'lost')";
        caller.batch_execute(begin).await.unwrap();
        let primary = system.primary().await;
        system.kill(&format!("target-{primary}"));
        let commit = crate::caller::eventually("the COMMIT is answered", TIMEOUT, async || {
            // A COMMIT that reaches the entry before it has detected the loss fails too.
            Some(caller.batch_execute("COMMIT").await)
        });
        let commit = commit
            .await
            .expect_err("the COMMIT of a lost transaction must fail");
        let code = commit.code().map(|code| code.code().to_owned());
        assert!(
            matches!(code.as_deref(), Some("57L09" | "08007")),
            "{commit:?}"
        );
        // The caller's session is outside of a transaction again.
        let write = "INSERT INTO log VALUES (2, 'after')";
        crate::caller::eventually("a write after the change", TIMEOUT, async || {
            caller.batch_execute(write).await.ok()
        })
        .await;
        assert_eq!(stored(&system, 2).await.get(&1), None);
    });
}

/// Guards against statements after the loss of a transaction's target that run outside of it: the
/// caller would take them for part of the transaction.
#[test]
fn statements_of_a_lost_transaction_do_not_run() {
    run(async {
        let mut system = System::start(Options::default()).await;
        let caller = system.connect(1, None).await.unwrap();
        let begin = "BEGIN; INSERT INTO log VALUES (1, 'lost')";
        caller.batch_execute(begin).await.unwrap();
        let load = Load::start(&system, &ENTRIES).await;
        let primary = system.primary().await;
        system.kill(&format!("target-{primary}"));
        load.progress("writes after the change", &ENTRIES, 20, TIMEOUT)
            .await;
        drop(load.stop().await);
        for (text, code) in [
            ("INSERT INTO log VALUES (-2, 'lost')", "57L09"),
            ("INSERT INTO log VALUES (-3, 'lost')", "25P02"),
            ("COMMIT; INSERT INTO log VALUES (-4, 'lost')", "25P02"),
        ] {
            let error = caller.batch_execute(text).await.unwrap_err();
            assert_eq!(error.code().unwrap().code(), code, "{text}");
        }
        caller.batch_execute("ROLLBACK").await.unwrap();
        let stored = stored(&system, 2).await;
        assert!(
            [-2, -3, -4].iter().all(|id| !stored.contains_key(id)),
            "{stored:?}"
        );
    });
}

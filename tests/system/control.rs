//! Failures of control instances and of the links to them.

use std::time::Duration;

use crate::caller::{eventually, value};
use crate::harness::{System, TIMEOUT};
use crate::load::{Load, Outcome, check, stored};
use crate::run;
use crate::settings::Options;

const ENTRIES: [usize; 3] = [0, 1, 2];

pub async fn leader(system: &System, limit: Duration) -> usize {
    eventually("a control leader", limit, async || {
        for i in 0..3 {
            if system.metric("control", i, "control_leader ").await == Some(1) {
                return Some(i);
            }
        }
        None
    })
    .await
}

/// Guards against a repaired control instance that does not become a voter again: the next loss of
/// an instance would leave no quorum, and writes would stop.
#[test]
fn writes_continue_while_control_instances_are_lost_and_repaired() {
    run(async {
        let mut system = System::start(Options::default()).await;
        let load = Load::start(&system, &ENTRIES).await;

        let first_leader = leader(&system, TIMEOUT).await;
        system.kill(&format!("control-{first_leader}"));
        leader(&system, TIMEOUT).await;
        load.progress("writes after the leader's death", &ENTRIES, 50, TIMEOUT)
            .await;
        system.restart(&format!("control-{first_leader}"));
        load.progress("writes after its restart", &ENTRIES, 50, TIMEOUT)
            .await;
        eventually(
            "the restarted instance has caught up",
            TIMEOUT,
            async || {
                let revision = system
                    .metric("control", first_leader, "catalog_revision ")
                    .await;
                let second_leader = leader(&system, TIMEOUT).await;
                let leader_revision = system
                    .metric("control", second_leader, "catalog_revision ")
                    .await;
                (revision.is_some() && revision == leader_revision).then_some(())
            },
        )
        .await;

        let emptied = (leader(&system, TIMEOUT).await + 1) % 3;
        system.kill(&format!("control-{emptied}"));
        system.empty_disk(emptied);
        system.restart(&format!("control-{emptied}"));
        load.progress("writes after the loss of a disk", &ENTRIES, 50, TIMEOUT)
            .await;
        eventually(
            "the instance with the lost disk is a voter again",
            TIMEOUT,
            async || {
                let name = format!("control-{emptied}");
                let logs_promotion = |i| {
                    let log = system.log(&format!("control-{i}"));
                    let is_promotion =
                        |line: &str| line.contains("becomes a voter") && line.contains(&name);
                    log.lines().any(is_promotion)
                };
                (0..3).any(logs_promotion).then_some(())
            },
        )
        .await;

        // Once a later change is committed, the change of voters is committed too.
        let second_leader = leader(&system, TIMEOUT).await;
        let revision = async || {
            system
                .metric("control", second_leader, "catalog_revision ")
                .await
        };
        let revision_before = revision().await;
        let target = system.target(2).await;
        target
            .batch_execute("SELECT standin_fault('leaving', 1)")
            .await
            .unwrap();
        eventually("a change is committed", TIMEOUT, async || {
            (revision().await > revision_before).then_some(())
        })
        .await;
        assert_ne!(second_leader, emptied, "a learner leads");
        system.kill(&format!("control-{second_leader}"));
        leader(&system, TIMEOUT).await;
        load.progress("writes after the second loss", &ENTRIES, 50, TIMEOUT)
            .await;
        let outcomes = load.stop().await;
        check(&outcomes, &stored(&system, 0).await);
    });
}

/// Guards against an entry that acknowledges writes without a lease, as its primary may have been
/// replaced. Its reads and the other entries must not be affected.
#[test]
fn entry_without_control_refuses_writes_and_serves_reads() {
    run(async {
        let system = System::start(Options::default()).await;
        let load = Load::start(&system, &[1, 2]).await;
        let caller = system.connect(0, None).await.unwrap();
        caller
            .execute("INSERT INTO log VALUES (-2, 'cut')", &[])
            .await
            .unwrap();

        system.cut_control("entry-0", true);
        let mut acknowledged = 0;
        eventually("a refusal without a lease", TIMEOUT, async || {
            let write = format!("INSERT INTO log VALUES ({}, 'cut')", -1000 - acknowledged);
            match Outcome::of(caller.execute(&write, &[]).await) {
                Outcome::Done => {
                    acknowledged += 1;
                    None
                }
                Outcome::Refused(code) if code == "57L04" => Some(()),
                // The lease expired while the write was running.
                Outcome::Refused(code) if code == "08007" => None,
                other => panic!("{other:?}"),
            }
        })
        .await;
        for _ in 0..50 {
            let write = caller
                .execute("INSERT INTO log VALUES (-3, 'cut')", &[])
                .await;
            assert_eq!(Outcome::of(write), Outcome::Refused("57L04".into()));
            let read = value(&caller, "SELECT v FROM log WHERE id = -2").await;
            assert_eq!(read.unwrap().as_deref(), Some("cut"));
        }
        assert!(system.count(0, "refusals", "lease").await >= 50);
        load.progress("writes through the other entries", &[1, 2], 20, TIMEOUT)
            .await;

        system.cut_control("entry-0", false);
        eventually("writes after the link is restored", TIMEOUT, async || {
            let write = caller
                .execute("INSERT INTO log VALUES (-4, 'cut')", &[])
                .await;
            write.ok()
        })
        .await;
        let outcomes = load.stop().await;
        let stored = stored(&system, 1).await;
        assert_eq!(stored.get(&-3), None, "rows of a refused write");
        assert_eq!(stored.get(&-4), Some(&1));
        check(&outcomes, &stored);
    });
}

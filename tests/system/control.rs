//! Failures of control instances and of the links to them.

use std::time::Duration;

use crate::caller::{eventually, value};
use crate::harness::{LIMIT, System};
use crate::load::{Load, Outcome, check, stored};
use crate::run;
use crate::settings::Options;

const ALL: [usize; 3] = [0, 1, 2];

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

/// The loss of control instances, one after the other with a repair between, must not end writes:
/// a repaired instance that does not count again would leave no quorum after the next loss.
#[test]
fn writes_go_on_when_control_instances_are_lost_and_repaired() {
    run(async {
        let mut system = System::start(Options::default()).await;
        let load = Load::start(&system, &ALL).await;

        let first = leader(&system, LIMIT).await;
        system.kill(&format!("control-{first}"));
        leader(&system, LIMIT).await;
        load.progress("writes after the leader's death", &ALL, 50, LIMIT)
            .await;
        system.restart(&format!("control-{first}"));
        load.progress("writes after its restart", &ALL, 50, LIMIT)
            .await;
        eventually("the restarted instance is current", LIMIT, async || {
            let revision = system.metric("control", first, "catalog_revision ").await;
            let second = leader(&system, LIMIT).await;
            let wanted = system.metric("control", second, "catalog_revision ").await;
            (revision.is_some() && revision == wanted).then_some(())
        })
        .await;

        let emptied = (leader(&system, LIMIT).await + 1) % 3;
        system.kill(&format!("control-{emptied}"));
        system.empty_disk(emptied);
        system.restart(&format!("control-{emptied}"));
        load.progress("writes after the loss of a disk", &ALL, 50, LIMIT)
            .await;
        eventually("the emptied instance votes again", LIMIT, async || {
            let name = format!("control-{emptied}");
            let voter = |i| {
                let log = system.log(&format!("control-{i}"));
                let change = |line: &str| line.contains("becomes a voter") && line.contains(&name);
                log.lines().any(change)
            };
            (0..3).any(voter).then_some(())
        })
        .await;

        // The log has one order: a later change that is committed shows that the vote is too.
        let second = leader(&system, LIMIT).await;
        let revision = async || system.metric("control", second, "catalog_revision ").await;
        let before = revision().await;
        let target = system.target(2).await;
        target
            .batch_execute("SELECT standin_fault('leaving', 1)")
            .await
            .unwrap();
        eventually("a change is committed", LIMIT, async || {
            (revision().await > before).then_some(())
        })
        .await;
        assert_ne!(second, emptied, "a learner does not lead");
        system.kill(&format!("control-{second}"));
        leader(&system, LIMIT).await;
        load.progress("writes after the second loss", &ALL, 50, LIMIT)
            .await;
        let outcomes = load.stop().await;
        check(&outcomes, &stored(&system, 0).await);
    });
}

/// An entry that control can't reach must not acknowledge writes once its lease has ended, since
/// its primary may have been replaced; its reads and the other entries must not suffer.
#[test]
fn entry_without_control_refuses_writes_and_serves_reads() {
    run(async {
        let system = System::start(Options::default()).await;
        let load = Load::start(&system, &[1, 2]).await;
        let cut_off = system.connect(0, None).await.unwrap();
        cut_off
            .execute("INSERT INTO log VALUES (-2, 'cut')", &[])
            .await
            .unwrap();

        system.cut_control("entry-0", true);
        let mut done = 0;
        eventually("a refusal for the lease", LIMIT, async || {
            let write = format!("INSERT INTO log VALUES ({}, 'cut')", -1000 - done);
            match Outcome::of(cut_off.execute(&write, &[]).await) {
                Outcome::Done => {
                    done += 1;
                    None
                }
                Outcome::Refused(code) if code == "57L04" => Some(()),
                // The lease ended while the write was on its way.
                Outcome::Refused(code) if code == "08007" => None,
                other => panic!("{other:?}"),
            }
        })
        .await;
        for _ in 0..50 {
            let write = cut_off
                .execute("INSERT INTO log VALUES (-3, 'cut')", &[])
                .await;
            assert_eq!(Outcome::of(write), Outcome::Refused("57L04".into()));
            let read = value(&cut_off, "SELECT v FROM log WHERE id = -2").await;
            assert_eq!(read.unwrap().as_deref(), Some("cut"));
        }
        assert!(system.count(0, "refusals", "lease").await >= 50);
        load.progress("writes through the other entries", &[1, 2], 20, LIMIT)
            .await;

        system.cut_control("entry-0", false);
        eventually("writes after the healing", LIMIT, async || {
            let write = cut_off
                .execute("INSERT INTO log VALUES (-4, 'cut')", &[])
                .await;
            write.ok()
        })
        .await;
        let outcomes = load.stop().await;
        let stored = stored(&system, 1).await;
        assert_eq!(stored.get(&-3), None, "a refused write is there");
        assert_eq!(stored.get(&-4), Some(&1));
        check(&outcomes, &stored);
    });
}

//! Two failures at once, or the same one twice, under a load with checked writes.

use crate::caller::eventually;
use crate::control::leader;
use crate::harness::{System, TIMEOUT};
use crate::load::{Load, check, stored};
use crate::run;
use crate::settings::Options;

const ENTRIES: [usize; 3] = [0, 1, 2];

/// Guards against a premature promotion by a new control leader, which at first knows neither the
/// leases nor the reported silence of the primary.
#[test]
fn primary_and_control_leader_die_together() {
    run(async {
        let mut system = System::start(Options::default()).await;
        let load = Load::start(&system, &ENTRIES).await;
        let (primary, control) = (system.primary().await, leader(&system, TIMEOUT).await);
        system.kill(&format!("target-{primary}"));
        system.kill(&format!("control-{control}"));
        load.progress("writes after the change", &ENTRIES, 50, TIMEOUT)
            .await;
        let outcomes = load.stop().await;
        check(&outcomes, &stored(&system, 1).await);
    });
}

/// Guards against an entry that is suspended during a change of primary and then forwards answers
/// of the old primary under its lease of the old term.
#[test]
fn entry_is_suspended_while_the_primary_dies() {
    run(async {
        let mut system = System::start(Options::default()).await;
        let load = Load::start(&system, &ENTRIES).await;
        let primary = system.primary().await;
        system.suspend("entry-0");
        system.kill(&format!("target-{primary}"));
        load.progress("writes through the other entries", &[1, 2], 50, TIMEOUT)
            .await;
        system.resume("entry-0");
        load.progress("writes through all entries", &ENTRIES, 50, TIMEOUT)
            .await;
        let outcomes = load.stop().await;
        check(&outcomes, &stored(&system, 1).await);
    });
}

/// Guards against a resumed control leader that grants leases under outdated state. While it is
/// suspended, primary and an entry are killed, the entry restarts and another leader is elected.
#[test]
fn leader_is_suspended_while_primary_and_entry_die() {
    run(async {
        let mut system = System::start(Options::default()).await;
        let load = Load::start(&system, &[1, 2]).await;
        let (primary, control) = (system.primary().await, leader(&system, TIMEOUT).await);
        let suspended = format!("control-{control}");
        system.suspend(&suspended);
        system.kill(&format!("target-{primary}"));
        system.kill("entry-0");
        system.restart("entry-0");
        load.progress("writes after the change", &[1, 2], 50, TIMEOUT)
            .await;
        system.resume(&suspended);
        load.progress("writes after the old leader resumed", &[1, 2], 200, TIMEOUT)
            .await;
        let outcomes = load.stop().await;
        check(&outcomes, &stored(&system, 0).await);
    });
}

/// Guards against a failed second change of primary, while replicas still switch to the first
/// successor.
#[test]
fn primary_dies_twice() {
    run(async {
        let mut system = System::start(Options::default()).await;
        let load = Load::start(&system, &ENTRIES).await;
        let first = system.primary().await;
        system.kill(&format!("target-{first}"));
        load.progress("writes after the first change", &ENTRIES, 50, TIMEOUT)
            .await;
        // The platform would restart a killed target as a replica.
        let successor = system.primary_besides(first).await;
        system.restart_as_replica(first, successor);
        eventually(
            "the restarted target follows the primary",
            TIMEOUT,
            async || system.follows(first, successor).await.then_some(()),
        )
        .await;
        system.kill(&format!("target-{successor}"));
        load.progress("writes after the second change", &ENTRIES, 50, 2 * TIMEOUT)
            .await;
        let outcomes = load.stop().await;
        check(&outcomes, &stored(&system, 1).await);
    });
}

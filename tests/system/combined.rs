//! Two failures at once, or one twice, under a load whose every write is checked.

use crate::caller::eventually;
use crate::control::leader;
use crate::harness::{LIMIT, System};
use crate::load::{Load, check, stored};
use crate::run;
use crate::settings::Options;

const ALL: [usize; 3] = [0, 1, 2];

/// The leader that would replace the primary dies with it: the next leader knows neither the leases
/// nor the silence that was reported, and must not promote before both are known.
#[test]
fn primary_and_control_leader_die_together() {
    run(async {
        let mut system = System::start(Options::default()).await;
        let load = Load::start(&system, &ALL).await;
        let (primary, control) = (system.primary().await, leader(&system, LIMIT).await);
        system.kill(&format!("target-{primary}"));
        system.kill(&format!("control-{control}"));
        load.progress("writes after the change", &ALL, 50, LIMIT)
            .await;
        let outcomes = load.stop().await;
        check(&outcomes, &stored(&system, 1).await);
    });
}

/// An entry that is frozen through a change of primary holds a lease of the old term and answers of
/// the old primary: it must pass on none of them when it wakes.
#[test]
fn entry_is_frozen_while_the_primary_dies() {
    run(async {
        let mut system = System::start(Options::default()).await;
        let load = Load::start(&system, &ALL).await;
        let primary = system.primary().await;
        system.freeze("entry-0");
        system.kill(&format!("target-{primary}"));
        load.progress("writes through the others", &[1, 2], 50, LIMIT)
            .await;
        system.unfreeze("entry-0");
        load.progress("writes through all", &ALL, 50, LIMIT).await;
        let outcomes = load.stop().await;
        check(&outcomes, &stored(&system, 1).await);
    });
}

/// The primary and an entry die at once, the entry restarts, and the control leader is frozen until
/// another one leads: a leader that wakes must grant nothing under what it knew.
#[test]
fn leader_is_frozen_while_primary_and_entry_die() {
    run(async {
        let mut system = System::start(Options::default()).await;
        let load = Load::start(&system, &[1, 2]).await;
        let (primary, control) = (system.primary().await, leader(&system, LIMIT).await);
        let frozen = format!("control-{control}");
        system.freeze(&frozen);
        system.kill(&format!("target-{primary}"));
        system.kill("entry-0");
        system.restart("entry-0");
        load.progress("writes after the change", &[1, 2], 50, LIMIT)
            .await;
        system.unfreeze(&frozen);
        load.progress("writes beside the old leader", &[1, 2], 200, LIMIT)
            .await;
        let outcomes = load.stop().await;
        check(&outcomes, &stored(&system, 0).await);
    });
}

/// Two primaries in a row: the second change begins while replicas still follow the first.
#[test]
fn primary_dies_twice() {
    run(async {
        let mut system = System::start(Options::default()).await;
        let load = Load::start(&system, &ALL).await;
        let first = system.primary().await;
        system.kill(&format!("target-{first}"));
        load.progress("writes after the first change", &ALL, 50, LIMIT)
            .await;
        // A killed target comes back as a replica, as its platform would restart it.
        let present = system.primary_beside(first).await;
        system.restart_as_replica(first, present);
        eventually("the returned target follows", LIMIT, async || {
            system.follows(first, present).await.then_some(())
        })
        .await;
        system.kill(&format!("target-{present}"));
        load.progress("writes after the second change", &ALL, 50, 2 * LIMIT)
            .await;
        let outcomes = load.stop().await;
        check(&outcomes, &stored(&system, 1).await);
    });
}

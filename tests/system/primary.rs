//! Failures of the primary.

use crate::harness::{LIMIT, Options, System};
use crate::load::{Load, check, stored};
use crate::run;

const ALL: [usize; 3] = [0, 1, 2];

/// A write that was acknowledged before the primary died must not be lost or doubled by the change
/// of primary, and a write that was refused as not run must not be there.
#[test]
fn killed_primary_loses_no_acknowledged_write() {
    run(async {
        let mut system = System::start(Options::default()).await;
        let load = Load::start(&system, &ALL).await;
        system.kill("target-0");
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
        system.freeze("target-0");
        load.progress("writes after the promotion", &ALL, 20, LIMIT)
            .await;
        system.unfreeze("target-0");
        load.progress("writes beside the old primary", &ALL, 200, LIMIT)
            .await;
        let outcomes = load.stop().await;
        check(&outcomes, &stored(&system, 2).await);
    });
}

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

//! Guards against tenants that plan deltas lose, keep or show.

use proptest::collection::{btree_map, btree_set, vec};
use proptest::option;
use proptest::prelude::*;
use registry::Plan;
use registry::tenant::{Digest, Rate, Tenant};

fn tenant() -> impl Strategy<Value = Tenant> {
    let rate = (0.0..100.0_f64, 0.0..100.0_f64);
    let rate = option::of(rate.prop_map(|(rate, burst)| Rate::new(rate, burst).unwrap()));
    (btree_set(0..6_u8, 0..4), rate).prop_map(|(keys, rate)| Tenant {
        keys: keys
            .iter()
            .map(|key| Digest::of(&key.to_string()))
            .collect(),
        rate,
    })
}

fn plan(version: u64, tenants: &[(&str, &[&str])]) -> Plan {
    let tenant = |keys: &[&str]| Tenant {
        keys: keys.iter().map(|key| Digest::of(key)).collect(),
        rate: None,
    };
    let tenants = tenants
        .iter()
        .map(|(name, keys)| ((*name).to_owned(), tenant(keys)));
    Plan {
        version,
        tenants: tenants.collect(),
        ..Plan::default()
    }
}

proptest! {
    // A key that a delta leaves behind would still be served after it was withdrawn.
    #[test]
    fn deltas_lead_to_the_plan_itself(plans in vec(btree_map("[a-d]", tenant(), 0..4), 1..6)) {
        let mut applied = Plan::default();
        let mut last = Plan::default();
        for (version, tenants) in (1..).zip(plans) {
            let plan = Plan { version, tenants, ..Plan::default() };
            prop_assert!(applied.apply(plan.change_from(&last)).unwrap());
            prop_assert_eq!(&applied, &plan);
            // A proxy that has missed plans gets a whole plan in place of its own.
            let mut skipped = last;
            prop_assert!(skipped.apply(plan.change_from(&Plan::default())).unwrap());
            prop_assert_eq!(&skipped, &plan);
            last = plan;
        }
    }
}

// Unchanged tenants in a delta would make each plan change as large as the plan.
#[test]
fn delta_contains_only_changed_tenants() {
    let old = plan(
        1,
        &[
            ("dairy", &["k1", "k2"]),
            ("mill", &["k3"]),
            ("gone", &["k4"]),
        ],
    );
    let new = plan(2, &[("dairy", &["k2"]), ("mill", &["k3"])]);
    let change = new.change_from(&old);
    let names: Vec<&str> = change
        .tenants
        .iter()
        .map(|tenant| tenant.name.as_str())
        .collect();
    assert_eq!(names, ["dairy"]);
    assert_eq!(change.removed_tenants, ["gone"]);
}

// A plan that is applied in part could lack a withdrawal and still count as the new version.
#[test]
fn refuses_a_delta_with_a_broken_digest_and_keeps_the_plan() {
    let mut applied = plan(1, &[("dairy", &["k1"]), ("mill", &["k3"])]);
    let before = applied.clone();
    let mut change = plan(2, &[("dairy", &["k2"]), ("mill", &["k4"])]).change_from(&before);
    change.tenants[1].digests[0].pop();
    applied.apply(change).unwrap_err();
    assert_eq!(applied, before);
}

// A digest in a log allows guessing a weak key.
#[test]
fn debug_form_of_a_plan_shows_no_digest() {
    let shown = format!("{:?}", plan(1, &[("dairy", &["k1"])]));
    let digest = Digest::of("k1");
    let bytes = digest.as_bytes();
    assert!(
        shown.contains("dairy") && shown.contains("Digest(..)"),
        "{shown}"
    );
    assert!(
        !shown.contains(&format!("{}, {}", bytes[0], bytes[1])),
        "{shown}"
    );
}

//! Guards against unfair or wasteful distribution of connections; `random_events.rs` checks that
//! their sum stays within the limit.

use std::time::{Duration, Instant};

use lease::quota::{Allocator, Grant, Quota};
use rstest::rstest;
use types::Name;

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

/// The control leader, with one target that has a limit of 20 connections and a floor of 2.
struct Leader {
    allocator: Allocator,
    now: Instant,
    seq: u64,
}

impl Leader {
    fn new(instances: &[&str]) -> Self {
        let names: Vec<Name> = instances.iter().map(|text| name(text)).collect();
        let now = Instant::now();
        let mut allocator = Allocator::new(now, &names);
        allocator.set_limits(&name("t1"), 20, 2);
        Self {
            allocator,
            now,
            seq: 0,
        }
    }

    /// Sends a renewal that confirms grant `confirmed`, and returns the connections granted; none
    /// stands for the floor.
    fn renew(&mut self, instance_name: &str, confirmed: u64, demand: u32) -> Option<u32> {
        self.seq += 1;
        let instance = name(instance_name);
        let demand = [(name("t1"), demand)];
        self.allocator.on_renewal(&instance, 1, confirmed, &demand);
        let lease_grant = Grant {
            instance: &instance,
            boot: 1,
            seq: self.seq,
            deadline: self.now + Duration::from_millis(1001),
        };
        let mut out: Vec<Quota> = Vec::new();
        self.allocator.grant(self.now, &lease_grant, &mut out);
        out.first().map(|quota| quota.connections)
    }
}

#[rstest]
#[case::one_demands_all(&[40, 0, 0], &[16, 2, 2])]
#[case::all_demand_all(&[40, 40, 40], &[6, 7, 7])]
#[case::a_small_demand_is_met_and_the_rest_is_shared(&[4, 40, 40], &[4, 8, 8])]
fn connections_above_the_floors_are_split_fairly(#[case] demand: &[u32], #[case] expected: &[u32]) {
    let instances = ["e1", "e2", "e3"];
    let mut leader = Leader::new(&instances);
    let mut granted = vec![2; 3];
    // Connections have to be given up before others get them, so that it takes a few rounds until
    // the shares are final.
    for _ in 0..4 {
        for (index, instance) in instances.iter().enumerate() {
            let confirmed = leader.seq;
            granted[index] = leader
                .renew(instance, confirmed, demand[index])
                .unwrap_or(2);
        }
    }
    assert_eq!(granted, expected);
}

/// Granting connections that another instance may still be using would exceed the limit.
#[test]
fn growth_waits_until_the_reduction_is_confirmed_or_has_expired() {
    let mut leader = Leader::new(&["e1", "e2"]);
    assert_eq!(leader.renew("e1", 0, 40), Some(18));
    assert_eq!(
        leader.renew("e2", 0, 40),
        Some(2),
        "e1 has not given up any connection yet"
    );
    assert_eq!(leader.renew("e1", 1, 40), Some(10));
    assert_eq!(leader.renew("e2", 2, 40), Some(2));
    assert_eq!(
        leader.renew("e1", 3, 40),
        Some(10),
        "the share of e1 must stay at 10"
    );
    assert_eq!(leader.renew("e2", 4, 40), Some(10));
}

/// An instance that is gone must not keep its connections reserved for good.
#[test]
fn connections_of_a_silent_instance_are_available_after_its_deadline() {
    let mut leader = Leader::new(&["e1", "e2"]);
    assert_eq!(leader.renew("e1", 0, 40), Some(18));
    leader.now += Duration::from_millis(1000);
    assert_eq!(leader.renew("e2", 0, 40), Some(2));
    leader.now += Duration::from_millis(1);
    assert_eq!(leader.renew("e2", 2, 40), Some(18));
}

/// The earlier leader may have granted all connections.
#[test]
fn a_new_leader_grants_floors_until_the_grace_deadline() {
    let mut leader = Leader::new(&["e1", "e2"]);
    let grace_deadline = leader.now + Duration::from_millis(1001);
    leader.allocator = Allocator::new(grace_deadline, &[name("e1"), name("e2")]);
    leader.allocator.set_limits(&name("t1"), 20, 2);
    leader.allocator.enroll(&name("late"));
    assert_eq!(leader.renew("e1", 0, 40), Some(2));
    assert_eq!(
        leader.renew("late", 0, 40),
        Some(0),
        "no floor was reserved for a late instance"
    );
    leader.now = grace_deadline;
    assert_eq!(
        leader.renew("e1", 1, 40),
        Some(16),
        "all but the floors of the other two"
    );
}

/// Grants must stay small with ten thousand idle targets.
#[test]
fn a_target_is_not_named_while_the_floor_suffices() {
    let mut leader = Leader::new(&["e1", "e2"]);
    assert_eq!(leader.renew("e1", 0, 0), None);
    assert_eq!(leader.renew("e1", 0, 5), Some(5));
    assert_eq!(
        leader.renew("e1", 2, 0),
        Some(2),
        "a reduction has to be named"
    );
    assert_eq!(leader.renew("e1", 3, 0), None);
}

/// An instance that waits for its floor must get it: others must not take those connections.
#[test]
fn a_new_instance_waits_for_its_floor_which_stays_reserved() {
    let mut leader = Leader::new(&["e1", "e2"]);
    assert_eq!(leader.renew("e1", 0, 40), Some(18));
    leader.allocator.enroll(&name("late"));
    assert_eq!(
        leader.renew("late", 0, 1),
        Some(0),
        "no connection is free yet"
    );
    assert_eq!(leader.renew("e1", 1, 10), Some(10));
    assert_eq!(leader.renew("e1", 3, 10), Some(10));
    assert_eq!(
        leader.renew("e2", 0, 40),
        Some(8),
        "limit 20 minus 10 of e1 and the floor of 2"
    );
    assert_eq!(
        leader.renew("late", 2, 1),
        None,
        "the floor, which is not named"
    );
}

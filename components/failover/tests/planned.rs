//! Guards against lost writes and long holds in a planned switch.

mod support;

use failover::{Reason, Verdict};
use rstest::rstest;
use support::{FAILED, World, ms};
use types::Lsn;
use types::target::State;

fn is_held(world: &World) -> bool {
    world.database().holds_writes()
}

/// Runs until the fence with hold is committed.
fn begin(world: &mut World, state: State) {
    world.mark("t1", state);
    world.fenced = false;
    for _ in 0..50 {
        world.step();
        world.now += ms(20);
        if is_held(world) {
            return;
        }
    }
    panic!("no switch began: {:?}", world.database().phase());
}

#[rstest]
#[case(State::Draining)]
#[case(State::Leaving)]
fn a_primary_that_is_to_go_is_replaced_under_hold(#[case] state: State) {
    let mut world = World::new(1);
    begin(&mut world, state);
    let began = world.now;
    world.fenced = true;
    // Written by transactions that were open when the hold began; t2 is behind.
    world.server("t1").lsn = 130;
    world.server("t3").lsn = 130;
    while world.primary().is_none() {
        assert!(is_held(&world), "held writes would be refused");
        world.step();
        world.now += ms(20);
    }
    assert_eq!(world.primary(), Some(("t3", 2)));
    assert_eq!(world.database().history().starts()[1].1, Lsn(130));
    assert!(world.now - began < ms(500), "took {:?}", world.now - began);
}

/// Acknowledged writes end where the fence is complete; a position before that is not final.
#[test]
fn positions_before_the_fence_is_complete_are_not_final() {
    let mut world = World::new(1);
    begin(&mut world, State::Draining);
    world.run(200);
    world.server("t1").lsn = 150;
    world.fenced = true;
    world.run(60);
    assert_eq!(world.chosen(), None, "t2 and t3 are at 100");
    world.server("t3").lsn = 150;
    world.run(100);
    assert_eq!(world.primary(), Some(("t3", 2)));
}

/// Writers wait meanwhile: a replica that does not catch up must end the hold.
#[test]
fn a_hold_that_takes_too_long_is_undone_under_the_old_term() {
    let mut world = World::new(1);
    begin(&mut world, State::Draining);
    world.fenced = true;
    world.server("t1").lsn = 900;
    world.run(420);
    assert_eq!(world.primary(), Some(("t1", 1)));
    assert_eq!(world.reasons, [Reason::Undone]);
    assert!(world.promotions.is_empty());
    (world.server("t2").lsn, world.server("t3").lsn) = (900, 900);
    world.run(5_000);
    assert_eq!(world.primary(), Some(("t1", 1)), "no new hold at once");
    world.run(10_000);
    assert_eq!(world.primary(), Some(("t2", 2)));
}

/// A frozen entry keeps the fence incomplete; the hold ends all the same.
#[test]
fn a_hold_is_undone_when_the_fence_does_not_complete() {
    let mut world = World::new(1);
    begin(&mut world, State::Draining);
    world.run(420);
    assert_eq!(world.primary(), Some(("t1", 1)));
}

/// Re-opening a primary that is gone would help nobody: the change goes on as an unplanned one.
#[rstest]
#[case::failed(FAILED)]
#[case::not_known(Verdict::Unknown)]
fn a_switch_whose_primary_is_lost_goes_on_unplanned(#[case] verdict: Verdict) {
    let mut world = World::new(1);
    begin(&mut world, State::Draining);
    world.fenced = true;
    world.server("t1").up = false;
    world.server("t3").lsn = 120;
    world.verdict = verdict;
    world.run(1_200);
    assert_eq!(world.primary(), Some(("t3", 2)));
}

#[test]
fn a_new_leader_finishes_a_switch() {
    let mut world = World::new(1);
    begin(&mut world, State::Draining);
    world.elect();
    world.fenced = true;
    world.run(200);
    assert_eq!(world.primary(), Some(("t2", 2)));
}

/// A switch to a target that is itself to go, or a hold that is bound to run out, helps nobody.
#[rstest]
#[case::no_serving_replica(|w: &mut World| { w.mark("t2", State::Draining); w.mark("t3", State::Leaving) })]
#[case::replicas_far_behind(|w: &mut World| w.server("t1").lsn = 9_000)]
#[case::replicas_silent(|w: &mut World| { w.server("t2").up = false; w.server("t3").up = false })]
#[case::primary_not_known_to_be_healthy(|w: &mut World| w.verdict = Verdict::Unknown)]
fn no_switch_begins_without_a_prospect(#[case] alter: fn(&mut World)) {
    let mut world = World::new(1);
    alter(&mut world);
    world.mark("t1", State::Draining);
    world.run(3_000);
    assert_eq!(world.primary(), Some(("t1", 1)));
    assert_eq!(
        world.database().phase_since().0,
        5,
        "no fence was committed"
    );
}

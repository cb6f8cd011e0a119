//! Guards against lost writes and long holds in a planned switch.

mod support;

use failover::{Stall, Verdict};
use rstest::rstest;
use support::{FAILED, Simulation, ms};
use types::Lsn;
use types::target::State;

fn is_held(simulation: &Simulation) -> bool {
    simulation.database().holds_writes()
}

/// Runs until the fence that holds writes is committed.
fn start_switch(simulation: &mut Simulation, state: State) {
    simulation.set_state("t1", state);
    simulation.fenced = false;
    for _ in 0..50 {
        simulation.step();
        simulation.now += ms(20);
        if is_held(simulation) {
            return;
        }
    }
    panic!("no switch started: {:?}", simulation.database().phase());
}

#[rstest]
#[case(State::Draining)]
#[case(State::Leaving)]
fn a_draining_or_leaving_primary_is_replaced_while_writes_are_held(#[case] state: State) {
    let mut simulation = Simulation::new(1);
    start_switch(&mut simulation, state);
    let started = simulation.now;
    simulation.fenced = true;
    // Writes of transactions that were open when the hold began; t2 is behind.
    simulation.server("t1").lsn = 130;
    simulation.server("t3").lsn = 130;
    while simulation.primary().is_none() {
        assert!(
            is_held(&simulation),
            "writes would be refused instead of held"
        );
        simulation.step();
        simulation.now += ms(20);
    }
    assert_eq!(simulation.primary(), Some(("t3", 2)));
    assert_eq!(simulation.database().history().starts()[1].1, Lsn(130));
    assert!(
        simulation.now - started < ms(500),
        "took {:?}",
        simulation.now - started
    );
}

/// Writes are acknowledged until the fence is complete, so that an earlier position of the primary
/// is not its last one.
#[test]
fn positions_before_the_fence_is_complete_are_not_final() {
    let mut simulation = Simulation::new(1);
    start_switch(&mut simulation, State::Draining);
    simulation.run_ms(200);
    simulation.server("t1").lsn = 150;
    simulation.fenced = true;
    simulation.run_ms(60);
    assert_eq!(simulation.chosen(), None, "t2 and t3 are behind at 100");
    simulation.server("t3").lsn = 150;
    simulation.run_ms(100);
    assert_eq!(simulation.primary(), Some(("t3", 2)));
}

/// Callers wait while writes are held: if no replica catches up, the hold must end.
#[test]
fn a_hold_that_takes_too_long_is_undone_under_the_old_term() {
    let mut simulation = Simulation::new(1);
    start_switch(&mut simulation, State::Draining);
    simulation.fenced = true;
    simulation.server("t1").lsn = 900;
    simulation.run_ms(420);
    assert_eq!(simulation.primary(), Some(("t1", 1)));
    assert_eq!(simulation.stall_reasons, [Stall::SwitchUndone]);
    assert!(simulation.promotions.is_empty());
    (simulation.server("t2").lsn, simulation.server("t3").lsn) = (900, 900);
    simulation.run_ms(5_000);
    assert_eq!(
        simulation.primary(),
        Some(("t1", 1)),
        "a new hold started at once"
    );
    simulation.run_ms(10_000);
    assert_eq!(simulation.primary(), Some(("t2", 2)));
}

/// A frozen entry instance keeps the fence incomplete; the hold must end nevertheless.
#[test]
fn a_hold_is_undone_when_the_fence_does_not_complete() {
    let mut simulation = Simulation::new(1);
    start_switch(&mut simulation, State::Draining);
    simulation.run_ms(420);
    assert_eq!(simulation.primary(), Some(("t1", 1)));
}

/// Re-opening a primary that is gone would leave the database without one.
#[rstest]
#[case::failed(FAILED)]
#[case::unknown(Verdict::Unknown)]
fn a_switch_whose_primary_is_lost_becomes_a_failover(#[case] verdict: Verdict) {
    let mut simulation = Simulation::new(1);
    start_switch(&mut simulation, State::Draining);
    simulation.fenced = true;
    simulation.server("t1").up = false;
    simulation.server("t3").lsn = 120;
    simulation.verdict = verdict;
    simulation.run_ms(1_200);
    assert_eq!(simulation.primary(), Some(("t3", 2)));
}

/// A switch that ends with its leader would leave writes held.
#[test]
fn a_new_leader_finishes_a_switch() {
    let mut simulation = Simulation::new(1);
    start_switch(&mut simulation, State::Draining);
    simulation.elect_leader();
    simulation.fenced = true;
    simulation.run_ms(200);
    assert_eq!(simulation.primary(), Some(("t2", 2)));
}

/// A switch to a target that is leaving itself, or a hold that can only time out, delays writes for
/// nothing.
#[rstest]
#[case::no_serving_replica(|simulation: &mut Simulation| {
    simulation.set_state("t2", State::Draining);
    simulation.set_state("t3", State::Leaving)
})]
#[case::replicas_far_behind(|simulation: &mut Simulation| simulation.server("t1").lsn = 9_000)]
#[case::replicas_silent(|simulation: &mut Simulation| {
    simulation.server("t2").up = false;
    simulation.server("t3").up = false
})]
#[case::primary_not_known_to_be_healthy(|simulation: &mut Simulation| {
    simulation.verdict = Verdict::Unknown
})]
fn no_switch_starts_that_is_bound_to_fail(#[case] prepare: fn(&mut Simulation)) {
    let mut simulation = Simulation::new(1);
    prepare(&mut simulation);
    simulation.set_state("t1", State::Draining);
    simulation.run_ms(3_000);
    assert_eq!(simulation.primary(), Some(("t1", 1)));
    assert_eq!(
        simulation.database().phase_since().0,
        5,
        "no fence was committed"
    );
}

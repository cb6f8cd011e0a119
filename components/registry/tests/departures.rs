//! Guards against promoting a server that lacks commits which departed, restarted or paused servers had.

mod world;

use registry::Order;
use registry::failover::{Action, Command, Status};
use rstest::rstest;
use types::Point;
use types::target::Role;
use world::{SERVICE, World};

/// Checks that only the log of the old primary, which ends at `end`, ends the wait.
fn assert_waits_for_the_primary(world: &mut World, end: (u64, u64)) {
    world.advance(60_000);
    assert_eq!(world.last_choice(), None);
    world.step_down(end);
    assert_eq!(world.last_choice(), Some("p"));
}

// A replica that alone had acknowledged commits left just after the primary had crashed; the remaining
// one, which lacked them, was the only registered replica and was promoted.
#[test]
fn waits_for_the_primary_if_a_replica_has_departed() {
    let mut world = World::new();
    world.remove("r2");
    world.fail_primary();
    world.report_paused("r1", 4, (3, 95));
    assert_waits_for_the_primary(&mut world, (3, 97));
}

// Guards against promoting a server behind a replica that was paused and then left: its position
// was dropped with its registration.
#[test]
fn remembers_a_paused_replica_that_leaves() {
    let mut world = World::new();
    world.fail_primary();
    world.report_paused("r2", 4, (3, 97));
    world.remove("r2");
    world.report_paused("r1", 4, (3, 95));
    assert_waits_for_the_primary(&mut world, (3, 97));
}

// A paused replica that leaves has acknowledged nothing beyond its position.
#[test]
fn does_not_wait_if_a_paused_replica_that_left_had_no_more() {
    let mut world = World::new();
    world.fail_primary();
    world.report_paused("r2", 4, (3, 95));
    world.remove("r2");
    world.report_paused("r1", 4, (3, 95));
    assert_eq!(world.last_choice(), Some("r1"));
}

// A replica that restarts has lost its log and receives commits again: its pause is void.
#[test]
fn pauses_a_restarted_replica_again() {
    let mut world = World::new();
    world.fail_primary();
    world.report_paused("r2", 4, (3, 97));
    world.register_life("r2", Role::Replica, false, 2);
    world.actions.clear();
    world.report_paused("r1", 4, (3, 95));
    assert_eq!(world.last_choice(), None);
    let pause = Action::Command {
        id: "r2".to_owned(),
        command: Command::Pause(4),
    };
    assert!(world.actions.contains(&pause));
    world.report_paused("r2", 4, (0, 0));
    assert_eq!(
        world.last_choice(),
        None,
        "what it had before the restart is known and missing"
    );
}

// A replica that has restarted answers under its registered life until its first heartbeat arrives.
#[test]
fn ignores_the_position_of_a_server_that_may_have_restarted() {
    let mut world = World::new();
    world.unidentified.push("r2".to_owned());
    world.fail_primary();
    world.report_paused("r2", 4, (0, 0));
    world.report_paused("r1", 4, (3, 95));
    world.advance(1_000);
    assert_eq!(world.last_choice(), None);
    world.unidentified.clear();
    world.step();
    assert_eq!(world.last_choice(), Some("r1"));
}

// Guards against relying on the primary for ever after a replica was replaced in a release: the
// primary's next proof of leadership bounds what the departed replica had.
#[rstest]
#[case::has_what_the_primary_had((3, 90), Some("r1"))]
#[case::lacks_what_the_primary_had((3, 89), None)]
fn relies_on_replicas_again_once_the_primary_has_led_after_a_departure(
    #[case] received: (u64, u64),
    #[case] expected: Option<&str>,
) {
    let mut world = World::new();
    world.remove("r2");
    world.led_after_departures = true;
    world.step();
    let [Action::Cover(cover)] = world.actions[..] else {
        panic!("expected one cover, found {:?}", world.actions);
    };
    let service = SERVICE.to_owned();
    world.apply(&Order::Cover {
        service,
        until: cover.until,
        point: cover.point,
        term: cover.term,
    });
    world.fail_primary();
    world.report_paused("r1", 4, received);
    assert_eq!(world.last_choice(), expected);
}

// A proof of leadership that was asked for before the departure says nothing about what the departed
// replica acknowledged in between.
#[test]
fn does_not_cover_a_departure_with_an_earlier_proof() {
    let mut world = World::new();
    world.remove("r2");
    world.step();
    assert_eq!(world.actions, []);
}

// The chosen server was the most advanced one and was lost before its promotion; the others were
// taken for all replicas, since the choice was taken for the primary.
#[test]
fn does_not_choose_a_server_behind_an_earlier_choice() {
    let mut world = World::new();
    world.fail_primary();
    world.report_paused("r1", 4, (3, 95));
    world.report_paused("r2", 4, (3, 90));
    world.commit_choice();
    world.register("p", Role::Replica, false);
    world.remove("p");
    world.actions.clear();
    world.advance(4_100);
    let status = Status {
        role: Role::Replica,
        term: 3,
        received: Point::default(),
        paused: 4,
    };
    world
        .machine
        .on_answer("r2", Command::Status, Some(status), &mut world.actions);
    world.advance(700);
    world.report_paused("r2", 5, (3, 90));
    world.advance(60_000);
    assert_eq!(world.last_choice(), None);
}

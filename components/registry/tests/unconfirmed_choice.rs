//! Choices that are not confirmed yet: confirmation by heartbeats, and takeover by a new leader.

mod world;

use registry::Order;
use registry::failover::{Action, Command, Promotion, Status};
use types::target::Role;
use types::{Lsn, Point, Term};
use world::{SERVICE, World};

// A leader that fails during a failover leaves an unconfirmed choice. The next leader must not
// reuse its token, under which promotions of the old leader may still arrive.
#[test]
fn replaces_an_unconfirmed_choice_under_a_new_token() {
    let mut world = World::new();
    let choice = Order::Lead {
        service: SERVICE.to_owned(),
        id: "r1".to_owned(),
    };
    world.apply(&choice);
    let old_token = world.registry.revision();
    world.step();
    // The chosen server may be primary already; without an answer all positions are gathered.
    assert_eq!(world.machine.phase(), "recheck");
    world.advance(700);
    assert_eq!(world.machine.phase(), "gather");
    world.advance(500);
    world.report_paused("p", 4, (3, 90));
    world.report_paused("r2", 4, (3, 90));
    world.commit_choice();
    assert!(world.last_promotion().unwrap().1 > old_token);
}

/// Has r1 chosen and its promotion accepted by the platform.
fn accept_promotion_of_r1(world: &mut World) {
    world.fail_primary();
    world.advance(500);
    world.report_paused("r1", 4, (3, 90));
    world.report_paused("r2", 4, (3, 80));
    world.commit_choice();
    let (_, token) = world.last_promotion().unwrap();
    world
        .machine
        .on_promotion(world.now, token, Promotion::Accepted, &world.registry);
    world.actions.clear();
}

// An overloaded new primary left the verify command unanswered, and its promotion counted as failed
// after four seconds although its heartbeats reported the new role.
#[test]
fn confirms_an_unresponsive_new_primary_by_its_heartbeat() {
    let mut world = World::new();
    accept_promotion_of_r1(&mut world);
    world.advance(200);
    assert!(
        !world
            .actions
            .iter()
            .any(|action| matches!(action, Action::Confirm { .. }))
    );
    world.register("r1", Role::Primary, false);
    world.advance(100);
    assert!(
        world
            .actions
            .iter()
            .any(|action| matches!(action, Action::Confirm { .. }))
    );
}

// A server that reported to be primary already before the promotion proves nothing about the
// promotion with such a heartbeat.
#[test]
fn ignores_heartbeats_of_a_server_that_reported_primary_before_its_promotion() {
    let mut world = World::new();
    world.fail_primary();
    world.advance(500);
    world.report_paused("r1", 4, (3, 90));
    world.report_paused("r2", 4, (3, 80));
    world.register("r1", Role::Primary, false);
    world.commit_choice();
    let (_, token) = world.last_promotion().unwrap();
    world
        .machine
        .on_promotion(world.now, token, Promotion::Accepted, &world.registry);
    world.actions.clear();
    world.register("r1", Role::Primary, false);
    world.advance(100);
    assert!(
        !world
            .actions
            .iter()
            .any(|action| matches!(action, Action::Confirm { .. }))
    );
}

// A leader that took over during a failover paused the new primary again and waited for every
// replica: a service had no primary for 23 s because one replica had left.
#[test]
fn keeps_a_chosen_server_that_is_already_primary() {
    let mut world = World::new();
    let (service, id) = (SERVICE.to_owned(), "r1".to_owned());
    world.apply(&Order::Lead { service, id });
    world.step();
    let verify = Action::Command {
        id: "r1".to_owned(),
        command: Command::Verify,
    };
    assert_eq!(world.actions, [verify]);
    let status = Status {
        role: Role::Primary,
        term: 4,
        received: Point {
            term: Term(4),
            lsn: Lsn(91),
        },
        paused: 0,
    };
    world
        .machine
        .on_answer("r1", Command::Verify, Some(status), &mut world.actions);
    world.step();
    assert_eq!(world.last_choice(), Some("r1"));
    let old_token = world.registry.chosen_primary(SERVICE).unwrap().token;
    world.commit_choice();
    // A new token, so that a delayed promotion of the earlier leader is refused.
    assert!(world.last_promotion().unwrap().1 > old_token);
}

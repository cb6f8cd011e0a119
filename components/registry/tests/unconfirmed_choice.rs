//! Choices that are not confirmed yet: by the word of the new primary, and after a change of leader.

mod world;

use registry::Order;
use registry::failover::{Action, Command, Promotion, Status};
use types::target::Role;
use types::{Lsn, Point, Term};
use world::{SERVICE, World};

// A leader that was lost in the middle of a change leaves a choice without confirmation. Its token
// belongs to it; the next leader chooses under a new one.
#[test]
fn takes_up_an_unconfirmed_choice() {
    let mut world = World::new();
    let lead = Order::Lead {
        service: SERVICE.to_owned(),
        id: "r1".to_owned(),
    };
    world.apply(&lead);
    let old = world.registry.revision();
    world.step();
    // It may lead already; without an answer everything is gathered.
    assert_eq!(world.machine.phase(), "recheck");
    world.wait(700);
    assert_eq!(world.machine.phase(), "gather");
    world.wait(500);
    world.paused("p", 4, (3, 90));
    world.paused("r2", 4, (3, 90));
    world.commit_choice();
    assert!(world.promoted().unwrap().1 > old);
}

/// Gathers, chooses r1, and has the platform accept its promotion.
fn accepted_promotion(world: &mut World) {
    world.fail();
    world.wait(500);
    world.paused("r1", 4, (3, 90));
    world.paused("r2", 4, (3, 80));
    world.commit_choice();
    let (_, token) = world.promoted().unwrap();
    world
        .machine
        .on_promotion(world.now, token, Promotion::Accepted);
    world.actions.clear();
}

// A new primary that callers press had no answer for the question whether it leads, and its promotion was
// taken for failed after four seconds, although its heartbeats told that it led.
#[test]
fn confirms_by_the_word_of_a_new_primary_that_answers_nothing() {
    let mut world = World::new();
    accepted_promotion(&mut world);
    world.wait(200);
    assert!(
        !world
            .actions
            .iter()
            .any(|it| matches!(it, Action::Confirm { .. }))
    );
    world.register("r1", Role::Primary, false);
    world.wait(100);
    assert!(
        world
            .actions
            .iter()
            .any(|it| matches!(it, Action::Confirm { .. }))
    );
}

// A server that was taken for a primary before may have said so before it followed: its word says nothing
// of the promotion.
#[test]
fn confirms_by_no_word_of_a_server_that_was_taken_for_a_primary() {
    let mut world = World::new();
    world.fail();
    world.wait(500);
    world.paused("r1", 4, (3, 90));
    world.paused("r2", 4, (3, 80));
    world.register("r1", Role::Primary, false);
    world.commit_choice();
    let (_, token) = world.promoted().unwrap();
    world
        .machine
        .on_promotion(world.now, token, Promotion::Accepted);
    world.actions.clear();
    world.register("r1", Role::Primary, false);
    world.wait(100);
    assert!(
        !world
            .actions
            .iter()
            .any(|it| matches!(it, Action::Confirm { .. }))
    );
}

// A leader that took over in the middle of a change stopped the new primary again, and waited for every
// replica: a service had no primary for 23 s beside a replica that had left.
#[test]
fn keeps_a_chosen_server_that_leads_already() {
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
    assert_eq!(world.chosen(), Some("r1"));
    let old = world.registry.leader(SERVICE).unwrap().token;
    world.commit_choice();
    // Under a token of its own: a late order of the earlier leader is refused from then on.
    assert!(world.promoted().unwrap().1 > old);
}

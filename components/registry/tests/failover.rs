//! Changes of primary.

mod world;

use std::time::Duration;

use registry::Order;
use registry::failover::{Action, Command, Promotion, Status, Verdict};
use rstest::rstest;
use types::target::Role;
use types::{Lsn, Point, Term};
use world::{SERVICE, World};

#[test]
fn leaves_a_serving_primary_alone() {
    let mut world = World::new();
    world.step();
    world.wait(5000);
    assert_eq!(world.actions, []);
}

// A commit that one replica has received is acknowledged: any other replica would lose it.
#[rstest]
#[case::first((3, 90), (3, 80), "r1")]
#[case::second((3, 80), (3, 81), "r2")]
#[case::later_term((2, 500), (3, 1), "r2")]
fn promotes_the_most_advanced_replica(
    #[case] first: (u64, u64),
    #[case] second: (u64, u64),
    #[case] expected: &str,
) {
    let mut world = World::new();
    world.fail();
    world.paused("r1", 4, first);
    assert_eq!(world.chosen(), None);
    world.paused("r2", 4, second);
    assert_eq!(world.chosen(), Some(expected));
}

// The replica that does not answer may be the only one with the last commit.
#[test]
fn waits_for_a_replica_out_of_reach() {
    let mut world = World::new();
    world.fail();
    world.paused("r1", 4, (3, 90));
    world.wait(6000);
    assert_eq!(world.chosen(), None);
    world.silence = Duration::from_secs(13);
    world.wait(100);
    assert_eq!(world.chosen(), Some("r1"));
}

// A leaving replica takes its log with it; of equals one that stays is chosen.
#[test]
fn prefers_a_replica_that_stays() {
    let mut world = World::new();
    world.register("r1", Role::Replica, true);
    world.fail();
    world.paused("r1", 4, (3, 90));
    world.paused("r2", 4, (3, 90));
    assert_eq!(world.chosen(), Some("r2"));
}

// The most advanced log counts more than that its server stays.
#[test]
fn promotes_a_leaving_replica_that_alone_has_a_commit() {
    let mut world = World::new();
    world.register("r1", Role::Replica, true);
    world.fail();
    world.paused("r1", 4, (3, 91));
    world.paused("r2", 4, (3, 90));
    assert_eq!(world.chosen(), Some("r1"));
}

// An answer to a pause that the server ignored, as its term is newer, would count as stopped.
#[test]
fn raises_the_term_over_a_newer_one() {
    let mut world = World::new();
    world.fail();
    world.paused("r1", 4, (3, 90));
    let newer = Status {
        role: Role::Replica,
        term: 6,
        received: Point::default(),
        paused: 0,
    };
    world
        .machine
        .on_answer("r2", Command::Pause(4), Some(newer), &mut world.actions);
    world.actions.clear();
    world.step();
    let pause = |id: &str| Action::Command {
        id: id.to_owned(),
        command: Command::Pause(7),
    };
    assert!(world.actions.contains(&pause("r1")) && world.actions.contains(&pause("r2")));
    world.paused("r2", 7, (6, 1));
    assert_eq!(world.chosen(), None, "the first pause counts no more");
}

#[test]
fn confirms_once_the_server_leads() {
    let mut world = World::new();
    world.fail();
    world.paused("r1", 4, (3, 90));
    world.paused("r2", 4, (3, 90));
    world.commit_choice();
    let token = world.registry.revision();
    let (id, called) = world.promoted().unwrap();
    assert_eq!(called, token);
    let id = id.to_owned();
    let leads = Status {
        role: Role::Primary,
        term: 4,
        received: Point::default(),
        paused: 0,
    };
    let confirm = Action::Confirm { token };
    let verify = Command::Verify;
    world
        .machine
        .on_answer(&id, verify, Some(leads), &mut world.actions);
    assert!(!world.actions.contains(&confirm), "not accepted yet");
    world
        .machine
        .on_promotion(world.now, token, Promotion::Accepted);
    world
        .machine
        .on_answer(&id, verify, Some(leads), &mut world.actions);
    assert!(world.actions.contains(&confirm));
    let service = SERVICE.to_owned();
    world.apply(&Order::Confirm { service, token });
    world.verdict = Verdict::Serving;
    world.step();
    assert!(!world.machine.is_active());
}

// What was held against the new primary before it led must not replace it at once: between the
// proof that it leads and the commit of that, the machine is still at this change.
#[test]
fn keeps_a_new_primary_until_its_confirmation() {
    let mut world = World::new();
    world.fail();
    world.paused("r1", 4, (3, 90));
    world.paused("r2", 4, (3, 90));
    world.commit_choice();
    let token = world.registry.revision();
    let id = world.promoted().unwrap().0.to_owned();
    world
        .machine
        .on_promotion(world.now, token, Promotion::Accepted);
    let leads = Status {
        role: Role::Primary,
        term: 4,
        received: Point::default(),
        paused: 0,
    };
    world
        .machine
        .on_answer(&id, Command::Verify, Some(leads), &mut world.actions);
    world.actions.clear();
    world.wait(50);
    assert_eq!(world.machine.phase(), "promote");
}

// No answer does not mean that the promotion will not run: it is repeated as it was.
#[test]
fn repeats_an_unanswered_promotion_with_its_token() {
    let mut world = World::new();
    world.fail();
    world.paused("r1", 4, (3, 90));
    world.paused("r2", 4, (3, 90));
    world.commit_choice();
    let first = world
        .promoted()
        .map(|(id, token)| (id.to_owned(), token))
        .unwrap();
    world
        .machine
        .on_promotion(world.now, first.1, Promotion::Unknown);
    world.actions.clear();
    world.wait(700);
    let again = world.promoted().map(|(id, token)| (id.to_owned(), token));
    assert_eq!(again, Some(first));
}

// A refused promotion, or one without effect, is decided anew from what the replicas have then.
#[rstest]
#[case::refused(true)]
#[case::without_effect(false)]
fn gathers_anew(#[case] refused: bool) {
    let mut world = World::new();
    world.fail();
    world.paused("r1", 4, (3, 90));
    world.paused("r2", 4, (3, 90));
    world.commit_choice();
    let token = world.registry.revision();
    if refused {
        world
            .machine
            .on_promotion(world.now, token, Promotion::Refused);
        world.step();
    } else {
        world.wait(4100);
    }
    assert_eq!(world.machine.phase(), "gather");
}

#[rstest]
#[case::with_a_successor(false, true)]
#[case::all_leave(true, false)]
fn moves_off_a_draining_primary(#[case] all_drain: bool, #[case] expected: bool) {
    let mut world = World::new();
    world.register("p", Role::Primary, true);
    if all_drain {
        world.register("r1", Role::Replica, true);
        world.register("r2", Role::Replica, true);
    }
    world.step();
    assert_eq!(world.machine.is_active(), expected);
}

// The promotion of an unconfirmed choice may never have been asked for: the old primary still leads
// then, and a pause is nothing to it. It has to step down first.
#[test]
fn steps_down_a_primary_that_is_not_the_chosen_one() {
    let mut world = World::new();
    let lead = Order::Lead {
        service: SERVICE.to_owned(),
        id: "r1".to_owned(),
    };
    world.apply(&lead);
    world.step();
    world.wait(700);
    world.wait(500);
    let row = |role, paused| Status {
        role,
        term: 3,
        received: Point {
            term: Term(3),
            lsn: Lsn(95),
        },
        paused,
    };
    let answer = |world: &mut World, command, status| {
        world.actions.clear();
        world
            .machine
            .on_answer("p", command, Some(status), &mut world.actions);
        world.step();
    };
    let command = |command| Action::Command {
        id: "p".to_owned(),
        command,
    };
    answer(&mut world, Command::Pause(4), row(Role::Primary, 0));
    assert!(world.actions.contains(&command(Command::StepDown(4))));
    answer(&mut world, Command::StepDown(4), row(Role::Replica, 0));
    assert!(world.actions.contains(&command(Command::Pause(4))));
    answer(&mut world, Command::Pause(4), row(Role::Replica, 4));
    world.paused("r2", 4, (3, 90));
    assert_eq!(world.chosen(), Some("p"));
}

/// The old primary steps down and tells where its log ends.
fn step_down(world: &mut World, received: (u64, u64)) {
    let status = Status {
        role: Role::Replica,
        term: 3,
        received: Point {
            term: Term(received.0),
            lsn: Lsn(received.1),
        },
        paused: 0,
    };
    let command = Command::StepDown(4);
    world
        .machine
        .on_answer("p", command, Some(status), &mut world.actions);
    world.step();
}

// The log of a primary that has stepped down holds every commit that it acknowledged: a replica
// that is out of reach can't have more, and the service must not wait for it. An incident cost six
// seconds.
#[rstest]
#[case::replica_has_all((3, 95), Some("r1"))]
#[case::only_the_old_primary_has((3, 96), Some("p"))]
fn needs_no_other_replica_beside_a_primary_that_stepped_down(
    #[case] end: (u64, u64),
    #[case] expected: Option<&str>,
) {
    let mut world = World::new();
    world.fail();
    step_down(&mut world, end);
    world.paused("r1", 4, (3, 95));
    world.wait(1100);
    assert_eq!(world.chosen(), expected);
}

// While an earlier choice is unconfirmed another server may have led, and acknowledged commits.
#[test]
fn trusts_no_stepping_down_after_an_unconfirmed_choice() {
    let mut world = World::new();
    let lead = Order::Lead {
        service: SERVICE.to_owned(),
        id: "p".to_owned(),
    };
    world.apply(&lead);
    world.fail();
    step_down(&mut world, (3, 95));
    world.paused("r1", 4, (3, 95));
    world.wait(1100);
    assert_eq!(world.chosen(), None);
}

// A server that was started anew under its identity holds nothing of before; one that nobody saw
// lead may not have led.
#[rstest]
#[case::emptied(Some(Point { term: Term(3), lsn: Lsn(97) }))]
#[case::never_seen(None)]
fn trusts_only_the_log_of_a_primary_that_was_seen_to_lead(#[case] led: Option<Point>) {
    let mut world = World::new();
    world.led = led;
    world.fail();
    step_down(&mut world, (3, 95));
    world.paused("r1", 4, (3, 95));
    world.wait(1100);
    assert_eq!(world.chosen(), None);
}

// A primary that leaves is not chosen again where a replica could be awaited.
#[test]
fn does_not_choose_a_draining_primary_again() {
    let mut world = World::new();
    world.register("p", Role::Primary, true);
    world.step();
    world.wait(500);
    step_down(&mut world, (3, 96));
    world.paused("r1", 4, (3, 95));
    world.wait(1100);
    assert_eq!(world.chosen(), None);
}

// A leader that took over during a cut had not seen the primary lead. When the primary answered again and
// stepped down, its log was left out, and after the wait for a silent replica one that lacked its
// acknowledged commits was chosen.
#[test]
fn promotes_a_stepped_down_primary_that_alone_has_a_commit() {
    let mut world = World::new();
    world.led = None;
    world.fail();
    step_down(&mut world, (3, 95));
    world.paused("r1", 4, (3, 90));
    world.silence = Duration::from_secs(13);
    world.wait(2_000);
    assert_eq!(world.chosen(), Some("p"));
}

// Where the replicas that answer have all that it has, one of them leads.
#[test]
fn prefers_a_replica_to_a_stepped_down_primary_with_the_same_log() {
    let mut world = World::new();
    world.led = None;
    world.fail();
    step_down(&mut world, (3, 90));
    world.paused("r1", 4, (3, 90));
    world.silence = Duration::from_secs(13);
    world.wait(2_000);
    assert_eq!(world.chosen(), Some("r1"));
}

//! Drawn histories of a service: servers join, leave, fall silent, restart, receive nothing, are paused
//! and answer late, and leaders change, while commits go on.
//!
//! The check knows nothing of how a server is chosen. It compares the log of each server that the
//! platform promotes with the commits that were acknowledged before.

mod histories_support;

use histories_support::{Event, SERVERS, Simulation};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use registry::failover::Verdict;

/// Histories of each property; a multiple of it was drawn by hand.
const CASES: u32 = 3_000;

fn event() -> impl Strategy<Value = Event> {
    let server = 0..SERVERS;
    prop_oneof![
        10 => (1_u64..10).prop_map(|steps| Event::RunMs(steps * 100)),
        1 => Just(Event::RunMs(15_000)),
        10 => Just(Event::Commit),
        6 => (server.clone(), any::<bool>()).prop_map(|(index, on)| Event::Receive(index, on)),
        6 => (server.clone(), any::<bool>()).prop_map(|(index, on)| Event::Reach(index, on)),
        8 => server.clone().prop_map(Event::Heartbeat),
        3 => server.clone().prop_map(Event::Stop),
        4 => server.clone().prop_map(Event::Start),
        3 => server.prop_map(Event::Leave),
        3 => Just(Event::Verdict(Verdict::Failed)),
        2 => Just(Event::Verdict(Verdict::Serving)),
        1 => Just(Event::ElectLeader),
        2 => any::<bool>().prop_map(Event::AnswerPromotions),
    ]
}

fn config(cases: u32, seed: u64) -> Config {
    Config {
        cases,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config(CASES, 27))]

    // Guards against a choice that rests on the servers that happen to be registered, on silence, or
    // on positions of lives that have ended; and against a change that never ends.
    #[test]
    fn promoted_server_has_every_acknowledged_commit(
        events in proptest::collection::vec(event(), 1..60),
    ) {
        let mut simulation = Simulation::new(false);
        for event in events {
            simulation.apply(event);
        }
        simulation.check_ends();
    }
}

proptest! {
    #![proptest_config(config(CASES, 28))]

    // Guards against commits that a server acknowledges before control knows of it.
    #[test]
    fn promoted_server_has_commits_acknowledged_by_unregistered_servers(
        events in proptest::collection::vec(event(), 1..60),
    ) {
        let mut simulation = Simulation::new(true);
        for event in events {
            simulation.apply(event);
        }
    }
}

// A promotion that got no answer is carried out while a later choice is being made: the server leads
// and acknowledges commits after its position was read.
#[test]
fn late_promotion_of_an_earlier_choice_loses_no_commit() {
    let mut simulation = Simulation::new(false);
    for event in [
        Event::AnswerPromotions(false),
        Event::Verdict(Verdict::Failed),
        Event::RunMs(15_000),
        Event::RunLatePromotions,
        Event::Reach(0, false),
        Event::RunMs(15_000),
        Event::Start(3),
        Event::Commit,
        Event::Heartbeat(3),
        Event::RunLatePromotions,
    ] {
        simulation.apply(event);
    }
    simulation.check_ends();
}

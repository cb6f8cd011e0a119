//! Guards against lost acknowledged writes and a second primary in a failover.

mod support;

use catalog::Phase;
use failover::{Stage, Stall, Verdict};
use rstest::rstest;
use support::{FAILED, Log, Simulation, ms, name, position};
use types::target::State;
use types::{Lsn, Term};

/// A simulation whose primary has failed.
fn with_failed_primary(acks: u32) -> Simulation {
    let mut simulation = Simulation::new(acks);
    fail_primary(&mut simulation);
    simulation
}

fn fail_primary(simulation: &mut Simulation) {
    simulation.step();
    simulation.queried.clear();
    simulation.server("t1").up = false;
    simulation.verdict = FAILED;
}

/// Replicas that still follow the old primary would not acknowledge writes of the new one.
#[test]
fn a_failed_primary_is_replaced_and_the_other_targets_follow() {
    let mut simulation = Simulation::new(1);
    simulation.server("t3").lsn = 150;
    simulation.run_ms(100);
    assert_eq!(simulation.primary(), Some(("t1", 1)));
    fail_primary(&mut simulation);
    simulation.fenced = false;
    simulation.run_ms(200);
    assert!(
        simulation.queried.is_empty(),
        "positions are not final before the fence is complete"
    );
    simulation.fenced = true;
    simulation.run_ms(100);
    assert_eq!(simulation.primary(), Some(("t3", 2)));
    let starts = simulation.database().history().starts();
    assert_eq!(starts.last(), Some(&(Term(2), Lsn(150))));
    simulation.run_ms(600);
    assert!(
        simulation
            .follow_commands
            .contains(&(name("t2"), name("t3")))
    );
    // The old primary is needed as a replica for the next change; the command is repeated until it
    // answers.
    let follow_of_old_primary = (name("t1"), name("t3"));
    assert!(
        !simulation.follow_commands.contains(&follow_of_old_primary),
        "t1 is down"
    );
    simulation.server("t1").up = true;
    simulation.run_ms(600);
    assert!(simulation.follow_commands.contains(&follow_of_old_primary));
    let stages: Vec<Stage> = simulation
        .stage_durations
        .iter()
        .map(|(stage, _)| *stage)
        .collect();
    use Stage::{Detect, Fence, Promote, Publish};
    assert_eq!(stages, [Detect, Fence, Promote, Publish]);
    assert_eq!(
        (
            simulation.stage_durations[0].1,
            simulation.stage_durations[1].1
        ),
        (ms(310), ms(200))
    );
    assert_eq!(simulation.stall_reasons, []);
}

/// Watchers learn of a new primary with a delay, and a new leader starts without reports: silence
/// from before must not fence a healthy primary.
#[test]
fn no_failover_on_silence_reported_before_the_primary_was_healthy_or_had_time_to_be() {
    let mut simulation = Simulation::new(1);
    simulation.verdict = FAILED;
    simulation.run_ms(980);
    assert_eq!(simulation.primary(), Some(("t1", 1)));
    simulation.run_ms(100);
    assert_ne!(simulation.primary(), Some(("t1", 1)));
    let mut simulation = with_failed_primary(1);
    simulation.run_ms(20);
    assert_ne!(simulation.primary(), Some(("t1", 1)));
}

/// With two replicas of which one acknowledges each write, both must answer; if both acknowledge,
/// either covers all writes.
#[rstest]
#[case::one_ack_needs_both(1, None, Some(Stall::TooFewReplicas { needed: 2, valid: 1 }))]
#[case::two_acks_need_one(2, Some("t2"), None)]
#[case::no_acks_need_one(0, Some("t2"), None)]
fn no_replica_is_promoted_before_enough_have_answered(
    #[case] acks: u32,
    #[case] expected: Option<&str>,
    #[case] reason: Option<Stall>,
) {
    let mut simulation = with_failed_primary(acks);
    simulation.server("t3").up = false;
    simulation.run_ms(4_000);
    assert_eq!(simulation.primary().map(|(target, _)| target), expected);
    assert_eq!(simulation.stall_reasons, Vec::from_iter(reason));
    simulation.server("t3").up = true;
    simulation.server("t3").lsn = 500;
    simulation.run_ms(500);
    assert!(
        simulation.primary().is_some(),
        "no primary although the replica came back"
    );
}

/// With `write.acks` 0 no write is protected, but the most advanced replica loses the fewest.
#[test]
fn without_acks_the_choice_waits_briefly_for_more_answers() {
    let mut simulation = with_failed_primary(0);
    simulation.server("t3").up = false;
    simulation.run_ms(100);
    simulation.server("t3").up = true;
    simulation.server("t3").lsn = 500;
    simulation.run_ms(200);
    assert_eq!(simulation.primary(), Some(("t3", 2)));
}

/// A replica whose disk was emptied lacks writes that it had acknowledged.
#[test]
fn an_emptied_replica_is_not_chosen_and_does_not_count() {
    let mut simulation = with_failed_primary(1);
    simulation.server("t3").lsn = 0;
    simulation.run_ms(4_000);
    assert_eq!(
        simulation.stall_reasons,
        [Stall::TooFewReplicas {
            needed: 2,
            valid: 1
        }]
    );
    assert!(simulation.promotions.is_empty());
}

/// A greater lsn on a discarded tail or on an unknown term must not count as further progress.
#[rstest]
#[case::on_an_unknown_term(9, 900, true)]
#[case::promoted_by_hand(1, 900, false)]
fn a_replica_outside_the_history_does_not_count(
    #[case] term: u64,
    #[case] lsn: u64,
    #[case] recovering: bool,
) {
    let mut simulation = with_failed_primary(2);
    let server = simulation.server("t3");
    (server.term, server.lsn, server.recovering) = (term, lsn, recovering);
    simulation.run_ms(400);
    assert_eq!(simulation.primary(), Some(("t2", 2)));
}

/// An old primary that returned as a replica may be ahead of its successor by writes that the
/// promotion discarded.
#[test]
fn a_greater_lsn_on_a_discarded_tail_is_not_chosen() {
    let mut simulation = with_failed_primary(2);
    simulation.run_ms(400);
    assert_eq!(simulation.primary(), Some(("t2", 2)));
    (
        simulation.server("t1").up,
        simulation.server("t1").recovering,
    ) = (true, true);
    simulation.server("t1").lsn = 150;
    simulation.server("t3").up = false;
    simulation.run_ms(100);
    simulation.server("t2").up = false;
    simulation.run_ms(400);
    assert_eq!((simulation.primary(), simulation.chosen()), (None, None));
}

#[rstest]
#[case::same_failure_domain(&[], "t2")]
#[case::serving_before_failure_domain(&["t2"], "t3")]
#[case::draining_if_none_is_serving(&["t2", "t3"], "t2")]
fn equal_replicas_are_ordered_by_state_then_failure_domain_then_name(
    #[case] draining: &[&str],
    #[case] expected: &str,
) {
    let mut simulation = with_failed_primary(1);
    for target in draining {
        simulation.set_state(target, State::Draining);
    }
    simulation.run_ms(200);
    assert_eq!(simulation.primary(), Some((expected, 2)));
}

/// Choosing a serving replica that is behind would lose acknowledged writes. The draining replica
/// is replaced by a planned switch once the other has caught up.
#[test]
fn a_draining_replica_that_is_ahead_is_chosen_and_replaced_later() {
    let mut simulation = with_failed_primary(1);
    simulation.set_state("t2", State::Draining);
    simulation.server("t2").lsn = 200;
    simulation.run_ms(200);
    assert_eq!(simulation.primary(), Some(("t2", 2)));
    simulation.verdict = Verdict::Healthy;
    let t2 = *simulation.server("t2");
    *simulation.server("t3") = support::Server {
        recovering: true,
        ..t2
    };
    simulation.run_ms(1_000);
    assert_eq!(simulation.primary(), Some(("t3", 3)));
}

/// A new leader knows only the committed phase and may repeat what the old one sent. The steps are
/// fence, query, choice, promotion and opening; the last one may also be lost without a quorum.
#[rstest]
fn a_new_leader_completes_the_failover_from_each_phase(
    #[values(1, 2, 3, 4, 5)] steps: u64,
    #[values(true, false)] has_quorum: bool,
) {
    let mut simulation = with_failed_primary(1);
    simulation.run_ms((steps - 1) * 20);
    simulation.has_quorum = has_quorum;
    simulation.run_ms(20);
    assert_eq!(simulation.promotions.len(), usize::from(steps >= 4));
    simulation.has_quorum = true;
    simulation.elect_leader();
    simulation.run_ms(2_000);
    assert_eq!(simulation.primary(), Some(("t2", 2)));
    assert_eq!(simulation.promotions[&Term(2)].len(), 1);
    assert!(
        simulation
            .follow_commands
            .contains(&(name("t3"), name("t2")))
    );
}

/// The chosen target may have been promoted just before it was lost; promoting another one for the
/// same term would give two primaries.
#[test]
fn no_other_target_is_promoted_for_the_same_term() {
    let mut simulation = with_failed_primary(1);
    simulation.run_ms(60);
    assert_eq!(simulation.chosen(), Some("t2"));
    simulation.server("t2").up = false;
    simulation.elect_leader();
    simulation.run_ms(10_000);
    assert_eq!(simulation.chosen(), Some("t2"));
    assert_eq!(
        simulation.stall_reasons,
        [Stall::PromotionUnanswered(name("t2"))]
    );
    assert!(simulation.promotions.is_empty());
    simulation.server("t2").up = true;
    simulation.run_ms(600);
    assert_eq!(simulation.primary(), Some(("t2", 2)));
}

/// Positions are compared by term, which is the timeline, so that opening under another one would
/// make them incomparable.
#[test]
fn a_promotion_to_another_term_is_not_opened() {
    let mut simulation = with_failed_primary(2);
    simulation.run_ms(40);
    (
        simulation.server("t2").term,
        simulation.server("t2").recovering,
    ) = (5, false);
    simulation.run_ms(2_000);
    assert_eq!(simulation.chosen(), Some("t2"));
    assert_eq!(
        simulation.stall_reasons,
        [Stall::UnexpectedTerm(name("t2"), Term(5))]
    );
}

/// An answer to a query of an earlier phase may lack writes that were acknowledged since.
#[test]
fn a_late_answer_of_an_earlier_round_does_not_count() {
    let mut simulation = with_failed_primary(1);
    let round = simulation.database().phase_since();
    (simulation.server("t2").up, simulation.server("t3").up) = (false, false);
    simulation.run_ms(40);
    for target in ["t2", "t3"] {
        let early_answer = position(simulation.servers[target]);
        simulation
            .machine
            .on_position(simulation.now, &name(target), round, early_answer);
    }
    simulation.run_ms(1_000);
    assert!(matches!(
        simulation.database().phase(),
        Phase::Fenced { .. }
    ));
}

/// A target that answered and then died must not be chosen with its old answer.
#[test]
fn an_answer_expires_after_a_second() {
    let mut simulation = with_failed_primary(1);
    simulation.server("t3").up = false;
    simulation.run_ms(500);
    simulation.server("t2").up = false;
    simulation.run_ms(1_200);
    simulation.server("t3").up = true;
    simulation.run_ms(500);
    assert!(matches!(
        simulation.database().phase(),
        Phase::Fenced { .. }
    ));
}

/// With too few replicas, an old primary that lacks no write is better than none.
#[rstest]
#[case::with_all_writes(100, Some(("t1", 1)))]
#[case::behind_a_replica(90, None)]
fn an_old_primary_that_returns_is_reopened_only_with_all_writes(
    #[case] lsn: u64,
    #[case] expected: Option<(&str, u64)>,
) {
    let mut simulation = with_failed_primary(1);
    simulation.server("t3").up = false;
    simulation.run_ms(3_500);
    assert_eq!(simulation.primary(), None);
    (simulation.server("t1").up, simulation.server("t1").lsn) = (true, lsn);
    simulation.verdict = Verdict::Healthy;
    simulation.run_ms(200);
    assert_eq!(simulation.primary(), expected);
}

/// A fence would only delay the return of a database's only target.
#[test]
fn a_primary_without_replicas_is_not_fenced() {
    let mut simulation = Simulation::new(1);
    for target in ["t2", "t3"] {
        simulation.set_state(target, State::Leaving);
        simulation.log.retire(target);
    }
    fail_primary(&mut simulation);
    simulation.run_ms(1_000);
    assert_eq!(simulation.primary(), Some(("t1", 1)));
    assert_eq!(simulation.stall_reasons, [Stall::NoReplica]);
}

/// The same targets before a first primary is known.
fn without_primary() -> Simulation {
    let mut simulation = Simulation::new(1);
    simulation.log = Log::new();
    simulation.log.announce_all();
    simulation
}

/// With two targets that report to be the primary, opening either could fork the database.
#[test]
fn only_a_single_primary_is_adopted() {
    let mut simulation = without_primary();
    simulation.server("t1").term = 4;
    simulation.run_ms(200);
    assert_eq!(simulation.primary(), Some(("t1", 4)));
    let mut simulation = without_primary();
    simulation.server("t2").recovering = false;
    simulation.run_ms(4_000);
    assert_eq!(simulation.primary(), None);
    assert_eq!(simulation.stall_reasons, [Stall::NoSinglePrimary]);
}

/// An old primary that is the first to return is behind the replicas of its successor.
#[test]
fn a_single_primary_of_an_earlier_term_is_not_adopted() {
    let mut simulation = without_primary();
    simulation.server("t3").term = 2;
    simulation.run_ms(4_000);
    assert_eq!(simulation.primary(), None);
}

//! Commands of a change of primary that are late, repeated or out of order.

mod support;

use catalog::{Outcome, Phase};
use support::{Log, is_refused, name};
use types::target::Role;
use types::{Lsn, Revision, Term};

fn phase(log: &Log) -> &Phase {
    log.database().phase()
}

/// No target may take writes between the fence and the opening of the new primary.
#[test]
fn primary_change_goes_through_its_phases() {
    let mut log = Log::with_database();
    log.fence(2, true);
    let database = log.database();
    assert_eq!(database.writable_primary(), None);
    assert_eq!(database.phase_since(), Revision(log.revision));
    log.choose(2, "t3");
    // Without hold, entry instances would refuse the queued writes just before the new primary
    // opens.
    assert!(log.database().holds_writes());
    log.open(2, "t3", 70);
    let database = log.database();
    assert_eq!(database.writable_primary(), Some((&name("t3"), Term(2))));
    let terms = [(Term(1), Lsn(0)), (Term(2), Lsn(70))];
    assert_eq!(database.history().starts(), terms);
    assert!(!database.holds_writes());
}

/// With two choices for one term, two targets could be promoted.
#[test]
fn second_target_is_not_chosen_for_the_same_term() {
    let mut log = Log::with_database();
    log.fence(2, false);
    log.choose(2, "t2");
    assert!(is_refused(&log.choose(2, "t3")));
    assert!(is_refused(&log.open(2, "t3", 70)));
    assert!(is_refused(&log.fence(2, false)));
    assert!(is_refused(&log.fence(3, false)));
    let chosen = Phase::Chosen {
        term: Term(2),
        target: name("t2"),
    };
    assert_eq!(*phase(&log), chosen);
}

/// A deposed leader's commands may arrive after the change of primary has ended.
#[test]
fn commands_of_an_earlier_change_are_refused() {
    let mut log = Log::with_database();
    for outcome in [
        log.choose(2, "t2"),
        log.open(2, "t2", 1),
        log.fence(1, false),
        log.fence(3, false),
    ] {
        assert!(
            is_refused(&outcome),
            "{outcome:?} in phase steady of term 1"
        );
    }
    log.fence(2, false);
    assert!(is_refused(&log.choose(1, "t2")));
    assert!(is_refused(&log.choose(2, "t1")), "chose the old primary");
    assert!(is_refused(&log.choose(2, "t9")), "chose an unknown target");
    assert!(is_refused(&log.open(2, "t1", 5)), "opened before a choice");
}

/// A target whose disk was emptied between the choice and the promotion lacks acknowledged writes.
#[test]
fn term_does_not_begin_before_the_position_at_the_choice() {
    let mut log = Log::with_database();
    log.fence(2, false);
    log.choose(2, "t2");
    assert!(is_refused(&log.open(2, "t2", 49)));
    assert_eq!(log.open(2, "t2", 50), log.applied());
}

/// A repeated open must not move the position at which the term began.
#[test]
fn repeated_open_changes_nothing() {
    let mut log = Log::with_database();
    log.fence(2, false);
    log.choose(2, "t2");
    log.open(2, "t2", 70);
    assert_eq!(log.open(2, "t2", 90), Outcome::Unchanged);
    let last = log.database().history().starts().last();
    assert_eq!(last, Some(&(Term(2), Lsn(70))));
}

/// If a fence were undone after the choice, two targets could accept writes.
#[test]
fn fence_is_undone_only_before_the_choice() {
    let mut log = Log::with_database();
    log.fence(2, true);
    assert_eq!(log.open(1, "t1", 0), log.applied());
    // Term 1 continues, so its positions stay comparable.
    assert_eq!(log.database().history().starts().len(), 1);
    log.fence(2, true);
    log.choose(2, "t2");
    assert!(is_refused(&log.open(1, "t1", 0)));
}

/// A late command of a planned switch must not hold writes again once the switch became a failover.
#[test]
fn ended_hold_does_not_return() {
    let mut log = Log::with_database();
    log.fence(2, true);
    let since = log.database().phase_since();
    log.fence(2, false);
    let database = log.database();
    assert!(!database.holds_writes());
    assert_eq!(
        database.phase_since(),
        since,
        "the confirmations of the fence must stay valid"
    );
    assert!(is_refused(&log.fence(2, true)));
}

/// A higher `write.acks` just before a failure must not lower the number of replica answers that a
/// choice needs: entry instances acknowledged writes under the old value.
#[test]
fn min_acks_of_the_term_are_kept() {
    let mut log = Log::with_database();
    log.set_uncontested("uova", "write.acks", 2);
    assert_eq!(log.database().min_acks(), 1);
    log.fence(2, false);
    log.choose(2, "t2");
    log.open(2, "t2", 70);
    assert_eq!(log.database().min_acks(), 2);
    log.set_uncontested("uova", "write.acks", 0);
    assert_eq!(log.database().min_acks(), 2);
}

/// A new database has no primary to fence, but later ones may not be opened without a choice.
#[test]
fn first_primary_is_opened_without_a_fence() {
    let mut log = Log::new();
    log.announce("t1", Role::Primary);
    assert!(
        is_refused(&log.fence(1, false)),
        "fenced without a current term"
    );
    assert!(is_refused(&log.open(0, "t1", 5)));
    assert_eq!(log.open(7, "t1", 5), log.applied());
    assert!(
        is_refused(&log.open(8, "t1", 5)),
        "opened a second term without a choice"
    );
}

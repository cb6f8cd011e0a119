//! Guards against steps of a change of primary that are late, repeated or out of order.

mod support;

use catalog::{Outcome, Phase};
use support::{Log, is_refused, name};
use types::target::Role;
use types::{Lsn, Revision, Term};

fn phase(log: &Log) -> &Phase {
    log.database().phase()
}

#[test]
fn a_change_goes_through_its_phases() {
    let mut log = Log::with_database();
    log.fence(2, true);
    let database = log.database();
    assert_eq!(database.writable(), None);
    assert_eq!(database.since(), Revision(log.revision));
    log.choose(2, "t3");
    // Held writes would be refused just before the new primary opens.
    assert!(log.database().is_held());
    log.open(2, "t3", 70);
    let database = log.database();
    assert_eq!(database.writable(), Some((&name("t3"), Term(2))));
    let terms = [(Term(1), Lsn(0)), (Term(2), Lsn(70))];
    assert_eq!(database.history().starts(), terms);
    assert!(!database.is_held());
}

/// A second choice for one term could get two targets promoted.
#[test]
fn a_second_target_is_not_chosen_for_one_term() {
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

/// Steps of a deposed leader arrive after their change is over.
#[test]
fn steps_of_an_earlier_change_are_refused() {
    let mut log = Log::with_database();
    for outcome in [
        log.choose(2, "t2"),
        log.open(2, "t2", 1),
        log.fence(1, false),
        log.fence(3, false),
    ] {
        assert!(is_refused(&outcome), "{outcome:?} while steady in term 1");
    }
    log.fence(2, false);
    assert!(is_refused(&log.choose(1, "t2")));
    assert!(is_refused(&log.choose(2, "t1")), "the old primary");
    assert!(is_refused(&log.choose(2, "t9")), "no such target");
    assert!(is_refused(&log.open(2, "t1", 5)), "nothing was promoted");
}

/// A target whose disk was emptied between choice and promotion lacks acknowledged writes.
#[test]
fn a_term_does_not_begin_before_the_position_at_the_choice() {
    let mut log = Log::with_database();
    log.fence(2, false);
    log.choose(2, "t2");
    assert!(is_refused(&log.open(2, "t2", 49)));
    assert_eq!(log.open(2, "t2", 50), log.applied());
}

/// A repeated last step must not begin the term again at another position.
#[test]
fn opening_twice_changes_nothing() {
    let mut log = Log::with_database();
    log.fence(2, false);
    log.choose(2, "t2");
    log.open(2, "t2", 70);
    assert_eq!(log.open(2, "t2", 90), Outcome::Unchanged);
    let last = log.database().history().starts().last();
    assert_eq!(last, Some(&(Term(2), Lsn(70))));
}

/// Undoing after the choice would leave two writable targets.
#[test]
fn a_fence_is_undone_before_the_choice_only() {
    let mut log = Log::with_database();
    log.fence(2, true);
    assert_eq!(log.open(1, "t1", 0), log.applied());
    // Positions of term 1 stay comparable.
    assert_eq!(log.database().history().starts().len(), 1);
    log.fence(2, true);
    log.choose(2, "t2");
    assert!(is_refused(&log.open(1, "t1", 0)));
}

#[test]
fn a_hold_ends_and_does_not_come_back() {
    let mut log = Log::with_database();
    log.fence(2, true);
    let since = log.database().since();
    log.fence(2, false);
    let database = log.database();
    assert!(!database.is_held());
    assert_eq!(database.since(), since, "entries confirmed the fence");
    assert!(is_refused(&log.fence(2, true)));
}

/// A change of `write.acks` just before a failure must not lower the number of answers needed:
/// entries acknowledged writes under the old value.
#[test]
fn the_least_acks_of_the_term_count() {
    let mut log = Log::with_database();
    log.put("uova", "write.acks", 2);
    assert_eq!(log.database().acks(), 1);
    log.fence(2, false);
    log.choose(2, "t2");
    log.open(2, "t2", 70);
    assert_eq!(log.database().acks(), 2);
    log.put("uova", "write.acks", 0);
    assert_eq!(log.database().acks(), 2);
}

#[test]
fn the_first_primary_is_opened_without_a_fence() {
    let mut log = Log::new();
    log.announce("t1", Role::Primary);
    assert!(is_refused(&log.fence(1, false)), "there is no term to end");
    assert!(is_refused(&log.open(0, "t1", 5)));
    assert_eq!(log.open(7, "t1", 5), log.applied());
    assert!(is_refused(&log.open(8, "t1", 5)), "not without a promotion");
}

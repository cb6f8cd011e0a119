//! Targets: states that operators set, retirement, and floors that exceed a limit.

mod support;

use catalog::{Catalog, Command, Outcome};
use rstest::rstest;
use support::{Log, announcement, change, is_refused, name};
use types::Revision;
use types::target::{Role, State};

/// Of two operators who saw the same revision, the second must not overwrite the first's state.
#[test]
fn second_mark_with_an_equal_base_gets_a_conflict() {
    let mut log = Log::with_database();
    let base = log.revision;
    let first = log.mark("t2", State::Draining, change(base, "a"));
    let second = log.mark("t2", State::Leaving, change(base, "b"));
    assert_eq!(first, Outcome::Applied(Revision(base + 1)));
    assert!(matches!(second, Outcome::Conflict(winner) if winner.request.as_str() == "a"));
    assert_eq!(log.catalog.target("t2").unwrap().state(), State::Draining);
}

/// Targets repeat their announcements every second, which must not add entries to the log.
#[test]
fn only_new_or_changed_announcements_would_change_the_catalog() {
    let log = Log::with_database();
    let mut same = announcement("t1", Role::Primary);
    assert!(!log.catalog.would_change(&same));
    same.slots = 9;
    assert!(log.catalog.would_change(&same));
    assert!(log.catalog.would_change(&announcement("t9", Role::Replica)));
    let mut refused = announcement("t1", Role::Primary);
    refused.database = name("other");
    assert!(
        !log.catalog.would_change(&refused),
        "a refused announcement would be proposed again and again"
    );
}

/// An announcement does not carry the state that operators set, and must not reset it.
#[test]
fn announcement_keeps_the_marked_state() {
    let mut log = Log::with_database();
    log.mark("t2", State::Draining, change(log.revision, "a"));
    let mut changed = announcement("t2", Role::Replica);
    changed.slots = 9;
    log.apply(&Command::Announce(changed));
    assert_eq!(log.catalog.target("t2").unwrap().state(), State::Draining);
}

/// A target that announces leaving gets no work, until it announces the opposite.
#[test]
fn announced_leaving_applies_until_the_next_announcement() {
    let mut log = Log::with_database();
    let mut leaving = announcement("t2", Role::Replica);
    leaving.leaving = true;
    log.apply(&Command::Announce(leaving));
    assert_eq!(log.catalog.target("t2").unwrap().state(), State::Leaving);
    let changed = log.catalog.target("t2").unwrap().state_revision();
    assert_eq!(changed, Revision(log.revision));
    log.announce("t2", Role::Replica);
    assert_eq!(log.catalog.target("t2").unwrap().state(), State::Serving);
}

/// A decommissioned target whose platform still announces it must not get work again.
#[test]
fn retired_target_that_announces_itself_is_still_leaving() {
    let mut log = Log::with_database();
    assert!(is_refused(&log.retire("t2")), "retired a serving target");
    log.mark("t2", State::Leaving, change(log.revision, "a"));
    assert_eq!(log.retire("t2"), log.applied());
    assert_eq!(log.catalog.members("orders").count(), 2);
    assert_eq!(log.retire("t2"), Outcome::Unchanged);
    log.announce("t2", Role::Replica);
    assert_eq!(log.catalog.target("t2").unwrap().state(), State::Leaving);
}

/// A database whose primary is retired would have no target for its writes.
#[test]
fn primary_is_not_retired_while_it_has_replicas() {
    let mut log = Log::with_database();
    log.mark("t1", State::Leaving, change(log.revision, "a"));
    assert!(is_refused(&log.retire("t1")));
}

/// Retiring a replica during a change of primary would lower the number of replica answers needed.
#[test]
fn no_target_is_retired_during_a_primary_change() {
    let mut log = Log::with_database();
    log.mark("t2", State::Leaving, change(log.revision, "a"));
    log.fence(2, false);
    assert!(is_refused(&log.retire("t2")));
}

/// A target's log positions belong to the term history of one database.
#[rstest]
#[case::database(|a: &mut types::target::Announcement| a.database = name("other"))]
#[case::group(|a: &mut types::target::Announcement| a.group = name("g2"))]
#[case::service(|a: &mut types::target::Announcement| a.service = name("other"))]
fn target_does_not_move_to_another_database_group_or_service(
    #[case] move_target: fn(&mut types::target::Announcement),
) {
    let mut log = Log::with_database();
    let mut moved = announcement("t2", Role::Replica);
    move_target(&mut moved);
    assert!(is_refused(&log.apply(&Command::Announce(moved))));
}

fn log_with_entries(count: u32) -> Log {
    let mut log = Log::with_database();
    for index in 0..count {
        log.enroll(&format!("e{index}"));
    }
    log
}

/// Floors need no lease, so with one entry instance too many, disconnected entry instances would
/// exceed the connection limit.
#[test]
fn enrollment_is_refused_when_floors_would_exceed_a_limit() {
    let mut log = log_with_entries(17);
    let Outcome::Refused(findings) = log.enroll("late") else {
        panic!("18 floors of 2 exceed the limit of 35")
    };
    assert_eq!(
        findings.len(),
        3,
        "one finding for each target: {findings:?}"
    );
    assert!(findings[0].path.ends_with("/g1/t1"));
    assert!(!log.catalog.is_enrolled("late"));
    assert_eq!(log.enroll("e3"), Outcome::Unchanged);
    let instance = name("e3");
    log.apply(&Command::Dismiss { instance });
    assert_eq!(log.enroll("late"), log.applied());
}

/// The floors must also fit when the floor or the limit changes.
#[rstest]
#[case("connections.floor", 5)]
#[case("connections.limit", 15)]
fn setting_and_announcement_are_refused_when_floors_would_exceed_a_limit(
    #[case] key: &str,
    #[case] value: u32,
) {
    let mut log = log_with_entries(8);
    let before = log.catalog.clone();
    assert!(is_refused(&log.set_uncontested("uova", key, value)));
    assert_eq!(
        log.catalog.organisation_values(),
        before.organisation_values()
    );
    let mut small = announcement("t2", Role::Replica);
    small.connections = 15;
    assert!(is_refused(&log.apply(&Command::Announce(small))));
}

/// A follower that restores a snapshot must apply later commands with the same outcomes as the
/// others.
#[test]
fn restored_snapshot_equals_its_source_and_stays_equal() {
    let mut log = log_with_entries(3);
    log.set_uncontested("uova/sicilia-est", "write.acks", 2);
    log.set_uncontested("uova", "slots", 4);
    log.set("uova", "slots", None, change(log.revision, "none"));
    log.set("uova", "slots", Some(6), change(1, "conflict"));
    log.mark("t3", State::Leaving, change(log.revision, "m"));
    log.retire("t3");
    log.mark("t9", State::Leaving, change(log.revision, "refused"));
    log.mark("t2", State::Draining, change(log.revision, "d"));
    log.fence(2, true);
    log.choose(2, "t2");
    let mut bytes = Vec::new();
    log.catalog.encode(&mut bytes).unwrap();
    let catalog = Catalog::decode(&bytes).unwrap();
    assert_eq!(catalog, log.catalog);
    let revision = log.revision;
    let mut restored = Log { catalog, revision };
    assert_eq!(restored.open(2, "t2", 70), log.open(2, "t2", 70));
    assert_eq!(restored.catalog, log.catalog);
    for end in 0..bytes.len() {
        Catalog::decode(&bytes[..end]).unwrap_err();
    }
}

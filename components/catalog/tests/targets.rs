//! Guards against lost marks, targets that come back, and floors that exceed a limit.

mod support;

use catalog::{Catalog, Command, Outcome};
use rstest::rstest;
use support::{Log, announcement, change, is_refused, name};
use types::Revision;
use types::target::{Role, State};

/// The second operator must learn that the first has already decided otherwise.
#[test]
fn of_two_operators_marking_a_target_the_second_gets_a_conflict() {
    let mut log = Log::with_database();
    let base = log.revision;
    let first = log.mark("t2", State::Draining, change(base, "a"));
    let second = log.mark("t2", State::Leaving, change(base, "b"));
    assert_eq!(first, Outcome::Applied(Revision(base + 1)));
    assert!(matches!(second, Outcome::Conflict(w) if w.request.as_str() == "a"));
    assert_eq!(log.catalog.target("t2").unwrap().state(), State::Draining);
}

/// A repeated announcement every second must not fill the log.
#[test]
fn only_a_new_or_changed_announcement_is_news() {
    let log = Log::with_database();
    let mut same = announcement("t1", Role::Primary);
    assert!(!log.catalog.is_news(&same));
    same.slots = 9;
    assert!(log.catalog.is_news(&same));
    assert!(log.catalog.is_news(&announcement("t9", Role::Replica)));
    let mut refused = announcement("t1", Role::Primary);
    refused.database = name("other");
    assert!(!log.catalog.is_news(&refused), "would be proposed for ever");
}

/// An announcement says nothing of the operators' mark and must not reset it.
#[test]
fn an_announcement_keeps_the_mark() {
    let mut log = Log::with_database();
    log.mark("t2", State::Draining, change(log.revision, "a"));
    let mut changed = announcement("t2", Role::Replica);
    changed.slots = 9;
    log.apply(&Command::Announce(changed));
    assert_eq!(log.catalog.target("t2").unwrap().state(), State::Draining);
}

/// The owner's word is enough to keep work away, and ends with the next announcement.
#[test]
fn an_owner_may_announce_leaving() {
    let mut log = Log::with_database();
    let mut leaving = announcement("t2", Role::Replica);
    leaving.leaving = true;
    log.apply(&Command::Announce(leaving));
    assert_eq!(log.catalog.target("t2").unwrap().state(), State::Leaving);
    let changed = log.catalog.target("t2").unwrap().changed();
    assert_eq!(changed, Revision(log.revision));
    log.announce("t2", Role::Replica);
    assert_eq!(log.catalog.target("t2").unwrap().state(), State::Serving);
}

/// A scrapped target whose platform goes on announcing it must not get work again.
#[test]
fn a_retired_target_that_announces_itself_is_still_leaving() {
    let mut log = Log::with_database();
    assert!(is_refused(&log.retire("t2")), "it is serving");
    log.mark("t2", State::Leaving, change(log.revision, "a"));
    assert_eq!(log.retire("t2"), log.applied());
    assert_eq!(log.catalog.members("orders").count(), 2);
    assert_eq!(log.retire("t2"), Outcome::Unchanged);
    log.announce("t2", Role::Replica);
    assert_eq!(log.catalog.target("t2").unwrap().state(), State::Leaving);
}

/// Without its primary a database would have no known place for its writes.
#[test]
fn a_primary_is_not_retired_while_others_are_there() {
    let mut log = Log::with_database();
    log.mark("t1", State::Leaving, change(log.revision, "a"));
    assert!(is_refused(&log.retire("t1")));
}

/// A replica that vanishes in mid-change would lower the number of answers needed.
#[test]
fn nothing_is_retired_during_a_change_of_primary() {
    let mut log = Log::with_database();
    log.mark("t2", State::Leaving, change(log.revision, "a"));
    log.fence(2, false);
    assert!(is_refused(&log.retire("t2")));
}

/// A target's positions belong to one history of terms.
#[rstest]
#[case::database(|a: &mut types::target::Announcement| a.database = name("other"))]
#[case::group(|a: &mut types::target::Announcement| a.group = name("g2"))]
#[case::service(|a: &mut types::target::Announcement| a.service = name("other"))]
fn a_target_does_not_move(#[case] alter: fn(&mut types::target::Announcement)) {
    let mut log = Log::with_database();
    let mut moved = announcement("t2", Role::Replica);
    alter(&mut moved);
    assert!(is_refused(&log.apply(&Command::Announce(moved))));
}

fn with_entries(count: u32) -> Log {
    let mut log = Log::with_database();
    for index in 0..count {
        log.enroll(&format!("e{index}"));
    }
    log
}

/// Floors are used without a lease, so one entry too many would exceed the limit while cut off.
#[test]
fn an_entry_is_refused_when_floors_would_exceed_a_limit() {
    let mut log = with_entries(17);
    let Outcome::Refused(findings) = log.enroll("late") else {
        panic!("18 floors of 2 fit no limit of 35")
    };
    assert_eq!(findings.len(), 3, "one for each target: {findings:?}");
    assert!(findings[0].path.ends_with("/g1/t1"));
    assert!(!log.catalog.is_enrolled("late"));
    assert_eq!(log.enroll("e3"), Outcome::Unchanged);
    let instance = name("e3");
    log.apply(&Command::Dismiss { instance });
    assert_eq!(log.enroll("late"), log.applied());
}

/// The same bound must hold when the other side of it changes.
#[rstest]
#[case("connections.floor", 5)]
#[case("connections.limit", 15)]
fn a_setting_is_refused_when_floors_would_exceed_a_limit(#[case] key: &str, #[case] value: u32) {
    let mut log = with_entries(8);
    let before = log.catalog.clone();
    assert!(is_refused(&log.put("uova", key, value)));
    assert_eq!(log.catalog.values(), before.values());
    let mut small = announcement("t2", Role::Replica);
    small.connections = 15;
    assert!(is_refused(&log.apply(&Command::Announce(small))));
}

/// A follower that restores a snapshot must go on exactly like the others.
#[test]
fn a_restored_snapshot_equals_its_source_and_stays_equal() {
    let mut log = with_entries(3);
    log.put("uova/sicilia-est", "write.acks", 2);
    log.put("uova", "slots", 4);
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

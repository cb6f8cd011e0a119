//! Guards against settings that revert, are applied twice or are accepted wrongly.

mod support;

use catalog::change::MAX_LABEL;
use catalog::{Catalog, Command, Key, Outcome, Path};
use rstest::rstest;
use support::{Log, change, is_refused, name};
use types::Revision;

/// Two operators who saw the same revision must not overwrite each other unknowingly.
#[test]
fn of_two_changes_with_equal_bases_the_second_learns_the_winner() {
    let mut log = Log::new();
    log.enroll("e1");
    let first = log.set("uova", "slots", Some(4), change(1, "a"));
    let second = log.set("uova", "queue.max_waiting", Some(9), change(1, "b"));
    assert_eq!(first, Outcome::Applied(Revision(2)));
    let Outcome::Conflict(winner) = second else {
        panic!("no conflict: {second:?}")
    };
    assert_eq!(winner.request.as_str(), "a");
    assert_eq!(winner.operator.as_str(), "operator@example");
    assert_eq!(winner.revision, Revision(2));
    assert_eq!(log.catalog.values().queue_max_waiting, 256);
    let elsewhere = log.set("uova/sicilia-est", "slots", Some(3), change(1, "c"));
    assert_eq!(elsewhere, log.applied(), "another node does not conflict");
}

/// Removing the only value must not make the node forget who touched it.
#[test]
fn a_removed_value_still_conflicts() {
    let mut log = Log::new();
    log.put("uova", "slots", 4);
    log.set("uova", "slots", None, change(1, "remove"));
    let late = log.set("uova", "slots", Some(7), change(1, "late"));
    assert!(matches!(late, Outcome::Conflict(_)), "{late:?}");
    assert_eq!(log.catalog.values().slots, 5);
}

/// A client that lost the answer resends to the next leader: it must get the first answer, and a
/// later change of another operator must survive.
#[test]
fn a_resend_after_a_leader_change_gets_the_first_answer_and_changes_nothing() {
    let mut log = Log::new();
    log.enroll("e1");
    let first = log.set("uova", "slots", Some(4), change(1, "a"));
    let conflict = log.set("uova", "slots", Some(9), change(1, "b"));
    log.put("uova", "slots", 6);
    let mut bytes = Vec::new();
    log.catalog.encode(&mut bytes).unwrap();
    log.catalog = Catalog::decode(&bytes).unwrap();
    assert_eq!(log.set("uova", "slots", Some(4), change(1, "a")), first);
    assert_eq!(log.set("uova", "slots", Some(9), change(1, "b")), conflict);
    assert_eq!(log.catalog.values().slots, 6);
}

/// A reused id must not report another change's success for a change that was never made.
#[test]
fn an_id_used_for_another_change_is_refused() {
    let mut log = Log::new();
    log.enroll("e1");
    log.set("uova", "slots", Some(4), change(1, "a"));
    assert!(is_refused(&log.set(
        "uova",
        "slots",
        Some(8),
        change(2, "a")
    )));
    assert_eq!(log.catalog.values().slots, 4);
}

/// A log entry delivered twice must not be applied twice, a base in the future is no base, and a
/// misspelt organisation would hold values that apply to nothing.
#[test]
fn a_revision_is_applied_once_and_a_wrong_base_or_organisation_never() {
    let mut log = Log::new();
    let future = log.set("uova", "slots", Some(9), change(1, "a"));
    assert!(is_refused(&future));
    assert!(is_refused(&log.put("ouva", "slots", 9)));
    log.put("uova", "slots", 4);
    log.revision -= 1;
    assert!(is_refused(&log.put("uova", "slots", 9)));
    assert_eq!(log.catalog.values().slots, 4);
}

/// Request ids must not grow without bound, nor drop an id that is still recent.
#[test]
fn the_oldest_of_10_000_answers_is_dropped() {
    let mut log = Log::new();
    log.enroll("e1");
    for index in 0..=10_000 {
        let base = log.revision;
        log.set("uova", "slots", Some(4), change(base, &format!("r{index}")));
    }
    let old = log.set("uova", "slots", Some(4), change(1, "r0"));
    assert!(matches!(old, Outcome::Conflict(_)), "judged anew: {old:?}");
    let kept = log.set("uova", "slots", Some(4), change(3, "r2"));
    assert_eq!(kept, Outcome::Applied(Revision(4)));
    let records = log.catalog.tree().records().count();
    assert_eq!(records, catalog::tree::MAX_RECORDS);
}

/// An operator must see every mistake at once, with its place.
#[test]
fn all_findings_are_reported_together() {
    let raw = wire::Command::Set {
        path: "uova//Enna".to_owned(),
        key: "slots".to_owned(),
        value: Some("\"many\"".to_owned()),
        change: wire::Change {
            base: 0,
            request: String::new(),
            operator: "x".repeat(MAX_LABEL + 1),
        },
    };
    let findings = Command::try_from(raw).unwrap_err();
    let places: Vec<&str> = findings.0.iter().map(|f| f.path.as_str()).collect();
    let expected = "uova//Enna uova//Enna uova//Enna:slots request operator";
    assert_eq!(places.join(" "), expected, "{findings}");
}

#[rstest]
#[case::unknown_key("uova", "slot", Some("1"))]
#[case::below_the_least("uova", "slots", Some("0"))]
#[case::above_the_greatest("uova", "write.acks", Some("16"))]
#[case::negative("uova", "slots", Some("-1"))]
#[case::no_integer("uova", "slots", Some("1.5"))]
#[case::no_json("uova", "slots", Some("five"))]
#[case::empty_path("", "slots", None)]
#[case::eight_levels("a/b/c/d/e/f/g/h", "slots", None)]
#[case::lease_below_the_organisation("uova/enna", "lease.ttl_ms", Some("500"))]
fn a_bad_setting_is_a_finding(#[case] path: &str, #[case] key: &str, #[case] value: Option<&str>) {
    let raw = wire::Command::Set {
        path: path.to_owned(),
        key: key.to_owned(),
        value: value.map(str::to_owned),
        change: (&change(0, "a")).into(),
    };
    assert_eq!(Command::try_from(raw).unwrap_err().0.len(), 1);
}

const ENNA: &str = "uova/sicilia-est/enna";

#[test]
fn a_lower_node_overrides_and_explain_names_the_node() {
    let mut log = Log::with_database();
    log.put("uova", "slots", 4);
    log.put(ENNA, "slots", 3);
    log.put("uova/sicilia-est/ragusa", "slots", 2);
    let path = log.catalog.path("t1").unwrap();
    assert_eq!(log.catalog.target("t1").unwrap().values().slots, 3);
    assert_eq!(log.catalog.tree().effective(&path).slots, 3);
    let explained = log.catalog.tree().explain(&path);
    let find = |key| explained.iter().find(|source| source.key == key).unwrap();
    let node = Path::try_from(ENNA).unwrap();
    assert_eq!(find(Key::Slots).node, Some(&node));
    assert_eq!(find(Key::ReadWaitMs).node, None);
    log.set(ENNA, "slots", None, change(log.revision, "up"));
    assert_eq!(log.catalog.target("t1").unwrap().values().slots, 4);
}

/// The table is indexed by key: a wrong order would bound one key by another's limits.
#[test]
fn each_key_has_its_own_row() {
    for spec in &catalog::TABLE {
        assert_eq!(spec.key.spec().name, spec.name);
        assert_eq!(catalog::Values::default().get(spec.key), spec.default);
    }
}

/// A new leader that counted the shortened length only would end older leases too early.
#[test]
fn the_greatest_lease_is_remembered() {
    let mut log = Log::new();
    log.put("uova", "lease.ttl_ms", 9_000);
    log.put("uova", "lease.ttl_ms", 500);
    let root = Path::root(&name("uova"));
    let greatest = log.catalog.tree().greatest(&root, Key::LeaseTtlMs);
    assert_eq!((greatest, log.catalog.values().lease_ttl_ms), (9_000, 500));
}

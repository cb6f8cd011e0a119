//! Changes of settings: lost updates, repeated requests and invalid values.

mod support;

use catalog::change::MAX_LABEL_BYTES;
use catalog::{Catalog, Command, Key, Outcome, Path};
use rstest::rstest;
use support::{Log, change, is_refused, name};
use types::Revision;

/// Of two operators who saw the same revision, the second must not overwrite the first's change.
#[test]
fn second_change_with_an_equal_base_gets_a_conflict() {
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
    assert_eq!(log.catalog.organisation_values().queue_max_waiting, 256);
    let other_node = log.set("uova/sicilia-est", "slots", Some(3), change(1, "c"));
    assert_eq!(
        other_node,
        log.applied(),
        "a change of another node must not conflict"
    );
}

/// A node whose only value was removed must keep its last change, or a stale change would apply.
#[test]
fn removing_a_value_still_conflicts_with_a_later_change() {
    let mut log = Log::new();
    log.set_uncontested("uova", "slots", 4);
    log.set("uova", "slots", None, change(1, "remove"));
    let late = log.set("uova", "slots", Some(7), change(1, "late"));
    assert!(matches!(late, Outcome::Conflict(_)), "{late:?}");
    assert_eq!(log.catalog.organisation_values().slots, 5);
}

/// A client that did not receive the answer resends the request to the next leader. It must get the
/// first answer, and later changes of other operators must not be overwritten.
#[test]
fn resent_request_gets_the_first_answer_after_a_leader_change() {
    let mut log = Log::new();
    log.enroll("e1");
    let first = log.set("uova", "slots", Some(4), change(1, "a"));
    let conflict = log.set("uova", "slots", Some(9), change(1, "b"));
    log.set_uncontested("uova", "slots", 6);
    let mut bytes = Vec::new();
    log.catalog.encode(&mut bytes).unwrap();
    log.catalog = Catalog::decode(&bytes).unwrap();
    assert_eq!(log.set("uova", "slots", Some(4), change(1, "a")), first);
    assert_eq!(log.set("uova", "slots", Some(9), change(1, "b")), conflict);
    assert_eq!(log.catalog.organisation_values().slots, 6);
}

/// A client that reuses a request id must not get the outcome of the earlier change.
#[test]
fn request_id_reused_for_another_change_is_refused() {
    let mut log = Log::new();
    log.enroll("e1");
    log.set("uova", "slots", Some(4), change(1, "a"));
    assert!(is_refused(&log.set(
        "uova",
        "slots",
        Some(8),
        change(2, "a")
    )));
    assert_eq!(log.catalog.organisation_values().slots, 4);
}

/// A log entry that is delivered twice must be applied once only. A base above the current revision
/// can't detect conflicts. Values of a misspelt organisation would apply to no target.
#[test]
fn repeated_revision_future_base_and_unknown_organisation_are_refused() {
    let mut log = Log::new();
    let future = log.set("uova", "slots", Some(9), change(1, "a"));
    assert!(is_refused(&future));
    assert!(is_refused(&log.set_uncontested("ouva", "slots", 9)));
    log.set_uncontested("uova", "slots", 4);
    log.revision -= 1;
    assert!(is_refused(&log.set_uncontested("uova", "slots", 9)));
    assert_eq!(log.catalog.organisation_values().slots, 4);
}

/// The kept answers must not grow without bound, and recent ones must not be dropped.
#[test]
fn only_the_latest_10_000_answers_are_kept() {
    let mut log = Log::new();
    log.enroll("e1");
    for index in 0..=10_000 {
        let base = log.revision;
        log.set("uova", "slots", Some(4), change(base, &format!("r{index}")));
    }
    let dropped = log.set("uova", "slots", Some(4), change(1, "r0"));
    assert!(
        matches!(dropped, Outcome::Conflict(_)),
        "treated as a new request: {dropped:?}"
    );
    let kept = log.set("uova", "slots", Some(4), change(3, "r2"));
    assert_eq!(kept, Outcome::Applied(Revision(4)));
    let records = log.catalog.tree().records().count();
    assert_eq!(records, catalog::tree::MAX_CHANGE_RECORDS);
}

/// An operator must see all errors of a command at once, each with its location.
#[test]
fn all_findings_are_reported_together() {
    let raw = wire::Command::Set {
        path: "uova//Enna".to_owned(),
        key: "slots".to_owned(),
        value: Some("\"many\"".to_owned()),
        change: wire::Change {
            base: 0,
            request: String::new(),
            operator: "x".repeat(MAX_LABEL_BYTES + 1),
        },
    };
    let findings = Command::try_from(raw).unwrap_err();
    let paths: Vec<&str> = findings
        .0
        .iter()
        .map(|finding| finding.path.as_str())
        .collect();
    let expected = "uova//Enna uova//Enna uova//Enna:slots request operator";
    assert_eq!(paths.join(" "), expected, "{findings}");
}

/// An invalid setting must be refused before it is committed.
#[rstest]
#[case::unknown_key("uova", "slot", Some("1"))]
#[case::below_the_minimum("uova", "slots", Some("0"))]
#[case::above_the_maximum("uova", "write.acks", Some("16"))]
#[case::negative("uova", "slots", Some("-1"))]
#[case::fraction("uova", "slots", Some("1.5"))]
#[case::not_json("uova", "slots", Some("five"))]
#[case::empty_path("", "slots", None)]
#[case::eight_levels("a/b/c/d/e/f/g/h", "slots", None)]
#[case::lease_below_the_organisation("uova/enna", "lease.ttl_ms", Some("500"))]
fn invalid_setting_gives_one_finding(
    #[case] path: &str,
    #[case] key: &str,
    #[case] value: Option<&str>,
) {
    let raw = wire::Command::Set {
        path: path.to_owned(),
        key: key.to_owned(),
        value: value.map(str::to_owned),
        change: (&change(0, "a")).into(),
    };
    assert_eq!(Command::try_from(raw).unwrap_err().0.len(), 1);
}

const ENNA_PATH: &str = "uova/sicilia-est/enna";

/// A value must override those of the nodes above; its removal must restore the inherited one.
#[test]
fn lower_node_overrides_and_explain_names_the_node() {
    let mut log = Log::with_database();
    log.set_uncontested("uova", "slots", 4);
    log.set_uncontested(ENNA_PATH, "slots", 3);
    log.set_uncontested("uova/sicilia-est/ragusa", "slots", 2);
    let path = log.catalog.target_path("t1").unwrap();
    assert_eq!(log.catalog.target("t1").unwrap().values().slots, 3);
    assert_eq!(log.catalog.tree().effective(&path).slots, 3);
    let explained = log.catalog.tree().explain(&path);
    let find = |key| explained.iter().find(|source| source.key == key).unwrap();
    let node = Path::try_from(ENNA_PATH).unwrap();
    assert_eq!(find(Key::Slots).node, Some(&node));
    assert_eq!(find(Key::ReadWaitMs).node, None);
    log.set(ENNA_PATH, "slots", None, change(log.revision, "up"));
    assert_eq!(log.catalog.target("t1").unwrap().values().slots, 4);
}

/// The table is indexed by key: in a wrong order, one key would get the limits of another.
#[test]
fn table_is_in_the_order_of_the_keys() {
    for spec in &catalog::TABLE {
        assert_eq!(spec.key.spec().name, spec.name);
        assert_eq!(catalog::Values::default().get(spec.key), spec.default);
    }
}

/// A new leader that assumes the shortened duration would treat older leases as expired too early.
#[test]
fn greatest_lease_is_known_after_the_lease_is_shortened() {
    let mut log = Log::new();
    log.set_uncontested("uova", "lease.ttl_ms", 9_000);
    log.set_uncontested("uova", "lease.ttl_ms", 500);
    let root = Path::root(&name("uova"));
    let greatest = log.catalog.tree().greatest_value(&root, Key::LeaseTtlMs);
    assert_eq!(
        (greatest, log.catalog.organisation_values().lease_ttl_ms),
        (9_000, 500)
    );
}

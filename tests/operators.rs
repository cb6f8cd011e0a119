//! The operators' command line against control processes that fail and freeze.

mod cluster;

use std::process::Output;
use std::thread::sleep;
use std::time::Duration;

use cluster::Cluster;
use rstest::rstest;
use serde_json::json;

const ALL: [usize; 3] = [0, 1, 2];

fn set<'a>(value: &'a str, base: &'a str, request: &'a str, operator: &'a str) -> [&'a str; 11] {
    [
        "settings",
        "set",
        "uova/sicilia-est",
        "slots",
        value,
        "--base",
        base,
        "--request-id",
        request,
        "--operator",
        operator,
    ]
}

fn error(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Guards against two operators who both believe that their change is in force.
#[test]
fn one_of_two_equal_changes_wins() {
    let cluster = Cluster::start();
    for round in 0..5 {
        let base = cluster.json(&ALL, &["settings", "get", "/"])["revision"].to_string();
        let requests = [format!("anna-{round}"), format!("ugo-{round}")];
        let anna = cluster.spawn(&ALL, &set("3", &base, &requests[0], "anna"));
        let ugo = cluster.spawn(&ALL, &set("4", &base, &requests[1], "ugo"));
        let anna = anna.wait_with_output().unwrap();
        let ugo = ugo.wait_with_output().unwrap();
        let (won, lost) = match (anna.status.success(), ugo.status.success()) {
            (true, false) => (("3", "anna", &requests[0]), ugo),
            (false, true) => (("4", "ugo", &requests[1]), anna),
            _ => panic!("{anna:?} {ugo:?}"),
        };
        let (value, operator, request) = won;
        let named = format!("the change {request} by {operator} at revision");
        assert!(error(&lost).contains(&named), "{lost:?}");
        assert_eq!(lost.status.code(), Some(1));
        let path = ["settings", "explain", "uova/sicilia-est", "slots"];
        let table = cluster.run(&ALL, &path);
        let line = format!("slots  {value}      uova/sicilia-est");
        assert!(String::from_utf8_lossy(&table.stdout).contains(&line));
    }
}

/// Guards against a change that runs twice, or is refused by its own first run, when the operator
/// sends it again because the leader died.
#[test]
fn a_resend_to_the_next_leader_gets_the_first_answer() {
    let mut cluster = Cluster::start();
    let base = cluster.json(&ALL, &["settings", "get", "/"])["revision"].to_string();
    let change = set("3", &base, "r-1", "anna");
    let first = cluster.json(&ALL, &change);
    let loser = cluster.run(&ALL, &set("4", &base, "r-2", "ugo"));
    assert!(error(&loser).contains("r-1 by anna"), "{loser:?}");

    cluster.kill(cluster.leader(&ALL));
    assert_eq!(cluster.json(&ALL, &change), first);
    let again = cluster.run(&ALL, &set("4", &base, "r-2", "ugo"));
    assert_eq!(error(&again), error(&loser));
    let other = cluster.run(&ALL, &set("5", &base, "r-1", "anna"));
    assert!(error(&other).contains("the id belongs to another change"));
    let history = cluster.json(&ALL, &["settings", "history", "uova/sicilia-est"]);
    assert_eq!(history["changes"].as_array().unwrap().len(), 1, "{history}");
}

/// Guards against an instance that was frozen, as follower or as leader, and answers from what it
/// knew before.
#[rstest]
#[case::follower(false)]
#[case::leader(true)]
fn a_frozen_instance_does_not_answer_as_if_current(#[case] leads: bool) {
    let cluster = Cluster::start();
    for round in 0..3 {
        let leader = cluster.leader(&ALL);
        let frozen = if leads { leader } else { (leader + 1) % 3 };
        let others: Vec<usize> = ALL.into_iter().filter(|it| *it != frozen).collect();
        cluster.signal(frozen, "-STOP");
        // Longer than the longest election timeout, which is 300 ms.
        sleep(Duration::from_millis(500));
        let base = cluster.json(&others, &["settings", "get", "/"])["revision"].to_string();
        let value = (5 + round).to_string();
        let accepted = cluster.json(&others, &set(&value, &base, &format!("r-{round}"), "anna"));

        let path = ["settings", "get", "uova/sicilia-est", "--json"];
        let reader = cluster.spawn(&[frozen], &path);
        cluster.signal(frozen, "-CONT");
        let output = reader.wait_with_output().unwrap();
        // The command line follows a redirect, so that it gets the present value or a refusal.
        if output.status.success() {
            let reply: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
            assert!(reply["revision"].as_u64() >= accepted["revision"].as_u64());
            let values = reply["values"].as_array().unwrap();
            let slots = values.iter().find(|it| it["key"] == "slots").unwrap();
            assert_eq!(slots["value"].to_string(), value);
        } else {
            assert!(error(&output).contains("lead"), "{output:?}");
        }
    }
}

/// Guards against a source that is not where the value was set, and against hidden values that
/// operators can't find.
#[test]
fn explain_shows_where_a_value_comes_from() {
    let cluster = Cluster::start();
    for (path, value) in [("/", "2"), ("uova/sicilia-est", "3")] {
        let args = [
            "settings",
            "set",
            path,
            "slots",
            value,
            "--operator",
            "anna",
        ];
        cluster.json(&ALL, &args);
    }
    let node = "uova/sicilia-est/enna";
    let reply = cluster.json(&ALL, &["settings", "explain", node]);
    let values = reply["values"].as_array().unwrap();
    let find = |key: &str| values.iter().find(|it| it["key"] == key).unwrap();
    let slots = find("slots");
    assert_eq!(slots["value"], 3);
    assert_eq!(slots["source"], "uova/sicilia-est");
    assert_eq!(slots["revision"], reply["revision"]);
    assert_eq!(slots["overridden"][0]["source"], "uova");
    assert_eq!(slots["overridden"][0]["value"], 2);
    assert!(find("write.acks")["source"].is_null());
}

/// Guards against a refusal that names one fault at a time, and against one that changes something.
#[test]
fn a_bad_change_is_refused_with_all_findings() {
    let cluster = Cluster::start();
    let args = [
        "settings",
        "set",
        "uova",
        "slotz",
        "3",
        "--operator",
        "an na",
    ];
    let output = cluster.run(&ALL, &args);
    let text = error(&output);
    assert_eq!(output.status.code(), Some(1));
    assert!(text.contains("uova:slotz: unknown key"), "{text}");
    assert!(text.contains("operator: not 1 to 128"), "{text}");
    let args = [
        "settings",
        "set",
        "other",
        "slots",
        "3",
        "--base",
        "0",
        "--operator",
        "anna",
    ];
    let output = cluster.run(&ALL, &args);
    assert!(error(&output).contains("the organisation is uova"));
    let history = cluster.json(&ALL, &["settings", "history", "/"]);
    assert_eq!(history["changes"].as_array().unwrap().len(), 0);
}

/// Guards against a status without the members' progress, and a token that is not checked.
#[test]
fn status_shows_the_members() {
    let cluster = Cluster::start();
    let status = cluster.json(&ALL, &["status"]);
    let members = status["members"].as_array().unwrap();
    assert_eq!(members.len(), 3);
    assert!(members.iter().all(|it| it["seat"] == "voter"));
    let matched = members.iter().filter(|it| it["matched"].as_u64() > Some(0));
    assert!(matched.count() >= 2, "a quorum has the no-op: {status}");
    let output = cluster.run(
        &ALL,
        &["members", "promote", "control-9", "--operator", "anna"],
    );
    assert!(error(&output).contains("control instance control-9 does not exist"));
}

/// Guards against an answer that hides an entry where the change is not in force.
#[test]
fn an_accepted_change_names_the_entries_that_lack_it() {
    let mut cluster = Cluster::start();
    let entry = cluster.start_entry("entry-a");
    let set = |cluster: &Cluster, value: u32| {
        let value = value.to_string();
        let args = [
            "settings",
            "set",
            "/",
            "slots",
            &value,
            "--operator",
            "anna",
        ];
        cluster.json(&ALL, &args)["pending"].clone()
    };
    let enrolled = |cluster: &Cluster| {
        let status = cluster.json(&ALL, &["status"]);
        status["entries"][0]["lease_ms"].is_u64()
    };
    wait("a lease", || enrolled(&cluster));
    wait("a confirmation", || set(&cluster, 2) == json!([]));
    cluster.signal(entry, "-STOP");
    assert_eq!(set(&cluster, 3), json!(["entry-a"]), "with a lease");
    wait("the end of the lease", || !enrolled(&cluster));
    assert_eq!(set(&cluster, 4), json!(["entry-a"]), "without a lease");
    cluster.signal(entry, "-CONT");
    wait("a confirmation", || set(&cluster, 5) == json!([]));
}

/// Waits until something is so. The bound only ends a test that would hang.
fn wait(what: &str, mut is_so: impl FnMut() -> bool) {
    for _ in 0..400 {
        if is_so() {
            return;
        }
        sleep(Duration::from_millis(50));
    }
    panic!("waited in vain for {what}");
}

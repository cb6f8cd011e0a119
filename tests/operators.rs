//! The operators' command line against processes that fail and freeze.

mod cluster;

use std::process::Output;
use std::thread::sleep;
use std::time::Duration;

use cluster::Cluster;
use rstest::rstest;
use serde_json::{Value, json};

const ALL: [usize; 3] = [0, 1, 2];

fn error(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// A change of `slots` in one region.
fn set(value: usize, base: &Value, request: &str, operator: &str) -> String {
    format!(
        "settings set uova/sicilia-est slots {value} --base {base} --request-id {request} \
         --operator {operator}"
    )
}

fn setting<'a>(reply: &'a Value, key: &str) -> &'a Value {
    let values = reply["values"].as_array().unwrap();
    values.iter().find(|it| it["key"] == key).unwrap()
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

/// Guards against two operators who both believe that their change is in force.
#[test]
fn one_of_two_equal_changes_wins() {
    let cluster = Cluster::start();
    for round in 0..5 {
        let base = &cluster.json(&ALL, "settings get /")["revision"];
        let run = |value, operator| {
            let request = format!("{operator}-{round}");
            cluster.spawn(&ALL, &set(value, base, &request, operator))
        };
        let (anna, ugo) = (run(3, "anna"), run(4, "ugo"));
        let (anna, ugo) = (anna.wait_with_output(), ugo.wait_with_output());
        let (anna, ugo) = (anna.unwrap(), ugo.unwrap());
        let (value, operator, lost) = match (anna.status.code(), ugo.status.code()) {
            (Some(0), Some(1)) => (3, "anna", ugo),
            (Some(1), Some(0)) => (4, "ugo", anna),
            _ => panic!("{anna:?} {ugo:?}"),
        };
        let named = format!("the change {operator}-{round} by {operator} at revision");
        assert!(error(&lost).contains(&named), "{lost:?}");
        let reply = cluster.json(&ALL, "settings get uova/sicilia-est");
        assert_eq!(setting(&reply, "slots")["value"], value);
    }
}

/// Guards against a change that runs twice, or is refused by its own first run, when the operator
/// sends it again because the leader died.
#[test]
fn a_resend_to_the_next_leader_gets_the_first_answer() {
    let mut cluster = Cluster::start();
    let base = &cluster.json(&ALL, "settings get /")["revision"];
    let change = set(3, base, "r-1", "anna");
    let first = cluster.json(&ALL, &change);
    let other = set(4, base, "r-2", "ugo");
    let lost = cluster.run(&ALL, &other);
    assert!(error(&lost).contains("r-1 by anna"), "{lost:?}");

    cluster.kill(cluster.leader());
    assert_eq!(cluster.json(&ALL, &change), first);
    assert_eq!(error(&cluster.run(&ALL, &other)), error(&lost));
    let reused = cluster.run(&ALL, &set(5, base, "r-1", "anna"));
    assert!(error(&reused).contains("the id belongs to another change"));
    let history = cluster.json(&ALL, "settings history uova/sicilia-est");
    assert_eq!(history["changes"].as_array().unwrap().len(), 1, "{history}");
}

/// Guards against an instance that was frozen, as follower or as leader, and answers from what it
/// knew before.
#[rstest]
#[case::follower(false)]
#[case::leader(true)]
fn a_frozen_instance_does_not_answer_as_if_current(#[case] leads: bool) {
    let cluster = Cluster::start();
    for value in 5..8 {
        let leader = cluster.leader();
        let frozen = if leads { leader } else { (leader + 1) % 3 };
        let others = ALL.map(|it| if it == frozen { (it + 1) % 3 } else { it });
        cluster.signal(frozen, "-STOP");
        // Longer than the longest election timeout, which is 300 ms.
        sleep(Duration::from_millis(500));
        let base = &cluster.json(&others, "settings get /")["revision"];
        let accepted = cluster.json(&others, &set(value, base, &format!("r-{value}"), "anna"));

        let reader = cluster.spawn(&[frozen], "settings get uova/sicilia-est --json");
        cluster.signal(frozen, "-CONT");
        let output = reader.wait_with_output().unwrap();
        // The command line follows a redirect, so that it gets the present value or a refusal.
        if output.status.success() {
            let reply: Value = serde_json::from_slice(&output.stdout).unwrap();
            assert!(reply["revision"].as_u64() >= accepted["revision"].as_u64());
            assert_eq!(setting(&reply, "slots")["value"], value);
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
    cluster.json(&ALL, "settings set / slots 2 --operator anna");
    cluster.json(
        &ALL,
        "settings set uova/sicilia-est slots 3 --operator anna",
    );
    let reply = cluster.json(&ALL, "settings explain uova/sicilia-est/enna");
    let origin = json!({
        "key": "slots", "value": 3, "source": "uova/sicilia-est", "revision": reply["revision"],
        "overridden": [{ "source": "uova", "value": 2 }],
    });
    assert_eq!(*setting(&reply, "slots"), origin);
    assert!(setting(&reply, "write.acks")["source"].is_null());
}

/// Guards against a refusal that names one fault at a time, and against one that changes something.
#[test]
fn a_bad_change_is_refused_with_all_findings() {
    let cluster = Cluster::start();
    let output = cluster.run(&ALL, "settings set uova slotz 3 --operator ànna");
    let text = error(&output);
    assert_eq!(output.status.code(), Some(1));
    assert!(text.contains("uova:slotz: unknown key"), "{text}");
    assert!(text.contains("operator: not 1 to 128"), "{text}");
    let output = cluster.run(&ALL, "members promote control-9 --operator anna");
    assert!(error(&output).contains("control instance control-9 does not exist"));
    let history = cluster.json(&ALL, "settings history /");
    assert_eq!(history["changes"], json!([]));
}

/// Guards against an answer that hides an entry where the change is not in force.
#[test]
fn an_accepted_change_names_the_entries_that_lack_it() {
    let mut cluster = Cluster::start();
    let entry = cluster.start_entry("entry-a");
    let pending = |value: u32| {
        let change = format!("settings set / slots {value} --operator anna");
        cluster.json(&ALL, &change)["pending"].clone()
    };
    let has_lease = || cluster.json(&ALL, "status")["entries"][0]["lease_ms"].is_u64();
    wait("a lease", has_lease);
    wait("a confirmation", || pending(2) == json!([]));
    cluster.signal(entry, "-STOP");
    assert_eq!(pending(3), json!(["entry-a"]), "with a lease");
    wait("the end of the lease", || !has_lease());
    assert_eq!(pending(4), json!(["entry-a"]), "without a lease");
    cluster.signal(entry, "-CONT");
    wait("a confirmation", || pending(5) == json!([]));

    let status = cluster.json(&ALL, "status");
    let members = status["members"].as_array().unwrap();
    let matched = members.iter().filter(|it| it["matched"].as_u64() > Some(4));
    assert!(matched.count() >= 2, "a quorum has the changes: {status}");
}

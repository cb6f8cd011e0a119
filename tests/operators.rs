//! The operators' command line against processes that are killed or suspended.

mod cluster;

use std::process::Output;
use std::thread::sleep;
use std::time::Duration;

use cluster::Cluster;
use rstest::rstest;
use serde_json::{Value, json};

const CONTROL_INSTANCES: [usize; 3] = [0, 1, 2];

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Arguments of a change of `slots` in one region.
fn set_slots(value: usize, base: &Value, request: &str, operator: &str) -> String {
    format!(
        "settings set uova/sicilia-est slots {value} --base {base} --request-id {request} \
         --operator {operator}"
    )
}

fn find_setting<'a>(reply: &'a Value, key: &str) -> &'a Value {
    let values = reply["values"].as_array().unwrap();
    values.iter().find(|value| value["key"] == key).unwrap()
}

/// Waits until a condition holds; the limit only ends a test that would hang.
fn wait_until(description: &str, mut is_met: impl FnMut() -> bool) {
    for _ in 0..400 {
        if is_met() {
            return;
        }
        sleep(Duration::from_millis(50));
    }
    panic!("not reached: {description}");
}

/// Guards against two operators who are both told that their concurrent change was accepted.
#[test]
fn one_of_two_concurrent_changes_is_accepted() {
    let cluster = Cluster::start();
    for round in 0..5 {
        let base = &cluster.json(&CONTROL_INSTANCES, "settings get /")["revision"];
        let run = |value, operator| {
            let request = format!("{operator}-{round}");
            cluster.spawn(
                &CONTROL_INSTANCES,
                &set_slots(value, base, &request, operator),
            )
        };
        let (anna, ugo) = (run(3, "anna"), run(4, "ugo"));
        let (anna, ugo) = (anna.wait_with_output(), ugo.wait_with_output());
        let (anna, ugo) = (anna.unwrap(), ugo.unwrap());
        let (value, operator, refused) = match (anna.status.code(), ugo.status.code()) {
            (Some(0), Some(1)) => (3, "anna", ugo),
            (Some(1), Some(0)) => (4, "ugo", anna),
            _ => panic!("{anna:?} {ugo:?}"),
        };
        let expected = format!("the change {operator}-{round} by {operator} at revision");
        assert!(stderr(&refused).contains(&expected), "{refused:?}");
        let reply = cluster.json(&CONTROL_INSTANCES, "settings get uova/sicilia-est");
        assert_eq!(find_setting(&reply, "slots")["value"], value);
    }
}

/// Guards against a change that runs twice, or conflicts with its own first run, when it is resent
/// after the death of the leader.
#[test]
fn resend_to_the_next_leader_gets_the_first_reply() {
    let mut cluster = Cluster::start();
    let base = &cluster.json(&CONTROL_INSTANCES, "settings get /")["revision"];
    let change = set_slots(3, base, "r-1", "anna");
    let first_reply = cluster.json(&CONTROL_INSTANCES, &change);
    let second_change = set_slots(4, base, "r-2", "ugo");
    let refused = cluster.run(&CONTROL_INSTANCES, &second_change);
    assert!(stderr(&refused).contains("r-1 by anna"), "{refused:?}");

    cluster.kill(cluster.leader());
    assert_eq!(cluster.json(&CONTROL_INSTANCES, &change), first_reply);
    assert_eq!(
        stderr(&cluster.run(&CONTROL_INSTANCES, &second_change)),
        stderr(&refused)
    );
    let reused = cluster.run(&CONTROL_INSTANCES, &set_slots(5, base, "r-1", "anna"));
    assert!(stderr(&reused).contains("the id belongs to another change"));
    let history = cluster.json(&CONTROL_INSTANCES, "settings history uova/sicilia-est");
    assert_eq!(history["changes"].as_array().unwrap().len(), 1, "{history}");
}

/// Guards against an instance that was suspended, as follower or as leader, and answers with
/// outdated state.
#[rstest]
#[case::follower(false)]
#[case::leader(true)]
fn resumed_instance_does_not_answer_with_outdated_state(#[case] is_leader: bool) {
    let cluster = Cluster::start();
    for value in 5..8 {
        let leader = cluster.leader();
        let suspended = if is_leader { leader } else { (leader + 1) % 3 };
        let others = CONTROL_INSTANCES.map(|index| {
            if index == suspended {
                (index + 1) % 3
            } else {
                index
            }
        });
        cluster.signal(suspended, "-STOP");
        // Longer than the longest election timeout, which is 300 ms.
        sleep(Duration::from_millis(500));
        let base = &cluster.json(&others, "settings get /")["revision"];
        let accepted = cluster.json(
            &others,
            &set_slots(value, base, &format!("r-{value}"), "anna"),
        );

        let reader = cluster.spawn(&[suspended], "settings get uova/sicilia-est --json");
        cluster.signal(suspended, "-CONT");
        let output = reader.wait_with_output().unwrap();
        // The command line follows redirects, so it gets either the current value or a refusal.
        if output.status.success() {
            let reply: Value = serde_json::from_slice(&output.stdout).unwrap();
            assert!(reply["revision"].as_u64() >= accepted["revision"].as_u64());
            assert_eq!(find_setting(&reply, "slots")["value"], value);
        } else {
            assert!(stderr(&output).contains("lead"), "{output:?}");
        }
    }
}

/// Guards against a wrong source of a value, and against overridden values that are not shown.
#[test]
fn explain_shows_the_source_of_a_value() {
    let cluster = Cluster::start();
    cluster.json(&CONTROL_INSTANCES, "settings set / slots 2 --operator anna");
    cluster.json(
        &CONTROL_INSTANCES,
        "settings set uova/sicilia-est slots 3 --operator anna",
    );
    let reply = cluster.json(&CONTROL_INSTANCES, "settings explain uova/sicilia-est/enna");
    let origin = json!({
        "key": "slots", "value": 3, "source": "uova/sicilia-est", "revision": reply["revision"],
        "overridden": [{ "source": "uova", "value": 2 }],
    });
    assert_eq!(*find_setting(&reply, "slots"), origin);
    assert!(find_setting(&reply, "write.acks")["source"].is_null());
}

/// Guards against a refusal that names only the first finding, and against a refused change that is
/// applied.
#[test]
fn invalid_change_is_refused_with_all_findings() {
    let cluster = Cluster::start();
    let output = cluster.run(
        &CONTROL_INSTANCES,
        "settings set uova slotz 3 --operator ànna",
    );
    let text = stderr(&output);
    assert_eq!(output.status.code(), Some(1));
    assert!(text.contains("uova:slotz: unknown key"), "{text}");
    assert!(text.contains("operator: not 1 to 128"), "{text}");
    let output = cluster.run(
        &CONTROL_INSTANCES,
        "members promote control-9 --operator anna",
    );
    assert!(stderr(&output).contains("control instance control-9 does not exist"));
    let history = cluster.json(&CONTROL_INSTANCES, "settings history /");
    assert_eq!(history["changes"], json!([]));
}

/// Guards against a reply that leaves out an entry where the change is not yet in force.
#[test]
fn accepted_change_names_the_entries_that_lack_it() {
    let mut cluster = Cluster::start();
    let entry = cluster.start_entry("entry-a");
    let pending = |value: u32| {
        let change = format!("settings set / slots {value} --operator anna");
        cluster.json(&CONTROL_INSTANCES, &change)["pending"].clone()
    };
    let has_lease =
        || cluster.json(&CONTROL_INSTANCES, "status")["entries"][0]["lease_ms"].is_u64();
    wait_until("a lease", has_lease);
    wait_until("a confirmation", || pending(2) == json!([]));
    cluster.signal(entry, "-STOP");
    assert_eq!(pending(3), json!(["entry-a"]), "with a lease");
    wait_until("the end of the lease", || !has_lease());
    assert_eq!(pending(4), json!(["entry-a"]), "without a lease");
    cluster.signal(entry, "-CONT");
    wait_until("a confirmation", || pending(5) == json!([]));

    let status = cluster.json(&CONTROL_INSTANCES, "status");
    let members = status["members"].as_array().unwrap();
    let matched = members
        .iter()
        .filter(|member| member["matched"].as_u64() > Some(4));
    assert!(matched.count() >= 2, "no quorum has the changes: {status}");
}

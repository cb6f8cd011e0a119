//! Keys of tenants with real coordinators and proxies.

#[path = "../platform/tests/standin/mod.rs"]
mod standin;
#[path = "machines/system.rs"]
mod system;

use std::fs;
use std::time::{Duration, Instant};

use rstest::rstest;
use standin::{Caller, call};
use system::{System, plan, run, send};
use tokio::time::sleep;

/// Key of the tenant `dairy`, which the second document withdraws.
const WITHDRAWN: &str = "k1-5ecret";
/// Key of the tenant `mill`.
const KEPT: &str = "k2-5ecret";
/// Time in which an acknowledged plan takes effect.
const APPLY_LIMIT: Duration = Duration::from_millis(4000);

fn document(version: u64, dairy_keys: &str) -> String {
    let tenants = format!(
        r#"{{"tenants": [ {{"name":"dairy","api_keys":[{dairy_keys}],"rate_per_s":1e3,"note":"ø"}},
        {{"name":"mill","api_keys":["{KEPT}"]}}],"#
    );
    plan(version, 1000).replacen('{', &tenants, 1)
}

async fn put(system: &System, document: &str) {
    let mut reply = (0, String::new());
    for _ in 0..200 {
        reply = send(
            &system.http_addresses(),
            "PUT",
            "/-/configuration",
            document,
        )
        .await;
        if reply.0 == 200 {
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
    panic!("plan not acknowledged: {reply:?}");
}

/// Answer to a start-up with a key.
async fn try_open(system: &System, key: &str) -> String {
    let address = system.proxies[0].listen_address;
    let result = Caller::try_open_as(address, "till", key).await;
    result.err().unwrap_or_else(|| "READY".to_owned())
}

async fn open(system: &System, key: &str) -> Caller {
    let mut caller = Caller::open_as(system.proxies[0].listen_address, "till", key).await;
    caller.run_until("WRITE egg 1", "ok I").await;
    caller
}

/// Starts a system and has a key withdrawn while a session uses it.
async fn start_and_withdraw() -> System {
    let system = System::start().await;
    put(&system, &document(1, &format!("\"{WITHDRAWN}\""))).await;
    let mut withdrawn = open(&system, WITHDRAWN).await;
    let mut kept = open(&system, KEPT).await;
    put(&system, &document(2, "")).await;
    let acknowledged = Instant::now();
    assert_eq!(withdrawn.line().await, None);
    assert!(acknowledged.elapsed() < APPLY_LIMIT);
    assert_eq!(kept.run("READ egg").await, "1 ok I");
    system
}

/// All that the processes have written to their logs and report as metrics.
async fn output(system: &System) -> String {
    let mut output = String::new();
    for entry in fs::read_dir(system.folder.path()).unwrap() {
        let path = entry.unwrap().path();
        if path.extension().is_some_and(|extension| extension == "log") {
            output += &fs::read_to_string(path).unwrap();
        }
    }
    let mut addresses = system.http_addresses();
    addresses.extend(system.proxies[0].http);
    for address in addresses {
        output += &call(address, "GET", "/metrics", "").await.1;
    }
    output
}

#[derive(Clone, Copy, Debug)]
enum Restart {
    Proxy,
    Leader,
    AllCoordinators,
}

// Guards against a withdrawn key that is valid again after a restart, because a log, a snapshot or a
// proxy's plan is older, and against documents that do not read back as sent.
#[rstest]
#[case::proxy(Restart::Proxy)]
#[case::leader(Restart::Leader)]
#[case::all_coordinators(Restart::AllCoordinators)]
fn withdrawn_key_stays_withdrawn(#[case] restart: Restart) {
    run(move || async move {
        let mut system = start_and_withdraw().await;
        let leader = system.leader().await;
        match restart {
            Restart::Proxy => {
                system.proxies[0].process = None;
                system.start_proxy(0).await;
            }
            Restart::Leader => {
                system.coordinators[leader].process = None;
                system.start_coordinator(leader, false);
                system.wait_for_member(leader).await;
            }
            Restart::AllCoordinators => {
                for coordinator in &mut system.coordinators {
                    coordinator.process = None;
                }
                for index in 0..3 {
                    system.start_coordinator(index, false);
                }
                system.leader().await;
            }
        }
        open(&system, KEPT).await;
        let mut answer = String::new();
        // A proxy that has lost its coordinator refuses unknown keys as unconfirmed.
        for _ in 0..20 {
            answer = try_open(&system, WITHDRAWN).await;
            if !answer.starts_with("ERROR BUSY") {
                break;
            }
        }
        assert!(answer.starts_with("ERROR DENIED"), "{answer}");
        // A coordinator answers once a leader has been elected.
        system.leader().await;
        let plans = system.plans().await;
        let expected = document(2, "");
        assert!(
            !plans.is_empty() && plans.iter().all(|found| *found == expected),
            "{plans:?}"
        );
    });
}

// Guards against keys in logs and metrics, also those of a refused document, and against a log line
// about withdrawn keys that does not name their tenants.
#[test]
fn logs_tenants_and_no_keys() {
    run(|| async {
        let system = start_and_withdraw().await;
        try_open(&system, WITHDRAWN).await;
        for invalid in [
            document(3, &format!("\"{KEPT}\"")),
            document(3, "").replace(r#""version":3"#, &format!(r#""version":"{KEPT}""#)),
            format!("\"{KEPT}\""),
        ] {
            let addresses = system.http_addresses();
            let reply = send(&addresses, "PUT", "/-/configuration", &invalid).await;
            assert_eq!(reply.0, 400, "{}", reply.1);
            assert!(!reply.1.contains("5ecret"), "{}", reply.1);
        }
        let output = output(&system).await;
        let mut lines = output.lines();
        let line = lines.find(|line| line.contains("keys of open sessions were withdrawn"));
        assert!(
            line.is_some_and(|line| line.contains("dairy=1")),
            "{line:?}"
        );
        assert!(!output.contains("5ecret"));
    });
}

// The only coordinator in reach was restarted and has not heard of the withdrawal. Guards against a
// proxy that starts with it, serves the key from the outdated log, and does not catch up.
#[test]
fn proxy_of_a_coordinator_that_is_behind_catches_up() {
    run(|| async {
        let mut system = System::start().await;
        put(&system, &document(1, &format!("\"{WITHDRAWN}\""))).await;
        open(&system, WITHDRAWN).await;
        let leader = system.leader().await;
        let behind = (leader + 1) % 3;
        system.wait_for_member(behind).await;
        system.coordinators[behind].process = None;
        put(&system, &document(2, "")).await;
        for coordinator in &mut system.coordinators {
            coordinator.process = None;
        }
        system.proxies[0].process = None;
        system.start_coordinator(behind, false);
        system.start_proxy(0).await;
        for _ in 0..20 {
            assert_ne!(try_open(&system, WITHDRAWN).await, "READY");
            sleep(Duration::from_millis(100)).await;
        }
        for index in (0..3).filter(|index| *index != behind) {
            system.start_coordinator(index, false);
        }
        open(&system, KEPT).await;
        let answer = try_open(&system, WITHDRAWN).await;
        assert!(answer.starts_with("ERROR DENIED"), "{answer}");
    });
}

// Guards against a planned stop that closes a session without an answer while its key is unconfirmed.
#[test]
fn stop_answers_an_unconfirmed_session() {
    run(|| async {
        let mut system = start_and_withdraw().await;
        for coordinator in &mut system.coordinators {
            coordinator.process = None;
        }
        // The last pulses have been handled.
        sleep(Duration::from_millis(300)).await;
        system.proxies[0].process.as_ref().unwrap().signal("TERM");
        // The proxy closes idle sessions 1.5 s after the signal, and confirmations take up to 1 s.
        sleep(Duration::from_millis(1000)).await;
        let answer = try_open(&system, WITHDRAWN).await;
        assert_eq!(answer, "ERROR BUSY not run: this entry stops");
    });
}

//! Real coordinators and proxies against stand-in servers of the platform.

#[path = "../platform/tests/standin/mod.rs"]
mod standin;
#[path = "machines/system.rs"]
mod system;

use std::fs;
use std::time::Duration;

use standin::{Caller, call};
use system::{System, plan, run, send};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

// Guards against acknowledged writes that are lost when a silent primary is replaced, and against
// promotions that reuse a fencing token.
#[test]
fn replaces_a_silent_primary_twice() {
    run(|| async {
        let system = System::start().await;
        system.put_plan(1, 1000).await;
        let mut caller = system.open_session().await;
        for round in 2..4 {
            let old_primary = system.group.primary().unwrap();
            system.group.server(old_primary).unresponsive = true;
            caller
                .run_until(&format!("WRITE egg {round}"), "ok I")
                .await;
            caller.run_until("READ egg", &format!("{round} ok I")).await;
            let new_primary = system.group.primary().unwrap();
            assert_ne!(new_primary, old_primary);
            // The old primary returns as a replica.
            let log = system.group.server(new_primary).log.clone();
            let term = system.group.server(new_primary).term;
            let mut server = system.group.server(old_primary);
            (server.unresponsive, server.log, server.term) = (false, log, term);
        }
        let calls = system.platform.calls.borrow();
        let mut tokens: Vec<u64> = calls.iter().map(|call| call.token).collect();
        tokens.dedup();
        assert!(tokens.len() >= 2 && tokens.is_sorted(), "{calls:?}");
    });
}

// Guards against a draining primary that is not replaced, or whose replacement fails callers.
#[test]
fn replaces_a_draining_primary() {
    run(|| async {
        let system = System::start().await;
        system.put_plan(1, 1000).await;
        let mut caller = system.open_session().await;
        system.group.server(0).draining = true;
        for _ in 0..300 {
            if system.group.primary().is_some_and(|leader| leader != 0) {
                break;
            }
            sleep(Duration::from_millis(30)).await;
        }
        assert_ne!(system.group.primary(), Some(0));
        caller.run_until("WRITE egg 2", "ok I").await;
        caller.run_until("READ egg", "2 ok I").await;
    });
}

/// A system whose replica s2 has announced that it leaves. It still runs, and is the only replica
/// that receives the commits of the primary.
async fn system_with_leaving_replica() -> (System, Caller) {
    let system = System::start().await;
    system.put_plan(1, 1000).await;
    let mut caller = system.open_session().await;
    system.group.server(2).draining = true;
    sleep(Duration::from_millis(500)).await;
    let last_call = r#"{"born":7,"sequence":100000}"#;
    let reply = send(
        &system.http_addresses(),
        "DELETE",
        "/-/instances/s2",
        last_call,
    )
    .await;
    assert_eq!(reply.0, 200);
    system.group.server(1).replication_blocked = true;
    caller.run_until("WRITE egg 5", "ok I").await;
    (system, caller)
}

// A leaving replica that never receives the reply to its last call keeps running and acknowledges
// commits. Guards against the promotion of another replica that lacks these commits.
#[test]
fn waits_for_a_leaving_replica_that_may_still_run() {
    run(|| async {
        let (system, mut caller) = system_with_leaving_replica().await;
        for index in [0, 2] {
            system.group.server(index).unresponsive = true;
        }
        sleep(Duration::from_secs(4)).await;
        assert_eq!(system.group.primary(), Some(0));
        for index in [0, 1] {
            system.group.catch_up(index);
        }
        caller.run_until("READ egg", "5 ok I").await;
    });
}

// Guards against a change of primary that waits for a leaving replica which has exited, so that its
// connections are closed.
#[test]
fn does_not_wait_for_a_leaving_replica_that_has_exited() {
    run(|| async {
        let (system, _caller) = system_with_leaving_replica().await;
        system.group.catch_up(1);
        system.group.stop(2);
        sleep(Duration::from_millis(600)).await;
        system.group.server(0).unresponsive = true;
        for _ in 0..100 {
            if system.group.primary() == Some(1) {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("the primary was not replaced");
    });
}

// Guards against plans that are lost with a killed leader or replaced by an older plan.
#[test]
fn keeps_the_newest_plan_after_the_leader_is_killed() {
    run(|| async {
        let mut system = System::start().await;
        system.put_plan(3, 1000).await;
        system.put_plan(5, 900).await;
        let leader = system.leader().await;
        system.coordinators[leader].process = None;
        system.put_plan(4, 700).await;
        let plans = system.plans().await;
        assert!(!plans.is_empty());
        assert!(
            plans.iter().all(|found| *found == plan(5, 900)),
            "{plans:?}"
        );
        system.start_coordinator(leader, false);
        system.wait_for_member(leader).await;
    });
}

// Guards against a coordinator that does not become a voter again after the loss of its disk: the
// next loss would leave no quorum.
#[test]
fn coordinator_with_an_emptied_disk_becomes_a_voter_again() {
    run(|| async {
        let mut system = System::start().await;
        system.put_plan(3, 1000).await;
        let leader = system.leader().await;
        let emptied = (leader + 1) % 3;
        system.coordinators[emptied].process = None;
        fs::remove_dir_all(system.data_folder(emptied)).unwrap();
        system.start_coordinator(emptied, false);
        system.wait_for_member(emptied).await;
        // Upper bound of the time until a returned coordinator is a voter.
        sleep(Duration::from_secs(4)).await;
        system.coordinators[(leader + 2) % 3].process = None;
        system.put_plan(6, 800).await;
        let plans = system.plans().await;
        assert!(
            plans.iter().all(|found| *found == plan(6, 800)),
            "{plans:?}"
        );
    });
}

#[test]
fn refuses_an_invalid_plan() {
    run(|| async {
        let system = System::start().await;
        system.put_plan(1, 1000).await;
        let reply = send(
            &system.http_addresses(),
            "PUT",
            "/-/configuration",
            &plan(2, 0),
        )
        .await;
        assert_eq!(reply.0, 400);
        let plans = system.plans().await;
        assert!(
            plans.iter().all(|found| *found == plan(1, 1000)),
            "{plans:?}"
        );
    });
}

// Guards against a stop that loses answers: the last bytes of a session were lost when the process
// exited before they were sent.
#[test]
fn stop_loses_no_answer() {
    run(|| async {
        let mut system = System::start().await;
        system.put_plan(1, 1000).await;
        let mut callers = Vec::new();
        for _ in 0..8 {
            callers.push(system.open_session().await);
        }
        system.group.server(0).statement_time = Duration::from_millis(30);
        let mut tasks = Vec::new();
        for mut caller in callers {
            tasks.push(spawn_local(async move {
                loop {
                    let reply = caller.run("READ egg").await;
                    // The connection closes instead of an answer only if the statement was not run.
                    if reply == "closed" {
                        return;
                    }
                    assert_eq!(reply, "1 ok I");
                }
            }));
        }
        sleep(Duration::from_millis(300)).await;
        let mut proxy = system.proxies[0].process.take().unwrap();
        proxy.signal("TERM");
        let stop_duration = proxy.wait_for_exit().await;
        for task in tasks {
            task.await.unwrap();
        }
        assert!(
            stop_duration < Duration::from_millis(2900),
            "{stop_duration:?}"
        );
    });
}

// Guards against a primary that answers, but so slowly that it blocks all writes of its service.
#[test]
fn replaces_a_slow_primary() {
    run(|| async {
        let system = System::start().await;
        system.put_plan(1, 1000).await;
        let mut callers = Vec::new();
        for _ in 0..4 {
            callers.push(system.open_session().await);
        }
        system.group.server(0).statement_time = Duration::from_millis(600);
        for mut caller in callers {
            spawn_local(async move {
                loop {
                    caller.run("READ egg").await;
                }
            });
        }
        for _ in 0..300 {
            if system.group.primary().is_some_and(|leader| leader != 0) {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("the slow primary was not replaced");
    });
}

// Guards against operators who get no answer because servers keep their connections open between
// heartbeats; this happened with 90 servers.
#[test]
fn answers_operators_despite_hundreds_of_open_connections() {
    run(|| async {
        let system = System::start().await;
        system.put_plan(1, 1000).await;
        let leader = system.leader().await;
        let address = system.coordinators[leader].http;
        let mut open = Vec::new();
        for _ in 0..600 {
            open.push(TcpStream::connect(address).await.unwrap());
        }
        sleep(Duration::from_millis(300)).await;
        let reply = call(address, "GET", "/-/configuration", "").await;
        assert_eq!(reply.0, 200);
    });
}

// Four proxies share six connections per server and lend them to each other. Guards against
// statements that run with the session values of another session, which used the connection before.
#[test]
fn lends_connections_without_mixing_sessions() {
    run(|| async {
        let system = System::start_crowded().await;
        let mut tasks = Vec::new();
        for (index, proxy) in system.proxies.iter().enumerate() {
            let address = proxy.listen_address;
            tasks.push(spawn_local(async move {
                let mut caller = Caller::open(address, "till").await;
                assert_eq!(caller.run(&format!("SET entry e{index}")).await, "ok I");
                for round in 0..30 {
                    caller
                        .run_until(&format!("WRITE egg{index} {round}"), "ok I")
                        .await;
                    assert_eq!(caller.run("BEGIN").await, "ok T");
                    let read = caller.run(&format!("READ egg{index}")).await;
                    assert_eq!(read, format!("{round} ok T"));
                    assert_eq!(caller.run("ROLLBACK").await, "ok I");
                }
            }));
        }
        for task in tasks {
            task.await.unwrap();
        }
        let mut loans = 0;
        for proxy in &system.proxies {
            let metrics = call(proxy.http.unwrap(), "GET", "/metrics", "").await.1;
            let line = metrics
                .lines()
                .find_map(|line| line.strip_prefix("loans_total "));
            loans += line.unwrap().parse::<u64>().unwrap();
        }
        // Two of the four proxies borrow.
        assert!(loans > 60, "{loans} loans");
        for index in 0..4 {
            let item = format!("egg{index}");
            let server = system.group.server(0);
            let runs = server
                .executions
                .iter()
                .filter(|run| run.text.contains(&item));
            let own = std::collections::BTreeMap::from([("entry".to_owned(), format!("e{index}"))]);
            let runs: Vec<_> = runs.collect();
            assert!(runs.len() >= 60 && runs.iter().all(|run| run.variables == own));
        }
    });
}

// Guards against proxies that stop serving when the lender of their connections is lost.
#[test]
fn serves_callers_while_a_lender_is_lost() {
    run(|| async {
        let mut system = System::start_crowded().await;
        let mut caller = Caller::open(system.proxies[0].listen_address, "till").await;
        caller.run_until("WRITE egg 0", "ok I").await;
        // Two of the four proxies lend, so at least one of these three is a lender.
        for lost in 1..4 {
            system.proxies[lost].process = None;
            for round in 0..20 {
                caller
                    .run_until(&format!("WRITE egg {lost}{round}"), "ok I")
                    .await;
            }
            system.start_proxy(lost).await;
            sleep(Duration::from_millis(1500)).await;
        }
        caller.run_until("READ egg", "319 ok I").await;
    });
}

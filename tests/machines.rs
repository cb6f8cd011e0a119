//! Coordinators and proxies as processes, against stand-in servers of the platform.

#[path = "../platform/tests/standin/mod.rs"]
mod standin;
#[path = "machines/world.rs"]
mod world;

use std::fs;
use std::time::Duration;

use standin::{Caller, call};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;
use world::{World, plan, run, send};

// A primary that goes dark is replaced by a replica with every acknowledged write, under a token of
// its own for each change.
#[test]
fn replaces_a_dark_primary_twice() {
    run(|| async {
        let world = World::start().await;
        world.put_plan(1, 1000).await;
        let mut caller = world.caller().await;
        for round in 2..4 {
            let old = world.group.primary().unwrap();
            world.group.server(old).unresponsive = true;
            caller
                .run_until(&format!("WRITE egg {round}"), "ok I")
                .await;
            caller.run_until("READ egg", &format!("{round} ok I")).await;
            let new = world.group.primary().unwrap();
            assert_ne!(new, old);
            // The old one comes back as a replica.
            let log = world.group.server(new).log.clone();
            let term = world.group.server(new).term;
            let mut server = world.group.server(old);
            (server.unresponsive, server.log, server.term) = (false, log, term);
        }
        let calls = world.platform.calls.borrow();
        let mut tokens: Vec<u64> = calls.iter().map(|it| it.token).collect();
        tokens.dedup();
        assert!(tokens.len() >= 2 && tokens.is_sorted(), "{calls:?}");
    });
}

// A draining primary hands over while callers go on.
#[test]
fn moves_off_a_draining_primary() {
    run(|| async {
        let world = World::start().await;
        world.put_plan(1, 1000).await;
        let mut caller = world.caller().await;
        world.group.server(0).draining = true;
        for _ in 0..300 {
            if world.group.primary().is_some_and(|leader| leader != 0) {
                break;
            }
            sleep(Duration::from_millis(30)).await;
        }
        assert_ne!(world.group.primary(), Some(0));
        caller.run_until("WRITE egg 2", "ok I").await;
        caller.run_until("READ egg", "2 ok I").await;
    });
}

/// A world whose replica s2 is about to leave and has told so, with its last call. It is not gone
/// yet, and the only one that still receives what the primary commits.
async fn leaving_replica() -> (World, Caller) {
    let world = World::start().await;
    world.put_plan(1, 1000).await;
    let mut caller = world.caller().await;
    world.group.server(2).draining = true;
    sleep(Duration::from_millis(500)).await;
    let leave = r#"{"born":7,"sequence":100000}"#;
    let answer = send(&world.addresses(), "DELETE", "/-/instances/s2", leave).await;
    assert_eq!(answer.0, 200);
    world.group.server(1).replication_blocked = true;
    caller.run_until("WRITE egg 5", "ok I").await;
    (world, caller)
}

// A replica whose last call was answered into a cut runs on, and acknowledged commits of the primary
// that no other replica had: the other one was promoted without them.
#[test]
fn waits_for_a_leaving_replica_that_may_still_run() {
    run(|| async {
        let (world, mut caller) = leaving_replica().await;
        for index in [0, 2] {
            world.group.server(index).unresponsive = true;
        }
        sleep(Duration::from_secs(4)).await;
        assert_eq!(world.group.primary(), Some(0));
        for index in [0, 1] {
            world.group.catch_up(index);
        }
        caller.run_until("READ egg", "5 ok I").await;
    });
}

// A leaving replica that has closed its connections holds up no change of primary.
#[test]
fn waits_for_no_leaving_replica_that_has_ended() {
    run(|| async {
        let (world, _caller) = leaving_replica().await;
        world.group.catch_up(1);
        world.group.stop(2);
        sleep(Duration::from_millis(600)).await;
        world.group.server(0).unresponsive = true;
        for _ in 0..100 {
            if world.group.primary() == Some(1) {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("the primary was not replaced");
    });
}

// What was acknowledged is there after the leader is killed, and an older plan changes nothing.
#[test]
fn keeps_plans_over_a_killed_leader() {
    run(|| async {
        let mut world = World::start().await;
        world.put_plan(3, 1000).await;
        world.put_plan(5, 900).await;
        let leader = world.leader().await;
        world.coordinators[leader].process = None;
        world.put_plan(4, 700).await;
        let plans = world.plans().await;
        assert!(!plans.is_empty());
        assert!(plans.iter().all(|it| *it == plan(5, 900)), "{plans:?}");
        world.start_coordinator(leader, false);
        world.wait_for_member(leader).await;
    });
}

// An emptied disk comes back as a voter; then another instance may be lost.
#[test]
fn takes_an_emptied_disk_back_before_the_next_loss() {
    run(|| async {
        let mut world = World::start().await;
        world.put_plan(3, 1000).await;
        let leader = world.leader().await;
        let emptied = (leader + 1) % 3;
        world.coordinators[emptied].process = None;
        fs::remove_dir_all(world.data(emptied)).unwrap();
        world.start_coordinator(emptied, false);
        world.wait_for_member(emptied).await;
        // The bound within which a machine counts again.
        sleep(Duration::from_secs(4)).await;
        world.coordinators[(leader + 2) % 3].process = None;
        world.put_plan(6, 800).await;
        let plans = world.plans().await;
        assert!(plans.iter().all(|it| *it == plan(6, 800)), "{plans:?}");
    });
}

#[test]
fn refuses_an_invalid_plan() {
    run(|| async {
        let world = World::start().await;
        world.put_plan(1, 1000).await;
        let answer = send(&world.addresses(), "PUT", "/-/configuration", &plan(2, 0)).await;
        assert_eq!(answer.0, 400);
        let plans = world.plans().await;
        assert!(plans.iter().all(|it| *it == plan(1, 1000)), "{plans:?}");
    });
}

// A stop cuts no answer: the last bytes of a session were lost when the process ended with them.
#[test]
fn cuts_no_answer_at_a_stop() {
    run(|| async {
        let mut world = World::start().await;
        world.put_plan(1, 1000).await;
        let mut callers = Vec::new();
        for _ in 0..8 {
            callers.push(world.caller().await);
        }
        world.group.server(0).statement_time = Duration::from_millis(30);
        let mut tasks = Vec::new();
        for mut caller in callers {
            tasks.push(spawn_local(async move {
                loop {
                    let answer = caller.run("READ egg").await;
                    // The close comes in place of an answer to nothing that was run.
                    if answer == "closed" {
                        return;
                    }
                    assert_eq!(answer, "1 ok I");
                }
            }));
        }
        sleep(Duration::from_millis(300)).await;
        let mut proxy = world.proxies[0].process.take().unwrap();
        proxy.signal("TERM");
        let took = proxy.ended().await;
        for task in tasks {
            task.await.unwrap();
        }
        assert!(took < Duration::from_millis(2900), "{took:?}");
    });
}

// A primary that answers, but far too slowly for its callers, holds up all writes of its service.
#[test]
fn replaces_a_slow_primary() {
    run(|| async {
        let world = World::start().await;
        world.put_plan(1, 1000).await;
        let mut callers = Vec::new();
        for _ in 0..4 {
            callers.push(world.caller().await);
        }
        world.group.server(0).statement_time = Duration::from_millis(600);
        for mut caller in callers {
            spawn_local(async move {
                loop {
                    caller.run("READ egg").await;
                }
            });
        }
        for _ in 0..300 {
            if world.group.primary().is_some_and(|leader| leader != 0) {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("the slow primary still leads");
    });
}

// Servers keep their connections open between heartbeats: hundreds of them must not keep an operator
// from an answer. A sweep with 90 servers did.
#[test]
fn answers_operators_beside_hundreds_of_open_connections() {
    run(|| async {
        let world = World::start().await;
        world.put_plan(1, 1000).await;
        let leader = world.leader().await;
        let address = world.coordinators[leader].http;
        let mut open = Vec::new();
        for _ in 0..600 {
            open.push(TcpStream::connect(address).await.unwrap());
        }
        sleep(Duration::from_millis(300)).await;
        let answer = call(address, "GET", "/-/configuration", "").await;
        assert_eq!(answer.0, 200);
    });
}

// Four proxies before six connections a server lend them to each other. Statements of one session must not
// run under the values of another, which used the connection before.
#[test]
fn lends_connections_and_keeps_sessions_apart() {
    run(|| async {
        let world = World::start_crowded().await;
        let mut tasks = Vec::new();
        for (index, proxy) in world.proxies.iter().enumerate() {
            let address = proxy.callers;
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
        for proxy in &world.proxies {
            let metrics = call(proxy.http.unwrap(), "GET", "/metrics", "").await.1;
            let line = metrics
                .lines()
                .find_map(|it| it.strip_prefix("loans_total "));
            loans += line.unwrap().parse::<u64>().unwrap();
        }
        // Two of the four borrow.
        assert!(loans > 60, "{loans} loans");
        for index in 0..4 {
            let item = format!("egg{index}");
            let server = world.group.server(0);
            let runs = server
                .executions
                .iter()
                .filter(|it| it.text.contains(&item));
            let own = std::collections::BTreeMap::from([("entry".to_owned(), format!("e{index}"))]);
            let runs: Vec<_> = runs.collect();
            assert!(runs.len() >= 60 && runs.iter().all(|it| it.variables == own));
        }
    });
}

// The loss of a lender must not keep the entries that borrow from it from serving.
#[test]
fn serves_on_while_a_lender_is_lost() {
    run(|| async {
        let mut world = World::start_crowded().await;
        let mut caller = Caller::open(world.proxies[0].callers, "till").await;
        caller.run_until("WRITE egg 0", "ok I").await;
        // Two of the four lend, so that one of these is a lender.
        for lost in 1..4 {
            world.proxies[lost].process = None;
            for round in 0..20 {
                caller
                    .run_until(&format!("WRITE egg {lost}{round}"), "ok I")
                    .await;
            }
            world.start_proxy(lost).await;
            sleep(Duration::from_millis(1500)).await;
        }
        caller.run_until("READ egg", "319 ok I").await;
    });
}

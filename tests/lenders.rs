//! Lists of proxies that real coordinators send to real proxies in three failure domains.

#[path = "../platform/tests/standin/mod.rs"]
mod standin;
#[path = "machines/system.rs"]
mod system;

use std::fs;
use std::time::Duration;

use standin::{Caller, Group};
use system::{System, plan, run, send};
use tokio::time::sleep;

/// Numbers of proxies in the lists that a proxy has received, without repetitions.
fn list_lengths(system: &System, proxy: usize) -> Vec<usize> {
    let path = system.folder.path().join(format!("p{proxy}.log"));
    let log = fs::read_to_string(path).unwrap_or_default();
    let lines = log
        .lines()
        .filter(|line| line.contains("received the list of proxies"));
    let mut lengths: Vec<usize> = lines
        .filter_map(|line| line.split_once("entries=")?.1.trim().parse().ok())
        .collect();
    lengths.dedup();
    lengths
}

async fn wait_for_lists(system: &System, expected: &[usize]) {
    let mut lists = Vec::new();
    for _ in 0..100 {
        lists = (0..3).map(|proxy| list_lengths(system, proxy)).collect();
        if lists.iter().all(|lengths| lengths == expected) {
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
    panic!("lists of {lists:?} proxies, expected {expected:?}");
}

// Guards against proxies that keep the list of the wrong domains after the plan has got its first
// tenant or lost its last one: they would choose other lenders than the rest, or find none.
#[test]
fn lists_follow_plans_that_get_and_lose_tenants() {
    run(|| async {
        let system = System::start_with(Group::start(3).await, 3).await;
        system.put_plan(1, 1000).await;
        wait_for_lists(&system, &[1]).await;
        let tenants = r#"{"tenants":[{"name":"mill","api_keys":["k0"]}],"#;
        let document = plan(2, 1000).replacen('{', tenants, 1);
        let reply = send(
            &system.http_addresses(),
            "PUT",
            "/-/configuration",
            &document,
        )
        .await;
        assert_eq!(reply.0, 200, "{}", reply.1);
        wait_for_lists(&system, &[1, 3]).await;
        for proxy in &system.proxies {
            let mut caller = Caller::open_as(proxy.listen_address, "till", "k0").await;
            caller.run_until("READ egg", "none ok I").await;
        }
        system.put_plan(3, 1000).await;
        wait_for_lists(&system, &[1, 3, 1]).await;
        for proxy in &system.proxies {
            let mut caller = Caller::open(proxy.listen_address, "till").await;
            caller.run_until("READ egg", "none ok I").await;
        }
    });
}

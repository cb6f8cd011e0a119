//! Rate limits of tenants with real coordinators and proxies.

#[path = "../platform/tests/standin/mod.rs"]
mod standin;
#[path = "machines/system.rs"]
mod system;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;
use standin::{Caller, Group};
use system::{System, plan, run, send};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Operations per second and burst of the tenant.
const RATE: usize = 20;
const BURST: usize = 20;
/// The window of the rule, in samples.
const WINDOW: Duration = Duration::from_secs(5);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
const WINDOW_SAMPLES: usize = (WINDOW.as_millis() / SAMPLE_INTERVAL.as_millis()) as usize;
/// The most operations that may reach servers within a window.
const LIMIT: usize = (RATE * 5 + BURST) * 11 / 10 + 20;
/// Callers at each proxy. Together they ask for many times the limit.
const CALLERS: usize = 4;
const PAUSE_AFTER_REFUSAL: Duration = Duration::from_millis(10);

async fn start() -> System {
    let system = System::start_with(Group::start(3).await, 2).await;
    let tenants = format!(
        r#""tenants":[{{"name":"farm","api_keys":["test"],"rate_per_s":{RATE},"burst_size":{BURST}}}],"#
    );
    let body = plan(1, 1000).replace(r#""services":"#, &format!(r#"{tenants}"services":"#));
    for _ in 0..200 {
        let reply = send(&system.http_addresses(), "PUT", "/-/configuration", &body).await;
        if reply.0 == 200 {
            return system;
        }
        sleep(Duration::from_millis(50)).await;
    }
    panic!("plan not acknowledged");
}

/// Operations that have reached servers.
fn executions(system: &System) -> usize {
    let servers = (0..3).map(|index| system.group.server(index));
    let reads = |server: std::cell::RefMut<'_, standin::Server>| {
        let executions = server.executions.iter();
        executions
            .filter(|execution| execution.text.contains("READ egg"))
            .count()
    };
    servers.map(reads).sum()
}

/// Samples the operations at the servers for `time`.
async fn sample(system: &System, time: Duration, samples: &mut Vec<usize>) {
    let count = time.as_millis() / SAMPLE_INTERVAL.as_millis();
    for _ in 0..count {
        samples.push(executions(system));
        sleep(SAMPLE_INTERVAL).await;
    }
}

#[derive(Clone, Copy)]
enum Loss {
    Killed,
    /// It goes on after others have replaced it.
    Stopped,
}

// Guards against proxies that each serve the whole limit, against a new leader that issues again what
// the lost one has issued, against a replaced leader that goes on, and against callers that stay refused
// after a change of the leader.
#[rstest]
#[case::killed(Loss::Killed)]
#[case::stopped(Loss::Stopped)]
fn two_proxies_share_a_limit_over_a_change_of_the_leader(#[case] loss: Loss) {
    run(|| async move {
        let mut system = start().await;
        let refused = Rc::new(Cell::new(0));
        for proxy in &system.proxies {
            for _ in 0..CALLERS {
                let mut caller = Caller::open(proxy.listen_address, "till").await;
                let refused = Rc::clone(&refused);
                spawn_local(async move {
                    loop {
                        let answer = caller.run("READ egg").await;
                        if answer == "BUSY I" {
                            refused.set(refused.get() + 1);
                            sleep(PAUSE_AFTER_REFUSAL).await;
                        }
                    }
                });
            }
        }
        let mut samples = Vec::new();
        sample(&system, Duration::from_secs(6), &mut samples).await;
        let leader = system.leader().await;
        let process = system.coordinators[leader].process.take().unwrap();
        match loss {
            Loss::Killed => drop(process),
            Loss::Stopped => {
                process.signal("STOP");
                sample(&system, Duration::from_secs(3), &mut samples).await;
                process.signal("CONT");
                system.coordinators[leader].process = Some(process);
            }
        }
        sample(&system, Duration::from_secs(7), &mut samples).await;
        for (start, window) in samples.windows(WINDOW_SAMPLES + 1).enumerate() {
            let sent = window[WINDOW_SAMPLES] - window[0];
            assert!(
                sent <= LIMIT,
                "{sent} operations in a window from sample {start}"
            );
        }
        assert!(refused.get() > LIMIT, "{} refused", refused.get());
        // A new issuer counts half of the burst as held for one lifetime; the rate is available.
        let last = samples[samples.len() - 1] - samples[samples.len() - 1 - 40];
        assert!(last >= RATE, "{last} operations in the last two seconds");
    });
}

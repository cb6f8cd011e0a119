//! Random overlapping faults in a system of real processes: signals to coordinators and proxies,
//! emptied disks, silent servers, and connections to servers that are delayed, blocked in one
//! direction or reset. The answers to callers and the logs of servers are checked against the
//! promises.
//!
//! `SOAK_SEEDS=FIRST..END cargo nextest run --test soak` runs other seeds, one after the other.

#[path = "machines/relay.rs"]
mod relay;
#[path = "../platform/tests/standin/mod.rs"]
mod standin;
#[path = "machines/system.rs"]
mod system;

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use relay::{Fault, Relay};
use rstest::rstest;
use standin::{Caller, Group};
use system::{System, run};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Period in which faults begin.
const FAULT_PERIOD: Duration = Duration::from_secs(8);
/// Time limit after the last fault until callers are served again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after its restart during which a coordinator counts as lost.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);
/// Number of concurrent callers.
const CALLER_COUNT: usize = 6;

/// Outcomes of the writes of one caller to its item, whose values count up.
#[derive(Debug, Default)]
struct Outcomes {
    acknowledged: BTreeSet<u64>,
    refused: BTreeSet<u64>,
    last: u64,
}

impl Outcomes {
    /// Records the answer to the write of a value, or to the commit of that write.
    fn record(&mut self, value: u64, answer: &str) {
        if answer.starts_with("ok") {
            self.acknowledged.insert(value);
            self.last = value;
        } else if ["BUSY", "ABORTED", "READONLY", "LAGGING"]
            .iter()
            .any(|code| answer.starts_with(code))
        {
            self.refused.insert(value);
        }
    }
}

/// Writes and reads until `stop` is set; returns the outcomes of the writes.
async fn run_caller(
    item: String,
    proxies: Vec<SocketAddr>,
    stop: Rc<Cell<bool>>,
    errors: Rc<RefCell<Vec<String>>>,
) -> Outcomes {
    let mut outcomes = Outcomes::default();
    let (mut value, mut attempt) = (0, 0);
    let mut open: Option<(Caller, u64)> = None;
    while !stop.get() {
        attempt += 1;
        let Some((caller, session_value)) = &mut open else {
            let proxy = proxies[attempt % proxies.len()];
            let database = if attempt % 2 == 0 { "till" } else { "farm" };
            let opened = timeout(Duration::from_secs(2), Caller::try_open(proxy, database));
            match opened.await {
                Ok(Ok(caller)) => open = Some((caller, 0)),
                _ => sleep(Duration::from_millis(50)).await,
            }
            continue;
        };
        value += 1;
        let write = format!("WRITE {item} {value}");
        let answer = if attempt % 3 == 0 {
            write_in_transaction(caller, &write).await
        } else {
            caller.run(&write).await
        };
        outcomes.record(value, &answer);
        if answer.starts_with("ok") {
            *session_value = value;
        }
        if answer != "ok I" {
            open = None;
            sleep(Duration::from_millis(30)).await;
            continue;
        }
        let read = caller.run(&format!("READ {item}")).await;
        if let Some(value_read) = read.strip_suffix(" ok I") {
            let value_read: u64 = value_read.parse().unwrap_or(0);
            if value_read < outcomes.last || value_read < *session_value {
                let text = format!(
                    "{item}: read {value_read} after the acknowledged {}",
                    outcomes.last
                );
                errors.borrow_mut().push(text);
            }
            if outcomes.refused.contains(&value_read) {
                errors
                    .borrow_mut()
                    .push(format!("{item}: read {value_read}, which was refused"));
            }
        } else {
            open = None;
        }
        sleep(Duration::from_millis(5)).await;
    }
    outcomes
}

/// Writes in a transaction. Returns the answer to the commit, or the error that prevented the
/// commit.
async fn write_in_transaction(caller: &mut Caller, write: &str) -> String {
    let begin_answer = caller.run("BEGIN").await;
    if begin_answer != "ok T" {
        return if begin_answer == "closed" {
            "ABORTED".to_owned()
        } else {
            begin_answer
        };
    }
    let write_answer = caller.run(write).await;
    if write_answer != "ok T" {
        // Without a commit the transaction is rolled back.
        return "ABORTED".to_owned();
    }
    caller.run("COMMIT").await
}

/// Injects faults during the fault period. Every fault ends by itself or is repaired.
struct Faults {
    rng: SmallRng,
    system: System,
    relays: Vec<Relay>,
    /// Instant until which a coordinator counts as lost.
    lost_until: Instant,
    version: u64,
    log: Vec<String>,
}

impl Faults {
    async fn inject(&mut self) {
        let end = Instant::now() + FAULT_PERIOD;
        while Instant::now() < end {
            self.inject_fault().await;
            let pause = self.rng.random_range(50..700);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    fn log_fault(&mut self, text: String) {
        self.log.push(text);
    }

    async fn inject_fault(&mut self) {
        let kind = self.rng.random_range(0..10);
        match kind {
            0 | 1 => self.fail_coordinator().await,
            2 | 3 => self.fail_proxy().await,
            4 => self.silence_server(),
            5..=7 => self.degrade_connections(),
            8 => self.reset_connections(),
            _ => {
                self.version += 1;
                let version = self.version;
                self.log_fault(format!("plan {version}"));
                let body = system::plan(version, 900 + version % 100);
                let addresses = self.system.http_addresses();
                spawn_local(async move {
                    system::send(&addresses, "PUT", "/-/configuration", &body).await;
                });
            }
        }
    }

    /// Fails one coordinator at a time, the next one only after the last one has caught up.
    async fn fail_coordinator(&mut self) {
        if Instant::now() < self.lost_until {
            return;
        }
        let index = self.rng.random_range(0..3);
        let mode = self.rng.random_range(0..3);
        let time = Duration::from_millis(self.rng.random_range(100..1500));
        self.log_fault(format!("coordinator {index}, mode {mode}, for {time:?}"));
        if mode == 0 {
            let process = self.system.coordinators[index].process.as_ref().unwrap();
            process.signal("STOP");
            sleep(time).await;
            process.signal("CONT");
        } else {
            self.system.coordinators[index].process = None;
            if mode == 2 {
                fs::remove_dir_all(self.system.data_folder(index)).unwrap();
            }
            sleep(time).await;
            self.system.start_coordinator(index, false);
        }
        self.lost_until = Instant::now() + CATCH_UP_TIME;
    }

    async fn fail_proxy(&mut self) {
        let index = self.rng.random_range(0..self.system.proxies.len());
        let signal = ["STOP", "KILL", "TERM"][self.rng.random_range(0..3)];
        let time = Duration::from_millis(self.rng.random_range(50..800));
        self.log_fault(format!("proxy {index}, {signal}, for {time:?}"));
        if signal == "STOP" {
            let process = self.system.proxies[index].process.as_ref().unwrap();
            process.signal("STOP");
            sleep(time).await;
            process.signal("CONT");
            return;
        }
        let mut process = self.system.proxies[index].process.take().unwrap();
        process.signal(signal);
        process.wait_for_exit().await;
        self.system.start_proxy(index).await;
    }

    fn silence_server(&mut self) {
        let group = self.system.group.clone();
        let silent = group.0.iter().any(|server| server.borrow().unresponsive);
        if silent {
            return;
        }
        let index = self.rng.random_range(0..3);
        let time = Duration::from_millis(self.rng.random_range(200..2500));
        self.log_fault(format!("server {index} silent for {time:?}"));
        group.server(index).unresponsive = true;
        spawn_local(async move {
            sleep(time).await;
            group.catch_up(index);
        });
    }

    fn degrade_connections(&mut self) {
        let index = self.rng.random_range(0..3);
        let fault = Fault {
            delay: Duration::from_millis(self.rng.random_range(0..60)),
            blocks_requests: self.rng.random_bool(0.25),
            blocks_answers: self.rng.random_bool(0.25),
        };
        let time = Duration::from_millis(self.rng.random_range(100..1500));
        self.log_fault(format!(
            "connections to server {index}: {fault:?} for {time:?}"
        ));
        let relay = self.relays[index].clone();
        *relay.fault.borrow_mut() = fault;
        spawn_local(async move {
            sleep(time).await;
            *relay.fault.borrow_mut() = Fault::default();
        });
    }

    fn reset_connections(&mut self) {
        let index = self.rng.random_range(0..3);
        self.log_fault(format!("connections to server {index} reset"));
        self.relays[index].reset();
    }
}

/// Checks the log of the final primary against the outcomes that a caller saw.
fn check(group: &Group, item: &str, outcomes: &Outcomes, errors: &mut Vec<String>) {
    let leader = group.primary().unwrap();
    let server = group.server(leader);
    let entries = server.log.iter().filter(|entry| entry.item == item);
    let stored: Vec<u64> = entries.map(|entry| entry.data.parse().unwrap()).collect();
    let unique: BTreeSet<u64> = stored.iter().copied().collect();
    if unique.len() != stored.len() {
        errors.push(format!("{item}: a write took effect twice"));
    }
    let lost: Vec<_> = outcomes.acknowledged.difference(&unique).collect();
    if !lost.is_empty() {
        errors.push(format!("{item}: acknowledged writes lost: {lost:?}"));
    }
    let stored_refusals: Vec<_> = outcomes.refused.intersection(&unique).collect();
    if !stored_refusals.is_empty() {
        errors.push(format!(
            "{item}: refused writes stored: {stored_refusals:?}"
        ));
    }
}

async fn soak(seed: u64) {
    let group = Group::start(3).await;
    let mut relays = Vec::new();
    for index in 0..3 {
        let address = group.server(index).address;
        let relay = Relay::start(address).await;
        group.server(index).address = relay.address;
        relays.push(relay);
    }
    let system = System::start_with(group.clone(), 2).await;
    system.put_plan(1, 1000).await;
    system.open_session().await;
    let proxies: Vec<SocketAddr> = system
        .proxies
        .iter()
        .map(|proxy| proxy.listen_address)
        .collect();
    let (stop, errors) = (Rc::new(Cell::new(false)), Rc::new(RefCell::new(Vec::new())));
    let mut callers = Vec::new();
    for number in 0..CALLER_COUNT {
        let (proxies, stop, errors) = (proxies.clone(), Rc::clone(&stop), Rc::clone(&errors));
        let item = format!("item{number}");
        callers.push((
            item.clone(),
            spawn_local(run_caller(item, proxies, stop, errors)),
        ));
    }
    let mut faults = Faults {
        rng: SmallRng::seed_from_u64(seed),
        system,
        relays,
        lost_until: Instant::now(),
        version: 1,
        log: Vec::new(),
    };
    faults.inject().await;
    // The longest faults end within this time; callers must be served again after it.
    sleep(Duration::from_secs(3)).await;
    let mut session = timeout(RECOVERY_TIMEOUT, Caller::open(proxies[0], "till")).await;
    match &mut session {
        Ok(caller) => {
            let write = timeout(RECOVERY_TIMEOUT, caller.run_until("WRITE last 1", "ok I")).await;
            if write.is_err() {
                errors
                    .borrow_mut()
                    .push("no write is served after the faults".to_owned());
            }
        }
        Err(_) => errors
            .borrow_mut()
            .push("no session after the faults".to_owned()),
    }
    stop.set(true);
    let mut acknowledged = 0;
    for (item, caller) in callers {
        let outcomes = caller.await.unwrap();
        acknowledged += outcomes.acknowledged.len();
        check(&group, &item, &outcomes, &mut errors.borrow_mut());
    }
    let errors = errors.borrow();
    let log = faults.log.join("\n  ");
    assert!(
        errors.is_empty(),
        "seed {seed}: {errors:#?}\nfaults:\n  {log}"
    );
    assert!(
        acknowledged > 50,
        "seed {seed}: only {acknowledged} acknowledged writes\nfaults:\n  {log}"
    );
}

/// Seeds to run: those of the environment, or `default`.
fn seeds(default: std::ops::Range<u64>) -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return default;
    };
    let (first, end) = text.split_once("..").unwrap();
    first.parse().unwrap()..end.parse().unwrap()
}

// Guards against acknowledged writes that are lost or doubled, refused writes that are stored, and
// stale reads, under overlapping faults.
#[rstest]
#[case::first(1..2)]
#[case::second(2..3)]
fn keeps_its_promises_under_faults(#[case] default: std::ops::Range<u64>) {
    for seed in seeds(default) {
        run(move || soak(seed));
    }
}

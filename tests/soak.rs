//! Randomized faults against real processes: signals to coordinators and proxies, emptied disks,
//! and connections to servers that are delayed, cut one way, silenced or reset, in overlapping
//! series. What callers and servers see is checked against the promises.
//!
//! `SOAK_SEEDS=FIRST..END cargo nextest run --test soak` plays other seeds, one after the other.

#[path = "machines/gate.rs"]
mod gate;
#[path = "../platform/tests/standin/mod.rs"]
mod standin;
#[path = "machines/world.rs"]
mod world;

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gate::{Fault, Gate};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use standin::{Caller, Group};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use world::{World, run};

/// Time in which faults begin.
const FAULTS: Duration = Duration::from_secs(8);
/// Time after the last fault by which everything is served again.
const RECOVERY: Duration = Duration::from_secs(15);
/// Time after its return during which a coordinator counts as lost.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Callers at a time.
const CALLERS: usize = 6;

/// What one caller was told of the writes to its item, which count up.
#[derive(Debug, Default)]
struct Told {
    acknowledged: BTreeSet<u64>,
    refused: BTreeSet<u64>,
    last: u64,
}

impl Told {
    /// Takes the answer to the write, or to the commit of the write, of a value.
    fn take(&mut self, value: u64, answer: &str) {
        if answer.starts_with("ok") {
            self.acknowledged.insert(value);
            self.last = value;
        } else if ["BUSY", "ABORTED", "READONLY", "LAGGING"]
            .iter()
            .any(|it| answer.starts_with(it))
        {
            self.refused.insert(value);
        }
    }
}

/// Writes and reads until told to stop; returns what it was told.
async fn call(
    item: String,
    proxies: Vec<SocketAddr>,
    stop: Rc<Cell<bool>>,
    errors: Rc<RefCell<Vec<String>>>,
) -> Told {
    let mut told = Told::default();
    let (mut value, mut turn) = (0, 0);
    let mut open: Option<(Caller, u64)> = None;
    while !stop.get() {
        turn += 1;
        let Some((caller, own)) = &mut open else {
            let proxy = proxies[turn % proxies.len()];
            let database = if turn % 2 == 0 { "till" } else { "farm" };
            let opened = timeout(Duration::from_secs(2), Caller::try_open(proxy, database));
            match opened.await {
                Ok(Ok(caller)) => open = Some((caller, 0)),
                _ => sleep(Duration::from_millis(50)).await,
            }
            continue;
        };
        value += 1;
        let write = format!("WRITE {item} {value}");
        let answer = if turn % 3 == 0 {
            transaction(caller, &write).await
        } else {
            caller.run(&write).await
        };
        told.take(value, &answer);
        if answer.starts_with("ok") {
            *own = value;
        }
        if answer != "ok I" {
            open = None;
            sleep(Duration::from_millis(30)).await;
            continue;
        }
        let read = caller.run(&format!("READ {item}")).await;
        if let Some(found) = read.strip_suffix(" ok I") {
            let found: u64 = found.parse().unwrap_or(0);
            if found < told.last || found < *own {
                let text = format!("{item}: read {found} after {} was acknowledged", told.last);
                errors.borrow_mut().push(text);
            }
            if told.refused.contains(&found) {
                errors
                    .borrow_mut()
                    .push(format!("{item}: read {found}, which was refused"));
            }
        } else {
            open = None;
        }
        sleep(Duration::from_millis(5)).await;
    }
    told
}

/// Writes in a transaction. The answer is that of the commit, or of what kept it from being sent.
async fn transaction(caller: &mut Caller, write: &str) -> String {
    let begun = caller.run("BEGIN").await;
    if begun != "ok T" {
        return if begun == "closed" {
            "ABORTED".to_owned()
        } else {
            begun
        };
    }
    let written = caller.run(write).await;
    if written != "ok T" {
        // Without its commit nothing of the transaction is kept.
        return "ABORTED".to_owned();
    }
    caller.run("COMMIT").await
}

/// Injects faults until the time for them is over; heals everything it has done.
struct Faults {
    rng: SmallRng,
    world: World,
    gates: Vec<Gate>,
    /// Until when a coordinator counts as lost.
    lost_until: Instant,
    version: u64,
    played: Vec<String>,
}

impl Faults {
    async fn play(&mut self) {
        let end = Instant::now() + FAULTS;
        while Instant::now() < end {
            self.fault().await;
            let pause = self.rng.random_range(50..700);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    fn note(&mut self, text: String) {
        self.played.push(text);
    }

    async fn fault(&mut self) {
        let kind = self.rng.random_range(0..10);
        match kind {
            0 | 1 => self.hurt_coordinator().await,
            2 | 3 => self.hurt_proxy().await,
            4 => self.silence_server(),
            5..=7 => self.hurt_connections(),
            8 => self.reset_connections(),
            _ => {
                self.version += 1;
                let version = self.version;
                self.note(format!("plan {version}"));
                let body = world::plan(version, 900 + version % 100);
                let addresses = self.world.addresses();
                spawn_local(async move {
                    world::send(&addresses, "PUT", "/-/configuration", &body).await;
                });
            }
        }
    }

    /// One coordinator at a time, and the next one only once the last has caught up.
    async fn hurt_coordinator(&mut self) {
        if Instant::now() < self.lost_until {
            return;
        }
        let index = self.rng.random_range(0..3);
        let how = self.rng.random_range(0..3);
        let time = Duration::from_millis(self.rng.random_range(100..1500));
        self.note(format!("coordinator {index}, way {how}, for {time:?}"));
        if how == 0 {
            let process = self.world.coordinators[index].process.as_ref().unwrap();
            process.signal("STOP");
            sleep(time).await;
            process.signal("CONT");
        } else {
            self.world.coordinators[index].process = None;
            if how == 2 {
                fs::remove_dir_all(self.world.data(index)).unwrap();
            }
            sleep(time).await;
            self.world.start_coordinator(index, false);
        }
        self.lost_until = Instant::now() + CATCH_UP;
    }

    async fn hurt_proxy(&mut self) {
        let index = self.rng.random_range(0..self.world.proxies.len());
        let signal = ["STOP", "KILL", "TERM"][self.rng.random_range(0..3)];
        let time = Duration::from_millis(self.rng.random_range(50..800));
        self.note(format!("proxy {index}, {signal}, for {time:?}"));
        if signal == "STOP" {
            let process = self.world.proxies[index].process.as_ref().unwrap();
            process.signal("STOP");
            sleep(time).await;
            process.signal("CONT");
            return;
        }
        let mut process = self.world.proxies[index].process.take().unwrap();
        process.signal(signal);
        process.ended().await;
        self.world.start_proxy(index).await;
    }

    fn silence_server(&mut self) {
        let group = self.world.group.clone();
        let silent = group.0.iter().any(|server| server.borrow().unresponsive);
        if silent {
            return;
        }
        let index = self.rng.random_range(0..3);
        let time = Duration::from_millis(self.rng.random_range(200..2500));
        self.note(format!("server {index} silent for {time:?}"));
        group.server(index).unresponsive = true;
        spawn_local(async move {
            sleep(time).await;
            group.catch_up(index);
        });
    }

    fn hurt_connections(&mut self) {
        let index = self.rng.random_range(0..3);
        let fault = Fault {
            delay: Duration::from_millis(self.rng.random_range(0..60)),
            deaf: self.rng.random_bool(0.25),
            mute: self.rng.random_bool(0.25),
        };
        let time = Duration::from_millis(self.rng.random_range(100..1500));
        self.note(format!(
            "connections to server {index}: {fault:?} for {time:?}"
        ));
        let gate = self.gates[index].clone();
        *gate.fault.borrow_mut() = fault;
        spawn_local(async move {
            sleep(time).await;
            *gate.fault.borrow_mut() = Fault::default();
        });
    }

    fn reset_connections(&mut self) {
        let index = self.rng.random_range(0..3);
        self.note(format!("connections to server {index} reset"));
        self.gates[index].reset();
    }
}

/// Checks the log of the server that leads at the end against what callers were told.
fn check(group: &Group, item: &str, told: &Told, errors: &mut Vec<String>) {
    let leader = group.primary().unwrap();
    let server = group.server(leader);
    let entries = server.log.iter().filter(|entry| entry.item == item);
    let found: Vec<u64> = entries.map(|entry| entry.data.parse().unwrap()).collect();
    let unique: BTreeSet<u64> = found.iter().copied().collect();
    if unique.len() != found.len() {
        errors.push(format!("{item}: a write took effect twice"));
    }
    let lost: Vec<_> = told.acknowledged.difference(&unique).collect();
    if !lost.is_empty() {
        errors.push(format!("{item}: acknowledged and lost: {lost:?}"));
    }
    let kept: Vec<_> = told.refused.intersection(&unique).collect();
    if !kept.is_empty() {
        errors.push(format!("{item}: refused and kept: {kept:?}"));
    }
}

async fn soak(seed: u64) {
    let group = Group::start(3).await;
    let mut gates = Vec::new();
    for index in 0..3 {
        let address = group.server(index).address;
        let gate = Gate::start(address).await;
        group.server(index).address = gate.address;
        gates.push(gate);
    }
    let world = World::start_with(group.clone(), 2).await;
    world.put_plan(1, 1000).await;
    world.caller().await;
    let proxies: Vec<SocketAddr> = world.proxies.iter().map(|it| it.callers).collect();
    let (stop, errors) = (Rc::new(Cell::new(false)), Rc::new(RefCell::new(Vec::new())));
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let (proxies, stop, errors) = (proxies.clone(), Rc::clone(&stop), Rc::clone(&errors));
        let item = format!("item{number}");
        callers.push((item.clone(), spawn_local(call(item, proxies, stop, errors))));
    }
    let mut faults = Faults {
        rng: SmallRng::seed_from_u64(seed),
        world,
        gates,
        lost_until: Instant::now(),
        version: 1,
        played: Vec::new(),
    };
    faults.play().await;
    // The longest faults end by themselves; then everything has to be served again.
    sleep(Duration::from_secs(3)).await;
    let mut served = timeout(RECOVERY, Caller::open(proxies[0], "till")).await;
    match &mut served {
        Ok(caller) => {
            let write = timeout(RECOVERY, caller.run_until("WRITE last 1", "ok I")).await;
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
    let mut total = 0;
    for (item, caller) in callers {
        let told = caller.await.unwrap();
        total += told.acknowledged.len();
        check(&group, &item, &told, &mut errors.borrow_mut());
    }
    let errors = errors.borrow();
    let played = faults.played.join("\n  ");
    assert!(
        errors.is_empty(),
        "seed {seed}: {errors:#?}\nplayed:\n  {played}"
    );
    assert!(
        total > 50,
        "seed {seed}: only {total} writes\nplayed:\n  {played}"
    );
}

/// Seeds that are played: those of the environment, or these.
fn seeds(default: std::ops::Range<u64>) -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return default;
    };
    let (first, end) = text.split_once("..").unwrap();
    first.parse().unwrap()..end.parse().unwrap()
}

// Lost, doubled or refused writes that took effect, and stale reads, under overlapping faults.
#[rstest]
#[case::first(1..2)]
#[case::second(2..3)]
fn keeps_its_promises_under_faults(#[case] default: std::ops::Range<u64>) {
    for seed in seeds(default) {
        run(move || soak(seed));
    }
}

//! Random loss, delay, restart, partition and leader change, with slow clocks.
//!
//! Guards two invariants: connections of all entries never exceed a target's limit, and once
//! `fenced_by` says so, no process with a valid lease acts under an older catalog.

use std::time::{Duration, Instant};

use lease::allowance::Allowance;
use lease::grant::{Renewal, Table};
use lease::holder::Lease;
use lease::quota::{Answer, Quota, Split};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use types::{Name, Revision};

const TTL: Duration = Duration::from_millis(1000);
/// Large, so that an error in counting it shows.
const DRIFT: u32 = 100_000;
const LIMIT: u32 = 10;
const FLOOR: u32 = 2;
const ENTRIES: usize = 3;

fn entry(index: usize) -> Name {
    Name::try_from(format!("e{index}")).unwrap()
}

fn target() -> Name {
    Name::try_from("t").unwrap()
}

/// A message that is never delivered is a lost one.
#[derive(Clone, Debug)]
enum Event {
    Advance(u64),
    Renew {
        entry: usize,
        demand: u32,
    },
    DeliverUp(prop::sample::Index),
    DeliverDown(prop::sample::Index),
    /// Closes the connections that the latest grant does not cover.
    Close(usize),
    /// The old process stays, frozen, if `frozen`; else its connections end with it.
    Restart {
        entry: usize,
        frozen: bool,
    },
    Elect,
    Fence,
}

fn event() -> impl Strategy<Value = Event> {
    let index = any::<prop::sample::Index>;
    prop_oneof![
        4 => (1_u64..600).prop_map(Event::Advance),
        8 => (0..ENTRIES, 0_u32..14).prop_map(|(entry, demand)| Event::Renew { entry, demand }),
        8 => index().prop_map(Event::DeliverUp),
        8 => index().prop_map(Event::DeliverDown),
        3 => (0..ENTRIES).prop_map(Event::Close),
        1 => (0..ENTRIES, any::<bool>()).prop_map(|(entry, frozen)| Event::Restart { entry, frozen }),
        1 => Just(Event::Elect),
        2 => Just(Event::Fence),
    ]
}

/// A running or frozen process of an entry.
#[derive(Debug)]
struct Process {
    entry: usize,
    boot: u64,
    started: Instant,
    replaced: bool,
    /// How much slower than the leader's its clock is.
    slow_ppm: u32,
    lease: Lease,
    allowance: Allowance,
    applied: Revision,
}

struct Up {
    entry: usize,
    boot: u64,
    seq: u64,
    age: Duration,
    confirmed: u64,
    demand: u32,
    revision: Revision,
}

struct Down {
    entry: usize,
    boot: u64,
    seq: u64,
    revision: Revision,
    quotas: Vec<Quota>,
}

struct World {
    start: Instant,
    now: Instant,
    revision: Revision,
    boots: u64,
    table: Table,
    split: Split,
    processes: Vec<Process>,
    ups: Vec<Up>,
    downs: Vec<Down>,
    fences: Vec<Revision>,
}

fn leader(now: Instant) -> (Table, Split) {
    let names: Vec<Name> = (0..ENTRIES).map(entry).collect();
    let table = Table::new(now, TTL, DRIFT, &names);
    let mut split = Split::new(table.grace(), &names);
    split.set(&target(), LIMIT, FLOOR);
    (table, split)
}

impl World {
    fn new(slow: [u32; ENTRIES]) -> Self {
        let start = Instant::now();
        // Work starts after the first leader's grace, or most runs would see floors only.
        let now = start + 2 * TTL;
        let (table, split) = leader(start);
        let mut world = Self {
            start,
            now,
            revision: Revision(1),
            boots: 0,
            table,
            split,
            processes: Vec::new(),
            ups: Vec::new(),
            downs: Vec::new(),
            fences: Vec::new(),
        };
        for (index, ppm) in slow.into_iter().enumerate() {
            world.launch(index, ppm);
        }
        world
    }

    /// The time of a clock that is slower than the leader's.
    fn local(&self, slow_ppm: u32) -> Instant {
        let passed = (self.now - self.start).as_nanos();
        let local = passed * 1_000_000 / (1_000_000 + u128::from(slow_ppm));
        self.start + Duration::from_nanos(u64::try_from(local).unwrap())
    }

    fn launch(&mut self, entry: usize, slow_ppm: u32) {
        self.boots += 1;
        self.processes.push(Process {
            entry,
            boot: self.boots,
            started: self.local(slow_ppm),
            replaced: false,
            slow_ppm,
            lease: Lease::default(),
            allowance: Allowance::default(),
            applied: Revision(1),
        });
    }

    fn present(&mut self, entry: usize) -> usize {
        let found = |p: &Process| p.entry == entry && !p.replaced;
        self.processes.iter().position(found).unwrap()
    }

    fn run(&mut self, event: Event) {
        match event {
            Event::Advance(ms) => self.now += Duration::from_millis(ms),
            Event::Renew { entry, demand } => self.send(entry, demand),
            Event::DeliverUp(index) if !self.ups.is_empty() => {
                let up = self.ups.remove(index.index(self.ups.len()));
                self.answer(&up);
            }
            Event::DeliverDown(index) if !self.downs.is_empty() => {
                let down = self.downs.remove(index.index(self.downs.len()));
                self.receive(&down);
            }
            Event::Close(entry) => {
                let index = self.present(entry);
                self.processes[index].allowance.on_closed();
            }
            Event::Restart { entry, frozen } => self.restart(entry, frozen),
            Event::Elect => (self.table, self.split) = leader(self.now),
            Event::Fence => {
                self.revision.0 += 1;
                self.fences.push(self.revision);
            }
            _ => {}
        }
    }

    fn send(&mut self, entry: usize, demand: u32) {
        let index = self.present(entry);
        let now = self.local(self.processes[index].slow_ppm);
        let process = &mut self.processes[index];
        let seq = process.lease.on_send(now);
        self.ups.push(Up {
            entry,
            boot: process.boot,
            seq,
            age: now - process.started,
            confirmed: process.allowance.confirmed(now),
            demand,
            revision: process.applied,
        });
    }

    fn answer(&mut self, up: &Up) {
        let instance = entry(up.entry);
        let renewal = Renewal {
            instance: &instance,
            boot: up.boot,
            age: up.age,
            revision: up.revision,
        };
        if !self.table.renew(self.now, &renewal) {
            return;
        }
        let demand = [(target(), up.demand)];
        self.split
            .on_renewal(&instance, up.boot, up.confirmed, &demand);
        let granted = self
            .table
            .grant(self.now, instance.as_str(), up.boot, self.revision);
        let (_, deadline) = granted.unwrap();
        let answer = Answer {
            instance: &instance,
            boot: up.boot,
            seq: up.seq,
            deadline,
        };
        let mut out: Vec<Quota> = Vec::new();
        self.split.grant(self.now, &answer, &mut out);
        self.downs.push(Down {
            entry: up.entry,
            boot: up.boot,
            seq: up.seq,
            revision: self.revision,
            quotas: out,
        });
    }

    fn receive(&mut self, down: &Down) {
        let own = |p: &&mut Process| p.entry == down.entry && p.boot == down.boot;
        let Some(process) = self.processes.iter_mut().find(own) else {
            return;
        };
        process.applied = process.applied.max(down.revision);
        let (lease, applied) = (&mut process.lease, process.applied);
        if let Some(deadline) = lease.on_grant(down.seq, TTL, down.revision, applied) {
            process.allowance.on_grant(down.seq, deadline, &down.quotas);
        }
    }

    fn restart(&mut self, entry: usize, frozen: bool) {
        let index = self.present(entry);
        let slow = self.processes[index].slow_ppm;
        if frozen {
            self.processes[index].replaced = true;
        } else {
            self.processes.remove(index);
        }
        self.launch(entry, slow);
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let mut sum = 0;
        for index in 0..ENTRIES {
            // An entry has its floor once: without a lease nothing tells whether a frozen
            // predecessor has closed its share of it.
            let own = self.processes.iter().filter(|p| p.entry == index);
            let most = own.map(|p| p.allowance.most(self.local(p.slow_ppm), "t", FLOOR));
            sum += FLOOR + most.map(|most| most.saturating_sub(FLOOR)).sum::<u32>();
        }
        prop_assert!(sum <= LIMIT, "{sum} connections in use");
        for fence in &self.fences {
            if !self.table.fenced_by(self.now, *fence) {
                continue;
            }
            for process in &self.processes {
                let valid = process.lease.valid(self.local(process.slow_ppm));
                prop_assert!(!valid || process.applied >= *fence, "{process:?} {fence:?}");
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 1_500,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_240_917),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn limits_and_fences_hold_under_random_events(
        slow in prop::array::uniform3(0..=DRIFT),
        events in prop::collection::vec(event(), 1..150),
    ) {
        let mut world = World::new(slow);
        for event in events {
            world.run(event);
            world.check()?;
        }
    }
}

//! Random loss, delay, restarts, partitions and leader changes, with slow clocks.
//!
//! Guards two invariants: the connections of all instances never exceed a target's limit, and once
//! `is_fenced` returns true, no process with a valid lease acts under an older catalog.

use std::time::{Duration, Instant};

use lease::allowance::Allowance;
use lease::grant::{Renewal, Table};
use lease::holder::Lease;
use lease::quota::{Allocator, Grant, Quota};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use types::{Name, Revision};

const TTL: Duration = Duration::from_millis(1000);
/// So large that an error in accounting for the drift breaks an invariant.
const DRIFT_PPM: u32 = 100_000;
const LIMIT: u32 = 10;
const FLOOR: u32 = 2;
const INSTANCES: usize = 3;

fn instance_name(index: usize) -> Name {
    Name::try_from(format!("e{index}")).unwrap()
}

fn target() -> Name {
    Name::try_from("t").unwrap()
}

/// A message without a delivery event is lost.
#[derive(Clone, Debug)]
enum Event {
    AdvanceMs(u64),
    SendRenewal {
        instance: usize,
        demand: u32,
    },
    DeliverRenewal(prop::sample::Index),
    DeliverGrant(prop::sample::Index),
    /// The instance closes the connections that the latest grant does not cover.
    CloseSurplus(usize),
    /// If `frozen`, the old process stays with its connections; otherwise they end with it.
    Restart {
        instance: usize,
        frozen: bool,
    },
    ElectLeader,
    Fence,
}

fn event() -> impl Strategy<Value = Event> {
    let index = any::<prop::sample::Index>;
    prop_oneof![
        4 => (1_u64..600).prop_map(Event::AdvanceMs),
        8 => (0..INSTANCES, 0_u32..14)
            .prop_map(|(instance, demand)| Event::SendRenewal { instance, demand }),
        8 => index().prop_map(Event::DeliverRenewal),
        8 => index().prop_map(Event::DeliverGrant),
        3 => (0..INSTANCES).prop_map(Event::CloseSurplus),
        1 => (0..INSTANCES, any::<bool>())
            .prop_map(|(instance, frozen)| Event::Restart { instance, frozen }),
        1 => Just(Event::ElectLeader),
        2 => Just(Event::Fence),
    ]
}

/// A running or frozen process of an instance.
#[derive(Debug)]
struct Process {
    instance: usize,
    boot: u64,
    started: Instant,
    replaced: bool,
    /// How much slower its clock is than the leader's, in parts per million.
    slow_ppm: u32,
    lease: Lease,
    allowance: Allowance,
    applied: Revision,
}

struct RenewalMessage {
    instance: usize,
    boot: u64,
    seq: u64,
    age: Duration,
    confirmed: u64,
    demand: u32,
    revision: Revision,
}

struct GrantMessage {
    instance: usize,
    boot: u64,
    seq: u64,
    revision: Revision,
    quotas: Vec<Quota>,
}

struct Simulation {
    start: Instant,
    now: Instant,
    revision: Revision,
    last_boot: u64,
    table: Table,
    allocator: Allocator,
    processes: Vec<Process>,
    renewals: Vec<RenewalMessage>,
    grants: Vec<GrantMessage>,
    fences: Vec<Revision>,
}

fn new_leader(now: Instant) -> (Table, Allocator) {
    let names: Vec<Name> = (0..INSTANCES).map(instance_name).collect();
    let table = Table::new(now, TTL, DRIFT_PPM, &names);
    let mut allocator = Allocator::new(table.grace_deadline(), &names);
    allocator.set_limits(&target(), LIMIT, FLOOR);
    (table, allocator)
}

impl Simulation {
    fn new(slow_ppm: [u32; INSTANCES]) -> Self {
        let start = Instant::now();
        // Events start after the first leader's grace deadline, as most runs would see only floors
        // otherwise.
        let now = start + 2 * TTL;
        let (table, allocator) = new_leader(start);
        let mut simulation = Self {
            start,
            now,
            revision: Revision(1),
            last_boot: 0,
            table,
            allocator,
            processes: Vec::new(),
            renewals: Vec::new(),
            grants: Vec::new(),
            fences: Vec::new(),
        };
        for (index, ppm) in slow_ppm.into_iter().enumerate() {
            simulation.start_process(index, ppm);
        }
        simulation
    }

    /// Current time on a clock that is slower than the leader's.
    fn local_time(&self, slow_ppm: u32) -> Instant {
        let passed = (self.now - self.start).as_nanos();
        let local = passed * 1_000_000 / (1_000_000 + u128::from(slow_ppm));
        self.start + Duration::from_nanos(u64::try_from(local).unwrap())
    }

    fn start_process(&mut self, instance: usize, slow_ppm: u32) {
        self.last_boot += 1;
        self.processes.push(Process {
            instance,
            boot: self.last_boot,
            started: self.local_time(slow_ppm),
            replaced: false,
            slow_ppm,
            lease: Lease::default(),
            allowance: Allowance::default(),
            applied: Revision(1),
        });
    }

    fn current_process(&mut self, instance: usize) -> usize {
        let is_current = |process: &Process| process.instance == instance && !process.replaced;
        self.processes.iter().position(is_current).unwrap()
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::AdvanceMs(ms) => self.now += Duration::from_millis(ms),
            Event::SendRenewal { instance, demand } => self.send_renewal(instance, demand),
            Event::DeliverRenewal(index) if !self.renewals.is_empty() => {
                let message = self.renewals.remove(index.index(self.renewals.len()));
                self.answer_renewal(&message);
            }
            Event::DeliverGrant(index) if !self.grants.is_empty() => {
                let message = self.grants.remove(index.index(self.grants.len()));
                self.receive_grant(&message);
            }
            Event::CloseSurplus(instance) => {
                let index = self.current_process(instance);
                self.processes[index].allowance.on_surplus_closed();
            }
            Event::Restart { instance, frozen } => self.restart(instance, frozen),
            Event::ElectLeader => (self.table, self.allocator) = new_leader(self.now),
            Event::Fence => {
                self.revision.0 += 1;
                self.fences.push(self.revision);
            }
            _ => {}
        }
    }

    fn send_renewal(&mut self, instance: usize, demand: u32) {
        let index = self.current_process(instance);
        let now = self.local_time(self.processes[index].slow_ppm);
        let process = &mut self.processes[index];
        let seq = process.lease.on_renewal_sent(now);
        self.renewals.push(RenewalMessage {
            instance,
            boot: process.boot,
            seq,
            age: now - process.started,
            confirmed: process.allowance.confirmed_seq(now),
            demand,
            revision: process.applied,
        });
    }

    fn answer_renewal(&mut self, message: &RenewalMessage) {
        let instance = instance_name(message.instance);
        let renewal = Renewal {
            instance: &instance,
            boot: message.boot,
            age: message.age,
            revision: message.revision,
        };
        if !self.table.renew(self.now, &renewal) {
            return;
        }
        let demand = [(target(), message.demand)];
        self.allocator
            .on_renewal(&instance, message.boot, message.confirmed, &demand);
        let granted = self
            .table
            .grant(self.now, instance.as_str(), message.boot, self.revision);
        let (_, deadline) = granted.unwrap();
        let lease_grant = Grant {
            instance: &instance,
            boot: message.boot,
            seq: message.seq,
            deadline,
        };
        let mut out: Vec<Quota> = Vec::new();
        self.allocator.grant(self.now, &lease_grant, &mut out);
        self.grants.push(GrantMessage {
            instance: message.instance,
            boot: message.boot,
            seq: message.seq,
            revision: self.revision,
            quotas: out,
        });
    }

    fn receive_grant(&mut self, message: &GrantMessage) {
        let is_recipient = |process: &&mut Process| {
            process.instance == message.instance && process.boot == message.boot
        };
        let Some(process) = self.processes.iter_mut().find(is_recipient) else {
            return;
        };
        process.applied = process.applied.max(message.revision);
        let (lease, applied) = (&mut process.lease, process.applied);
        if let Some(deadline) = lease.on_grant(message.seq, TTL, message.revision, applied) {
            process
                .allowance
                .on_grant(message.seq, deadline, &message.quotas);
        }
    }

    fn restart(&mut self, instance: usize, frozen: bool) {
        let index = self.current_process(instance);
        let slow_ppm = self.processes[index].slow_ppm;
        if frozen {
            self.processes[index].replaced = true;
        } else {
            self.processes.remove(index);
        }
        self.start_process(instance, slow_ppm);
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let mut sum = 0;
        for index in 0..INSTANCES {
            // The floor counts once per instance: without a lease, nothing tells whether a frozen
            // predecessor has closed the connections within it.
            let processes = self
                .processes
                .iter()
                .filter(|process| process.instance == index);
            let hard_limits = processes.map(|process| {
                process
                    .allowance
                    .hard_limit(self.local_time(process.slow_ppm), "t", FLOOR)
            });
            sum += FLOOR
                + hard_limits
                    .map(|limit| limit.saturating_sub(FLOOR))
                    .sum::<u32>();
        }
        prop_assert!(sum <= LIMIT, "{sum} connections in use");
        for fence in &self.fences {
            if !self.table.is_fenced(self.now, *fence) {
                continue;
            }
            for process in &self.processes {
                let valid = process.lease.is_valid(self.local_time(process.slow_ppm));
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
        slow_ppm in prop::array::uniform3(0..=DRIFT_PPM),
        events in prop::collection::vec(event(), 1..150),
    ) {
        let mut simulation = Simulation::new(slow_ppm);
        for event in events {
            simulation.apply(event);
            simulation.check()?;
        }
    }
}

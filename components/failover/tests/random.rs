//! Random failures, elections, marks and replication.
//!
//! Guards the promises of a change of primary: an open primary has every acknowledged write, and
//! one target at most is promoted for a term.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use catalog::Phase;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use support::{FAILED, World};
use types::Revision;
use types::target::State;

const NAMES: [&str; 3] = ["t1", "t2", "t3"];

#[derive(Clone, Copy, Debug)]
enum Event {
    Run(u64),
    Write,
    Replicate(usize),
    Down(usize),
    Up(usize),
    /// A replica loses its disk.
    Empty(usize),
    /// A target is set up again as a replica of the primary.
    Rejoin(usize),
    /// Watchers report silence although the primary answers entries that hold old leases.
    Accuse(bool),
    /// The leases under older catalogs have ended.
    Fenced,
    Elect,
    Quorum(bool),
    Mark(usize, State),
}

fn event() -> impl Strategy<Value = Event> {
    let target = 0_usize..3;
    let state = prop_oneof![
        Just(State::Serving),
        Just(State::Draining),
        Just(State::Leaving)
    ];
    prop_oneof![
        8 => (1_u64..20).prop_map(|steps| Event::Run(steps * 20)),
        1 => Just(Event::Run(4_000)),
        8 => Just(Event::Write),
        8 => target.clone().prop_map(Event::Replicate),
        2 => target.clone().prop_map(Event::Down),
        3 => target.clone().prop_map(Event::Up),
        1 => target.clone().prop_map(Event::Empty),
        3 => target.clone().prop_map(Event::Rejoin),
        2 => any::<bool>().prop_map(Event::Accuse),
        8 => Just(Event::Fenced),
        1 => Just(Event::Elect),
        1 => any::<bool>().prop_map(Event::Quorum),
        2 => (target, state).prop_map(|(index, state)| Event::Mark(index, state)),
    ]
}

struct Model {
    world: World,
    acks: usize,
    accused: bool,
    logs: BTreeMap<&'static str, Vec<u32>>,
    next: u32,
    acknowledged: BTreeSet<u32>,
    since: Revision,
    /// The primary before a fence that some entry may not know of.
    old: Option<&'static str>,
}

fn find(name: &str) -> Option<&'static str> {
    NAMES.into_iter().find(|target| *target == name)
}

impl Model {
    fn new(acks: u32) -> Self {
        let world = World::new(acks);
        Self {
            acks: acks as usize,
            accused: false,
            logs: NAMES.map(|target| (target, Vec::new())).into(),
            next: 0,
            acknowledged: BTreeSet::new(),
            since: world.database().phase_since(),
            old: None,
            world,
        }
    }

    /// Where writes go: to the old primary as long as an entry may not know of the fence.
    fn primary(&self) -> Option<&'static str> {
        self.old.or_else(|| find(self.world.primary()?.0))
    }

    fn copy(&mut self, from: &'static str, to: &'static str) {
        let log = self.logs[from].clone();
        self.logs.insert(to, log);
        let source = *self.world.server(from);
        let target = self.world.server(to);
        (target.term, target.lsn, target.recovering) = (source.term, source.lsn, true);
    }

    fn follows(&self, target: &str, primary: &str) -> bool {
        let server = self.world.servers[target];
        let prefix = self.logs[primary].starts_with(&self.logs[target]);
        target != primary && server.up && server.recovering && server.lsn > 0 && prefix
    }

    fn run(&mut self, event: Event) {
        let primary = self.primary();
        let serves =
            primary.filter(|p| self.world.servers[*p].up && !self.world.servers[*p].recovering);
        match (event, serves) {
            (Event::Run(ms), _) => self.steps(ms),
            (Event::Write, Some(p)) => {
                self.next += 1;
                self.logs.entry(p).or_default().push(self.next);
                self.world.server(p).lsn += 1;
            }
            (Event::Replicate(index), Some(p)) if self.follows(NAMES[index], p) => {
                self.copy(p, NAMES[index]);
                self.acknowledge(p);
            }
            (Event::Rejoin(index), Some(p))
                if self.world.primary().is_some() && NAMES[index] != p =>
            {
                self.copy(p, NAMES[index]);
                self.world.server(NAMES[index]).up = true;
            }
            (Event::Empty(index), _) if self.world.servers[NAMES[index]].recovering => {
                self.logs.insert(NAMES[index], Vec::new());
                let server = self.world.server(NAMES[index]);
                (server.term, server.lsn) = (0, 0);
            }
            (Event::Down(index), _) => self.world.server(NAMES[index]).up = false,
            (Event::Up(index), _) => self.world.server(NAMES[index]).up = true,
            (Event::Accuse(accused), _) => self.accused = accused,
            (Event::Fenced, _) => (self.world.fenced, self.old) = (true, None),
            (Event::Elect, _) => {
                self.world.elect();
                self.world.fenced = false;
            }
            (Event::Quorum(quorum), _) => self.world.quorum = quorum,
            (Event::Mark(index, state), _) => self.world.mark(NAMES[index], state),
            _ => {}
        }
    }

    /// Writes are acknowledged once enough replicas cover them.
    fn acknowledge(&mut self, primary: &str) {
        for id in &self.logs[primary] {
            let has = |t: &&&str| self.follows(t, primary) && self.logs[**t].contains(id);
            if NAMES.iter().filter(has).count() >= self.acks {
                self.acknowledged.insert(*id);
            }
        }
    }

    fn steps(&mut self, ms: u64) {
        for _ in 0..ms / 20 {
            let up = self.world.servers["t1"].up && !self.accused;
            self.world.verdict = if up {
                failover::Verdict::Healthy
            } else {
                FAILED
            };
            self.world.run(20);
            let database = self.world.database();
            if self.since != database.phase_since() {
                self.since = database.phase_since();
                // Each fence and each opening has to be heard of by the entries again.
                match database.phase() {
                    Phase::Fenced { .. } => {
                        self.old = database.primary().and_then(|n| find(n.as_str()))
                    }
                    Phase::Chosen { .. } => continue,
                    Phase::Steady => {}
                }
                self.world.fenced = false;
            }
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        if let Some((primary, _)) = self.world.primary() {
            let log = &self.logs[primary];
            let lost: Vec<_> = self
                .acknowledged
                .iter()
                .filter(|id| !log.contains(id))
                .collect();
            prop_assert!(lost.is_empty(), "{primary} lacks {lost:?}");
        }
        for (term, targets) in &self.world.promotions {
            prop_assert!(targets.len() == 1, "{targets:?} promoted for {term:?}");
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 1_000,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_240_918),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn no_acknowledged_write_is_lost(
        acks in 1_u32..=2,
        events in prop::collection::vec(event(), 1..150),
    ) {
        let mut model = Model::new(acks);
        for event in events {
            model.run(event);
            model.check()?;
        }
    }
}

//! Random faults of messages, holders and the issuer. Guards against any order of them in which the
//! operations started in a window exceed what the limit tolerates.

mod sim;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use sim::{Faults, Sim, rate};

const NODES: usize = 5;
const WINDOW: u64 = 5000;
const SLACK: u64 = 20;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// Operations at a multiple of the limit, at all holders or one.
    Load {
        factor: f64,
        ms: u64,
        node: Option<usize>,
    },
    Burst {
        node: usize,
        operations: u32,
    },
    Messages {
        lost: f64,
        doubled: f64,
        late: f64,
        late_by: u64,
    },
    Suspend {
        node: usize,
        ms: u64,
    },
    Cut {
        node: usize,
        ms: u64,
    },
    Disconnect {
        node: usize,
        heard: bool,
    },
    Kill {
        node: usize,
        heard: bool,
    },
    /// A server that hung turns out to have run none of the operations.
    Hang {
        node: usize,
        ms: u64,
    },
    /// Holders that have claimed tokens for a peak are suspended, and spend them when others have the
    /// level of a bucket that was left alone since.
    Hoard {
        operations: u32,
        idle: u64,
        suspended: u64,
        issuer: IssuerFault,
    },
    /// A server that hangs at a peak runs nothing of it, and all callers come back.
    HangAtPeak {
        ms: u64,
    },
    ChangeIssuer,
    Restart,
    SetRate {
        per_second: u64,
        burst: u64,
    },
}

/// What happens to the issuer while holders are suspended.
#[derive(Clone, Copy, Debug)]
enum IssuerFault {
    None,
    /// It learns that the streams have ended.
    Hears,
    Changes,
}

fn hoard() -> impl Strategy<Value = Event> {
    let issuer = prop_oneof![
        Just(IssuerFault::None),
        Just(IssuerFault::Hears),
        Just(IssuerFault::Changes)
    ];
    let parts = (50_u32..400, 0_u64..8000, 3500_u64..6500, issuer);
    parts.prop_map(|(operations, idle, suspended, issuer)| Event::Hoard {
        operations,
        idle,
        suspended,
        issuer,
    })
}

fn event() -> impl Strategy<Value = Event> {
    let node = 0..NODES;
    prop_oneof![
        8 => (0.2..6.0, 100_u64..3000, prop::option::of(node.clone()))
            .prop_map(|(factor, ms, node)| Event::Load { factor, ms, node }),
        3 => (node.clone(), 1_u32..150)
            .prop_map(|(node, operations)| Event::Burst { node, operations }),
        2 => (0.0..0.3, 0.0..0.3, 0.0..0.5, 0_u64..6000).prop_map(|(lost, doubled, late, late_by)| {
            Event::Messages { lost, doubled, late, late_by }
        }),
        2 => (node.clone(), 10_u64..7000).prop_map(|(node, ms)| Event::Suspend { node, ms }),
        2 => (node.clone(), 10_u64..7000).prop_map(|(node, ms)| Event::Cut { node, ms }),
        1 => (node.clone(), any::<bool>())
            .prop_map(|(node, heard)| Event::Disconnect { node, heard }),
        2 => (node.clone(), any::<bool>()).prop_map(|(node, heard)| Event::Kill { node, heard }),
        1 => (node, 10_u64..3000).prop_map(|(node, ms)| Event::Hang { node, ms }),
        3 => hoard(),
        1 => (500_u64..4000).prop_map(|ms| Event::HangAtPeak { ms }),
        1 => Just(Event::ChangeIssuer),
        1 => Just(Event::Restart),
        1 => limits().prop_map(|(per_second, burst)| Event::SetRate { per_second, burst }),
    ]
}

fn limits() -> impl Strategy<Value = (u64, u64)> {
    (1_u64..80, 1_u64..500)
}

struct Model {
    sim: Sim,
    rng: SmallRng,
    /// Limits and since when they hold, in order.
    limits: Vec<(u64, u64, u64)>,
    /// Part of an operation of the load that is still to come.
    owed: f64,
}

impl Model {
    fn new((per_second, burst): (u64, u64), seed: u64) -> Self {
        let rates = vec![(0, rate(per_second, burst))];
        Self {
            sim: Sim::new(NODES, SLACK, rates, seed),
            rng: SmallRng::seed_from_u64(seed),
            limits: vec![(0, per_second, burst)],
            owed: 0.0,
        }
    }

    fn apply(&mut self, event: Event) {
        let sim = &mut self.sim;
        match event {
            Event::Load { factor, ms, node } => self.load(factor, ms, node),
            Event::Burst { node, operations } => {
                (0..operations).for_each(|_| sim.arrive(node, 0, 100));
            }
            Event::Messages {
                lost,
                doubled,
                late,
                late_by,
            } => {
                sim.faults = Faults {
                    lost,
                    doubled,
                    late,
                    late_by,
                };
            }
            Event::Suspend { node, ms } => sim.suspend(node, ms),
            Event::Cut { node, ms } => sim.cut(node, ms),
            Event::Disconnect { node, heard } => sim.disconnect(node, heard),
            Event::Kill { node, heard } => sim.kill(node, heard),
            Event::Hang { node, ms } => sim.hang(node, ms),
            Event::Hoard {
                operations,
                idle,
                suspended,
                issuer,
            } => self.hoard(operations, idle, suspended, issuer),
            Event::HangAtPeak { ms } => {
                self.load(3.0, ms, Some(0));
                self.sim.hang(0, ms);
                (0..400).for_each(|_| self.sim.arrive(0, 0, 100));
                self.load(3.0, WINDOW, None);
            }
            Event::ChangeIssuer => sim.change_issuer(),
            Event::Restart => sim.issuer.restart(sim::at(sim.now)),
            Event::SetRate { per_second, burst } => {
                sim.set_rates(vec![(0, rate(per_second, burst))]);
                self.limits.push((sim.now, per_second, burst));
            }
        }
        self.sim.step();
    }

    fn load(&mut self, factor: f64, ms: u64, node: Option<usize>) {
        (0..ms).for_each(|_| self.load_step(factor, node));
    }

    fn load_step(&mut self, factor: f64, node: Option<usize>) {
        let (_, per_second, _) = self.limits[self.limits.len() - 1];
        self.sim.step();
        self.owed += per_second as f64 * factor / 1000.0;
        while self.owed >= 1.0 {
            self.owed -= 1.0;
            let any = self.rng.random_range(0..NODES);
            self.sim.arrive(node.unwrap_or(any), 0, 100);
        }
    }

    fn hoard(&mut self, operations: u32, idle: u64, suspended: u64, issuer: IssuerFault) {
        (0..idle).for_each(|_| self.sim.step());
        for operation in 0..operations {
            self.sim.arrive(operation as usize % NODES, 0, 100);
            if operation % 4 == 0 {
                self.sim.step();
            }
        }
        // Long enough for the holders to report the peak and claim as much in advance.
        (0..300).for_each(|_| self.sim.step());
        (1..NODES).for_each(|node| self.sim.suspend(node, suspended));
        match issuer {
            IssuerFault::None => {}
            IssuerFault::Hears => (1..NODES).for_each(|node| self.sim.disconnect(node, true)),
            IssuerFault::Changes => self.sim.change_issuer(),
        }
        (0..suspended - 1).for_each(|_| self.sim.step());
        for operation in 0..500 {
            self.sim.arrive(operation % NODES, 0, 100);
        }
        // The window is full only if the gain in it is used as well.
        self.load(2.0, WINDOW, None);
    }

    /// Operations tolerated in the window from `start`, in tenths. A limit that was replaced holds
    /// for one lifetime more.
    fn bound(&self, start: u64) -> u64 {
        let ends = self.limits.iter().skip(1).map(|(since, ..)| since + WINDOW);
        let ends = ends.chain([u64::MAX]);
        let in_force = self.limits.iter().zip(ends);
        let in_force =
            in_force.filter(|((since, ..), end)| *since < start + WINDOW && *end > start);
        let (rates, bursts): (Vec<u64>, Vec<u64>) = in_force
            .map(|((_, rate, burst), _)| (*rate, *burst))
            .unzip();
        let rate = rates.into_iter().max().unwrap_or(0);
        let burst = bursts.into_iter().max().unwrap_or(0);
        (rate * WINDOW / 1000 + burst) * 11 + SLACK * 10
    }

    /// Checks every window that begins with an operation.
    fn check(&self) -> Result<(), TestCaseError> {
        let admitted = self.sim.admitted_of(0);
        for (first, start) in admitted.iter().enumerate() {
            let count = admitted[first..].partition_point(|ms| *ms < start + WINDOW) as u64;
            let bound = self.bound(*start);
            prop_assert!(
                count * 10 <= bound,
                "{count} operations from {start} ms, bound {} tenths, limits {:?}",
                bound,
                self.limits
            );
        }
        Ok(())
    }
}

fn config() -> Config {
    Config {
        cases: 200,
        max_shrink_iters: 300,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_206),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_window_exceeds_the_limit(
        limits in limits(),
        seed in any::<u64>(),
        events in prop::collection::vec(event(), 1..40),
    ) {
        let mut model = Model::new(limits, seed);
        for event in events {
            model.apply(event);
        }
        model.check()?;
    }
}

/// Many holders lose contact with the issuer for long.
#[derive(Clone, Copy, Debug)]
struct LongCut {
    nodes: usize,
    ms: u64,
    /// Claims still arrive, issues don't.
    is_one_way: bool,
    /// The issuer learns that the streams have ended.
    is_heard: bool,
    /// Holders open other streams.
    redials: bool,
    /// All callers move to the last holder that is cut off, so long before.
    moved: Option<u64>,
    /// Another issuer starts, so long after the cut.
    changed: Option<u64>,
    /// All processes start anew, so long before.
    started: Option<u64>,
    /// A holder is suspended, so long after the cut, and for how long.
    suspended: Option<(u64, u64)>,
    /// Load at all holders during the cut, after a time without any.
    factor: f64,
    idle: u64,
}

fn long_cut() -> impl Strategy<Value = LongCut> {
    let kinds = (any::<bool>(), any::<bool>(), any::<bool>());
    let changes = (
        prop::option::of(0_u64..1500),
        prop::option::of(0_u64..6000),
        prop::option::of(0_u64..4000),
        prop::option::weighted(0.3, (0_u64..4000, 100_u64..6500)),
    );
    let load = (0.5..4.0, 0_u64..4000);
    (1..=NODES, 3000_u64..15_000, kinds, changes, load).prop_map(
        |(nodes, ms, kinds, changes, (factor, idle))| LongCut {
            nodes,
            ms,
            is_one_way: kinds.0,
            is_heard: kinds.1,
            redials: kinds.2,
            moved: changes.0,
            changed: changes.1,
            started: changes.2,
            suspended: changes.3,
            factor,
            idle,
        },
    )
}

impl Model {
    fn cut(&mut self, cut: LongCut) {
        self.sim.redials = cut.redials;
        if let Some(ms) = cut.started {
            self.sim.change_issuer();
            (0..NODES).for_each(|node| self.sim.kill(node, false));
            self.load(1.0, ms, None);
        }
        if let Some(ms) = cut.moved {
            self.load(1.0, ms, Some(cut.nodes - 1));
        }
        for node in 0..cut.nodes {
            if cut.is_one_way {
                self.sim.deafen(node, cut.ms);
            } else {
                self.sim.cut(node, cut.ms);
            }
            if cut.is_heard {
                self.sim.disconnect(node, true);
            }
        }
        for ms in 0..cut.ms {
            if cut.changed == Some(ms) {
                self.sim.change_issuer();
            }
            if let Some((_, suspended)) = cut.suspended.filter(|(at, _)| *at == ms) {
                self.sim.suspend(0, suspended);
            }
            let factor = if ms < cut.idle { 0.0 } else { cut.factor };
            self.load_step(factor, None);
        }
        self.load(2.0, WINDOW, None);
    }
}

proptest! {
    #![proptest_config(Config { cases: 300, ..config() })]

    /// Guards against shares of the rate that are spent out of contact and issued as tokens as well.
    #[test]
    fn cuts_exceed_no_limit(
        limits in (1_u64..300, 1_u64..300),
        seed in any::<u64>(),
        lost in 0.0..0.2,
        late in 0.0..0.2,
        late_by in 0_u64..2000,
        cuts in prop::collection::vec((0.2..3.0, 0_u64..3000, long_cut()), 1..5),
    ) {
        let mut model = Model::new(limits, seed);
        if seed % 2 == 0 {
            model.sim.faults = Faults { lost, doubled: lost, late, late_by };
        }
        for (factor, ms, cut) in cuts {
            model.load(factor, ms, None);
            model.cut(cut);
        }
        model.check()?;
    }
}

/// Guards against an issuer that forgets tokens of suspended holders, and against holders that use
/// them after their lifetime: they are spent at once with a bucket that has filled since.
#[test]
fn hoards_count_towards_the_burst() {
    for issuer in [IssuerFault::None, IssuerFault::Hears, IssuerFault::Changes] {
        for suspended in [4500, 7000] {
            let mut model = Model::new((100, 400), 1);
            model.hoard(200, 10_000, suspended, issuer);
            model.check().unwrap();
        }
    }
}

/// Guards against state that stays when holders and tenants are gone.
#[test]
fn what_is_gone_is_forgotten() {
    let mut model = Model::new((50, 50), 1);
    let size = |model: &Model| format!("{:?}", model.sim.issuer).len();
    let use_last = |model: &mut Model| {
        model.load(1.0, 50, Some(0));
        (0..WINDOW).for_each(|_| model.sim.step());
    };
    // The holder that used the tenant last stays known for as long as its share can be spent.
    use_last(&mut model);
    let before = size(&model);
    for node in (0..NODES).cycle().take(200) {
        model.load(1.0, 50, None);
        model.sim.kill(node, node % 2 == 0);
    }
    (0..2 * WINDOW).for_each(|_| model.sim.step());
    use_last(&mut model);
    assert!(size(&model) < before + 200, "{:?}", model.sim.issuer);
}

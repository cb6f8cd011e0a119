//! Random faults of messages, holders and the issuer. Guards against any order of them in which the
//! operations started in a window exceed what the limit tolerates.

mod sim;

use proptest::prelude::*;
use sim::model::{Model, NODES, WINDOW, config};
use sim::{Faults, rate};

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

impl Model {
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

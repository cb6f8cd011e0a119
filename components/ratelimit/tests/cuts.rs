//! Long cuts between holders and the issuer. Guards against operations beyond the limit that holders
//! out of contact start with their shares of the rate.

mod sim;

use proptest::prelude::*;
use proptest::test_runner::Config;
use sim::Faults;
use sim::model::{Model, NODES, WINDOW, config};

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
    #![proptest_config(Config { cases: 100, ..config() })]

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

//! Holders under load and faults, and the bound on the operations that they start.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use super::{Sim, rate};

pub const NODES: usize = 5;
pub const WINDOW: u64 = 5000;
pub const SLACK: u64 = 20;

pub struct Model {
    pub sim: Sim,
    pub rng: SmallRng,
    /// Limits and since when they hold, in order.
    pub limits: Vec<(u64, u64, u64)>,
    /// Part of an operation of the load that is still to come.
    owed: f64,
}

impl Model {
    pub fn new((per_second, burst): (u64, u64), seed: u64) -> Self {
        let rates = vec![(0, rate(per_second, burst))];
        Self {
            sim: Sim::new(NODES, SLACK, rates, seed),
            rng: SmallRng::seed_from_u64(seed),
            limits: vec![(0, per_second, burst)],
            owed: 0.0,
        }
    }

    pub fn load(&mut self, factor: f64, ms: u64, node: Option<usize>) {
        (0..ms).for_each(|_| self.load_step(factor, node));
    }

    pub fn load_step(&mut self, factor: f64, node: Option<usize>) {
        let (_, per_second, _) = self.limits[self.limits.len() - 1];
        self.sim.step();
        self.owed += per_second as f64 * factor / 1000.0;
        while self.owed >= 1.0 {
            self.owed -= 1.0;
            let any = self.rng.random_range(0..NODES);
            self.sim.arrive(node.unwrap_or(any), 0, 100);
        }
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
    pub fn check(&self) -> Result<(), TestCaseError> {
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

pub fn config() -> Config {
    Config {
        cases: 200,
        max_shrink_iters: 300,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_206),
        failure_persistence: None,
        ..Config::default()
    }
}

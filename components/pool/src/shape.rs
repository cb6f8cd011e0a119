//! Service times by the shape of statements.

use std::collections::HashMap;
use std::time::Duration;

use ahash::RandomState;

/// Shapes kept. Callers choose the texts, so that the table must not grow with them.
pub const SHAPES_MAX: usize = 4096;

/// Weight of a new service time in the mean, as a divisor: recent runs count most, and one
/// outlier fades within a few tens of runs.
const WEIGHT: u32 = 8;

/// Work counts as long if it takes this many times the typical service time, so that a slowdown of
/// all work at once leaves long work no smaller a share of the slots.
const LONG_FACTOR: u32 = 4;

/// Typical service time before anything is learned.
const TYPICAL_START: Duration = Duration::from_millis(1);

/// Fingerprint of a statement's shape.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key(pub u64);

/// Service time learned for one shape.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shape {
    /// Exponentially weighted mean.
    pub mean: Duration,
    /// Estimate of the 95th percentile. It rises at once with a long run and falls slowly.
    pub p95: Duration,
}

impl Shape {
    const fn new(first: Duration) -> Self {
        Self {
            mean: first,
            p95: first,
        }
    }

    /// Moves the percentile by steps in the ratio 19 to 1, which balance where one run in twenty
    /// is above it.
    fn add(&mut self, service: Duration) {
        self.mean = (self.mean * (WEIGHT - 1) + service) / WEIGHT;
        if service > self.p95 {
            self.p95 = service.min(self.p95 + self.p95 * 19 / 200);
        } else {
            self.p95 = service.max(self.p95 - self.p95 / 200);
        }
    }

    /// Runs of this shape are to be scheduled as long work.
    #[must_use]
    pub fn is_long(&self, threshold: Duration) -> bool {
        self.mean >= threshold || self.p95 >= threshold
    }
}

#[derive(Debug)]
struct Slot {
    key: Key,
    shape: Shape,
    /// Set at each run, cleared when the hand passes.
    used: bool,
}

/// Shapes by fingerprint, evicted by the CLOCK rule.
#[derive(Debug)]
pub struct Table {
    index: HashMap<Key, usize, RandomState>,
    /// Invariant: at most [`SHAPES_MAX`]; `index` maps exactly their keys.
    slots: Vec<Slot>,
    hand: usize,
    /// Mean over all shapes, the estimate for unknown ones.
    overall: Option<Duration>,
    /// Estimate of the median over all runs.
    typical: Duration,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            index: HashMap::default(),
            slots: Vec::new(),
            hand: 0,
            overall: None,
            typical: TYPICAL_START,
        }
    }
}

impl Table {
    /// The shape learned for `key`.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Shape> {
        self.index.get(&key).map(|at| &self.slots[*at].shape)
    }

    /// Expected service time; the overall mean for an unknown shape.
    #[must_use]
    pub fn expected(&self, key: Key) -> Duration {
        self.get(key)
            .map(|shape| shape.mean)
            .or(self.overall)
            .unwrap_or_default()
    }

    /// Service time from which work counts as long: `floor`, or more if typical work is slow.
    #[must_use]
    pub fn threshold(&self, floor: Duration) -> Duration {
        floor.max(self.typical * LONG_FACTOR)
    }

    /// The shape is known to be long.
    #[must_use]
    pub fn is_long(&self, key: Key, threshold: Duration) -> bool {
        self.get(key).is_some_and(|shape| shape.is_long(threshold))
    }

    /// Number of shapes known.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.slots.len()
    }

    /// No shape is known.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Learns the service time of a statement that has ended.
    pub fn learn(&mut self, key: Key, service: Duration) {
        let overall = self.overall.unwrap_or(service);
        self.overall = Some((overall * (WEIGHT - 1) + service) / WEIGHT);
        // Equal steps in both directions balance at the median.
        if service > self.typical {
            self.typical += self.typical / 50;
        } else {
            self.typical = (self.typical - self.typical / 50).max(TYPICAL_START);
        }
        match self.slot(key) {
            Some(slot) => slot.shape.add(service),
            None => self.insert(key, Shape::new(service)),
        }
    }

    /// Learns that a statement still runs after `elapsed`, so that its shape counts as long before
    /// the run ends.
    pub fn overrun(&mut self, key: Key, elapsed: Duration) {
        match self.slot(key) {
            Some(slot) => slot.shape.p95 = slot.shape.p95.max(elapsed),
            None => self.insert(key, Shape::new(elapsed)),
        }
    }

    fn slot(&mut self, key: Key) -> Option<&mut Slot> {
        let at = *self.index.get(&key)?;
        let slot = &mut self.slots[at];
        slot.used = true;
        Some(slot)
    }

    fn insert(&mut self, key: Key, shape: Shape) {
        let slot = Slot {
            key,
            shape,
            used: false,
        };
        if self.slots.len() < SHAPES_MAX {
            self.index.insert(key, self.slots.len());
            self.slots.push(slot);
            return;
        }
        let at = self.evict();
        self.slots[at] = slot;
        self.index.insert(key, at);
    }

    /// Frees the first slot that was not used since the hand last passed it.
    fn evict(&mut self) -> usize {
        loop {
            let at = self.hand;
            self.hand = (at + 1) % self.slots.len();
            if !std::mem::take(&mut self.slots[at].used) {
                self.index.remove(&self.slots[at].key);
                return at;
            }
        }
    }
}

//! Service times learned per statement shape.

use std::collections::HashMap;
use std::time::Duration;

use ahash::RandomState;

/// Maximum number of shapes in the table. Callers choose the statement texts, so their variety must
/// not make the table grow without bound.
pub const MAX_SHAPES: usize = 4096;

/// A new service time enters the mean with a weight of one over this: recent runs count most, and a
/// single outlier fades within a few tens of runs.
const MEAN_DIVISOR: u32 = 8;

/// The threshold for long statements is at least this multiple of the typical service time, so
/// that a slowdown of all statements at once does not confine them to the slots of long ones.
const LONG_MULTIPLE: u32 = 4;

/// Initial value and lower limit of the typical service time.
const MIN_TYPICAL: Duration = Duration::from_millis(1);

/// Fingerprint of a statement's shape.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key(pub u64);

/// Estimate of the service time of one shape.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Estimate {
    /// Exponentially weighted mean.
    pub mean: Duration,
    /// Estimate of the 95th percentile, which rises quickly with long runs and falls slowly.
    pub p95: Duration,
}

impl Estimate {
    const fn new(first: Duration) -> Self {
        Self {
            mean: first,
            p95: first,
        }
    }

    /// Moves the percentile up or down by steps in the ratio 19 to 1. They balance at the value
    /// that one run in twenty exceeds.
    fn record(&mut self, service: Duration) {
        self.mean = (self.mean * (MEAN_DIVISOR - 1) + service) / MEAN_DIVISOR;
        if service > self.p95 {
            self.p95 = service.min(self.p95 + self.p95 * 19 / 200);
        } else {
            self.p95 = service.max(self.p95 - self.p95 / 200);
        }
    }

    /// Whether runs of this shape are scheduled as long statements.
    #[must_use]
    pub fn is_long(&self, threshold: Duration) -> bool {
        self.mean >= threshold || self.p95 >= threshold
    }
}

#[derive(Debug)]
struct Slot {
    key: Key,
    service_time: Estimate,
    /// Set at each use, cleared when the clock hand passes.
    recently_used: bool,
}

/// Service times by shape, with CLOCK eviction.
#[derive(Debug)]
pub struct Table {
    index: HashMap<Key, usize, RandomState>,
    /// Invariant: at most [`MAX_SHAPES`] slots, whose keys are exactly those of `index`.
    slots: Vec<Slot>,
    clock_hand: usize,
    /// Mean over the runs of all shapes, the estimate for unknown shapes.
    overall_mean: Option<Duration>,
    /// Estimate of the median over the runs of all shapes.
    typical: Duration,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            index: HashMap::default(),
            slots: Vec::new(),
            clock_hand: 0,
            overall_mean: None,
            typical: MIN_TYPICAL,
        }
    }
}

impl Table {
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Estimate> {
        self.index
            .get(&key)
            .map(|slot| &self.slots[*slot].service_time)
    }

    /// Expected service time; the overall mean for an unknown shape.
    #[must_use]
    pub fn expected(&self, key: Key) -> Duration {
        self.get(key)
            .map(|known| known.mean)
            .or(self.overall_mean)
            .unwrap_or_default()
    }

    /// Service time from which a statement counts as long: `floor`, or more if the typical service
    /// time is high.
    #[must_use]
    pub fn threshold(&self, floor: Duration) -> Duration {
        floor.max(self.typical * LONG_MULTIPLE)
    }

    /// Whether the shape is known and counts as long.
    #[must_use]
    pub fn is_long(&self, key: Key, threshold: Duration) -> bool {
        self.get(key).is_some_and(|known| known.is_long(threshold))
    }

    /// Number of known shapes.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.slots.len()
    }

    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Records the service time of a statement that has ended.
    pub fn record(&mut self, key: Key, service: Duration) {
        let overall_mean = self.overall_mean.unwrap_or(service);
        self.overall_mean = Some((overall_mean * (MEAN_DIVISOR - 1) + service) / MEAN_DIVISOR);
        // Steps of equal size up and down balance at the median.
        if service > self.typical {
            self.typical += self.typical / 50;
        } else {
            self.typical = (self.typical - self.typical / 50).max(MIN_TYPICAL);
        }
        match self.slot(key) {
            Some(slot) => slot.service_time.record(service),
            None => self.insert(key, Estimate::new(service)),
        }
    }

    /// Records that a statement is still running after `elapsed`, so that its shape counts as long
    /// before the run ends.
    pub fn record_overrun(&mut self, key: Key, elapsed: Duration) {
        match self.slot(key) {
            Some(slot) => slot.service_time.p95 = slot.service_time.p95.max(elapsed),
            None => self.insert(key, Estimate::new(elapsed)),
        }
    }

    fn slot(&mut self, key: Key) -> Option<&mut Slot> {
        let position = *self.index.get(&key)?;
        let slot = &mut self.slots[position];
        slot.recently_used = true;
        Some(slot)
    }

    fn insert(&mut self, key: Key, service_time: Estimate) {
        let slot = Slot {
            key,
            service_time,
            recently_used: false,
        };
        if self.slots.len() < MAX_SHAPES {
            self.index.insert(key, self.slots.len());
            self.slots.push(slot);
            return;
        }
        let position = self.evict();
        self.slots[position] = slot;
        self.index.insert(key, position);
    }

    /// Frees the first slot that was not used since the clock hand last passed it.
    fn evict(&mut self) -> usize {
        loop {
            let position = self.clock_hand;
            self.clock_hand = (position + 1) % self.slots.len();
            if !std::mem::take(&mut self.slots[position].recently_used) {
                self.index.remove(&self.slots[position].key);
                return position;
            }
        }
    }
}

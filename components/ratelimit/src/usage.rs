//! Operations admitted within the last half second.

use std::time::Duration;

use clock::Moment;

/// Number of slots of the window.
const SLOTS: usize = 5;
/// Length of a slot.
const SLOT: Duration = Duration::from_millis(100);
/// Length of the window.
pub const WINDOW: Duration = Duration::from_millis(500);

/// Time without an operation after which a tenant is no longer in use.
const USE_TIME: Duration = Duration::from_secs(10);

/// Counts of the slots of the window.
#[derive(Debug, Default)]
pub struct Usage {
    counts: [u32; SLOTS],
    /// Index of the current slot since the clock's zero.
    slot: u64,
    last_at: Option<Moment>,
}

impl Usage {
    /// Drops the slots that have left the window.
    pub fn refresh(&mut self, now: Moment) {
        let slot = now.since(Moment::default()).as_millis() / SLOT.as_millis();
        let slot = u64::try_from(slot).unwrap_or(u64::MAX);
        let passed = slot.saturating_sub(self.slot).min(SLOTS as u64);
        for _ in 0..passed {
            self.counts.rotate_right(1);
            self.counts[0] = 0;
        }
        self.slot = self.slot.max(slot);
    }

    pub fn add(&mut self, now: Moment) {
        self.refresh(now);
        self.counts[0] = self.counts[0].saturating_add(1);
        self.last_at = Some(now);
    }

    /// Takes back one operation; whether there was one in the window.
    pub fn remove(&mut self, now: Moment) -> bool {
        self.refresh(now);
        let count = self.counts.iter_mut().find(|count| **count > 0);
        count.map(|count| *count -= 1).is_some()
    }

    pub fn total(&self) -> u32 {
        self.counts.iter().fold(0, |sum, n| sum.saturating_add(*n))
    }

    pub fn last_at(&self) -> Option<Moment> {
        self.last_at
    }

    /// When the window holds no operation any more, if no other follows.
    pub fn idle_at(&self) -> Moment {
        self.last_at.map(|at| at.later(WINDOW)).unwrap_or_default()
    }

    /// When the tenant is no longer in use, if no operation follows.
    pub fn unused_at(&self) -> Moment {
        self.last_at
            .map(|at| at.later(USE_TIME))
            .unwrap_or_default()
    }
}

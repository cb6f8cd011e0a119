//! Timers of the event loop.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use types::Name;

/// What a timer is for. Timers are never removed: the handler checks the present state, so a timer
/// whose cause is gone has no effect.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Timer {
    /// The next probe of a target, or the time limit of its answer.
    Probe(usize),
    /// The end of the time for which a probed target may be silent.
    Silence(usize),
    /// Queue and connection pool of a target.
    Queue(usize),
    /// Batches of a database that wait for an eligible target.
    Routing(Name),
    /// Writes of a database that wait for replicas.
    Acks(Name),
    /// Writing the catalog to its file.
    SaveCatalog,
    /// Connections beyond the quotas.
    Quotas,
}

/// Pending timers, earliest first.
#[derive(Debug, Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Instant, Timer)>>,
}

impl Timers {
    pub fn add(&mut self, at: Instant, timer: Timer) {
        self.heap.push(Reverse((at, timer)));
    }

    /// Instant of the earliest timer.
    #[must_use]
    pub fn next(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes the earliest timer if it is due.
    pub fn pop_due(&mut self, now: Instant) -> Option<Timer> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }
}

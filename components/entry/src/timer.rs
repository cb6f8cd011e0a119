//! Deadlines of the loop.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use types::Name;

/// What is due. Each is checked against the state when it comes up, so that one that was set for
/// something that has ended does no harm.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Timer {
    /// The watch of a target.
    Watch(usize),
    /// The end of the time that a watched target may be silent.
    Silence(usize),
    /// The queue and the connections of a target.
    Queue(usize),
    /// Statements of a database that wait for a target.
    Routing(Name),
    /// Writes of a database that wait for replicas.
    Acks(Name),
    /// The file of the catalog.
    Save,
    /// Connections beyond the quotas.
    Quotas,
}

/// Deadlines, the next first.
#[derive(Debug, Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Instant, Timer)>>,
}

impl Timers {
    /// Adds a deadline.
    pub fn add(&mut self, at: Instant, due: Timer) {
        self.heap.push(Reverse((at, due)));
    }

    /// The next deadline.
    #[must_use]
    pub fn next(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes what is due.
    pub fn pop(&mut self, now: Instant) -> Option<Timer> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, due))| due)
    }
}

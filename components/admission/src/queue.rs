//! Order of the statements that wait for a slot.
//!
//! While more is asked than the slots can serve, every statement of a queue in order of arrival is
//! answered late, just before the wait limit. Here a statement that can still be answered within its
//! goal goes before the late ones of its rank, so that the slots serve as many in time as they can.
//! Late statements keep their order and use what is left.

use std::collections::VecDeque;
use std::time::Instant;

/// A waiting statement.
#[derive(Clone, Copy, Debug)]
struct Waiter<T> {
    /// 0 is served first.
    rank: u8,
    /// When it has to start to be answered within its goal.
    start_by: Instant,
    item: T,
}

/// Waiting statements.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    /// Invariant: sorted by rank, and by arrival within a rank.
    waiters: VecDeque<Waiter<T>>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            waiters: VecDeque::new(),
        }
    }
}

impl<T> Queue<T> {
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Adds a statement behind those of its rank.
    pub fn push(&mut self, rank: u8, start_by: Instant, item: T) {
        let position = self.waiters.iter().rposition(|other| other.rank <= rank);
        let position = position.map_or(0, |position| position + 1);
        let waiter = Waiter {
            rank,
            start_by,
            item,
        };
        self.waiters.insert(position, waiter);
    }

    /// Removes the statement that is served next: of the first rank the oldest that is in time, or
    /// the oldest if all are late.
    pub fn pop(&mut self, now: Instant) -> Option<T> {
        self.pop_where(now, |_| true)
    }

    /// Removes the statement that is served next among those for which `fits` returns true, so that
    /// a statement that cannot be served holds up no other.
    pub fn pop_where(&mut self, now: Instant, fits: impl Fn(&T) -> bool) -> Option<T> {
        let mut fitting = self.waiters.iter().enumerate();
        let (first, waiter) = fitting.find(|(_, waiter)| fits(&waiter.item))?;
        let rank = waiter.rank;
        let mut first_rank = self.waiters.iter();
        let in_time = first_rank
            .position(|waiter| waiter.rank == rank && waiter.start_by >= now && fits(&waiter.item));
        let position = in_time.unwrap_or(first);
        self.waiters.remove(position).map(|waiter| waiter.item)
    }

    /// The statements in the order of their ranks and arrivals, with whether each is late.
    pub fn iter(&self, now: Instant) -> impl Iterator<Item = (&T, bool)> {
        let waiters = self.waiters.iter();
        waiters.map(move |waiter| (&waiter.item, waiter.start_by < now))
    }

    /// Keeps only the statements for which `keep` returns true.
    pub fn retain(&mut self, keep: impl Fn(&T) -> bool) {
        self.waiters.retain(|waiter| keep(&waiter.item));
    }

    /// Removes all statements, and returns them in the order of their ranks and arrivals.
    pub fn take(&mut self) -> Vec<T> {
        let waiters = std::mem::take(&mut self.waiters);
        waiters.into_iter().map(|waiter| waiter.item).collect()
    }
}

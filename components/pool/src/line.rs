//! Statements waiting in order of arrival.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::queue::Ticket;
use crate::shape::Key;

/// A waiting statement.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) key: Key,
    pub(crate) deadline: Instant,
    /// From then on it goes before work that arrived later.
    pub(crate) aged_at: Instant,
    /// Service time expected when it arrived.
    pub(crate) expected: Duration,
}

/// A waiting line with the sum of its expected service times.
#[derive(Debug, Default)]
pub(crate) struct Line {
    /// Invariant: tickets rise.
    waiting: VecDeque<Waiting>,
    /// Invariant: the sum of `expected` over `waiting`.
    backlog: Duration,
}

impl Line {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) const fn backlog(&self) -> Duration {
        self.backlog
    }

    pub(crate) fn head(&self) -> Option<&Waiting> {
        self.waiting.front()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting.iter()
    }

    pub(crate) fn insert(&mut self, waiting: Waiting) {
        let at = self
            .waiting
            .partition_point(|other| other.ticket < waiting.ticket);
        self.waiting.insert(at, waiting);
        self.backlog += waiting.expected;
    }

    pub(crate) fn pop(&mut self) -> Option<Waiting> {
        let waiting = self.waiting.pop_front()?;
        self.backlog -= waiting.expected;
        Some(waiting)
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let at = self.waiting.binary_search_by_key(&ticket, |w| w.ticket);
        let waiting = self.waiting.remove(at.ok()?)?;
        self.backlog -= waiting.expected;
        Some(waiting)
    }

    /// Removes the statements whose deadline has passed.
    pub(crate) fn expire(&mut self, now: Instant, expired: &mut Vec<(Instant, Ticket)>) {
        let backlog = &mut self.backlog;
        self.waiting.retain(|waiting| {
            let keep = now < waiting.deadline;
            if !keep {
                *backlog -= waiting.expected;
                expired.push((waiting.deadline, waiting.ticket));
            }
            keep
        });
    }
}

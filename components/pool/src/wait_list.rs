//! Waiting statements in order of arrival.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::queue::Ticket;
use crate::service_time::Key;

/// A waiting statement.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiter {
    pub(crate) ticket: Ticket,
    pub(crate) key: Key,
    pub(crate) deadline: Instant,
    /// From this instant on it takes precedence over statements that arrived later.
    pub(crate) aged_at: Instant,
    /// Expected service time, as estimated on arrival.
    pub(crate) expected: Duration,
}

/// Waiting statements with the sum of their expected service times.
#[derive(Debug, Default)]
pub(crate) struct List {
    /// Invariant: sorted by ticket.
    statements: VecDeque<Waiter>,
    /// Invariant: the sum of `expected` over `statements`.
    backlog: Duration,
}

impl List {
    pub(crate) fn len(&self) -> usize {
        self.statements.len()
    }

    pub(crate) const fn backlog(&self) -> Duration {
        self.backlog
    }

    pub(crate) fn head(&self) -> Option<&Waiter> {
        self.statements.front()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Waiter> {
        self.statements.iter()
    }

    pub(crate) fn insert(&mut self, statement: Waiter) {
        let index = self
            .statements
            .partition_point(|other| other.ticket < statement.ticket);
        self.statements.insert(index, statement);
        self.backlog += statement.expected;
    }

    pub(crate) fn pop(&mut self) -> Option<Waiter> {
        let statement = self.statements.pop_front()?;
        self.backlog -= statement.expected;
        Some(statement)
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<Waiter> {
        let index = self
            .statements
            .binary_search_by_key(&ticket, |other| other.ticket);
        let statement = self.statements.remove(index.ok()?)?;
        self.backlog -= statement.expected;
        Some(statement)
    }

    /// Removes the statements whose deadline has passed.
    pub(crate) fn expire(&mut self, now: Instant, expired: &mut Vec<(Instant, Ticket)>) {
        let backlog = &mut self.backlog;
        self.statements.retain(|statement| {
            let keep = now < statement.deadline;
            if !keep {
                *backlog -= statement.expected;
                expired.push((statement.deadline, statement.ticket));
            }
            keep
        });
    }
}

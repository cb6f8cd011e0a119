//! Simulated execution: a limited number of statements run at the same time, each for its service
//! time.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

#[derive(Debug)]
struct Waiter {
    session: u64,
    arrived: Instant,
    service_time: Duration,
}

/// Running and waiting statements.
#[derive(Debug)]
pub(crate) struct Slots {
    capacity: usize,
    running: BTreeSet<(Instant, u64)>,
    queue: VecDeque<Waiter>,
}

impl Slots {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            running: BTreeSet::new(),
            queue: VecDeque::new(),
        }
    }

    pub(crate) fn request(&mut self, now: Instant, session: u64, service_time: Duration) {
        if self.has_free_slot() {
            self.running.insert((now + service_time, session));
        } else {
            self.queue.push_back(Waiter {
                session,
                arrived: now,
                service_time,
            });
        }
    }

    /// Whether a statement can run without waiting for a slot.
    pub(crate) fn has_free_slot(&self) -> bool {
        self.running.len() < self.capacity
    }

    pub(crate) fn next_deadline(&self) -> Option<Instant> {
        self.running.first().map(|(due, _)| *due)
    }

    /// Removes and returns a session whose statement has run for its service time.
    ///
    /// The next statement starts when the slot became free, not when the timer fired: timers have a
    /// resolution of 1 ms, which would limit the throughput of shorter statements.
    pub(crate) fn pop_finished(&mut self, now: Instant) -> Option<u64> {
        let (due, session) = *self.running.first()?;
        if due > now {
            return None;
        }
        self.running.pop_first();
        self.start_next(due);
        Some(session)
    }

    fn start_next(&mut self, free_since: Instant) {
        if let Some(next) = self.queue.pop_front() {
            let start = free_since.max(next.arrived);
            self.running
                .insert((start + next.service_time, next.session));
        }
    }

    /// Removes the statement of a session from its slot or from the queue.
    pub(crate) fn cancel(&mut self, now: Instant, session: u64) {
        self.queue.retain(|waiter| waiter.session != session);
        let before = self.running.len();
        self.running.retain(|(_, running)| *running != session);
        if self.running.len() < before {
            self.start_next(now);
        }
    }
}

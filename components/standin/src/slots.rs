//! Simulated service: a bounded number of statements at once, each for its service time.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

#[derive(Debug)]
struct Waiting {
    session: u64,
    arrived: Instant,
    service: Duration,
}

/// Statements that run and wait.
#[derive(Debug)]
pub(crate) struct Slots {
    size: usize,
    running: BTreeSet<(Instant, u64)>,
    queue: VecDeque<Waiting>,
}

impl Slots {
    pub(crate) fn new(size: usize) -> Self {
        Self {
            size,
            running: BTreeSet::new(),
            queue: VecDeque::new(),
        }
    }

    pub(crate) fn request(&mut self, now: Instant, session: u64, service: Duration) {
        if self.free() {
            self.running.insert((now + service, session));
        } else {
            self.queue.push_back(Waiting {
                session,
                arrived: now,
                service,
            });
        }
    }

    /// Whether a statement that takes no time could run now.
    pub(crate) fn free(&self) -> bool {
        self.running.len() < self.size
    }

    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.running.first().map(|(due, _)| *due)
    }

    /// Takes a session whose statement has had its time.
    ///
    /// The next one starts when the slot became free, not when the timer fired: timers have a
    /// resolution of 1 ms, and shorter statements would otherwise lose throughput.
    pub(crate) fn finished(&mut self, now: Instant) -> Option<u64> {
        let (due, session) = *self.running.first()?;
        if due > now {
            return None;
        }
        self.running.pop_first();
        self.start(due);
        Some(session)
    }

    fn start(&mut self, free: Instant) {
        if let Some(next) = self.queue.pop_front() {
            let start = free.max(next.arrived);
            self.running.insert((start + next.service, next.session));
        }
    }

    /// Removes a session that no longer wants its slot.
    pub(crate) fn cancel(&mut self, now: Instant, session: u64) {
        self.queue.retain(|waiting| waiting.session != session);
        let before = self.running.len();
        self.running.retain(|(_, running)| *running != session);
        if self.running.len() < before {
            self.start(now);
        }
    }
}

//! The lease as the entry holds it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use types::{Revision, Term};

/// Renewals remembered until they are answered: more than a minute at the default interval.
const MAX_SENT: usize = 256;

/// An entry's lease.
#[derive(Debug, Default)]
pub struct Lease {
    deadline: Option<Instant>,
    last: u64,
    /// Renewals without an answer and when they were sent, oldest first.
    sent: VecDeque<(u64, Instant)>,
}

impl Lease {
    /// Number of the renewal that is sent at `now`.
    pub fn on_send(&mut self, now: Instant) -> u64 {
        self.last += 1;
        if self.sent.len() == MAX_SENT {
            self.sent.pop_front();
        }
        self.sent.push_back((self.last, now));
        self.last
    }

    /// Takes in the answer to renewal `seq` and returns how long that grant holds; none if it doesn't
    /// count.
    ///
    /// The lease runs from the time at which that renewal was sent, so that an answer that took
    /// long gives less. `carried` is the revision that came with the grant and has to be
    /// `applied`; otherwise the entry could acknowledge without knowing of a fence.
    pub fn on_grant(
        &mut self,
        seq: u64,
        ttl: Duration,
        carried: Revision,
        applied: Revision,
    ) -> Option<Instant> {
        if applied < carried {
            return None;
        }
        let index = self.sent.iter().position(|(sent, _)| *sent == seq)?;
        let (_, sent) = self.sent.remove(index)?;
        let deadline = sent + ttl;
        self.deadline = Some(self.deadline.map_or(deadline, |last| last.max(deadline)));
        Some(deadline)
    }

    /// Whether the lease holds at `now`; read the clock just before the answer is passed on.
    #[must_use]
    pub fn valid(&self, now: Instant) -> bool {
        self.deadline.is_some_and(|deadline| now < deadline)
    }

    /// When the lease ends; none if there never was one.
    #[must_use]
    pub const fn deadline(&self) -> Option<Instant> {
        self.deadline
    }

    /// Whether the acknowledgement of a write made in `written` may be passed on: the lease holds,
    /// and the catalog's writable term (none during a change of primary) is the write's.
    #[must_use]
    pub fn allows(&self, now: Instant, written: Term, writable: Option<Term>) -> bool {
        self.valid(now) && writable == Some(written)
    }

    /// Gives the lease up, as an entry that stops does before it says so.
    pub fn end(&mut self) {
        self.deadline = None;
        self.sent.clear();
    }
}

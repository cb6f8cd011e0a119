//! The lease as kept by the instance that holds it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use types::{Revision, Term};

/// Unanswered renewals that are remembered: more than a minute's worth at the default interval.
const MAX_UNANSWERED_RENEWALS: usize = 256;

/// Lease of an instance.
#[derive(Debug, Default)]
pub struct Lease {
    deadline: Option<Instant>,
    last_seq: u64,
    /// Numbers of unanswered renewals and when they were sent, oldest first.
    unanswered: VecDeque<(u64, Instant)>,
}

impl Lease {
    /// Records that a renewal is sent at `now`, and returns its number.
    pub fn on_renewal_sent(&mut self, now: Instant) -> u64 {
        self.last_seq += 1;
        if self.unanswered.len() == MAX_UNANSWERED_RENEWALS {
            self.unanswered.pop_front();
        }
        self.unanswered.push_back((self.last_seq, now));
        self.last_seq
    }

    /// Handles the grant that answers renewal `seq`, and returns the deadline of that grant; none
    /// if it doesn't count.
    ///
    /// The lease runs from the time at which the renewal was sent, so that a delayed grant extends
    /// it less. `carried` is the revision that came with the grant, and must not be later than the
    /// revision `applied`; otherwise the instance could acknowledge a write without knowing of a
    /// fence.
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
        let index = self
            .unanswered
            .iter()
            .position(|(sent_seq, _)| *sent_seq == seq)?;
        let (_, sent_at) = self.unanswered.remove(index)?;
        let deadline = sent_at + ttl;
        self.deadline = Some(
            self.deadline
                .map_or(deadline, |current| current.max(deadline)),
        );
        Some(deadline)
    }

    /// Whether the lease is valid at `now`, which must be read just before an answer is passed on.
    #[must_use]
    pub fn is_valid(&self, now: Instant) -> bool {
        self.deadline.is_some_and(|deadline| now < deadline)
    }

    /// When the lease ends; none if there is none.
    #[must_use]
    pub const fn deadline(&self) -> Option<Instant> {
        self.deadline
    }

    /// Whether the acknowledgement of a write of term `written` may be passed on: the lease is
    /// valid, and `written` is the term in which the catalog allows writes (none during a change of
    /// primary).
    #[must_use]
    pub fn may_acknowledge(&self, now: Instant, written: Term, writable: Option<Term>) -> bool {
        self.is_valid(now) && writable == Some(written)
    }

    /// Gives up the lease. An instance that stops does so before it tells the leader.
    pub fn end(&mut self) {
        self.deadline = None;
        self.unanswered.clear();
    }
}

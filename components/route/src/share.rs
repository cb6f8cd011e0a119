//! Statistics of the reads that replicas serve.

use session::Needs;

use crate::choice::Choice;
use crate::view::{Phase, Request, View};

/// Number of reads of one class by the role of their target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    pub replica: u64,
    pub primary: u64,
}

impl Count {
    /// Percentage of the reads sent to replicas; 0 without reads.
    #[must_use]
    pub const fn replica_percent(self) -> u64 {
        match (self.replica * 100).checked_div(self.replica + self.primary) {
            Some(percent) => percent,
            None => 0,
        }
    }
}

/// Counts of routed reads outside transactions; waits and refusals are not counted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Share {
    /// Reads of sessions that require a position.
    pub session: Count,
    /// Other reads with a limit on the age of the data.
    pub aged: Count,
    /// Reads without requirements.
    pub unconstrained: Count,
}

impl Share {
    /// Counts the choice made for `request`.
    pub const fn record(&mut self, view: &View<'_>, request: &Request, choice: Choice) {
        let Choice::Target(target) = choice else {
            return;
        };
        if !request.may_use_replica() || request.bound_target.is_some() {
            return;
        }
        let counts = match (request.needs, request.max_age) {
            (Needs::Any, None) => &mut self.unconstrained,
            (Needs::Any, Some(_)) => &mut self.aged,
            _ => &mut self.session,
        };
        match view.phase {
            Phase::Open { primary } if primary == target => counts.primary += 1,
            _ => counts.replica += 1,
        }
    }
}

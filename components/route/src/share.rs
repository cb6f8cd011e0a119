//! Share of reads that replicas serve.

use session::Needs;

use crate::choice::Choice;
use crate::view::{Phase, Request, View};

/// Reads of one class by who serves them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Reads {
    /// Reads sent to a replica.
    pub replica: u64,
    /// Reads sent to the primary.
    pub primary: u64,
}

impl Reads {
    /// Share of replicas in percent; 0 without reads.
    #[must_use]
    pub const fn percent(self) -> u64 {
        match (self.replica * 100).checked_div(self.replica + self.primary) {
            Some(percent) => percent,
            None => 0,
        }
    }
}

/// Counts of placed reads outside transactions. Waits and refusals do not count.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Share {
    /// Reads whose session must see a position.
    pub session: Reads,
    /// Other reads whose caller accepts an age.
    pub aged: Reads,
    /// The remaining reads.
    pub plain: Reads,
}

impl Share {
    /// Counts the choice made for `request`.
    pub const fn count(&mut self, view: &View<'_>, request: &Request, choice: Choice) {
        let Choice::Target(target) = choice else {
            return;
        };
        if !request.reads() || request.bound.is_some() {
            return;
        }
        let reads = match (request.needs, request.max_age) {
            (Needs::Any, None) => &mut self.plain,
            (Needs::Any, Some(_)) => &mut self.aged,
            _ => &mut self.session,
        };
        match view.phase {
            Phase::Open { primary } if primary == target => reads.primary += 1,
            _ => reads.replica += 1,
        }
    }
}

//! Targets as the catalog knows them.

use types::Revision;
use types::target::{Announcement, State};

use crate::change::Winner;
use crate::generated::Values;

/// A target that has announced itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    pub(crate) announcement: Announcement,
    pub(crate) marked: State,
    pub(crate) winner: Option<Winner>,
    pub(crate) changed: Revision,
    /// Derived from the tree; kept so that a lookup copies nothing.
    pub(crate) values: Values,
}

impl Target {
    /// What the target last said of itself.
    #[must_use]
    pub const fn announcement(&self) -> &Announcement {
        &self.announcement
    }

    /// State in force: the operators' mark, or leaving when the target's owner says so.
    #[must_use]
    pub const fn state(&self) -> State {
        if self.announcement.leaving {
            State::Leaving
        } else {
            self.marked
        }
    }

    /// The operators' mark.
    #[must_use]
    pub const fn marked(&self) -> State {
        self.marked
    }

    /// The change that last marked it.
    #[must_use]
    pub const fn winner(&self) -> Option<&Winner> {
        self.winner.as_ref()
    }

    /// Revision that last changed its state; once every entry has it, a leaving target may be retired.
    #[must_use]
    pub const fn changed(&self) -> Revision {
        self.changed
    }

    /// Effective settings.
    #[must_use]
    pub const fn values(&self) -> &Values {
        &self.values
    }

    /// Connections that all entries together may open: the settings' limit, or what it accepts.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.values
            .connections_limit
            .min(self.announcement.connections)
    }

    /// Statements that it may run at once: the settings' number, or what it accepts.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.values.slots.min(self.announcement.slots)
    }
}

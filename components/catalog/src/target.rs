//! Targets that have announced themselves.

use types::Revision;
use types::target::{Announcement, State};

use crate::change::Winner;
use crate::generated::Values;

#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    pub(crate) announcement: Announcement,
    pub(crate) marked_state: State,
    pub(crate) winner: Option<Winner>,
    pub(crate) state_revision: Revision,
    /// Effective settings. Derived from the tree, so that a lookup needs no computation.
    pub(crate) values: Values,
}

impl Target {
    /// The last accepted announcement of the target.
    #[must_use]
    pub const fn announcement(&self) -> &Announcement {
        &self.announcement
    }

    /// Effective state: the one that operators set, or leaving if the announcement says so.
    #[must_use]
    pub const fn state(&self) -> State {
        if self.announcement.leaving {
            State::Leaving
        } else {
            self.marked_state
        }
    }

    /// State that operators set.
    #[must_use]
    pub const fn marked_state(&self) -> State {
        self.marked_state
    }

    /// The operator's change that last set the state.
    #[must_use]
    pub const fn winner(&self) -> Option<&Winner> {
        self.winner.as_ref()
    }

    /// Revision that last changed the state. A leaving target may be retired once every entry
    /// instance has applied it.
    #[must_use]
    pub const fn state_revision(&self) -> Revision {
        self.state_revision
    }

    /// Effective settings.
    #[must_use]
    pub const fn values(&self) -> &Values {
        &self.values
    }

    /// Connections that all entry instances together may open: the lesser of the setting and the
    /// announced number.
    #[must_use]
    pub fn connections_limit(&self) -> u32 {
        self.values
            .connections_limit
            .min(self.announcement.connections)
    }

    /// Concurrent statements: the lesser of the setting and the announced number.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.values.slots.min(self.announcement.slots)
    }
}

//! What a node asks of the loop that owns it.

use std::fmt;

use types::Name;

use crate::{Entry, Epoch, Identity, Peer, Snapshot};

/// Part of a node in the present epoch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Follows a leader or waits for one; also a learner.
    Follower,
    /// Asks for pre-votes or votes.
    Candidate,
    /// Leads the epoch.
    Leader,
}

/// A write to the disk.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Write {
    /// Adds entries after the last one.
    Append(Vec<Entry>),
    /// Removes all entries from this index on.
    Truncate(u64),
    /// Replaces the saved epoch and vote.
    Save {
        /// Present epoch.
        epoch: Epoch,
        /// Candidate that got the vote in this epoch.
        vote: Option<Identity>,
    },
    /// Saves a snapshot; entries up to it may go, later ones stay.
    Compact(Snapshot),
    /// Saves a snapshot that replaces the whole log.
    Install(Snapshot),
}

/// What the calling loop has to do, in this order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a message to an instance; it may be lost.
    Send(Name, Peer),
    /// Carry out a write and report its sync or its failure.
    Write(u64, Write),
    /// Apply a committed entry.
    Apply(Entry),
    /// Load the state machine from the node's snapshot.
    Restore,
    /// A read may be answered once the entry at this index is applied (it is, in order of actions).
    Read {
        /// Id given with the request.
        id: u64,
        /// Index that the answer covers.
        index: u64,
    },
    /// A read is refused, as this node leads no longer.
    Refuse(u64),
    /// The role, epoch or known leader changed.
    Role {
        /// New role.
        role: Role,
        /// Epoch of the role.
        epoch: Epoch,
        /// Leader, if it is known.
        leader: Option<Name>,
    },
    /// How far a learner has caught up.
    Learner {
        /// The learner.
        instance: Name,
        /// Last index that it has on disk.
        matched: u64,
        /// Last index of the leader.
        last: u64,
        /// Whether it may be promoted.
        ready: bool,
    },
    /// An instance answered with an identity that is not in the member list.
    UnknownIdentity(Identity),
}

/// Why a request is refused; nothing of it was done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// A write of this node failed.
    Failed,
    /// Another instance leads, or none is known to.
    Follower(Option<Name>),
    /// Too much is waiting, or an earlier change or transfer is not complete.
    Busy,
    /// The learner is not caught up.
    Behind,
    /// The change or position does not fit the present state.
    Invalid,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed => f.write_str("a write to the disk failed"),
            Self::Follower(Some(leader)) => write!(f, "{leader} leads"),
            Self::Follower(None) => f.write_str("no leader is known"),
            Self::Busy => f.write_str("an earlier request is not complete"),
            Self::Behind => f.write_str("the learner is not caught up"),
            Self::Invalid => f.write_str("the request does not fit the present state"),
        }
    }
}

impl std::error::Error for Refusal {}

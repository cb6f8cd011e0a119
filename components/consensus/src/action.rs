//! Actions that a node requests from the loop that owns it, and reasons for refused requests.

use std::fmt;

use types::Name;

use crate::{Entry, Epoch, Identity, Message, Snapshot};

/// Role of a node in the current epoch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Follows a leader or waits for one. A learner is always a follower.
    Follower,
    /// Collects pre-votes or votes.
    Candidate,
    Leader,
}

/// A change of the state on disk.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Write {
    /// Appends entries to the log.
    Append(Vec<Entry>),
    /// Removes all entries at and after this index.
    Truncate(u64),
    /// Replaces the epoch and the vote.
    SaveVote {
        epoch: Epoch,
        /// Candidate that this node voted for in the epoch.
        vote: Option<Identity>,
    },
    /// Saves a snapshot. Entries up to its position may be removed; later ones must be kept.
    Compact(Snapshot),
    /// Saves a snapshot received from the leader, which replaces the whole log.
    Install(Snapshot),
}

/// What the calling loop has to do, in the order in which the node returned it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a message to an instance. It may get lost.
    Send(Name, Message),
    /// Carry out the write with this sequence number and report its sync or its failure.
    Write(u64, Write),
    /// Apply a committed entry.
    Apply(Entry),
    /// Replace the state machine by the content of the node's snapshot.
    Restore,
    /// Answer a read. The actions before this one have applied all entries up to `index`.
    AnswerRead {
        /// Id passed to [`crate::Node::on_read`].
        id: u64,
        /// Index up to which the read must see all entries.
        index: u64,
    },
    /// Refuse the read with this id, as this node is no longer the leader.
    RefuseRead(u64),
    /// The role, the epoch or the known leader has changed.
    RoleChanged {
        role: Role,
        epoch: Epoch,
        /// Known leader of the epoch.
        leader: Option<Name>,
    },
    /// Reports how far a learner has caught up.
    LearnerProgress {
        instance: Name,
        /// Last index that is durable on the learner.
        match_index: u64,
        /// Last index of the leader's log.
        last_index: u64,
        /// Whether the learner may be promoted.
        ready: bool,
    },
    /// A reply came from an identity that is not in the member list.
    UnknownIdentity(Identity),
}

/// Reason for which a request is refused. A refused request changes nothing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// An earlier write of this node failed.
    WriteFailed,
    /// This node is not the leader. Holds the leader if it is known.
    NotLeader(Option<Name>),
    /// Too many entries are uncommitted, an earlier member change or snapshot transfer is still in
    /// progress, or no quorum of the new member list has replied lately.
    Busy,
    /// The learner to promote has not caught up.
    LearnerBehind,
    /// The request does not fit the current log or member list.
    Invalid,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WriteFailed => f.write_str("a write to the disk failed"),
            Self::NotLeader(Some(leader)) => write!(f, "{leader} leads"),
            Self::NotLeader(None) => f.write_str("no leader is known"),
            Self::Busy => f.write_str("an earlier request is not complete"),
            Self::LearnerBehind => f.write_str("the learner is not caught up"),
            Self::Invalid => f.write_str("the request does not fit the present state"),
        }
    }
}

impl std::error::Error for Refusal {}

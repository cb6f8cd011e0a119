//! Log entries and messages between members.

use types::Name;

use crate::Member;

/// Term of the replicated log; `types::Term` is that of a database.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Epoch(pub u64);

/// Identity of a disk, made at its first start.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Disk(pub u64);

/// An instance with its disk: an emptied disk gives the same instance another identity.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Name of the instance.
    pub instance: Name,
    /// Identity of its disk.
    pub disk: Disk,
}

impl Identity {
    /// The identity of an instance with this disk.
    #[must_use]
    pub fn new(instance: Name, disk: Disk) -> Self {
        Self { instance, disk }
    }
}

/// Place of an entry. Ordered as logs are compared in elections.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Epoch of the leader that made the entry.
    pub epoch: Epoch,
    /// Index in the log; the first entry has 1.
    pub index: u64,
}

impl Position {
    /// The place of an entry of an epoch.
    #[must_use]
    pub fn new(epoch: Epoch, index: u64) -> Self {
        Self { epoch, index }
    }
}

/// What an entry carries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Payload {
    /// Starts an epoch.
    Noop,
    /// Bytes of the state machine.
    Data(Vec<u8>),
    /// Member list, in force from the append.
    Members(Vec<Member>),
}

/// One entry of the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Place in the log.
    pub position: Position,
    /// Content.
    pub payload: Payload,
}

impl Entry {
    /// Approximate bytes in a message.
    pub(crate) fn size(&self) -> usize {
        32 + match &self.payload {
            Payload::Noop => 0,
            Payload::Data(data) => data.len(),
            // Name, address and fixed fields of a member are below this.
            Payload::Members(members) => members.len() * 144,
        }
    }
}

/// State machine at a position; index 0 means none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// Last entry that the state contains.
    pub position: Position,
    /// Members in force at that position.
    pub members: Vec<Member>,
    /// Bytes of the state machine.
    pub data: Vec<u8>,
}

/// A message between members.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Sender.
    pub from: Identity,
    /// Epoch of the sender; in `PreVote` and a granted reply to it the epoch that would begin.
    pub epoch: Epoch,
    /// Content.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Body {
    /// Asks whether a vote would be granted; changes no state.
    PreVote {
        /// End of the sender's log.
        last: Position,
    },
    /// Answer to `PreVote`.
    PreVoteReply {
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// End of the sender's log.
        last: Position,
    },
    /// Answer to `Vote`.
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries, or a heartbeat when there are none.
    Append {
        /// Heartbeat round, echoed by the reply.
        round: u64,
        /// Position before the first entry.
        prev: Position,
        /// Commit index of the leader.
        commit: u64,
        /// Entries in order.
        entries: Vec<Entry>,
    },
    /// Answer to `Append`, and to the end of a snapshot with round 0.
    AppendReply {
        /// Round of the message that this answers.
        round: u64,
        /// Whether the position before the entries matched.
        accepted: bool,
        /// Last durable index known to match, or the index to go on from when not accepted.
        index: u64,
    },
    /// Part of a snapshot.
    Snapshot {
        /// Position of the snapshot.
        last: Position,
        /// Members in force at that position.
        members: Vec<Member>,
        /// Offset of the first byte.
        offset: u64,
        /// Bytes.
        data: Vec<u8>,
        /// Whether these bytes are the last.
        done: bool,
    },
    /// Answer to a part of a snapshot.
    SnapshotReply {
        /// Offset to go on from.
        offset: u64,
    },
}

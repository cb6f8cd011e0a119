//! Log entries and messages between members.

use types::Name;

use crate::Member;

/// Election term of the replicated log; `types::Term` is the term of a database.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Epoch(pub u64);

/// Random id of a disk, generated at its first start.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Disk(pub u64);

/// An instance together with its disk. An instance whose disk was erased gets a new identity.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    pub instance: Name,
    pub disk: Disk,
}

impl Identity {
    #[must_use]
    pub fn new(instance: Name, disk: Disk) -> Self {
        Self { instance, disk }
    }
}

/// Epoch and index of a log entry. The order is the one by which elections compare logs.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Epoch of the leader that created the entry.
    pub epoch: Epoch,
    /// Index in the log, starting at 1.
    pub index: u64,
}

impl Position {
    #[must_use]
    pub fn new(epoch: Epoch, index: u64) -> Self {
        Self { epoch, index }
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Payload {
    /// First entry of an epoch. Its commit also commits the entries of earlier epochs.
    Noop,
    /// Encoded command for the state machine.
    Data(Vec<u8>),
    /// Member list, in force as soon as it is appended.
    Members(Vec<Member>),
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    pub position: Position,
    pub payload: Payload,
}

impl Entry {
    /// Approximate encoded size in bytes.
    pub(crate) fn size(&self) -> usize {
        32 + match &self.payload {
            Payload::Noop => 0,
            Payload::Data(data) => data.len(),
            // Upper bound of the encoded name, address and fixed fields of a member.
            Payload::Members(members) => members.len() * 144,
        }
    }
}

/// State of the state machine at a log position; index 0 means that there is no snapshot.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// Position of the last entry that the state includes.
    pub position: Position,
    /// Members in force at that position.
    pub members: Vec<Member>,
    /// Encoded state of the state machine.
    pub data: Vec<u8>,
}

/// A message between members.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    pub from: Identity,
    /// Epoch of the sender. In `PreVote` and in a reply that grants it, the epoch that the election
    /// would start.
    pub epoch: Epoch,
    pub body: Body,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Body {
    /// Asks whether the receiver would grant a vote. Does not change the receiver's state.
    PreVote {
        /// Position of the last entry in the sender's log.
        last: Position,
    },
    PreVoteReply {
        granted: bool,
    },
    Vote {
        /// Position of the last entry in the sender's log.
        last: Position,
    },
    VoteReply {
        granted: bool,
    },
    /// Replicates entries. Without entries it is a heartbeat.
    Append {
        /// Heartbeat round; the reply repeats it.
        round: u64,
        /// Position of the entry before the first one sent.
        prev: Position,
        /// Commit index of the leader.
        commit: u64,
        entries: Vec<Entry>,
    },
    /// Reply to `Append`. Also sent with round 0 when a snapshot is complete.
    AppendReply {
        /// Round of the `Append` that is answered.
        round: u64,
        /// Whether the receiver's log contains `prev`.
        accepted: bool,
        /// If accepted, the last durable index known to match the leader's log; otherwise the index
        /// from which the leader should send.
        index: u64,
    },
    /// Chunk of a snapshot.
    Snapshot {
        last: Position,
        /// Members in force at that position.
        members: Vec<Member>,
        /// Byte offset of the chunk in the snapshot.
        offset: u64,
        data: Vec<u8>,
        /// Whether this is the last chunk.
        done: bool,
    },
    /// Reply to a chunk that does not complete the snapshot.
    SnapshotReply {
        /// Byte offset of the chunk to send next.
        offset: u64,
    },
}

//! Read access to the state of a node.

use rand::Rng;
use types::Name;

use crate::node::State;
use crate::{Entry, Epoch, Identity, Member, Node, Position, Role, Snapshot};

impl<R: Rng> Node<R> {
    #[must_use]
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    #[must_use]
    pub fn role(&self) -> Role {
        match self.state {
            State::Follower => Role::Follower,
            State::PreCandidate(_) | State::Candidate(_) => Role::Candidate,
            State::Leader(_) => Role::Leader,
        }
    }

    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Known leader of the current epoch.
    #[must_use]
    pub fn leader(&self) -> Option<&Name> {
        self.leader.as_ref()
    }

    #[must_use]
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Position of the last entry in the log, durable or not.
    #[must_use]
    pub fn last_position(&self) -> Position {
        self.log.last()
    }

    /// The entry at an index, if compaction has not dropped it.
    #[must_use]
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.log.get(index)
    }

    /// Member list in force; its entry may not be committed yet.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        self.log.members()
    }

    /// Last log index known to be durable on a member; `None` unless this node is the leader.
    #[must_use]
    pub fn match_index(&self, member: &Member) -> Option<u64> {
        let State::Leader(leader_state) = &self.state else {
            return None;
        };
        if member.instance == self.identity.instance && member.disk == self.identity.disk {
            return Some(self.log.durable_index);
        }
        let peer = leader_state.peers.get(&member.instance);
        peer.filter(|peer| peer.disk == member.disk)
            .map(|peer| peer.match_index)
    }

    /// Log index of the member list in force.
    #[must_use]
    pub fn members_index(&self) -> u64 {
        self.log.members_index()
    }

    #[must_use]
    pub fn snapshot(&self) -> &Snapshot {
        &self.log.snapshot
    }

    #[must_use]
    pub fn is_failed(&self) -> bool {
        self.write_failed
    }
}

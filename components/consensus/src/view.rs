//! What a node shows of itself.

use rand::Rng;
use types::Name;

use crate::node::State;
use crate::{Entry, Epoch, Identity, Member, Node, Position, Role, Snapshot};

impl<R: Rng> Node<R> {
    /// Identity of this node.
    #[must_use]
    pub fn identity(&self) -> &Identity {
        &self.me
    }

    /// Present role.
    #[must_use]
    pub fn role(&self) -> Role {
        match self.state {
            State::Follower => Role::Follower,
            State::Probe(_) | State::Candidate(_) => Role::Candidate,
            State::Leader(_) => Role::Leader,
        }
    }

    /// Present epoch.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Leader, if it is known.
    #[must_use]
    pub fn leader(&self) -> Option<&Name> {
        self.leader.as_ref()
    }

    /// Last committed index.
    #[must_use]
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// End of the log.
    #[must_use]
    pub fn last(&self) -> Position {
        self.log.last()
    }

    /// An entry that is still in memory.
    #[must_use]
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.log.get(index)
    }

    /// Members in force, which may not be committed yet.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        self.log.members()
    }

    /// Last index that is known to be on a member's disk; none unless this node leads.
    #[must_use]
    pub fn matched(&self, member: &Member) -> Option<u64> {
        let State::Leader(lead) = &self.state else {
            return None;
        };
        if member.instance == self.me.instance && member.disk == self.me.disk {
            return Some(self.log.durable);
        }
        let peer = lead.peers.get(&member.instance);
        peer.filter(|peer| peer.disk == member.disk)
            .map(|peer| peer.matched)
    }

    /// Index of the member list in force.
    #[must_use]
    pub fn members_index(&self) -> u64 {
        self.log.members_index()
    }

    /// Last snapshot; position 0 if there is none.
    #[must_use]
    pub fn snapshot(&self) -> &Snapshot {
        &self.log.snapshot
    }

    /// Whether a write failed.
    #[must_use]
    pub fn is_failed(&self) -> bool {
        self.failed
    }
}

//! Member lists and quorums.

use std::net::SocketAddr;

use types::Name;

use crate::{Disk, Identity, Refusal};

/// Voting right of a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Seat {
    /// Receives the log but neither votes nor counts towards the quorum.
    Learner,
    /// Votes and counts towards the quorum.
    Voter,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    pub instance: Name,
    pub disk: Disk,
    /// Address for streams between instances.
    pub address: SocketAddr,
    pub seat: Seat,
}

impl Member {
    #[must_use]
    pub fn new(identity: Identity, address: SocketAddr, seat: Seat) -> Self {
        Self {
            instance: identity.instance,
            disk: identity.disk,
            address,
            seat,
        }
    }

    #[must_use]
    pub fn identity(&self) -> Identity {
        Identity::new(self.instance.clone(), self.disk)
    }

    /// Whether both the instance and its disk match.
    #[must_use]
    pub fn has_identity(&self, identity: &Identity) -> bool {
        self.instance == identity.instance && self.disk == identity.disk
    }
}

/// A change of the member list; each one affects a single member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Adds a learner, in place of a member of the same instance with another disk.
    Join(Identity, SocketAddr),
    /// Makes a learner a voter once it has caught up.
    Promote(Identity),
    Remove(Identity),
}

#[must_use]
pub fn find<'a>(members: &'a [Member], identity: &Identity) -> Option<&'a Member> {
    members.iter().find(|member| member.has_identity(identity))
}

#[must_use]
pub fn is_voter(members: &[Member], identity: &Identity) -> bool {
    find(members, identity).is_some_and(|member| member.seat == Seat::Voter)
}

/// Largest value that a quorum of the voters has reached; `None` if there are no voters.
pub fn quorum<T: Copy + Ord>(members: &[Member], value: impl Fn(&Member) -> T) -> Option<T> {
    let mut values: Vec<T> = members
        .iter()
        .filter(|member| member.seat == Seat::Voter)
        .map(value)
        .collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(values.len() / 2).copied()
}

/// Whether the list contains a voter and no instance twice.
pub(crate) fn is_valid(members: &[Member]) -> bool {
    let mut names: Vec<&Name> = members.iter().map(|member| &member.instance).collect();
    names.sort_unstable();
    names.dedup();
    names.len() == members.len() && members.iter().any(|member| member.seat == Seat::Voter)
}

/// Returns the member list after a change.
pub(crate) fn apply_change(members: &[Member], change: &Change) -> Result<Vec<Member>, Refusal> {
    let mut new_members = members.to_vec();
    match change {
        Change::Join(identity, address) => {
            if find(members, identity).is_some() {
                return Err(Refusal::Invalid);
            }
            new_members.retain(|member| member.instance != identity.instance);
            new_members.push(Member::new(identity.clone(), *address, Seat::Learner));
        }
        Change::Promote(identity) => {
            let member = new_members
                .iter_mut()
                .find(|member| member.has_identity(identity))
                .filter(|member| member.seat == Seat::Learner)
                .ok_or(Refusal::Invalid)?;
            member.seat = Seat::Voter;
        }
        Change::Remove(identity) => {
            find(members, identity).ok_or(Refusal::Invalid)?;
            new_members.retain(|member| member.instance != identity.instance);
        }
    }
    if is_valid(&new_members) {
        Ok(new_members)
    } else {
        Err(Refusal::Invalid)
    }
}

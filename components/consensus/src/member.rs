//! Member lists and quorums.

use std::net::SocketAddr;

use types::Name;

use crate::{Disk, Identity, Refusal};

/// Whether a member counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Seat {
    /// Receives the log only.
    Learner,
    /// Votes and counts towards the quorum.
    Voter,
}

/// A member of the cluster.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Name of the instance.
    pub instance: Name,
    /// Identity of its disk.
    pub disk: Disk,
    /// Link address.
    pub address: SocketAddr,
    /// Whether it counts.
    pub seat: Seat,
}

impl Member {
    /// A member with the identity of an instance and its disk.
    #[must_use]
    pub fn new(who: Identity, address: SocketAddr, seat: Seat) -> Self {
        Self {
            instance: who.instance,
            disk: who.disk,
            address,
            seat,
        }
    }

    /// Identity of the instance with its disk.
    #[must_use]
    pub fn identity(&self) -> Identity {
        Identity::new(self.instance.clone(), self.disk)
    }

    /// Whether the member is this instance with this disk.
    #[must_use]
    pub fn is(&self, who: &Identity) -> bool {
        self.instance == who.instance && self.disk == who.disk
    }
}

/// A change of one member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Adds a learner; replaces a member of the same instance with another disk.
    Join(Identity, SocketAddr),
    /// Makes a learner that is caught up a voter.
    Promote(Identity),
    /// Removes a member.
    Remove(Identity),
}

/// The member with this identity.
#[must_use]
pub fn find<'a>(members: &'a [Member], who: &Identity) -> Option<&'a Member> {
    members.iter().find(|member| member.is(who))
}

/// Whether this identity is a voter.
#[must_use]
pub fn is_voter(members: &[Member], who: &Identity) -> bool {
    find(members, who).is_some_and(|member| member.seat == Seat::Voter)
}

/// Largest value that a quorum of the voters has reached; none without voters.
pub fn quorum<T: Copy + Ord>(members: &[Member], value: impl Fn(&Member) -> T) -> Option<T> {
    let mut values: Vec<T> = members
        .iter()
        .filter(|member| member.seat == Seat::Voter)
        .map(value)
        .collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(values.len() / 2).copied()
}

/// Whether the list can start a cluster: voters exist and names are unique.
pub(crate) fn is_valid(members: &[Member]) -> bool {
    let mut names: Vec<&Name> = members.iter().map(|member| &member.instance).collect();
    names.sort_unstable();
    names.dedup();
    names.len() == members.len() && members.iter().any(|member| member.seat == Seat::Voter)
}

/// The list after a change.
pub(crate) fn change(members: &[Member], change: &Change) -> Result<Vec<Member>, Refusal> {
    let mut list = members.to_vec();
    match change {
        Change::Join(who, address) => {
            if find(members, who).is_some() {
                return Err(Refusal::Invalid);
            }
            list.retain(|member| member.instance != who.instance);
            list.push(Member::new(who.clone(), *address, Seat::Learner));
        }
        Change::Promote(who) => {
            let member = list
                .iter_mut()
                .find(|member| member.is(who))
                .filter(|member| member.seat == Seat::Learner)
                .ok_or(Refusal::Invalid)?;
            member.seat = Seat::Voter;
        }
        Change::Remove(who) => {
            find(members, who).ok_or(Refusal::Invalid)?;
            list.retain(|member| member.instance != who.instance);
        }
    }
    if is_valid(&list) {
        Ok(list)
    } else {
        Err(Refusal::Invalid)
    }
}

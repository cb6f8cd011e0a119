//! What a leader knows of the other members.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use types::Name;

use crate::log::Log;
use crate::member::{self, Member, Seat};
use crate::{Action, Disk, Identity, Settings};

/// How a member receives the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Flow {
    /// The next index is a guess; heartbeats test it and no entries are sent.
    Probe,
    /// The next index is known; entries are sent ahead of acknowledgements.
    Stream,
    /// The member needs the snapshot, from this offset on.
    Snapshot(usize),
}

/// State of one member.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) disk: Disk,
    pub(crate) flow: Flow,
    /// Next index to send. Invariant: above `matched`.
    pub(crate) next: u64,
    /// Last index that is durable on the member.
    pub(crate) matched: u64,
    /// Last round that the member answered.
    pub(crate) round: u64,
    /// Last answer, at first the start of the leadership.
    pub(crate) heard: Instant,
    /// Last report of a learner.
    reported: Option<(u64, u64, bool)>,
}

impl Progress {
    fn new(now: Instant, disk: Disk, last: u64) -> Self {
        Self {
            disk,
            flow: Flow::Probe,
            next: last + 1,
            matched: 0,
            round: 0,
            heard: now,
            reported: None,
        }
    }

    pub(crate) fn is_ready(&self, now: Instant, last: u64, settings: &Settings) -> bool {
        self.flow == Flow::Stream
            && self.matched + settings.lag >= last
            && now < self.heard + settings.election_max
    }

    pub(crate) fn on_accepted(&mut self, index: u64, log: &Log) {
        self.matched = self.matched.max(index.min(log.last().index));
        self.next = self.next.max(self.matched + 1);
        let complete = self.matched >= log.base().index;
        if complete || self.flow == Flow::Probe {
            self.flow = Flow::Stream;
        }
    }

    /// Returns whether the next index moved, so that another probe is of use.
    pub(crate) fn on_rejected(&mut self, index: u64, log: &Log) -> bool {
        if matches!(self.flow, Flow::Snapshot(_)) {
            return false;
        }
        let next = index.min(self.next).max(self.matched + 1);
        let moved = next < self.next;
        self.next = next;
        self.flow = Flow::Probe;
        if self.next <= log.base().index {
            self.flow = Flow::Snapshot(0);
        }
        moved
    }
}

/// A read that waits for its round and its index.
#[derive(Debug)]
pub(crate) struct Wait {
    pub(crate) id: u64,
    pub(crate) round: u64,
    pub(crate) index: u64,
}

/// State of a leader.
#[derive(Debug)]
pub(crate) struct Lead {
    pub(crate) peers: BTreeMap<Name, Progress>,
    /// Index of the no-op that started the epoch.
    pub(crate) start: u64,
    pub(crate) heartbeat_at: Instant,
    /// Last round that was sent.
    pub(crate) round: u64,
    /// When the rounds after the last confirmed one were sent.
    sent: VecDeque<(u64, Instant)>,
    /// Last round that a quorum answered, and when it was sent.
    pub(crate) confirmed: (u64, Option<Instant>),
    /// Reads in order of their rounds and indexes.
    pub(crate) reads: VecDeque<Wait>,
}

impl Lead {
    pub(crate) fn new(now: Instant, start: u64) -> Self {
        Self {
            peers: BTreeMap::new(),
            start,
            heartbeat_at: now,
            round: 0,
            sent: VecDeque::new(),
            confirmed: (0, None),
            reads: VecDeque::new(),
        }
    }

    /// Follows a change of the member list.
    pub(crate) fn set_members(&mut self, now: Instant, me: &Identity, log: &Log) {
        let list = log.members();
        let is_listed = |name: &Name, disk: Disk| {
            list.iter()
                .any(|member| member.instance == *name && member.disk == disk)
        };
        self.peers.retain(|name, peer| is_listed(name, peer.disk));
        for member in list.iter().filter(|member| member.instance != me.instance) {
            self.peers
                .entry(member.instance.clone())
                .or_insert_with(|| Progress::new(now, member.disk, log.last().index));
        }
    }

    /// The progress of a sender, if its identity is in the member list.
    pub(crate) fn peer(&mut self, who: &Identity) -> Option<&mut Progress> {
        self.peers
            .get_mut(&who.instance)
            .filter(|peer| peer.disk == who.disk)
    }

    /// Largest value that a quorum has reached, with `own` for this node.
    pub(crate) fn quorum<T: Copy + Ord>(
        &self,
        members: &[Member],
        me: &Identity,
        own: T,
        value: impl Fn(&Progress) -> T,
    ) -> Option<T> {
        let reached = member::quorum(members, |member| {
            if member.is(me) {
                return Some(own);
            }
            let peer = self.peers.get(&member.instance);
            peer.filter(|peer| peer.disk == member.disk).map(&value)
        });
        reached.flatten()
    }

    pub(crate) fn open_round(&mut self, now: Instant, settings: &Settings) {
        self.round += 1;
        self.sent.push_back((self.round, now));
        self.heartbeat_at = now + settings.heartbeat;
    }

    /// Notes that a quorum answered a round.
    pub(crate) fn close_rounds(&mut self, round: u64) {
        while let Some((number, at)) = self.sent.pop_front_if(|(number, _)| *number <= round) {
            self.confirmed = (number, Some(at));
        }
    }

    /// Reports learners whose state changed.
    pub(crate) fn report(
        &mut self,
        now: Instant,
        log: &Log,
        settings: &Settings,
        out: &mut Vec<Action>,
    ) {
        let last = log.last().index;
        let members = log.members().iter();
        for member in members.filter(|member| member.seat == Seat::Learner) {
            let Some(peer) = self.peers.get_mut(&member.instance) else {
                continue;
            };
            let ready = peer.is_ready(now, last, settings);
            let report = (peer.matched, last, ready);
            if peer.reported.replace(report) != Some(report) {
                out.push(Action::Learner {
                    instance: member.instance.clone(),
                    matched: peer.matched,
                    last,
                    ready,
                });
            }
        }
    }
}

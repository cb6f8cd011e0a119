//! State of a leader: replication progress of the other members, heartbeat rounds and reads.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use types::Name;

use crate::log::Log;
use crate::member::{self, Member, Seat};
use crate::{Action, Disk, Identity, Settings};

/// How the leader replicates its log to a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mode {
    /// The next index is a guess. Heartbeats check it, and no entries are sent.
    Probe,
    /// The next index is known. Entries are sent without waiting for acknowledgements.
    Stream,
    /// The member needs the snapshot, from this byte offset on.
    Snapshot(usize),
}

/// Replication progress of one member.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) disk: Disk,
    pub(crate) mode: Mode,
    /// Next index to send. Invariant: greater than `match_index`.
    pub(crate) next_index: u64,
    /// Last index that is durable on the member.
    pub(crate) match_index: u64,
    /// Last round that the member answered.
    pub(crate) round: u64,
    /// Time of the last reply; initially the time at which the member was added or the node became
    /// leader.
    pub(crate) last_reply_at: Instant,
    /// Match index, last index and readiness in the last report of a learner.
    last_report: Option<(u64, u64, bool)>,
}

impl Progress {
    fn new(now: Instant, disk: Disk, last_index: u64) -> Self {
        Self {
            disk,
            mode: Mode::Probe,
            next_index: last_index + 1,
            match_index: 0,
            round: 0,
            last_reply_at: now,
            last_report: None,
        }
    }

    pub(crate) fn is_ready(&self, now: Instant, last_index: u64, settings: &Settings) -> bool {
        self.mode == Mode::Stream
            && self.match_index + settings.max_learner_lag >= last_index
            && now < self.last_reply_at + settings.election_timeout_max
    }

    pub(crate) fn on_accepted(&mut self, index: u64, log: &Log) {
        self.match_index = self.match_index.max(index.min(log.last().index));
        self.next_index = self.next_index.max(self.match_index + 1);
        let reaches_log = self.match_index >= log.base().index;
        if reaches_log || self.mode == Mode::Probe {
            self.mode = Mode::Stream;
        }
    }

    /// Handles a rejected append. Returns whether the next index moved, so that it should be checked
    /// again.
    pub(crate) fn on_rejected(&mut self, index: u64, log: &Log) -> bool {
        if matches!(self.mode, Mode::Snapshot(_)) {
            return false;
        }
        let next_index = index.min(self.next_index).max(self.match_index + 1);
        let moved = next_index < self.next_index;
        self.next_index = next_index;
        self.mode = Mode::Probe;
        if self.next_index <= log.base().index {
            self.mode = Mode::Snapshot(0);
        }
        moved
    }
}

/// A read that waits until its round is confirmed and its index is committed.
#[derive(Debug)]
pub(crate) struct Read {
    pub(crate) id: u64,
    pub(crate) round: u64,
    pub(crate) index: u64,
}

#[derive(Debug)]
pub(crate) struct Leader {
    pub(crate) peers: BTreeMap<Name, Progress>,
    /// Index of the no-op that starts the epoch.
    pub(crate) noop_index: u64,
    pub(crate) heartbeat_at: Instant,
    /// Last round that was sent.
    pub(crate) round: u64,
    /// Rounds that are not confirmed yet, with their start times.
    open_rounds: VecDeque<(u64, Instant)>,
    /// Last round that a quorum answered, with its start time.
    pub(crate) last_confirmed: (u64, Option<Instant>),
    /// Pending reads in order of their rounds and indexes.
    pub(crate) reads: VecDeque<Read>,
}

impl Leader {
    pub(crate) fn new(now: Instant, noop_index: u64) -> Self {
        Self {
            peers: BTreeMap::new(),
            noop_index,
            heartbeat_at: now,
            round: 0,
            open_rounds: VecDeque::new(),
            last_confirmed: (0, None),
            reads: VecDeque::new(),
        }
    }

    /// Updates the tracked members after a change of the member list.
    pub(crate) fn set_members(&mut self, now: Instant, local_identity: &Identity, log: &Log) {
        let members = log.members();
        let is_listed = |name: &Name, disk: Disk| {
            members
                .iter()
                .any(|member| member.instance == *name && member.disk == disk)
        };
        self.peers.retain(|name, peer| is_listed(name, peer.disk));
        for member in members
            .iter()
            .filter(|member| member.instance != local_identity.instance)
        {
            self.peers
                .entry(member.instance.clone())
                .or_insert_with(|| Progress::new(now, member.disk, log.last().index));
        }
    }

    /// Progress of the member with this identity, if it is in the member list.
    pub(crate) fn peer(&mut self, identity: &Identity) -> Option<&mut Progress> {
        self.peers
            .get_mut(&identity.instance)
            .filter(|peer| peer.disk == identity.disk)
    }

    /// Largest value that a quorum has reached, with `local_value` for this node.
    pub(crate) fn quorum<T: Copy + Ord>(
        &self,
        members: &[Member],
        local_identity: &Identity,
        local_value: T,
        value: impl Fn(&Progress) -> T,
    ) -> Option<T> {
        let reached = member::quorum(members, |member| {
            if member.has_identity(local_identity) {
                return Some(local_value);
            }
            let peer = self.peers.get(&member.instance);
            peer.filter(|peer| peer.disk == member.disk).map(&value)
        });
        reached.flatten()
    }

    pub(crate) fn open_round(&mut self, now: Instant, settings: &Settings) {
        self.round += 1;
        self.open_rounds.push_back((self.round, now));
        self.heartbeat_at = now + settings.heartbeat_interval;
    }

    /// Records that a quorum has answered a round.
    pub(crate) fn confirm_rounds_up_to(&mut self, round: u64) {
        while let Some((number, sent_at)) = self
            .open_rounds
            .pop_front_if(|(number, _)| *number <= round)
        {
            self.last_confirmed = (number, Some(sent_at));
        }
    }

    /// Reports learners whose progress has changed.
    pub(crate) fn report_learners(
        &mut self,
        now: Instant,
        log: &Log,
        settings: &Settings,
        actions: &mut Vec<Action>,
    ) {
        let last_index = log.last().index;
        let members = log.members().iter();
        for member in members.filter(|member| member.seat == Seat::Learner) {
            let Some(peer) = self.peers.get_mut(&member.instance) else {
                continue;
            };
            let ready = peer.is_ready(now, last_index, settings);
            let report = (peer.match_index, last_index, ready);
            if peer.last_report.replace(report) != Some(report) {
                actions.push(Action::LearnerProgress {
                    instance: member.instance.clone(),
                    match_index: peer.match_index,
                    last_index,
                    ready,
                });
            }
        }
    }
}

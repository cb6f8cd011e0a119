//! State machine of one member: events in, actions out.

use std::mem;
use std::time::Instant;

use rand::{Rng, RngExt};
use types::Name;

use crate::follow::Transfer;
use crate::log::Log;
use crate::member;
use crate::progress::Leader;
use crate::{
    Action, Body, Entry, Epoch, Identity, Member, Message, Payload, Position, Refusal, Role,
    Settings, Snapshot, Write,
};

/// Content of the disk, from which a node starts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Contents {
    pub epoch: Epoch,
    /// Candidate that this node voted for in the epoch.
    pub vote: Option<Identity>,
    /// Last snapshot; its index is 0 if there is none.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

#[derive(Debug)]
pub(crate) enum State {
    Follower,
    /// Collects pre-votes; holds the members that granted one.
    PreCandidate(Vec<Identity>),
    /// Collects votes; holds the other members that granted one.
    Candidate(Vec<Identity>),
    Leader(Leader),
}

/// Decisions of one member, without I/O, clocks or threads.
///
/// Writes have sequence numbers and are carried out in that order. The calling loop reports when
/// they are synced; actions that depend on a write are withheld until then.
#[derive(Debug)]
pub struct Node<R> {
    pub(crate) identity: Identity,
    pub(crate) settings: Settings,
    rng: R,
    pub(crate) epoch: Epoch,
    pub(crate) vote: Option<Identity>,
    pub(crate) log: Log,
    /// Last committed index. Every entry up to it was returned as [`Action::Apply`] or is part of the
    /// snapshot.
    pub(crate) commit_index: u64,
    pub(crate) state: State,
    pub(crate) leader: Option<Name>,
    /// Time of the last message from a leader. Initially the start of the node: the time of the last
    /// message before a restart is lost, and the leader may still rely on it.
    pub(crate) last_leader_message_at: Instant,
    /// When this node starts an election unless it is postponed.
    election_at: Instant,
    /// Sequence number of the last issued write.
    pub(crate) last_seq: u64,
    /// Sequence number of the last durable write.
    pub(crate) synced_seq: u64,
    /// Sequence number of the last write that saved the epoch and the vote.
    pub(crate) vote_seq: u64,
    /// Actions that wait until the write with this sequence number is durable.
    withheld: Vec<(u64, Action)>,
    pub(crate) incoming_snapshot: Option<Transfer>,
    /// Content of the last [`Action::RoleChanged`].
    reported_role: (Role, Epoch, Option<Name>),
    pub(crate) write_failed: bool,
}

impl<R: Rng> Node<R> {
    /// Creates a node from the content of its disk.
    pub fn new(
        now: Instant,
        identity: Identity,
        settings: Settings,
        rng: R,
        persistent: Contents,
    ) -> Self {
        let mut node = Self {
            identity,
            settings,
            rng,
            epoch: persistent.epoch,
            vote: persistent.vote,
            commit_index: persistent.snapshot.position.index,
            log: Log::new(persistent.snapshot, persistent.entries),
            state: State::Follower,
            leader: None,
            last_leader_message_at: now,
            election_at: now,
            last_seq: 0,
            synced_seq: 0,
            vote_seq: 0,
            withheld: Vec::new(),
            incoming_snapshot: None,
            reported_role: (Role::Follower, persistent.epoch, None),
            write_failed: false,
        };
        node.postpone_election(now);
        node
    }

    /// Starts a new cluster on a blank node. Every initial member must get the same list.
    ///
    /// May be repeated after a restart that lost the list: epoch 1 has no election, so a node in
    /// this epoch has not voted.
    ///
    /// # Errors
    ///
    /// Fails if a write of this node failed, if the node isn't blank, or if the member list is
    /// invalid or doesn't contain this node.
    pub fn on_bootstrap(
        &mut self,
        now: Instant,
        members: &[Member],
        actions: &mut Vec<Action>,
    ) -> Result<(), Refusal> {
        let is_blank = self.epoch <= Epoch(1) && self.log.last() == Position::default();
        if self.write_failed {
            return Err(Refusal::WriteFailed);
        }
        if !is_blank
            || !member::is_valid(members)
            || member::find(members, &self.identity).is_none()
        {
            return Err(Refusal::Invalid);
        }
        // All initial members create the same entry, so that their logs match from the start.
        self.save_vote(Epoch(1), None, actions);
        self.push_entry(Payload::Members(members.to_vec()));
        self.write_staged_entries(actions);
        self.postpone_election(now);
        Ok(())
    }

    /// Time at which [`Node::on_tick`] is due next.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        match &self.state {
            _ if self.write_failed => None,
            State::Leader(leader_state) => Some(leader_state.heartbeat_at),
            // The requests of an election would be withheld.
            _ if !self.is_vote_durable() => None,
            _ => member::is_voter(self.log.members(), &self.identity).then_some(self.election_at),
        }
    }

    /// Handles a due heartbeat or election timeout.
    pub fn on_tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.deadline().is_none_or(|deadline| now < deadline) {
            return;
        }
        if matches!(self.state, State::Leader(_)) {
            self.check_quorum(now, actions);
            self.start_round(now, actions);
            self.write_delayed_proposals(actions);
        } else {
            self.start_pre_vote(now, actions);
        }
    }

    /// Handles a message from another member.
    pub fn on_message(&mut self, now: Instant, message: Message, actions: &mut Vec<Action>) {
        if self.write_failed || message.from.instance == self.identity.instance {
            return;
        }
        let Message { from, epoch, body } = message;
        match body {
            Body::PreVote { last } => self.on_pre_vote(now, &from, epoch, last, actions),
            Body::PreVoteReply { granted } => {
                self.on_pre_vote_reply(now, from, epoch, granted, actions);
            }
            Body::Vote { last } => self.on_vote(now, from, epoch, last, actions),
            Body::Append { .. } | Body::Snapshot { .. } => {
                self.on_leader_message(now, &from, epoch, body, actions);
            }
            Body::VoteReply { .. } | Body::AppendReply { .. } | Body::SnapshotReply { .. } => {
                self.on_reply(now, from, epoch, &body, actions);
            }
        }
    }

    fn on_reply(
        &mut self,
        now: Instant,
        from: Identity,
        epoch: Epoch,
        body: &Body,
        actions: &mut Vec<Action>,
    ) {
        // A reply from an unknown identity does not count and cannot raise the epoch, as its disk may
        // have been erased.
        if member::find(self.log.members(), &from).is_none() {
            if matches!(self.state, State::Leader(_)) {
                actions.push(Action::UnknownIdentity(from));
            }
            return;
        }
        if epoch > self.epoch {
            self.become_follower(now, epoch, None, actions);
        }
        if epoch < self.epoch {
            return;
        }
        match *body {
            Body::VoteReply { granted } => self.on_vote_reply(now, from, granted, actions),
            Body::AppendReply {
                round,
                accepted,
                index,
            } => self.on_append_reply(now, &from, (round, accepted, index), actions),
            Body::SnapshotReply { offset } => self.on_snapshot_reply(now, &from, offset, actions),
            _ => {}
        }
    }

    /// Handles the report that all writes up to `seq` are durable.
    pub fn on_synced(&mut self, now: Instant, seq: u64, actions: &mut Vec<Action>) {
        if self.write_failed {
            return;
        }
        let was_vote_durable = self.is_vote_durable();
        self.synced_seq = self.synced_seq.max(seq.min(self.last_seq));
        if !was_vote_durable && self.is_vote_durable() {
            // A candidate sends its requests only now. If its election timeout included the sync, syncs
            // of that length would end every election before the replies arrive.
            self.postpone_election(now);
        }
        self.log.on_synced(self.synced_seq);
        let synced_seq = self.synced_seq;
        actions.extend(
            self.withheld
                .extract_if(.., |(seq, _)| *seq <= synced_seq)
                .map(|(_, action)| action),
        );
        match self.state {
            State::Candidate(_) => self.count_votes(now, actions),
            State::Leader(_) => {
                self.write_proposals_if_synced(actions);
                self.advance_commit(now, actions);
            }
            _ => {}
        }
    }

    /// Handles the failure of a write or a sync. The node refuses all requests from then on.
    pub fn on_write_failed(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.write_failed = true;
        self.withheld.clear();
        self.become_follower(now, self.epoch, None, actions);
    }

    /// Whether the last saved epoch and vote are durable. Until then the node's votes, pre-votes and
    /// requests for them are withheld.
    pub(crate) fn is_vote_durable(&self) -> bool {
        self.vote_seq <= self.synced_seq
    }

    pub(crate) fn postpone_election(&mut self, now: Instant) {
        let range = self.settings.election_timeout_min..=self.settings.election_timeout_max;
        self.election_at = now + self.rng.random_range(range);
    }

    pub(crate) fn write(&mut self, write: Write, actions: &mut Vec<Action>) -> u64 {
        self.last_seq += 1;
        if !self.write_failed {
            actions.push(Action::Write(self.last_seq, write));
        }
        self.last_seq
    }

    pub(crate) fn save_vote(
        &mut self,
        epoch: Epoch,
        vote: Option<Identity>,
        actions: &mut Vec<Action>,
    ) {
        self.epoch = epoch;
        self.vote.clone_from(&vote);
        self.vote_seq = self.write(Write::SaveVote { epoch, vote }, actions);
    }

    /// Stages an entry of the current epoch in memory.
    pub(crate) fn push_entry(&mut self, payload: Payload) -> Position {
        let position = Position {
            epoch: self.epoch,
            index: self.log.last().index + 1,
        };
        self.log.push(Entry { position, payload });
        position
    }

    /// Writes all staged entries as one batch.
    pub(crate) fn write_staged_entries(&mut self, actions: &mut Vec<Action>) {
        if self.log.has_staged_entries() {
            let entries = self.log.take_staged_entries(self.last_seq + 1);
            self.write(Write::Append(entries), actions);
        }
    }

    /// Sends a message once the write `after_seq` is durable.
    pub(crate) fn send(
        &mut self,
        to: &Name,
        after_seq: u64,
        body: Body,
        actions: &mut Vec<Action>,
    ) {
        self.send_in_epoch(self.epoch, to, after_seq, body, actions);
    }

    pub(crate) fn send_in_epoch(
        &mut self,
        epoch: Epoch,
        to: &Name,
        after_seq: u64,
        body: Body,
        actions: &mut Vec<Action>,
    ) {
        if self.write_failed {
            return;
        }
        let from = self.identity.clone();
        let action = Action::Send(to.clone(), Message { from, epoch, body });
        if after_seq <= self.synced_seq {
            actions.push(action);
        } else {
            self.withheld.push((after_seq, action));
        }
    }

    /// Becomes a follower in an epoch and records its leader, if known.
    pub(crate) fn become_follower(
        &mut self,
        now: Instant,
        epoch: Epoch,
        leader: Option<&Name>,
        actions: &mut Vec<Action>,
    ) {
        if epoch > self.epoch {
            self.save_vote(epoch, None, actions);
        }
        if let State::Leader(leader_state) = mem::replace(&mut self.state, State::Follower) {
            // The log must not hold entries in memory that are never written: the next leader may still
            // commit staged entries.
            self.write_staged_entries(actions);
            actions.extend(
                leader_state
                    .reads
                    .iter()
                    .map(|read| Action::RefuseRead(read.id)),
            );
            self.postpone_election(now);
        }
        self.leader = leader.cloned();
        if leader.is_some() {
            self.postpone_election(now);
        }
        self.report_role(actions);
    }

    /// Returns [`Action::RoleChanged`] if the role, the epoch or the leader has changed.
    pub(crate) fn report_role(&mut self, actions: &mut Vec<Action>) {
        let current = (self.role(), self.epoch, self.leader.clone());
        if current != self.reported_role {
            self.reported_role = current.clone();
            let (role, epoch, leader) = current;
            actions.push(Action::RoleChanged {
                role,
                epoch,
                leader,
            });
        }
    }

    /// Advances the commit index and returns the newly committed entries to be applied.
    pub(crate) fn commit_up_to(&mut self, index: u64, actions: &mut Vec<Action>) {
        while self.commit_index < index
            && let Some(entry) = self.log.get(self.commit_index + 1)
        {
            actions.push(Action::Apply(entry.clone()));
            self.commit_index += 1;
        }
    }
}

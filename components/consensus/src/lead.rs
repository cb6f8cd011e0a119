//! Proposals, reads, member changes and replication on the leader.

use std::time::Instant;

use rand::Rng;
use types::Name;

use crate::member::{self, Change};
use crate::node::State;
use crate::progress::{Leader, Mode, Read};
use crate::{
    Action, Body, Entry, Epoch, Identity, Node, Payload, Position, Refusal, Snapshot, Write,
};

impl<R: Rng> Node<R> {
    pub(crate) fn leader_state(&mut self) -> Option<&mut Leader> {
        match &mut self.state {
            State::Leader(leader_state) => Some(leader_state),
            _ => None,
        }
    }

    /// Whether a quorum confirmed this leader recently enough to grant leases.
    ///
    /// The time counts from the start of the confirmed round: the members that answered it refuse
    /// votes to others for at least `election_timeout_min` after that.
    #[must_use]
    pub fn leader_confirmed(&self, now: Instant) -> bool {
        let State::Leader(leader_state) = &self.state else {
            return false;
        };
        let valid_until = leader_state
            .last_confirmed
            .1
            .map(|sent_at| sent_at + self.settings.confirmation_validity());
        valid_until.is_some_and(|valid_until| now < valid_until)
    }

    /// Proposes a command for the state machine. If the proposal gets lost, the entry applied at the
    /// returned index has another epoch.
    ///
    /// # Errors
    ///
    /// Fails if a write of this node failed, if it isn't the leader, if the data is larger than
    /// `max_append_bytes`, or if too many entries are uncommitted.
    pub fn on_propose(
        &mut self,
        now: Instant,
        data: &[u8],
        actions: &mut Vec<Action>,
    ) -> Result<Position, Refusal> {
        self.ensure_leader(now, actions)?;
        if data.len() > self.settings.max_append_bytes {
            return Err(Refusal::Invalid);
        }
        if self.log.last().index - self.commit_index >= self.settings.max_uncommitted_entries {
            return Err(Refusal::Busy);
        }
        let position = self.push_entry(Payload::Data(data.to_vec()));
        self.write_proposals_if_synced(actions);
        Ok(position)
    }

    /// Requests a linearizable read. [`Action::AnswerRead`] or [`Action::RefuseRead`] with this id
    /// follows.
    ///
    /// # Errors
    ///
    /// Fails if a write of this node failed or if it isn't the leader.
    pub fn on_read(
        &mut self,
        now: Instant,
        id: u64,
        actions: &mut Vec<Action>,
    ) -> Result<(), Refusal> {
        self.ensure_leader(now, actions)?;
        let commit_index = self.commit_index;
        if let Some(leader_state) = self.leader_state() {
            // Until the no-op is committed, the commit index may be lower than that of the previous
            // leader.
            let index = commit_index.max(leader_state.noop_index);
            let round = leader_state.round + 1;
            leader_state.reads.push_back(Read { id, round, index });
        }
        self.serve_reads(now, actions);
        Ok(())
    }

    /// Proposes a change of the member list.
    ///
    /// # Errors
    ///
    /// Fails if a write of this node failed, if it isn't the leader, if an earlier change or the
    /// first entry of this epoch isn't committed, if the change doesn't fit the member list, if the
    /// learner to promote hasn't caught up, or if no quorum of the new members has replied lately.
    pub fn on_change(
        &mut self,
        now: Instant,
        change: &Change,
        actions: &mut Vec<Action>,
    ) -> Result<Position, Refusal> {
        self.ensure_leader(now, actions)?;
        let State::Leader(leader_state) = &mut self.state else {
            return Err(Refusal::NotLeader(None));
        };
        // A new list requires that the previous list and an entry of this epoch are committed.
        // Otherwise two lists whose quorums do not overlap could be in force.
        if self.log.members_index() > self.commit_index
            || self.commit_index < leader_state.noop_index
        {
            return Err(Refusal::Busy);
        }
        let new_members = member::apply_change(self.log.members(), change)?;
        if let Change::Promote(identity) = change {
            let last_index = self.log.last().index;
            let ready = leader_state
                .peer(identity)
                .is_some_and(|peer| peer.is_ready(now, last_index, &self.settings));
            if !ready {
                return Err(Refusal::LearnerBehind);
            }
        }
        // Without replies from a quorum of the new list, nothing could be committed any more.
        let quorum_replied_at =
            leader_state.quorum(&new_members, &self.identity, now, |peer| peer.last_reply_at);
        if quorum_replied_at
            .is_none_or(|replied_at| now >= replied_at + self.settings.election_timeout_max)
        {
            return Err(Refusal::Busy);
        }
        let position = self.push_entry(Payload::Members(new_members));
        if let State::Leader(leader_state) = &mut self.state {
            leader_state.set_members(now, &self.identity, &self.log);
        }
        self.write_staged_entries(actions);
        self.start_round(now, actions);
        self.replicate_all(actions);
        Ok(position)
    }

    /// Saves a snapshot of the state machine at an applied index and drops earlier entries.
    ///
    /// # Errors
    ///
    /// Fails if a write of this node failed, if the index isn't committed or not after the last
    /// snapshot, or if a snapshot is being sent to a member.
    pub fn on_compact(
        &mut self,
        now: Instant,
        index: u64,
        data: Vec<u8>,
        actions: &mut Vec<Action>,
    ) -> Result<(), Refusal> {
        if self.is_failed() {
            return Err(Refusal::WriteFailed);
        }
        if index > self.commit_index || index <= self.log.snapshot.position.index {
            return Err(Refusal::Invalid);
        }
        // A new snapshot restarts the transfer to a member; a slow transfer would never complete.
        let silence_limit = self.settings.election_timeout_max;
        let is_sending_snapshot = |leader_state: &mut Leader| {
            leader_state.peers.values().any(|peer| {
                matches!(peer.mode, Mode::Snapshot(1..)) && now < peer.last_reply_at + silence_limit
            })
        };
        if self.leader_state().is_some_and(is_sending_snapshot) {
            return Err(Refusal::Busy);
        }
        let epoch = self.log.epoch_at(index).ok_or(Refusal::Invalid)?;
        let snapshot = Snapshot {
            position: Position { epoch, index },
            members: self.log.members_at(index).to_vec(),
            data,
        };
        self.write(Write::Compact(snapshot.clone()), actions);
        self.log.compact(snapshot, self.settings.retained_entries);
        let base = self.log.base().index;
        if let Some(leader_state) = self.leader_state() {
            for peer in leader_state.peers.values_mut() {
                if matches!(peer.mode, Mode::Snapshot(_)) || peer.next_index <= base {
                    peer.mode = Mode::Snapshot(0);
                }
            }
        }
        Ok(())
    }

    fn ensure_leader(&mut self, now: Instant, actions: &mut Vec<Action>) -> Result<(), Refusal> {
        if self.is_failed() {
            return Err(Refusal::WriteFailed);
        }
        self.check_quorum(now, actions);
        match self.state {
            State::Leader(_) => Ok(()),
            _ => Err(Refusal::NotLeader(self.leader.clone())),
        }
    }

    /// Steps down if no quorum has replied within the longest election timeout.
    pub(crate) fn check_quorum(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let State::Leader(leader_state) = &self.state else {
            return;
        };
        let quorum_replied_at =
            leader_state.quorum(self.log.members(), &self.identity, now, |peer| {
                peer.last_reply_at
            });
        if quorum_replied_at
            .is_none_or(|replied_at| now >= replied_at + self.settings.election_timeout_max)
        {
            self.become_follower(now, self.epoch, None, actions);
        }
    }

    /// Starts a heartbeat round. Replies of a quorum confirm that this node is still the leader.
    pub(crate) fn start_round(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let State::Leader(leader_state) = &mut self.state else {
            return;
        };
        leader_state.open_round(now, &self.settings);
        leader_state.report_learners(now, &self.log, &self.settings, actions);
        for name in self.other_members() {
            self.send_heartbeat(&name, actions);
            if let Some(Mode::Snapshot(_)) = self.replication_mode(&name) {
                self.send_snapshot_chunk(&name, actions);
            }
        }
        self.confirm_rounds(now, actions);
    }

    fn other_members(&mut self) -> Vec<Name> {
        self.leader_state().map_or_else(Vec::new, |leader_state| {
            leader_state.peers.keys().cloned().collect()
        })
    }

    fn replication_mode(&mut self, name: &Name) -> Option<Mode> {
        self.leader_state()?.peers.get(name).map(|peer| peer.mode)
    }

    /// Sends an append without entries, which carries the round and the commit index.
    fn send_heartbeat(&mut self, name: &Name, actions: &mut Vec<Action>) {
        let base = self.log.base().index;
        let State::Leader(leader_state) = &self.state else {
            return;
        };
        let Some(peer) = leader_state.peers.get(name) else {
            return;
        };
        let prev = match peer.mode {
            Mode::Snapshot(_) => base,
            _ => peer.next_index - 1,
        };
        let body = self.append_body(leader_state.round, prev, Vec::new());
        self.send(name, 0, body, actions);
    }

    fn append_body(&self, round: u64, prev: u64, entries: Vec<Entry>) -> Body {
        let epoch = self.log.epoch_at(prev).unwrap_or(Epoch(0));
        Body::Append {
            round,
            prev: Position { epoch, index: prev },
            commit: self.commit_index,
            entries,
        }
    }

    /// Writes the staged proposals as one batch unless an earlier write is still being synced.
    pub(crate) fn write_proposals_if_synced(&mut self, actions: &mut Vec<Action>) {
        if self.log.has_staged_entries() && self.synced_seq == self.last_seq {
            self.write_staged_entries(actions);
            self.replicate_all(actions);
        }
    }

    /// Writes and sends proposals although an earlier write is still being synced. If the local disk
    /// hangs, a quorum of the other members can commit them.
    pub(crate) fn write_delayed_proposals(&mut self, actions: &mut Vec<Action>) {
        if self.leader_state().is_some() && self.log.has_staged_entries() {
            self.write_staged_entries(actions);
            self.replicate_all(actions);
        }
    }

    fn replicate_all(&mut self, actions: &mut Vec<Action>) {
        for name in self.other_members() {
            self.replicate(&name, actions);
        }
    }

    /// Sends entries to a member, up to the limit of unacknowledged entries.
    fn replicate(&mut self, name: &Name, actions: &mut Vec<Action>) {
        loop {
            let State::Leader(leader_state) = &mut self.state else {
                return;
            };
            let Some(peer) = leader_state.peers.get_mut(name) else {
                return;
            };
            let end = self
                .log
                .written_index
                .min(peer.match_index + self.settings.max_unacknowledged_entries);
            if peer.mode != Mode::Stream || peer.next_index > end {
                return;
            }
            let prev = peer.next_index - 1;
            let entries = self
                .log
                .range(peer.next_index, end, self.settings.max_append_bytes);
            peer.next_index += entries.len() as u64;
            let round = leader_state.round;
            let body = self.append_body(round, prev, entries);
            self.send(name, 0, body, actions);
        }
    }

    fn send_snapshot_chunk(&mut self, name: &Name, actions: &mut Vec<Action>) {
        let Some(Mode::Snapshot(offset)) = self.replication_mode(name) else {
            return;
        };
        let snapshot = &self.log.snapshot;
        let size = snapshot.data.len();
        let start = offset.min(size);
        let end = size.min(start + self.settings.snapshot_chunk_bytes);
        let body = Body::Snapshot {
            last: snapshot.position,
            members: snapshot.members.clone(),
            offset: start as u64,
            data: snapshot.data[start..end].to_vec(),
            done: end == size,
        };
        self.send(name, 0, body, actions);
    }

    pub(crate) fn on_snapshot_reply(
        &mut self,
        now: Instant,
        from: &Identity,
        offset: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer) = self
            .leader_state()
            .and_then(|leader_state| leader_state.peer(from))
        else {
            return;
        };
        peer.last_reply_at = now;
        if let Mode::Snapshot(_) = peer.mode {
            peer.mode = Mode::Snapshot(usize::try_from(offset).unwrap_or(0));
            self.send_snapshot_chunk(&from.instance, actions);
        }
    }

    pub(crate) fn on_append_reply(
        &mut self,
        now: Instant,
        from: &Identity,
        (round, accepted, index): (u64, bool, u64),
        actions: &mut Vec<Action>,
    ) {
        let State::Leader(leader_state) = &mut self.state else {
            return;
        };
        let last_round = leader_state.round;
        let Some(peer) = leader_state.peer(from) else {
            return;
        };
        peer.last_reply_at = now;
        peer.round = peer.round.max(round.min(last_round));
        if accepted {
            peer.on_accepted(index, &self.log);
        } else if peer.on_rejected(index, &self.log) {
            match peer.mode {
                Mode::Snapshot(_) => self.send_snapshot_chunk(&from.instance, actions),
                _ => self.send_heartbeat(&from.instance, actions),
            }
        }
        self.advance_commit(now, actions);
        self.replicate(&from.instance, actions);
    }

    /// Commits the entries that are durable on a quorum and answers the reads that waited for them.
    ///
    /// A leader that has removed itself steps down once the new member list is committed.
    pub(crate) fn advance_commit(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let State::Leader(leader_state) = &self.state else {
            return;
        };
        let local_value = self.log.durable_index;
        let index = leader_state.quorum(self.log.members(), &self.identity, local_value, |peer| {
            peer.match_index
        });
        // An entry of an earlier epoch is committed only together with an entry of this epoch.
        let index = index.filter(|index| self.log.epoch_at(*index) == Some(self.epoch));
        if let Some(index) = index.filter(|index| *index > self.commit_index) {
            self.commit_up_to(index, actions);
            for name in self.other_members() {
                self.send_heartbeat(&name, actions);
            }
        }
        self.confirm_rounds(now, actions);
        let removed = member::find(self.log.members(), &self.identity).is_none();
        if removed && self.log.members_index() <= self.commit_index {
            self.become_follower(now, self.epoch, None, actions);
        }
    }

    /// Confirms the rounds that a quorum has answered.
    fn confirm_rounds(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let State::Leader(leader_state) = &mut self.state else {
            return;
        };
        let local_value = leader_state.round;
        let round = leader_state.quorum(self.log.members(), &self.identity, local_value, |peer| {
            peer.round
        });
        leader_state.confirm_rounds_up_to(round.unwrap_or(0));
        self.serve_reads(now, actions);
    }

    /// Answers reads whose round is confirmed and whose index is committed, and starts a round if
    /// reads are waiting for one.
    fn serve_reads(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let commit_index = self.commit_index;
        let Some(leader_state) = self.leader_state() else {
            return;
        };
        let confirmed_round = leader_state.last_confirmed.0;
        let is_answerable =
            |read: &mut Read| read.round <= confirmed_round && read.index <= commit_index;
        while let Some(read) = leader_state.reads.pop_front_if(is_answerable) {
            let Read { id, index, .. } = read;
            actions.push(Action::AnswerRead { id, index });
        }
        // Only one round is open for reads: those that arrive meanwhile share the next one.
        let needs_round = leader_state
            .reads
            .back()
            .is_some_and(|read| read.round > leader_state.round);
        if needs_round && confirmed_round == leader_state.round {
            self.start_round(now, actions);
        }
    }
}

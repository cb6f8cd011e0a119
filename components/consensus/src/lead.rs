//! Replication, reads and changes of members on the leader.

use std::time::Instant;

use rand::Rng;
use types::Name;

use crate::member::{self, Change};
use crate::node::State;
use crate::progress::{Flow, Lead, Wait};
use crate::{
    Action, Body, Entry, Epoch, Identity, Node, Payload, Position, Refusal, Snapshot, Write,
};

impl<R: Rng> Node<R> {
    pub(crate) fn lead(&mut self) -> Option<&mut Lead> {
        match &mut self.state {
            State::Leader(lead) => Some(lead),
            _ => None,
        }
    }

    /// Whether a quorum confirmed this leader recently enough to grant leases.
    ///
    /// Counts from the sending of the confirmed round: until `election_min` after it, the members
    /// that answered give no vote to another.
    #[must_use]
    pub fn leader_confirmed(&self, now: Instant) -> bool {
        let State::Leader(lead) = &self.state else {
            return false;
        };
        let end = lead.confirmed.1.map(|at| at + self.settings.confirmation());
        end.is_some_and(|end| now < end)
    }

    /// Proposes bytes for the state machine. The entry applied at the returned index has another
    /// epoch if the proposal was lost.
    ///
    /// # Errors
    ///
    /// Refuses if a write of this node failed, if it doesn't lead, if the data is longer than one
    /// append may be, or if too many entries aren't committed yet.
    pub fn on_propose(
        &mut self,
        now: Instant,
        data: &[u8],
        out: &mut Vec<Action>,
    ) -> Result<Position, Refusal> {
        self.check_leader(now, out)?;
        if data.len() > self.settings.append_bytes {
            return Err(Refusal::Invalid);
        }
        if self.log.last().index - self.commit >= self.settings.pending {
            return Err(Refusal::Busy);
        }
        let position = self.push(Payload::Data(data.to_vec()));
        self.drive(out);
        Ok(position)
    }

    /// Asks for a linearizable read; `Read` or `Refuse` with this id follows.
    ///
    /// # Errors
    ///
    /// Refuses if a write of this node failed or if it doesn't lead.
    pub fn on_read(&mut self, now: Instant, id: u64, out: &mut Vec<Action>) -> Result<(), Refusal> {
        self.check_leader(now, out)?;
        let commit = self.commit;
        if let Some(lead) = self.lead() {
            // Before the no-op is committed, the commit index may be behind that of the last epoch.
            let index = commit.max(lead.start);
            let round = lead.round + 1;
            lead.reads.push_back(Wait { id, round, index });
        }
        self.serve_reads(now, out);
        Ok(())
    }

    /// Proposes a change of one member.
    ///
    /// # Errors
    ///
    /// Refuses if a write of this node failed, if it doesn't lead, if an earlier change or the
    /// first entry of this epoch isn't committed, if the change doesn't fit the members, if the
    /// learner to promote isn't caught up, or if no quorum of the new members has answered lately.
    pub fn on_change(
        &mut self,
        now: Instant,
        change: &Change,
        out: &mut Vec<Action>,
    ) -> Result<Position, Refusal> {
        self.check_leader(now, out)?;
        let State::Leader(lead) = &mut self.state else {
            return Err(Refusal::Follower(None));
        };
        // The next list may only follow a committed one, in an epoch with a committed entry;
        // otherwise two lists without a common quorum could be in force.
        if self.log.members_index() > self.commit || self.commit < lead.start {
            return Err(Refusal::Busy);
        }
        let list = member::change(self.log.members(), change)?;
        if let Change::Promote(who) = change {
            let last = self.log.last().index;
            let ready = lead
                .peer(who)
                .is_some_and(|p| p.is_ready(now, last, &self.settings));
            if !ready {
                return Err(Refusal::Behind);
            }
        }
        // A list whose quorum is silent could not commit anything any more.
        let heard = lead.quorum(&list, &self.me, now, |peer| peer.heard);
        if heard.is_none_or(|at| now >= at + self.settings.election_max) {
            return Err(Refusal::Busy);
        }
        let position = self.push(Payload::Members(list));
        if let State::Leader(lead) = &mut self.state {
            lead.set_members(now, &self.me, &self.log);
        }
        self.flush(out);
        self.start_round(now, out);
        self.replicate_all(out);
        Ok(position)
    }

    /// Takes a snapshot of the state machine at an applied index and drops entries before it.
    ///
    /// # Errors
    ///
    /// Refuses if a write of this node failed, if the index isn't committed or not after the last
    /// snapshot, or if a snapshot is being sent to a member.
    pub fn on_compact(
        &mut self,
        now: Instant,
        index: u64,
        data: Vec<u8>,
        out: &mut Vec<Action>,
    ) -> Result<(), Refusal> {
        if self.is_failed() {
            return Err(Refusal::Failed);
        }
        if index > self.commit || index <= self.log.snapshot.position.index {
            return Err(Refusal::Invalid);
        }
        // A new snapshot would start the transfer to a member again, for ever if it is slow.
        let silence = self.settings.election_max;
        let is_sending = |lead: &mut Lead| {
            lead.peers
                .values()
                .any(|p| matches!(p.flow, Flow::Snapshot(1..)) && now < p.heard + silence)
        };
        if self.lead().is_some_and(is_sending) {
            return Err(Refusal::Busy);
        }
        let epoch = self.log.epoch_at(index).ok_or(Refusal::Invalid)?;
        let snapshot = Snapshot {
            position: Position { epoch, index },
            members: self.log.members_at(index).to_vec(),
            data,
        };
        self.write(Write::Compact(snapshot.clone()), out);
        self.log.compact(snapshot, self.settings.keep);
        let base = self.log.base().index;
        if let Some(lead) = self.lead() {
            for peer in lead.peers.values_mut() {
                if matches!(peer.flow, Flow::Snapshot(_)) || peer.next <= base {
                    peer.flow = Flow::Snapshot(0);
                }
            }
        }
        Ok(())
    }

    fn check_leader(&mut self, now: Instant, out: &mut Vec<Action>) -> Result<(), Refusal> {
        if self.is_failed() {
            return Err(Refusal::Failed);
        }
        self.check_quorum(now, out);
        match self.state {
            State::Leader(_) => Ok(()),
            _ => Err(Refusal::Follower(self.leader.clone())),
        }
    }

    /// Steps down when no quorum has answered within an election timeout.
    pub(crate) fn check_quorum(&mut self, now: Instant, out: &mut Vec<Action>) {
        let State::Leader(lead) = &self.state else {
            return;
        };
        let heard = lead.quorum(self.log.members(), &self.me, now, |peer| peer.heard);
        if heard.is_none_or(|at| now >= at + self.settings.election_max) {
            self.follow(now, self.epoch, None, out);
        }
    }

    /// Sends a heartbeat to all members; their answers confirm this leader.
    pub(crate) fn start_round(&mut self, now: Instant, out: &mut Vec<Action>) {
        let State::Leader(lead) = &mut self.state else {
            return;
        };
        lead.open_round(now, &self.settings);
        lead.report(now, &self.log, &self.settings, out);
        for name in self.peer_names() {
            self.beat(&name, out);
            if let Some(Flow::Snapshot(_)) = self.flow(&name) {
                self.send_part(&name, out);
            }
        }
        self.confirm(now, out);
    }

    fn peer_names(&mut self) -> Vec<Name> {
        self.lead()
            .map_or_else(Vec::new, |lead| lead.peers.keys().cloned().collect())
    }

    fn flow(&mut self, name: &Name) -> Option<Flow> {
        self.lead()?.peers.get(name).map(|peer| peer.flow)
    }

    /// Sends an append without entries: it carries the round and the commit index.
    fn beat(&mut self, name: &Name, out: &mut Vec<Action>) {
        let base = self.log.base().index;
        let State::Leader(lead) = &self.state else {
            return;
        };
        let Some(peer) = lead.peers.get(name) else {
            return;
        };
        let prev = match peer.flow {
            Flow::Snapshot(_) => base,
            _ => peer.next - 1,
        };
        let body = self.append(lead.round, prev, Vec::new());
        self.send(name, 0, body, out);
    }

    fn append(&self, round: u64, prev: u64, entries: Vec<Entry>) -> Body {
        let epoch = self.log.epoch_at(prev).unwrap_or(Epoch(0));
        Body::Append {
            round,
            prev: Position { epoch, index: prev },
            commit: self.commit,
            entries,
        }
    }

    /// Writes the waiting proposals as one batch unless an earlier write is still being synced.
    pub(crate) fn drive(&mut self, out: &mut Vec<Action>) {
        if self.log.is_staged() && self.synced == self.seq {
            self.flush(out);
            self.replicate_all(out);
        }
    }

    /// Sends proposals that still wait for the sync of an earlier write: a quorum commits them without
    /// this disk, which may be hanging.
    pub(crate) fn replicate_late(&mut self, out: &mut Vec<Action>) {
        if self.lead().is_some() && self.log.is_staged() {
            self.flush(out);
            self.replicate_all(out);
        }
    }

    fn replicate_all(&mut self, out: &mut Vec<Action>) {
        for name in self.peer_names() {
            self.replicate(&name, out);
        }
    }

    /// Sends entries up to the bound of entries without acknowledgement.
    fn replicate(&mut self, name: &Name, out: &mut Vec<Action>) {
        loop {
            let State::Leader(lead) = &mut self.state else {
                return;
            };
            let Some(peer) = lead.peers.get_mut(name) else {
                return;
            };
            let end = self.log.written.min(peer.matched + self.settings.window);
            if peer.flow != Flow::Stream || peer.next > end {
                return;
            }
            let prev = peer.next - 1;
            let entries = self.log.range(peer.next, end, self.settings.append_bytes);
            peer.next += entries.len() as u64;
            let round = lead.round;
            let body = self.append(round, prev, entries);
            self.send(name, 0, body, out);
        }
    }

    fn send_part(&mut self, name: &Name, out: &mut Vec<Action>) {
        let Some(Flow::Snapshot(offset)) = self.flow(name) else {
            return;
        };
        let snapshot = &self.log.snapshot;
        let size = snapshot.data.len();
        let start = offset.min(size);
        let end = size.min(start + self.settings.chunk_bytes);
        let body = Body::Snapshot {
            last: snapshot.position,
            members: snapshot.members.clone(),
            offset: start as u64,
            data: snapshot.data[start..end].to_vec(),
            done: end == size,
        };
        self.send(name, 0, body, out);
    }

    pub(crate) fn on_snapshot_reply(
        &mut self,
        now: Instant,
        from: &Identity,
        offset: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(peer) = self.lead().and_then(|lead| lead.peer(from)) else {
            return;
        };
        peer.heard = now;
        if let Flow::Snapshot(_) = peer.flow {
            peer.flow = Flow::Snapshot(usize::try_from(offset).unwrap_or(0));
            self.send_part(&from.instance, out);
        }
    }

    pub(crate) fn on_append_reply(
        &mut self,
        now: Instant,
        from: &Identity,
        (round, accepted, index): (u64, bool, u64),
        out: &mut Vec<Action>,
    ) {
        let State::Leader(lead) = &mut self.state else {
            return;
        };
        let sent = lead.round;
        let Some(peer) = lead.peer(from) else { return };
        peer.heard = now;
        peer.round = peer.round.max(round.min(sent));
        if accepted {
            peer.on_accepted(index, &self.log);
        } else if peer.on_rejected(index, &self.log) {
            match peer.flow {
                Flow::Snapshot(_) => self.send_part(&from.instance, out),
                _ => self.beat(&from.instance, out),
            }
        }
        self.advance(now, out);
        self.replicate(&from.instance, out);
    }

    /// Commits what a quorum holds durably, and answers the reads that waited for it.
    pub(crate) fn advance(&mut self, now: Instant, out: &mut Vec<Action>) {
        let State::Leader(lead) = &self.state else {
            return;
        };
        let own = self.log.durable;
        let index = lead.quorum(self.log.members(), &self.me, own, |peer| peer.matched);
        // An entry of an earlier epoch counts as committed only through one of this epoch.
        let index = index.filter(|index| self.log.epoch_at(*index) == Some(self.epoch));
        if let Some(index) = index.filter(|index| *index > self.commit) {
            self.commit_to(index, out);
            for name in self.peer_names() {
                self.beat(&name, out);
            }
        }
        self.confirm(now, out);
        let removed = member::find(self.log.members(), &self.me).is_none();
        if removed && self.log.members_index() <= self.commit {
            self.follow(now, self.epoch, None, out);
        }
    }

    /// Closes the rounds that a quorum has answered.
    fn confirm(&mut self, now: Instant, out: &mut Vec<Action>) {
        let State::Leader(lead) = &mut self.state else {
            return;
        };
        let own = lead.round;
        let round = lead.quorum(self.log.members(), &self.me, own, |peer| peer.round);
        lead.close_rounds(round.unwrap_or(0));
        self.serve_reads(now, out);
    }

    /// Answers reads whose round is confirmed, and starts a round for those that wait for one.
    fn serve_reads(&mut self, now: Instant, out: &mut Vec<Action>) {
        let commit = self.commit;
        let Some(lead) = self.lead() else { return };
        let closed = lead.confirmed.0;
        let is_done = |wait: &mut Wait| wait.round <= closed && wait.index <= commit;
        while let Some(wait) = lead.reads.pop_front_if(is_done) {
            let Wait { id, index, .. } = wait;
            out.push(Action::Read { id, index });
        }
        // One round at a time: reads that arrive meanwhile share the next one.
        let waiting = lead
            .reads
            .back()
            .is_some_and(|wait| wait.round > lead.round);
        if waiting && closed == lead.round {
            self.start_round(now, out);
        }
    }
}

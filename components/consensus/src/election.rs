//! Pre-votes and votes.

use std::time::Instant;

use rand::Rng;

use crate::member;
use crate::node::State;
use crate::progress::Leader;
use crate::{Action, Body, Epoch, Identity, Node, Payload, Position};

impl<R: Rng> Node<R> {
    /// Whether this node must refuse votes because a leader was active recently.
    ///
    /// Confirmed leaders rely on this when they grant leases. A leader never votes for others; it
    /// steps down when it loses its quorum or receives a reply from a member in a later epoch.
    fn has_recent_leader(&self, now: Instant) -> bool {
        matches!(self.state, State::Leader(_))
            || now < self.last_leader_message_at + self.settings.election_timeout_min
    }

    /// Whether this node, with its current disk, is in its own member list and so may vote.
    ///
    /// A blank or replaced disk is not in the list and cannot remember earlier votes. A learner
    /// votes too: its list may be older than its promotion, and the candidate decides whose votes
    /// count.
    fn is_member(&self) -> bool {
        member::find(self.log.members(), &self.identity).is_some()
    }

    pub(crate) fn start_pre_vote(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.postpone_election(now);
        self.state = State::PreCandidate(vec![self.identity.clone()]);
        self.leader = None;
        self.report_role(actions);
        let last = self.log.last();
        self.broadcast(Epoch(self.epoch.0 + 1), &Body::PreVote { last }, actions);
        self.count_pre_votes(now, actions);
    }

    /// Sends a request to all other members once all writes so far are durable.
    fn broadcast(&mut self, epoch: Epoch, body: &Body, actions: &mut Vec<Action>) {
        let after_seq = self.last_seq;
        let members = self.log.members().iter();
        let others: Vec<_> = members
            .filter(|member| member.instance != self.identity.instance)
            .map(|member| member.instance.clone())
            .collect();
        for to in others {
            self.send_in_epoch(epoch, &to, after_seq, body.clone(), actions);
        }
    }

    pub(crate) fn on_pre_vote(
        &mut self,
        now: Instant,
        from: &Identity,
        epoch: Epoch,
        last: Position,
        actions: &mut Vec<Action>,
    ) {
        let granted = epoch > self.epoch
            && !self.has_recent_leader(now)
            && self.is_member()
            && last >= self.log.last();
        // A refusal carries the current epoch, so that a member in an earlier epoch learns of it.
        let reply_epoch = if granted { epoch } else { self.epoch };
        let body = Body::PreVoteReply { granted };
        self.send_in_epoch(reply_epoch, &from.instance, self.vote_seq, body, actions);
    }

    pub(crate) fn on_pre_vote_reply(
        &mut self,
        now: Instant,
        from: Identity,
        epoch: Epoch,
        granted: bool,
        actions: &mut Vec<Action>,
    ) {
        if member::find(self.log.members(), &from).is_none() {
            return;
        }
        if !granted && epoch > self.epoch {
            self.become_follower(now, epoch, None, actions);
        }
        if let State::PreCandidate(votes) = &mut self.state
            && granted
            && epoch.0 == self.epoch.0 + 1
        {
            votes.push(from);
            self.count_pre_votes(now, actions);
        }
    }

    fn count_pre_votes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let State::PreCandidate(votes) = &self.state else {
            return;
        };
        if self.has_quorum(votes) {
            self.start_election(now, actions);
        }
    }

    fn has_quorum(&self, votes: &[Identity]) -> bool {
        let has_vote =
            |member: &member::Member| votes.iter().any(|identity| member.has_identity(identity));
        member::quorum(self.log.members(), has_vote) == Some(true)
    }

    fn start_election(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.save_vote(
            Epoch(self.epoch.0 + 1),
            Some(self.identity.clone()),
            actions,
        );
        self.state = State::Candidate(Vec::new());
        self.postpone_election(now);
        self.report_role(actions);
        let last = self.log.last();
        self.broadcast(self.epoch, &Body::Vote { last }, actions);
    }

    pub(crate) fn on_vote(
        &mut self,
        now: Instant,
        from: Identity,
        epoch: Epoch,
        last: Position,
        actions: &mut Vec<Action>,
    ) {
        if self.has_recent_leader(now) {
            return;
        }
        let is_later = epoch > self.epoch;
        // The vote includes the disk: the same instance with an erased disk is another candidate.
        let may_vote = is_later || self.vote.as_ref().is_none_or(|vote| *vote == from);
        let granted =
            epoch >= self.epoch && may_vote && self.is_member() && last >= self.log.last();
        let to = from.instance.clone();
        // The epoch and the vote are one write, as the candidate waits for its syncs.
        if granted && (is_later || self.vote.is_none()) {
            self.save_vote(epoch, Some(from), actions);
            self.postpone_election(now);
        }
        if is_later {
            self.become_follower(now, epoch, None, actions);
        }
        self.send(&to, self.last_seq, Body::VoteReply { granted }, actions);
    }

    pub(crate) fn on_vote_reply(
        &mut self,
        now: Instant,
        from: Identity,
        granted: bool,
        actions: &mut Vec<Action>,
    ) {
        if let State::Candidate(votes) = &mut self.state
            && granted
        {
            votes.push(from);
            self.count_votes(now, actions);
        }
    }

    /// Becomes leader with the votes of a quorum. The node's own vote counts once it is durable.
    pub(crate) fn count_votes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let State::Candidate(votes) = &self.state else {
            return;
        };
        let mut votes = votes.clone();
        if self.is_vote_durable() {
            votes.push(self.identity.clone());
        }
        if !self.has_quorum(&votes) {
            return;
        }
        let noop_index = self.push_entry(Payload::Noop).index;
        let mut leader_state = Leader::new(now, noop_index);
        leader_state.set_members(now, &self.identity, &self.log);
        // The no-op has not been sent, so it is the next entry for each member.
        for peer in leader_state.peers.values_mut() {
            peer.next_index = noop_index;
        }
        self.state = State::Leader(leader_state);
        self.leader = Some(self.identity.instance.clone());
        self.report_role(actions);
        self.write_staged_entries(actions);
        self.start_round(now, actions);
    }
}

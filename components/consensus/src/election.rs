//! Pre-votes and votes.

use std::time::Instant;

use rand::Rng;

use crate::member;
use crate::node::State;
use crate::progress::Lead;
use crate::{Action, Body, Epoch, Identity, Node, Payload, Position};

impl<R: Rng> Node<R> {
    /// Whether a leader was heard so recently that no vote may be given.
    ///
    /// Confirmed leaders rely on this when they grant leases. A leader gives no votes at all; it
    /// steps down by itself without a quorum, or at the answer of a member in a later epoch.
    fn is_led(&self, now: Instant) -> bool {
        matches!(self.state, State::Leader(_)) || now < self.heard + self.settings.election_min
    }

    /// Whether this node's vote is backed by a disk that remembers it.
    ///
    /// A blank or replaced disk is in no list that this node holds. A learner votes: its own list
    /// may be older than its promotion, and the candidate decides whom it counts.
    fn is_listed(&self) -> bool {
        member::find(self.log.members(), &self.me).is_some()
    }

    pub(crate) fn start_probe(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.postpone_election(now);
        self.state = State::Probe(vec![self.me.clone()]);
        self.leader = None;
        self.announce(out);
        let last = self.log.last();
        self.ask(Epoch(self.epoch.0 + 1), &Body::PreVote { last }, out);
        self.count_pre_votes(now, out);
    }

    /// Sends a request to all members once everything written so far is durable.
    fn ask(&mut self, epoch: Epoch, body: &Body, out: &mut Vec<Action>) {
        let after = self.seq;
        let members = self.log.members().iter();
        let others: Vec<_> = members
            .filter(|member| member.instance != self.me.instance)
            .map(|member| member.instance.clone())
            .collect();
        for to in others {
            self.send_in(epoch, &to, after, body.clone(), out);
        }
    }

    pub(crate) fn on_pre_vote(
        &mut self,
        now: Instant,
        from: &Identity,
        epoch: Epoch,
        last: Position,
        out: &mut Vec<Action>,
    ) {
        let granted =
            epoch > self.epoch && !self.is_led(now) && self.is_listed() && last >= self.log.last();
        // A refusal carries the present epoch, so that a member that lags behind learns of it.
        let answer = if granted { epoch } else { self.epoch };
        let body = Body::PreVoteReply { granted };
        self.send_in(answer, &from.instance, self.saved, body, out);
    }

    pub(crate) fn on_pre_vote_reply(
        &mut self,
        now: Instant,
        from: Identity,
        epoch: Epoch,
        granted: bool,
        out: &mut Vec<Action>,
    ) {
        if member::find(self.log.members(), &from).is_none() {
            return;
        }
        if !granted && epoch > self.epoch {
            self.follow(now, epoch, None, out);
        }
        if let State::Probe(votes) = &mut self.state
            && granted
            && epoch.0 == self.epoch.0 + 1
        {
            votes.push(from);
            self.count_pre_votes(now, out);
        }
    }

    fn count_pre_votes(&mut self, now: Instant, out: &mut Vec<Action>) {
        let State::Probe(votes) = &self.state else {
            return;
        };
        if self.is_quorum(votes) {
            self.campaign(now, out);
        }
    }

    fn is_quorum(&self, votes: &[Identity]) -> bool {
        let is_for = |member: &member::Member| votes.iter().any(|who| member.is(who));
        member::quorum(self.log.members(), is_for) == Some(true)
    }

    fn campaign(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.save(Epoch(self.epoch.0 + 1), Some(self.me.clone()), out);
        self.state = State::Candidate(Vec::new());
        self.postpone_election(now);
        self.announce(out);
        let last = self.log.last();
        self.ask(self.epoch, &Body::Vote { last }, out);
    }

    pub(crate) fn on_vote(
        &mut self,
        now: Instant,
        from: Identity,
        epoch: Epoch,
        last: Position,
        out: &mut Vec<Action>,
    ) {
        if self.is_led(now) {
            return;
        }
        if epoch > self.epoch {
            self.follow(now, epoch, None, out);
        }
        // The vote names the disk too: an emptied disk is another candidate of the same name.
        let free = self.vote.as_ref().is_none_or(|vote| *vote == from);
        let granted = epoch == self.epoch && free && self.is_listed() && last >= self.log.last();
        let to = from.instance.clone();
        if granted && self.vote.is_none() {
            self.save(epoch, Some(from), out);
            self.postpone_election(now);
        }
        self.send(&to, self.seq, Body::VoteReply { granted }, out);
    }

    pub(crate) fn on_vote_reply(
        &mut self,
        now: Instant,
        from: Identity,
        granted: bool,
        out: &mut Vec<Action>,
    ) {
        if let State::Candidate(votes) = &mut self.state
            && granted
        {
            votes.push(from);
            self.count_votes(now, out);
        }
    }

    /// Becomes leader with the votes of a quorum; the own vote counts once it is durable.
    pub(crate) fn count_votes(&mut self, now: Instant, out: &mut Vec<Action>) {
        let State::Candidate(votes) = &self.state else {
            return;
        };
        let mut votes = votes.clone();
        if self.saved <= self.synced {
            votes.push(self.me.clone());
        }
        if !self.is_quorum(&votes) {
            return;
        }
        let start = self.push(Payload::Noop).index;
        let mut lead = Lead::new(now, start);
        lead.set_members(now, &self.me, &self.log);
        // The no-op is not sent yet: the next index of each member is before it.
        for peer in lead.peers.values_mut() {
            peer.next = start;
        }
        self.state = State::Leader(lead);
        self.leader = Some(self.me.instance.clone());
        self.announce(out);
        self.flush(out);
        self.start_round(now, out);
    }
}

//! A member of the replicated log.

use std::mem;
use std::time::Instant;

use rand::{Rng, RngExt};
use types::Name;

use crate::follow::Incoming;
use crate::log::Log;
use crate::member;
use crate::progress::Lead;
use crate::{
    Action, Body, Entry, Epoch, Identity, Member, Payload, Peer, Position, Refusal, Role, Settings,
    Snapshot, Write,
};

/// What a disk held at the start.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Saved {
    /// Saved epoch.
    pub epoch: Epoch,
    /// Candidate that got the vote in this epoch.
    pub vote: Option<Identity>,
    /// Last snapshot; position 0 if there is none.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// State that depends on the role.
#[derive(Debug)]
pub(crate) enum State {
    Follower,
    /// Asks for pre-votes; holds who granted one.
    Probe(Vec<Identity>),
    /// Asks for votes; holds who granted one.
    Candidate(Vec<Identity>),
    Leader(Lead),
}

/// Decisions of one member, without I/O, clock or thread.
///
/// Writes are numbered and carried out in that order. The calling loop reports their syncs; what
/// depends on a write is withheld until then.
#[derive(Debug)]
pub struct Node<R> {
    pub(crate) me: Identity,
    pub(crate) settings: Settings,
    rng: R,
    pub(crate) epoch: Epoch,
    pub(crate) vote: Option<Identity>,
    pub(crate) log: Log,
    /// Last committed index; every entry up to it was handed out to be applied.
    pub(crate) commit: u64,
    pub(crate) state: State,
    pub(crate) leader: Option<Name>,
    /// Last contact with a leader. The start counts as one: the contact before a restart is
    /// forgotten, and the leader may still rely on it.
    pub(crate) heard: Instant,
    election_at: Instant,
    /// Last write that was issued.
    pub(crate) seq: u64,
    /// Last write that is durable.
    pub(crate) synced: u64,
    /// Last write that saved the epoch and the vote.
    pub(crate) saved: u64,
    /// Actions that wait for the sync of a write.
    held: Vec<(u64, Action)>,
    pub(crate) incoming: Option<Incoming>,
    announced: (Role, Epoch, Option<Name>),
    pub(crate) failed: bool,
}

impl<R: Rng> Node<R> {
    /// A node that continues from what its disk held.
    pub fn new(now: Instant, me: Identity, settings: Settings, rng: R, saved: Saved) -> Self {
        let mut node = Self {
            me,
            settings,
            rng,
            epoch: saved.epoch,
            vote: saved.vote,
            commit: saved.snapshot.position.index,
            log: Log::new(saved.snapshot, saved.entries),
            state: State::Follower,
            leader: None,
            heard: now,
            election_at: now,
            seq: 0,
            synced: 0,
            saved: 0,
            held: Vec::new(),
            incoming: None,
            announced: (Role::Follower, saved.epoch, None),
            failed: false,
        };
        node.postpone_election(now);
        node
    }

    /// Starts a new cluster on a blank node. Every first member gets the same list.
    ///
    /// May be repeated after a restart that lost the list: epoch 1 has no election, so that a
    /// node in it has given no vote.
    ///
    /// # Errors
    ///
    /// Refuses if a write of this node failed, if the node isn't blank, or if the list of members
    /// is invalid or doesn't contain this node.
    pub fn on_bootstrap(
        &mut self,
        now: Instant,
        members: &[Member],
        out: &mut Vec<Action>,
    ) -> Result<(), Refusal> {
        let blank = self.epoch <= Epoch(1) && self.log.last() == Position::default();
        if self.failed {
            return Err(Refusal::Failed);
        }
        if !blank || !member::is_valid(members) || member::find(members, &self.me).is_none() {
            return Err(Refusal::Invalid);
        }
        // All first members make the same entry, so that their logs match from the start.
        self.save(Epoch(1), None, out);
        self.push(Payload::Members(members.to_vec()));
        self.flush(out);
        self.postpone_election(now);
        Ok(())
    }

    /// When [`Node::on_tick`] is due next.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        match &self.state {
            _ if self.failed => None,
            State::Leader(lead) => Some(lead.heartbeat_at),
            _ => member::is_voter(self.log.members(), &self.me).then_some(self.election_at),
        }
    }

    /// Does what is due.
    pub fn on_tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.deadline().is_none_or(|deadline| now < deadline) {
            return;
        }
        if matches!(self.state, State::Leader(_)) {
            self.check_quorum(now, out);
            self.start_round(now, out);
            self.replicate_late(out);
        } else {
            self.start_probe(now, out);
        }
    }

    /// Takes a message.
    pub fn on_message(&mut self, now: Instant, peer: Peer, out: &mut Vec<Action>) {
        if self.failed || peer.from.instance == self.me.instance {
            return;
        }
        let Peer { from, epoch, body } = peer;
        match body {
            Body::PreVote { last } => self.on_pre_vote(now, &from, epoch, last, out),
            Body::PreVoteReply { granted } => {
                self.on_pre_vote_reply(now, from, epoch, granted, out);
            }
            Body::Vote { last } => self.on_vote(now, from, epoch, last, out),
            Body::Append { .. } | Body::Snapshot { .. } => {
                self.on_leader(now, &from, epoch, body, out);
            }
            Body::VoteReply { .. } | Body::AppendReply { .. } | Body::SnapshotReply { .. } => {
                self.on_reply(now, from, epoch, &body, out);
            }
        }
    }

    fn on_reply(
        &mut self,
        now: Instant,
        from: Identity,
        epoch: Epoch,
        body: &Body,
        out: &mut Vec<Action>,
    ) {
        // An unknown identity neither counts nor ends the epoch: its disk may have been emptied.
        if member::find(self.log.members(), &from).is_none() {
            if matches!(self.state, State::Leader(_)) {
                out.push(Action::UnknownIdentity(from));
            }
            return;
        }
        if epoch > self.epoch {
            self.follow(now, epoch, None, out);
        }
        if epoch < self.epoch {
            return;
        }
        match *body {
            Body::VoteReply { granted } => self.on_vote_reply(now, from, granted, out),
            Body::AppendReply {
                round,
                accepted,
                index,
            } => self.on_append_reply(now, &from, (round, accepted, index), out),
            Body::SnapshotReply { offset } => self.on_snapshot_reply(now, &from, offset, out),
            _ => {}
        }
    }

    /// Takes the report that all writes up to `seq` are durable.
    pub fn on_synced(&mut self, now: Instant, seq: u64, out: &mut Vec<Action>) {
        if self.failed {
            return;
        }
        self.synced = self.synced.max(seq.min(self.seq));
        self.log.on_synced(self.synced);
        let synced = self.synced;
        out.extend(
            self.held
                .extract_if(.., |(seq, _)| *seq <= synced)
                .map(|(_, action)| action),
        );
        match self.state {
            State::Candidate(_) => self.count_votes(now, out),
            State::Leader(_) => {
                self.drive(out);
                self.advance(now, out);
            }
            _ => {}
        }
    }

    /// Takes the report that a write or a sync failed: the node refuses everything from now on.
    pub fn on_write_failed(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.failed = true;
        self.held.clear();
        self.follow(now, self.epoch, None, out);
    }

    pub(crate) fn postpone_election(&mut self, now: Instant) {
        let range = self.settings.election_min..=self.settings.election_max;
        self.election_at = now + self.rng.random_range(range);
    }

    pub(crate) fn write(&mut self, write: Write, out: &mut Vec<Action>) -> u64 {
        self.seq += 1;
        if !self.failed {
            out.push(Action::Write(self.seq, write));
        }
        self.seq
    }

    pub(crate) fn save(&mut self, epoch: Epoch, vote: Option<Identity>, out: &mut Vec<Action>) {
        self.epoch = epoch;
        self.vote.clone_from(&vote);
        self.saved = self.write(Write::Save { epoch, vote }, out);
    }

    /// Adds an entry of the present epoch in memory.
    pub(crate) fn push(&mut self, payload: Payload) -> Position {
        let position = Position {
            epoch: self.epoch,
            index: self.log.last().index + 1,
        };
        self.log.push(Entry { position, payload });
        position
    }

    /// Writes all entries that no write has had so far, as one batch.
    pub(crate) fn flush(&mut self, out: &mut Vec<Action>) {
        if self.log.is_staged() {
            let entries = self.log.stage(self.seq + 1);
            self.write(Write::Append(entries), out);
        }
    }

    /// Sends a message once the write `after` is durable.
    pub(crate) fn send(&mut self, to: &Name, after: u64, body: Body, out: &mut Vec<Action>) {
        self.send_in(self.epoch, to, after, body, out);
    }

    pub(crate) fn send_in(
        &mut self,
        epoch: Epoch,
        to: &Name,
        after: u64,
        body: Body,
        out: &mut Vec<Action>,
    ) {
        if self.failed {
            return;
        }
        let from = self.me.clone();
        let action = Action::Send(to.clone(), Peer { from, epoch, body });
        if after <= self.synced {
            out.push(action);
        } else {
            self.held.push((after, action));
        }
    }

    /// Becomes a follower in an epoch, of a leader if one is known.
    pub(crate) fn follow(
        &mut self,
        now: Instant,
        epoch: Epoch,
        leader: Option<&Name>,
        out: &mut Vec<Action>,
    ) {
        if epoch > self.epoch {
            self.save(epoch, None, out);
        }
        if let State::Leader(lead) = mem::replace(&mut self.state, State::Follower) {
            // Staged entries may still be chosen by the next leader; the disk must hold them too.
            self.flush(out);
            out.extend(lead.reads.iter().map(|wait| Action::Refuse(wait.id)));
            self.postpone_election(now);
        }
        self.leader = leader.cloned();
        if leader.is_some() {
            self.postpone_election(now);
        }
        self.announce(out);
    }

    /// Reports a change of role.
    pub(crate) fn announce(&mut self, out: &mut Vec<Action>) {
        let present = (self.role(), self.epoch, self.leader.clone());
        if present != self.announced {
            self.announced = present.clone();
            let (role, epoch, leader) = present;
            out.push(Action::Role {
                role,
                epoch,
                leader,
            });
        }
    }

    /// Hands out all entries up to an index as committed.
    pub(crate) fn commit_to(&mut self, index: u64, out: &mut Vec<Action>) {
        while self.commit < index
            && let Some(entry) = self.log.get(self.commit + 1)
        {
            out.push(Action::Apply(entry.clone()));
            self.commit += 1;
        }
    }
}

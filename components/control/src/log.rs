//! The replicated log: writes, commits, roles, and what waits for them.

use std::time::Instant;

use anyhow::{Context, Result};
use catalog::{Catalog, Command};
use cluster::writes;
use consensus::{Action, Entry, Epoch, Identity, Payload, Position, Role};
use disk::{Native, Wal};
use types::{Name, Revision};

use crate::convert;
use crate::lead::Lead;
use crate::process::{Loop, Waiter};

/// Applied entries after which a snapshot is taken.
const SNAPSHOT_EVERY: u64 = 1000;

impl Loop {
    pub(crate) fn on_disk(
        &mut self,
        now: Instant,
        done: writes::Completion<Wal<Native>>,
    ) -> Result<()> {
        let mut actions = Vec::new();
        match self.disk.on_batch_result(done) {
            Ok(seq) => self.node.on_synced(now, seq, &mut actions),
            Err(error) => {
                tracing::error!(error = %format!("{error:#}"), "a write to the disk failed; this instance refuses from now on");
                self.node.on_write_failed(now, &mut actions);
            }
        }
        self.drive(now, actions)
    }

    /// Proposes a command.
    pub(crate) fn propose(
        &mut self,
        now: Instant,
        command: &Command,
        waiter: Waiter,
    ) -> Result<Result<(), (consensus::Refusal, Waiter)>> {
        let mut bytes = Vec::new();
        wire::encode(&wire::Command::from(command), &mut bytes)?;
        let mut actions = Vec::new();
        let result = self.node.on_propose(now, &bytes, &mut actions);
        let result = match result {
            Ok(position) => {
                self.waiting
                    .insert(position.index, (position.epoch, waiter));
                Ok(())
            }
            Err(refusal) => Err((refusal, waiter)),
        };
        self.drive(now, actions)?;
        Ok(result)
    }

    pub(crate) fn drive(&mut self, now: Instant, actions: Vec<Action>) -> Result<()> {
        for action in actions {
            match action {
                Action::Send(name, peer) => self.peers.send(&name, convert::message(peer)),
                Action::Write(seq, write) => self.disk.push(seq, write),
                Action::Apply(entry) => self.on_apply(now, entry)?,
                Action::Restore => self.restore()?,
                Action::AnswerRead { id, .. } => self.on_read(now, id),
                Action::RefuseRead(id) => self.on_read_refused(id),
                Action::RoleChanged {
                    role,
                    epoch,
                    leader,
                } => self.on_role(now, role, epoch, leader.as_ref()),
                Action::LearnerProgress {
                    instance,
                    ready: true,
                    ..
                } => self.promote_member(now, &instance)?,
                Action::LearnerProgress { .. } => {}
                Action::UnknownIdentity(_) => self.metrics.common.refusals.add("unknown_identity"),
            }
        }
        Ok(())
    }

    fn promote_member(&mut self, now: Instant, instance: &Name) -> Result<()> {
        let member = self
            .node
            .members()
            .iter()
            .find(|member| member.instance == *instance);
        let Some(member) = member.filter(|member| member.seat == consensus::Seat::Learner) else {
            return Ok(());
        };
        let identity = Identity {
            instance: member.instance.clone(),
            disk: member.disk,
        };
        let mut actions = Vec::new();
        let change = consensus::Change::Promote(identity);
        if self.node.on_change(now, &change, &mut actions).is_ok() {
            tracing::info!(%instance, "the learner has caught up and becomes a voter");
        }
        self.drive(now, actions)
    }

    fn on_role(&mut self, now: Instant, role: Role, epoch: Epoch, leader: Option<&Name>) {
        tracing::info!(
            ?role,
            epoch = epoch.0,
            leader = leader.map(Name::as_str),
            "role"
        );
        self.metrics.leader.set((role == Role::Leader).into());
        if role != Role::Leader {
            self.end_confirmations(now);
            self.lead = None;
            // Entries dial the leader.
            self.streams.close_all();
            for (_, (_, waiter)) in std::mem::take(&mut self.waiting) {
                self.lose(waiter);
            }
        }
    }

    fn lose(&mut self, waiter: Waiter) {
        if let Waiter::Reply(pending) = waiter {
            self.lose_change(pending);
        }
    }

    fn restore(&mut self) -> Result<()> {
        let snapshot = self.node.snapshot();
        self.catalog = Catalog::decode(&snapshot.data).context("catalog of the snapshot")?;
        self.applied = snapshot.position.index;
        self.compacted = self.applied;
        self.streams.reset();
        Ok(())
    }

    fn on_apply(&mut self, now: Instant, entry: Entry) -> Result<()> {
        let index = entry.position.index;
        self.applied = index;
        match &entry.payload {
            // The own no-op is applied after every command of earlier epochs.
            Payload::Noop => {
                let own = entry.position.epoch == self.node.epoch();
                if own && self.node.role() == Role::Leader {
                    self.lead = Some(Lead::new(now, &self.catalog));
                    tracing::info!(revision = self.catalog.revision().0, "leading");
                }
            }
            Payload::Members(_) => self.keep_peers(now),
            Payload::Data(data) => self.apply(now, entry.position, data)?,
        }
        if let Some(Waiter::Reply(pending)) = self.take_waiter(entry.position) {
            self.answer_members(pending, index);
        }
        if index >= self.compacted + SNAPSHOT_EVERY {
            self.compact(now)?;
        }
        Ok(())
    }

    /// Who waits for the entry at a position. Whoever proposed another one there has lost it.
    fn take_waiter(&mut self, position: Position) -> Option<Waiter> {
        let (epoch, waiter) = self.waiting.remove(&position.index)?;
        if epoch == position.epoch {
            return Some(waiter);
        }
        self.lose(waiter);
        None
    }

    fn apply(&mut self, now: Instant, position: Position, data: &[u8]) -> Result<()> {
        let index = position.index;
        // A command that this build can't read was committed by another version: going on would
        // give this instance another catalog.
        let raw: wire::Command = wire::decode(data).context("committed command")?;
        let command = Command::try_from(raw.clone())
            .map_err(|findings| anyhow::anyhow!("{findings:?}"))
            .context("committed command")?;
        let outcome = self.catalog.apply(Revision(index), &command);
        self.streams.publish(Revision(index), &raw);
        if let Some(lead) = &mut self.lead {
            lead.on_applied(&command, &self.catalog);
        }
        match self.take_waiter(position) {
            Some(Waiter::Reply(pending)) => self.answer_change(now, pending, &command, &outcome),
            Some(Waiter::Machine(database)) => {
                let mut actions = Vec::new();
                if let Some(machine) = self.lead.as_mut().and_then(|lead| lead.machine(&database)) {
                    machine.on_outcome(&outcome, &self.catalog, &mut actions);
                }
                let actions = actions
                    .into_iter()
                    .map(|action| (database.clone(), action))
                    .collect();
                self.act(now, actions)?;
            }
            Some(Waiter::None) | None => {}
        }
        self.step_due = true;
        Ok(())
    }

    fn compact(&mut self, now: Instant) -> Result<()> {
        self.compacted = self.applied;
        let mut bytes = Vec::new();
        self.catalog.encode(&mut bytes)?;
        let mut actions = Vec::new();
        // Refused while an earlier snapshot is on its way to a member; the next one covers this.
        let _refused = self.node.on_compact(now, self.applied, bytes, &mut actions);
        self.drive(now, actions)
    }
}

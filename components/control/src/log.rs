//! The replicated log: disk writes, proposals, committed entries and role changes.

use std::time::Instant;

use anyhow::{Context, Result};
use catalog::{Catalog, Command};
use cluster::writes;
use consensus::{Action, Entry, Epoch, Identity, Payload, Position, Role};
use disk::{Native, Wal};
use types::{Name, Revision};

use crate::convert;
use crate::leader::Leader;
use crate::process::{Loop, Waiter};

/// Number of applied log entries after which a snapshot is taken.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 1000;

impl Loop {
    pub(crate) fn on_disk_batch(
        &mut self,
        now: Instant,
        result: writes::Completion<Wal<Native>>,
    ) -> Result<()> {
        let mut actions = Vec::new();
        let was_full = self.disk.is_full();
        match self.disk.on_batch_result(now, result) {
            Ok(Some(seq)) => self.node.on_synced(now, seq, &mut actions),
            Ok(None) => {}
            Err(error) => {
                tracing::error!(error = %format!("{error:#}"), "disk write failed; refusing all further requests");
                self.node.on_write_failed(now, &mut actions);
            }
        }
        self.report_full_disk(was_full);
        self.run_node_actions(now, actions)
    }

    fn report_full_disk(&self, was_full: bool) {
        let is_full = self.disk.is_full();
        self.metrics.disk_full.set(is_full.into());
        match (was_full, is_full) {
            (false, true) => {
                tracing::warn!("disk full; writes wait for space, other instances commit meanwhile")
            }
            (true, false) => tracing::info!("disk has space again"),
            _ => {}
        }
    }

    /// Proposes a command to the replicated log. A refusal gives the waiter back.
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
                self.waiters
                    .insert(position.index, (position.epoch, waiter));
                Ok(())
            }
            Err(refusal) => Err((refusal, waiter)),
        };
        self.run_node_actions(now, actions)?;
        Ok(result)
    }

    pub(crate) fn run_node_actions(&mut self, now: Instant, actions: Vec<Action>) -> Result<()> {
        for action in actions {
            match action {
                Action::Send(name, peer) => self.peers.send(&name, convert::message(peer)),
                Action::Write(seq, write) => self.disk.push(seq, write),
                Action::Apply(entry) => self.apply_entry(now, entry)?,
                Action::Restore => self.restore_snapshot()?,
                Action::AnswerRead { id, .. } => self.on_read_confirmed(now, id),
                Action::RefuseRead(id) => self.on_read_refused(id),
                Action::RoleChanged {
                    role,
                    epoch,
                    leader,
                } => self.on_role_changed(now, role, epoch, leader.as_ref()),
                Action::LearnerProgress {
                    instance,
                    ready: true,
                    ..
                } => self.promote_learner(now, &instance)?,
                Action::LearnerProgress { .. } => {}
                Action::UnknownIdentity(_) => self.metrics.common.refusals.add("unknown_identity"),
            }
        }
        Ok(())
    }

    fn promote_learner(&mut self, now: Instant, instance: &Name) -> Result<()> {
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
        self.run_node_actions(now, actions)
    }

    fn on_role_changed(&mut self, now: Instant, role: Role, epoch: Epoch, leader: Option<&Name>) {
        tracing::info!(
            ?role,
            epoch = epoch.0,
            leader = leader.map(Name::as_str),
            "consensus role changed"
        );
        self.metrics.leader.set((role == Role::Leader).into());
        if role != Role::Leader {
            self.finish_confirmations(now);
            self.leader = None;
            // Entry instances connect to the new leader.
            self.streams.close_all();
            for (_, (_, waiter)) in std::mem::take(&mut self.waiters) {
                self.abandon(waiter);
            }
        }
    }

    fn abandon(&mut self, waiter: Waiter) {
        if let Waiter::Operator(pending) = waiter {
            self.answer_unknown(pending);
        }
    }

    fn restore_snapshot(&mut self) -> Result<()> {
        let snapshot = self.node.snapshot();
        self.catalog =
            Catalog::decode(&snapshot.data).context("decode the catalog of the snapshot")?;
        self.applied_index = snapshot.position.index;
        self.snapshot_index = self.applied_index;
        self.streams.reset();
        Ok(())
    }

    fn apply_entry(&mut self, now: Instant, entry: Entry) -> Result<()> {
        let index = entry.position.index;
        self.applied_index = index;
        match &entry.payload {
            // The no-op of a leader's own epoch is applied after every command of earlier epochs.
            Payload::Noop => {
                let is_own_epoch = entry.position.epoch == self.node.epoch();
                if is_own_epoch && self.node.role() == Role::Leader {
                    self.leader = Some(Leader::new(now, &self.catalog));
                    tracing::info!(
                        revision = self.catalog.revision().0,
                        "leading; the catalog holds every command of earlier epochs"
                    );
                }
            }
            Payload::Members(_) => self.update_peers(now),
            Payload::Data(data) => self.apply_command(now, entry.position, data)?,
        }
        if let Some(Waiter::Operator(pending)) = self.take_waiter(entry.position) {
            self.answer_member_change(pending, index);
        }
        if index >= self.snapshot_index + SNAPSHOT_INTERVAL_ENTRIES {
            self.compact(now)?;
        }
        Ok(())
    }

    /// Removes the waiter of the log entry at a position. A waiter of another epoch's proposal at
    /// that index is told that the outcome is unknown.
    fn take_waiter(&mut self, position: Position) -> Option<Waiter> {
        let (epoch, waiter) = self.waiters.remove(&position.index)?;
        if epoch == position.epoch {
            return Some(waiter);
        }
        self.abandon(waiter);
        None
    }

    fn apply_command(&mut self, now: Instant, position: Position, data: &[u8]) -> Result<()> {
        let index = position.index;
        let decoded = wire::decode(data).and_then(|raw: wire::Command| {
            let command = Command::try_from(raw.clone());
            let command = command.map_err(|findings| anyhow::anyhow!("{findings:?}"))?;
            Ok((raw, command))
        });
        let (raw, command) = match decoded {
            Ok(decoded) => decoded,
            Err(error) => {
                // Another build has committed it. All instances of this build skip it alike. Ending
                // here would end each of them, again after every restart.
                tracing::error!(
                    index,
                    error = %format!("{error:#}"),
                    "can't decode a committed command; skipping it"
                );
                self.metrics.common.refusals.add("invalid_command");
                if let Some(waiter) = self.take_waiter(position) {
                    self.abandon(waiter);
                }
                return Ok(());
            }
        };
        let outcome = self.catalog.apply(Revision(index), &command);
        self.streams.publish(Revision(index), &raw);
        if let Some(leader) = &mut self.leader {
            leader.on_applied(&command, &self.catalog);
        }
        match self.take_waiter(position) {
            Some(Waiter::Operator(pending)) => self.answer_change(now, pending, &command, &outcome),
            Some(Waiter::Machine(database)) => {
                let mut actions = Vec::new();
                if let Some(machine) = self
                    .leader
                    .as_mut()
                    .and_then(|leader| leader.machine(&database))
                {
                    machine.on_outcome(&outcome, &self.catalog, &mut actions);
                }
                let actions = actions
                    .into_iter()
                    .map(|action| (database.clone(), action))
                    .collect();
                self.run_failover_actions(now, actions)?;
            }
            Some(Waiter::None) | None => {}
        }
        self.step_due = true;
        Ok(())
    }

    fn compact(&mut self, now: Instant) -> Result<()> {
        self.snapshot_index = self.applied_index;
        let mut bytes = Vec::new();
        self.catalog.encode(&mut bytes)?;
        let mut actions = Vec::new();
        // Refused while an earlier snapshot is being sent to a member; the next snapshot covers
        // this one.
        let _refused = self
            .node
            .on_compact(now, self.applied_index, bytes, &mut actions);
        self.run_node_actions(now, actions)
    }
}

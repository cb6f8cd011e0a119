//! The replicated log: disk writes, proposals, committed orders, snapshots and changes of role.

use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use cluster::{convert, writes};
use consensus::{Action, Entry, Epoch, Payload, Position, Refusal, Role};
use disk::{Native, Wal};
use registry::plan::Format as _;
use registry::{Order, Plan, Registry};
use types::Name;

use crate::api::Api;
use crate::leadership::Leadership;
use crate::process::{Loop, Proposal, Waiter};
use crate::servers::Connection;

/// Applied log entries after which a snapshot is taken.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 100;
/// Time without a new log entry after which a snapshot is taken as well. An instance that starts
/// can't tell how much of the log after its snapshot is committed, so the entry processes that start
/// with it would have to wait.
const SNAPSHOT_IDLE_TIME: Duration = Duration::from_millis(500);

impl<A: Api, C: Connection> Loop<A, C> {
    pub(crate) fn on_disk(
        &mut self,
        now: Instant,
        completion: writes::Completion<Wal<Native>>,
    ) -> Result<()> {
        let mut actions = Vec::new();
        let was_full = self.disk.is_full();
        match self.disk.on_batch_result(now, completion) {
            Ok(Some(seq)) => self.node.on_synced(now, seq, &mut actions),
            Ok(None) => {}
            Err(error) => {
                tracing::error!(error = %format!("{error:#}"), "disk write failed; refusing all further requests");
                self.node.on_write_failed(now, &mut actions);
                self.write_failed_at = Some(now);
            }
        }
        self.report_full_disk(was_full);
        self.run_consensus_actions(now, actions)
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

    /// Proposes an order. If the proposal is refused, the waiter is returned.
    pub(crate) fn propose(
        &mut self,
        now: Instant,
        order: &Order,
        waiter: Waiter,
    ) -> Result<Result<(), (Refusal, Waiter)>> {
        let mut bytes = Vec::new();
        wire::encode(&wire::Order::from(order), &mut bytes)?;
        let mut actions = Vec::new();
        let result = match self.node.on_propose(now, &bytes, &mut actions) {
            Ok(position) => {
                let proposal = Proposal {
                    epoch: position.epoch,
                    proposed_at: now,
                    waiter,
                };
                self.proposals.insert(position.index, proposal);
                Ok(())
            }
            Err(refusal) => Err((refusal, waiter)),
        };
        self.run_consensus_actions(now, actions)?;
        Ok(result)
    }

    pub(crate) fn run_consensus_actions(
        &mut self,
        now: Instant,
        actions: Vec<Action>,
    ) -> Result<()> {
        for action in actions {
            match action {
                Action::Send(name, message) => {
                    if let Some(address) = self.address(&name) {
                        self.peers.send(address, convert::message(message));
                    }
                }
                Action::Write(seq, write) => self.disk.push(seq, write),
                Action::Apply(entry) => self.on_apply(now, entry)?,
                Action::Restore => self.restore()?,
                Action::AnswerRead { id, .. } => self.answer_read(id),
                Action::RefuseRead(id) => self.refuse_read(id),
                Action::RoleChanged {
                    role,
                    epoch,
                    leader,
                } => self.on_role(now, role, epoch, leader.as_ref()),
                // Maintenance of the member list checks the progress of all learners itself.
                Action::LearnerProgress { .. } | Action::UnknownIdentity(_) => {}
            }
        }
        Ok(())
    }

    fn address(&self, name: &Name) -> Option<std::net::SocketAddr> {
        let mut members = self.node.members().iter();
        let listed = members
            .find(|member| member.instance == *name)
            .map(|member| member.address);
        listed.or_else(|| {
            self.roster
                .introduction_of(name.as_str())
                .map(|intro| intro.address)
        })
    }

    fn on_role(&mut self, now: Instant, role: Role, epoch: Epoch, leader: Option<&Name>) {
        tracing::info!(
            ?role,
            epoch = epoch.0,
            leader = leader.map(Name::as_str),
            members = self.node.members().len(),
            "consensus role changed"
        );
        self.metrics.leader.set((role == Role::Leader).into());
        self.roster
            .set_leading_since((role == Role::Leader).then_some(now));
        if role != Role::Leader {
            self.leadership = None;
            self.rates.stop();
            for (_, proposal) in std::mem::take(&mut self.proposals) {
                self.refuse_lost(proposal.waiter);
            }
        }
    }

    fn restore(&mut self) -> Result<()> {
        let snapshot = self.node.snapshot();
        self.registry = registry::convert::decode_snapshot(&snapshot.data)
            .context("decode the registry in the snapshot")?;
        self.applied_index = snapshot.position.index;
        self.snapshot_index = self.applied_index;
        let plan = read_plan::<A>(&self.registry);
        self.replace_plan(plan, |this, _| {
            this.subscribers.resend_all(&this.registry, &this.plan);
        });
        Ok(())
    }

    fn on_apply(&mut self, now: Instant, entry: Entry) -> Result<()> {
        let index = entry.position.index;
        self.applied_index = index;
        self.applied_at = now;
        match &entry.payload {
            // The no-op of the own epoch is applied after all orders of earlier epochs.
            Payload::Noop => {
                let is_own = entry.position.epoch == self.node.epoch();
                if is_own && self.node.role() == Role::Leader {
                    self.leadership = Some(Leadership::new(now));
                    self.rates.start(self.settings.rate_limit, &self.plan);
                    tracing::info!(
                        revision = self.registry.revision(),
                        version = self.registry.plan_version(),
                        "leading; the registry holds every order of earlier epochs"
                    );
                }
            }
            Payload::Members(_) => self.update_peers(now),
            Payload::Data(data) => self.apply(now, entry.position, data)?,
        }
        if index >= self.snapshot_index + SNAPSHOT_INTERVAL_ENTRIES {
            self.compact(now)?;
        }
        Ok(())
    }

    fn apply(&mut self, now: Instant, position: Position, data: &[u8]) -> Result<()> {
        let index = position.index;
        let decoded = wire::decode(data).and_then(|raw: wire::Order| {
            let order = Order::try_from(raw.clone())?;
            Ok((raw, order))
        });
        let (raw, order) = match decoded {
            Ok(decoded) => decoded,
            Err(error) => {
                // Another build has committed it. All instances of this build skip it alike. Ending
                // here would end each of them, again after every restart.
                tracing::error!(
                    index,
                    error = %format!("{error:#}"),
                    "can't decode a committed order; skipping it"
                );
                self.metrics.common.refusals.add("invalid_order");
                if let Some(proposal) = self.proposals.remove(&index) {
                    self.refuse_lost(proposal.waiter);
                }
                return Ok(());
            }
        };
        let outcome = self.registry.apply(index, &order);
        match &order {
            Order::Plan { version, body } => {
                tracing::info!(index, version, bytes = body.len(), ?outcome, "plan applied")
            }
            order => tracing::info!(index, order = ?order, ?outcome, "order applied"),
        }
        if let Order::Plan { .. } = &order {
            self.publish_plan();
        } else {
            let update = wire::Publish::Update {
                revision: index,
                order: raw,
            };
            self.subscribers.publish(&update);
        }
        if let Order::Confirm { service, .. } = &order
            && let Some(leadership) = &mut self.leadership
            && let Some(chosen) = self.registry.chosen_primary(service)
            && let Some(duration) = leadership.on_confirmed(now, service, &chosen.id)
        {
            self.metrics.change_seconds.observe(duration.as_secs_f64());
            tracing::info!(service, ms = duration.as_millis(), "primary changed");
        }
        if let Some(proposal) = self.proposals.remove(&index) {
            let duration = now.saturating_duration_since(proposal.proposed_at);
            self.metrics.commit_seconds.observe(duration.as_secs_f64());
            if proposal.epoch == position.epoch {
                self.confirm_commit(proposal.waiter, outcome);
            } else {
                self.refuse_lost(proposal.waiter);
            }
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.schedule_step(now);
        }
        Ok(())
    }

    /// Publishes the changes of the plan to the entries.
    fn publish_plan(&mut self) {
        if self.registry.plan_version() <= self.plan.version {
            return;
        }
        let next = read_plan::<A>(&self.registry);
        self.replace_plan(next, |this, earlier| {
            let change = this.plan.change_from(&earlier);
            this.rates.set_plan(&this.plan);
            this.subscribers.publish(&wire::Publish::Plan(change));
        });
    }

    /// Takes a snapshot if no log entry was applied for a while.
    pub(crate) fn compact_if_idle(&mut self, now: Instant) -> Result<()> {
        if self.applied_index > self.snapshot_index && now >= self.applied_at + SNAPSHOT_IDLE_TIME {
            self.compact(now)?;
        }
        Ok(())
    }

    fn compact(&mut self, now: Instant) -> Result<()> {
        self.snapshot_index = self.applied_index;
        let mut bytes = Vec::new();
        if let Err(error) = wire::encode(&wire::Registry::from(&self.registry), &mut bytes) {
            // The log keeps what a snapshot would replace.
            tracing::error!(error = %format!("{error:#}"), "can't encode a snapshot; keeping the log");
            return Ok(());
        }
        let mut actions = Vec::new();
        // Refused while an earlier snapshot is being sent to a member; the next one covers this.
        let _refused = self
            .node
            .on_compact(now, self.applied_index, bytes, &mut actions);
        self.run_consensus_actions(now, actions)
    }
}

/// Decodes the plan document of a registry; an empty plan if there is none yet.
pub fn read_plan<A: Api>(registry: &Registry) -> Plan {
    let decoded = registry.plan_document().map(A::Format::read);
    match decoded {
        None => Plan::default(),
        Some(Ok(plan)) => plan,
        // The document was valid for the build that committed it, so this build has other rules.
        Some(Err(findings)) => {
            let version = registry.plan_version();
            tracing::error!(
                version,
                ?findings,
                "can't decode the committed plan; continuing with an empty one"
            );
            Plan::default()
        }
    }
}

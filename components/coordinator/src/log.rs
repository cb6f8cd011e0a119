//! The replicated log: writes, commits, roles, and what waits for them.

use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use cluster::{convert, writes};
use consensus::{Action, Entry, Epoch, Payload, Position, Refusal, Role};
use disk::{Native, Wal};
use registry::plan::Format as _;
use registry::{Order, Plan, Registry};
use types::Name;

use crate::api::Api;
use crate::fleet::Fleet;
use crate::lead::Lead;
use crate::process::{Loop, Proposal, Waiter};

/// Applied entries after which a snapshot is taken.
const SNAPSHOT_EVERY: u64 = 100;
/// Time without a further entry after which a snapshot is taken too. Of the log behind it an
/// instance that starts can't tell what is committed, and entries that start with it wait.
const QUIET: Duration = Duration::from_millis(500);

impl<A: Api, F: Fleet> Loop<A, F> {
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
                self.failed_at = Some(now);
            }
        }
        self.drive(now, actions)
    }

    /// Proposes an order.
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
                    at: now,
                    waiter,
                };
                self.waiting.insert(position.index, proposal);
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
                Action::Send(name, peer) => {
                    if let Some(address) = self.address(&name) {
                        self.peers.send(address, convert::message(peer));
                    }
                }
                Action::Write(seq, write) => self.disk.push(seq, write),
                Action::Apply(entry) => self.on_apply(now, entry)?,
                Action::Restore => self.restore()?,
                Action::AnswerRead { id, .. } => self.on_read(id),
                Action::RefuseRead(id) => self.on_read_refused(id),
                Action::RoleChanged {
                    role,
                    epoch,
                    leader,
                } => self.on_role(now, role, epoch, leader.as_ref()),
                // The upkeep of the member list looks at all learners in its own time.
                Action::LearnerProgress { .. } | Action::UnknownIdentity(_) => {}
            }
        }
        Ok(())
    }

    fn address(&self, name: &Name) -> Option<std::net::SocketAddr> {
        let mut members = self.node.members().iter();
        let listed = members.find(|m| m.instance == *name).map(|m| m.address);
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
            "role"
        );
        self.metrics.leader.set((role == Role::Leader).into());
        self.roster
            .set_leading_since((role == Role::Leader).then_some(now));
        if role != Role::Leader {
            self.lead = None;
            for (_, proposal) in std::mem::take(&mut self.waiting) {
                self.lose(proposal.waiter);
            }
        }
    }

    fn restore(&mut self) -> Result<()> {
        let snapshot = self.node.snapshot();
        self.registry = decode(&snapshot.data).context("registry of the snapshot")?;
        self.applied = snapshot.position.index;
        self.compacted = self.applied;
        self.plan = plan::<A>(&self.registry);
        self.subscribers.reset(&self.registry, &self.plan);
        Ok(())
    }

    fn on_apply(&mut self, now: Instant, entry: Entry) -> Result<()> {
        let index = entry.position.index;
        self.applied = index;
        self.applied_at = now;
        match &entry.payload {
            // The own no-op is applied after every order of earlier epochs.
            Payload::Noop => {
                let own = entry.position.epoch == self.node.epoch();
                if own && self.node.role() == Role::Leader {
                    self.lead = Some(Lead::new(now));
                    tracing::info!(
                        revision = self.registry.revision(),
                        version = self.registry.plan_version(),
                        "leading"
                    );
                }
            }
            Payload::Members(_) => self.keep_peers(now),
            Payload::Data(data) => self.apply(now, entry.position, data)?,
        }
        if index >= self.compacted + SNAPSHOT_EVERY {
            self.compact(now)?;
        }
        Ok(())
    }

    fn apply(&mut self, now: Instant, position: Position, data: &[u8]) -> Result<()> {
        // An order that this build can't read was committed by another version: going on would
        // give this instance another registry.
        let raw: wire::Order = wire::decode(data).context("committed order")?;
        let order = Order::try_from(raw.clone()).context("committed order")?;
        let index = position.index;
        let outcome = self.registry.apply(index, &order);
        match &order {
            Order::Plan { version, body } => {
                tracing::info!(index, version, bytes = body.len(), ?outcome, "plan")
            }
            other => tracing::info!(index, order = ?other, ?outcome, "order"),
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
            && let Some(lead) = &mut self.lead
            && let Some(chosen) = self.registry.chosen_primary(service)
            && let Some(took) = lead.on_confirmed(now, service, &chosen.id)
        {
            self.metrics.change_seconds.observe(took.as_secs_f64());
            tracing::info!(service, ms = took.as_millis(), "primary changed");
        }
        if let Some(proposal) = self.waiting.remove(&index) {
            let took = now.saturating_duration_since(proposal.at);
            self.metrics.commit_seconds.observe(took.as_secs_f64());
            if proposal.epoch == position.epoch {
                self.committed(proposal.waiter);
            } else {
                self.lose(proposal.waiter);
            }
        }
        if let Some(lead) = &mut self.lead {
            lead.step_soon(now);
        }
        Ok(())
    }

    /// Tells the entries what has changed in the plan.
    fn publish_plan(&mut self) {
        if self.registry.plan_version() <= self.plan.version {
            return;
        }
        let next = plan::<A>(&self.registry);
        let change = next.change_from(&self.plan);
        self.plan = next;
        self.subscribers.publish(&wire::Publish::Plan(change));
    }

    /// Takes a snapshot once the log has come to rest.
    pub(crate) fn compact_if_quiet(&mut self, now: Instant) -> Result<()> {
        if self.applied > self.compacted && now >= self.applied_at + QUIET {
            self.compact(now)?;
        }
        Ok(())
    }

    fn compact(&mut self, now: Instant) -> Result<()> {
        self.compacted = self.applied;
        let mut bytes = Vec::new();
        wire::encode(&wire::Registry::from(&self.registry), &mut bytes)?;
        let mut actions = Vec::new();
        // Refused while an earlier snapshot is on its way to a member; the next one covers this.
        let _refused = self.node.on_compact(now, self.applied, bytes, &mut actions);
        self.drive(now, actions)
    }
}

/// The plan in a registry's document; an empty one before the first.
pub fn plan<A: Api>(registry: &Registry) -> Plan {
    let read = registry.plan_document().map(A::Format::read);
    match read {
        None => Plan::default(),
        Some(Ok(plan)) => plan,
        // It was checked before it was committed, so that this build reads plans otherwise.
        Some(Err(findings)) => {
            let version = registry.plan_version();
            tracing::error!(version, ?findings, "plan not readable");
            Plan::default()
        }
    }
}

/// The registry of a snapshot; an empty one without bytes.
pub fn decode(bytes: &[u8]) -> Result<Registry> {
    if bytes.is_empty() {
        return Ok(Registry::default());
    }
    let raw: wire::Registry = wire::decode(bytes)?;
    Registry::try_from(raw)
}

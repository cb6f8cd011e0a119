//! Handles messages from entries: introductions, renewals and announced stops.

use std::time::Instant;

use anyhow::Result;
use catalog::Command;
use types::{Name, Revision};

use crate::entries::Entry;
use crate::event::StreamId;
use crate::process::{Loop, Waiter};
use crate::renewal::Message;

impl Loop {
    pub(crate) fn on_entry_message(
        &mut self,
        now: Instant,
        id: StreamId,
        message: wire::Up,
    ) -> Result<()> {
        match message {
            wire::Up::Hello {
                version,
                instance,
                domain,
                boot,
                revision,
            } => {
                if version != wire::VERSION {
                    self.metrics.common.refusals.add("version");
                    self.streams.close(id);
                    return Ok(());
                }
                let names = (Name::try_from(instance), Name::try_from(domain));
                let (Ok(instance), Ok(domain)) = names else {
                    self.metrics.common.refusals.add("invalid");
                    self.streams.close(id);
                    return Ok(());
                };
                self.on_hello(
                    id,
                    Entry {
                        instance,
                        domain,
                        boot,
                    },
                    Revision(revision),
                )
            }
            wire::Up::Leave => {
                let entry = self.streams.entry(id).cloned();
                if let (Some(entry), Some(leader)) = (entry, &mut self.leader) {
                    leader.on_leave(entry.instance.as_str(), entry.boot);
                }
                self.step_due = true;
                Ok(())
            }
            renewal @ wire::Up::Renew { .. } => match Message::try_from(renewal) {
                Ok(message) => self.on_renewal(now, id, &message),
                Err(_) => {
                    self.metrics.common.refusals.add("invalid");
                    self.streams.close(id);
                    Ok(())
                }
            },
        }
    }

    fn on_hello(&mut self, id: StreamId, entry: Entry, confirmed: Revision) -> Result<()> {
        if self.leader.is_none() {
            self.metrics.common.refusals.add("not_leader");
            self.redirect(id);
            return Ok(());
        }
        if confirmed > self.catalog.revision() {
            // The entry has received a committed command that this instance has not applied, so
            // this instance can't be the leader of the latest epoch.
            self.metrics.common.refusals.add("not_ready");
            self.streams.close(id);
            return Ok(());
        }
        self.streams.introduce(id, entry, confirmed, &self.catalog)
    }

    fn redirect(&mut self, id: StreamId) {
        let leader = self
            .node
            .leader()
            .filter(|leader| **leader != self.settings.instance);
        let member = self
            .node
            .members()
            .iter()
            .find(|member| Some(&member.instance) == leader);
        let leader = member.map(|member| member.address.to_string());
        self.streams.send(id, wire::Down::Redirect { leader });
    }

    fn on_renewal(&mut self, now: Instant, id: StreamId, message: &Message) -> Result<()> {
        let Some(entry) = self.streams.entry(id).cloned() else {
            return Ok(());
        };
        if !self.node.leader_confirmed(now) {
            self.metrics.common.refusals.add("no_quorum");
            return Ok(());
        }
        let Some(leader) = &mut self.leader else {
            return Ok(());
        };
        let mut proposals = Vec::new();
        if leader.should_propose_enrollment(&entry.instance, &self.catalog) {
            let (instance, domain) = (entry.instance.clone(), entry.domain.clone());
            proposals.push(Command::Enroll { instance, domain });
        }
        for announcement in &message.announcements {
            if leader.should_propose_announcement(now, announcement, &self.catalog) {
                proposals.push(Command::Announce(announcement.clone()));
            }
        }
        let lease = leader.renew(
            now,
            &entry.instance,
            entry.boot,
            &message.renewal,
            &self.catalog,
        );
        match lease {
            Some(lease) => {
                let quota = |q: lease::quota::Quota| wire::Quota {
                    target: q.target.to_string(),
                    connections: q.connections,
                };
                let grant = wire::Down::Grant {
                    seq: message.renewal.seq,
                    ttl_ms: u32::try_from(lease.ttl.as_millis()).unwrap_or(u32::MAX),
                    revision: self.catalog.revision().0,
                    quotas: lease.quotas.into_iter().map(quota).collect(),
                    long: lease.long_slots.into_iter().map(quota).collect(),
                };
                self.streams.send(id, grant);
            }
            None => self.metrics.common.refusals.add("replaced"),
        }
        for command in proposals {
            if self.propose(now, &command, Waiter::None)?.is_err() {
                self.metrics.common.retries.add("proposal");
                if let Some(leader) = &mut self.leader {
                    leader.forget_proposals();
                }
            }
        }
        self.step_due = true;
        Ok(())
    }
}

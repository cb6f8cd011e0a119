//! Messages of entries: introductions, renewals and ends.

use std::time::Instant;

use anyhow::Result;
use catalog::Command;
use types::{Name, Revision};

use crate::entries::Peer;
use crate::event::StreamId;
use crate::process::{Loop, Waiter};
use crate::renewal::Checked;

impl Loop {
    pub(crate) fn on_entry(&mut self, now: Instant, id: StreamId, message: wire::Up) -> Result<()> {
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
                    Peer {
                        instance,
                        domain,
                        boot,
                    },
                    Revision(revision),
                )
            }
            wire::Up::Leave => {
                let ended = self.streams.peer(id).cloned();
                if let (Some(peer), Some(lead)) = (ended, &mut self.lead) {
                    lead.end(peer.instance.as_str(), peer.boot);
                }
                self.step_due = true;
                Ok(())
            }
            renewal @ wire::Up::Renew { .. } => match Checked::try_from(renewal) {
                Ok(checked) => self.on_renewal(now, id, &checked),
                Err(_) => {
                    self.metrics.common.refusals.add("invalid");
                    self.streams.close(id);
                    Ok(())
                }
            },
        }
    }

    fn on_hello(&mut self, id: StreamId, peer: Peer, has: Revision) -> Result<()> {
        if self.lead.is_none() {
            self.metrics.common.refusals.add("not_leader");
            self.redirect(id);
            return Ok(());
        }
        if has > self.catalog.revision() {
            // The entry has seen a commit that this instance has not applied, so it can't be the
            // leader of the latest epoch.
            self.metrics.common.refusals.add("not_ready");
            self.streams.close(id);
            return Ok(());
        }
        self.streams.introduce(id, peer, has, &self.catalog)
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

    fn on_renewal(&mut self, now: Instant, id: StreamId, checked: &Checked) -> Result<()> {
        let Some(peer) = self.streams.peer(id).cloned() else {
            return Ok(());
        };
        if !self.node.leader_confirmed(now) {
            self.metrics.common.refusals.add("no_quorum");
            return Ok(());
        }
        let Some(lead) = &mut self.lead else {
            return Ok(());
        };
        let mut proposals = Vec::new();
        if lead.should_enroll(&peer.instance, &self.catalog) {
            let (instance, domain) = (peer.instance.clone(), peer.domain.clone());
            proposals.push(Command::Enroll { instance, domain });
        }
        for announcement in &checked.announcements {
            if lead.should_propose(now, announcement, &self.catalog) {
                proposals.push(Command::Announce(announcement.clone()));
            }
        }
        let granted = lead.renew(
            now,
            &peer.instance,
            peer.boot,
            &checked.renewed,
            &self.catalog,
        );
        match granted {
            Some(granted) => {
                let quota = |q: lease::quota::Quota| wire::Quota {
                    target: q.target.to_string(),
                    connections: q.connections,
                };
                let grant = wire::Down::Grant {
                    seq: checked.renewed.seq,
                    ttl_ms: u32::try_from(granted.ttl.as_millis()).unwrap_or(u32::MAX),
                    revision: self.catalog.revision().0,
                    quotas: granted.quotas.into_iter().map(quota).collect(),
                    long: granted.long.into_iter().map(quota).collect(),
                };
                self.streams.send(id, grant);
            }
            None => self.metrics.common.refusals.add("replaced"),
        }
        for command in proposals {
            if self.propose(now, &command, Waiter::None)?.is_err() {
                self.metrics.common.retries.add("proposal");
                if let Some(lead) = &mut self.lead {
                    lead.forget_proposals();
                }
            }
        }
        self.step_due = true;
        Ok(())
    }
}

//! The member list: bootstrap of a new cluster, instances that return with a new disk, and messages
//! between control instances.

use std::time::Instant;

use anyhow::Result;

use crate::convert::{Hello, Incoming};
use crate::process::Loop;

/// Log index of the first member list.
const FIRST_LIST_INDEX: u64 = 1;

impl Loop {
    /// Whether the member list lacks this instance with its present disk.
    pub(crate) fn is_nonmember(&self) -> bool {
        consensus::member::find(self.node.members(), self.node.identity()).is_none()
    }

    /// Whether the log holds at most the first member list. A founder that has written it still
    /// counts as blank: other founders may receive its first introduction only after it has founded
    /// the cluster.
    fn counts_as_blank(&self) -> bool {
        self.node.last_position().index <= FIRST_LIST_INDEX
    }

    fn has_no_members(&self) -> bool {
        self.node.members().is_empty()
    }

    pub(crate) fn hello(&self) -> Hello {
        let own_member = self
            .settings
            .members
            .iter()
            .find(|m| m.instance == self.settings.instance);
        let address = own_member.map_or(self.settings.link, |member| member.address);
        let mut http = self.settings.http;
        if http.ip().is_unspecified() {
            // A wildcard address can't be dialled; the one in the member list is an address of this
            // host.
            http.set_ip(address.ip());
        }
        Hello {
            http,
            identity: self.node.identity().clone(),
            version: wire::VERSION,
            address: address.to_string(),
            blank: self.counts_as_blank(),
        }
    }

    pub(crate) fn bootstrap(&mut self, now: Instant) -> Result<()> {
        // All streams must be open first, so that each founder receives this instance's
        // introduction while it is blank. Otherwise it would take this instance for a member of an
        // existing cluster and wait to join that.
        if !self.has_no_members() || !self.peers.all_open() {
            return Ok(());
        }
        let founders = self
            .introductions
            .founders(self.node.identity(), &self.settings.members);
        let Some(founders) = founders else {
            return Ok(());
        };
        let mut actions = Vec::new();
        // Refused if messages of a leader have arrived in the meantime.
        if self.node.on_bootstrap(now, &founders, &mut actions).is_ok() {
            tracing::info!(members = founders.len(), "founded a new cluster");
        }
        self.run_node_actions(now, actions)
    }

    pub(crate) fn propose_rejoin(&mut self, now: Instant) -> Result<()> {
        if self.leader.is_none() {
            return Ok(());
        }
        let Some(change) = self.introductions.rejoin_change(self.node.members()) else {
            return Ok(());
        };
        let mut actions = Vec::new();
        // Refused while an earlier change is not complete; proposed again after `HELLO_INTERVAL`.
        if self.node.on_change(now, &change, &mut actions).is_ok() {
            tracing::info!(
                ?change,
                "proposed to let an instance rejoin with its new disk"
            );
        }
        self.run_node_actions(now, actions)
    }

    pub(crate) fn update_peers(&mut self, now: Instant) {
        let members = self.node.members().iter().map(|m| (&m.instance, m.address));
        let configured = self
            .settings
            .members
            .iter()
            .map(|m| (&m.instance, m.address));
        let members: Vec<_> = if members.len() == 0 {
            configured.collect()
        } else {
            members.collect()
        };
        self.peers.set_members(now, members.into_iter());
    }

    pub(crate) fn on_peer_message(&mut self, now: Instant, message: wire::Peer) -> Result<()> {
        match Incoming::try_from(message) {
            Ok(Incoming::Hello(hello)) if hello.version != wire::VERSION => {
                self.metrics.common.refusals.add("version");
            }
            Ok(Incoming::Hello(hello)) => {
                self.introductions.record(hello);
                if self.is_nonmember() {
                    self.bootstrap(now)?;
                }
            }
            // Only coordinators exchange these messages; control instances know each other from
            // settings.
            Ok(
                Incoming::Introduction(_)
                | Incoming::Report(_)
                | Incoming::Question(..)
                | Incoming::Samples(_)
                | Incoming::Entries(..)
                | Incoming::Advance(..)
                | Incoming::Advanced(_),
            ) => {
                self.metrics.common.refusals.add("invalid");
            }
            Ok(Incoming::Consensus(peer)) => {
                let mut actions = Vec::new();
                self.node.on_message(now, peer, &mut actions);
                self.run_node_actions(now, actions)?;
            }
            Err(_) => self.metrics.common.refusals.add("invalid"),
        }
        Ok(())
    }
}

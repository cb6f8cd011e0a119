//! The member list: the first one of a new cluster, and instances that return with a new disk.

use std::time::Instant;

use anyhow::Result;

use crate::convert::{Hello, Incoming};
use crate::process::Loop;

/// Index of the first member list.
const FOUNDING_INDEX: u64 = 1;

impl Loop {
    /// Whether this disk belongs to no member list yet.
    pub(crate) fn is_outside(&self) -> bool {
        consensus::member::find(self.node.members(), self.node.identity()).is_none()
    }

    /// Whether the log holds at most the first member list. A founder that has it still counts as
    /// blank for the others, which may receive its introduction only after it has founded the cluster.
    fn is_founding(&self) -> bool {
        self.node.last_position().index <= FOUNDING_INDEX
    }

    fn is_blank(&self) -> bool {
        self.node.members().is_empty()
    }

    pub(crate) fn hello(&self) -> Hello {
        let own = self
            .settings
            .members
            .iter()
            .find(|m| m.instance == self.settings.instance);
        let address = own.map_or(self.settings.link, |member| member.address);
        let mut http = self.settings.http;
        if http.ip().is_unspecified() {
            // A wildcard can't be dialled; the address that the members use is one of this host.
            http.set_ip(address.ip());
        }
        Hello {
            http,
            identity: self.node.identity().clone(),
            version: wire::VERSION,
            address: address.to_string(),
            blank: self.is_founding(),
        }
    }

    pub(crate) fn found(&mut self, now: Instant) -> Result<()> {
        // An instance that hears of this one only after the list was made would take it for a member
        // of an older cluster and wait to be let in.
        if !self.is_blank() || !self.peers.is_complete() {
            return Ok(());
        }
        let founders = self
            .introductions
            .founders(self.node.identity(), &self.settings.members);
        let Some(founders) = founders else {
            return Ok(());
        };
        let mut actions = Vec::new();
        // Refused if a leader's messages have arrived meanwhile.
        if self.node.on_bootstrap(now, &founders, &mut actions).is_ok() {
            tracing::info!(members = founders.len(), "new cluster");
        }
        self.drive(now, actions)
    }

    pub(crate) fn join_returning(&mut self, now: Instant) -> Result<()> {
        if self.lead.is_none() {
            return Ok(());
        }
        let Some(change) = self.introductions.returning(self.node.members()) else {
            return Ok(());
        };
        let mut actions = Vec::new();
        // Refused while an earlier change is not complete; tried again at the next greeting.
        if self.node.on_change(now, &change, &mut actions).is_ok() {
            tracing::info!(?change, "an instance returns with a new disk");
        }
        self.drive(now, actions)
    }

    pub(crate) fn keep_peers(&mut self, now: Instant) {
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
        self.peers.keep(now, members.into_iter());
    }

    pub(crate) fn on_peer(&mut self, now: Instant, message: wire::Peer) -> Result<()> {
        match Incoming::try_from(message) {
            Ok(Incoming::Hello(hello)) if hello.version != wire::VERSION => {
                self.metrics.common.refusals.add("version");
            }
            Ok(Incoming::Hello(hello)) => {
                self.introductions.record(hello);
                if self.is_outside() {
                    self.found(now)?;
                }
            }
            // Instances of this process find each other by their settings.
            Ok(
                Incoming::Introduction(_)
                | Incoming::Report(_)
                | Incoming::Question(..)
                | Incoming::Samples(_)
                | Incoming::Entries(..),
            ) => {
                self.metrics.common.refusals.add("invalid");
            }
            Ok(Incoming::Consensus(peer)) => {
                let mut actions = Vec::new();
                self.node.on_message(now, peer, &mut actions);
                self.drive(now, actions)?;
            }
            Err(_) => self.metrics.common.refusals.add("invalid"),
        }
        Ok(())
    }
}

//! The member list: the first one of a new cluster, and its upkeep by the leader.

use std::time::{Duration, Instant};

use anyhow::Result;
use cluster::convert::{self, Incoming, Introduction};
use cluster::peers;
use consensus::member;

use crate::api::Api;
use crate::process::Loop;
use crate::servers::Fleet;

/// Index of the first member list.
const FOUNDING_INDEX: u64 = 1;
/// Interval of introductions and of the upkeep of the member list.
pub const UPKEEP: Duration = Duration::from_millis(250);

impl<A: Api, F: Fleet> Loop<A, F> {
    pub(crate) fn introduction(&self, now: Instant) -> Introduction {
        Introduction {
            identity: self.node.identity().clone(),
            version: wire::VERSION,
            address: self.settings.link,
            http: self.settings.http,
            domain: self.settings.domain.clone(),
            // A founder that has the first list still counts as blank for the others, which may
            // receive its introduction only after it has founded the cluster.
            blank: self.node.last_position().index <= FOUNDING_INDEX,
            founding: self.settings.founding,
            known_addresses: self.roster.advertised_addresses(now, self.node.members()),
        }
    }

    pub(crate) fn on_peer(&mut self, now: Instant, event: peers::Event) -> Result<()> {
        match event {
            peers::Event::Open(address, out) => {
                let intro = convert::introduction(&self.introduction(now));
                self.peers.on_open(address, out, intro);
                tracing::info!(%address, "stream to a coordinator open");
                self.found(now)
            }
            peers::Event::Closed(address, error) => {
                if self.peers.on_closed(now, address) {
                    tracing::warn!(%address, error = %format!("{error:#}"), "stream to a coordinator lost");
                }
                Ok(())
            }
            peers::Event::Message(message) => self.on_message(now, message),
            peers::Event::InboundClosed => Ok(()),
        }
    }

    fn on_message(&mut self, now: Instant, message: wire::Peer) -> Result<()> {
        match Incoming::try_from(message) {
            Ok(Incoming::Introduction(intro)) if intro.version != wire::VERSION => {
                self.metrics.common.refusals.add("version");
            }
            Ok(Incoming::Introduction(intro)) => {
                let known = self
                    .roster
                    .introduction_of(intro.identity.instance.as_str());
                if known.is_none_or(|known| known.identity != intro.identity) {
                    tracing::info!(
                        instance = %intro.identity.instance, disk = intro.identity.disk.0,
                        address = %intro.address, blank = intro.blank, "coordinator introduced"
                    );
                }
                self.roster.on_introduction(now, intro);
                self.found(now)?;
            }
            Ok(Incoming::Report(report)) => {
                if let Some(lead) = &mut self.lead {
                    lead.on_report(now, report);
                }
            }
            Ok(Incoming::Question(from, question)) => self.on_peer_question(&from, &question),
            Ok(Incoming::Samples(answer)) => self.on_samples(answer),
            Ok(Incoming::Entries(from, entries)) => self.neighbours.on_told(now, from, entries),
            Ok(Incoming::Consensus(peer)) => {
                self.roster.on_contact(now, &peer.from.instance);
                let mut actions = Vec::new();
                self.node.on_message(now, peer, &mut actions);
                self.drive(now, actions)?;
            }
            Ok(Incoming::Hello(_)) => self.metrics.common.refusals.add("invalid"),
            Err(error) => {
                tracing::warn!(error = %format!("{error:#}"), "message of a coordinator refused");
                self.metrics.common.refusals.add("invalid");
            }
        }
        Ok(())
    }

    /// Founds a cluster once all seeds know each other's blank disks.
    fn found(&mut self, now: Instant) -> Result<()> {
        if !self.node.members().is_empty() || !self.peers.is_open_to(self.roster.seeds()) {
            return Ok(());
        }
        let Some(founders) = self.roster.initial_members(&self.introduction(now)) else {
            return Ok(());
        };
        let mut actions = Vec::new();
        // Refused if a leader's messages have arrived meanwhile.
        if self.node.on_bootstrap(now, &founders, &mut actions).is_ok() {
            tracing::info!(members = founders.len(), "cluster founded");
        }
        self.drive(now, actions)
    }

    /// Introduces this instance to all, reports to the leader, and as leader changes the list.
    pub(crate) fn on_upkeep(&mut self, now: Instant) -> Result<()> {
        if now < self.upkeep_at {
            return Ok(());
        }
        self.upkeep_at = now + UPKEEP;
        self.keep_peers(now);
        let intro = self.introduction(now);
        self.peers.send_all(&convert::introduction(&intro));
        self.found(now)?;
        self.compact_if_quiet(now)?;
        self.report(now);
        self.ask_leader();
        self.tell_entries(now);
        self.pulse(now);
        if self.lead.is_some() {
            self.keep_members(now, &intro)?;
            self.remove_gone(now)?;
        }
        Ok(())
    }

    pub(crate) fn keep_peers(&mut self, now: Instant) {
        let addresses = self.roster.addresses(now, self.node.members());
        self.peers.set_addresses(now, &addresses);
    }

    fn keep_members(&mut self, now: Instant, intro: &Introduction) -> Result<()> {
        let members = self.node.members();
        let last = self.node.last_position().index;
        let lag = consensus::Settings::default().max_learner_lag;
        let is_ready = |member: &consensus::Member| {
            let matched = self.node.match_index(member);
            matched.is_some_and(|matched| matched + lag >= last)
        };
        let Some(change) = self.roster.next_change(now, intro, members, is_ready) else {
            return Ok(());
        };
        let mut actions = Vec::new();
        // Refused while an earlier change is not complete; tried again at the next upkeep.
        if self.node.on_change(now, &change, &mut actions).is_ok() {
            let members = self.node.members();
            let voters = members.iter().filter(|m| m.seat == consensus::Seat::Voter);
            tracing::info!(?change, voters = voters.count(), "member list changes");
        }
        self.drive(now, actions)
    }

    /// Whether this disk belongs to the member list.
    pub(crate) fn is_member(&self) -> bool {
        member::find(self.node.members(), self.node.identity()).is_some()
    }
}

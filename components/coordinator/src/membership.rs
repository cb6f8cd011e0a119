//! The member list: bootstrap of a new cluster, and maintenance by the leader. Also the periodic
//! messages to other instances and to entries.

use std::time::{Duration, Instant};

use anyhow::Result;
use cluster::convert::{self, Incoming, Introduction};
use cluster::peers;
use consensus::member;

use crate::api::Api;
use crate::process::Loop;
use crate::servers::Connection;

/// Log index of the first member list.
const FOUNDING_INDEX: u64 = 1;
/// Interval of the introductions, reports and changes of the member list.
pub const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

impl<A: Api, C: Connection> Loop<A, C> {
    pub(crate) fn introduction(&self, now: Instant) -> Introduction {
        Introduction {
            identity: self.node.identity().clone(),
            version: wire::VERSION,
            address: self.settings.link,
            http: self.settings.http,
            domain: self.settings.domain.clone(),
            // A founder that holds only the first member list still counts as blank: the other
            // founders may receive its introduction after it has created the list.
            blank: self.node.last_position().index <= FOUNDING_INDEX,
            founding: self.settings.founding,
            known_addresses: self.roster.advertised_addresses(now, self.node.members()),
        }
    }

    pub(crate) fn on_peer(&mut self, now: Instant, event: peers::Event) -> Result<()> {
        match event {
            peers::Event::Open(address, sender) => {
                let introduction = convert::introduction(&self.introduction(now));
                self.peers.on_open(address, sender, introduction);
                tracing::info!(%address, "opened a stream to a coordinator");
                self.bootstrap(now)
            }
            peers::Event::Closed(address, error) => {
                if self.peers.on_closed(now, address) {
                    tracing::warn!(%address, error = %format!("{error:#}"), "lost the stream to a coordinator; connecting again");
                }
                Ok(())
            }
            peers::Event::Message(message) => self.on_message(now, message),
            peers::Event::InboundClosed => Ok(()),
        }
    }

    fn on_message(&mut self, now: Instant, message: wire::Peer) -> Result<()> {
        match Incoming::try_from(message) {
            Ok(Incoming::Introduction(introduction)) if introduction.version != wire::VERSION => {
                self.metrics.common.refusals.add("version");
            }
            Ok(Incoming::Introduction(introduction)) => {
                let known = self
                    .roster
                    .introduction_of(introduction.identity.instance.as_str());
                if known.is_none_or(|known| known.identity != introduction.identity) {
                    tracing::info!(
                        instance = %introduction.identity.instance, disk = introduction.identity.disk.0,
                        address = %introduction.address, blank = introduction.blank, "coordinator introduced"
                    );
                }
                self.roster.on_introduction(now, introduction);
                self.bootstrap(now)?;
            }
            Ok(Incoming::Report(report)) => {
                if let Some(leadership) = &mut self.leadership {
                    leadership.on_report(now, report);
                }
            }
            Ok(Incoming::Question(from, question)) => self.on_peer_question(&from, &question),
            Ok(Incoming::Samples(answer)) => self.on_samples(answer),
            Ok(Incoming::Entries(from, entries)) => self.neighbours.on_list(now, from, entries),
            Ok(Incoming::Advance(from, advance)) => self.on_peer_advance(now, &from, advance),
            Ok(Incoming::Advanced(answer)) => self.on_advanced(now, &answer),
            Ok(Incoming::Consensus(message)) => {
                self.roster.on_contact(now, &message.from.instance);
                let mut actions = Vec::new();
                self.node.on_message(now, message, &mut actions);
                self.run_consensus_actions(now, actions)?;
            }
            Ok(Incoming::Hello(_)) => self.metrics.common.refusals.add("invalid"),
            Err(error) => {
                tracing::warn!(error = %format!("{error:#}"), "received an invalid message from a coordinator; ignoring it");
                self.metrics.common.refusals.add("invalid");
            }
        }
        Ok(())
    }

    /// Creates the first member list once all seeds are connected and known to have blank disks.
    fn bootstrap(&mut self, now: Instant) -> Result<()> {
        if !self.node.members().is_empty() || !self.peers.is_open_to(self.roster.seeds()) {
            return Ok(());
        }
        let Some(founders) = self.roster.initial_members(&self.introduction(now)) else {
            return Ok(());
        };
        let mut actions = Vec::new();
        // Refused if messages of a leader have arrived in the meantime.
        if self.node.on_bootstrap(now, &founders, &mut actions).is_ok() {
            tracing::info!(members = founders.len(), "founded a new cluster");
        }
        self.run_consensus_actions(now, actions)
    }

    /// Sends the periodic messages, takes a snapshot if the log is idle, and as leader updates the
    /// member list and removes servers.
    pub(crate) fn run_maintenance(&mut self, now: Instant) -> Result<()> {
        if now < self.maintenance_at {
            return Ok(());
        }
        self.maintenance_at = now + MAINTENANCE_INTERVAL;
        self.update_peers(now);
        let introduction = self.introduction(now);
        self.peers.send_all(&convert::introduction(&introduction));
        self.bootstrap(now)?;
        self.compact_if_idle(now)?;
        self.send_report(now);
        self.request_samples();
        self.publish_entries(now);
        self.publish_pulse(now);
        if self.leadership.is_some() {
            self.update_members(now, &introduction)?;
            self.remove_departed(now)?;
        }
        Ok(())
    }

    pub(crate) fn update_peers(&mut self, now: Instant) {
        let addresses = self.roster.addresses(now, self.node.members());
        self.peers.set_addresses(now, &addresses);
    }

    fn update_members(&mut self, now: Instant, introduction: &Introduction) -> Result<()> {
        let members = self.node.members();
        let last = self.node.last_position().index;
        let lag = consensus::Settings::default().max_learner_lag;
        let is_ready = |member: &consensus::Member| {
            let matched = self.node.match_index(member);
            matched.is_some_and(|matched| matched + lag >= last)
        };
        let Some(change) = self
            .roster
            .next_change(now, introduction, members, is_ready)
        else {
            return Ok(());
        };
        let mut actions = Vec::new();
        // Refused while an earlier change is not complete; tried again at the next interval.
        if self.node.on_change(now, &change, &mut actions).is_ok() {
            let members = self.node.members();
            let voters = members
                .iter()
                .filter(|member| member.seat == consensus::Seat::Voter);
            tracing::info!(
                ?change,
                voters = voters.count(),
                "proposed a change of the member list"
            );
        }
        self.run_consensus_actions(now, actions)
    }

    /// Whether this instance, with this disk, is a member.
    pub(crate) fn is_member(&self) -> bool {
        member::find(self.node.members(), self.node.identity()).is_some()
    }
}

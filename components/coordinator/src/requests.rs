//! Requests on the HTTP endpoint, and streams of entries.

use std::time::Instant;

use anyhow::Result;
use consensus::Role;
use http::StatusCode;
use observe::http::{Reply as Sender, Request, Response};
use registry::{Life, Order, Server};

use crate::api::{Api, Call, Reply};
use crate::event::StreamId;
use crate::leadership::GONE;
use crate::process::{Loop, Waiter};
use crate::servers::Fleet;

/// Complaints that one entry may send.
const MAX_COMPLAINTS: usize = 10_000;
/// Contact with the leader older than this leaves a follower unsure of its registry.
const CONTACT: std::time::Duration = std::time::Duration::from_secs(1);

impl<A: Api, F: Fleet> Loop<A, F> {
    pub(crate) fn on_request(&mut self, now: Instant, request: Request) -> Result<()> {
        let ready = if self.is_member() {
            Ok(())
        } else {
            Err("not a member yet")
        };
        let registry = &self.metrics.common.registry;
        let Some(request) = observe::endpoint::answer(request, registry, ready) else {
            return Ok(());
        };
        let call = match A::call(&request) {
            Ok(call) => call,
            Err(response) => {
                if response.status != StatusCode::NOT_FOUND {
                    tracing::info!(
                        method = %request.method, path = request.path,
                        status = response.status.as_u16(), "request refused"
                    );
                }
                self.metrics.common.refusals.add("invalid");
                request.reply.send(response);
                return Ok(());
            }
        };
        let Request { path, reply, .. } = request;
        if self.lead.is_none() {
            return self.redirect(now, &path, reply);
        }
        match call {
            Call::Heartbeat(server) => self.on_heartbeat(now, path, server, reply),
            Call::Leave { id, life } => self.on_leave(now, path, &id, life, reply),
            Call::Put { body, plan } => self.on_plan(now, path, body, plan.version, reply),
            Call::Get => self.on_get(now, path, reply),
        }
    }

    /// Sends the caller to the leader, if this instance is in contact with one.
    fn redirect(&mut self, now: Instant, path: &str, reply: Sender) -> Result<()> {
        self.metrics.common.refusals.add("not_leader");
        let leader = self
            .leader_contact(now)
            .and_then(|leader| self.roster.introduction_of(leader));
        let response = match leader {
            Some(leader) => A::reply(path, Reply::Elsewhere(&leader.http.to_string())),
            None => A::reply(path, Reply::Unsure("no leader")),
        };
        reply.send(response);
        Ok(())
    }

    /// The leader, if another instance leads and was heard of lately.
    fn leader_contact(&self, now: Instant) -> Option<&str> {
        let leader = self.node.leader()?;
        let at = self.roster.last_contact(leader)?;
        (now < at + CONTACT).then(|| leader.as_str())
    }

    /// Whether this instance knows what was committed a moment ago.
    fn is_current(&self, now: Instant) -> bool {
        match self.node.role() {
            Role::Leader => self.lead.is_some() && self.node.leader_confirmed(now),
            Role::Follower => self.leader_contact(now).is_some(),
            Role::Candidate => false,
        }
    }

    fn on_heartbeat(
        &mut self,
        now: Instant,
        path: String,
        server: Server,
        reply: Sender,
    ) -> Result<()> {
        if let Some(lead) = &mut self.lead {
            lead.on_heartbeat(now, &server.id);
        }
        if self.registry.would_change(&server) {
            let waiter = Waiter::Heartbeat { path, reply };
            return self.propose_for(now, &Order::Register(server), waiter);
        }
        if !self.node.leader_confirmed(now) {
            return self.refuse(&path, reply, "no_quorum");
        }
        let me = self.settings.http.to_string();
        reply.send(A::reply(&path, Reply::Heard(&me)));
        Ok(())
    }

    fn on_leave(
        &mut self,
        now: Instant,
        path: String,
        id: &str,
        life: Option<Life>,
        reply: Sender,
    ) -> Result<()> {
        let known = self.registry.server(id);
        let present = known.filter(|server| life.is_none_or(|life| life.born == server.life.born));
        if let Some(server) = present
            && let Some(lead) = &mut self.lead
        {
            tracing::info!(id, draining = server.draining, "server leaves");
            lead.on_leave(now, id);
            if !server.draining {
                let life = life.unwrap_or(server.life);
                let server = Server {
                    draining: true,
                    life: life.max(server.life),
                    ..server.clone()
                };
                let waiter = Waiter::Done { path, reply };
                return self.propose_for(now, &Order::Register(server), waiter);
            }
        }
        if !self.node.leader_confirmed(now) {
            return self.refuse(&path, reply, "no_quorum");
        }
        reply.send(A::reply(&path, Reply::Done));
        Ok(())
    }

    fn on_plan(
        &mut self,
        now: Instant,
        path: String,
        body: Vec<u8>,
        version: u64,
        reply: Sender,
    ) -> Result<()> {
        // A version that is not higher is acknowledged too and changes nothing; it goes through
        // the log, so that the answer holds although another instance may lead by now.
        let order = Order::Plan { version, body };
        self.propose_for(now, &order, Waiter::Done { path, reply })
    }

    fn on_get(&mut self, now: Instant, path: String, reply: Sender) -> Result<()> {
        let id = self.next_read;
        self.next_read += 1;
        let mut actions = Vec::new();
        match self.node.on_read(now, id, &mut actions) {
            Ok(()) => {
                self.reads.insert(id, (path, reply));
            }
            Err(_) => self.refuse(&path, reply, "no_quorum")?,
        }
        self.drive(now, actions)
    }

    fn propose_for(&mut self, now: Instant, order: &Order, waiter: Waiter) -> Result<()> {
        if let Err((refusal, waiter)) = self.propose(now, order, waiter)? {
            tracing::warn!(%refusal, "order not proposed");
            self.lose(waiter);
        }
        Ok(())
    }

    fn refuse(&mut self, path: &str, reply: Sender, reason: &'static str) -> Result<()> {
        self.metrics.common.refusals.add(reason);
        reply.send(A::reply(path, Reply::Unsure(reason)));
        Ok(())
    }

    /// An order was committed: whoever waits for it has its answer.
    pub(crate) fn committed(&mut self, waiter: Waiter) {
        match waiter {
            Waiter::Heartbeat { path, reply } => {
                let me = self.settings.http.to_string();
                reply.send(A::reply(&path, Reply::Heard(&me)));
            }
            Waiter::Done { path, reply } => reply.send(A::reply(&path, Reply::Done)),
            Waiter::None => {}
        }
    }

    /// Nothing is known of an order: the caller asks again.
    pub(crate) fn lose(&mut self, waiter: Waiter) {
        if let Waiter::Heartbeat { path, reply } | Waiter::Done { path, reply } = waiter {
            self.metrics.common.refusals.add("lost_leadership");
            reply.send(A::reply(&path, Reply::Unsure("lost_leadership")));
        }
    }

    pub(crate) fn on_read(&mut self, id: u64) {
        let Some((path, reply)) = self.reads.remove(&id) else {
            return;
        };
        let answer = match self.registry.plan_document() {
            Some(body) => A::reply(&path, Reply::Document(body)),
            None => {
                self.metrics.common.refusals.add("no_plan");
                A::reply(&path, Reply::Unsure("no_plan"))
            }
        };
        reply.send(answer);
    }

    pub(crate) fn on_read_refused(&mut self, id: u64) {
        if let Some((path, reply)) = self.reads.remove(&id) {
            let response: Response = A::reply(&path, Reply::Unsure("lost_leadership"));
            self.metrics.common.refusals.add("lost_leadership");
            reply.send(response);
        }
    }

    /// Removes servers that have left, or have sent nothing for long.
    pub(crate) fn remove_gone(&mut self, now: Instant) -> Result<()> {
        let Some(lead) = &self.lead else {
            return Ok(());
        };
        let gone = self.registry.servers().find(|server| {
            let primary = self.registry.primary(&server.service);
            let is_primary = primary.is_some_and(|primary| primary.id == server.id);
            let silent = lead.silence(now, &server.id) > GONE;
            let left = lead.has_left(now, &server.id);
            (silent && !is_primary) || left
        });
        let Some(server) = gone else {
            return Ok(());
        };
        let (id, life) = (server.id.clone(), server.life);
        self.propose_for(now, &Order::Remove { id, life }, Waiter::None)
    }

    pub(crate) fn on_entry(
        &mut self,
        now: Instant,
        id: StreamId,
        message: wire::Subscribe,
    ) -> Result<()> {
        match message {
            wire::Subscribe::Open {
                version,
                instance,
                domain,
                address,
            } => {
                if version != wire::VERSION {
                    self.metrics.common.refusals.add("version");
                    self.subscribers.close(id);
                    return Ok(());
                }
                // Without a leader as well: an entry that has just started can serve with what was
                // known last, and goes elsewhere unless a pulse tells that this is current.
                tracing::info!(entry = instance, "entry subscribed");
                let known = self.neighbours.of(&domain).cloned();
                let entry = wire::Neighbour {
                    instance,
                    domain,
                    address,
                };
                self.subscribers
                    .introduce(id, entry, &self.registry, &self.plan);
                if let Some(entries) = known {
                    self.subscribers.send(id, &wire::Publish::Entries(entries));
                }
            }
            wire::Subscribe::Leave => {
                if let Some(entry) = self.subscribers.leave(id) {
                    tracing::info!(entry, "entry stops");
                    self.neighbours.on_left(&entry);
                    self.tell_entries(now);
                }
            }
            wire::Subscribe::Ask(question) => self.on_question(id, question),
            wire::Subscribe::Complain(complaints) => {
                if complaints.len() > MAX_COMPLAINTS {
                    self.subscribers.close(id);
                } else {
                    self.subscribers.complain(id, complaints);
                    self.report(now);
                }
            }
        }
        Ok(())
    }

    /// Tells the leader what the entries of this instance report.
    pub(crate) fn report(&mut self, now: Instant) {
        let entries = u32::try_from(self.subscribers.count()).unwrap_or(u32::MAX);
        let complaints = self.subscribers.complaints();
        if let Some(lead) = &mut self.lead {
            let report = cluster::convert::Report {
                instance: self.settings.instance.clone(),
                entries,
                complaints,
            };
            lead.on_report(now, report);
            return;
        }
        let leader = self
            .node
            .leader()
            .and_then(|it| self.roster.introduction_of(it.as_str()));
        if let Some(address) = leader.map(|leader| leader.address) {
            let report = cluster::convert::report(self.node.identity(), entries, complaints);
            self.peers.send(address, report);
        }
    }

    /// Tells the other instances of the own entries, and the entries of a failure domain of each other.
    pub(crate) fn tell_entries(&mut self, now: Instant) {
        let own = self.subscribers.entries();
        if let Some(entries) = self.neighbours.due(now, &own) {
            let message = cluster::convert::entries(self.node.identity(), entries);
            self.peers.send_all(&message);
        }
        for (domain, entries) in self.neighbours.follow(now, own) {
            tracing::info!(domain, entries = entries.len(), "entries changed");
            self.subscribers.publish_in(&domain, &entries);
        }
    }

    /// Tells the entries whether this instance is in contact with a leader.
    pub(crate) fn pulse(&mut self, now: Instant) {
        let known = self.roster.advertised_addresses(now, self.node.members());
        let entries = self.neighbours.count(now).unwrap_or(0);
        let pulse = wire::Publish::Pulse {
            current: self.is_current(now),
            entries: u32::try_from(entries).unwrap_or(u32::MAX),
            coordinators: known.iter().map(ToString::to_string).collect(),
        };
        self.subscribers.publish(&pulse);
    }
}

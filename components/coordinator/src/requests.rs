//! Requests to the HTTP endpoint, and messages of entries.

use std::time::Instant;

use anyhow::Result;
use consensus::Role;
use http::StatusCode;
use observe::http::{Reply as HttpReply, Request, Response};
use registry::{Life, Order, Outcome, Server};

use crate::api::{Api, Call, Reply};
use crate::event::StreamId;
use crate::leadership::REMOVAL_SILENCE;
use crate::process::{Loop, Waiter};
use crate::servers::Connection;

/// Complaints in one message of an entry.
const MAX_COMPLAINTS: usize = 10_000;
/// A follower whose last contact with the leader is older can't tell whether its registry is current.
const MAX_CONTACT_AGE: std::time::Duration = std::time::Duration::from_secs(1);

impl<A: Api, C: Connection> Loop<A, C> {
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
        if self.leadership.is_none() {
            return self.redirect(now, &path, reply);
        }
        match call {
            Call::Heartbeat(server) => self.on_heartbeat(now, path, server, reply),
            Call::Leave { id, life } => self.on_leave(now, path, &id, life, reply),
            Call::PutPlan { body, plan } => self.on_put_plan(now, path, body, plan.version, reply),
            Call::GetPlan => self.on_get_plan(now, path, reply),
        }
    }

    /// Redirects a request to the leader, if this instance is in contact with one.
    fn redirect(&mut self, now: Instant, path: &str, reply: HttpReply) -> Result<()> {
        self.metrics.common.refusals.add("not_leader");
        let leader = self
            .leader_contact(now)
            .and_then(|leader| self.roster.introduction_of(leader));
        let response = match leader {
            Some(leader) => A::reply(path, Reply::Redirect(&leader.http.to_string())),
            None => A::reply(path, Reply::Unavailable("no leader")),
        };
        reply.send(response);
        Ok(())
    }

    /// Name of the leader, if another instance leads and the last contact with it is recent.
    fn leader_contact(&self, now: Instant) -> Option<&str> {
        let leader = self.node.leader()?;
        let at = self.roster.last_contact(leader)?;
        (now < at + MAX_CONTACT_AGE).then(|| leader.as_str())
    }

    /// Link address of the leader, if this instance leads or is in contact with the one that does.
    fn leader_address(&self, now: Instant) -> Option<std::net::SocketAddr> {
        if self.leadership.is_some() {
            return Some(self.settings.link);
        }
        let leader = self.roster.introduction_of(self.leader_contact(now)?)?;
        Some(leader.address)
    }

    /// Whether this instance knows all but the most recent commits.
    fn is_current(&self, now: Instant) -> bool {
        match self.node.role() {
            Role::Leader => self.leadership.is_some() && self.node.leader_confirmed(now),
            Role::Follower => self.leader_contact(now).is_some(),
            Role::Candidate => false,
        }
    }

    fn on_heartbeat(
        &mut self,
        now: Instant,
        path: String,
        server: Server,
        reply: HttpReply,
    ) -> Result<()> {
        let is_registered = self.registry.server(&server.id).is_some();
        if !is_registered && !self.is_planned(&server.service) {
            // No route leads to it, and its address may be one of a server that is in use.
            self.metrics.common.refusals.add("unknown_service");
            // A leader that is cut off may lack the plan that names the service.
            if !self.node.leader_confirmed(now) {
                return self.refuse(&path, reply, "no_quorum");
            }
            return self.accept_heartbeat(&path, reply);
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.on_heartbeat(now, &server.id, server.life.born);
        }
        if self.registry.would_change(&server) {
            let known = self.registry.server(&server.id);
            if known.is_none_or(|known| known.life.born < server.life.born)
                && let Some(leadership) = &mut self.leadership
            {
                leadership.on_joining(now, &server);
            }
            if !self.admits(&server) {
                tracing::info!(
                    service = server.service,
                    id = server.id,
                    born = server.life.born,
                    "registration refused during a change of primary"
                );
                return self.refuse(&path, reply, "change_of_primary");
            }
            let waiter = Waiter::Heartbeat { path, reply };
            return self.propose_or_refuse(now, &Order::Register(server), waiter);
        }
        if !self.node.leader_confirmed(now) {
            return self.refuse(&path, reply, "no_quorum");
        }
        self.accept_heartbeat(&path, reply)
    }

    /// Whether a server is registered, or may be at present.
    fn admits(&self, server: &Server) -> bool {
        let registered = self.registry.server(&server.id);
        let is_known = registered.is_some_and(|known| known.life.born == server.life.born);
        let leadership = self.leadership.as_ref();
        is_known || leadership.is_none_or(|leadership| leadership.admits_servers(&server.service))
    }

    fn accept_heartbeat(&self, path: &str, reply: HttpReply) -> Result<()> {
        let address = self.settings.http.to_string();
        reply.send(A::reply(path, Reply::HeartbeatAccepted(&address)));
        Ok(())
    }

    /// Whether the plan has a service; true before the first plan.
    fn is_planned(&self, service: &str) -> bool {
        self.plan.version == 0 || self.plan.services.contains_key(service)
    }

    fn on_leave(
        &mut self,
        now: Instant,
        path: String,
        id: &str,
        life: Option<Life>,
        reply: HttpReply,
    ) -> Result<()> {
        let registered = self.registry.server(id);
        let leaving =
            registered.filter(|server| life.is_none_or(|life| life.born == server.life.born));
        if let Some(server) = leaving
            && let Some(leadership) = &mut self.leadership
        {
            tracing::info!(
                id,
                draining = server.draining,
                "server sent a leave request"
            );
            leadership.on_leave(now, id, server.life.born);
            if !self.registry.is_leaving(id) {
                let (id, life) = (id.to_owned(), life.unwrap_or(server.life));
                let waiter = Waiter::Acknowledgement { path, reply };
                return self.propose_or_refuse(now, &Order::Leave { id, life }, waiter);
            }
        }
        if !self.node.leader_confirmed(now) {
            return self.refuse(&path, reply, "no_quorum");
        }
        reply.send(A::reply(&path, Reply::Done));
        Ok(())
    }

    fn on_put_plan(
        &mut self,
        now: Instant,
        path: String,
        body: Vec<u8>,
        version: u64,
        reply: HttpReply,
    ) -> Result<()> {
        // A version that is not higher is acknowledged as well and changes nothing. It still goes
        // through the log, so that the reply is right even if another instance leads by now.
        let order = Order::Plan { version, body };
        self.propose_or_refuse(now, &order, Waiter::Acknowledgement { path, reply })
    }

    fn on_get_plan(&mut self, now: Instant, path: String, reply: HttpReply) -> Result<()> {
        let id = self.next_read;
        self.next_read += 1;
        let mut actions = Vec::new();
        match self.node.on_read(now, id, &mut actions) {
            Ok(()) => {
                self.reads.insert(id, (path, reply));
            }
            Err(_) => self.refuse(&path, reply, "no_quorum")?,
        }
        self.run_consensus_actions(now, actions)
    }

    fn propose_or_refuse(&mut self, now: Instant, order: &Order, waiter: Waiter) -> Result<()> {
        if let Err((refusal, waiter)) = self.propose(now, order, waiter)? {
            tracing::warn!(%refusal, "order not proposed; refusing the request that needs it, if any");
            self.refuse_lost(waiter);
        }
        Ok(())
    }

    fn refuse(&mut self, path: &str, reply: HttpReply, reason: &'static str) -> Result<()> {
        self.metrics.common.refusals.add(reason);
        reply.send(A::reply(path, Reply::Unavailable(reason)));
        Ok(())
    }

    /// Replies to the request whose order was committed.
    pub(crate) fn confirm_commit(&mut self, waiter: Waiter, outcome: Outcome) {
        match waiter {
            Waiter::Heartbeat { path, reply } if outcome == Outcome::Full => {
                self.metrics.common.refusals.add("registry_full");
                reply.send(A::reply(&path, Reply::Unavailable("registry_full")));
            }
            Waiter::Heartbeat { path, reply } => {
                let address = self.settings.http.to_string();
                reply.send(A::reply(&path, Reply::HeartbeatAccepted(&address)));
            }
            Waiter::Acknowledgement { path, reply } => reply.send(A::reply(&path, Reply::Done)),
            Waiter::None => {}
        }
    }

    /// Refuses a request whose order may or may not be committed later; its sender tries again.
    pub(crate) fn refuse_lost(&mut self, waiter: Waiter) {
        if let Waiter::Heartbeat { path, reply } | Waiter::Acknowledgement { path, reply } = waiter
        {
            self.metrics.common.refusals.add("lost_leadership");
            reply.send(A::reply(&path, Reply::Unavailable("lost_leadership")));
        }
    }

    /// Replies with the plan, after a quorum has confirmed that this instance leads.
    pub(crate) fn answer_read(&mut self, id: u64) {
        let Some((path, reply)) = self.reads.remove(&id) else {
            return;
        };
        let answer = match self.registry.plan_document() {
            Some(body) => A::reply(&path, Reply::Document(body)),
            None => {
                self.metrics.common.refusals.add("no_plan");
                A::reply(&path, Reply::Unavailable("no_plan"))
            }
        };
        reply.send(answer);
    }

    pub(crate) fn refuse_read(&mut self, id: u64) {
        if let Some((path, reply)) = self.reads.remove(&id) {
            let response: Response = A::reply(&path, Reply::Unavailable("lost_leadership"));
            self.metrics.common.refusals.add("lost_leadership");
            reply.send(response);
        }
    }

    /// Removes a server that has left, or one of a service without a plan that has sent no heartbeat
    /// for too long, if there is one.
    pub(crate) fn remove_departed(&mut self, now: Instant) -> Result<()> {
        let Some(leadership) = &self.leadership else {
            return Ok(());
        };
        let departed = self.registry.servers().find(|server| {
            let primary = self.registry.primary(&server.service);
            let is_primary = primary.is_some_and(|primary| primary.id == server.id);
            let silent = leadership.heartbeat_silence(now, &server.id) > REMOVAL_SILENCE;
            let left = leadership.has_left(now, &server.id);
            let unused = silent && !is_primary && !self.is_planned(&server.service);
            unused || left
        });
        let Some(server) = departed else {
            return Ok(());
        };
        let (id, life) = (server.id.clone(), server.life);
        self.propose_or_refuse(now, &Order::Remove { id, life }, Waiter::None)
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
                // The registry is sent without a leader as well: an entry that has just started can
                // serve with the last known state, and subscribes to another coordinator unless a
                // pulse says that the state is current.
                tracing::info!(entry = instance, "entry subscribed");
                let list = self.list_for(&domain);
                let entry = wire::Neighbour {
                    instance,
                    domain,
                    address,
                };
                self.subscribers
                    .introduce(id, entry, &self.registry, &self.plan);
                if let Some(entries) = list {
                    self.subscribers.send(id, &wire::Publish::Entries(entries));
                }
            }
            wire::Subscribe::Leave => {
                if let Some(entry) = self.subscribers.mark_stopping(id) {
                    tracing::info!(entry, "entry announced that it stops");
                    self.neighbours.on_left(&entry);
                    self.publish_entries(now);
                }
            }
            wire::Subscribe::Ask(question) => self.on_question(id, question),
            wire::Subscribe::Advance(advance) => self.on_advance(now, id, advance),
            wire::Subscribe::Complain(complaints) => {
                if complaints.len() > MAX_COMPLAINTS {
                    self.subscribers.close(id);
                } else {
                    self.subscribers.set_complaints(id, complaints);
                    self.send_report(now);
                }
            }
        }
        Ok(())
    }

    /// Reports the complaints of the subscribed entries to the leader.
    pub(crate) fn send_report(&mut self, now: Instant) {
        let entries = u32::try_from(self.subscribers.count()).unwrap_or(u32::MAX);
        let complaints = self.subscribers.complaint_counts();
        if let Some(leadership) = &mut self.leadership {
            let report = cluster::convert::Report {
                instance: self.settings.instance.clone(),
                entries,
                complaints,
            };
            leadership.on_report(now, report);
            return;
        }
        let leader = self
            .node
            .leader()
            .and_then(|name| self.roster.introduction_of(name.as_str()));
        if let Some(address) = leader.map(|leader| leader.address) {
            let report = cluster::convert::report(self.node.identity(), entries, complaints);
            self.peers.send(address, report);
        }
    }

    /// Tells the entries whether the state of this instance is current.
    pub(crate) fn publish_pulse(&mut self, now: Instant) {
        let coordinators = self.roster.advertised_addresses(now, self.node.members());
        let entries = self.neighbours.count(now).unwrap_or(0);
        let pulse = wire::Publish::Pulse {
            current: self.is_current(now),
            entries: u32::try_from(entries).unwrap_or(u32::MAX),
            coordinators: coordinators.iter().map(ToString::to_string).collect(),
            leader: self
                .leader_address(now)
                .map_or_else(String::new, |leader| leader.to_string()),
            epoch: self.node.epoch().0,
        };
        self.subscribers.publish(&pulse);
    }
}

//! Operators' HTTP API: authentication, reads, redirects to the leader, and answers that wait for a
//! commit or for entries.

pub mod change;
mod coverage;
pub mod read;
pub mod reply;
pub mod status;

use std::time::{Duration, Instant};

use admin::{Raw, Request};
use anyhow::Result;
use catalog::{Command, Outcome};
use consensus::{Refusal, Role};
use observe::http::{Reply, Response};
use types::Revision;

use crate::leader::Leader;
use crate::process::Loop;

/// Longest time that the answer to a committed change waits until every entry with a lease has
/// confirmed the change.
///
/// Entries confirm within milliseconds, as they renew at once when they receive a change. Without
/// the wait, every answer would list all of them as pending, and operators could not tell which
/// ones are cut off. 1 s is half the time in which a change has to be in force.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(1);

/// Destination of an answer.
#[derive(Debug)]
pub struct Call {
    reply: Reply,
    /// Path and query of the request, for a redirect.
    path_and_query: String,
}

/// Call whose change waits for its commit.
#[derive(Debug)]
pub struct Pending(Call);

/// A read that waits until a quorum confirms that this instance is current.
#[derive(Debug)]
pub struct Read {
    call: Call,
    request: Request,
}

/// A committed change whose answer waits for confirmations of entries.
#[derive(Debug)]
pub struct Confirmation {
    call: Call,
    revision: Revision,
    deadline: Instant,
}

impl Loop {
    pub(crate) fn on_request(
        &mut self,
        now: Instant,
        request: observe::http::Request,
    ) -> Result<()> {
        let ready = if self.node.leader().is_some() {
            Ok(())
        } else {
            Err("no leader is known")
        };
        let request = observe::endpoint::answer(request, &self.metrics.common.registry, ready);
        let Some(request) = request else {
            return Ok(());
        };
        let call = Call {
            path_and_query: path_and_query(&request.path, request.query.as_deref()),
            reply: request.reply,
        };
        if !observe::token::matches(request.token.as_deref(), self.settings.token.as_str()) {
            self.answer(call, &admin::Reply::unauthorized());
            return Ok(());
        }
        let raw = Raw {
            method: &request.method,
            path: &request.path,
            query: request.query.as_deref(),
            body: &request.body,
        };
        match Request::try_from(raw) {
            Err(fault) => self.answer(call, &fault.into()),
            Ok(request) if request.is_change() => return self.handle_change(now, call, &request),
            Ok(Request::Announce { .. }) => {
                let text = "announce to an entry of the target's failure domain".to_owned();
                self.answer(call, &admin::Reply::refused(text));
            }
            Ok(request) => return self.start_read(now, call, request),
        }
        Ok(())
    }

    fn start_read(&mut self, now: Instant, call: Call, request: Request) -> Result<()> {
        let id = self.next_read_id;
        self.next_read_id += 1;
        self.pending_reads.insert(id, Read { call, request });
        let mut actions = Vec::new();
        let result = self.node.on_read(now, id, &mut actions);
        if let Err(refusal) = result
            && let Some(read) = self.pending_reads.remove(&id)
        {
            self.refuse(read.call, &refusal);
        }
        self.run_node_actions(now, actions)
    }

    pub(crate) fn on_read_confirmed(&mut self, now: Instant, id: u64) {
        let Some(Read { call, request }) = self.pending_reads.remove(&id) else {
            return;
        };
        // A read is confirmed only after the no-op of the epoch is applied, which sets `leader`.
        let answer = match &self.leader {
            Some(leader) => self.read_answer(now, leader, &request),
            None => admin::Reply::no_quorum(),
        };
        self.answer(call, &answer);
    }

    fn read_answer(&self, now: Instant, leader: &Leader, request: &Request) -> admin::Reply {
        let catalog = &self.catalog;
        match request {
            Request::Settings(path) => read::settings(catalog, path),
            Request::Explain(path) => read::explanation(catalog, path),
            Request::History(path) => read::history(catalog, path),
            Request::Targets => admin::Reply::Targets(status::targets(now, catalog, leader)),
            Request::Members => admin::Reply::Members(admin::api::Members {
                revision: catalog.revision().0.max(self.node.members_index()),
                members: self.member_list(),
            }),
            Request::Status => admin::Reply::Status(admin::api::Status {
                instance: self.settings.instance.to_string(),
                leader: self.node.leader().map(ToString::to_string),
                epoch: self.node.epoch().0,
                revision: catalog.revision().0,
                members: self.member_list(),
                entries: status::entries(now, catalog, leader),
                databases: status::databases(now, catalog, leader),
            }),
            _ => admin::Reply::not_found("the request"),
        }
    }

    fn member_list(&self) -> Vec<admin::api::Member> {
        let members = self.node.members().iter();
        members
            .map(|member| status::member(member, self.node.match_index(member)))
            .collect()
    }

    pub(crate) fn on_read_refused(&mut self, id: u64) {
        if let Some(read) = self.pending_reads.remove(&id) {
            self.refuse(read.call, &Refusal::NotLeader(None));
        }
    }

    /// Whether this instance leads, its catalog holds all earlier commands, and a quorum confirms
    /// it.
    ///
    /// Refusals are decided from its catalog without a commit, so no later leader may exist.
    pub(crate) fn is_current(&self, now: Instant) -> bool {
        self.leader.is_some() && self.node.leader_confirmed(now)
    }

    /// Answers a change that was not proposed because this instance is not a confirmed leader.
    pub(crate) fn refuse_unproposed(&mut self, call: Call) {
        if self.node.role() == Role::Leader {
            self.answer(call, &admin::Reply::no_quorum());
        } else {
            self.refuse(call, &Refusal::NotLeader(None));
        }
    }

    /// Answers a call that the replicated log refused.
    pub(crate) fn refuse(&mut self, call: Call, refusal: &Refusal) {
        let answer = match refusal {
            Refusal::NotLeader(_) => admin::Reply::NotLeader(self.leader_url(&call.path_and_query)),
            Refusal::WriteFailed => admin::Reply::no_quorum(),
            other => admin::Reply::refused(other.to_string()),
        };
        self.answer(call, &answer);
    }

    /// URL of the same request at the leader, if its HTTP address is known.
    fn leader_url(&self, path_and_query: &str) -> Option<String> {
        let leader = self.node.leader()?;
        let hello = self.introductions.get(leader.as_str())?;
        Some(format!("http://{}{path_and_query}", hello.http))
    }

    /// Answers a change whose outcome is unknown: it is in the log, but leadership was lost before
    /// its commit.
    pub(crate) fn answer_unknown(&mut self, pending: Pending) {
        self.answer(pending.0, &admin::Reply::outcome_unknown());
    }

    /// Answers a change that is committed and applied.
    pub(crate) fn answer_change(
        &mut self,
        now: Instant,
        pending: Pending,
        command: &Command,
        outcome: &Outcome,
    ) {
        match reply::from_outcome(command, outcome, &self.catalog) {
            Ok(revision) => self.await_entries(now, pending.0, revision),
            Err(answer) => self.answer(pending.0, &answer),
        }
    }

    /// Answers an accepted change once the entries have confirmed it, or after
    /// [`CONFIRMATION_TIMEOUT`].
    pub(crate) fn await_entries(&mut self, now: Instant, call: Call, revision: Revision) {
        self.confirmations.push(Confirmation {
            call,
            revision,
            deadline: now + CONFIRMATION_TIMEOUT,
        });
        self.check_confirmations(now);
    }

    /// Answers a committed change of the member list, which needs no confirmation of entries.
    pub(crate) fn answer_member_change(&mut self, pending: Pending, index: u64) {
        let answer = reply::accepted(Revision(index), Vec::new());
        self.answer(pending.0, &answer);
    }

    /// Answers the accepted changes that every entry with a lease has confirmed or whose wait has
    /// timed out.
    pub(crate) fn check_confirmations(&mut self, now: Instant) {
        for confirmation in std::mem::take(&mut self.confirmations) {
            let leader = self.leader.as_ref();
            let is_awaited =
                leader.is_some_and(|leader| leader.awaits_confirmation(now, confirmation.revision));
            if is_awaited && now < confirmation.deadline {
                self.confirmations.push(confirmation);
            } else {
                self.finish_confirmation(now, confirmation);
            }
        }
    }

    /// Answers all accepted changes after a loss of leadership, as entries send their confirmations
    /// to the next leader.
    pub(crate) fn finish_confirmations(&mut self, now: Instant) {
        for confirmation in std::mem::take(&mut self.confirmations) {
            self.finish_confirmation(now, confirmation);
        }
    }

    fn finish_confirmation(&mut self, now: Instant, confirmation: Confirmation) {
        let Confirmation { call, revision, .. } = confirmation;
        let enrolled = self.catalog.entries().map(|(name, _)| name);
        let leader = self.leader.as_ref();
        let is_pending = |name: &&types::Name| {
            leader.is_none_or(|leader| !leader.has_confirmed(now, name.as_str(), revision))
        };
        let pending = enrolled.filter(is_pending).map(ToString::to_string);
        let answer = reply::accepted(revision, pending.collect());
        self.answer(call, &answer);
    }

    /// When [`Self::check_confirmations`] is due next.
    pub(crate) fn confirmation_deadline(&self) -> Option<Instant> {
        self.confirmations
            .iter()
            .map(|confirmation| confirmation.deadline)
            .min()
    }

    pub(crate) fn answer(&mut self, call: Call, answer: &admin::Reply) {
        if let Some(reason) = reply::refusal_reason(answer) {
            self.metrics.common.refusals.add(reason);
        }
        let encoded = answer.encode();
        let mut response = Response::json(encoded.status, encoded.body);
        if let Some(url) = encoded.location {
            response = response.with_location(url);
        }
        call.reply.send(response);
    }
}

fn path_and_query(path: &str, query: Option<&str>) -> String {
    match query {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    }
}

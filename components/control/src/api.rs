//! Requests of operators: who may ask, what answers them, and what waits.

pub mod change;
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

use crate::leader::Lead;
use crate::process::Loop;

/// Longest wait of an accepted change until every live entry has confirmed it.
///
/// Entries confirm a change within milliseconds, as they renew at once when they get one. Without
/// the wait, the answer would name all of them each time, and operators could not tell from it
/// which ones are cut off. 1 s is half the time in which a change has to be in force.
const CONFIRMATION: Duration = Duration::from_secs(1);

/// Where an answer goes.
#[derive(Debug)]
pub struct Call {
    reply: Reply,
    /// Path and query, for a redirect.
    place: String,
}

/// A change that waits for its commit.
#[derive(Debug)]
pub struct Pending(Call);

/// A read that waits until this instance is known to be current.
#[derive(Debug)]
pub struct Read {
    call: Call,
    request: Request,
}

/// An accepted change that waits for the entries.
#[derive(Debug)]
pub struct Confirming {
    call: Call,
    revision: Revision,
    until: Instant,
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
            place: place(&request.path, request.query.as_deref()),
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
            Ok(request) if request.is_change() => return self.change(now, call, &request),
            Ok(Request::Announce { .. }) => {
                let text = "announce to an entry of the target's failure domain".to_owned();
                self.answer(call, &admin::Reply::refused(text));
            }
            Ok(request) => return self.read(now, call, request),
        }
        Ok(())
    }

    fn read(&mut self, now: Instant, call: Call, request: Request) -> Result<()> {
        let id = self.next_read;
        self.next_read += 1;
        self.reads.insert(id, Read { call, request });
        let mut actions = Vec::new();
        let result = self.node.on_read(now, id, &mut actions);
        if let Err(refusal) = result
            && let Some(read) = self.reads.remove(&id)
        {
            self.refuse(read.call, &refusal);
        }
        self.drive(now, actions)
    }

    pub(crate) fn on_read(&mut self, now: Instant, id: u64) {
        let Some(Read { call, request }) = self.reads.remove(&id) else {
            return;
        };
        // A read is confirmed after the no-op of the epoch, which makes `lead`.
        let answer = match &self.lead {
            Some(lead) => self.read_answer(now, lead, &request),
            None => admin::Reply::no_quorum(),
        };
        self.answer(call, &answer);
    }

    fn read_answer(&self, now: Instant, lead: &Lead, request: &Request) -> admin::Reply {
        let catalog = &self.catalog;
        match request {
            Request::Settings(path) => read::settings(catalog, path),
            Request::Explain(path) => read::explanation(catalog, path),
            Request::History(path) => read::history(catalog, path),
            Request::Targets => admin::Reply::Targets(status::targets(now, catalog, lead)),
            Request::Members => admin::Reply::Members(admin::api::Members {
                revision: catalog.revision().0.max(self.node.members_index()),
                members: self.members_of(),
            }),
            Request::Status => admin::Reply::Status(admin::api::Status {
                instance: self.settings.instance.to_string(),
                leader: self.node.leader().map(ToString::to_string),
                epoch: self.node.epoch().0,
                revision: catalog.revision().0,
                members: self.members_of(),
                entries: status::entries(now, catalog, lead),
                databases: status::databases(now, catalog, lead),
            }),
            _ => admin::Reply::not_found("the request"),
        }
    }

    fn members_of(&self) -> Vec<admin::api::Member> {
        let members = self.node.members().iter();
        members
            .map(|member| status::member(member, self.node.match_index(member)))
            .collect()
    }

    pub(crate) fn on_read_refused(&mut self, id: u64) {
        if let Some(read) = self.reads.remove(&id) {
            self.refuse(read.call, &Refusal::NotLeader(None));
        }
    }

    /// Whether this instance leads and knows everything that was committed before.
    ///
    /// Refusals come from its catalog without a commit, so it must not have been replaced.
    pub(crate) fn is_current(&self, now: Instant) -> bool {
        self.lead.is_some() && self.node.leader_confirmed(now)
    }

    /// Answers a change that was not even proposed because this instance does not lead.
    pub(crate) fn turn_away(&mut self, call: Call) {
        if self.node.role() == Role::Leader {
            self.answer(call, &admin::Reply::no_quorum());
        } else {
            self.refuse(call, &Refusal::NotLeader(None));
        }
    }

    /// Answers what the replicated log did not take.
    pub(crate) fn refuse(&mut self, call: Call, refusal: &Refusal) {
        let answer = match refusal {
            Refusal::NotLeader(_) => admin::Reply::Elsewhere(self.leader_url(&call.place)),
            Refusal::WriteFailed => admin::Reply::no_quorum(),
            other => admin::Reply::refused(other.to_string()),
        };
        self.answer(call, &answer);
    }

    /// URL of the same request at the leader, if its HTTP address is known.
    fn leader_url(&self, place: &str) -> Option<String> {
        let leader = self.node.leader()?;
        let hello = self.introductions.of(leader.as_str())?;
        Some(format!("http://{}{place}", hello.http))
    }

    /// The change is in the log, but leadership was lost before its commit.
    pub(crate) fn lose_change(&mut self, pending: Pending) {
        self.answer(pending.0, &admin::Reply::unknown());
    }

    /// A change is committed and applied.
    pub(crate) fn answer_change(
        &mut self,
        now: Instant,
        pending: Pending,
        command: &Command,
        outcome: &Outcome,
    ) {
        match reply::of(command, outcome, &self.catalog) {
            Ok(revision) => self.await_entries(now, pending.0, revision),
            Err(answer) => self.answer(pending.0, &answer),
        }
    }

    /// Answers an accepted change once the entries have confirmed it.
    pub(crate) fn await_entries(&mut self, now: Instant, call: Call, revision: Revision) {
        self.confirming.push(Confirming {
            call,
            revision,
            until: now + CONFIRMATION,
        });
        self.confirm(now);
    }

    /// A change of the member list is committed. Entries don't depend on it.
    pub(crate) fn answer_members(&mut self, pending: Pending, index: u64) {
        let answer = reply::accepted(Revision(index), Vec::new());
        self.answer(pending.0, &answer);
    }

    /// Answers the accepted changes that every live entry has confirmed, or that waited enough.
    pub(crate) fn confirm(&mut self, now: Instant) {
        for waiting in std::mem::take(&mut self.confirming) {
            let lead = self.lead.as_ref();
            let live = lead.is_some_and(|lead| lead.is_awaited(now, waiting.revision));
            if live && now < waiting.until {
                self.confirming.push(waiting);
            } else {
                self.answer_confirmed(now, waiting);
            }
        }
    }

    /// Answers all accepted changes, as entries renew with the next leader only.
    pub(crate) fn end_confirmations(&mut self, now: Instant) {
        for waiting in std::mem::take(&mut self.confirming) {
            self.answer_confirmed(now, waiting);
        }
    }

    fn answer_confirmed(&mut self, now: Instant, waiting: Confirming) {
        let Confirming { call, revision, .. } = waiting;
        let enrolled = self.catalog.entries().map(|(name, _)| name);
        let lead = self.lead.as_ref();
        let is_pending =
            |name: &&types::Name| lead.is_none_or(|lead| !lead.has(now, name.as_str(), revision));
        let pending = enrolled.filter(is_pending).map(ToString::to_string);
        let answer = reply::accepted(revision, pending.collect());
        self.answer(call, &answer);
    }

    /// When [`Self::confirm`] is due next.
    pub(crate) fn confirm_at(&self) -> Option<Instant> {
        self.confirming.iter().map(|waiting| waiting.until).min()
    }

    pub(crate) fn answer(&mut self, call: Call, answer: &admin::Reply) {
        if let Some(reason) = reply::refusal(answer) {
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

fn place(path: &str, query: Option<&str>) -> String {
    match query {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    }
}

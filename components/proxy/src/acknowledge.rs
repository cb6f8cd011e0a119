//! Commits whose success is passed on to callers.
//!
//! A primary that is being replaced may still acknowledge commits, through a server that the choice of
//! the next primary did not count. So the success of a commit is held back until the leading
//! coordinator consents: it does while no change of primary is in progress, and has the next primary's
//! log reach what it has consented to.

use std::time::{Duration, Instant};

use registry::history::{History, is_at_or_past};
use registry::{Sample, Watermark};
use types::Point;
use wire::{Advance, Advanced, Subscribe};

use crate::event::SessionKey;
use crate::log_limit::Line;
use crate::process::Loop;
use crate::protocol::Protocol;
use crate::refuse::Reason;
use crate::service::Acknowledged;
use crate::session::{Held, Query, Stage};
use crate::timer::Timer;
use clock::{Clock, Moment};

/// Time limit for the answer to a request for consent.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay before consent is asked for again after it was withheld.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// Requests for consent to pass on commits.
#[derive(Debug, Default)]
pub struct Acknowledgements {
    /// Sessions whose commits are held back, and others that have ended meanwhile.
    held: Vec<SessionKey>,
    /// Number of the last request.
    number: u64,
    /// When it was sent, if its answer is due. An answer that comes later than `ANSWER_TIMEOUT`, which
    /// counts suspended time, may be that of a leader that has been replaced.
    asked_at: Option<Moment>,
    /// When the next request may be sent; `None` if at once.
    next_at: Option<Instant>,
    /// Address and epoch of the leader that was named last.
    leader: (String, u64),
}

impl Acknowledgements {
    /// Gives up the answer that is due, so that the next request is sent at once.
    pub fn forget_request(&mut self) {
        (self.asked_at, self.next_at) = (None, None);
    }
}

impl<P: Protocol, C: Clock> Loop<P, C> {
    /// Holds back the success of a commit. `held` is `None` if its server has named no position: nobody can
    /// tell then whether the next primary has it.
    pub(crate) fn hold(
        &mut self,
        now: Instant,
        key: SessionKey,
        mut query: Query,
        held: Option<Held>,
    ) {
        query.stage = Stage::Held;
        let deadline = query.deadline;
        let Some(session) = self.sessions.get_mut(key) else {
            return;
        };
        session.query = Some(query);
        let is_held = held.is_some();
        session.held = held;
        if !is_held {
            return self.refuse(now, key, Reason::OutcomeUnknown);
        }
        self.acknowledgements.held.push(key);
        self.timers.add(deadline, Timer::Session(key));
    }

    /// Asks for consent to pass on the commits that are held back, and reports those that a new leader
    /// does not know of. One request is under way at a time.
    pub(crate) fn request_consents(&mut self, now: Instant) {
        let sessions = &self.sessions;
        let is_held = |key: &SessionKey| {
            sessions
                .get(*key)
                .is_some_and(|session| session.held.is_some())
        };
        self.acknowledgements.held.retain(is_held);
        let state = &self.acknowledgements;
        let is_new = |key: &SessionKey| {
            let session = sessions.get(*key);
            let held = session.and_then(|session| session.held.as_ref());
            held.is_some_and(|held| held.request.is_none())
        };
        // A commit that was not asked for does not wait for others whose consent is withheld.
        let is_due = state.next_at.is_none_or(|at| at <= now)
            || (state.asked_at.is_none() && state.held.iter().any(is_new));
        if !is_due {
            return;
        }
        let watermarks = self.watermarks();
        if watermarks.is_empty() {
            return;
        }
        let number = self.acknowledgements.number + 1;
        let advance = Advance { number, watermarks };
        let is_sent = self.subscription.send(Subscribe::Advance(advance));
        let state = &mut self.acknowledgements;
        let next_at = now + if is_sent { ANSWER_TIMEOUT } else { RETRY_DELAY };
        state.next_at = Some(next_at);
        state.asked_at = is_sent.then(|| self.clock.moment());
        self.timers.add(next_at, Timer::Consent);
        if !is_sent {
            return;
        }
        state.number = number;
        for key in &state.held {
            let session = self.sessions.get_mut(*key);
            if let Some(held) = session.and_then(|session| session.held.as_mut()) {
                held.request = Some(number);
            }
        }
    }

    /// What to ask for or to report, with one watermark for each server.
    fn watermarks(&self) -> Vec<wire::Watermark> {
        let mark = |server: usize, token: u64, point: Point, passed_on: bool| {
            let server = &self.servers[server];
            Watermark {
                service: self.services[server.service].name.clone(),
                id: server.id.clone(),
                token,
                point,
                passed_on,
            }
        };
        let held = self.acknowledgements.held.iter();
        let held = held.filter_map(|key| self.sessions.get(*key)?.held.as_ref());
        let mut marks: Vec<Watermark> = Vec::new();
        for next in held.map(|held| mark(held.server, held.token, held.least, false)) {
            match marks.iter_mut().find(|known| known.merges_with(&next)) {
                Some(known) => known.raise(&next),
                None => marks.push(next),
            }
        }
        let passed_on = self
            .services
            .iter()
            .filter_map(|service| service.acknowledged);
        let unreported = passed_on.filter(|known| !known.is_reported);
        marks.extend(unreported.map(|known| mark(known.server, known.token, known.least, true)));
        marks.into_iter().map(Into::into).collect()
    }

    /// Handles the answer to a request for consent.
    pub(crate) fn on_consents(&mut self, now: Instant, answer: &Advanced) {
        let moment = self.clock.moment();
        let state = &mut self.acknowledgements;
        let is_due = state
            .asked_at
            .is_some_and(|at| moment.since(at) < ANSWER_TIMEOUT);
        if answer.number != state.number || !is_due {
            return;
        }
        state.forget_request();
        let held = state.held.clone();
        for consent in &answer.consents {
            let Some(service) = self.service_indices.get(&consent.service).copied() else {
                continue;
            };
            if consent.passed_on {
                self.on_reported(service);
                continue;
            }
            for key in &held {
                let session = self.sessions.get(*key);
                let Some(held) = session.and_then(|session| session.held.as_ref()) else {
                    continue;
                };
                let server = &self.servers[held.server];
                let is_covered = server.service == service
                    && server.id == consent.id
                    && held.token == consent.token;
                if is_covered && held.request == Some(answer.number) {
                    self.pass_on(now, *key);
                }
            }
        }
        let asked = |key: &SessionKey| {
            let held = self
                .sessions
                .get(*key)
                .and_then(|session| session.held.as_ref());
            held.is_some_and(|held| held.request.is_some())
        };
        if held.iter().any(asked) {
            let next_at = now + RETRY_DELAY;
            self.acknowledgements.next_at = Some(next_at);
            self.timers.add(next_at, Timer::Consent);
        }
    }

    fn on_reported(&mut self, service: usize) {
        if let Some(acknowledged) = &mut self.services[service].acknowledged {
            acknowledged.is_reported = true;
        }
    }

    /// Handles the name and epoch of the present leader. A new one does not know what was passed on.
    pub(crate) fn on_leader(&mut self, leader: &str, epoch: u64) {
        let (known, known_epoch) = &self.acknowledgements.leader;
        if leader.is_empty() || (known == leader && *known_epoch == epoch) {
            return;
        }
        self.acknowledgements.leader = (leader.to_owned(), epoch);
        // An answer that is still due may be that of the earlier leader.
        self.acknowledgements.forget_request();
        let acknowledged = self.services.iter_mut();
        for known in acknowledged.filter_map(|service| service.acknowledged.as_mut()) {
            known.is_reported = false;
        }
    }

    /// Ends the wait of commits once a later choice of a primary is confirmed. The log of the chosen server
    /// has those that are before its end; whether others are kept is unknown. A choice that is not confirmed
    /// proves nothing: an earlier one may still be carried out.
    pub(crate) fn resolve_held(&mut self, now: Instant) {
        for key in self.acknowledgements.held.clone() {
            let session = self.sessions.get(key);
            let Some(held) = session.and_then(|session| session.held.as_ref()) else {
                continue;
            };
            let server = &self.servers[held.server];
            let name = &self.services[server.service].name;
            let chosen = self.registry.chosen_primary(name);
            if chosen.is_none_or(|chosen| chosen.token <= held.token || !chosen.confirmed) {
                continue;
            }
            let floor = self.registry.history(name).map(History::floor);
            let is_kept = floor
                .is_some_and(|floor| floor.term == held.end.term && is_at_or_past(floor, held.end));
            if is_kept {
                self.pass_on(now, key);
            } else {
                self.refuse(now, key, Reason::OutcomeUnknown);
            }
        }
    }

    /// Passes the success of a commit on to its caller.
    fn pass_on(&mut self, now: Instant, key: SessionKey) {
        let Some(session) = self.sessions.get_mut(key) else {
            return;
        };
        let (Some(held), Some(query)) = (session.held.take(), session.query.take()) else {
            return;
        };
        session.last_commit = Some(Sample {
            point: held.end,
            at: held.sent_at,
        });
        session.out.extend_from_slice(&held.answer);
        let state = session.state();
        P::encode_ready(&mut session.out, state, Some(held.end));
        self.dirty_sessions.push(key);
        self.ready_sessions.push(key);
        self.record_acknowledged(now, &held);
        self.count_outcome(now, &query, held.server, None);
    }

    fn record_acknowledged(&mut self, now: Instant, held: &Held) {
        let server = &self.servers[held.server];
        let service = &mut self.services[server.service];
        let leads = service.primary == Some(held.server);
        let by = if leads { "primary" } else { "former_primary" };
        self.metrics.acknowledged_commits.add(by);
        let known = service.acknowledged;
        if known.is_none_or(|known| !is_at_or_past(known.least, held.least)) {
            service.acknowledged = Some(Acknowledged {
                server: held.server,
                token: held.token,
                least: held.least,
                // The leader consented, or the log of the chosen server has the commit.
                is_reported: true,
            });
        }
        if !leads && self.log_limiter.allows(now, Line::Failed) {
            tracing::info!(
                service = service.name,
                server = server.id,
                point = ?(held.end.term.0, held.end.lsn.0),
                "passed on a commit of a former primary that the chosen one has"
            );
        }
    }

    /// Reports commits that were passed on and that the log of a newly chosen primary lacks.
    pub(crate) fn report_commits_beyond_choice(&self, index: usize) {
        let service = &self.services[index];
        let floor = self.registry.history(&service.name).map(History::floor);
        let (Some(acknowledged), Some(floor)) = (service.acknowledged, floor) else {
            return;
        };
        let least = acknowledged.least;
        if !is_at_or_past(floor, least) {
            self.metrics.commits_beyond_choice.inc();
            tracing::warn!(
                service = service.name,
                acknowledged = ?(least.term.0, least.lsn.0),
                log_end = ?(floor.term.0, floor.lsn.0),
                "the log of the chosen primary ends before a commit that was passed on"
            );
        }
    }
}

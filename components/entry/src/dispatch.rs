//! Dispatch of complete batches: to a target, to an answer of the entry itself, or to a refusal.

use std::time::Instant;

use pg::Severity;
use route::{Choice, Kind, Request, View};
use session::Needs;
use types::Term;

use crate::batch::{self, Batch, End};
use crate::caller::{Caller, Job, State};
use crate::event::CallerKey;
use crate::event_loop::Loop;
use crate::timer::Timer;

const MAX_REQUEST_ID_BYTES: usize = 200;

impl Loop {
    /// Starts a caller's next batch if it is complete.
    pub(crate) fn advance(&mut self, now: Instant, key: CallerKey) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        if !matches!(caller.state, State::Idle) {
            return;
        }
        if caller.closing {
            // The flush removes the caller once its last bytes have been passed to its socket.
            return self.dirty_callers.push(key);
        }
        let next = batch::next(
            &caller.inbox,
            self.settings.max_frame,
            &caller.statement_names,
            &self.statements,
            &mut self.class_cache,
        );
        match next {
            Ok(None) => {
                caller.handle.resume();
                if self.stop.is_some() && caller.is_idle() {
                    self.end_session(key);
                }
            }
            Ok(Some(batch)) if batch.end == End::Terminate => self.remove_caller(now, key),
            Ok(Some(batch)) => self.dispatch(now, key, batch),
            Err(invalid) => {
                self.metrics.common.refusals.add("invalid_frame");
                pg::error_response(
                    &mut caller.out,
                    Severity::Fatal,
                    "08P01",
                    &invalid.to_string(),
                );
                caller.closing = true;
                caller.inbox.clear();
                self.dirty_callers.push(key);
            }
        }
    }

    pub(crate) fn dispatch(&mut self, now: Instant, key: CallerKey, batch: Batch) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let transaction_lost = caller.transaction.is_some() && caller.bound_conn.is_none();
        let needs_target = batch.summary.needs_target || batch.summary.uses_portal;
        if transaction_lost {
            return self.answer_in_lost_transaction(key, &batch);
        }
        if !needs_target && !caller.unsynced {
            return self.answer_locally(key, &batch);
        }
        if let Some(Refusal { label, code, text }) = check_batch(caller, &batch) {
            return self.refuse_batch(key, &batch, label, code, &text);
        }
        let settings = self
            .databases
            .get(&caller.database)
            .map(|d| d.settings)
            .unwrap_or_default();
        let job = Job {
            batch,
            replica_deadline: now + settings.read_wait,
            deadline: now + settings.queue_wait,
            retries: 0,
        };
        match caller.bound_conn {
            Some(conn) => self.continue_transaction(now, key, conn, job),
            None => self.route(now, key, job),
        }
    }

    /// Chooses a target for a batch, or makes it wait for one.
    pub(crate) fn route(&mut self, now: Instant, key: CallerKey, job: Job) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let Some(database) = self.databases.get_mut(&caller.database) else {
            return;
        };
        let summary = &job.batch.summary;
        let kind = match summary.begins {
            Some(read_only) => Kind::Begin {
                read_only: read_only && !summary.writes,
            },
            None if summary.writes => Kind::Write,
            None => Kind::Read,
        };
        let request = Request {
            kind,
            needs: Needs::of(&caller.session, &caller.database, &database.history),
            max_age: Some(caller.max_age.unwrap_or(database.settings.max_age)),
            bound_target: None,
            wait_until: job.replica_deadline,
            deadline: job.deadline,
        };
        database.candidates.clear();
        for index in &database.targets {
            let candidate = self.targets[*index].candidate(
                *index,
                &self.settings.domain,
                database.settings.silence_limit,
                now,
            );
            database.candidates.push(candidate);
        }
        let view = View {
            candidates: &database.candidates,
            primary_positions: &database.primary_positions,
            term: database.history.current().unwrap_or(Term(0)),
            phase: database.phase,
            has_lease: self.control.lease().is_valid(now),
        };
        match route::choose(&view, &request, now, &mut self.rng) {
            Choice::Target(index) => self.submit(now, key, index, job),
            Choice::Wait { until, probe } => {
                database.waiting_callers.push(key);
                self.timers
                    .add(until, Timer::Routing(caller.database.clone()));
                caller.state = State::Routing(job);
                if let Some(index) = probe {
                    self.probe_soon(now, index);
                }
            }
            Choice::Refuse(reason) => {
                let batch = job.batch;
                let (label, code) = (reason.label(), reason.sqlstate());
                self.refuse_batch(key, &batch, label, code, &reason.to_string());
            }
        }
    }

    /// Routes the waiting batches of a database again after a change that may make a target
    /// eligible.
    pub(crate) fn reroute(&mut self, now: Instant, database: &types::Name) {
        let Some(state) = self.databases.get_mut(database) else {
            return;
        };
        for key in std::mem::take(&mut state.waiting_callers) {
            let Some(caller) = self.callers.get_mut(key) else {
                continue;
            };
            match std::mem::replace(&mut caller.state, State::Idle) {
                State::Routing(job) => self.route(now, key, job),
                state => caller.state = state,
            }
        }
    }

    /// Removes a caller's waiting batch from its database or queue.
    pub(crate) fn withdraw(&mut self, key: CallerKey) {
        let Some(caller) = self.callers.get(key) else {
            return;
        };
        match &caller.state {
            State::Routing(_) => {
                if let Some(database) = self.databases.get_mut(&caller.database) {
                    database.waiting_callers.retain(|waiting| *waiting != key);
                }
            }
            State::Queued(_, index, ticket) => {
                let target = &mut self.targets[*index];
                target.queue.cancel(*ticket);
                target.queued_callers.remove(ticket);
            }
            State::Idle | State::Running(_) | State::Acknowledging => {}
        }
    }
}

/// Why a batch is refused before a target is chosen.
struct Refusal {
    label: &'static str,
    code: &'static str,
    text: String,
}

/// Checks whether a batch can run on a shared connection.
fn check_batch(caller: &Caller, batch: &Batch) -> Option<Refusal> {
    let summary = &batch.summary;
    let refusal = |label, code, text: &str| {
        let text = format!("not run: {text}");
        Some(Refusal { label, code, text })
    };
    if summary.builtin.is_some() || summary.request_id.is_some() && summary.statement_count > 1 {
        let text = "a statement about limpettally's parameters goes alone";
        return refusal("local_mixed", "0A000", text);
    }
    if let Some(id) = &summary.request_id {
        if batch.end != End::Simple {
            return refusal(
                "request_id",
                "0A000",
                "a request id is set by a simple query",
            );
        }
        if caller.transaction.is_none() {
            let text = "a request id belongs to a transaction, begin one first";
            return refusal("request_id", "25P01", text);
        }
        if id.is_empty() || id.len() > MAX_REQUEST_ID_BYTES {
            let text = format!("a request id has 1 to {MAX_REQUEST_ID_BYTES} bytes");
            return refusal("request_id", "22023", &text);
        }
    }
    let binding = summary.session_binding?;
    if binding == sql::Binding::Sequence && caller.transaction.is_some() {
        return None;
    }
    let text =
        format!("{binding:?} needs a connection of its own, and target connections are shared");
    refusal("session_bound", "0A000", &text)
}

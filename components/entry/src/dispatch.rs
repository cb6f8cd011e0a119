//! From a complete batch to a target connection.

use std::time::Instant;

use pg::Severity;
use route::{Choice, Kind, Request, View};
use session::Needs;
use types::Term;

use crate::batch::{self, Batch, End};
use crate::caller::{Caller, State, Wait};
use crate::event::CallerKey;
use crate::event_loop::Loop;
use crate::timer::Timer;

/// Longest request id, in bytes.
const MAX_REQUEST_ID: usize = 200;

impl Loop {
    /// Starts a caller's next batch if it has a complete one.
    pub(crate) fn advance(&mut self, now: Instant, key: CallerKey) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        if !matches!(caller.state, State::Idle) {
            return;
        }
        if caller.closing {
            // Removed by the flush, once its last bytes are with its socket.
            return self.dirty_callers.push(key);
        }
        let next = batch::next(
            &caller.inbox,
            self.settings.max_frame,
            &caller.names,
            &self.statements,
            &mut self.cache,
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
        let lost = caller.transaction.is_some() && caller.bound.is_none();
        let target = batch.work.target || batch.work.portal;
        if lost {
            return self.answer_lost(key, &batch);
        }
        if !target && !caller.unsynced {
            return self.answer_locally(key, &batch);
        }
        if let Some(Objection { label, code, text }) = objection(caller, &batch) {
            return self.refuse_batch(key, &batch, label, code, &text);
        }
        let settings = self
            .databases
            .get(&caller.database)
            .map(|d| d.settings)
            .unwrap_or_default();
        let wait = Wait {
            batch,
            wait_until: now + settings.read_wait,
            deadline: now + settings.queue_wait,
            retries: 0,
        };
        match caller.bound {
            Some(conn) => self.continue_on(now, key, conn, wait),
            None => self.route(now, key, wait),
        }
    }

    /// Chooses a target for a batch, or lets it wait for one.
    pub(crate) fn route(&mut self, now: Instant, key: CallerKey, wait: Wait) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let Some(database) = self.databases.get_mut(&caller.database) else {
            return;
        };
        let work = &wait.batch.work;
        let kind = match work.begins {
            Some(read_only) => Kind::Begin {
                read_only: read_only && !work.writes,
            },
            None if work.writes => Kind::Write,
            None => Kind::Read,
        };
        let request = Request {
            kind,
            needs: Needs::of(&caller.session, &caller.database, &database.history),
            max_age: Some(caller.max_age.unwrap_or(database.settings.max_age)),
            bound_target: None,
            wait_until: wait.wait_until,
            deadline: wait.deadline,
        };
        database.candidates.clear();
        for index in &database.servers {
            let candidate = self.servers[*index].candidate(
                *index,
                &self.settings.domain,
                database.settings.detect,
                now,
            );
            database.candidates.push(candidate);
        }
        let view = View {
            candidates: &database.candidates,
            primary_positions: &database.track,
            term: database.history.current().unwrap_or(Term(0)),
            phase: database.phase,
            has_lease: self.control.lease().is_valid(now),
        };
        match route::choose(&view, &request, now, &mut self.rng) {
            Choice::Target(server) => self.submit(now, key, server, wait),
            Choice::Wait { until, watch } => {
                database.routing.push(key);
                self.timers
                    .add(until, Timer::Routing(caller.database.clone()));
                caller.state = State::Routing(wait);
                if let Some(server) = watch {
                    self.watch_soon(now, server);
                }
            }
            Choice::Refuse(reason) => {
                let batch = wait.batch;
                let (label, code) = (reason.label(), reason.sqlstate());
                self.refuse_batch(key, &batch, label, code, &reason.to_string());
            }
        }
    }

    /// Routes the statements of a database that wait, as something they wait for has changed.
    pub(crate) fn reroute(&mut self, now: Instant, database: &types::Name) {
        let Some(state) = self.databases.get_mut(database) else {
            return;
        };
        for key in std::mem::take(&mut state.routing) {
            let Some(caller) = self.callers.get_mut(key) else {
                continue;
            };
            match std::mem::replace(&mut caller.state, State::Idle) {
                State::Routing(wait) => self.route(now, key, wait),
                state => caller.state = state,
            }
        }
    }

    /// Takes a caller's waiting batch out of where it waits.
    pub(crate) fn withdraw(&mut self, key: CallerKey) {
        let Some(caller) = self.callers.get(key) else {
            return;
        };
        match &caller.state {
            State::Routing(_) => {
                if let Some(database) = self.databases.get_mut(&caller.database) {
                    database.routing.retain(|waiting| *waiting != key);
                }
            }
            State::Queued(_, index, ticket) => {
                let server = &mut self.servers[*index];
                server.queue.cancel(*ticket);
                server.tickets.remove(ticket);
            }
            State::Idle | State::Running(_) | State::Acknowledging => {}
        }
    }
}

/// Why a batch is refused before a target is chosen.
struct Objection {
    label: &'static str,
    code: &'static str,
    text: String,
}

/// What keeps a batch from being relayed over shared connections.
fn objection(caller: &Caller, batch: &Batch) -> Option<Objection> {
    let work = &batch.work;
    let object = |label, code, text: &str| {
        let text = format!("not run: {text}");
        Some(Objection { label, code, text })
    };
    if work.local.is_some() || work.request.is_some() && work.statements > 1 {
        let text = "a statement about limpettally's parameters goes alone";
        return object("local_mixed", "0A000", text);
    }
    if let Some(id) = &work.request {
        if batch.end != End::Simple {
            return object(
                "request_id",
                "0A000",
                "a request id is set by a simple query",
            );
        }
        if caller.transaction.is_none() {
            let text = "a request id belongs to a transaction, begin one first";
            return object("request_id", "25P01", text);
        }
        if id.is_empty() || id.len() > MAX_REQUEST_ID {
            let text = format!("a request id has 1 to {MAX_REQUEST_ID} bytes");
            return object("request_id", "22023", &text);
        }
    }
    let binding = work.bound?;
    if binding == sql::SessionBinding::Sequence && caller.transaction.is_some() {
        return None;
    }
    let text =
        format!("{binding:?} needs a connection of its own, and target connections are shared");
    object("session_bound", "0A000", &text)
}

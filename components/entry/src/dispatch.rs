//! From a complete batch to a target connection.

use std::time::{Duration, Instant};

use bytes::Buf as _;
use pg::{Frames, Severity, Status};
use pool::{Class, Event as QueueEvent, Key, Work as QueueWork, connection, queue};
use route::{Choice, Kind, Request, View};
use session::Needs;
use tokio::task::spawn_local;
use types::Term;

use crate::batch::{self, Batch, End, Own};
use crate::caller::{Caller, State, Wait, Weight};
use crate::event::{CallerKey, ConnKey, Event};
use crate::process::Loop;
use crate::server::{Conn, Use};
use crate::timer::Due;
use crate::{back, own};

/// Time for opening a connection to a target.
const OPEN_LIMIT: Duration = Duration::from_secs(2);
/// Longest request id, in bytes.
const MAX_REQUEST_ID: usize = 200;
/// SQLSTATE of statements in a failed transaction.
const IN_FAILED_TRANSACTION: &str = "25P02";

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
            // Removed by the flush, once what it was told last is with its socket.
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
                if self.stop_at.is_some() && caller.is_idle() {
                    self.dismiss(now, key);
                }
            }
            Ok(Some(batch)) if batch.end == End::Terminate => self.remove_caller(now, key),
            Ok(Some(batch)) => self.dispatch(now, key, batch),
            Err(invalid) => {
                self.metrics.common.refusals.add("invalid_frame");
                pg::error(
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

    fn dispatch(&mut self, now: Instant, key: CallerKey, batch: Batch) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let lost = caller.transaction.is_some() && caller.bound.is_none();
        let target = batch.work.target || batch.work.portal;
        if lost {
            return self.answer_lost(now, key, &batch);
        }
        if !target && !caller.unsynced {
            return self.answer_own(now, key, &batch);
        }
        if let Some(Objection { label, code, text }) = objection(caller, &batch) {
            return self.refuse_batch(now, key, &batch, label, code, &text);
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
            bound: None,
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
            track: &database.track,
            term: database.history.current().unwrap_or(Term(0)),
            phase: database.phase,
            lease: self.control.lease().valid(now),
        };
        match route::choose(&view, &request, now, &mut self.rng) {
            Choice::Target(server) => self.submit(now, key, server, wait),
            Choice::Wait { until, watch } => {
                database.routing.push(key);
                self.timers
                    .add(until, Due::Routing(caller.database.clone()));
                caller.state = State::Routing(wait);
                if let Some(server) = watch {
                    self.watch_soon(now, server);
                }
            }
            Choice::Refuse(reason) => {
                let batch = wait.batch;
                let (label, code) = (reason.label(), reason.sqlstate());
                self.refuse_batch(now, key, &batch, label, code, &reason.to_string());
            }
        }
    }

    fn submit(&mut self, now: Instant, key: CallerKey, index: usize, wait: Wait) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let server = &mut self.servers[index];
        let class = match caller.weight {
            Weight::Interactive => Class::Interactive,
            Weight::Batch => Class::Batch,
        };
        let work = QueueWork {
            key: Key(wait.batch.work.fingerprint),
            class,
            deadline: wait.deadline,
        };
        match server.queue.submit(work, &server.shapes, now) {
            Ok(ticket) => {
                server.tickets.insert(ticket, key);
                caller.state = State::Queued(wait, index, ticket);
                self.pumped.push(index);
            }
            Err(refusal) => {
                let (label, code) = (refusal.label(), refusal.sqlstate());
                self.refuse_batch(now, key, &wait.batch, label, code, &refusal.to_string());
            }
        }
    }

    /// Starts what a target's queue allows and opens connections for the rest.
    pub(crate) fn pump(&mut self, now: Instant, index: usize) {
        let server = &mut self.servers[index];
        let mut events = Vec::new();
        let idle = server.pool.count().idle as usize;
        server
            .queue
            .schedule(idle, &mut server.shapes, now, &mut events);
        for event in events {
            match event {
                QueueEvent::Start(ticket) => self.start(now, index, ticket),
                QueueEvent::Refuse(ticket, refusal) => {
                    self.refuse_ticket(now, index, ticket, refusal)
                }
            }
        }
        let server = &mut self.servers[index];
        let waiting = u32::try_from(server.queue.waiting()).unwrap_or(u32::MAX);
        let mut actions = Vec::new();
        server.pool.on_time(now, &mut actions);
        if waiting > 0 {
            server.pool.on_demand(waiting, now, &mut actions);
        }
        let due = [server.queue.deadline(), server.pool.deadline(now)];
        if let Some(at) = due.into_iter().flatten().min()
            && server.due_at.is_none_or(|due_at| at < due_at)
        {
            server.due_at = Some(at);
            self.timers.add(at, Due::Queue(index));
        }
        self.act_on_pool(now, index, actions);
    }

    pub(crate) fn act_on_pool(
        &mut self,
        now: Instant,
        index: usize,
        actions: Vec<connection::Action>,
    ) {
        for action in actions {
            match action {
                connection::Action::Open(id) => {
                    let key = self.open(index, Use::Pool(id));
                    self.servers[index].conns.insert(id, key);
                }
                connection::Action::Close(id) => {
                    let key = self.servers[index].conns.get(&id).copied();
                    match key {
                        Some(key) => self.drop_conn(now, key),
                        None => self.servers[index].pool.on_closed(id),
                    }
                }
            }
        }
    }

    /// Starts opening a connection.
    pub(crate) fn open(&mut self, index: usize, purpose: Use) -> ConnKey {
        let key = self
            .conns
            .insert(Conn::new(index, purpose, crate::process::now()));
        let server = &self.servers[index];
        let (address, database) = (server.address, server.database.clone());
        let (user, events) = (self.settings.target_user.clone(), self.events.clone());
        spawn_local(async move {
            let opened = back::open(address, &user, database.as_str(), OPEN_LIMIT).await;
            let _ended = events.send(Event::Opened(key, opened.map(Box::new))).await;
        });
        key
    }

    fn refuse_ticket(
        &mut self,
        now: Instant,
        index: usize,
        ticket: pool::Ticket,
        refusal: queue::Refusal,
    ) {
        let Some(key) = self.servers[index].tickets.remove(&ticket) else {
            return;
        };
        let (label, code) = (refusal.label(), refusal.sqlstate());
        self.refuse(now, key, label, code, &refusal.to_string());
    }

    /// Gives a waiting statement an idle connection.
    fn start(&mut self, now: Instant, index: usize, ticket: pool::Ticket) {
        let server = &mut self.servers[index];
        let key = server.tickets.remove(&ticket);
        let taken = server.pool.take();
        let conn = taken.and_then(|id| server.conns.get(&id).copied());
        let (Some(key), Some(conn_key)) = (key, conn) else {
            server.queue.abandon(ticket);
            return;
        };
        let Some(caller) = self.callers.get_mut(key) else {
            server.queue.abandon(ticket);
            return;
        };
        let State::Queued(wait, ..) = std::mem::replace(&mut caller.state, State::Idle) else {
            server.queue.abandon(ticket);
            return;
        };
        if let Some(conn) = self.conns.get_mut(conn_key) {
            conn.ticket = Some(ticket);
        }
        self.run(now, key, conn_key, wait);
    }

    /// Goes on with the transaction that a connection is bound to.
    fn continue_on(&mut self, now: Instant, key: CallerKey, conn_key: ConnKey, wait: Wait) {
        if let Some(conn) = self.conns.get_mut(conn_key) {
            let server = &mut self.servers[conn.server];
            let shape = Key(wait.batch.work.fingerprint);
            if conn.ticket.is_none() {
                conn.ticket = Some(server.queue.start_bound(shape, &server.shapes, now));
            }
        }
        self.run(now, key, conn_key, wait);
    }

    /// Sends a batch on a connection that belongs to its caller from here on.
    fn run(&mut self, now: Instant, key: CallerKey, conn_key: ConnKey, wait: Wait) {
        let (Some(caller), Some(conn)) = (self.callers.get_mut(key), self.conns.get_mut(conn_key))
        else {
            return;
        };
        let batch = &wait.batch;
        let mut exchange = conn.exchange.take().unwrap_or_default();
        exchange.begin();
        let bytes = caller.inbox.split_to(batch.length);
        if let Some(text) = set_up(&mut conn.parameters, &caller.parameters) {
            exchange.set_up(&text, &mut conn.out);
        }
        let substitute = batch
            .work
            .request
            .as_deref()
            .filter(|_| batch.end == End::Simple);
        if let Some(id) = substitute {
            exchange.substitute(&record(id), pg::SET_COMPLETE, &mut conn.out);
        }
        for frame in Frames::new(&bytes, usize::MAX)
            .flatten()
            .filter(|_| substitute.is_none())
        {
            let sent = exchange.request(
                frame,
                &mut caller.names,
                &mut self.statements,
                &mut conn.prepared,
                &mut conn.out,
            );
            // Every frame was checked when the batch was found.
            debug_assert!(sent.is_ok(), "request: {sent:?}");
        }
        conn.caller = Some(key);
        conn.forwarded = false;
        conn.started = now;
        self.budget.on_request(now);
        // A target that skips to the caller's next Sync would skip the position query too.
        if caller.may_commit(batch) && !exchange.is_skipping() {
            exchange.hold();
            exchange.ask_position(&mut conn.out);
        }
        if exchange.add_own(&mut caller.out).is_ok() && !caller.out.is_empty() {
            self.dirty_callers.push(key);
        }
        let done = exchange.is_done();
        conn.exchange = Some(exchange);
        conn.replay = wait
            .batch
            .work
            .is_repeatable(caller.transaction.is_some())
            .then_some(bytes);
        caller.state = State::Running(conn_key);
        conn.wait = Some(wait);
        self.dirty_conns.push(conn_key);
        if done {
            self.finish(now, conn_key);
        }
    }

    // --- Answers without a target -----------------------------------------------------------------

    fn answer_own(&mut self, _now: Instant, key: CallerKey, batch: &Batch) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let bytes = caller.inbox.split_to(batch.length);
        let frames = Frames::new(&bytes, usize::MAX);
        let status = caller.status;
        let own = batch.work.own.clone().unwrap_or(Own::Rollback);
        let mut out = caller.out.split();
        let mut names = std::mem::take(&mut caller.names);
        let mut view = caller.view(&self.signer);
        own::answer(
            frames,
            &own,
            &mut view,
            &mut names,
            &mut self.statements,
            status,
            &mut out,
        );
        caller.names = names;
        caller.out.unsplit(out);
        self.dirty_callers.push(key);
        self.ready.push(key);
    }

    /// Answers a batch in a transaction whose target was lost: only its end is accepted, so that no
    /// later statement runs outside the transaction that its caller believes to be in.
    fn answer_lost(&mut self, now: Instant, key: CallerKey, batch: &Batch) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        if batch.work.commits || batch.work.rolls_back {
            caller.transaction = None;
            caller.status = Status::Idle;
            let mut batch = batch.clone();
            batch.work.own = Some(Own::Rollback);
            return self.answer_own(now, key, &batch);
        }
        if batch.work.statements == 0 {
            return self.answer_own(now, key, batch);
        }
        let text =
            "current transaction is aborted: its target was lost, and nothing of it was kept";
        self.refuse_batch(
            now,
            key,
            batch,
            "transaction_lost",
            IN_FAILED_TRANSACTION,
            text,
        );
    }

    /// Refuses a caller's waiting batch as not run.
    pub(crate) fn refuse(
        &mut self,
        now: Instant,
        key: CallerKey,
        label: &'static str,
        code: &str,
        text: &str,
    ) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        match std::mem::replace(&mut caller.state, State::Idle) {
            State::Routing(wait) | State::Queued(wait, ..) => {
                self.refuse_batch(now, key, &wait.batch, label, code, text);
            }
            state => caller.state = state,
        }
    }

    /// Refuses a batch at the front of a caller's buffer as not run.
    pub(crate) fn refuse_batch(
        &mut self,
        _now: Instant,
        key: CallerKey,
        batch: &Batch,
        label: &'static str,
        code: &str,
        text: &str,
    ) {
        self.metrics.common.refusals.add(label);
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        caller.inbox.advance(batch.length);
        pg::error(&mut caller.out, Severity::Error, code, text);
        if caller.transaction.is_some() {
            caller.status = Status::Failed;
        }
        if batch.end == End::Flush {
            // The rest up to the Sync is skipped, as a server does after an error.
            caller.skip_to_sync(self.settings.max_frame);
        } else {
            pg::ready(&mut caller.out, caller.status);
        }
        caller.state = State::Idle;
        self.dirty_callers.push(key);
        self.ready.push(key);
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
    if work.own.is_some() || work.request.is_some() && work.statements > 1 {
        let text = "a statement about limpettally's parameters goes alone";
        return object("own_mixed", "0A000", text);
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
    if binding == sql::Binding::Sequence && caller.transaction.is_some() {
        return None;
    }
    let text =
        format!("{binding:?} needs a connection of its own, and target connections are shared");
    object("session_bound", "0A000", &text)
}

/// Statement that records a request id in the transaction that the request belongs to, so that a
/// second attempt fails with 23505 whether or not an entry remembers the first.
fn record(id: &str) -> String {
    format!(
        "INSERT INTO limpettally_requests (id) VALUES ('{}')",
        id.replace('\'', "''")
    )
}

/// Statements that give a connection the parameters of its next caller, if they differ.
fn set_up(present: &mut Vec<(String, String)>, wanted: &[(String, String)]) -> Option<String> {
    if present == wanted {
        return None;
    }
    let quote = |text: &str| text.replace('\'', "''");
    let mut text = String::new();
    for (name, _) in present
        .iter()
        .filter(|(name, _)| !wanted.iter().any(|(w, _)| w == name))
    {
        text.push_str(&format!("RESET {name};"));
    }
    for (name, value) in wanted {
        text.push_str(&format!("SET {name} = '{}';", quote(value)));
    }
    *present = wanted.to_vec();
    Some(text)
}

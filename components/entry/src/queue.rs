//! Queues of targets, their connections, and the start of a batch on one of them.

use std::time::{Duration, Instant};

use pg::Frames;
use pool::{Event as QueueEvent, ServiceClass, ShapeKey, Submission, connection, queue};
use tokio::task::spawn_local;

use crate::batch::End;
use crate::caller::{State, Wait, Weight};
use crate::connect;
use crate::event::{CallerKey, ConnKey, Event};
use crate::event_loop::Loop;
use crate::server::{Conn, Purpose};
use crate::timer::Timer;

/// Time for opening a connection to a target.
const OPEN_LIMIT: Duration = Duration::from_secs(2);

impl Loop {
    pub(crate) fn submit(&mut self, now: Instant, key: CallerKey, index: usize, wait: Wait) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let server = &mut self.servers[index];
        let class = match caller.weight {
            Weight::Interactive => ServiceClass::Interactive,
            Weight::Batch => ServiceClass::Batch,
        };
        let work = Submission {
            key: ShapeKey(wait.batch.work.fingerprint),
            class,
            deadline: wait.deadline,
        };
        match server.queue.submit(work, &self.shapes, now) {
            Ok(ticket) => {
                server.tickets.insert(ticket, key);
                if server.lacks_long_slot(work.key, &self.shapes) {
                    self.control.renew_soon(now);
                }
                caller.state = State::Queued(wait, index, ticket);
                self.due_queues.push(index);
            }
            Err(refusal) => {
                let (label, code) = (refusal.label(), refusal.sqlstate());
                self.refuse_batch(key, &wait.batch, label, code, &refusal.to_string());
            }
        }
    }

    /// Starts what a target's queue allows and opens connections for the rest.
    pub(crate) fn schedule(&mut self, now: Instant, index: usize) {
        let server = &mut self.servers[index];
        let mut events = Vec::new();
        let idle = server.pool.count().idle as usize;
        server
            .queue
            .schedule(idle, &mut self.shapes, now, &mut events);
        for event in events {
            match event {
                QueueEvent::Start(ticket) => self.start(now, index, ticket),
                QueueEvent::Refuse(ticket, refusal) => self.refuse_ticket(index, ticket, refusal),
            }
        }
        let server = &mut self.servers[index];
        let waiting = u32::try_from(server.queue.waiting()).unwrap_or(u32::MAX);
        let mut actions = Vec::new();
        server.pool.on_timer(now, &mut actions);
        if waiting > 0 {
            server.pool.on_demand(waiting, now, &mut actions);
        }
        let due = [server.queue.deadline(), server.pool.deadline(now)];
        if let Some(at) = due.into_iter().flatten().min()
            && server.due_at.is_none_or(|due_at| at < due_at)
        {
            server.due_at = Some(at);
            self.timers.add(at, Timer::Queue(index));
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
                    let key = self.open(index, Purpose::Pool(id));
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
    pub(crate) fn open(&mut self, index: usize, purpose: Purpose) -> ConnKey {
        let key = self
            .conns
            .insert(Conn::new(index, purpose, crate::event_loop::now()));
        let server = &self.servers[index];
        let (address, database) = (server.address, server.database.clone());
        let (user, events) = (self.settings.target_user.clone(), self.events.clone());
        spawn_local(async move {
            let opened = connect::open(address, &user, database.as_str(), OPEN_LIMIT).await;
            let _ended = events.send(Event::Opened(key, opened.map(Box::new))).await;
        });
        key
    }

    pub(crate) fn refuse_ticket(
        &mut self,
        index: usize,
        ticket: pool::Ticket,
        refusal: queue::Refusal,
    ) {
        let Some(key) = self.servers[index].tickets.remove(&ticket) else {
            return;
        };
        let (label, code) = (refusal.label(), refusal.sqlstate());
        self.refuse(key, label, code, &refusal.to_string());
    }

    /// Gives a waiting statement an idle connection.
    pub(crate) fn start(&mut self, now: Instant, index: usize, ticket: pool::Ticket) {
        let server = &mut self.servers[index];
        let key = server.tickets.remove(&ticket);
        let taken = server.pool.acquire();
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
    pub(crate) fn continue_on(
        &mut self,
        now: Instant,
        key: CallerKey,
        conn_key: ConnKey,
        wait: Wait,
    ) {
        if let Some(conn) = self.conns.get_mut(conn_key) {
            let server = &mut self.servers[conn.server];
            let shape = ShapeKey(wait.batch.work.fingerprint);
            if conn.ticket.is_none() {
                conn.ticket = Some(server.queue.start_in_transaction(shape, &self.shapes, now));
            }
        }
        self.run(now, key, conn_key, wait);
    }

    /// Sends a batch on a connection that belongs to its caller from here on.
    pub(crate) fn run(&mut self, now: Instant, key: CallerKey, conn_key: ConnKey, wait: Wait) {
        let (Some(caller), Some(conn)) = (self.callers.get_mut(key), self.conns.get_mut(conn_key))
        else {
            return;
        };
        let batch = &wait.batch;
        let mut exchange = conn.exchange.take().unwrap_or_default();
        exchange.begin_batch();
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
        if wait.retries == 0 {
            self.budget.on_request(now);
        }
        // A target that skips to the caller's next Sync would skip the position query too.
        if caller.may_commit(batch) && !exchange.is_skipping() {
            exchange.hold_completions();
            exchange.query_position(&mut conn.out);
        }
        // Answers of the entry's own go with the target's first one, so that nothing has been passed
        // on when the batch has to be sent again. A flushed batch may have no other answers.
        if batch.end == End::Flush
            && exchange.emit_generated(&mut caller.out).is_ok()
            && !caller.out.is_empty()
        {
            conn.forwarded = true;
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

//! Queues and connection pools of targets, and sending a batch on a connection.

use std::time::{Duration, Instant};

use pg::Frames;
use pool::{Class, Event as QueueEvent, Key, Submission, connection, queue};
use tokio::task::spawn_local;

use crate::batch::End;
use crate::caller::{Job, State, Weight};
use crate::connect;
use crate::event::{CallerKey, ConnKey, Event};
use crate::event_loop::Loop;
use crate::target::{Conn, Purpose};
use crate::timer::Timer;

/// Time limit for opening a connection to a target.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

impl Loop {
    pub(crate) fn submit(&mut self, now: Instant, key: CallerKey, index: usize, job: Job) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let target = &mut self.targets[index];
        let class = match caller.weight {
            Weight::Interactive => Class::Interactive,
            Weight::Batch => Class::Batch,
        };
        let submission = Submission {
            key: Key(job.batch.summary.fingerprint),
            class,
            deadline: job.deadline,
        };
        match target.queue.submit(submission, &self.service_times, now) {
            Ok(ticket) => {
                target.queued_callers.insert(ticket, key);
                if target.lacks_long_slot(submission.key, &self.service_times) {
                    self.control.renew_soon(now);
                }
                caller.state = State::Queued(job, index, ticket);
                self.due_queues.push(index);
            }
            Err(refusal) => {
                let (label, code) = (refusal.label(), refusal.sqlstate());
                self.refuse_batch(key, &job.batch, label, code, &refusal.to_string());
            }
        }
    }

    /// Starts the batches that a target's queue allows, and opens connections for the others.
    pub(crate) fn schedule(&mut self, now: Instant, index: usize) {
        let target = &mut self.targets[index];
        let mut events = Vec::new();
        let idle = target.pool.count().idle as usize;
        target
            .queue
            .schedule(idle, &mut self.service_times, now, &mut events);
        for event in events {
            match event {
                QueueEvent::Start(ticket) => self.start_queued(now, index, ticket),
                QueueEvent::Refuse(ticket, refusal) => self.refuse_ticket(index, ticket, refusal),
            }
        }
        let target = &mut self.targets[index];
        let waiting = u32::try_from(target.queue.waiting()).unwrap_or(u32::MAX);
        let mut actions = Vec::new();
        target.pool.on_timer(now, &mut actions);
        if waiting > 0 {
            target.pool.on_demand(waiting, now, &mut actions);
        }
        let due = [target.queue.deadline(), target.pool.deadline(now)];
        if let Some(at) = due.into_iter().flatten().min()
            && target
                .queue_due_at
                .is_none_or(|queue_due_at| at < queue_due_at)
        {
            target.queue_due_at = Some(at);
            self.timers.add(at, Timer::Queue(index));
        }
        self.apply_pool_actions(now, index, actions);
    }

    pub(crate) fn apply_pool_actions(
        &mut self,
        now: Instant,
        index: usize,
        actions: Vec<connection::Action>,
    ) {
        for action in actions {
            match action {
                connection::Action::Open(id) => {
                    let key = self.open_conn(index, Purpose::Pool(id));
                    self.targets[index].conns.insert(id, key);
                }
                connection::Action::Close(id) => {
                    let key = self.targets[index].conns.get(&id).copied();
                    match key {
                        Some(key) => self.terminate_conn(now, key),
                        None => self.targets[index].pool.on_closed(id),
                    }
                }
            }
        }
    }

    /// Opens a connection in a task of its own.
    pub(crate) fn open_conn(&mut self, index: usize, purpose: Purpose) -> ConnKey {
        let key = self
            .conns
            .insert(Conn::new(index, purpose, crate::event_loop::now()));
        let target = &self.targets[index];
        let (address, database) = (target.address, target.database.clone());
        let (user, events) = (self.settings.target_user.clone(), self.events.clone());
        spawn_local(async move {
            let opened = connect::open(address, &user, database.as_str(), OPEN_TIMEOUT).await;
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
        let Some(key) = self.targets[index].queued_callers.remove(&ticket) else {
            return;
        };
        let (label, code) = (refusal.label(), refusal.sqlstate());
        self.refuse(key, label, code, &refusal.to_string());
    }

    /// Runs a queued batch on an idle connection.
    pub(crate) fn start_queued(&mut self, now: Instant, index: usize, ticket: pool::Ticket) {
        let target = &mut self.targets[index];
        let key = target.queued_callers.remove(&ticket);
        let conn_id = target.pool.acquire();
        let conn = conn_id.and_then(|id| target.conns.get(&id).copied());
        let (Some(key), Some(conn_key)) = (key, conn) else {
            target.queue.abandon(ticket);
            return;
        };
        let Some(caller) = self.callers.get_mut(key) else {
            target.queue.abandon(ticket);
            return;
        };
        let State::Queued(job, ..) = std::mem::replace(&mut caller.state, State::Idle) else {
            target.queue.abandon(ticket);
            return;
        };
        if let Some(conn) = self.conns.get_mut(conn_key) {
            conn.ticket = Some(ticket);
        }
        self.run_batch(now, key, conn_key, job);
    }

    /// Runs the next batch of a transaction on its connection.
    pub(crate) fn continue_transaction(
        &mut self,
        now: Instant,
        key: CallerKey,
        conn_key: ConnKey,
        job: Job,
    ) {
        if let Some(conn) = self.conns.get_mut(conn_key) {
            let target = &mut self.targets[conn.target_index];
            let shape = Key(job.batch.summary.fingerprint);
            if conn.ticket.is_none() {
                conn.ticket = Some(target.queue.start_in_transaction(
                    shape,
                    &self.service_times,
                    now,
                ));
            }
        }
        self.run_batch(now, key, conn_key, job);
    }

    /// Sends a batch on a connection, which is reserved for the caller from here on.
    pub(crate) fn run_batch(&mut self, now: Instant, key: CallerKey, conn_key: ConnKey, job: Job) {
        let (Some(caller), Some(conn)) = (self.callers.get_mut(key), self.conns.get_mut(conn_key))
        else {
            return;
        };
        let batch = &job.batch;
        let mut exchange = conn.exchange.take().unwrap_or_default();
        exchange.begin_batch();
        let bytes = caller.inbox.split_to(batch.length);
        if let Some(text) = parameter_sql(&mut conn.parameters, &caller.parameters) {
            exchange.set_up(&text, &mut conn.out);
        }
        let request_id = batch
            .summary
            .request_id
            .as_deref()
            .filter(|_| batch.end == End::Simple);
        if let Some(id) = request_id {
            exchange.substitute(&record_request_sql(id), pg::SET_COMPLETE, &mut conn.out);
        }
        for frame in Frames::new(&bytes, usize::MAX)
            .flatten()
            .filter(|_| request_id.is_none())
        {
            let sent = exchange.request(
                frame,
                &mut caller.statement_names,
                &mut self.statements,
                &mut conn.prepared,
                &mut conn.out,
            );
            // Every frame was validated when the batch was parsed.
            debug_assert!(sent.is_ok(), "request: {sent:?}");
        }
        conn.caller = Some(key);
        conn.forwarded = false;
        conn.sent_at = now;
        if job.retries == 0 {
            self.retry_budget.on_request(now);
        }
        // A target that skips to the caller's next Sync would skip the position query too.
        if caller.may_commit(batch) && !exchange.is_skipping() {
            exchange.hold_completions();
            exchange.query_position(&mut conn.out);
        }
        // Answers generated by the entry are sent with the target's first one, so that nothing has
        // been forwarded if the batch has to be retried. A flushed batch may have no other answers.
        if batch.end == End::Flush
            && exchange.emit_generated(&mut caller.out).is_ok()
            && !caller.out.is_empty()
        {
            conn.forwarded = true;
            self.dirty_callers.push(key);
        }
        let done = exchange.is_done();
        conn.exchange = Some(exchange);
        conn.replay = job
            .batch
            .summary
            .is_repeatable(caller.transaction.is_some())
            .then_some(bytes);
        caller.state = State::Running(conn_key);
        conn.job = Some(job);
        self.dirty_conns.push(conn_key);
        if done {
            self.finish(now, conn_key);
        }
    }
}

/// SQL that records a request id in the request's transaction, so that a second attempt fails with
/// 23505 whether or not an entry remembers the first.
fn record_request_sql(id: &str) -> String {
    format!(
        "INSERT INTO limpettally_requests (id) VALUES ('{}')",
        id.replace('\'', "''")
    )
}

/// SQL that sets a connection's parameters to those of its next caller; None if they are equal.
fn parameter_sql(
    current: &mut Vec<(String, String)>,
    wanted: &[(String, String)],
) -> Option<String> {
    if current == wanted {
        return None;
    }
    let quote = |text: &str| text.replace('\'', "''");
    let mut text = String::new();
    for (name, _) in current
        .iter()
        .filter(|(name, _)| !wanted.iter().any(|(w, _)| w == name))
    {
        text.push_str(&format!("RESET {name};"));
    }
    for (name, value) in wanted {
        text.push_str(&format!("SET {name} = '{}';", quote(value)));
    }
    *current = wanted.to_vec();
    Some(text)
}

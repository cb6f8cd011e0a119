//! From a target's answer to its caller.

use std::time::Instant;

use bytes::{Buf as _, BytesMut};
use pg::{Frames, Severity, Status};
use relay::Progress;
use session::Session;
use types::target::Role;
use types::{Point, Term};

use crate::batch::{Batch, End};
use crate::caller::{State, Transaction, Wait};
use crate::database::Ack;
use crate::event::{CallerKey, ConnKey, Event};
use crate::process::Loop;
use crate::server::Use;
use crate::timer::Due;
use crate::{back, io};

/// Largest frame taken from a target.
const MAX_FRAME: usize = 256 << 20;
/// Times that a batch is sent again after it provably did not run.
const MAX_RETRIES: u32 = 2;
/// SQLSTATE of a write whose outcome is not known.
const UNKNOWN: &str = "08007";
/// SQLSTATE of a statement that a lost target took with it, without effect.
pub const TARGET_LOST: &str = "57L09";
/// Length of a ReadyForQuery, which ends every answer that is held back.
const READY_BYTES: usize = 6;

impl Loop {
    pub(crate) fn on_opened(
        &mut self,
        now: Instant,
        key: ConnKey,
        result: Result<Box<back::Opened>, back::Failure>,
    ) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let (index, purpose) = (conn.server, conn.purpose);
        match result {
            Ok(opened) => {
                let back::Opened {
                    socket,
                    process,
                    secret,
                    parameters,
                } = *opened;
                conn.process = process;
                conn.secret = secret;
                let events = self.events.clone();
                conn.handle = Some(io::spawn(socket, BytesMut::new(), events, move |event| {
                    Event::Conn(key, event)
                }));
                if self.parameters.is_empty() {
                    self.parameters = parameters;
                }
                match purpose {
                    Use::Pool(id) => {
                        let mut actions = Vec::new();
                        self.servers[index].pool.on_opened(id, now, &mut actions);
                        self.act_on_pool(now, index, actions);
                        self.pumped.push(index);
                    }
                    Use::Watch => self.ask(now, index),
                }
            }
            Err(failure) => {
                self.metrics.target_failures.add(failure.as_str());
                self.conns.remove(key);
                match purpose {
                    Use::Pool(id) => {
                        let server = &mut self.servers[index];
                        server.conns.remove(&id);
                        server.pool.on_open_failed(id, now, &mut self.rng);
                        self.pumped.push(index);
                    }
                    Use::Watch => self.on_watch_lost(now, index),
                }
            }
        }
    }

    pub(crate) fn on_conn(&mut self, now: Instant, key: ConnKey, event: io::Event) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        match event {
            io::Event::Bytes(bytes) if conn.inbox.is_empty() => conn.inbox = bytes,
            io::Event::Bytes(bytes) => conn.inbox.extend_from_slice(&bytes),
            io::Event::Room => {
                let events = &self.events;
                if let Some(handle) = &mut conn.handle {
                    handle.on_room(|out| {
                        io::wait_for_room(out, events.clone(), Event::Conn(key, io::Event::Room));
                    });
                }
                return;
            }
            io::Event::Closed => {
                self.metrics.target_failures.add("lost");
                return self.on_conn_lost(now, key);
            }
        }
        if conn.purpose == Use::Watch {
            return self.on_watch_bytes(now, key);
        }
        self.relay(now, key);
    }

    /// Gives a target's answers to the caller of its exchange.
    fn relay(&mut self, now: Instant, key: ConnKey) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let Some(exchange) = &mut conn.exchange else {
            // A target speaks unasked only to end the connection.
            return self.on_conn_lost(now, key);
        };
        let mut dropped = BytesMut::new();
        let caller = conn.caller.and_then(|caller| self.callers.get_mut(caller));
        let out = caller.map_or(&mut dropped, |caller| &mut caller.out);
        let before = out.len();
        let mut frames = Frames::new(&conn.inbox, MAX_FRAME);
        let mut result = Ok(Progress::Pending);
        for frame in frames.by_ref() {
            let frame = match frame {
                Ok(frame) => frame,
                Err(invalid) => {
                    result = Err(invalid.into());
                    break;
                }
            };
            result = exchange.answer(frame, &mut conn.prepared, out);
            if result != Ok(Progress::Pending) {
                break;
            }
        }
        let used = frames.used();
        if out.len() > before {
            conn.forwarded = true;
            self.dirty_callers.extend(conn.caller);
        }
        conn.inbox.advance(used);
        match result {
            Ok(Progress::Pending) => {}
            Ok(Progress::Done) if conn.inbox.is_empty() => self.finish(now, key),
            // Bytes after the last answer: it can't be known whose they are.
            Ok(Progress::Done) => {
                self.finish(now, key);
                self.on_conn_lost(now, key);
            }
            Err(failure) => {
                tracing::warn!(%failure, "answer out of protocol, connection closed");
                self.on_conn_lost(now, key);
            }
        }
    }

    /// Every expected answer has arrived.
    pub(crate) fn finish(&mut self, now: Instant, key: ConnKey) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let (Some(exchange), Some(wait)) = (&mut conn.exchange, conn.wait.take()) else {
            return;
        };
        let (status, failed, probe) = (exchange.status(), exchange.failed(), exchange.probe());
        let held = exchange.take_held();
        let server = &mut self.servers[conn.server];
        if let Some(ticket) = conn.ticket.take() {
            server.queue.finish(ticket, &mut server.shapes, now);
        }
        self.metrics
            .service
            .observe((now - conn.started).as_secs_f64());
        self.pumped.push(conn.server);
        conn.replay = None;
        let unsynced = exchange.is_unsynced();
        if let Some(caller) = conn.caller.and_then(|caller| self.callers.get_mut(caller)) {
            exchange.settle(&mut caller.names, &mut self.statements);
        }
        let free = status == Status::Idle && !unsynced;
        let caller_key = if free {
            conn.caller.take()
        } else {
            conn.caller
        };
        if free {
            conn.exchange = None;
        }
        let Some(caller_key) = caller_key else {
            return self.release(now, key);
        };
        self.count(key, &wait.batch);
        let Some(caller) = self.callers.get_mut(caller_key) else {
            return self.close_conn(now, key);
        };
        caller.state = State::Idle;
        caller.status = status;
        caller.note(&wait.batch, status, unsynced);
        caller.bound = (!free).then_some(key);
        if caller.closing {
            // The transaction of a caller that has gone is rolled back by closing its connection.
            self.remove_caller(now, caller_key);
        } else if held.is_empty() {
            self.ready.push(caller_key);
        } else if failed {
            caller.out.extend_from_slice(&held);
            self.dirty_callers.push(caller_key);
            self.ready.push(caller_key);
        } else {
            self.acknowledge(now, caller_key, probe, held);
        }
        if free {
            let index = self.conns.get(key).map(|conn| conn.server);
            self.release(now, key);
            if let Some(index) = index {
                let database = self.servers[index].database.clone();
                self.report_if_held(now, &database);
            }
        }
    }

    fn count(&mut self, key: ConnKey, batch: &Batch) {
        let Some(conn) = self.conns.get(key) else {
            return;
        };
        let server = &self.servers[conn.server];
        let primary = matches!(server.watch.last, Some((Role::Primary, _)));
        self.metrics
            .batches
            .add(match (batch.work.writes, primary) {
                (true, _) => "write",
                (false, true) => "read_primary",
                (false, false) => "read_replica",
            });
    }

    /// Gives a connection back to its pool, unless a cancel may still hit it.
    fn release(&mut self, now: Instant, key: ConnKey) {
        let Some(conn) = self.conns.get(key) else {
            return;
        };
        let (index, Use::Pool(id)) = (conn.server, conn.purpose) else {
            return;
        };
        if conn.cancels > 0 || conn.exchange.is_some() {
            return;
        }
        let mut actions = Vec::new();
        self.servers[index].pool.give_back(id, now, &mut actions);
        self.act_on_pool(now, index, actions);
        self.pumped.push(index);
    }

    pub(crate) fn on_cancelled(&mut self, now: Instant, key: ConnKey) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        conn.cancels -= 1;
        if conn.cancels == 0 && conn.caller.is_none() {
            self.release(now, key);
        }
    }

    // --- Writes -----------------------------------------------------------------------------------

    /// The primary has answered a write: decides whether the caller may be told now, later, or
    /// only that the outcome is not known.
    fn acknowledge(
        &mut self,
        now: Instant,
        key: CallerKey,
        probe: Option<relay::probe::Answer>,
        held: BytesMut,
    ) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let Some(database) = self.databases.get_mut(&caller.database) else {
            return;
        };
        let Some(answer) = probe.filter(|answer| answer.role == Role::Primary) else {
            return self.report_unknown(key, "no_position");
        };
        let Point { term, lsn } = answer.point;
        if let Err(reason) = self.control.may_acknowledge(now, &caller.database, term) {
            return self.report_unknown(key, reason);
        }
        if database.settings.acks == 0 {
            return self.confirm(now, key, answer.point, held);
        }
        let deadline = now + database.settings.ack_timeout;
        database.acks.push(Ack {
            caller: key,
            term,
            lsn,
            since: now,
            deadline,
            held,
        });
        caller.state = State::Acknowledging;
        self.timers
            .add(deadline, Due::Acks(caller.database.clone()));
        let name = caller.database.clone();
        self.on_acks(now, &name);
        self.watch_replicas(now, &name);
    }

    /// Acknowledges the writes of a database that enough replicas cover, and gives up those whose
    /// deadline has passed.
    pub(crate) fn on_acks(&mut self, now: Instant, name: &types::Name) {
        let Some(database) = self.databases.get_mut(name) else {
            return;
        };
        if database.acks.is_empty() {
            return;
        }
        let replicas = database.servers.iter().map(|index| &self.servers[*index]);
        // A leaving replica stops counting before the choice of a primary stops asking it.
        let counted = replicas
            .filter(|server| server.known && server.state(now) != types::target::State::Leaving);
        let points: Vec<Point> = counted
            .filter(|server| matches!(server.watch.last, Some((Role::Replica, _))))
            .filter_map(crate::server::Server::point)
            .collect();
        let wanted = database.settings.acks;
        let covered = |ack: &Ack| {
            points
                .iter()
                .filter(|p| p.term == ack.term && p.lsn >= ack.lsn)
                .count()
                >= wanted
        };
        let mut acks = std::mem::take(&mut database.acks);
        let mut waiting = Vec::with_capacity(acks.len());
        let mut ended = Vec::new();
        for ack in acks.drain(..) {
            if covered(&ack) || ack.deadline <= now {
                ended.push((covered(&ack), ack));
            } else {
                waiting.push(ack);
            }
        }
        database.acks = waiting;
        for (covered, ack) in ended {
            let point = Point {
                term: ack.term,
                lsn: ack.lsn,
            };
            let allowed = self.control.may_acknowledge(now, name, ack.term);
            self.metrics
                .ack_wait
                .observe((now - ack.since).as_secs_f64());
            match (covered, allowed) {
                (true, Ok(())) => self.confirm(now, ack.caller, point, ack.held),
                (_, Err(reason)) => self.report_unknown(ack.caller, reason),
                (false, Ok(())) => self.report_unknown(ack.caller, "ack_timeout"),
            }
        }
    }

    /// Gives up the writes of earlier terms, whose fate a promotion has decided.
    pub(crate) fn drop_acks_before(&mut self, name: &types::Name, term: Option<Term>) {
        let Some(database) = self.databases.get_mut(name) else {
            return;
        };
        let old = |ack: &Ack| Some(ack.term) != term;
        let acks = std::mem::take(&mut database.acks);
        let (given_up, kept) = acks.into_iter().partition(old);
        database.acks = kept;
        for ack in given_up {
            self.report_unknown(ack.caller, "term");
        }
    }

    /// Tells a caller that its write is done, with the session's token before ReadyForQuery.
    fn confirm(&mut self, now: Instant, key: CallerKey, point: Point, held: BytesMut) {
        self.metrics.acknowledged.inc();
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let (answers, ready) = held.split_at(held.len().saturating_sub(READY_BYTES));
        caller.out.extend_from_slice(answers);
        if let Session::Known(token) = &mut caller.session {
            match token.advance(&caller.database, point) {
                Ok(()) => pg::parameter(
                    &mut caller.out,
                    "limpettally.session",
                    &self.signer.seal(token),
                ),
                // A session of more databases than a token holds reads from primaries from here on.
                Err(_) => {
                    caller.session = Session::Named(caller.database.clone());
                }
            }
        }
        caller.out.extend_from_slice(ready);
        caller.state = State::Idle;
        let database = caller.database.clone();
        self.report_if_held(now, &database);
        self.dirty_callers.push(key);
        self.ready.push(key);
    }

    /// Tells a caller that its write may or may not be done.
    pub(crate) fn report_unknown(&mut self, key: CallerKey, reason: &'static str) {
        self.metrics.unknown.add(reason);
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let text =
            format!("the outcome of the write is not known ({reason}); it may be done or not");
        pg::error(&mut caller.out, Severity::Error, UNKNOWN, &text);
        pg::ready(&mut caller.out, Status::Idle);
        caller.status = Status::Idle;
        caller.transaction = None;
        caller.state = State::Idle;
        self.dirty_callers.push(key);
        self.ready.push(key);
    }

    // --- Lost connections -------------------------------------------------------------------------

    /// A connection has ended, or can't be used any more.
    pub(crate) fn on_conn_lost(&mut self, now: Instant, key: ConnKey) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let (caller, wait, replay) = (conn.caller.take(), conn.wait.take(), conn.replay.take());
        if let Some(exchange) = &mut conn.exchange
            && let Some(caller) = caller.and_then(|caller| self.callers.get_mut(caller))
        {
            exchange.settle(&mut caller.names, &mut self.statements);
        }
        let forwarded = conn.forwarded;
        let sent_commit = wait.as_ref().zip(caller).is_some_and(|(wait, caller)| {
            self.callers
                .get(caller)
                .is_some_and(|caller| caller.may_commit(&wait.batch))
        });
        self.close_conn(now, key);
        let Some(caller_key) = caller else { return };
        let Some(caller) = self.callers.get_mut(caller_key) else {
            return;
        };
        caller.bound = None;
        let Some(wait) = wait else {
            // Between two batches of a transaction: the caller hears of it at its next batch.
            caller.unreported_loss = caller.transaction.is_some();
            if caller.unsynced {
                caller.closing = true;
                self.dirty_callers.push(caller_key);
            }
            return;
        };
        caller.state = State::Idle;
        if caller.closing {
            return self.remove_caller(now, caller_key);
        }
        if sent_commit {
            return self.report_unknown(caller_key, "target_lost");
        }
        let replay =
            replay.filter(|_| !forwarded && wait.retries < MAX_RETRIES && now < wait.deadline);
        match replay {
            Some(bytes) if self.budget.spend(now) => self.repeat(now, caller_key, wait, &bytes),
            _ => self.report_lost(caller_key, &wait),
        }
    }

    /// Sends a read again whose target was lost before any of its answer was passed on.
    fn repeat(&mut self, now: Instant, key: CallerKey, mut wait: Wait, bytes: &[u8]) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        self.metrics.common.retries.add("read_target_lost");
        let mut inbox = BytesMut::with_capacity(bytes.len() + caller.inbox.len());
        inbox.extend_from_slice(bytes);
        inbox.extend_from_slice(&caller.inbox);
        caller.inbox = inbox;
        wait.retries += 1;
        self.route(now, key, wait);
    }

    /// Tells a caller that its statement had no effect, since its target was lost.
    fn report_lost(&mut self, key: CallerKey, wait: &Wait) {
        self.metrics.common.refusals.add("target_lost");
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let text = "not run: the target was lost, and what the statement did was rolled back";
        pg::error(&mut caller.out, Severity::Error, TARGET_LOST, text);
        let begins = wait.batch.work.begins.is_some() && !wait.batch.work.commits;
        if begins && caller.transaction.is_none() {
            caller.transaction = Some(Transaction::default());
        }
        caller.status = if caller.transaction.is_some() {
            Status::Failed
        } else {
            Status::Idle
        };
        if wait.batch.end == End::Flush {
            caller.skip_to_sync(self.settings.max_frame);
        } else {
            pg::ready(&mut caller.out, caller.status);
        }
        self.dirty_callers.push(key);
        self.ready.push(key);
    }

    /// Closes a connection at once; what it worked on is not reported.
    pub(crate) fn close_conn(&mut self, now: Instant, key: ConnKey) {
        let Some(conn) = self.conns.remove(key) else {
            return;
        };
        let server = &mut self.servers[conn.server];
        if let Some(ticket) = conn.ticket {
            server.queue.abandon(ticket);
        }
        match conn.purpose {
            Use::Pool(id) => {
                server.conns.remove(&id);
                server.pool.on_closed(id);
                self.pumped.push(conn.server);
            }
            Use::Watch => self.on_watch_lost(now, conn.server),
        }
    }

    /// Closes an idle connection in an orderly way.
    pub(crate) fn drop_conn(&mut self, now: Instant, key: ConnKey) {
        if let Some(conn) = self.conns.get_mut(key)
            && let Some(handle) = &mut conn.handle
        {
            let mut out = BytesMut::new();
            pg::terminate(&mut out);
            handle.send(out.freeze(), drop);
        }
        self.close_conn(now, key);
    }
}

impl crate::caller::Caller {
    /// Follows the transaction after a batch.
    fn note(&mut self, batch: &Batch, status: Status, unsynced: bool) {
        let work = &batch.work;
        let wrote = work.may_write();
        if unsynced {
            self.unsynced = true;
            self.unsynced_wrote |= wrote;
            return;
        }
        self.unsynced = false;
        let before = self.transaction;
        self.transaction = (status != Status::Idle).then(|| {
            let last = before.unwrap_or(Transaction {
                read_only: work.begins == Some(true),
                wrote: self.unsynced_wrote,
            });
            Transaction {
                wrote: last.wrote || wrote,
                ..last
            }
        });
        self.unsynced_wrote = false;
    }
}

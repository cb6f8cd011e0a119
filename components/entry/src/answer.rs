//! From a target's answer to its caller.

use std::time::Instant;

use bytes::{Buf as _, BytesMut};
use pg::{Frames, Status};
use relay::Progress;
use types::target::Role;

use crate::batch::Batch;
use crate::caller::{State, Transaction};
use crate::event::{ConnKey, Event};
use crate::event_loop::Loop;
use crate::server::Purpose;
use link::io;

use crate::connect;

/// Largest frame taken from a target.
const MAX_FRAME: usize = 256 << 20;

impl Loop {
    pub(crate) fn on_opened(
        &mut self,
        now: Instant,
        key: ConnKey,
        result: Result<Box<connect::Opened>, connect::Failure>,
    ) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let (index, purpose) = (conn.server, conn.purpose);
        match result {
            Ok(opened) => {
                let connect::Opened {
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
                    Purpose::Pool(id) => {
                        let mut actions = Vec::new();
                        self.servers[index].pool.on_opened(id, now, &mut actions);
                        self.act_on_pool(now, index, actions);
                        self.due_queues.push(index);
                    }
                    Purpose::Watch => self.ask(now, index),
                }
            }
            Err(failure) => {
                self.metrics.target_failures.add(failure.as_str());
                self.conns.remove(key);
                match purpose {
                    Purpose::Pool(id) => {
                        let server = &mut self.servers[index];
                        server.conns.remove(&id);
                        server.pool.on_open_failed(id, now, &mut self.rng);
                        self.due_queues.push(index);
                    }
                    Purpose::Watch => self.on_watch_lost(now, index),
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
        if conn.purpose == Purpose::Watch {
            return self.on_watch_bytes(now, key);
        }
        self.relay(now, key);
    }

    /// Gives a target's answers to the caller of its exchange.
    pub(crate) fn relay(&mut self, now: Instant, key: ConnKey) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let Some(exchange) = &mut conn.exchange else {
            // Without an exchange, a target sends only the error that precedes its close.
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
        let used = frames.consumed();
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
        let (status, failed, probe) = (exchange.status(), exchange.failed(), exchange.position());
        let held = exchange.take_held();
        let server = &mut self.servers[conn.server];
        if let Some(ticket) = conn.ticket.take() {
            server.queue.finish(ticket, &mut self.shapes, now);
        }
        self.metrics
            .service
            .observe((now - conn.started).as_secs_f64());
        self.due_queues.push(conn.server);
        conn.replay = None;
        let unsynced = exchange.is_unsynced();
        if let Some(caller) = conn.caller.and_then(|caller| self.callers.get_mut(caller)) {
            exchange.settle_names(&mut caller.names, &mut self.statements);
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
            // Closing the connection rolls back the transaction of a caller that has disconnected.
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

    pub(crate) fn count(&mut self, key: ConnKey, batch: &Batch) {
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
    pub(crate) fn release(&mut self, now: Instant, key: ConnKey) {
        let Some(conn) = self.conns.get(key) else {
            return;
        };
        let (index, Purpose::Pool(id)) = (conn.server, conn.purpose) else {
            return;
        };
        if conn.cancels > 0 || conn.exchange.is_some() {
            return;
        }
        let mut actions = Vec::new();
        self.servers[index].pool.release(id, now, &mut actions);
        self.act_on_pool(now, index, actions);
        self.due_queues.push(index);
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

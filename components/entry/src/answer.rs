//! Forwards the answers of targets to callers.

use std::time::Instant;

use bytes::{Buf as _, BytesMut};
use pg::{Frames, Status};
use relay::Progress;
use types::target::Role;

use crate::batch::Batch;
use crate::caller::{State, Transaction};
use crate::event::{ConnKey, Event};
use crate::event_loop::Loop;
use crate::target::Purpose;
use link::io;

use crate::connect;

/// Largest frame accepted from a target.
const MAX_FRAME_BYTES: usize = 256 << 20;

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
        let (index, purpose) = (conn.target_index, conn.purpose);
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
                if self.target_parameters.is_empty() {
                    self.target_parameters = parameters;
                }
                match purpose {
                    Purpose::Pool(id) => {
                        let mut actions = Vec::new();
                        self.targets[index].pool.on_opened(id, now, &mut actions);
                        self.apply_pool_actions(now, index, actions);
                        self.due_queues.push(index);
                    }
                    Purpose::Probe => self.send_probe(now, index),
                }
            }
            Err(failure) => {
                self.metrics.target_failures.add(failure.as_str());
                self.conns.remove(key);
                match purpose {
                    Purpose::Pool(id) => {
                        let target = &mut self.targets[index];
                        target.conns.remove(&id);
                        target.pool.on_open_failed(id, now, &mut self.rng);
                        self.due_queues.push(index);
                    }
                    Purpose::Probe => self.on_probe_lost(now, index),
                }
            }
        }
    }

    pub(crate) fn on_conn_event(&mut self, now: Instant, key: ConnKey, event: io::Event) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        match event {
            io::Event::Bytes(bytes) if conn.inbox.is_empty() => conn.inbox = bytes,
            io::Event::Bytes(bytes) => conn.inbox.extend_from_slice(&bytes),
            io::Event::Writable => {
                let events = &self.events;
                if let Some(handle) = &mut conn.handle {
                    handle.on_writable(|out| {
                        io::notify_when_writable(
                            out,
                            events.clone(),
                            Event::Conn(key, io::Event::Writable),
                        );
                    });
                }
                return;
            }
            io::Event::ReadEnded => return,
            io::Event::Closed => {
                self.metrics.target_failures.add("lost");
                return self.on_conn_lost(now, key);
            }
        }
        if conn.purpose == Purpose::Probe {
            return self.on_probe_bytes(now, key);
        }
        self.relay(now, key);
    }

    /// Forwards received answers to the caller of the connection's exchange.
    pub(crate) fn relay(&mut self, now: Instant, key: ConnKey) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let Some(exchange) = &mut conn.exchange else {
            // Outside an exchange, a target sends only the error that precedes its close.
            return self.on_conn_lost(now, key);
        };
        let mut dropped = BytesMut::new();
        let caller = conn.caller.and_then(|caller| self.callers.get_mut(caller));
        let out = caller.map_or(&mut dropped, |caller| &mut caller.out);
        let before = out.len();
        let mut frames = Frames::new(&conn.inbox, MAX_FRAME_BYTES);
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
            // Bytes after the last answer can't be attributed to any caller.
            Ok(Progress::Done) => {
                self.finish(now, key);
                self.on_conn_lost(now, key);
            }
            Err(failure) => {
                tracing::warn!(%failure, "protocol violation in an answer of the target; closing the connection");
                self.on_conn_lost(now, key);
            }
        }
    }

    /// Completes a batch after its last expected answer.
    pub(crate) fn finish(&mut self, now: Instant, key: ConnKey) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let (Some(exchange), Some(job)) = (&mut conn.exchange, conn.job.take()) else {
            return;
        };
        let (status, failed, position) =
            (exchange.status(), exchange.failed(), exchange.position());
        let held = exchange.take_held();
        let target = &mut self.targets[conn.target_index];
        if let Some(ticket) = conn.ticket.take() {
            target.queue.finish(ticket, &mut self.service_times, now);
        }
        self.metrics
            .batch_time
            .observe((now - conn.sent_at).as_secs_f64());
        self.due_queues.push(conn.target_index);
        conn.replay = None;
        let unsynced = exchange.is_unsynced();
        if let Some(caller) = conn.caller.and_then(|caller| self.callers.get_mut(caller)) {
            exchange.settle_names(&mut caller.statement_names, &mut self.statements);
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
        self.count_batch(key, &job.batch);
        let Some(caller) = self.callers.get_mut(caller_key) else {
            return self.close_conn(now, key);
        };
        caller.state = State::Idle;
        caller.status = status;
        caller.track_transaction(&job.batch, status, unsynced);
        caller.bound_conn = (!free).then_some(key);
        if caller.closing {
            // Closing the connection rolls back the transaction of a caller that has disconnected.
            self.remove_caller(now, caller_key);
        } else if held.is_empty() {
            self.ready_callers.push(caller_key);
        } else if failed {
            caller.out.extend_from_slice(&held);
            self.dirty_callers.push(caller_key);
            self.ready_callers.push(caller_key);
        } else {
            self.on_write_answered(now, caller_key, position, held);
        }
        if free {
            let index = self.conns.get(key).map(|conn| conn.target_index);
            self.release(now, key);
            if let Some(index) = index {
                let database = self.targets[index].database.clone();
                self.renew_if_held(now, &database);
            }
        }
    }

    pub(crate) fn count_batch(&mut self, key: ConnKey, batch: &Batch) {
        let Some(conn) = self.conns.get(key) else {
            return;
        };
        let target = &self.targets[conn.target_index];
        let primary = matches!(target.probe.last_answer, Some((Role::Primary, _)));
        self.metrics
            .batches
            .add(match (batch.summary.writes, primary) {
                (true, _) => "write",
                (false, true) => "read_primary",
                (false, false) => "read_replica",
            });
    }

    /// Returns a connection to its pool, unless a pending cancel request could hit its next
    /// statement.
    pub(crate) fn release(&mut self, now: Instant, key: ConnKey) {
        let Some(conn) = self.conns.get(key) else {
            return;
        };
        let (index, Purpose::Pool(id)) = (conn.target_index, conn.purpose) else {
            return;
        };
        if conn.pending_cancels > 0 || conn.exchange.is_some() {
            return;
        }
        let mut actions = Vec::new();
        self.targets[index].pool.release(id, now, &mut actions);
        self.apply_pool_actions(now, index, actions);
        self.due_queues.push(index);
    }

    pub(crate) fn on_cancelled(&mut self, now: Instant, key: ConnKey) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        conn.pending_cancels -= 1;
        if conn.pending_cancels == 0 && conn.caller.is_none() {
            self.release(now, key);
        }
    }
}

impl crate::caller::Caller {
    /// Updates the transaction state after a batch.
    fn track_transaction(&mut self, batch: &Batch, status: Status, unsynced: bool) {
        let summary = &batch.summary;
        let wrote = summary.may_write();
        if unsynced {
            self.unsynced = true;
            self.unsynced_wrote |= wrote;
            return;
        }
        self.unsynced = false;
        let before = self.transaction;
        self.transaction = (status != Status::Idle).then(|| {
            let last = before.unwrap_or(Transaction {
                read_only: summary.begins == Some(true),
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

//! Lost and closed connections to targets, and the errors that their callers get.

use std::time::Instant;

use bytes::BytesMut;
use pg::{Severity, Status};
use route::Phase;
use types::Name;

use crate::batch::End;
use crate::caller::{Job, State, Transaction};
use crate::event::{CallerKey, ConnKey};
use crate::event_loop::Loop;
use crate::target::Purpose;

/// How often a read is retried after its target was lost.
const MAX_RETRIES: u32 = 2;
/// SQLSTATE of a statement that had no effect because its target was lost.
pub const TARGET_LOST_CODE: &str = "57L09";

impl Loop {
    /// Handles a connection that has ended or can't be used any more.
    pub(crate) fn on_conn_lost(&mut self, now: Instant, key: ConnKey) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let (caller, job, replay) = (conn.caller.take(), conn.job.take(), conn.replay.take());
        if let Some(exchange) = &mut conn.exchange
            && let Some(caller) = caller.and_then(|caller| self.callers.get_mut(caller))
        {
            exchange.settle_names(&mut caller.statement_names, &mut self.statements);
        }
        let forwarded = conn.forwarded;
        let sent_commit = job.as_ref().zip(caller).is_some_and(|(job, caller)| {
            self.callers
                .get(caller)
                .is_some_and(|caller| caller.may_commit(&job.batch))
        });
        self.close_conn(now, key);
        let Some(caller_key) = caller else { return };
        let Some(caller) = self.callers.get_mut(caller_key) else {
            return;
        };
        caller.bound_conn = None;
        let Some(job) = job else {
            // Between two batches of a transaction: the loss is reported with the caller's next
            // batch.
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
            return self.report_unknown_outcome(caller_key, "target_lost");
        }
        let replay = replay.filter(|_| !forwarded && job.retries < MAX_RETRIES);
        match replay {
            Some(bytes) if self.retry_budget.try_spend(now) => {
                self.retry_read(now, caller_key, job, &bytes)
            }
            _ => self.report_target_lost(caller_key, &job),
        }
    }

    /// Retries a read whose target was lost before any part of its answer was forwarded.
    pub(crate) fn retry_read(&mut self, now: Instant, key: CallerKey, mut job: Job, bytes: &[u8]) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        self.metrics.common.retries.add("read_target_lost");
        let mut inbox = BytesMut::with_capacity(bytes.len() + caller.inbox.len());
        inbox.extend_from_slice(bytes);
        inbox.extend_from_slice(&caller.inbox);
        caller.inbox = inbox;
        job.retries += 1;
        // The deadlines of the first attempt may have passed while the target was frozen.
        let settings = self.databases.get(&caller.database).map(|d| d.settings);
        let settings = settings.unwrap_or_default();
        job.replica_deadline = now + settings.read_wait;
        job.deadline = now + settings.queue_wait;
        self.route(now, key, job);
    }

    /// Tells a caller that its statement had no effect because its target was lost.
    pub(crate) fn report_target_lost(&mut self, key: CallerKey, job: &Job) {
        self.metrics.common.refusals.add("target_lost");
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let text = "not run: the target was lost, and what the statement did was rolled back";
        pg::error_response(&mut caller.out, Severity::Error, TARGET_LOST_CODE, text);
        let begins = job.batch.summary.begins.is_some() && !job.batch.summary.commits;
        if begins && caller.transaction.is_none() {
            caller.transaction = Some(Transaction::default());
        }
        caller.status = if caller.transaction.is_some() {
            Status::Failed
        } else {
            Status::Idle
        };
        if job.batch.end == End::Flush {
            caller.skip_to_sync(self.settings.max_frame);
        } else {
            pg::ready_for_query(&mut caller.out, caller.status);
        }
        self.dirty_callers.push(key);
        self.ready_callers.push(key);
    }

    /// Ends writes and transactions on targets that are no longer primary. A frozen or partitioned
    /// primary keeps its connections open and would never answer.
    pub(crate) fn end_writes_on_former_primaries(&mut self, now: Instant, name: &Name) {
        let Some(database) = self.databases.get(name) else {
            return;
        };
        let primary = match database.phase {
            Phase::Open { primary } => Some(primary),
            // Transactions begun before a planned switch end by themselves.
            Phase::Fenced { hold: Some(_) } => return,
            Phase::Fenced { hold: None } | Phase::Absent => None,
        };
        let targets = database
            .targets
            .iter()
            .filter(|index| Some(**index) != primary);
        let conns = targets.flat_map(|index| self.targets[*index].conns.values());
        let affected: Vec<ConnKey> = conns.copied().filter(|key| self.may_write(*key)).collect();
        for key in affected {
            self.on_conn_lost(now, key);
        }
    }

    /// Whether the caller of a connection has a running write or a transaction that may write.
    fn may_write(&self, key: ConnKey) -> bool {
        let Some(conn) = self.conns.get(key) else {
            return false;
        };
        let Some(caller) = conn.caller.and_then(|caller| self.callers.get(caller)) else {
            return false;
        };
        let writes = conn
            .job
            .as_ref()
            .is_some_and(|job| job.batch.summary.writes);
        writes
            || caller
                .transaction
                .is_some_and(|transaction| !transaction.read_only)
    }

    /// Fails all connections to a target that does not answer its probe: their statements would
    /// wait for as long as the target is frozen or partitioned.
    pub(crate) fn fail_all_conns(&mut self, now: Instant, index: usize) {
        let conns = self.targets[index].conns.values().copied();
        for key in conns.collect::<Vec<ConnKey>>() {
            self.on_conn_lost(now, key);
        }
    }

    /// Retries reads on a silent target that have no answer yet.
    pub(crate) fn retry_unanswered_reads(&mut self, now: Instant, index: usize) {
        let conns = self.targets[index].conns.values().copied();
        let unanswered = conns.filter(|key| {
            let conn = self.conns.get(*key);
            conn.is_some_and(|conn| conn.replay.is_some() && !conn.forwarded)
        });
        for key in unanswered.collect::<Vec<ConnKey>>() {
            self.on_conn_lost(now, key);
        }
    }

    /// Closes a connection at once. The caller gets no error for its statement.
    pub(crate) fn close_conn(&mut self, now: Instant, key: ConnKey) {
        let Some(conn) = self.conns.remove(key) else {
            return;
        };
        let target = &mut self.targets[conn.target_index];
        if let Some(ticket) = conn.ticket {
            target.queue.abandon(ticket);
        }
        match conn.purpose {
            Purpose::Pool(id) => {
                target.conns.remove(&id);
                target.pool.on_closed(id);
                self.due_queues.push(conn.target_index);
            }
            Purpose::Probe => self.on_probe_lost(now, conn.target_index),
        }
    }

    /// Closes an idle connection with a Terminate message.
    pub(crate) fn terminate_conn(&mut self, now: Instant, key: ConnKey) {
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

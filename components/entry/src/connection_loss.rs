//! Connections to targets that are lost or closed, and what their callers are told.

use std::time::Instant;

use bytes::BytesMut;
use pg::{Severity, Status};
use route::Phase;
use types::Name;

use crate::batch::End;
use crate::caller::{State, Transaction, Wait};
use crate::event::{CallerKey, ConnKey};
use crate::event_loop::Loop;
use crate::server::Purpose;

/// Times that a read is sent again after its target was lost.
const MAX_RETRIES: u32 = 2;
/// SQLSTATE of a statement that a lost target took with it, without effect.
pub const TARGET_LOST: &str = "57L09";

impl Loop {
    /// A connection has ended, or can't be used any more.
    pub(crate) fn on_conn_lost(&mut self, now: Instant, key: ConnKey) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let (caller, wait, replay) = (conn.caller.take(), conn.wait.take(), conn.replay.take());
        if let Some(exchange) = &mut conn.exchange
            && let Some(caller) = caller.and_then(|caller| self.callers.get_mut(caller))
        {
            exchange.settle_names(&mut caller.names, &mut self.statements);
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
        let replay = replay.filter(|_| !forwarded && wait.retries < MAX_RETRIES);
        match replay {
            Some(bytes) if self.budget.try_spend(now) => self.repeat(now, caller_key, wait, &bytes),
            _ => self.report_lost(caller_key, &wait),
        }
    }

    /// Sends a read again whose target was lost before any of its answer was passed on.
    pub(crate) fn repeat(&mut self, now: Instant, key: CallerKey, mut wait: Wait, bytes: &[u8]) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        self.metrics.common.retries.add("read_target_lost");
        let mut inbox = BytesMut::with_capacity(bytes.len() + caller.inbox.len());
        inbox.extend_from_slice(bytes);
        inbox.extend_from_slice(&caller.inbox);
        caller.inbox = inbox;
        wait.retries += 1;
        // The deadlines of the first attempt may have passed on a target that froze.
        let settings = self.databases.get(&caller.database).map(|d| d.settings);
        let settings = settings.unwrap_or_default();
        wait.wait_until = now + settings.read_wait;
        wait.deadline = now + settings.queue_wait;
        self.route(now, key, wait);
    }

    /// Tells a caller that its statement had no effect, since its target was lost.
    pub(crate) fn report_lost(&mut self, key: CallerKey, wait: &Wait) {
        self.metrics.common.refusals.add("target_lost");
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let text = "not run: the target was lost, and what the statement did was rolled back";
        pg::error_response(&mut caller.out, Severity::Error, TARGET_LOST, text);
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
            pg::ready_for_query(&mut caller.out, caller.status);
        }
        self.dirty_callers.push(key);
        self.ready.push(key);
    }

    /// Ends writes and transactions on targets that are primary no longer. A primary that is frozen
    /// or cut off keeps its connections open and would never answer.
    pub(crate) fn end_old_writes(&mut self, now: Instant, name: &Name) {
        let Some(database) = self.databases.get(name) else {
            return;
        };
        let primary = match database.phase {
            Phase::Open { primary } => Some(primary),
            // What was begun before a planned switch ends by itself.
            Phase::Fenced { hold_end: Some(_) } => return,
            Phase::Fenced { hold_end: None } | Phase::Absent => None,
        };
        let servers = database
            .servers
            .iter()
            .filter(|index| Some(**index) != primary);
        let conns = servers.flat_map(|index| self.servers[*index].conns.values());
        let old: Vec<ConnKey> = conns.copied().filter(|key| self.may_write(*key)).collect();
        for key in old {
            self.on_conn_lost(now, key);
        }
    }

    /// Whether the caller of a connection has a write under way or a transaction that may write.
    fn may_write(&self, key: ConnKey) -> bool {
        let Some(conn) = self.conns.get(key) else {
            return false;
        };
        let Some(caller) = conn.caller.and_then(|caller| self.callers.get(caller)) else {
            return false;
        };
        let writes = conn
            .wait
            .as_ref()
            .is_some_and(|wait| wait.batch.work.writes);
        writes || caller.transaction.is_some_and(|open| !open.read_only)
    }

    /// Gives up every connection to a target that leaves its watch unanswered: statements on them
    /// would wait for as long as the target is frozen or cut off.
    pub(crate) fn give_up_conns(&mut self, now: Instant, index: usize) {
        let conns = self.servers[index].conns.values().copied();
        for key in conns.collect::<Vec<ConnKey>>() {
            self.on_conn_lost(now, key);
        }
    }

    /// Sends reads again whose target is silent and has answered nothing of them.
    pub(crate) fn move_reads(&mut self, now: Instant, index: usize) {
        let conns = self.servers[index].conns.values().copied();
        let unanswered = conns.filter(|key| {
            let conn = self.conns.get(*key);
            conn.is_some_and(|conn| conn.replay.is_some() && !conn.forwarded)
        });
        for key in unanswered.collect::<Vec<ConnKey>>() {
            self.on_conn_lost(now, key);
        }
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
            Purpose::Pool(id) => {
                server.conns.remove(&id);
                server.pool.on_closed(id);
                self.due_queues.push(conn.server);
            }
            Purpose::Watch => self.on_watch_lost(now, conn.server),
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

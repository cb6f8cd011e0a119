//! Connections lent to other proxies. Their content is passed through unread.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use clock::Clock;
use tokio::sync::mpsc;
use wire::{Borrow, Lend};

use crate::conn::Conn;
use crate::event::ConnKey;
use crate::lent::count_requests;
use crate::process::Loop;
use crate::protocol::Protocol;
use crate::tenant;
use crate::timer::Timer;

/// Maximum number of borrowers that wait for one server.
const MAX_WAITERS: usize = 400;
/// Interval of pulses to borrowers with open loans.
const PULSE_INTERVAL: Duration = Duration::from_millis(250);

/// A borrower that waits for a connection.
#[derive(Clone, Copy, Debug)]
pub struct Waiter {
    stream: u64,
    loan: u64,
    /// The tenant whose statement waits at the borrower.
    pub tenant: Option<tenant::Id>,
}

/// A proxy that borrows connections.
#[derive(Debug)]
struct Borrower {
    out: mpsc::Sender<Lend>,
    /// Connection of each loan; `None` while the borrower waits for one.
    loans: BTreeMap<u64, Option<ConnKey>>,
    /// When a message was last sent to it.
    sent_at: Instant,
}

/// All borrowers, by the numbers of their streams.
#[derive(Debug, Default)]
pub struct Borrowers(BTreeMap<u64, Borrower>);

impl Borrowers {
    /// Whether there are no loans.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.0.values().all(|borrower| borrower.loans.is_empty())
    }

    pub(crate) fn send(&mut self, now: Instant, stream: u64, message: Lend) {
        if let Some(borrower) = self.0.get_mut(&stream) {
            borrower.sent_at = now;
            // A borrower that does not read closes its stream after its own timeout.
            let _dropped = borrower.out.try_send(message);
        }
    }
}

impl<P: Protocol, C: Clock> Loop<P, C> {
    pub(crate) fn on_borrower_accepted(
        &mut self,
        now: Instant,
        stream: u64,
        out: mpsc::Sender<Lend>,
    ) {
        let borrower = Borrower {
            out,
            loans: BTreeMap::new(),
            sent_at: now,
        };
        self.borrowers.0.insert(stream, borrower);
    }

    pub(crate) fn on_borrower(&mut self, now: Instant, stream: u64, event: link::Event<Borrow>) {
        let message = match event {
            link::Event::Message(message) => message,
            link::Event::Closed(_) => return self.on_borrower_lost(stream),
        };
        match message {
            Borrow::Open { version, instance } => {
                if version == wire::LOAN_VERSION {
                    tracing::debug!(instance, "borrower connected");
                } else {
                    self.metrics.common.refusals.add("version");
                    self.on_borrower_lost(stream);
                }
            }
            Borrow::Ask {
                loan,
                server,
                rank,
                start_in_ms,
                tenant: name,
            } => {
                let start_by = now + Duration::from_millis(start_in_ms.into());
                let tenant = self.directory.named_by_peer(&name);
                if tenant.is_none() && !name.is_empty() {
                    self.metrics.common.refusals.add("loan");
                    let failed = false;
                    return self
                        .borrowers
                        .send(now, stream, Lend::Deny { loan, failed });
                }
                let waiter = Waiter {
                    stream,
                    loan,
                    tenant,
                };
                self.on_loan_requested(now, waiter, &server, (rank, start_by));
            }
            Borrow::Send { loan, bytes } => {
                if let Some(key) = self.lent_conn(stream, loan)
                    && let Some(conn) = self.conns.get_mut(key)
                {
                    if !std::mem::replace(&mut conn.lent_started, true) {
                        conn.lent_pending = 0;
                    }
                    conn.lent_pending += count_requests::<P>(&bytes, self.settings.max_message);
                    conn.out.extend_from_slice(&bytes);
                    conn.used_at = now;
                    self.dirty_conns.push(key);
                }
            }
            Borrow::Return { loan, clean } => self.on_returned(now, stream, loan, clean),
        }
    }

    pub(crate) fn lent_conn(&self, stream: u64, loan: u64) -> Option<ConnKey> {
        *self.borrowers.0.get(&stream)?.loans.get(&loan)?
    }

    fn on_loan_requested(
        &mut self,
        now: Instant,
        waiter: Waiter,
        server: &str,
        (rank, start_by): (u8, Instant),
    ) {
        let Waiter { stream, loan, .. } = waiter;
        let index = self.server_indices.get(server).copied();
        let index = index.filter(|index| {
            let server = &self.servers[*index];
            let lends = server.listed && !self.is_ending_transactions(now) && self.may_lend(*index);
            lends && !server.is_down(now) && server.waiters.len() < MAX_WAITERS
        });
        let Some(index) = index else {
            self.metrics.common.refusals.add("loan");
            let down = |index: &usize| self.servers[*index].is_down(now);
            let failed = self.server_indices.get(server).is_some_and(down);
            return self
                .borrowers
                .send(now, stream, Lend::Deny { loan, failed });
        };
        self.start_or_extend_backup(now, index);
        let Some(borrower) = self.borrowers.0.get_mut(&stream) else {
            return;
        };
        borrower.loans.insert(loan, None);
        self.servers[index].has_tenant_waiters |= waiter.tenant.is_some();
        self.servers[index].waiters.push(rank, start_by, waiter);
        self.serve_waiters(now, index);
        let waits = |borrower: &Borrower| matches!(borrower.loans.get(&loan), Some(None));
        if self.borrowers.0.get(&stream).is_some_and(waits) && !self.has_slot(now, index) {
            self.borrowers.send(now, stream, Lend::Queued { loan });
        }
    }

    /// Whether one more statement may be sent to a server on this proxy's own connections. During a
    /// pause the service is dispatched again at its end.
    pub(crate) fn has_slot(&mut self, now: Instant, index: usize) -> bool {
        let server = &self.servers[index];
        let is_busy = |key: &&ConnKey| self.conns.get(**key).is_some_and(Conn::is_busy);
        let running = server.conns.iter().filter(is_busy).count();
        let admits = server.window.admits(now, running);
        if let Some(until) = server.window.paused_until().filter(|until| *until > now) {
            self.timers.add(until, Timer::Service(server.service));
        }
        admits
    }

    /// Lends idle connections to waiting borrowers, and opens more as far as allowed.
    pub(crate) fn serve_waiters(&mut self, now: Instant, index: usize) {
        if self.is_tenant_specific(index) {
            return self.serve_tenants(now, index);
        }
        while !self.servers[index].waiters.is_empty() {
            if !self.has_slot(now, index) {
                return;
            }
            let is_own =
                |key: &ConnKey| self.conns.get(*key).is_some_and(|conn| conn.loan.is_none());
            let Some(position) = self.servers[index].idle.iter().rposition(is_own) else {
                break;
            };
            let key = self.servers[index].idle.remove(position);
            let Some(waiter) = self.servers[index].waiters.pop(now) else {
                break;
            };
            self.lend(now, key, waiter);
        }
        let wanted = self.servers[index].waiters.len();
        while self.servers[index].opening < wanted {
            // Connections beyond the share are opened one at a time, as the server may have none
            // left.
            let server = &mut self.servers[index];
            if server.opening == 0 {
                server.overcommit(now);
            }
            if !server.has_own_room(now) {
                return;
            }
            self.open_own(now, index, None);
        }
    }

    /// Lends a connection, which is no longer among the idle ones, to a borrower.
    pub(crate) fn lend(&mut self, now: Instant, key: ConnKey, waiter: Waiter) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let server = &mut self.servers[conn.server];
        let borrower = self.borrowers.0.get_mut(&waiter.stream);
        let Some(loan) = borrower.and_then(|borrower| borrower.loans.get_mut(&waiter.loan)) else {
            server.idle.push(key);
            return;
        };
        *loan = Some(key);
        conn.lent_to = Some((waiter.stream, waiter.loan));
        (conn.lent_pending, conn.lent_started) = (1, false);
        conn.needs_reset = true;
        conn.used_at = now;
        server.running += 1;
        let grant = Lend::Grant { loan: waiter.loan };
        self.borrowers.send(now, waiter.stream, grant);
        self.count_reuse(key);
    }

    /// Lends the connections that this proxy's own statements have left idle.
    pub(crate) fn lend_idle(&mut self, now: Instant, service: usize) {
        for index in self.services[service].servers.clone() {
            if !self.servers[index].waiters.is_empty() {
                self.serve_waiters(now, index);
            }
        }
    }

    fn on_returned(&mut self, now: Instant, stream: u64, loan: u64, clean: bool) {
        let borrower = self.borrowers.0.get_mut(&stream);
        let Some(lent) = borrower.and_then(|borrower| borrower.loans.remove(&loan)) else {
            return;
        };
        let Some(key) = lent else {
            for server in &mut self.servers {
                server
                    .waiters
                    .retain(|waiter| (waiter.stream, waiter.loan) != (stream, loan));
            }
            return;
        };
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        conn.lent_to = None;
        conn.lent_pending = 0;
        conn.inbox.clear();
        let index = conn.server;
        let elapsed = now.saturating_duration_since(conn.used_at);
        self.servers[index].times.on_used(elapsed);
        self.servers[index].running = self.servers[index].running.saturating_sub(1);
        if clean {
            self.release(now, key, false);
        } else {
            self.close_conn(key);
            self.serve_waiters(now, index);
        }
    }

    /// Handles the loss of a lent connection.
    pub(crate) fn on_lent_conn_lost(&mut self, now: Instant, key: ConnKey) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let Some((stream, loan)) = conn.lent_to.take() else {
            return;
        };
        let index = conn.server;
        self.servers[index].running = self.servers[index].running.saturating_sub(1);
        if let Some(borrower) = self.borrowers.0.get_mut(&stream) {
            borrower.loans.remove(&loan);
        }
        self.borrowers.send(now, stream, Lend::Lost { loan });
    }

    /// Denies the requests of all borrowers that wait for a server. `failed` tells them that the
    /// server cannot be used.
    pub(crate) fn deny_waiters(&mut self, now: Instant, index: usize, failed: bool) {
        for waiter in self.servers[index].waiters.take() {
            if let Some(borrower) = self.borrowers.0.get_mut(&waiter.stream) {
                borrower.loans.remove(&waiter.loan);
            }
            self.metrics.common.refusals.add("loan");
            let deny = Lend::Deny {
                loan: waiter.loan,
                failed,
            };
            self.borrowers.send(now, waiter.stream, deny);
        }
    }

    /// Removes a borrower. Closing its connections rolls back its open transactions.
    fn on_borrower_lost(&mut self, stream: u64) {
        let Some(borrower) = self.borrowers.0.remove(&stream) else {
            return;
        };
        for server in &mut self.servers {
            server.waiters.retain(|waiter| waiter.stream != stream);
        }
        for key in borrower.loans.into_values().flatten() {
            if let Some(conn) = self.conns.get_mut(key) {
                conn.lent_to = None;
                let server = &mut self.servers[conn.server];
                server.running = server.running.saturating_sub(1);
            }
            self.close_conn(key);
        }
    }

    /// Sends a pulse to borrowers with open loans.
    pub(crate) fn pulse_borrowers(&mut self, now: Instant) {
        let is_due = |borrower: &Borrower| {
            !borrower.loans.is_empty() && now >= borrower.sent_at + PULSE_INTERVAL
        };
        let streams = self.borrowers.0.iter();
        let due: Vec<u64> = streams
            .filter(|(_, borrower)| is_due(borrower))
            .map(|(id, _)| *id)
            .collect();
        for stream in due {
            self.borrowers.send(now, stream, Lend::Pulse);
        }
    }
}

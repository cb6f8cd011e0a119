//! Connections lent to other proxies. Their content is passed through unread.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::{Buf as _, BytesMut};
use clock::Clock;
use tokio::sync::mpsc;
use wire::{Borrow, Lend};

use crate::event::ConnKey;
use crate::process::Loop;
use crate::protocol::{Answer, Code, Protocol};
use crate::server::Conn;
use crate::timer::Timer;

/// Maximum number of borrowers that wait for one server.
const MAX_WAITERS: usize = 400;
/// How long a proxy lends in place of the lenders after the last request that made it do so.
const BACKUP_PERIOD: Duration = Duration::from_secs(4);
/// Interval of pulses to borrowers with open loans.
const PULSE_INTERVAL: Duration = Duration::from_millis(250);

/// A borrower that waits for a connection.
#[derive(Clone, Copy, Debug)]
pub struct Waiter {
    stream: u64,
    loan: u64,
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

    fn send(&mut self, now: Instant, stream: u64, message: Lend) {
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
                tenant: _,
            } => {
                let start_by = now + Duration::from_millis(start_in_ms.into());
                self.on_loan_requested(now, Waiter { stream, loan }, &server, (rank, start_by));
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
        let Waiter { stream, loan } = waiter;
        let index = self.server_indices.get(server).copied();
        let index = index.filter(|index| {
            let server = &self.servers[*index];
            let lends = server.listed && !self.is_ending_transactions(now);
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
        if self.servers[index].uses_lenders {
            self.start_backup_lending(now, self.servers[index].service);
        }
        let Some(borrower) = self.borrowers.0.get_mut(&stream) else {
            return;
        };
        borrower.loans.insert(loan, None);
        self.servers[index].waiters.push(rank, start_by, waiter);
        self.serve_waiters(now, index);
        let waits = |borrower: &Borrower| matches!(borrower.loans.get(&loan), Some(None));
        if self.borrowers.0.get(&stream).is_some_and(waits) && !self.has_slot(now, index) {
            self.borrowers.send(now, stream, Lend::Queued { loan });
        }
    }

    /// Starts to lend connections of a service because a borrower could get none from its lenders.
    fn start_backup_lending(&mut self, now: Instant, service: usize) {
        tracing::info!(
            service = self.services[service].name,
            "lending connections in place of the lenders of a service"
        );
        self.services[service].backup_until = Some(now + BACKUP_PERIOD);
        self.update_shares(service);
    }

    /// Stops lending in place of lenders that are available again.
    pub(crate) fn end_backup_lending(&mut self, now: Instant) {
        for service in 0..self.services.len() {
            let over = |until: &mut Instant| *until <= now;
            if self.services[service].backup_until.take_if(over).is_some() {
                self.update_shares(service);
            }
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
            let borrower = self.borrowers.0.get_mut(&waiter.stream);
            let Some(loan) = borrower.and_then(|borrower| borrower.loans.get_mut(&waiter.loan))
            else {
                self.servers[index].idle.push(key);
                continue;
            };
            *loan = Some(key);
            if let Some(conn) = self.conns.get_mut(key) {
                conn.lent_to = Some((waiter.stream, waiter.loan));
                (conn.lent_pending, conn.lent_started) = (1, false);
                conn.needs_reset = true;
                conn.used_at = now;
            }
            self.servers[index].running += 1;
            let grant = Lend::Grant { loan: waiter.loan };
            self.borrowers.send(now, waiter.stream, grant);
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
            self.open_own(now, index);
        }
    }

    /// Lends the connections that this proxy's own statements have left idle.
    pub(crate) fn lend_idle(&mut self, now: Instant, service: usize) {
        for index in self.services[service].servers.clone() {
            if !self.servers[index].waiters.is_empty() {
                self.serve_waiters(now, index);
            }
        }
    }

    /// Forwards a server's bytes to the borrower of the connection. Returns false if it is not
    /// lent.
    pub(crate) fn forward_to_borrower(
        &mut self,
        now: Instant,
        key: ConnKey,
        bytes: &BytesMut,
    ) -> bool {
        let Some(conn) = self.conns.get(key) else {
            return false;
        };
        let Some((stream, loan)) = conn.lent_to else {
            return false;
        };
        let index = conn.server;
        self.servers[index].on_lent_bytes(now);
        let message = Lend::Receive {
            loan,
            bytes: bytes.to_vec().into(),
        };
        self.borrowers.send(now, stream, message);
        self.count_lent_answers(now, key, bytes);
        true
    }

    /// Counts the answers in a server's bytes for a borrower, and learns from them whether the server
    /// has slots.
    fn count_lent_answers(&mut self, now: Instant, key: ConnKey, bytes: &[u8]) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        conn.inbox.extend_from_slice(bytes);
        let server = &mut self.servers[conn.server];
        let was_busy = conn.lent_pending > 0;
        while let Ok(Some((len, answer))) = P::decode_answer(&conn.inbox, self.settings.max_message)
        {
            match answer {
                Answer::Ready { .. } => conn.lent_pending = conn.lent_pending.saturating_sub(1),
                Answer::Row => server.window.on_served(),
                Answer::Error {
                    code: Code::Busy, ..
                } => server.window.on_rejected(now),
                Answer::Complete | Answer::Error { .. } => {}
            }
            conn.inbox.advance(len);
        }
        if was_busy && conn.lent_pending == 0 {
            self.due_services.push(server.service);
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

/// Number of requests in the bytes that a borrower has sent. A borrower sends whole messages only.
fn count_requests<P: Protocol>(mut bytes: &[u8], max_message: usize) -> usize {
    let mut count = 0;
    while let Ok(Some((len, _))) = P::decode_request(bytes, max_message) {
        bytes = &bytes[len..];
        count += 1;
    }
    count
}

//! Loans from other proxies: their use, when one is returned, and when a request for one is withdrawn.

use std::time::Instant;

use clock::Clock;
use wire::Borrow;

use crate::borrow::CAUSE_LENDER_LOST;
use crate::conn::Conn;
use crate::event::{ConnKey, SessionKey};
use crate::process::Loop;
use crate::protocol::Protocol;

impl<P: Protocol, C: Clock> Loop<P, C> {
    /// Has statements that another server may run tried there; the request stays in the queue.
    pub(crate) fn on_queued(&mut self, now: Instant, key: ConnKey) {
        let Some(conn) = self.conns.get(key) else {
            return;
        };
        let server = &mut self.servers[conn.server];
        server.on_full_slots(now);
        self.due_services.push(server.service);
    }

    pub(crate) fn on_granted(&mut self, now: Instant, key: ConnKey) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let Some(loan) = &mut conn.loan else {
            return;
        };
        loan.granted = true;
        conn.used_at = now;
        let server = &mut self.servers[conn.server];
        server.opening = server.opening.saturating_sub(1);
        self.release(now, key, false);
    }

    /// Sends the bytes written to a loan to its lender.
    pub(crate) fn send_borrowed(&mut self, now: Instant, key: ConnKey) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let Some(loan) = &conn.loan else {
            return;
        };
        let lender = loan.lender;
        if conn.out.is_empty() {
            return;
        }
        let message = Borrow::Send {
            loan: loan.number,
            bytes: conn.out.split().to_vec().into(),
        };
        if !self.lenders.send(lender, message) {
            self.on_lender_lost(now, lender, CAUSE_LENDER_LOST);
        }
    }

    /// Withdraws requests for connections that no statement waits for any more.
    pub(crate) fn withdraw_requests(&mut self) {
        let is_needless = |conn: &Conn| {
            let requested = conn.loan.is_some_and(|loan| !loan.granted);
            let service = &self.services[self.servers[conn.server].service];
            let wants = |key: &SessionKey| {
                let query = self.sessions.get(*key).and_then(|s| s.query.as_ref());
                query.is_some_and(|query| query.route.tenant == conn.tenant)
            };
            let wanted = match conn.tenant {
                None => !service.waiting.is_empty(),
                Some(_) => service.waiting.iter().any(wants),
            };
            requested && !wanted && service.unusable_since.is_none()
        };
        let needless = self.conns.iter().filter(|(_, conn)| is_needless(conn));
        for key in needless.map(|(key, _)| key).collect::<Vec<_>>() {
            self.return_loan(key, true);
            self.close_conn(key);
        }
    }

    /// Returns a loan that a full server has left idle at once. The lender decides when the next
    /// statement may be sent; on the same loan it would be sent immediately.
    pub(crate) fn return_idle_loan(&mut self, key: ConnKey) {
        let is_idle = |conn: &Conn| conn.loan.is_some() && conn.pending.is_empty();
        if self.conns.get(key).is_some_and(is_idle) {
            self.return_loan(key, true);
            self.close_conn(key);
        }
    }

    /// Returns loans that are unused at the end of the turn. A loan of an unusable primary is first
    /// used to probe whether the primary leads.
    pub(crate) fn return_idle_loans(&mut self, now: Instant) {
        for key in std::mem::take(&mut self.lenders.idle_loans) {
            let Some(conn) = self.conns.get(key) else {
                continue;
            };
            let index = conn.server;
            if conn.session.is_some() || !conn.pending.is_empty() {
                continue;
            }
            let service = &self.services[self.servers[index].service];
            if service.primary == Some(index) && service.unusable_since.is_some() {
                self.servers[index].idle.retain(|other| *other != key);
                self.probe_on(now, key);
            } else {
                self.return_loan(key, true);
                self.close_conn(key);
            }
        }
    }

    /// Tells the lender that a loan has ended.
    pub(crate) fn return_loan(&mut self, key: ConnKey, clean: bool) {
        let Some(loan) = self.conns.get_mut(key).and_then(|conn| conn.loan.take()) else {
            return;
        };
        if let Some(conn) = self.conns.get(key) {
            let server = &mut self.servers[conn.server];
            server.borrowed = server.borrowed.saturating_sub(1);
            if !loan.granted {
                server.opening = server.opening.saturating_sub(1);
            }
        }
        self.lenders.end_loan(loan);
        if let Some(out) = self.lenders.outbox(loan.lender) {
            out.return_loan(loan.number, clean);
        }
    }
}

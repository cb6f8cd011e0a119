//! Ends of loans: when a borrowed connection is returned, and a request for one withdrawn.

use std::time::Instant;

use clock::Clock;
use wire::Borrow;

use crate::event::ConnKey;
use crate::process::Loop;
use crate::protocol::Protocol;
use crate::server::Conn;

impl<P: Protocol, C: Clock> Loop<P, C> {
    /// Withdraws requests for connections that no statement waits for any more.
    pub(crate) fn withdraw_requests(&mut self) {
        let is_needless = |conn: &Conn| {
            let requested = conn.loan.is_some_and(|loan| !loan.granted);
            let service = &self.services[self.servers[conn.server].service];
            requested && service.waiting.is_empty() && service.unusable_since.is_none()
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
        let message = Borrow::Return {
            loan: loan.number,
            clean,
        };
        // A stream whose queue is full is about to be closed, and the lender then closes the lent
        // connections.
        let _sent = self.lenders.send(loan.lender, message);
    }
}

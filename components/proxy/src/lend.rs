//! Connections lent to other entries. What they send on them is not read here.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use clock::Clock;
use tokio::sync::mpsc;
use wire::{Borrow, Lend};

use crate::event::ConnKey;
use crate::process::Loop;
use crate::protocol::Protocol;

/// Borrowers that may wait for one server.
const MAX_ASKED: usize = 400;
/// How long an entry that was asked in place of the lenders lends.
const STAND_IN: Duration = Duration::from_secs(4);
/// Interval of signs of life to borrowers with loans out.
const PULSE: Duration = Duration::from_millis(250);

/// A borrower that waits for a connection.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    stream: u64,
    loan: u64,
    rank: u8,
}

/// An entry that borrows.
#[derive(Debug)]
struct Borrower {
    out: mpsc::Sender<Lend>,
    /// Loans with their connections; none while one waits.
    loans: BTreeMap<u64, Option<ConnKey>>,
    sent_at: Instant,
}

/// All borrowers, by their streams.
#[derive(Debug, Default)]
pub struct Borrowers(BTreeMap<u64, Borrower>);

impl Borrowers {
    /// Whether nothing is lent.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.0.values().all(|borrower| borrower.loans.is_empty())
    }

    fn send(&mut self, now: Instant, stream: u64, message: Lend) {
        if let Some(borrower) = self.0.get_mut(&stream) {
            borrower.sent_at = now;
            // A borrower that does not read loses its stream by its own time limit.
            let _dropped = borrower.out.try_send(message);
        }
    }
}

impl<P: Protocol, C: Clock> Loop<P, C> {
    pub(crate) fn on_borrower(&mut self, now: Instant, stream: u64, out: mpsc::Sender<Lend>) {
        let borrower = Borrower {
            out,
            loans: BTreeMap::new(),
            sent_at: now,
        };
        self.borrowers.0.insert(stream, borrower);
    }

    pub(crate) fn on_borrow(&mut self, now: Instant, stream: u64, event: link::Event<Borrow>) {
        let message = match event {
            link::Event::Message(message) => message,
            link::Event::Closed(_) => return self.on_borrower_lost(stream),
        };
        match message {
            Borrow::Open { version, instance } => {
                if version == wire::VERSION {
                    tracing::debug!(instance, "borrower");
                } else {
                    self.metrics.common.refusals.add("version");
                    self.on_borrower_lost(stream);
                }
            }
            Borrow::Ask { loan, server, rank } => self.on_asked(now, stream, loan, &server, rank),
            Borrow::Send { loan, bytes } => {
                if let Some(key) = self.lent(stream, loan)
                    && let Some(conn) = self.conns.get_mut(key)
                {
                    conn.out.extend_from_slice(&bytes);
                    conn.since = now;
                    self.dirty_conns.push(key);
                }
            }
            Borrow::Return { loan, clean } => self.on_returned(now, stream, loan, clean),
        }
    }

    fn lent(&self, stream: u64, loan: u64) -> Option<ConnKey> {
        *self.borrowers.0.get(&stream)?.loans.get(&loan)?
    }

    fn on_asked(&mut self, now: Instant, stream: u64, loan: u64, server: &str, rank: u8) {
        let index = self.indices.get(server).copied();
        let index = index.filter(|index| {
            let server = &self.servers[*index];
            let lends = server.listed && !self.is_ending(now);
            lends && !server.is_down(now) && server.asked.len() < MAX_ASKED
        });
        let Some(index) = index else {
            self.metrics.common.refusals.add("loan");
            let down = |index: &usize| self.servers[*index].is_down(now);
            let failed = self.indices.get(server).is_some_and(down);
            return self
                .borrowers
                .send(now, stream, Lend::Deny { loan, failed });
        };
        if self.servers[index].borrows {
            self.stand_in(now, self.servers[index].service);
        }
        let Some(borrower) = self.borrowers.0.get_mut(&stream) else {
            return;
        };
        borrower.loans.insert(loan, None);
        let asked = &mut self.servers[index].asked;
        let position = asked.iter().rposition(|other| other.rank <= rank);
        let position = position.map_or(0, |position| position + 1);
        asked.insert(position, Asked { stream, loan, rank });
        self.serve_asked(now, index);
    }

    /// Lends connections of a service for others that can't: it is asked next after them.
    fn stand_in(&mut self, now: Instant, service: usize) {
        tracing::info!(service = self.services[service].name, "lends for others");
        self.services[service].stands_in_until = Some(now + STAND_IN);
        self.share_out(service);
    }

    /// Ends lending for others that are back.
    pub(crate) fn end_stand_ins(&mut self, now: Instant) {
        for service in 0..self.services.len() {
            let over = |until: &mut Instant| *until <= now;
            if self.services[service]
                .stands_in_until
                .take_if(over)
                .is_some()
            {
                self.share_out(service);
            }
        }
    }

    /// Lends idle connections to those who wait, and opens more as far as allowed.
    pub(crate) fn serve_asked(&mut self, now: Instant, index: usize) {
        while !self.servers[index].asked.is_empty() {
            let own = |key: &ConnKey| self.conns.get(*key).is_some_and(|it| it.loan.is_none());
            let Some(position) = self.servers[index].idle.iter().rposition(own) else {
                break;
            };
            let key = self.servers[index].idle.remove(position);
            let Some(asked) = self.servers[index].asked.pop_front() else {
                break;
            };
            let borrower = self.borrowers.0.get_mut(&asked.stream);
            let Some(loan) = borrower.and_then(|it| it.loans.get_mut(&asked.loan)) else {
                self.servers[index].idle.push(key);
                continue;
            };
            *loan = Some(key);
            if let Some(conn) = self.conns.get_mut(key) {
                conn.lent_to = Some((asked.stream, asked.loan));
                conn.stale = true;
                conn.since = now;
            }
            self.servers[index].running += 1;
            let grant = Lend::Grant { loan: asked.loan };
            self.borrowers.send(now, asked.stream, grant);
        }
        let wanted = self.servers[index].asked.len();
        while self.servers[index].opening < wanted {
            // Beyond the share they are opened one by one, as the server may have none to give.
            let server = &mut self.servers[index];
            if server.opening == 0 {
                server.borrow(now);
            }
            if !server.has_own_room(now) {
                return;
            }
            self.open_own(now, index);
        }
    }

    /// Lends what the own statements have left idle.
    pub(crate) fn lend_idle(&mut self, now: Instant, service: usize) {
        for index in self.services[service].servers.clone() {
            if !self.servers[index].asked.is_empty() {
                self.serve_asked(now, index);
            }
        }
    }

    /// Bytes of a server for whoever has borrowed the connection.
    pub(crate) fn pass_on(&mut self, now: Instant, key: ConnKey, bytes: &BytesMut) -> bool {
        let Some(conn) = self.conns.get(key) else {
            return false;
        };
        let Some((stream, loan)) = conn.lent_to else {
            return false;
        };
        self.servers[conn.server].on_sign(now);
        let bytes = bytes.to_vec().into();
        self.borrowers
            .send(now, stream, Lend::Receive { loan, bytes });
        true
    }

    fn on_returned(&mut self, now: Instant, stream: u64, loan: u64, clean: bool) {
        let borrower = self.borrowers.0.get_mut(&stream);
        let Some(lent) = borrower.and_then(|it| it.loans.remove(&loan)) else {
            return;
        };
        let Some(key) = lent else {
            for server in &mut self.servers {
                server
                    .asked
                    .retain(|it| (it.stream, it.loan) != (stream, loan));
            }
            return;
        };
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        conn.lent_to = None;
        let index = conn.server;
        self.servers[index].running = self.servers[index].running.saturating_sub(1);
        if clean {
            self.release(now, key, false);
        } else {
            self.close_conn(key);
            self.serve_asked(now, index);
        }
    }

    /// The connection to the server that was lent has ended.
    pub(crate) fn on_lent_lost(&mut self, now: Instant, key: ConnKey) {
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

    /// Denies those who wait for a server. `failed` tells that it can't be used.
    pub(crate) fn deny_asked(&mut self, now: Instant, index: usize, failed: bool) {
        for asked in std::mem::take(&mut self.servers[index].asked) {
            if let Some(borrower) = self.borrowers.0.get_mut(&asked.stream) {
                borrower.loans.remove(&asked.loan);
            }
            self.metrics.common.refusals.add("loan");
            let deny = Lend::Deny {
                loan: asked.loan,
                failed,
            };
            self.borrowers.send(now, asked.stream, deny);
        }
    }

    /// A borrower is gone; what it may have open is rolled back with the connection.
    fn on_borrower_lost(&mut self, stream: u64) {
        let Some(borrower) = self.borrowers.0.remove(&stream) else {
            return;
        };
        for server in &mut self.servers {
            server.asked.retain(|it| it.stream != stream);
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

    /// Shows borrowers with loans out that this entry is alive.
    pub(crate) fn pulse_borrowers(&mut self, now: Instant) {
        let due = |it: &Borrower| !it.loans.is_empty() && now >= it.sent_at + PULSE;
        let streams = self.borrowers.0.iter();
        let due: Vec<u64> = streams
            .filter(|(_, it)| due(it))
            .map(|(id, _)| *id)
            .collect();
        for stream in due {
            self.borrowers.send(now, stream, Lend::Pulse);
        }
    }
}

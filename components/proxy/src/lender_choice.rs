//! Choice of the lender that is asked for a connection, and lenders that can't be asked.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clock::Clock;

use crate::borrow::{CAUSE_LENDER_LOST, Lender, REDIAL_DELAY, State};
use crate::event::ConnKey;
use crate::lenders::Duty;
use crate::process::Loop;
use crate::protocol::Protocol;
use crate::tenant;
use crate::timer::Timer;

/// A lender with open loans that sends nothing for this long counts as lost. It sends several
/// pulses in this time.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);
/// After this time without an answer to a request, reads that wait for it are tried on other
/// servers. A lender answers at once, or as soon as it has opened a connection.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(150);

/// Delay before a lender that was silent is dialed again. With the delay after other losses, two
/// silent lenders that accept streams are asked in turn, and no stand-in is.
const SILENT_REDIAL_DELAY: Duration = Duration::from_secs(2);

/// Result of the search for a lender.
#[derive(Clone, Copy, Debug)]
pub enum Choice {
    Ask(SocketAddr),
    /// A lender is being dialed; waiting statements are dispatched again when that ends.
    Dialing,
    None,
}

impl Lender {
    /// Whether it has sent nothing for a while although it has lent or was asked to lend.
    fn is_silent(&self, now: Instant) -> bool {
        let up = matches!(self.state, State::Up(_));
        up && !self.loans.is_empty() && now >= self.silent_since + SILENCE_TIMEOUT
    }
}

impl<P: Protocol, C: Clock> Loop<P, C> {
    /// Finds a lender that can be asked for a connection to a server now, and dials lenders that
    /// are not connected.
    pub(crate) fn choose_lender(
        &mut self,
        now: Instant,
        index: usize,
        tenant: Option<tenant::Id>,
    ) -> Choice {
        let mut choice = Choice::None;
        let by_server = self.lenders.by_server;
        let server = &self.servers[index];
        let name = if by_server {
            &server.id
        } else {
            &self.services[server.service].name
        };
        let instance = self.settings.instance.as_str();
        let tenant = tenant.map(|tenant| self.directory.name(tenant));
        let order = self.lending(server).ask_order(instance, tenant, name);
        let mut lender_may_serve = false;
        for (address, is_lender) in order {
            if by_server && !is_lender && lender_may_serve {
                // A stand-in would open connections beside those of the lenders.
                break;
            }
            let Some(lender) = self.lenders.streams.get(&address) else {
                self.dial_lender(now, address);
                return Choice::Dialing;
            };
            let denied = self.servers[index].denied.get(&address).copied();
            let denied = denied.max(lender.denied_until);
            match &lender.state {
                State::Up(out) if !out.must_close() && denied.is_none_or(|until| until <= now) => {
                    return Choice::Ask(address);
                }
                State::Down(at) if *at <= now => {
                    self.dial_lender(now, address);
                    choice = Choice::Dialing;
                }
                State::Dialing => {
                    choice = Choice::Dialing;
                    lender_may_serve |= is_lender && !lender.was_lost;
                }
                State::Up(_) => lender_may_serve |= is_lender,
                State::Down(_) => {}
            }
        }
        choice
    }

    /// Makes reads prefer other servers while a server's lender is being dialed.
    pub(crate) fn on_dialing_lender(&mut self, now: Instant, index: usize) {
        let server = &mut self.servers[index];
        if self.lenders.by_server && !server.has_full_slots(now) {
            server.on_full_slots(now);
            self.due_services.push(server.service);
        }
    }

    /// Handles that a server's connections can't be borrowed now. With tenants, only lenders and
    /// their stand-ins open connections, and the server counts as unreachable for a moment.
    pub(crate) fn on_no_lender(&mut self, now: Instant, index: usize, tenant: Option<tenant::Id>) {
        if !self.lenders.by_server {
            return self.open_without_lender(now, index, tenant);
        }
        let server = &self.servers[index];
        let instance = self.settings.instance.as_str();
        let order = server.lending.ask_order(instance, None, &server.id);
        let mut until = now + REDIAL_DELAY;
        let mut all_lost = server.lending.duty != Duty::Unknown;
        for (address, _) in order {
            match self
                .lenders
                .streams
                .get(&address)
                .map(|lender| &lender.state)
            {
                Some(State::Down(at)) if *at > now => until = until.min(*at),
                Some(State::Up(_)) => {
                    all_lost = false;
                    if let Some(at) = server.denied.get(&address).filter(|at| **at > now) {
                        until = until.min(*at);
                    }
                }
                _ => {}
            }
        }
        let service = server.service;
        self.servers[index].no_lender_until = Some(until);
        self.metrics.server_failures.add("no_lender");
        self.timers.add(until, Timer::Service(service));
        self.due_services.push(service);
        if all_lost {
            self.mark_unusable(now, index);
        }
    }

    /// Records which server's connections a lender denied.
    pub(crate) fn on_denied(
        &mut self,
        key: ConnKey,
        lender: SocketAddr,
        until: Instant,
        failed: bool,
    ) {
        if self.lenders.by_server
            && !failed
            && let Some(conn) = self.conns.get(key)
        {
            self.servers[conn.server].denied.insert(lender, until);
        }
    }

    /// Schedules a check of a request that was just sent.
    pub(crate) fn schedule_request_check(&mut self, now: Instant) {
        if self.lenders.by_server && !self.lenders.check_scheduled {
            self.lenders.check_scheduled = true;
            self.timers.add(now + REQUEST_TIMEOUT, Timer::Requests);
        }
    }

    pub(crate) fn check_requests(&mut self, now: Instant) {
        self.lenders.check_scheduled = false;
        if let Some(due) = self.skip_unanswered(now) {
            self.lenders.check_scheduled = true;
            self.timers.add(due, Timer::Requests);
        }
    }

    /// Makes reads that wait for silent lenders prefer other servers. Returns when the next request
    /// will have waited too long.
    fn skip_unanswered(&mut self, now: Instant) -> Option<Instant> {
        let mut next: Option<Instant> = None;
        for lender in self.lenders.streams.values() {
            for conn in lender.loans.values().filter_map(|key| self.conns.get(*key)) {
                if conn.loan.is_none_or(|loan| loan.granted) {
                    continue;
                }
                let due = conn.used_at.max(lender.silent_since) + REQUEST_TIMEOUT;
                if due > now {
                    next = Some(next.map_or(due, |next| next.min(due)));
                    continue;
                }
                let server = &mut self.servers[conn.server];
                server.on_unanswered_request(now);
                self.due_services.push(server.service);
            }
        }
        next
    }

    /// Closes the streams of lenders that are silent although they have open loans, and of those that
    /// could not be told of the end of a loan.
    pub(crate) fn close_failed_lenders(&mut self, now: Instant) {
        if self.lenders.by_server {
            self.skip_unanswered(now);
        }
        let must_close =
            |lender: &Lender| matches!(&lender.state, State::Up(out) if out.must_close());
        let unreturned = self.lenders.streams.iter();
        let unreturned = unreturned.filter(|(_, lender)| must_close(lender));
        for address in unreturned.map(|(address, _)| *address).collect::<Vec<_>>() {
            self.on_lender_lost(now, address, CAUSE_LENDER_LOST);
        }
        let silent = self.lenders.streams.iter();
        let silent = silent.filter(|(_, lender)| lender.is_silent(now));
        let silent: Vec<SocketAddr> = silent.map(|(address, _)| *address).collect();
        for address in silent {
            self.on_lender_lost(now, address, CAUSE_LENDER_LOST);
            let lender = self.lenders.streams.get_mut(&address);
            if let Some(lender) = lender.filter(|_| self.lenders.by_server) {
                lender.state = State::Down(now + SILENT_REDIAL_DELAY);
            }
        }
    }
}

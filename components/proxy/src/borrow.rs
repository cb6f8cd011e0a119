//! Connections borrowed from other entries.
//!
//! A loan is a connection like any other, but that its bytes go through the lender. It is asked for when
//! a statement waits and given back as soon as nobody here needs it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clock::Clock;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use wire::{Borrow, Lend};

use crate::event::{ConnKey, Event};
use crate::lenders::{LENDERS, Neighbour, STAND_INS, preferred, ranked};
use crate::process::Loop;
use crate::protocol::Protocol;
use crate::server::{Conn, Loan};

/// Cause of the loss of a loan that says nothing of the server.
pub const LENDER_LOST: &str = "lender_lost";
/// Pause before a lender is dialled again.
const RETRY: Duration = Duration::from_millis(500);
/// Time without a sign of a lender with loans out after which it counts as lost. It sends several in
/// this time.
const SILENCE: Duration = Duration::from_millis(700);
/// How long a lender is passed over that lends no more, or not yet.
const PASSED_OVER: Duration = Duration::from_millis(500);
/// Messages that wait for a stream.
const OUT: usize = 1024;

#[derive(Debug)]
enum State {
    Down(Instant),
    Dialing,
    Up(mpsc::Sender<Borrow>),
}

/// Where to ask for a connection.
#[derive(Clone, Copy, Debug)]
enum Choice {
    Ask(SocketAddr),
    /// A lender is dialled; statements are looked at again once that has ended.
    Dialing,
    None,
}

/// Another entry, and what is borrowed from it.
#[derive(Debug)]
struct Lender {
    state: State,
    /// Number of the present dial; events of earlier ones are dropped.
    dial: u64,
    heard_at: Instant,
    denied_until: Option<Instant>,
    loans: BTreeMap<u64, ConnKey>,
}

/// All lenders, and the entries of the own failure domain.
#[derive(Debug, Default)]
pub struct Lenders {
    entries: Vec<Neighbour>,
    streams: BTreeMap<SocketAddr, Lender>,
    next_loan: u64,
    next_dial: u64,
    /// Loans that are idle, to be given back at the end of the turn.
    pub idle: Vec<ConnKey>,
}

impl Lenders {
    /// Whether the entry is one of the lenders of a service; none if no entries are known.
    #[must_use]
    pub fn is_lender(&self, instance: &str, service: &str) -> Option<bool> {
        let ranked = ranked(&self.entries, service);
        let mut lenders = ranked.iter().take(LENDERS);
        (!ranked.is_empty()).then(|| lenders.any(|it| it.instance == instance))
    }

    /// The other entries in the order in which this one asks them for connections of a service.
    #[must_use]
    pub fn of(&self, instance: &str, service: &str) -> Vec<SocketAddr> {
        let mut ranked = ranked(&self.entries, service);
        ranked.truncate(LENDERS + STAND_INS);
        if ranked.len() >= LENDERS {
            ranked[..LENDERS].rotate_left(preferred(instance, service));
        }
        let others = ranked.iter().filter(|it| it.instance != instance);
        others.map(|it| it.address).collect()
    }

    /// Whether a lender has given no sign of life since `since`.
    #[must_use]
    pub fn is_silent_since(&self, lender: SocketAddr, since: Instant) -> bool {
        let lender = self.streams.get(&lender);
        lender.is_none_or(|lender| lender.heard_at <= since)
    }

    fn send(&mut self, lender: SocketAddr, message: Borrow) -> bool {
        let Some(Lender {
            state: State::Up(out),
            ..
        }) = self.streams.get(&lender)
        else {
            return false;
        };
        out.try_send(message).is_ok()
    }
}

impl<P: Protocol, C: Clock> Loop<P, C> {
    pub(crate) fn on_neighbours(&mut self, entries: &[wire::Neighbour]) {
        let entry = |raw: &wire::Neighbour| {
            Some(Neighbour {
                instance: raw.instance.clone(),
                address: raw.address.parse().ok()?,
            })
        };
        self.lenders.entries = entries.iter().filter_map(entry).collect();
        tracing::info!(entries = self.lenders.entries.len(), "neighbours");
        let known = &self.lenders.entries;
        let listed = |address: &SocketAddr| known.iter().any(|it| it.address == *address);
        self.lenders
            .streams
            .retain(|address, it| listed(address) || !it.loans.is_empty());
        for index in 0..self.services.len() {
            self.find_lenders(index);
        }
        self.changed = true;
    }

    /// Takes note of who lends connections of a service.
    pub(crate) fn find_lenders(&mut self, index: usize) {
        let (instance, service) = (self.settings.instance.as_str(), &mut self.services[index]);
        service.lends = self.lenders.is_lender(instance, &service.name);
        service.lenders = self.lenders.of(instance, &service.name);
    }

    /// A lender that can be asked for a connection of a service now. Those that would do are dialled.
    fn lender(&mut self, now: Instant, service: usize) -> Choice {
        let mut choice = Choice::None;
        for address in self.services[service].lenders.clone() {
            let Some(lender) = self.lenders.streams.get(&address) else {
                self.dial_lender(now, address);
                return Choice::Dialing;
            };
            match lender.state {
                State::Up(_) if lender.denied_until.is_none_or(|until| until <= now) => {
                    return Choice::Ask(address);
                }
                State::Down(at) if at <= now => {
                    self.dial_lender(now, address);
                    choice = Choice::Dialing;
                }
                State::Dialing => choice = Choice::Dialing,
                State::Up(_) | State::Down(_) => {}
            }
        }
        choice
    }

    fn dial_lender(&mut self, now: Instant, address: SocketAddr) {
        self.lenders.next_dial += 1;
        let dial = self.lenders.next_dial;
        let lender = Lender {
            state: State::Dialing,
            dial,
            heard_at: now,
            denied_until: None,
            loans: BTreeMap::new(),
        };
        self.lenders.streams.insert(address, lender);
        let events = self.events.clone();
        spawn_local(async move {
            let Ok(stream) = link::dial(address, link::LOAN_PATH).await else {
                let _ended = events.send(Event::LenderDialed(address, dial, None)).await;
                return;
            };
            let (out, outgoing) = mpsc::channel(OUT);
            let dialed = Event::LenderDialed(address, dial, Some(out));
            if events.send(dialed).await.is_ok() {
                let wrap = move |event| Event::Lender(address, dial, event);
                stream.run(outgoing, events, wrap).await;
            }
        });
    }

    pub(crate) fn on_lender_dialed(
        &mut self,
        now: Instant,
        address: SocketAddr,
        dial: u64,
        out: Option<mpsc::Sender<Borrow>>,
    ) {
        let Some(lender) = self.lenders.streams.get_mut(&address) else {
            return;
        };
        if lender.dial != dial {
            return;
        }
        lender.heard_at = now;
        self.due.extend(0..self.services.len());
        let Some(out) = out else {
            lender.state = State::Down(now + RETRY);
            return;
        };
        // The channel is new and has room.
        let _sent = out.try_send(Borrow::Open {
            version: wire::VERSION,
            instance: self.settings.instance.to_string(),
        });
        lender.state = State::Up(out);
    }

    /// Asks a lender for a connection to a server. False if there is none, nor one that is dialled.
    pub(crate) fn ask_lender(&mut self, now: Instant, index: usize, rank: u8) -> bool {
        let address = match self.lender(now, self.servers[index].service) {
            Choice::Ask(address) => address,
            Choice::Dialing => return true,
            Choice::None => return false,
        };
        self.lenders.next_loan += 1;
        let loan = self.lenders.next_loan;
        let ask = Borrow::Ask {
            loan,
            server: self.servers[index].id.clone(),
            rank,
        };
        if !self.lenders.send(address, ask) {
            self.lose_lender(now, address, LENDER_LOST);
            return false;
        }
        let key = self.conns.insert(Conn::borrowed(
            index,
            now,
            Loan {
                lender: address,
                number: loan,
                granted: false,
            },
        ));
        self.servers[index].conns.push(key);
        self.servers[index].opening += 1;
        self.servers[index].loans += 1;
        if let Some(lender) = self.lenders.streams.get_mut(&address) {
            if lender.loans.is_empty() {
                lender.heard_at = now;
            }
            lender.loans.insert(loan, key);
        }
        self.metrics.borrowed.inc();
        true
    }

    pub(crate) fn on_lender(
        &mut self,
        now: Instant,
        address: SocketAddr,
        dial: u64,
        event: link::Event<Lend>,
    ) {
        let Some(lender) = self.lenders.streams.get_mut(&address) else {
            return;
        };
        if lender.dial != dial {
            return;
        }
        lender.heard_at = now;
        let message = match event {
            link::Event::Message(message) => message,
            link::Event::Closed(_) => return self.lose_lender(now, address, LENDER_LOST),
        };
        let conn = |loan: u64| lender.loans.get(&loan).copied();
        match message {
            Lend::Grant { loan } => {
                if let Some(key) = conn(loan) {
                    self.on_granted(now, key);
                }
            }
            Lend::Receive { loan, bytes } => {
                if let Some(key) = conn(loan) {
                    self.on_bytes(now, key, &bytes);
                }
            }
            Lend::Deny { loan, failed } => {
                let key = conn(loan);
                if !failed {
                    lender.denied_until = Some(now + PASSED_OVER);
                }
                if let Some(key) = key {
                    let cause = if failed { "loan_denied" } else { LENDER_LOST };
                    self.on_conn_lost(now, key, cause);
                }
            }
            Lend::Lost { loan } => {
                if let Some(key) = conn(loan) {
                    self.on_conn_lost(now, key, "closed");
                }
            }
            Lend::Pulse => {}
        }
    }

    fn on_granted(&mut self, now: Instant, key: ConnKey) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let Some(loan) = &mut conn.loan else {
            return;
        };
        loan.granted = true;
        conn.since = now;
        let server = &mut self.servers[conn.server];
        server.opening = server.opening.saturating_sub(1);
        self.release(now, key, false);
    }

    /// Gives loans back that nobody has taken by the end of the turn. One of a primary that is missed
    /// is used to ask whether it leads.
    pub(crate) fn return_idle(&mut self, now: Instant) {
        for key in std::mem::take(&mut self.lenders.idle) {
            let Some(conn) = self.conns.get(key) else {
                continue;
            };
            let index = conn.server;
            if conn.session.is_some() || !conn.expected.is_empty() {
                continue;
            }
            let service = &self.services[self.servers[index].service];
            if service.primary == Some(index) && service.missed_since.is_some() {
                self.servers[index].idle.retain(|other| *other != key);
                self.probe_on(now, key);
            } else {
                self.give_back(key, true);
                self.close_conn(key);
            }
        }
    }

    /// Tells the lender that a loan has ended.
    pub(crate) fn give_back(&mut self, key: ConnKey, clean: bool) {
        let Some(loan) = self.conns.get_mut(key).and_then(|conn| conn.loan.take()) else {
            return;
        };
        if let Some(conn) = self.conns.get(key) {
            let server = &mut self.servers[conn.server];
            server.loans = server.loans.saturating_sub(1);
            if !loan.granted {
                server.opening = server.opening.saturating_sub(1);
            }
        }
        if let Some(lender) = self.lenders.streams.get_mut(&loan.lender) {
            lender.loans.remove(&loan.number);
        }
        let message = Borrow::Return {
            loan: loan.number,
            clean,
        };
        // A stream without room is about to be lost, and its lender closes what was lent.
        let _sent = self.lenders.send(loan.lender, message);
    }

    /// Sends a loan's bytes for the server.
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
            self.lose_lender(now, lender, LENDER_LOST);
        }
    }

    /// Loses lenders that are silent with loans out.
    pub(crate) fn find_silent_lenders(&mut self, now: Instant) {
        let silent = |lender: &Lender| {
            let up = matches!(lender.state, State::Up(_));
            up && !lender.loans.is_empty() && now >= lender.heard_at + SILENCE
        };
        let streams = self.lenders.streams.iter();
        let silent = streams.filter(|(_, it)| silent(it)).map(|(at, _)| *at);
        for address in silent.collect::<Vec<_>>() {
            self.lose_lender(now, address, LENDER_LOST);
        }
    }

    fn lose_lender(&mut self, now: Instant, address: SocketAddr, cause: &'static str) {
        let Some(lender) = self.lenders.streams.get_mut(&address) else {
            return;
        };
        lender.state = State::Down(now + RETRY);
        // Events of the lost stream are dropped from here on.
        lender.dial = 0;
        let loans = std::mem::take(&mut lender.loans);
        tracing::info!(%address, cause, loans = loans.len(), "lender lost");
        for key in loans.into_values() {
            self.on_conn_lost(now, key, cause);
        }
    }
}

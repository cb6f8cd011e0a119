//! Connections borrowed from other proxies.
//!
//! A borrowed connection is like any other, except that its bytes pass through the lender. It is
//! requested when a statement waits and returned as soon as no statement here needs it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clock::Clock;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use wire::{Borrow, Lend};

use crate::conn::{Conn, Loan};
use crate::event::{ConnKey, Event};
use crate::lender_choice::Choice;
use crate::lenders::Neighbour;
use crate::outbox::Outbox;
use crate::process::Loop;
use crate::protocol::Protocol;
use crate::session::Urgency;
use crate::tenant;

/// Cause of a lost loan that says nothing about the server.
pub const CAUSE_LENDER_LOST: &str = "lender_lost";
/// Delay before a lender is dialed again.
pub(crate) const REDIAL_DELAY: Duration = Duration::from_millis(500);
/// How long a lender is skipped after it denied a loan without a failure of the server.
const DENIED_PAUSE: Duration = Duration::from_millis(500);
/// Capacity of the queue of messages to a lender.
const STREAM_QUEUE_LEN: usize = 1024;

#[derive(Debug)]
pub(crate) enum State {
    /// Holds the time from which it may be dialed again.
    Down(Instant),
    Dialing,
    Up(Outbox),
}

/// Stream to another proxy, and the loans from it.
#[derive(Debug)]
pub(crate) struct Lender {
    pub(crate) state: State,
    /// It was lost or could not be reached before the current dial.
    pub(crate) was_lost: bool,
    /// Number of the current dial; events of earlier dials are ignored.
    dial: u64,
    /// When the stream last reported an event, or when the first of its open loans was requested.
    pub(crate) silent_since: Instant,
    pub(crate) denied_until: Option<Instant>,
    pub(crate) loans: BTreeMap<u64, ConnKey>,
}

/// Streams to all lenders, and the proxies that may lend.
#[derive(Debug, Default)]
pub struct Lenders {
    /// Lenders are chosen for each server, as the plan has tenants.
    pub(crate) by_server: bool,
    /// Proxies of this failure domain, or of all domains if the plan has tenants.
    pub(crate) neighbours: Vec<Neighbour>,
    pub(crate) streams: BTreeMap<SocketAddr, Lender>,
    /// A check of unanswered requests is scheduled.
    pub(crate) check_scheduled: bool,
    /// Number of the last loan that was requested.
    last_loan: u64,
    /// Number of the last dial of any lender.
    last_dial: u64,
    /// Idle loans, which are returned at the end of the loop's turn.
    pub idle_loans: Vec<ConnKey>,
}

impl Lenders {
    /// Forgets a loan. Its later messages are ignored.
    pub(crate) fn end_loan(&mut self, loan: Loan) {
        if let Some(lender) = self.streams.get_mut(&loan.lender) {
            lender.loans.remove(&loan.number);
        }
    }

    /// Whether a lender has sent nothing after `since`.
    #[must_use]
    pub fn is_silent_since(&self, lender: SocketAddr, since: Instant) -> bool {
        let lender = self.streams.get(&lender);
        lender.is_none_or(|lender| lender.silent_since <= since)
    }

    /// Queue of the messages to a lender, if its stream is open.
    pub(crate) fn outbox(&mut self, lender: SocketAddr) -> Option<&mut Outbox> {
        match &mut self.streams.get_mut(&lender)?.state {
            State::Up(out) => Some(out),
            State::Down(_) | State::Dialing => None,
        }
    }

    pub(crate) fn send(&mut self, lender: SocketAddr, message: Borrow) -> bool {
        self.outbox(lender).is_some_and(|out| out.send(message))
    }
}

impl<P: Protocol, C: Clock> Loop<P, C> {
    pub(crate) fn dial_lender(&mut self, now: Instant, address: SocketAddr) {
        self.lenders.last_dial += 1;
        let dial = self.lenders.last_dial;
        let was_lost = self.lenders.streams.contains_key(&address);
        let lender = Lender {
            state: State::Dialing,
            was_lost,
            dial,
            silent_since: now,
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
            let (out, outgoing) = mpsc::channel(STREAM_QUEUE_LEN);
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
        lender.silent_since = now;
        self.due_services.extend(0..self.services.len());
        let Some(out) = out else {
            lender.state = State::Down(now + REDIAL_DELAY);
            return;
        };
        // The channel is new and has room.
        let _sent = out.try_send(Borrow::Open {
            version: wire::LOAN_VERSION,
            instance: self.settings.instance.to_string(),
        });
        lender.state = State::Up(Outbox::new(out));
    }

    /// Asks a lender for a connection to a server. Returns false if no lender is available or being
    /// dialed.
    pub(crate) fn ask_lender(
        &mut self,
        now: Instant,
        index: usize,
        tenant: Option<tenant::Id>,
        urgency: Urgency,
    ) -> bool {
        let address = match self.choose_lender(now, index, tenant) {
            Choice::Ask(address) => address,
            Choice::Dialing => {
                self.on_dialing_lender(now, index);
                return true;
            }
            Choice::None => return false,
        };
        self.lenders.last_loan += 1;
        let loan = self.lenders.last_loan;
        let start_in = urgency.start_by.saturating_duration_since(now);
        let request = Borrow::Ask {
            loan,
            server: self.servers[index].id.clone(),
            rank: urgency.rank,
            start_in_ms: u32::try_from(start_in.as_millis()).unwrap_or(u32::MAX),
            tenant: tenant
                .map_or_else(String::new, |tenant| self.directory.name(tenant).to_owned()),
        };
        if !self.lenders.send(address, request) {
            self.on_lender_lost(now, address, CAUSE_LENDER_LOST);
            // The waiting statements are dispatched again and ask the next lender.
            self.due_services.push(self.servers[index].service);
            return self.lenders.by_server;
        }
        let key = self.conns.insert(Conn::borrowed(
            index,
            tenant,
            now,
            Loan {
                lender: address,
                number: loan,
                granted: false,
            },
        ));
        self.servers[index].conns.push(key);
        self.servers[index].opening += 1;
        self.servers[index].borrowed += 1;
        if let Some(lender) = self.lenders.streams.get_mut(&address) {
            if lender.loans.is_empty() {
                lender.silent_since = now;
            }
            lender.loans.insert(loan, key);
        }
        self.metrics.loans.inc();
        self.schedule_request_check(now);
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
        lender.silent_since = now;
        let message = match event {
            link::Event::Message(message) => message,
            link::Event::Closed(_) => return self.on_lender_lost(now, address, CAUSE_LENDER_LOST),
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
                    self.on_borrowed_bytes(now, key, &bytes);
                }
            }
            Lend::Deny { loan, failed } => {
                let key = conn(loan);
                let until = now + DENIED_PAUSE;
                if !failed && !self.lenders.by_server {
                    lender.denied_until = Some(until);
                }
                if let Some(key) = key {
                    self.on_denied(key, address, until, failed);
                    let cause = if failed {
                        "loan_denied"
                    } else {
                        CAUSE_LENDER_LOST
                    };
                    self.on_conn_lost(now, key, cause);
                }
            }
            Lend::Lost { loan } => {
                if let Some(key) = conn(loan) {
                    self.on_conn_lost(now, key, "closed");
                }
            }
            Lend::Queued { loan } => {
                if let Some(key) = conn(loan) {
                    self.on_queued(now, key);
                }
            }
            Lend::Pulse => {}
        }
    }

    pub(crate) fn on_lender_lost(
        &mut self,
        now: Instant,
        address: SocketAddr,
        cause: &'static str,
    ) {
        let Some(lender) = self.lenders.streams.get_mut(&address) else {
            return;
        };
        lender.state = State::Down(now + REDIAL_DELAY);
        // Ignores further events of the lost stream.
        lender.dial = 0;
        let loans = std::mem::take(&mut lender.loans);
        tracing::info!(%address, cause, loans = loans.len(), "lost the stream to a lender");
        for key in loans.into_values() {
            self.on_conn_lost(now, key, cause);
        }
    }
}

//! Use of tokens by a proxy.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use clock::Moment;

use crate::local::Absence;
use crate::message::{Claim, Issue, MAX_NEEDS, PROMPT_TIME, SHARE_LIFETIME};
use crate::stock::{Answered, Stock};

/// Longest time between the use of tokens and the report of it.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Time from the first claim on a stream in which claims are sent even if no tenant is in use. An issuer
/// withholds the shares of proxies that it has not heard of.
const GREETING_TIME: Duration = Duration::from_secs(5);
/// A claim counts as lost after the lifetime divided by this. From then on, tokens that were counted
/// as spent when they were issued can't be used any more. Operations then start at most this much after the issuer
/// counted them, which adds a tenth of the rate to a window of one lifetime.
const PROMPT_PART: u32 = 10;

/// Whether an operation may start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    Go,
    Wait,
    Refused { retry_in: Duration },
}

/// The result for an operation that waited: `Go` or `Refused`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settled<W> {
    pub waiter: W,
    pub admission: Admission,
}

/// The claim that has no answer yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    number: u64,
    sent_at: Moment,
}

/// Claims and spends tokens.
#[derive(Debug)]
pub struct Holder<T, W> {
    lifetime: Duration,
    limited: BTreeSet<T>,
    /// Tenants with tokens, use or waiting operations; others are removed.
    stocks: BTreeMap<T, Stock<W>>,
    /// Number of the last claim on this stream.
    number: u64,
    /// Number of the last issue that was processed on this stream. Invariant: at most `number`.
    received: u64,
    pending: Option<Pending>,
    claimed_at: Moment,
    /// When the last claim that was answered soon was sent, on any stream.
    contact_at: Option<Moment>,
    /// Highest number of proxies lately and when it was heard of.
    proxies: u32,
    proxies_at: Moment,
    /// Until when claims are sent without needs: a new issuer counts the holders.
    greet_until: Option<Moment>,
}

impl<T: Clone + Ord, W: Copy + Ord> Holder<T, W> {
    /// A holder without tokens.
    #[must_use]
    pub fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            limited: BTreeSet::new(),
            stocks: BTreeMap::new(),
            number: 0,
            received: 0,
            pending: None,
            claimed_at: Moment::default(),
            contact_at: None,
            proxies: 0,
            proxies_at: Moment::default(),
            greet_until: None,
        }
    }

    /// Sets the tenants with a limit; operations of others are admitted without a token, and those
    /// that wait are settled by the next `expire`, which is then due at once.
    pub fn set_limited(&mut self, tenants: impl Iterator<Item = T>) {
        self.limited = tenants.collect();
        let limited = &self.limited;
        self.stocks
            .retain(|tenant, stock| limited.contains(tenant) || stock.has_waiting());
    }

    /// Sets the present number of proxies. The highest one of the last 15 s is reported.
    pub fn set_proxies(&mut self, now: Moment, proxies: u32) {
        if proxies >= self.proxies || now.since(self.proxies_at) > SHARE_LIFETIME {
            self.proxies = proxies;
            self.proxies_at = now;
        }
    }

    /// An operation asks for a token. A waiting one is settled by `on_issue` or `expire`.
    pub fn take(&mut self, now: Moment, tenant: T, waiter: W, deadline: Moment) -> Admission {
        if !self.limited.contains(&tenant) {
            return Admission::Go;
        }
        let stock = self.stocks.entry(tenant).or_insert_with(Stock::new);
        if let Some(contact_at) = self.contact_at {
            stock.set_absence(Absence::after(contact_at));
        }
        stock.take(now, waiter, deadline)
    }

    /// An operation that had a token never reached a server.
    pub fn give_back(&mut self, now: Moment, tenant: T) {
        if let Some(stock) = self.stocks.get_mut(&tenant) {
            stock.give_back(now);
        }
    }

    /// A waiting operation is gone.
    pub fn withdraw(&mut self, tenant: T, waiter: W) {
        if let Some(stock) = self.stocks.get_mut(&tenant) {
            stock.withdraw(waiter);
        }
    }

    /// The next message for the issuer, if one is due and none is under way. A claim without an
    /// answer for a tenth of the lifetime counts as lost.
    pub fn next_claim(&mut self, now: Moment) -> Option<Claim<T>> {
        self.refresh(now);
        if self.lost_at().is_some_and(|lost_at| now < lost_at) {
            return None;
        }
        self.clear_pending();
        let due = self.claim_due().is_some_and(|due| due <= now);
        due.then(|| self.claim(now))
    }

    /// When `next_claim` and `expire` should be called next, if nothing else happens. Without a stream,
    /// the claim is dropped: it counts as lost later, so the next one is not due at once.
    #[must_use]
    pub fn next_due(&self) -> Option<Moment> {
        let claim = self.lost_at().or_else(|| self.claim_due());
        let changes = self.stocks.iter().filter_map(|(tenant, stock)| {
            if self.limited.contains(tenant) {
                stock.change_due()
            } else {
                Some(Moment::default())
            }
        });
        changes.chain(claim).min()
    }

    /// Uses the tokens of an issue. Messages of an earlier stream must not be given.
    pub fn on_issue(&mut self, now: Moment, issue: &Issue<T>, settled: &mut Vec<Settled<W>>) {
        let Some(pending) = self
            .pending
            .filter(|pending| pending.number == issue.number)
        else {
            return;
        };
        // The issuer takes what was received as a sign of contact.
        let is_contact = now.since(pending.sent_at) <= PROMPT_TIME;
        if is_contact {
            self.received = issue.number;
            self.contact_at = Some(pending.sent_at);
            let absence = Absence::after(pending.sent_at);
            let stocks = self.stocks.values_mut();
            stocks.for_each(|stock| stock.set_absence(absence));
        }
        let answered = Answered {
            expires_at: pending.sent_at.later(self.lifetime),
            is_prompt: now.since(pending.sent_at) <= self.prompt_time(),
            is_contact,
        };
        for grant in &issue.grants {
            if let Some(stock) = self.stocks.get_mut(&grant.tenant) {
                stock.on_grant(now, grant, answered, settled);
            }
        }
        self.clear_pending();
    }

    /// Settles the waiting operations for which no answer is needed: their deadlines have passed, a
    /// token is available, or their tenants have no limit any more. Also drops what has expired.
    pub fn expire(&mut self, now: Moment, settled: &mut Vec<Settled<W>>) {
        for (tenant, stock) in &mut self.stocks {
            if self.limited.contains(tenant) {
                stock.settle_due(now, settled);
            } else {
                stock.start_all(settled);
            }
        }
        self.refresh(now);
    }

    /// The stream to the issuer has ended; the numbers of claims start again.
    pub fn on_disconnected(&mut self) {
        self.number = 0;
        self.received = 0;
        self.pending = None;
        self.greet_until = None;
        for stock in self.stocks.values_mut() {
            stock.on_disconnected();
        }
    }

    fn claim(&mut self, now: Moment) -> Claim<T> {
        self.number += 1;
        self.claimed_at = now;
        self.greet_until.get_or_insert(now.later(GREETING_TIME));
        self.pending = Some(Pending {
            number: self.number,
            sent_at: now,
        });
        let limited = &self.limited;
        let stocks = self.stocks.iter_mut();
        let needs = stocks
            .filter(|(tenant, _)| limited.contains(tenant))
            .filter_map(|(tenant, stock)| stock.need(now, tenant.clone()));
        Claim {
            number: self.number,
            received: self.received,
            proxies: self.proxies,
            needs: needs.take(MAX_NEEDS).collect(),
        }
    }

    /// From when on a claim is due if none is under way.
    fn claim_due(&self) -> Option<Moment> {
        let report_at = self.claimed_at.later(REPORT_INTERVAL);
        let stocks = self.stocks.iter();
        let stocks = stocks.filter(|(tenant, _)| self.limited.contains(tenant));
        let dues = stocks.filter_map(|(_, stock)| stock.claim_due(report_at));
        let greets = self.greet_until.is_none_or(|until| report_at < until);
        dues.chain((greets && !self.limited.is_empty()).then_some(report_at))
            .min()
    }

    /// When the claim under way counts as lost.
    fn lost_at(&self) -> Option<Moment> {
        let pending = self.pending?;
        Some(pending.sent_at.later(self.prompt_time()))
    }

    fn prompt_time(&self) -> Duration {
        self.lifetime / PROMPT_PART
    }

    fn clear_pending(&mut self) {
        if self.pending.take().is_some() {
            self.stocks.values_mut().for_each(Stock::on_unanswered);
        }
    }

    /// Drops what has expired, and tenants without state.
    fn refresh(&mut self, now: Moment) {
        let limited = &self.limited;
        self.stocks.retain(|tenant, stock| {
            stock.refresh(now);
            stock.has_waiting() || limited.contains(tenant) && !stock.is_unused(now)
        });
    }
}

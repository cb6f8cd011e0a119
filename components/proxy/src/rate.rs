//! Rate limits of tenants: the stream to the issuer of tokens, and the operations that take them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clock::{Clock, Moment};
use ratelimit::{Admission, Holder, Issue, Settled};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::event::{Event, SessionKey};
use crate::process::Loop;
use crate::protocol::Protocol;
use crate::refuse::Reason;
use crate::session::{Query, Stage};
use crate::tenant;
use crate::timer::Timer;

/// Lifetime of tokens. The issuer counts them for at least as long.
const TOKEN_LIFETIME: Duration = Duration::from_secs(5);
/// Part of the route's goal that an operation may wait for a token, in percent. A caller that is
/// refused has the remaining time to try elsewhere.
const WAIT_PERCENT: u32 = 20;
/// Delay before the issuer is dialed again. A coordinator that no longer leads closes the stream, and
/// the next pulse names its successor.
const REDIAL_DELAY: Duration = Duration::from_millis(100);
/// Time without an answer to a claim after which the issuer is dialed again.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);
/// Capacity of the queue of claims, of which one is under way at a time.
const QUEUE_LEN: usize = 4;
/// Shortest time until the timer. What is due at once was done in this turn, and comes again at most
/// this often.
const MIN_TIMER_DELAY: Duration = Duration::from_millis(1);

#[derive(Debug)]
enum State {
    /// Holds the time from which the issuer may be dialed again.
    Down(Instant),
    Dialing,
    Up {
        out: mpsc::Sender<wire::Claim>,
        /// The issuer has answered on this stream.
        answered: bool,
    },
}

/// Tokens of this proxy, and the stream to their issuer.
#[derive(Debug)]
pub struct Rates {
    holder: Holder<tenant::Id, SessionKey>,
    /// Tenants with a limit. Without any no stream is open.
    limited: BTreeSet<tenant::Id>,
    /// Address of the coordinators' leader, which issues tokens.
    leader: Option<SocketAddr>,
    /// Number of the current dial; events of earlier dials are ignored.
    dial: u64,
    state: State,
    /// When the claim under way was sent.
    claimed_at: Option<Instant>,
    /// When the earliest timer fires.
    timer_at: Option<Instant>,
}

impl Rates {
    /// No limits and no stream.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            holder: Holder::new(TOKEN_LIFETIME),
            limited: BTreeSet::new(),
            leader: None,
            dial: 0,
            state: State::Down(now),
            claimed_at: None,
            timer_at: None,
        }
    }

    /// Why an operation gets no token.
    fn reason(&self, retry_in: Duration) -> Reason {
        let in_contact = matches!(self.state, State::Up { answered: true, .. });
        if in_contact {
            let retry_in_ms = retry_in.as_nanos().div_ceil(1_000_000);
            let retry_in_ms = u64::try_from(retry_in_ms).unwrap_or(u64::MAX);
            Reason::RateLimit { retry_in_ms }
        } else {
            Reason::RateUnknown
        }
    }

    /// Closes the stream. The issuer is dialed again from `redial_at` on.
    fn disconnect(&mut self, redial_at: Instant, cause: &str) {
        if let State::Up { answered: true, .. } = self.state {
            tracing::warn!(
                cause,
                leader = self.leader.map(tracing::field::display),
                "lost the stream to the issuer of rate limit tokens"
            );
        }
        self.state = State::Down(redial_at);
        self.dial += 1;
        self.claimed_at = None;
        self.holder.on_disconnected();
    }

    /// When the timer is due.
    fn next_due(&self, now: Instant, moment: Moment) -> Option<Instant> {
        let holder_due = self.holder.next_due().map(|due| now + due.since(moment));
        let redial = match self.state {
            State::Down(at) if at > now => Some(at),
            _ => None,
        };
        let silence = self.claimed_at.map(|at| at + SILENCE_TIMEOUT);
        let due = [holder_due, redial, silence].into_iter().flatten().min()?;
        Some(due.max(now + MIN_TIMER_DELAY))
    }
}

impl<P: Protocol, C: Clock> Loop<P, C> {
    /// Applies the limits of a new plan.
    pub(crate) fn on_limits_changed(&mut self, now: Instant) {
        let tenants = self.plan.tenants.iter();
        let limited = tenants.filter(|(_, tenant)| tenant.rate.is_some());
        let limited = limited.filter_map(|(name, _)| self.directory.find(name));
        self.rates.limited = limited.collect();
        let limited = self.rates.limited.iter();
        self.rates.holder.set_limited(limited.copied());
        self.settle_due(now);
        self.maintain_issuer(now);
    }

    /// Notes the address of the coordinators' leader, as a pulse names it.
    pub(crate) fn set_issuer(&mut self, now: Instant, leader: &str) {
        let Ok(leader) = leader.parse() else {
            return;
        };
        if self.rates.leader.replace(leader) != Some(leader) {
            self.rates.disconnect(now, "another leader");
            self.maintain_issuer(now);
        }
    }

    /// Dials the issuer while the plan has limits, and gives up a stream that is silent.
    pub(crate) fn maintain_issuer(&mut self, now: Instant) {
        let rates = &mut self.rates;
        if rates.limited.is_empty() {
            if let State::Up { .. } = rates.state {
                rates.disconnect(now, "no limits");
            }
            return;
        }
        if rates
            .claimed_at
            .is_some_and(|at| now >= at + SILENCE_TIMEOUT)
        {
            rates.disconnect(now, "silent");
            self.metrics.common.retries.add("issuer");
        }
        let (State::Down(at), Some(address)) = (&rates.state, rates.leader) else {
            return;
        };
        if *at > now {
            return;
        }
        rates.dial += 1;
        rates.state = State::Dialing;
        let (dial, events) = (rates.dial, self.events.clone());
        spawn_local(async move {
            let Ok(stream) = link::dial(address, link::RATE_PATH).await else {
                let _ended = events.send(Event::IssuerDialed(dial, None)).await;
                return;
            };
            let (out, outgoing) = mpsc::channel(QUEUE_LEN);
            let opened = Event::IssuerDialed(dial, Some(out));
            if events.send(opened).await.is_ok() {
                let wrap = move |event| Event::Issuer(dial, event);
                stream.run(outgoing, events, wrap).await;
            }
        });
    }

    pub(crate) fn on_issuer_dialed(
        &mut self,
        now: Instant,
        dial: u64,
        out: Option<mpsc::Sender<wire::Claim>>,
    ) {
        if dial != self.rates.dial {
            return;
        }
        let Some(out) = out else {
            return self.rates.disconnect(now + REDIAL_DELAY, "not reached");
        };
        // Claims that were due without a stream were dropped.
        self.rates.holder.on_disconnected();
        self.rates.state = State::Up {
            out,
            answered: false,
        };
    }

    pub(crate) fn on_issuer(&mut self, now: Instant, dial: u64, event: link::Event<wire::Issue>) {
        if dial != self.rates.dial {
            return;
        }
        let message = match event {
            link::Event::Message(message) => message,
            link::Event::Closed(error) => {
                let cause = format!("{error:#}");
                return self.rates.disconnect(now + REDIAL_DELAY, &cause);
            }
        };
        let issue = match Issue::from_wire(&message, |name| self.directory.find(name)) {
            Ok(issue) => issue,
            Err(error) => {
                self.metrics.common.refusals.add("coordinator");
                let cause = format!("{error:#}");
                return self.rates.disconnect(now + REDIAL_DELAY, &cause);
            }
        };
        if let State::Up { answered, .. } = &mut self.rates.state
            && !std::mem::replace(answered, true)
        {
            tracing::info!(
                leader = self.rates.leader.map(tracing::field::display),
                "issuer of rate limit tokens answers"
            );
        }
        self.rates.claimed_at = None;
        let mut settled = Vec::new();
        let moment = self.clock.moment();
        self.rates.holder.on_issue(moment, &issue, &mut settled);
        self.settle(now, &settled);
    }

    /// Handles the timer of the rate limits.
    pub(crate) fn on_rate_due(&mut self, now: Instant) {
        self.rates.timer_at.take_if(|at| *at <= now);
        self.maintain_issuer(now);
        self.settle_due(now);
    }

    /// Settles the operations that have waited long enough.
    fn settle_due(&mut self, now: Instant) {
        let mut settled = Vec::new();
        let moment = self.clock.moment();
        self.rates.holder.expire(moment, &mut settled);
        self.settle(now, &settled);
    }

    /// Starts or refuses operations that waited for tokens.
    fn settle(&mut self, now: Instant, settled: &[Settled<SessionKey>]) {
        for Settled { waiter, admission } in settled {
            match admission {
                Admission::Go => {
                    self.mark_admitted(*waiter, true);
                    self.start_admitted(now, *waiter);
                }
                Admission::Wait => {}
                Admission::Refused { retry_in } => {
                    let reason = self.rates.reason(*retry_in);
                    self.refuse_unsent(now, *waiter, reason);
                }
            }
        }
    }

    /// Looks for a server for a statement whose operation is admitted. Refused ones earn no retries.
    pub(crate) fn start_admitted(&mut self, now: Instant, key: SessionKey) {
        self.retry_budget.on_request(now);
        if !self.dispatch(now, key) {
            self.enqueue(now, key);
        }
    }

    fn mark_admitted(&mut self, key: SessionKey, has_token: bool) {
        let Some(session) = self.sessions.get_mut(key) else {
            return;
        };
        if let Some(query) = &mut session.query {
            query.stage = Stage::Waiting;
            query.has_token = has_token;
        }
        if let Some(transaction) = &mut session.transaction {
            transaction.admitted = true;
        }
    }

    /// Takes a token for the operation that a session's query begins, if its tenant has a limit.
    /// Returns false if the query waits for one or was refused.
    pub(crate) fn admit(&mut self, now: Instant, key: SessionKey) -> bool {
        let Some(session) = self.sessions.get_mut(key) else {
            return false;
        };
        let Some(query) = &mut session.query else {
            return false;
        };
        let transaction = session.transaction.as_ref();
        if transaction.is_some_and(|transaction| transaction.admitted) {
            return true;
        }
        let limited = |id: &tenant::Id| self.rates.limited.contains(id);
        let Some(tenant) = query.route.tenant.filter(limited) else {
            self.mark_admitted(key, false);
            return true;
        };
        let moment = self.clock.moment();
        let deadline = moment.later(query.route.goal * WAIT_PERCENT / 100);
        match self.rates.holder.take(moment, tenant, key, deadline) {
            Admission::Go => {
                self.mark_admitted(key, true);
                true
            }
            Admission::Wait => {
                query.stage = Stage::Unadmitted;
                false
            }
            Admission::Refused { retry_in } => {
                let reason = self.rates.reason(retry_in);
                self.refuse_unsent(now, key, reason);
                false
            }
        }
    }

    /// Returns the token of a query that ends and was never sent to a server, or ends its wait for
    /// one.
    pub(crate) fn return_token(&mut self, key: SessionKey, query: &Query) {
        let Some(tenant) = query.route.tenant else {
            return;
        };
        if query.stage == Stage::Unadmitted {
            self.rates.holder.withdraw(tenant, key);
        } else if query.has_token && query.tried_servers.is_empty() {
            let moment = self.clock.moment();
            self.rates.holder.give_back(moment, tenant);
        }
    }

    /// Sends the claim that is due, and sets the timer.
    pub(crate) fn claim_tokens(&mut self, now: Instant) {
        let rates = &mut self.rates;
        if rates.limited.is_empty() {
            return;
        }
        let moment = self.clock.moment();
        let proxies = self.subscription.known_proxy_count.unwrap_or(0);
        rates.holder.set_proxies(moment, proxies);
        // Without a stream the claim is dropped, and the next one is due when it counts as lost.
        if let Some(claim) = rates.holder.next_claim(moment)
            && let State::Up { out, .. } = &rates.state
        {
            let claim = claim.to_wire(self.settings.instance.as_str(), |id| {
                Some(self.directory.name(*id))
            });
            if rates.claimed_at.is_some() || out.try_send(claim).is_err() {
                rates.disconnect(now, "silent");
            } else {
                rates.claimed_at = Some(now);
            }
        }
        let Some(due) = rates.next_due(now, moment) else {
            return;
        };
        if rates.timer_at.is_none_or(|at| due < at) {
            rates.timer_at = Some(due);
            self.timers.add(due, Timer::Rate);
        }
    }
}

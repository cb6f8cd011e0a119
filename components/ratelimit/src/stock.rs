//! Tokens and waiting operations of one tenant at a holder.

use std::collections::VecDeque;
use std::time::Duration;

use clock::Moment;

use crate::holder::{Admission, Settled};
use crate::local::{Absence, Local};
use crate::message::{Grant, Need};
use crate::tokens::Tokens;
use crate::usage::Usage;

/// Highest number of operations of one tenant that wait. Bounds the memory; a process has fewer
/// descriptors for callers.
const MAX_WAITING: usize = 8192;
/// Fewest operations in the usage window for which tokens to hold are claimed before the next report
/// is due. A single operation shows no rate.
const MIN_USAGE: u32 = 2;
/// Shortest time between two claims for tokens to hold, if the issuer does not grant them.
const AHEAD_INTERVAL: Duration = Duration::from_millis(100);
/// Lifetime of a token given back. The issuer counts it as spent, so it is used soon or not at all.
const RETURNED_LIFETIME: Duration = Duration::from_millis(250);
/// Longest time without a claim after a shortage. With a longer one the bucket could reach its cap
/// while every holder waits.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Time after which a caller should come back if the issuer has not answered.
const UNKNOWN_RETRY: Duration = Duration::from_millis(500);
/// Longest time named to a caller.
const MAX_RETRY: Duration = Duration::from_secs(5);
/// Fractional part of the golden ratio in 2^-32: multiples of it are spread evenly.
const GOLDEN: u32 = 0x9E37_79B9;

/// An operation that waits for a token.
#[derive(Clone, Copy, Debug)]
struct Waiting<W> {
    waiter: W,
    deadline: Moment,
}

/// The issuer had too few tokens.
#[derive(Clone, Copy, Debug)]
struct Shortage {
    /// When to claim again. What is known about the pace outlasts it.
    until: Moment,
    /// Time in which this holder can expect one token.
    pace: Duration,
}

/// When a claim was sent and which part of its answer can still be used.
#[derive(Clone, Copy, Debug)]
pub struct Answered {
    pub expires_at: Moment,
    /// Whether the answer is so recent that tokens counted as spent can be used.
    pub is_prompt: bool,
    /// Whether the answer is so recent that it shows contact to the issuer.
    pub is_contact: bool,
}

/// State of one tenant.
#[derive(Debug)]
pub struct Stock<W> {
    tokens: Tokens,
    /// What the issuer counts as held, as far as this holder knows.
    reported: u32,
    /// In the order of their arrival. Invariant: at most `MAX_WAITING`.
    waiting: VecDeque<Waiting<W>>,
    /// Waiting operations that are in the claim under way.
    claimed: u32,
    usage: Usage,
    local: Local,
    /// When the share may be spent.
    absence: Option<Absence>,
    shortage: Option<Shortage>,
    /// Operations refused in the present shortage.
    refused: u32,
    /// From when on tokens to hold may be claimed again.
    ahead_from: Moment,
}

impl<W: Copy + Ord> Stock<W> {
    pub fn new() -> Self {
        Self {
            tokens: Tokens::default(),
            reported: 0,
            waiting: VecDeque::new(),
            claimed: 0,
            usage: Usage::default(),
            local: Local::default(),
            absence: None,
            shortage: None,
            refused: 0,
            ahead_from: Moment::default(),
        }
    }

    pub fn take(&mut self, now: Moment, waiter: W, deadline: Moment) -> Admission {
        self.refresh(now);
        if self.waiting.is_empty() && self.spend(now) {
            return Admission::Go;
        }
        let late = match self.local_at(now, self.waiting.len()) {
            Some(token_at) => token_at > deadline,
            None => self.claim_from() > deadline,
        };
        if late || self.waiting.len() >= MAX_WAITING {
            return self.refusal(now);
        }
        self.waiting.push_back(Waiting { waiter, deadline });
        Admission::Wait
    }

    /// Only operations admitted within the usage window are replaced: tokens that come back after a
    /// server hung would otherwise start those of several seconds at once.
    pub fn give_back(&mut self, now: Moment) {
        if self.usage.remove(now) {
            self.tokens.add(now.later(RETURNED_LIFETIME), 1);
        }
    }

    pub fn withdraw(&mut self, waiter: W) {
        self.waiting.retain(|waiting| waiting.waiter != waiter);
    }

    /// Sets when the share may be spent: after the contact that is the last one as yet.
    pub fn set_absence(&mut self, absence: Absence) {
        if self.absence != Some(absence) {
            self.absence = Some(absence);
            self.local.on_contact();
        }
    }

    /// When an operation that `before` others precede has a token of the share, out of contact.
    fn local_at(&self, now: Moment, before: usize) -> Option<Moment> {
        self.absence.filter(|absence| absence.contains(now))?;
        self.local.token_at(before)
    }

    /// Drops expired tokens, and adds those of the share.
    pub fn refresh(&mut self, now: Moment) {
        self.usage.refresh(now);
        if let Some(absence) = self.absence {
            self.local.fill(now, absence);
        }
        let is_expired = self.absence.is_none_or(|absence| absence.until <= now);
        if is_expired || self.usage.unused_at() <= now {
            self.local.drop_share();
        }
        if is_expired {
            self.local.is_counted = false;
        }
        self.tokens.refresh(now);
    }

    /// Whether nothing would be lost with this state.
    pub fn is_unused(&self, now: Moment) -> bool {
        let is_empty = self.waiting.is_empty() && self.tokens.held() == 0 && self.reported == 0;
        is_empty
            && self.claim_from() <= now
            && self.usage.unused_at() <= now
            && !self.local.is_counted
    }

    /// From when on tokens may be claimed.
    fn claim_from(&self) -> Moment {
        self.shortage.map(|known| known.until).unwrap_or_default()
    }

    /// From when on a claim is due for this tenant, if none is under way.
    pub fn claim_due(&self, report_at: Moment) -> Option<Moment> {
        let start = self.claim_from();
        let usage = self.usage.total();
        let is_low = usage >= MIN_USAGE && self.tokens.held() < usage / 2;
        let is_used = self.usage.last_at().is_some();
        let dues = [
            (!self.waiting.is_empty()).then_some(start),
            is_low.then_some(start.max(self.ahead_from)),
            (self.tokens.held() != self.reported).then_some(report_at),
            (is_used || self.local.is_counted).then_some(report_at),
        ];
        dues.into_iter().flatten().min()
    }

    /// When `settle_due` or `refresh` changes something, if nothing else happens.
    pub fn change_due(&self) -> Option<Moment> {
        if self.tokens.held() > 0 && !self.waiting.is_empty() {
            return Some(Moment::default());
        }
        let token_at = self.absence.and_then(|absence| {
            let token_at = self.local.token_at(0)?.max(absence.from);
            (!self.waiting.is_empty() && token_at < absence.until).then_some(token_at)
        });
        let deadlines = self.waiting.iter().map(|waiting| waiting.deadline);
        deadlines.chain(token_at).min()
    }

    /// What to claim, if anything.
    pub fn need<T>(&mut self, now: Moment, tenant: T) -> Option<Need<T>> {
        let is_short = self.claim_from() > now;
        let ahead = self.wanted_ahead(now, is_short);
        let waiting = if is_short { 0 } else { self.waiting.len() };
        let is_used = self.usage.unused_at() > now || self.local.is_counted;
        if waiting == 0
            && ahead == self.tokens.held()
            && self.tokens.held() == self.reported
            && !is_used
        {
            return None;
        }
        let held = self.tokens.held();
        self.drop_oldest(held.saturating_sub(ahead));
        self.claimed = u32::try_from(waiting).unwrap_or(u32::MAX);
        self.reported = self.tokens.held();
        self.ahead_from = now.later(AHEAD_INTERVAL);
        Some(Need {
            tenant,
            held,
            waiting: self.claimed,
            ahead,
            share_milli: self.local.share_milli(),
        })
    }

    /// Tokens to hold: the operations of the usage window, and at least one while the tenant is in use. More are kept as long as they are less than twice that,
    /// so that uneven use does not move tokens to and fro.
    fn wanted_ahead(&self, now: Moment, is_short: bool) -> u32 {
        let usage = self.usage.total();
        if self.usage.unused_at() <= now {
            0
        } else if self.tokens.expiring(now) > 0 {
            self.tokens.held() - self.tokens.expiring(now)
        } else if self.usage.idle_at() <= now {
            1
        } else if self.tokens.held() > usage.saturating_mul(2) {
            usage
        } else if is_short {
            self.tokens.held()
        } else {
            usage.max(self.tokens.held()).max(1)
        }
    }

    fn drop_oldest(&mut self, tokens: u32) {
        for _ in 0..tokens {
            self.tokens.remove_first();
        }
    }

    /// The claim under way has no answer for this tenant.
    pub fn on_unanswered(&mut self) {
        self.claimed = 0;
    }

    pub fn on_disconnected(&mut self) {
        self.claimed = 0;
        self.reported = 0;
    }

    pub fn on_grant<T>(
        &mut self,
        now: Moment,
        grant: &Grant<T>,
        answered: Answered,
        settled: &mut Vec<Settled<W>>,
    ) {
        self.refresh(now);
        let spent = grant.tokens.min(self.claimed);
        let short = self.claimed - spent;
        let kept = grant.tokens - spent;
        self.claimed = 0;
        self.reported = self.reported.saturating_add(kept);
        if answered.is_contact {
            self.local.set_share(grant.share_milli);
        }
        if answered.is_prompt {
            self.start_waiting(now, spent, settled);
        }
        if answered.expires_at > now {
            self.tokens.add(answered.expires_at, kept);
        }
        self.on_shortage(now, grant.retry_in, short);
        self.settle_due(now, settled);
    }

    /// Settles the operations that have a token, and those that get none in time.
    pub fn settle_due(&mut self, now: Moment, settled: &mut Vec<Settled<W>>) {
        self.refresh(now);
        self.refuse_late(now, Moment::default(), settled);
        while !self.waiting.is_empty() && self.spend(now) {
            self.start_first(settled);
        }
        // Out of contact the time that the issuer named says nothing about the share.
        if self.local_at(now, 0).is_none() {
            self.refuse_late(now, self.claim_from(), settled);
        }
    }

    /// The tenant has no limit any more.
    pub fn start_all(&mut self, settled: &mut Vec<Settled<W>>) {
        while !self.waiting.is_empty() {
            self.start_first(settled);
        }
    }

    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Starts waiting operations with tokens that the issuer counts as spent; those left over are
    /// dropped.
    fn start_waiting(&mut self, now: Moment, tokens: u32, settled: &mut Vec<Settled<W>>) {
        self.refuse_late(now, Moment::default(), settled);
        for _ in 0..tokens.min(u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)) {
            self.usage.add(now);
            self.start_first(settled);
        }
    }

    /// Refuses the operations whose deadlines have passed or are before `until`.
    fn refuse_late(&mut self, now: Moment, until: Moment, settled: &mut Vec<Settled<W>>) {
        for operation in std::mem::take(&mut self.waiting) {
            if operation.deadline > now && operation.deadline >= until {
                self.waiting.push_back(operation);
                continue;
            }
            settled.push(Settled {
                waiter: operation.waiter,
                admission: self.refusal(now),
            });
        }
    }

    fn start_first(&mut self, settled: &mut Vec<Settled<W>>) {
        settled.extend(self.waiting.pop_front().map(|first| Settled {
            waiter: first.waiter,
            admission: Admission::Go,
        }));
    }

    fn spend(&mut self, now: Moment) -> bool {
        let has_token = self.tokens.remove_first() || self.local.spend();
        if has_token {
            self.usage.add(now);
        }
        has_token
    }

    fn on_shortage(&mut self, now: Moment, retry_in: Duration, short: u32) {
        if retry_in.is_zero() {
            self.shortage = None;
            self.refused = 0;
            return;
        }
        // Callers refused before have come back in part.
        self.refused /= 2;
        // Long times differ from holder to holder, and so do the pauses derived from them.
        let pause = if retry_in > MAX_PAUSE {
            let part = retry_in.as_nanos() % (MAX_PAUSE / 2).as_nanos();
            MAX_PAUSE / 2 + Duration::from_nanos(u64::try_from(part).unwrap_or(0))
        } else {
            retry_in
        };
        self.shortage = Some(Shortage {
            until: now.later(pause),
            pace: retry_in / short.max(1),
        });
    }

    /// Refuses one more operation. Each caller is told a later time than the one before, as far as
    /// the longest time allows; beyond it the times are spread over its second half.
    fn refusal(&mut self, now: Moment) -> Admission {
        self.refused = self.refused.saturating_add(1);
        let local_at = self.local_at(now, self.waiting.len());
        let retry_in = match (local_at, self.shortage) {
            (Some(token_at), _) => token_at.since(now),
            (None, Some(known)) => {
                let before_mine = known.pace.saturating_mul(self.refused);
                known.until.since(now).saturating_add(before_mine)
            }
            (None, None) => UNKNOWN_RETRY + self.spread(UNKNOWN_RETRY),
        };
        let retry_in = if retry_in > MAX_RETRY {
            MAX_RETRY / 2 + self.spread(MAX_RETRY / 2)
        } else {
            retry_in
        };
        Admission::Refused { retry_in }
    }

    /// A part of `range` that differs from one refused operation to the next.
    fn spread(&self, range: Duration) -> Duration {
        let part = self.refused.wrapping_mul(GOLDEN);
        range.mul_f64(f64::from(part) / f64::from(u32::MAX))
    }
}

//! Issue of tokens by the leader of the coordinators.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Moment;
use registry::tenant::Rate;

use crate::account::Account;
use crate::bucket::{Bucket, MAX_RETRY};
use crate::message::{CHECK_INTERVAL, Claim, Grant, Issue, MAX_NEEDS, Need, SHARE_LIFETIME};

/// Highest number of holders. Bounds the memory that faulty peers can cause to be used; the largest
/// deployment has 82.
const MAX_HOLDERS: usize = 4096;

/// Time for which all proxies have to be in contact before none counts as unknown. The earlier stream
/// of a proxy, which counts as another holder, is silent by then.
const COMPLETE_TIME: Duration = Duration::from_millis(700);

/// Burst that is never spread, in thousandths of an operation: the callers of a small tenant seldom
/// arrive evenly.
const MIN_BURST_MILLI: u64 = 8000;

/// Settings of an issuer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limit {
    /// Lifetime of tokens.
    pub lifetime: Duration,
    /// Operations beyond the burst that are tolerated.
    pub slack: u64,
}

impl Limit {
    /// The rate and burst of a bucket that lets through, in each lifetime, as many operations as a
    /// limit allows: what the rate gives in it, and the burst.
    ///
    /// A tenant whose callers ask for more than its limit all the time could use the burst of a plain
    /// bucket only once. So the burst is spread over the lifetime, except for a quarter and at least
    /// [`MIN_BURST_MILLI`], which serve operations that arrive together.
    #[must_use]
    pub fn spread(&self, rate: Rate) -> Rate {
        let lifetime_ms = u64::try_from(self.lifetime.as_millis()).unwrap_or(u64::MAX);
        let kept_milli = (rate.burst_milli / 4).max(MIN_BURST_MILLI);
        let spread_milli = rate.burst_milli.saturating_sub(kept_milli);
        let gain = spread_milli.saturating_mul(1000) / lifetime_ms.max(1);
        Rate {
            per_second_milli: rate.per_second_milli.saturating_add(gain),
            burst_milli: rate.burst_milli - spread_milli,
        }
    }
}

/// Issues tokens to holders. A holder is one stream of a proxy: a new stream is a new holder, or
/// begins after `on_lost`.
#[derive(Debug)]
pub struct Issuer<T, H> {
    limit: Limit,
    /// One for each tenant with a limit.
    buckets: BTreeMap<T, Bucket<H>>,
    /// Invariant: at most `MAX_HOLDERS`.
    accounts: BTreeMap<H, Account>,
    started_at: Moment,
    /// When silent holders were last looked for, and when buckets were last freed of expired tokens.
    checked_at: Moment,
    swept_at: Moment,
    /// Highest number of proxies that a holder reported.
    proxies: usize,
    /// Since when that number of holders is in contact.
    complete_since: Option<Moment>,
}

impl<T: Clone + Ord, H: Copy + Ord> Issuer<T, H> {
    /// An issuer that knows no holders.
    #[must_use]
    pub fn new(now: Moment, limit: Limit) -> Self {
        Self {
            limit,
            buckets: BTreeMap::new(),
            accounts: BTreeMap::new(),
            started_at: now,
            checked_at: now,
            swept_at: now,
            proxies: 1,
            complete_since: None,
        }
    }

    /// Sets the limits of all tenants; a tenant that is missing has none.
    ///
    /// In the first lifetime a new bucket is empty: an earlier issuer may have issued its tokens. Later
    /// the limit itself is new, and its bucket is full.
    pub fn set_rates(&mut self, now: Moment, rates: impl Iterator<Item = (T, Rate)>) {
        let is_new = now.since(self.started_at) < self.limit.lifetime;
        let mut before = std::mem::take(&mut self.buckets);
        for (tenant, rate) in rates {
            let bucket = match before.remove(&tenant) {
                Some(mut bucket) => {
                    bucket.set_rate(now, rate);
                    bucket
                }
                None if is_new => Bucket::empty(now, rate, self.limit),
                None => Bucket::full(now, rate, self.limit),
            };
            self.buckets.insert(tenant, bucket);
        }
    }

    /// Answers a claim. A claim that was answered before gets no tokens.
    pub fn on_claim(&mut self, now: Moment, holder: H, claim: &Claim<T>) -> Issue<T> {
        self.check_silence(now);
        self.sweep(now);
        self.proxies = self.proxies.max(claim.proxies as usize);
        let is_known = self.hear(now, holder, claim);
        let needs = claim.needs.iter().take(MAX_NEEDS);
        let grants = match is_known {
            Some(true) => needs
                .map(|need| self.grant(now, holder, claim, need))
                .collect(),
            Some(false) => Vec::new(),
            None => needs.map(refuse).collect(),
        };
        Issue {
            number: claim.number,
            grants,
        }
    }

    /// The stream of a holder has ended. Its tokens count as held until they expire.
    pub fn on_lost(&mut self, now: Moment, holder: H) {
        let account = self.accounts.get_mut(&holder);
        if account.is_some_and(|account| account.has_share) {
            self.set_silent(now, holder, true);
        } else {
            self.forget(now, holder);
        }
        for bucket in self.buckets.values_mut() {
            bucket.on_lost(holder);
        }
    }

    /// The proxy of a holder has opened another stream and spends nothing as the old holder any more.
    /// The new one reports what it has left of the shares, which is nothing after a restart; otherwise
    /// the shares of a restarted proxy would be withheld for 15 s.
    pub fn on_replaced(&mut self, now: Moment, old: H, new: H) {
        self.set_silent(now, old, true);
        let Some(account) = self.accounts.remove(&old) else {
            return;
        };
        self.accounts.insert(new, account.successor(now));
        for bucket in self.buckets.values_mut() {
            bucket.on_lost(old);
            bucket.shares.rename(old, new);
        }
    }

    /// Forgets what was issued, like a new leader.
    pub fn restart(&mut self, now: Moment) {
        self.accounts.clear();
        self.started_at = now;
        self.checked_at = now;
        self.swept_at = now;
        self.proxies = 1;
        self.complete_since = None;
        let limit = self.limit;
        for bucket in self.buckets.values_mut() {
            *bucket = Bucket::empty(now, bucket.rate(), limit);
        }
    }

    /// Records a claim: whether it is a new one, `None` if there are too many holders.
    fn hear(&mut self, now: Moment, holder: H, claim: &Claim<T>) -> Option<bool> {
        let has_room = self.accounts.len() < MAX_HOLDERS;
        let is_first = !self.accounts.contains_key(&holder);
        if !has_room && is_first {
            return None;
        }
        if is_first {
            self.recover_shares(now, claim);
        }
        let account = self.accounts.entry(holder);
        let account = account.or_insert_with(|| Account::new(now));
        let is_new = account.hear(now, claim);
        if account.is_silent && account.silent_at().is_some_and(|at| now < at) {
            self.set_silent(now, holder, false);
        }
        Some(is_new)
    }

    /// Counts the shares that a new holder reports no longer as those of unknown or silent holders: it
    /// had them on an earlier stream. Those that expire first are taken first, so that the sum of the
    /// others is not too low at any time.
    fn recover_shares(&mut self, now: Moment, claim: &Claim<T>) {
        if claim.needs.iter().all(|need| need.share_milli == 0) {
            return;
        }
        let silent = self
            .accounts
            .iter()
            .filter(|(_, account)| account.is_silent);
        let mut silent: Vec<(Moment, H)> = silent.map(|(id, of)| (of.heard_at, *id)).collect();
        silent.sort_unstable();
        for need in claim.needs.iter().take(MAX_NEEDS) {
            let Some(bucket) = self.buckets.get_mut(&need.tenant) else {
                continue;
            };
            let mut left = bucket.take_unknown(now, need.share_milli);
            for (_, holder) in &silent {
                if left == 0 {
                    break;
                }
                left -= bucket.shares.take_back(now, *holder, left);
            }
        }
    }

    /// Counts a holder as silent or not, for all tenants.
    fn set_silent(&mut self, now: Moment, holder: H, is_silent: bool) {
        if let Some(account) = self.accounts.get_mut(&holder) {
            account.is_silent = is_silent;
        }
        for bucket in self.buckets.values_mut() {
            if !bucket.shares.is_new(holder) {
                bucket.advance(now);
                bucket.shares.set_silent(holder, is_silent);
            }
        }
    }

    fn forget(&mut self, now: Moment, holder: H) {
        self.accounts.remove(&holder);
        for bucket in self.buckets.values_mut() {
            if !bucket.shares.is_new(holder) {
                bucket.advance(now);
                bucket.shares.remove(now, holder);
            }
        }
    }

    /// Counts the holders as silent of which no answer has arrived for long, each from its time on,
    /// and forgets those whose shares have expired.
    fn check_silence(&mut self, now: Moment) {
        if now.since(self.checked_at) < CHECK_INTERVAL {
            return;
        }
        self.checked_at = now;
        let accounts = self
            .accounts
            .iter()
            .filter(|(_, account)| !account.is_silent);
        let due = accounts.filter_map(|(holder, account)| Some((account.silent_at()?, *holder)));
        let mut due: Vec<(Moment, H)> = due.filter(|(at, _)| *at <= now).collect();
        due.sort_unstable();
        for (at, holder) in due {
            self.set_silent(at, holder, true);
        }
        let lifetime = self.limit.lifetime;
        let expired = self.accounts.iter().filter(|(_, account)| {
            let kept = if account.has_share {
                SHARE_LIFETIME
            } else {
                lifetime
            };
            now.since(account.heard_at) > kept
        });
        let expired: Vec<H> = expired.map(|(holder, _)| *holder).collect();
        for holder in expired {
            self.forget(now, holder);
        }
        self.check_complete(now);
    }

    /// In the first time, holders of an earlier issuer may be missing.
    fn check_complete(&mut self, now: Moment) {
        if now.since(self.started_at) > SHARE_LIFETIME {
            return;
        }
        let accounts = self.accounts.values();
        let in_contact = accounts.filter(|account| !account.is_silent).count();
        if in_contact < self.proxies {
            self.complete_since = None;
            return;
        }
        let since = *self.complete_since.get_or_insert(now);
        if now.since(since) >= COMPLETE_TIME {
            for bucket in self.buckets.values_mut() {
                bucket.on_complete(now);
            }
        }
    }

    fn grant(&mut self, now: Moment, holder: H, claim: &Claim<T>, need: &Need<T>) -> Grant<T> {
        let Some(bucket) = self.buckets.get_mut(&need.tenant) else {
            return Grant {
                tenant: need.tenant.clone(),
                tokens: need.waiting,
                retry_in: Duration::ZERO,
                share_milli: 0,
            };
        };
        bucket.on_report(now, holder, claim.received, need);
        let silent = self
            .accounts
            .get(&holder)
            .is_none_or(|account| account.is_silent);
        bucket
            .shares
            .on_report(now, holder, need.share_milli, silent);
        let (tokens, retry_in) = bucket.issue(now, holder, claim.number, need);
        let share_milli = bucket.divide(now, holder, need, tokens);
        if let Some(account) = self.accounts.get_mut(&holder) {
            account.has_share |= need.share_milli > 0 || share_milli > 0;
        }
        Grant {
            tenant: need.tenant.clone(),
            tokens,
            retry_in,
            share_milli,
        }
    }

    /// Removes tokens that have expired: those of a tenant without claims stay until then.
    fn sweep(&mut self, now: Moment) {
        if now.since(self.swept_at) < self.limit.lifetime {
            return;
        }
        self.swept_at = now;
        for bucket in self.buckets.values_mut() {
            bucket.advance(now);
        }
    }
}

fn refuse<T: Clone>(need: &Need<T>) -> Grant<T> {
    Grant {
        tenant: need.tenant.clone(),
        tokens: 0,
        retry_in: MAX_RETRY,
        share_milli: 0,
    }
}

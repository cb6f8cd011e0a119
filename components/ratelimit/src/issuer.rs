//! Issue of tokens by the leader of the coordinators.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Moment;
use registry::tenant::Rate;

use crate::bucket::{Bucket, MAX_RETRY};
use crate::message::{Claim, Grant, Issue, MAX_NEEDS, Need};

/// Highest number of holders. Bounds the memory that faulty peers can cause to be used; the largest
/// deployment has 82.
const MAX_HOLDERS: usize = 4096;

/// What an issuer tolerates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limit {
    /// Lifetime of tokens.
    pub lifetime: Duration,
    /// Operations beyond the burst that are tolerated.
    pub slack: u64,
}

/// What is known of a holder.
#[derive(Debug)]
struct Account {
    /// Number of its last claim.
    number: u64,
    heard_at: Moment,
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
    /// When the accounts of silent holders were last removed.
    swept_at: Moment,
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
            swept_at: now,
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
        self.sweep(now);
        let is_known = self.hear(now, holder, claim.number);
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
    pub fn on_lost(&mut self, _now: Moment, holder: H) {
        self.accounts.remove(&holder);
        for bucket in self.buckets.values_mut() {
            bucket.on_lost(holder);
        }
    }

    /// Forgets what was issued, like a new leader.
    pub fn restart(&mut self, now: Moment) {
        self.accounts.clear();
        self.started_at = now;
        self.swept_at = now;
        let limit = self.limit;
        for bucket in self.buckets.values_mut() {
            *bucket = Bucket::empty(now, bucket.rate(), limit);
        }
    }

    /// Records a claim: whether it is a new one, `None` if there are too many holders.
    fn hear(&mut self, now: Moment, holder: H, number: u64) -> Option<bool> {
        let has_room = self.accounts.len() < MAX_HOLDERS;
        if !has_room && !self.accounts.contains_key(&holder) {
            return None;
        }
        let account = self.accounts.entry(holder).or_insert(Account {
            number: 0,
            heard_at: now,
        });
        account.heard_at = now;
        let is_new = number > account.number;
        account.number = account.number.max(number);
        Some(is_new)
    }

    fn grant(&mut self, now: Moment, holder: H, claim: &Claim<T>, need: &Need<T>) -> Grant<T> {
        let Some(bucket) = self.buckets.get_mut(&need.tenant) else {
            return Grant {
                tenant: need.tenant.clone(),
                tokens: need.waiting,
                retry_in: Duration::ZERO,
            };
        };
        bucket.on_report(now, holder, claim.received, need);
        let (tokens, retry_in) = bucket.issue(now, holder, claim.number, need);
        Grant {
            tenant: need.tenant.clone(),
            tokens,
            retry_in,
        }
    }

    /// Forgets holders that were silent for a lifetime, and tokens that have expired: those of a tenant
    /// without claims stay until then.
    fn sweep(&mut self, now: Moment) {
        let lifetime = self.limit.lifetime;
        if now.since(self.swept_at) < lifetime {
            return;
        }
        self.swept_at = now;
        self.accounts
            .retain(|_, account| now.since(account.heard_at) <= lifetime);
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
    }
}

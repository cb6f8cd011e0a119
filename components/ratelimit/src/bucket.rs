//! Bucket of one tenant.
//!
//! The tokens in the bucket and the unspent ones of holders together stay within the burst and half
//! of the slack, except that the bucket can always fill to one token. In any window the operations started are therefore at most these and what the bucket
//! gains in it, whatever holders do.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use clock::Moment;
use registry::tenant::Rate;

use crate::issuer::Limit;
use crate::message::{Need, SHARE_LIFETIME};
use crate::shares::Shares;

/// Parts of a token in one thousandth: the gain of a rate in thousandths per second over a number of
/// nanoseconds is then exact.
const PARTS_PER_MILLI: u128 = 1_000_000_000;
/// Parts of a token.
const TOKEN: u128 = 1000 * PARTS_PER_MILLI;
/// Longest time after which a holder or a caller is told to come back.
pub const MAX_RETRY: Duration = Duration::from_secs(5);
/// Tokens issued to a holder within this time share one batch, which bounds the number of batches.
const BATCH_SPAN: Duration = Duration::from_millis(250);
/// Tokens that are left to operations that wait at other holders.
const MIN_LEFT: u128 = 4;
/// Lowest level at which a holder with little use is given a token to hold.
const MIN_SPREAD_LEVEL: u128 = 8 * TOKEN;
/// Fractional part of the golden ratio in 2^-32: multiples of it are spread evenly.
const GOLDEN: u32 = 0x9E37_79B9;

/// Tokens that a holder keeps.
#[derive(Clone, Copy, Debug)]
struct Batch {
    /// Number of the last issue that added to it.
    number: u64,
    first_at: Moment,
    last_at: Moment,
    /// Invariant: at least 1.
    tokens: u64,
}

/// Bucket of one tenant.
#[derive(Debug)]
pub struct Bucket<H> {
    rate: Rate,
    limit: Limit,
    /// Parts of tokens that can be issued. Invariant: at most `cap()`.
    level: u128,
    filled_at: Moment,
    /// Tokens that holders may have unspent, oldest first. Invariant: no empty queue.
    held: BTreeMap<H, VecDeque<Batch>>,
    /// Those of holders whose stream has ended.
    orphaned: Vec<Batch>,
    /// Sum of the tokens in `held` and `orphaned`.
    held_total: u64,
    /// Until when half of the burst counts as held by holders of an earlier issuer.
    reserved_until: Option<Moment>,
    /// Moment at which the gain covers all operations refused so far. Invariant: at most
    /// `MAX_RETRY` after the last refusal.
    promised_until: Moment,
    /// Number of answers at the longest retry time; spreads the next one.
    spread: u32,
    pub shares: Shares<H>,
    /// Part of the rate that holders unknown to this issuer may spend, until then.
    unknown_milli: u64,
    unknown_until: Moment,
}

impl<H: Copy + Ord> Bucket<H> {
    /// A full bucket, for a limit that takes effect now.
    pub fn full(now: Moment, rate: Rate, limit: Limit) -> Self {
        let mut bucket = Self::empty(now, rate, limit);
        bucket.reserved_until = None;
        bucket.unknown_milli = 0;
        bucket.level = bucket.cap();
        bucket
    }

    /// An empty bucket, for a limit for which another issuer may have issued tokens until now.
    pub fn empty(now: Moment, rate: Rate, limit: Limit) -> Self {
        Self {
            rate,
            limit,
            level: 0,
            filled_at: now,
            held: BTreeMap::new(),
            orphaned: Vec::new(),
            held_total: 0,
            reserved_until: Some(now.later(limit.lifetime)),
            promised_until: now,
            spread: 0,
            shares: Shares::new(now),
            unknown_milli: rate.per_second_milli,
            unknown_until: now.later(SHARE_LIFETIME),
        }
    }

    pub fn rate(&self) -> Rate {
        self.rate
    }

    pub fn set_rate(&mut self, now: Moment, rate: Rate) {
        self.advance(now);
        self.rate = rate;
        self.unknown_milli = self.unknown_milli.min(rate.per_second_milli);
        self.level = self.level.min(self.cap());
    }

    /// Records what a holder reports to have left of the issues up to `received`, and takes back what
    /// it has beyond `ahead`. The report can be higher than what is known: tokens of an earlier stream
    /// or issuer are counted elsewhere. Then nothing is taken back, as these may be the ones returned.
    pub fn on_report<T>(&mut self, now: Moment, holder: H, received: u64, need: &Need<T>) {
        self.advance(now);
        let batches = self.held.get(&holder).into_iter().flatten();
        let received = batches.take_while(|batch| batch.number <= received);
        let known: u64 = received.map(|batch| batch.tokens).sum();
        let held = u64::from(need.held);
        if held > known {
            return;
        }
        let returned = held.saturating_sub(need.ahead.into());
        self.release(holder, known - held + returned);
        self.level += u128::from(returned) * TOKEN;
    }

    /// No holder is unknown any more.
    pub fn on_complete(&mut self, now: Moment) {
        self.advance(now);
        self.unknown_milli = 0;
    }

    /// Counts a share of an earlier issuer as known, and returns what is left of it.
    pub fn take_unknown(&mut self, now: Moment, share_milli: u64) -> u64 {
        self.advance(now);
        let taken = self.unknown_milli.min(share_milli);
        self.unknown_milli -= taken;
        share_milli - taken
    }

    /// The share to answer a need with; none if the tenant is not in use at the holder.
    pub fn divide<T>(&mut self, now: Moment, holder: H, need: &Need<T>, tokens: u32) -> u64 {
        if need.ahead == 0 && need.waiting == 0 {
            self.shares.forget_unused(holder);
            return 0;
        }
        self.shares.on_issued(now, holder, tokens.into());
        // What holders can save out of contact has to fit into the burst and the tolerance.
        let most = self.rate.burst_milli / 10 * 11 + self.limit.slack * 500;
        let rate = self.rate.per_second_milli.min(most);
        self.shares.divide(now, holder, rate, self.unknown_milli)
    }

    /// Gain per second: the rate without what holders out of contact may spend.
    fn gain_milli(&self) -> u64 {
        let withheld = self.shares.silent_milli() + self.unknown_milli;
        self.rate.per_second_milli.saturating_sub(withheld)
    }

    /// Removes the oldest tokens of a holder.
    fn release(&mut self, holder: H, tokens: u64) {
        let Some(batches) = self.held.get_mut(&holder) else {
            return;
        };
        let mut spent = tokens;
        self.held_total -= spent;
        while let Some(oldest) = batches.front_mut().filter(|_| spent > 0) {
            let part = oldest.tokens.min(spent);
            oldest.tokens -= part;
            spent -= part;
            if oldest.tokens == 0 {
                batches.pop_front();
            }
        }
        if batches.is_empty() {
            self.held.remove(&holder);
        }
    }

    /// Issues tokens: their number and the time after which to claim again.
    pub fn issue<T>(
        &mut self,
        now: Moment,
        holder: H,
        number: u64,
        need: &Need<T>,
    ) -> (u32, Duration) {
        self.advance(now);
        let waiting = self.withdraw(need.waiting);
        if waiting < need.waiting {
            return (waiting, self.retry_in(now, need.waiting - waiting));
        }
        let ahead = need.ahead.saturating_sub(need.held);
        let room = if need.ahead <= 1 && !self.can_spread(now) {
            0
        } else {
            self.ahead_room()
        };
        let ahead = self.withdraw(ahead.min(room));
        self.hold(now, holder, number, ahead);
        (waiting.saturating_add(ahead), Duration::ZERO)
    }

    pub fn on_lost(&mut self, holder: H) {
        self.orphaned
            .extend(self.held.remove(&holder).into_iter().flatten());
    }

    /// Adds the gain up to `now` and drops the tokens that have expired. The gain up to an expiry
    /// is bounded by what was held until then.
    pub fn advance(&mut self, now: Moment) {
        if let Some(expired_at) = self.last_expiry(now) {
            self.fill(expired_at);
            self.drop_expired(now);
        }
        if self.unknown_milli > 0 && self.unknown_until <= now {
            self.fill(self.unknown_until);
            self.unknown_milli = 0;
        }
        self.fill(now);
    }

    fn fill(&mut self, now: Moment) {
        let nanos = now.since(self.filled_at).as_nanos();
        let gain = u128::from(self.gain_milli()).saturating_mul(nanos);
        self.level = self.level.saturating_add(gain).min(self.cap());
        self.filled_at = self.filled_at.max(now);
    }

    /// Highest level: what is held counts towards the burst, and so does what silent holders can save. At least one token, or a burst below
    /// one would never issue any.
    fn cap(&self) -> u128 {
        let reserve = self.reserved_until.map_or(0, |_| self.hold_limit());
        let slack = u128::from(self.limit.slack) * TOKEN / 2;
        let burst = u128::from(self.rate.burst_milli) * PARTS_PER_MILLI;
        let held = u128::from(self.held_total + reserve) * TOKEN;
        let saved = u128::from(self.shares.saved_milli()) * PARTS_PER_MILLI;
        (burst + slack).saturating_sub(held + saved).max(TOKEN)
    }

    /// Highest number of tokens that holders may keep, so that the next issuer, which knows none of
    /// them, can issue the other half of the burst: half of the burst, and the slack that is added to it.
    fn hold_limit(&self) -> u64 {
        self.rate.burst_milli / 2000 + self.limit.slack / 2
    }

    /// Tokens that one answer may add to those held: at most half of the level, so that one holder
    /// leaves some for the operations that wait at others.
    fn ahead_room(&self) -> u32 {
        let reserve = self.reserved_until.map_or(0, |_| self.hold_limit());
        let room = self.hold_limit().saturating_sub(self.held_total + reserve);
        let half = (self.level / TOKEN).saturating_sub(MIN_LEFT) / 2;
        u32::try_from(half.min(room.into())).unwrap_or(u32::MAX)
    }

    /// Whether there are tokens for holders where the tenant has little use. With few in the bucket, each
    /// one held is missing for the operations of others.
    fn can_spread(&self, now: Moment) -> bool {
        self.promised_until <= now && self.level >= MIN_SPREAD_LEVEL
    }

    /// Takes up to `wanted` whole tokens from the bucket.
    fn withdraw(&mut self, wanted: u32) -> u32 {
        let whole = u32::try_from(self.level / TOKEN).unwrap_or(u32::MAX);
        let taken = wanted.min(whole);
        self.level -= u128::from(taken) * TOKEN;
        taken
    }

    fn hold(&mut self, now: Moment, holder: H, number: u64, tokens: u32) {
        if tokens == 0 {
            return;
        }
        let tokens = u64::from(tokens);
        self.held_total += tokens;
        let batches = self.held.entry(holder).or_default();
        let recent = |batch: &&mut Batch| now.since(batch.first_at) < BATCH_SPAN;
        if let Some(batch) = batches.back_mut().filter(recent) {
            batch.number = number;
            batch.last_at = now;
            batch.tokens += tokens;
            return;
        }
        batches.push_back(Batch {
            number,
            first_at: now,
            last_at: now,
            tokens,
        });
    }

    /// When a holder with `short` operations that got no token should claim again: after the gain
    /// covers these and all that were refused before, so that holders return one after the other.
    fn retry_in(&mut self, now: Moment, short: u32) -> Duration {
        let rate = u128::from(self.gain_milli()).max(1);
        let first = nanos((TOKEN - self.level.min(TOKEN)).div_ceil(rate));
        let gain = nanos((u128::from(short) * TOKEN).div_ceil(rate));
        let backlog = self.promised_until.since(now).saturating_add(gain);
        self.promised_until = now.later(backlog.min(MAX_RETRY));
        if backlog < MAX_RETRY {
            return backlog.max(first).min(MAX_RETRY);
        }
        self.spread = self.spread.wrapping_add(GOLDEN);
        let part = f64::from(self.spread) / f64::from(u32::MAX);
        first.clamp(MAX_RETRY.mul_f64(0.5 + part / 2.0), MAX_RETRY)
    }

    /// The last moment up to `now` at which something held has expired.
    fn last_expiry(&self, now: Moment) -> Option<Moment> {
        let held = self.held.values().flatten().chain(&self.orphaned);
        let expiries = held.map(|batch| batch.last_at.later(self.limit.lifetime));
        let expiries = expiries.chain(self.reserved_until);
        expiries.filter(|at| *at <= now).max()
    }

    fn drop_expired(&mut self, now: Moment) {
        let lifetime = self.limit.lifetime;
        let live = |batch: &Batch| batch.last_at.later(lifetime) > now;
        self.held.retain(|_, batches| {
            batches.retain(live);
            !batches.is_empty()
        });
        self.orphaned.retain(live);
        let held = self.held.values().flatten().chain(&self.orphaned);
        self.held_total = held.map(|batch| batch.tokens).sum();
        self.reserved_until = self.reserved_until.filter(|until| *until > now);
    }
}

/// A duration of so many nanoseconds.
fn nanos(nanos: u128) -> Duration {
    u64::try_from(nanos).map_or(Duration::MAX, Duration::from_nanos)
}

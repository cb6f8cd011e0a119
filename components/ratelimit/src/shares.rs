//! Shares of the rate of one tenant, as the issuer knows them.
//!
//! The sum of all shares that may be in use stays within the rate. What silent holders may spend of
//! it is withheld from the bucket.

use std::collections::BTreeMap;

use clock::Moment;

use crate::message::SHARE_CAPACITY;

/// Time over which the use of holders is averaged, in seconds. With 5 or 8 s, 1% more of the operations at
/// holders cut off at 400/s are admitted, but shares follow moved callers later.
const AVERAGE_S: f64 = 2.0;
/// Weight, in operations, that every holder with the tenant in use has in addition to its use: a
/// holder with few operations needs a share as well.
const BASE_WEIGHT: f64 = 1.0;

/// Share of one holder.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Highest share that the holder may have: that of its last claim or that of the answer.
    possible_milli: u64,
    is_silent: bool,
    /// Tokens issued lately, as of `weighed_at`.
    weight: f64,
    weighed_at: Moment,
}

impl Entry {
    fn new(now: Moment, is_silent: bool) -> Self {
        Self {
            possible_milli: 0,
            is_silent,
            weight: 0.0,
            weighed_at: now,
        }
    }

    fn weigh(&mut self, now: Moment) {
        self.weight *= decay(self.weighed_at, now);
        self.weighed_at = self.weighed_at.max(now);
    }
}

/// Shares of all holders of a tenant, with running sums.
#[derive(Debug)]
pub struct Shares<H> {
    entries: BTreeMap<H, Entry>,
    /// Sum of the shares in `entries`.
    total_milli: u64,
    /// Sum of those of silent holders.
    silent_milli: u64,
    /// Sum of what silent holders can save, in thousandths of an operation.
    saved_milli: u64,
    /// Number of holders in contact.
    in_contact: usize,
    /// Sum of the weights as of `weighed_at`.
    weight: f64,
    weighed_at: Moment,
}

impl<H: Copy + Ord> Shares<H> {
    pub fn new(now: Moment) -> Self {
        Self {
            entries: BTreeMap::new(),
            total_milli: 0,
            silent_milli: 0,
            saved_milli: 0,
            in_contact: 0,
            weight: 0.0,
            weighed_at: now,
        }
    }

    pub fn silent_milli(&self) -> u64 {
        self.silent_milli
    }

    pub fn saved_milli(&self) -> u64 {
        self.saved_milli
    }

    /// Whether a holder has reported no share on this stream.
    pub fn is_new(&self, holder: H) -> bool {
        !self.entries.contains_key(&holder)
    }

    /// Records the share in a claim. Nothing issued earlier can change it any more, as the holder has
    /// one claim under way at a time. A share of an earlier stream or issuer stands for earlier use.
    pub fn on_report(&mut self, now: Moment, holder: H, share_milli: u64, is_silent: bool) {
        if self.is_new(holder) {
            self.entries.insert(holder, Entry::new(now, is_silent));
            self.in_contact += usize::from(!is_silent);
            self.on_issued(now, holder, share_milli as f64 / 1000.0 * AVERAGE_S);
        }
        self.set(now, holder, share_milli);
    }

    /// Records tokens issued to a holder that has reported.
    pub fn on_issued(&mut self, now: Moment, holder: H, tokens: f64) {
        self.weigh(now);
        if let Some(entry) = self.entries.get_mut(&holder) {
            entry.weigh(now);
            entry.weight += tokens;
            self.weight += tokens;
        }
    }

    /// The share of a holder: its part of the rate by use, raised only as far as the shares of others
    /// and what is reserved leave room.
    pub fn divide(&mut self, now: Moment, holder: H, rate_milli: u64, reserved_milli: u64) -> u64 {
        self.weigh(now);
        let weight = self.weight;
        let Some(entry) = self.entries.get_mut(&holder) else {
            return 0;
        };
        entry.weigh(now);
        let sum = weight + BASE_WEIGHT * self.in_contact.max(1) as f64;
        let part = ((entry.weight + BASE_WEIGHT) / sum).clamp(0.0, 1.0);
        let others = self.total_milli - entry.possible_milli;
        let mut room = rate_milli
            .saturating_sub(others)
            .saturating_sub(reserved_milli);
        // A share that is given to a silent holder is withheld at once.
        if entry.is_silent {
            room = room.min(entry.possible_milli);
        }
        let share = ((rate_milli as f64 * part) as u64).min(room);
        let possible = entry.possible_milli.max(share);
        self.set(now, holder, possible);
        share
    }

    /// Counts a holder as silent or not.
    pub fn set_silent(&mut self, holder: H, is_silent: bool) {
        let Some(entry) = self.entries.get_mut(&holder) else {
            return;
        };
        if std::mem::replace(&mut entry.is_silent, is_silent) == is_silent {
            return;
        }
        if is_silent {
            self.silent_milli += entry.possible_milli;
            self.saved_milli += capacity(entry.possible_milli);
            self.in_contact -= 1;
        } else {
            self.silent_milli -= entry.possible_milli;
            self.saved_milli -= capacity(entry.possible_milli);
            self.in_contact += 1;
        }
    }

    /// Takes up to so much from the share of a silent holder, and returns what was taken.
    pub fn take_back(&mut self, now: Moment, holder: H, share_milli: u64) -> u64 {
        let Some(entry) = self.entries.get(&holder) else {
            return 0;
        };
        let possible = entry.possible_milli;
        let taken = possible.min(share_milli);
        self.set(now, holder, possible - taken);
        taken
    }

    /// Gives the entry of a holder to its successor.
    pub fn rename(&mut self, old: H, new: H) {
        if let Some(entry) = self.entries.remove(&old) {
            self.entries.insert(new, entry);
        }
    }

    /// Forgets a holder, whose share has expired.
    pub fn remove(&mut self, now: Moment, holder: H) {
        self.set(now, holder, 0);
        if let Some(mut entry) = self.entries.remove(&holder) {
            self.in_contact -= usize::from(!entry.is_silent);
            self.weigh(now);
            entry.weigh(now);
            self.weight = (self.weight - entry.weight).max(0.0);
        }
    }

    fn set(&mut self, now: Moment, holder: H, share_milli: u64) {
        let Some(entry) = self.entries.get_mut(&holder) else {
            return;
        };
        let before = std::mem::replace(&mut entry.possible_milli, share_milli);
        self.total_milli = self.total_milli - before + share_milli;
        if entry.is_silent {
            self.silent_milli = self.silent_milli - before + share_milli;
            self.saved_milli = self.saved_milli - capacity(before) + capacity(share_milli);
        }
        entry.weigh(now);
    }

    /// Forgets a holder without a share that no longer uses the tenant.
    pub fn forget_unused(&mut self, holder: H) {
        let entry = self.entries.get(&holder);
        if entry.is_some_and(|entry| entry.possible_milli == 0) {
            self.in_contact -= usize::from(entry.is_some_and(|entry| !entry.is_silent));
            self.entries.remove(&holder);
        }
    }

    fn weigh(&mut self, now: Moment) {
        self.weight *= decay(self.weighed_at, now);
        self.weighed_at = self.weighed_at.max(now);
    }
}

/// What a holder can save of a share, in thousandths of an operation.
fn capacity(share_milli: u64) -> u64 {
    let saved = u128::from(share_milli) * SHARE_CAPACITY.as_millis() / 1000;
    let saved = u64::try_from(saved).unwrap_or(u64::MAX);
    if share_milli == 0 { 0 } else { saved.max(1000) }
}

fn decay(from: Moment, to: Moment) -> f64 {
    (-to.since(from).as_secs_f64() / AVERAGE_S).exp()
}

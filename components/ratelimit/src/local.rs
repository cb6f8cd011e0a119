//! Share of the rate of one tenant at a holder, and the bucket that it fills out of contact.

use std::time::Duration;

use clock::Moment;

use crate::message::{CONTACT_TIMEOUT, SHARE_CAPACITY, SHARE_LIFETIME};

/// Parts of a token. A share of one thousandth of an operation per second gains one part per
/// nanosecond.
const TOKEN: u128 = 1000 * 1_000_000_000;

/// From when until when the shares may be spent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Absence {
    pub from: Moment,
    pub until: Moment,
}

impl Absence {
    /// The next time out of contact after the last claim that was answered.
    pub fn after(contact_at: Moment) -> Self {
        Self {
            from: contact_at.later(CONTACT_TIMEOUT),
            until: contact_at.later(SHARE_LIFETIME),
        }
    }

    pub fn contains(self, now: Moment) -> bool {
        self.from <= now && now < self.until
    }
}

/// A share and its bucket.
#[derive(Debug, Default)]
pub struct Local {
    share_milli: u64,
    /// Parts of tokens. Invariant: zero in contact.
    level: u128,
    filled_at: Moment,
    /// Whether the issuer may count a share.
    pub is_counted: bool,
}

impl Local {
    pub fn share_milli(&self) -> u64 {
        self.share_milli
    }

    /// An issue has arrived: the holder is in contact.
    pub fn on_contact(&mut self) {
        self.level = 0;
        self.filled_at = Moment::default();
    }

    pub fn set_share(&mut self, share_milli: u64) {
        self.share_milli = share_milli;
        self.is_counted = share_milli > 0;
    }

    pub fn drop_share(&mut self) {
        self.share_milli = 0;
        self.level = 0;
    }

    /// Adds the gain up to `now`.
    pub fn fill(&mut self, now: Moment, absence: Absence) {
        if !absence.contains(now) {
            self.level = 0;
            return;
        }
        let from = self.filled_at.max(absence.from);
        let gain = u128::from(self.share_milli) * now.since(from).as_nanos();
        let cap = (u128::from(self.share_milli) * SHARE_CAPACITY.as_nanos()).max(TOKEN);
        self.level = (self.level + gain).min(cap);
        self.filled_at = now;
    }

    /// Takes a token, if there is one.
    pub fn spend(&mut self) -> bool {
        let has_token = self.level >= TOKEN;
        if has_token {
            self.level -= TOKEN;
        }
        has_token
    }

    /// When the bucket holds the token for an operation that `before` others precede, if it fills.
    pub fn token_at(&self, before: usize) -> Option<Moment> {
        if self.share_milli == 0 {
            return None;
        }
        let missing = (TOKEN * (before as u128 + 1)).saturating_sub(self.level);
        let nanos = missing.div_ceil(u128::from(self.share_milli));
        let wait = u64::try_from(nanos).map_or(Duration::MAX, Duration::from_nanos);
        Some(self.filled_at.later(wait))
    }
}

//! Unspent tokens of one tenant at a holder.

use std::collections::VecDeque;
use std::time::Duration;

use clock::Moment;

/// Time before their expiry at which tokens are returned.
const RENEWAL_TIME: Duration = Duration::from_secs(1);
/// Tokens whose expiries lie within this time share one batch, which bounds the number of batches.
const BATCH_SPAN: Duration = Duration::from_millis(100);

/// Tokens that expire together.
#[derive(Clone, Copy, Debug)]
struct Batch {
    expires_at: Moment,
    /// Invariant: at least 1.
    tokens: u32,
}

/// Unspent tokens.
#[derive(Debug, Default)]
pub struct Tokens {
    /// The next to expire first.
    batches: VecDeque<Batch>,
    /// Sum of the tokens in `batches`.
    held: u32,
}

impl Tokens {
    pub fn held(&self) -> u32 {
        self.held
    }

    /// Drops expired tokens.
    pub fn refresh(&mut self, now: Moment) {
        self.batches.retain(|batch| batch.expires_at > now);
        self.held = self.batches.iter().map(|batch| batch.tokens).sum();
    }

    /// Tokens that expire soon. They are returned: the issuer issues the same number again, but does
    /// not replace those that expire.
    pub fn expiring(&self, now: Moment) -> u32 {
        let soon = now.later(RENEWAL_TIME);
        let batches = self.batches.iter();
        let expiring = batches.filter(|batch| batch.expires_at <= soon);
        expiring.map(|batch| batch.tokens).sum()
    }

    /// Removes the token that expires first, if there is one.
    pub fn remove_first(&mut self) -> bool {
        let Some(first) = self.batches.front_mut() else {
            return false;
        };
        first.tokens -= 1;
        if first.tokens == 0 {
            self.batches.pop_front();
        }
        self.held -= 1;
        true
    }

    /// Adds tokens; a batch that expires shortly before takes them in.
    pub fn add(&mut self, expires_at: Moment, tokens: u32) {
        if tokens == 0 {
            return;
        }
        self.held = self.held.saturating_add(tokens);
        let place = self
            .batches
            .partition_point(|batch| batch.expires_at <= expires_at);
        if let Some(before) = place.checked_sub(1).map(|before| &mut self.batches[before])
            && expires_at.since(before.expires_at) < BATCH_SPAN
        {
            before.tokens = before.tokens.saturating_add(tokens);
            return;
        }
        self.batches.insert(place, Batch { expires_at, tokens });
    }
}

//! Messages between holders and the issuer.

use std::time::Duration;

/// Highest number of tenants in one message. Bounds the work that one message can cause; needs beyond
/// it go into the next claim.
pub const MAX_NEEDS: usize = 1024;

/// Time after the last answered claim from which a holder spends its shares.
pub const CONTACT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time after the last answered claim until which it does.
pub const SHARE_LIFETIME: Duration = Duration::from_secs(15);
/// Use of a share that a holder can save out of contact; at least one token. Operations arrive unevenly:
/// at a holder with 2/s, a bucket of one token would refuse a third of those within the share.
pub const SHARE_CAPACITY: Duration = Duration::from_millis(1500);
/// Longest time from a claim to an answer that counts as contact. The issuer knows when a claim arrived,
/// not when it was sent.
pub const PROMPT_TIME: Duration = Duration::from_millis(400);
/// Time between two checks of the issuer for silent holders.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What a holder has and wants for one tenant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Need<T> {
    pub tenant: T,
    /// Unspent tokens.
    pub held: u32,
    /// Operations that wait for a token.
    pub waiting: u32,
    /// Tokens that the holder wants to have unspent for coming operations, `held` included. If it is
    /// less than `held`, the holder has dropped the difference and the issuer can issue it again.
    pub ahead: u32,
    /// Share of the rate that the holder has, in thousandths of an operation per second.
    pub share_milli: u64,
}

/// A holder's request for tokens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim<T> {
    /// Number of the claim on its stream, rising from 1.
    pub number: u64,
    /// Number of the last issue that is counted in `held`; 0 for none.
    pub received: u64,
    /// Highest number of proxies that the holder has heard of lately; 0 if unknown.
    pub proxies: u32,
    /// Invariant: at most [`MAX_NEEDS`].
    pub needs: Vec<Need<T>>,
}

/// The answer to a need.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant<T> {
    pub tenant: T,
    /// Tokens for the waiting operations first, the others to hold.
    pub tokens: u32,
    /// Time until the refused operations can have tokens; zero if every waiting operation has a token.
    pub retry_in: Duration,
    /// Share of the rate that the holder may use out of contact, in thousandths of an operation per
    /// second.
    pub share_milli: u64,
}

/// The issuer's answer to a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Issue<T> {
    /// Number of the claim.
    pub number: u64,
    /// Invariant: at most [`MAX_NEEDS`].
    pub grants: Vec<Grant<T>>,
}

//! Messages between holders and the issuer.

use std::time::Duration;

/// Highest number of tenants in one message. Bounds the work that one message can cause; needs beyond
/// it go into the next claim.
pub const MAX_NEEDS: usize = 1024;

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
}

/// A holder's request for tokens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim<T> {
    /// Number of the claim on its stream, rising from 1.
    pub number: u64,
    /// Number of the last issue that is counted in `held`; 0 for none.
    pub received: u64,
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
}

/// The issuer's answer to a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Issue<T> {
    /// Number of the claim.
    pub number: u64,
    /// Invariant: at most [`MAX_NEEDS`].
    pub grants: Vec<Grant<T>>,
}

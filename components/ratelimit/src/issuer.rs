//! Issue of tokens by the leader of the coordinators.

use std::marker::PhantomData;
use std::time::Duration;

use clock::Moment;
use registry::tenant::Rate;

use crate::{Claim, Issue};

/// What an issuer tolerates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limit {
    /// Lifetime of tokens.
    pub lifetime: Duration,
    /// Operations beyond the burst that are tolerated.
    pub slack: u64,
}

/// Issues tokens to holders.
#[derive(Debug)]
pub struct Issuer<T, H> {
    marker: PhantomData<(T, H)>,
}

impl<T: Clone + Ord, H: Copy + Ord> Issuer<T, H> {
    /// An issuer that knows no holders.
    #[must_use]
    pub fn new(_now: Moment, _limit: Limit) -> Self {
        Self {
            marker: PhantomData,
        }
    }

    /// Sets the limits of all tenants; a tenant that is missing has none.
    pub fn set_rates(&mut self, _now: Moment, _rates: impl Iterator<Item = (T, Rate)>) {}

    /// Answers a claim.
    pub fn on_claim(&mut self, _now: Moment, _holder: H, claim: &Claim<T>) -> Issue<T> {
        Issue {
            number: claim.number,
            grants: Vec::new(),
        }
    }

    /// The stream of a holder has ended. Its tokens count as held until they expire.
    pub fn on_lost(&mut self, _now: Moment, _holder: H) {}

    /// Forgets what was issued, like a new leader.
    pub fn restart(&mut self, _now: Moment) {}
}

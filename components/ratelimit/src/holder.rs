//! Use of tokens by a proxy.

use std::marker::PhantomData;
use std::time::Duration;

use clock::Moment;

use crate::{Claim, Issue};

/// Whether an operation may start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    Go,
    Wait,
    Refused { retry_in: Duration },
}

/// The result for an operation that waited: `Go` or `Refused`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settled<W> {
    pub waiter: W,
    pub admission: Admission,
}

/// Claims and spends tokens.
#[derive(Debug)]
pub struct Holder<T, W> {
    marker: PhantomData<(T, W)>,
}

impl<T: Clone + Ord, W: Copy + Ord> Holder<T, W> {
    /// A holder without tokens.
    #[must_use]
    pub fn new(_lifetime: Duration) -> Self {
        Self {
            marker: PhantomData,
        }
    }

    /// Sets the tenants with a limit; operations of others are admitted without a token.
    pub fn set_limited(&mut self, _tenants: impl Iterator<Item = T>) {}

    /// An operation asks for a token. A waiting one is settled by `on_issue` or `expire`.
    pub fn take(&mut self, _now: Moment, _tenant: T, _waiter: W, _deadline: Moment) -> Admission {
        Admission::Go
    }

    /// An operation that had a token never reached a server.
    pub fn give_back(&mut self, _now: Moment, _tenant: T) {}

    /// A waiting operation is gone.
    pub fn withdraw(&mut self, _tenant: T, _waiter: W) {}

    /// The next message for the issuer, if one is due and none is under way.
    pub fn next_claim(&mut self, _now: Moment) -> Option<Claim<T>> {
        None
    }

    /// When `next_claim` or `expire` should be called next, if nothing else happens.
    #[must_use]
    pub fn next_due(&self) -> Option<Moment> {
        None
    }

    pub fn on_issue(&mut self, _now: Moment, _issue: &Issue<T>, _settled: &mut Vec<Settled<W>>) {}

    /// Settles the operations whose deadlines have passed.
    pub fn expire(&mut self, _now: Moment, _settled: &mut Vec<Settled<W>>) {}

    /// The stream to the issuer has ended; the numbers of claims start again.
    pub fn on_disconnected(&mut self) {}
}

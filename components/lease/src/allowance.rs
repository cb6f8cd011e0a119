//! Connections that an entry may have open, by the quotas of its grants.

use std::collections::BTreeMap;
use std::time::Instant;

use types::Name;

use crate::quota::Quota;

#[derive(Debug)]
struct Grant {
    deadline: Instant,
    amounts: BTreeMap<Name, u32>,
}

impl Grant {
    /// A target that the grant does not name has its floor.
    fn amount(&self, target: &str, floor: u32) -> u32 {
        self.amounts.get(target).copied().unwrap_or(floor)
    }
}

/// Quotas that the entry holds.
///
/// The leader counts an amount until the entry has confirmed a later grant or the grant's lease has
/// ended. A later grant extends the lease but not an earlier grant's amounts, so that surplus
/// connections have to be closed by the deadline of the grant that allowed them.
#[derive(Debug, Default)]
pub struct Allowance {
    /// Grants in use by the renewal that they answered; all but the last only allow a surplus.
    grants: BTreeMap<u64, Grant>,
    last: u64,
}

impl Allowance {
    /// Takes in the quotas of the grant that answers renewal `seq`; `deadline` is what
    /// [`crate::holder::Lease::on_grant`] returned for it.
    pub fn on_grant(&mut self, seq: u64, deadline: Instant, quotas: &[Quota]) {
        // A grant that was overtaken says nothing of the quotas any more.
        if seq <= self.last {
            return;
        }
        self.last = seq;
        let amount = |quota: &Quota| (quota.target.clone(), quota.connections);
        let amounts = quotas.iter().map(amount).collect();
        self.grants.insert(seq, Grant { deadline, amounts });
    }

    /// Connections to `target` to keep to: new ones are opened up to here.
    #[must_use]
    pub fn allowed(&self, now: Instant, target: &str, floor: u32) -> u32 {
        let last = self.grants.get(&self.last);
        let valid = last.filter(|grant| now < grant.deadline);
        valid.map_or(floor, |grant| grant.amount(target, floor))
    }

    /// Connections to `target` that may still be open: the surplus is closed as soon as its work is
    /// done, and at once beyond this number.
    #[must_use]
    pub fn most(&self, now: Instant, target: &str, floor: u32) -> u32 {
        let valid = self.grants.values().filter(|grant| now < grant.deadline);
        let amounts = valid.map(|grant| grant.amount(target, floor));
        amounts.max().unwrap_or(floor)
    }

    /// No target has more connections than [`Allowance::allowed`]: earlier grants are given back.
    pub fn on_closed(&mut self) {
        let last = self.last;
        self.grants.retain(|seq, _| *seq == last);
    }

    /// For the next renewal: the earliest grant that is still in use.
    pub fn confirmed(&mut self, now: Instant) -> u64 {
        let last = self.last;
        self.grants
            .retain(|seq, grant| *seq == last || now < grant.deadline);
        self.grants.keys().next().copied().unwrap_or(last)
    }

    /// When [`Allowance::most`] changes next without a new grant.
    #[must_use]
    pub fn deadline(&self, now: Instant) -> Option<Instant> {
        let deadlines = self.grants.values().map(|grant| grant.deadline);
        deadlines.filter(|deadline| now < *deadline).min()
    }
}

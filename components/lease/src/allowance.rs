//! Limits on an instance's connections, from the quotas of its grants.

use std::collections::BTreeMap;
use std::time::Instant;

use types::Name;

use crate::quota::Quota;

#[derive(Debug)]
struct Grant {
    deadline: Instant,
    limits: BTreeMap<Name, u32>,
}

impl Grant {
    /// Limit on connections to `target`; the floor if the grant does not name it.
    fn limit(&self, target: &str, floor: u32) -> u32 {
        self.limits.get(target).copied().unwrap_or(floor)
    }
}

/// Quotas that the instance holds.
///
/// The leader reserves the connections of a grant until the instance has confirmed a later grant or
/// the grant's lease has ended. A later grant extends the lease but not the quotas of an earlier
/// one, so that surplus connections have to be closed by the deadline of the grant that allowed
/// them.
#[derive(Debug, Default)]
pub struct Allowance {
    /// Grants in use, by the number of the renewal that they answer. All but the last only allow
    /// surplus connections to stay open.
    grants: BTreeMap<u64, Grant>,
    last_seq: u64,
}

impl Allowance {
    /// Records the quotas of the grant that answers renewal `seq`; `deadline` is what
    /// [`crate::holder::Lease::on_grant`] returned for it.
    pub fn on_grant(&mut self, seq: u64, deadline: Instant, quotas: &[Quota]) {
        // A later grant has arrived before and has replaced these quotas.
        if seq <= self.last_seq {
            return;
        }
        self.last_seq = seq;
        let target_limit = |quota: &Quota| (quota.target.clone(), quota.connections);
        let limits = quotas.iter().map(target_limit).collect();
        self.grants.insert(seq, Grant { deadline, limits });
    }

    /// Number of connections to `target` up to which new ones may be opened.
    #[must_use]
    pub fn soft_limit(&self, now: Instant, target: &str, floor: u32) -> u32 {
        let last_grant = self.grants.get(&self.last_seq);
        let valid = last_grant.filter(|grant| now < grant.deadline);
        valid.map_or(floor, |grant| grant.limit(target, floor))
    }

    /// Number of connections to `target` that may stay open. Those above [`Allowance::soft_limit`]
    /// are closed as soon as they are idle, those above this limit at once.
    #[must_use]
    pub fn hard_limit(&self, now: Instant, target: &str, floor: u32) -> u32 {
        let valid = self.grants.values().filter(|grant| now < grant.deadline);
        let limits = valid.map(|grant| grant.limit(target, floor));
        limits.max().unwrap_or(floor)
    }

    /// Gives up earlier grants; called when no target has more connections than
    /// [`Allowance::soft_limit`].
    pub fn on_surplus_closed(&mut self) {
        let last_seq = self.last_seq;
        self.grants.retain(|seq, _| *seq == last_seq);
    }

    /// Number of the earliest grant that is still in use, to be sent in the next renewal.
    pub fn confirmed_seq(&mut self, now: Instant) -> u64 {
        let last_seq = self.last_seq;
        self.grants
            .retain(|seq, grant| *seq == last_seq || now < grant.deadline);
        self.grants.keys().next().copied().unwrap_or(last_seq)
    }

    /// When [`Allowance::hard_limit`] changes next without a new grant.
    #[must_use]
    pub fn next_deadline(&self, now: Instant) -> Option<Instant> {
        let deadlines = self.grants.values().map(|grant| grant.deadline);
        deadlines.filter(|deadline| now < *deadline).min()
    }
}

//! Leases as the control leader accounts for them.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use types::{Name, Revision};

/// Earlier boots remembered per instance, so that a process that resumes after it was replaced gets
/// no lease. An instance rarely restarts more often under one leader.
const MAX_PAST_BOOTS: usize = 16;

/// Contents of a renewal that concern the lease.
#[derive(Clone, Copy, Debug)]
pub struct Renewal<'a> {
    pub instance: &'a Name,
    /// Number that identifies this run of the instance's process.
    pub boot: u64,
    /// Time since the start of the process by its own clock; zero if unknown.
    pub age: Duration,
    /// Catalog revision that the instance acts under: it passes on no more answers under an earlier
    /// one.
    pub revision: Revision,
}

/// A lease that may still be in use.
#[derive(Clone, Copy, Debug)]
struct Grant {
    boot: u64,
    /// The holder acts under this revision or a later one.
    revision: Revision,
    /// Time on the leader's clock by which the lease has ended on the holder's clock.
    deadline: Instant,
}

#[derive(Debug, Default)]
struct Holder {
    boot: Option<u64>,
    /// Earlier boots, oldest first.
    past_boots: VecDeque<u64>,
    confirmed_revision: Revision,
    /// Whether `grants` contains all leases, also those granted by an earlier leader.
    settled: bool,
    /// Whether the instance gets no further lease.
    grants_stopped: bool,
    grants: Vec<Grant>,
}

/// Leases granted, and those that an earlier leader may have granted.
#[derive(Debug)]
pub struct Table {
    /// Length of a lease on the holder's clock.
    ttl: Duration,
    /// Longest time that a lease may last on the leader's clock.
    leader_ttl: Duration,
    /// Age of a process at which all leases of the instance's earlier processes have ended.
    settled_age: Duration,
    /// Time by which all leases of earlier leaders have ended.
    grace_deadline: Instant,
    holders: BTreeMap<Name, Holder>,
}

/// Longest time that a lease of `ttl` on another clock lasts on this one: `ttl` × (1 + `drift_ppm`
/// / 1,000,000).
#[must_use]
pub fn ttl_with_drift(ttl: Duration, drift_ppm: u32) -> Duration {
    let extra = ttl.as_nanos() * u128::from(drift_ppm);
    // Rounded up: with a deadline that is too early, a lease that is still valid would count as
    // ended.
    let extra = u64::try_from(extra.div_ceil(1_000_000)).unwrap_or(u64::MAX);
    ttl + Duration::from_nanos(extra)
}

impl Table {
    /// Creates the table of a leader elected at `now`. Leases that an earlier leader may have
    /// granted to any of `enrolled` are unknown until the grace deadline. `ttl` and `drift_ppm` are
    /// the greatest that an earlier leader may have used; [`Table::set_ttl`] sets the current
    /// ones.
    pub fn new<'a>(
        now: Instant,
        ttl: Duration,
        drift_ppm: u32,
        enrolled: impl IntoIterator<Item = &'a Name>,
    ) -> Self {
        let leader_ttl = ttl_with_drift(ttl, drift_ppm);
        let holder = |name: &Name| (name.clone(), Holder::default());
        Self {
            ttl,
            leader_ttl,
            settled_age: self::ttl_with_drift(leader_ttl, drift_ppm),
            grace_deadline: now + leader_ttl,
            holders: enrolled.into_iter().map(holder).collect(),
        }
    }

    /// Sets the length and the drift of the leases granted from now on.
    pub fn set_ttl(&mut self, ttl: Duration, drift_ppm: u32) {
        self.ttl = ttl;
        self.leader_ttl = ttl_with_drift(ttl, drift_ppm);
    }

    /// Time by which all leases of earlier leaders have ended.
    #[must_use]
    pub const fn grace_deadline(&self) -> Instant {
        self.grace_deadline
    }

    /// Adds an instance that was enrolled after this leader's election. It has no earlier lease,
    /// since a dismissal waits for [`Table::is_dismissible`].
    pub fn enroll(&mut self, instance: &Name) {
        let holder = self.holders.entry(instance.clone());
        holder.or_insert_with(|| Holder {
            settled: true,
            ..Holder::default()
        });
    }

    /// Stops granting leases to an instance that is to be dismissed.
    pub fn stop_grants(&mut self, instance: &Name) {
        if let Some(holder) = self.holders.get_mut(instance) {
            holder.grants_stopped = true;
        }
    }

    /// Whether no lease of the instance can be in use. A dismissal may be proposed only then: the
    /// next leader would not account for the lease of an instance that is no longer enrolled.
    #[must_use]
    pub fn is_dismissible(&self, now: Instant, instance: &str) -> bool {
        let has_no_lease = |holder: &Holder| {
            let may_have_unknown_lease = !holder.settled && now < self.grace_deadline;
            !may_have_unknown_lease && holder.grants.iter().all(|grant| grant.deadline <= now)
        };
        self.holders.get(instance).is_none_or(has_no_lease)
    }

    /// Removes a dismissed instance.
    pub fn dismiss(&mut self, instance: &str) {
        self.holders.remove(instance);
    }

    /// Records a renewal. Returns false if the instance is unknown or the process was replaced by a
    /// later one.
    pub fn renew(&mut self, now: Instant, renewal: &Renewal<'_>) -> bool {
        let (grace_deadline, settled_age) = (self.grace_deadline, self.settled_age);
        let Some(holder) = self.holders.get_mut(renewal.instance) else {
            return false;
        };
        if holder.past_boots.contains(&renewal.boot) {
            return false;
        }
        holder.set_boot(renewal.boot);
        holder.confirm_revision(renewal.boot, renewal.revision);
        // A process that is younger than a lease may have replaced one that still holds a lease of
        // an earlier leader.
        if !holder.settled && renewal.age >= settled_age {
            holder.settled = true;
            holder.grants.push(Grant {
                boot: renewal.boot,
                revision: holder.confirmed_revision,
                deadline: grace_deadline,
            });
        }
        holder.grants.retain(|grant| grant.deadline > now);
        true
    }

    /// Records a lease whose grant carries all changes up to `revision`, and returns its length and
    /// its deadline on the leader's clock. Returns none if the instance may not have a lease.
    pub fn grant(
        &mut self,
        now: Instant,
        instance: &str,
        boot: u64,
        revision: Revision,
    ) -> Option<(Duration, Instant)> {
        let deadline = now + self.leader_ttl;
        let holder = self.holders.get_mut(instance)?;
        if holder.grants_stopped || holder.boot != Some(boot) {
            return None;
        }
        holder.grants.retain(|grant| grant.deadline > now);
        let revision = revision.max(holder.confirmed_revision);
        let is_same_lease = |grant: &&mut Grant| grant.boot == boot && grant.revision == revision;
        match holder.grants.iter_mut().find(is_same_lease) {
            Some(grant) => grant.deadline = grant.deadline.max(deadline),
            None => holder.grants.push(Grant {
                boot,
                revision,
                deadline,
            }),
        }
        Some((self.ttl, deadline))
    }

    /// Removes the leases of a process that announced that it stops.
    pub fn remove_leases(&mut self, instance: &str, boot: u64) {
        if let Some(holder) = self.holders.get_mut(instance) {
            holder.grants.retain(|grant| grant.boot != boot);
        }
    }

    /// Whether no instance can still acknowledge writes under a catalog older than `revision`: each
    /// has confirmed `revision`, or its leases have ended.
    #[must_use]
    pub fn is_fenced(&self, now: Instant, revision: Revision) -> bool {
        self.unfenced_instances(now, revision).next().is_none()
    }

    /// Instances that [`Table::is_fenced`] waits for.
    pub fn unfenced_instances(
        &self,
        now: Instant,
        revision: Revision,
    ) -> impl Iterator<Item = &Name> {
        let is_unfenced = move |holder: &Holder| {
            let may_have_unknown_lease = !holder.settled && now < self.grace_deadline;
            let is_older = |grant: &Grant| grant.revision < revision && grant.deadline > now;
            may_have_unknown_lease || holder.grants.iter().any(is_older)
        };
        let unfenced = self
            .holders
            .iter()
            .filter(move |(_, holder)| is_unfenced(holder));
        unfenced.map(|(name, _)| name)
    }

    /// Enrolled instances with a valid lease; only these count as live watchers.
    pub fn live_instances(&self, now: Instant) -> impl Iterator<Item = &Name> {
        let is_live = move |holder: &Holder| {
            let is_current =
                |grant: &Grant| Some(grant.boot) == holder.boot && grant.deadline > now;
            holder.grants.iter().any(is_current)
        };
        let holders = self
            .holders
            .iter()
            .filter(move |(_, holder)| is_live(holder));
        holders.map(|(name, _)| name)
    }
}

impl Holder {
    /// Sets the current boot. Leases of earlier ones stay until their deadline.
    fn set_boot(&mut self, boot: u64) {
        if self.boot == Some(boot) {
            return;
        }
        if let Some(previous) = self.boot.replace(boot) {
            if self.past_boots.len() == MAX_PAST_BOOTS {
                self.past_boots.pop_front();
            }
            self.past_boots.push_back(previous);
        }
        self.confirmed_revision = Revision::default();
    }

    fn confirm_revision(&mut self, boot: u64, revision: Revision) {
        self.confirmed_revision = self.confirmed_revision.max(revision);
        for grant in self.grants.iter_mut().filter(|grant| grant.boot == boot) {
            grant.revision = grant.revision.max(self.confirmed_revision);
        }
    }
}

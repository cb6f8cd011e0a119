//! Leases as the control leader counts them.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use types::{Name, Revision};

/// Earlier boots of an entry that are remembered, so that a process that wakes after it was
/// replaced gets no lease. An entry rarely restarts more often within one leader's time.
const MAX_PAST: usize = 16;

/// What an entry says in a renewal.
#[derive(Clone, Copy, Debug)]
pub struct Renewal<'a> {
    /// The entry.
    pub instance: &'a Name,
    /// Number of its start.
    pub boot: u64,
    /// Time since its start by its own clock; zero if unknown.
    pub age: Duration,
    /// Catalog revision that it acts under: it passes on no answer any more under an earlier one.
    pub revision: Revision,
}

/// A lease that may still be in use.
#[derive(Clone, Copy, Debug)]
struct Grant {
    boot: u64,
    /// The holder acts under this revision or a later one.
    revision: Revision,
    /// Time by the leader's clock after which the holder's clock has ended the lease.
    deadline: Instant,
}

#[derive(Debug, Default)]
struct Holder {
    boot: Option<u64>,
    past: VecDeque<u64>,
    confirmed: Revision,
    /// No lease of an earlier leader exists besides those in `grants`.
    settled: bool,
    /// Gets no further lease.
    closed: bool,
    grants: Vec<Grant>,
}

/// Leases granted, and those that an earlier leader may have granted.
#[derive(Debug)]
pub struct Table {
    ttl: Duration,
    span: Duration,
    /// Age by which an entry's own start has outlived all leases of an earlier one.
    settled_age: Duration,
    grace: Instant,
    holders: BTreeMap<Name, Holder>,
}

/// `ttl` × (1 + `drift_ppm`): how long a lease of `ttl` on another clock lasts on this one.
#[must_use]
pub fn span(ttl: Duration, drift_ppm: u32) -> Duration {
    let extra = ttl.as_nanos() * u128::from(drift_ppm);
    // Rounded up: a deadline that is too early would end a lease that still holds.
    let extra = u64::try_from(extra.div_ceil(1_000_000)).unwrap_or(u64::MAX);
    ttl + Duration::from_nanos(extra)
}

impl Table {
    /// A table for a leader elected at `now`. Leases that an earlier leader may have granted to any
    /// of `enrolled` are unknown until the grace deadline. `ttl` and `drift_ppm` are the greatest
    /// that an earlier leader may have used; [`Table::set_ttl`] sets the present ones.
    pub fn new<'a>(
        now: Instant,
        ttl: Duration,
        drift_ppm: u32,
        enrolled: impl IntoIterator<Item = &'a Name>,
    ) -> Self {
        let span = span(ttl, drift_ppm);
        let holder = |name: &Name| (name.clone(), Holder::default());
        Self {
            ttl,
            span,
            settled_age: self::span(span, drift_ppm),
            grace: now + span,
            holders: enrolled.into_iter().map(holder).collect(),
        }
    }

    /// Length of the leases granted from now on.
    pub fn set_ttl(&mut self, ttl: Duration, drift_ppm: u32) {
        self.ttl = ttl;
        self.span = span(ttl, drift_ppm);
    }

    /// When leases of earlier leaders have ended.
    #[must_use]
    pub const fn grace(&self) -> Instant {
        self.grace
    }

    /// Adds an entry that was enrolled after this leader's election; it never had a lease, provided
    /// that a dismissal waits until [`Table::is_free`].
    pub fn enroll(&mut self, instance: &Name) {
        let holder = self.holders.entry(instance.clone());
        holder.or_insert_with(|| Holder {
            settled: true,
            ..Holder::default()
        });
    }

    /// Grants no further lease to an entry that is to be dismissed.
    pub fn close(&mut self, instance: &Name) {
        if let Some(holder) = self.holders.get_mut(instance) {
            holder.closed = true;
        }
    }

    /// Whether no lease of the entry can be in use. A dismissal is proposed only then: the next
    /// leader would not count the lease of an entry that is no longer enrolled.
    #[must_use]
    pub fn is_free(&self, now: Instant, instance: &str) -> bool {
        let free = |h: &Holder| {
            let unknown = !h.settled && now < self.grace;
            !unknown && h.grants.iter().all(|grant| grant.deadline <= now)
        };
        self.holders.get(instance).is_none_or(free)
    }

    /// Removes an entry that was dismissed.
    pub fn dismiss(&mut self, instance: &str) {
        self.holders.remove(instance);
    }

    /// Takes in a renewal. False if the entry is unknown or a later start has replaced it.
    pub fn renew(&mut self, now: Instant, renewal: &Renewal<'_>) -> bool {
        let (grace, age) = (self.grace, self.settled_age);
        let Some(holder) = self.holders.get_mut(renewal.instance) else {
            return false;
        };
        if holder.past.contains(&renewal.boot) {
            return false;
        }
        holder.start(renewal.boot);
        holder.confirm(renewal.boot, renewal.revision);
        // A process younger than a lease may have replaced one whose lease from the earlier leader
        // is still valid.
        if !holder.settled && renewal.age >= age {
            holder.settled = true;
            holder.grants.push(Grant {
                boot: renewal.boot,
                revision: holder.confirmed,
                deadline: grace,
            });
        }
        holder.grants.retain(|grant| grant.deadline > now);
        true
    }

    /// Counts a lease that carries all changes up to `revision` and returns its length and the
    /// leader's deadline. None if the entry may not have one.
    pub fn grant(
        &mut self,
        now: Instant,
        instance: &str,
        boot: u64,
        revision: Revision,
    ) -> Option<(Duration, Instant)> {
        let deadline = now + self.span;
        let holder = self.holders.get_mut(instance)?;
        if holder.closed || holder.boot != Some(boot) {
            return None;
        }
        holder.grants.retain(|grant| grant.deadline > now);
        let revision = revision.max(holder.confirmed);
        let same = |grant: &&mut Grant| grant.boot == boot && grant.revision == revision;
        match holder.grants.iter_mut().find(same) {
            Some(grant) => grant.deadline = grant.deadline.max(deadline),
            None => holder.grants.push(Grant {
                boot,
                revision,
                deadline,
            }),
        }
        Some((self.ttl, deadline))
    }

    /// Forgets the leases of a start that has ended: the entry said so as it stopped.
    pub fn end(&mut self, instance: &str, boot: u64) {
        if let Some(holder) = self.holders.get_mut(instance) {
            holder.grants.retain(|grant| grant.boot != boot);
        }
    }

    /// Whether every lease that could still acknowledge under a catalog older than `revision` has
    /// ended, or its entry has confirmed `revision`.
    #[must_use]
    pub fn fenced_by(&self, now: Instant, revision: Revision) -> bool {
        self.waiting(now, revision).next().is_none()
    }

    /// Entries that [`Table::fenced_by`] waits for.
    pub fn waiting(&self, now: Instant, revision: Revision) -> impl Iterator<Item = &Name> {
        let unfenced = move |holder: &Holder| {
            let unknown = !holder.settled && now < self.grace;
            let older = |grant: &Grant| grant.revision < revision && grant.deadline > now;
            unknown || holder.grants.iter().any(older)
        };
        let waiting = self.holders.iter().filter(move |(_, h)| unfenced(h));
        waiting.map(|(name, _)| name)
    }

    /// Enrolled entries with a valid lease; only these count as live watchers.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Name> {
        let live = move |h: &Holder| {
            let current = |g: &Grant| Some(g.boot) == h.boot && g.deadline > now;
            h.grants.iter().any(current)
        };
        let holders = self.holders.iter().filter(move |(_, h)| live(h));
        holders.map(|(name, _)| name)
    }
}

impl Holder {
    /// Notes the present start. Leases of an earlier one stay until their deadline.
    fn start(&mut self, boot: u64) {
        if self.boot == Some(boot) {
            return;
        }
        if let Some(last) = self.boot.replace(boot) {
            if self.past.len() == MAX_PAST {
                self.past.pop_front();
            }
            self.past.push_back(last);
        }
        self.confirmed = Revision::default();
    }

    fn confirm(&mut self, boot: u64, revision: Revision) {
        self.confirmed = self.confirmed.max(revision);
        for grant in self.grants.iter_mut().filter(|grant| grant.boot == boot) {
            grant.revision = grant.revision.max(self.confirmed);
        }
    }
}

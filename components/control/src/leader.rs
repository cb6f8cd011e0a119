//! What only the leader holds: leases, quotas, health and changes of primary. All of it is in
//! memory and begins anew with each leader.

mod update;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use catalog::{Catalog, Phase};
use failover::{Action, FailoverMachine, Signals, Verdict, WatcherReports};
use lease::grant::{LeaseTable, Renewal};
use lease::quota::{LeaseGrant, Quota, QuotaAllocator};
use types::target::Announcement;
use types::{Name, Point, Revision};

/// Interval of the steps of a database that is changing its primary.
const ACTIVE: Duration = Duration::from_millis(20);
/// How long an announced `leaving` counts after the last renewal that had it; several renewals.
const LEAVING: Duration = Duration::from_secs(2);
/// Interval of the steps of every database.
const STEADY: Duration = Duration::from_millis(250);

/// A renewal with checked contents.
#[derive(Debug)]
pub struct Renewed {
    /// Number of the renewal.
    pub seq: u64,
    /// Time since the entry's start.
    pub age: Duration,
    /// Catalog revision that it has applied.
    pub revision: Revision,
    /// Latest grant whose quotas it keeps to.
    pub confirmed: u64,
    /// Connections that it wants.
    pub demand: Vec<(Name, u32)>,
    /// Slots for long work that it wants.
    pub long: Vec<(Name, u32)>,
    /// Targets that it watches.
    pub health: Vec<Report>,
}

/// What a watcher says of a target.
#[derive(Clone, Debug)]
pub struct Report {
    /// The target.
    pub target: Name,
    /// Position of its last answer.
    pub point: Point,
    /// Time since that answer.
    pub silent: Duration,
}

/// Latest answer that any watcher had of a target.
#[derive(Clone, Copy, Debug)]
pub struct Observed {
    /// Its position.
    pub point: Point,
    /// When it answered, by the leader's clock.
    pub answered: Instant,
}

/// An entry that got a lease of this leader.
#[derive(Clone, Copy, Debug)]
pub struct Holder {
    boot: u64,
    /// Revision that it has confirmed.
    pub revision: Revision,
    /// End of its lease by the leader's clock.
    pub deadline: Instant,
}

/// What a renewal is answered with.
#[derive(Debug)]
pub struct Granted {
    /// Length of the lease.
    pub ttl: Duration,
    /// Quotas other than the floors.
    pub quotas: Vec<Quota>,
    /// Slots for long work.
    pub long: Vec<Quota>,
}

/// State of a leader.
#[derive(Debug)]
pub struct Lead {
    grants: LeaseTable,
    split: QuotaAllocator,
    /// Slots for long work of the targets that have had any since this leader's election.
    long: QuotaAllocator,
    watches: BTreeMap<Name, WatcherReports>,
    /// Latest positions, for operators.
    observed: BTreeMap<Name, Observed>,
    /// Entries with a lease of this leader, for operators and for answers to their changes.
    holders: BTreeMap<Name, Holder>,
    machines: BTreeMap<Name, FailoverMachine>,
    /// Databases with a change under way.
    active: BTreeSet<Name>,
    active_at: Instant,
    steady_at: Instant,
    /// Announcements proposed and not applied yet, so that each is proposed once.
    proposed: BTreeMap<Name, Announcement>,
    /// Until when a target counts as announced to be leaving.
    leaving: BTreeMap<Name, Instant>,
    /// Entries whose enrolment is proposed.
    enrolling: BTreeSet<Name>,
}

impl Lead {
    /// State of a leader whose catalog holds every command that was committed before its epoch.
    #[must_use]
    pub fn new(now: Instant, catalog: &Catalog) -> Self {
        let root = catalog::Path::root(catalog.organisation());
        let greatest = |key| catalog.tree().greatest_value(&root, key);
        // An earlier leader may have granted leases under settings that were changed since.
        let ttl = Duration::from_millis(greatest(catalog::Key::LeaseTtlMs).into());
        let drift = greatest(catalog::Key::LeaseDriftPpm);
        let enrolled: Vec<&Name> = catalog.entries().map(|(name, _)| name).collect();
        let grants = LeaseTable::new(now, ttl, drift, enrolled.iter().copied());
        let split = QuotaAllocator::new(grants.grace_deadline(), enrolled.iter().copied());
        // Slots are no promise: nothing has to be known of what earlier leaders granted.
        let long = QuotaAllocator::new(now, enrolled.iter().copied());
        let mut lead = Self {
            grants,
            split,
            long,
            watches: BTreeMap::new(),
            observed: BTreeMap::new(),
            holders: BTreeMap::new(),
            machines: BTreeMap::new(),
            active: BTreeSet::new(),
            active_at: now,
            steady_at: now,
            proposed: BTreeMap::new(),
            leaving: BTreeMap::new(),
            enrolling: BTreeSet::new(),
        };
        lead.on_catalog(catalog);
        lead
    }

    /// Leases.
    #[must_use]
    pub fn grants(&self) -> &LeaseTable {
        &self.grants
    }

    /// A start of an entry has ended: it said so as it stopped.
    pub fn end(&mut self, instance: &str, boot: u64) {
        self.grants.remove_leases(instance, boot);
        if self.holder(instance).is_some_and(|h| h.boot == boot) {
            self.holders.remove(instance);
        }
    }

    /// An entry that got a lease of this leader, which may have ended since.
    #[must_use]
    pub fn holder(&self, instance: &str) -> Option<&Holder> {
        self.holders.get(instance)
    }

    /// Latest answer of a target.
    #[must_use]
    pub fn observed(&self, target: &str) -> Option<&Observed> {
        self.observed.get(target)
    }

    /// Whether an entry has a lease and has confirmed `revision`.
    #[must_use]
    pub fn has(&self, now: Instant, instance: &str, revision: Revision) -> bool {
        self.holder(instance)
            .is_some_and(|h| h.deadline > now && h.revision >= revision)
    }

    /// Whether any entry with a lease has yet to confirm `revision`.
    #[must_use]
    pub fn is_awaited(&self, now: Instant, revision: Revision) -> bool {
        let mut holders = self.holders.values();
        holders.any(|h| h.deadline > now && h.revision < revision)
    }

    /// Whether the enrolment of an entry has to be proposed now.
    pub fn should_enroll(&mut self, instance: &Name, catalog: &Catalog) -> bool {
        !catalog.is_enrolled(instance.as_str()) && self.enrolling.insert(instance.clone())
    }

    /// Whether an announcement has to be proposed now.
    ///
    /// An owner may say `leaving` to some entries only, or the target and its owner may contradict
    /// each other. `leaving` wins while any entry hears it; otherwise the catalog would change with
    /// each renewal.
    pub fn should_propose(
        &mut self,
        now: Instant,
        announcement: &Announcement,
        catalog: &Catalog,
    ) -> bool {
        let target = &announcement.target;
        if announcement.leaving {
            self.leaving.insert(target.clone(), now + LEAVING);
        } else if self.leaving.get(target).is_some_and(|until| now < *until) {
            return false;
        }
        let proposed = self.proposed.get(target) == Some(announcement);
        if proposed || !catalog.would_change(announcement) {
            return false;
        }
        self.proposed.insert(target.clone(), announcement.clone());
        true
    }

    /// A proposal was lost; it may be made again.
    pub fn forget_proposals(&mut self) {
        self.proposed.clear();
        self.enrolling.clear();
    }

    /// Takes in a renewal and grants a lease, unless the entry may have none.
    pub fn renew(
        &mut self,
        now: Instant,
        instance: &Name,
        boot: u64,
        renewed: &Renewed,
        catalog: &Catalog,
    ) -> Option<Granted> {
        let renewal = Renewal {
            instance,
            boot,
            age: renewed.age,
            revision: renewed.revision,
        };
        if !self.grants.renew(now, &renewal) {
            return None;
        }
        for report in &renewed.health {
            if catalog.target(report.target.as_str()).is_some() {
                self.observe(now, instance, report);
                self.wake(&report.target, report.silent, catalog);
            }
        }
        self.split
            .on_renewal(instance, boot, renewed.confirmed, &renewed.demand);
        self.set_long_slots(&renewed.long, catalog);
        self.long
            .on_renewal(instance, boot, renewed.confirmed, &renewed.long);
        let (ttl, deadline) =
            self.grants
                .grant(now, instance.as_str(), boot, catalog.revision())?;
        let holder = Holder {
            boot,
            revision: renewed.revision,
            deadline,
        };
        match self.holders.get_mut(instance) {
            Some(known) => *known = holder,
            None => {
                self.holders.insert(instance.clone(), holder);
            }
        }
        let mut quotas = Vec::new();
        let answer = LeaseGrant {
            instance,
            boot,
            seq: renewed.seq,
            deadline,
        };
        self.split.grant(now, &answer, &mut quotas);
        let mut long = Vec::new();
        self.long.grant(now, &answer, &mut long);
        Some(Granted { ttl, quotas, long })
    }

    /// Long work of all entries together leaves one slot of a target to short work.
    fn set_long_slots(&mut self, wanted: &[(Name, u32)], catalog: &Catalog) {
        for (name, _) in wanted {
            if let Some(target) = catalog.target(name.as_str()) {
                let most = target.slots().saturating_sub(1).max(1);
                let limit = target.values().slots_long_max.clamp(1, most);
                self.long.set_limits(name, limit, 0);
            }
        }
    }

    fn observe(&mut self, now: Instant, watcher: &Name, report: &Report) {
        let watch = self.watches.entry(report.target.clone()).or_default();
        watch.on_report(now, watcher, report.silent);
        let Some(answered) = now.checked_sub(report.silent) else {
            return;
        };
        let observed = Observed {
            point: report.point,
            answered,
        };
        match self.observed.get_mut(&report.target) {
            Some(known) if answered >= known.answered => *known = observed,
            Some(_) => {}
            None => {
                self.observed.insert(report.target.clone(), observed);
            }
        }
    }

    /// Looks at a database at once if its primary is silent, and at those that wait for entries.
    fn wake(&mut self, target: &Name, silent: Duration, catalog: &Catalog) {
        let Some(target) = catalog.target(target.as_str()) else {
            return;
        };
        let detect = Duration::from_millis(target.values().health_detect_ms.into());
        if silent > detect {
            self.active.insert(target.announcement().database.clone());
        }
    }

    /// When a step is due next.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        if self.active.is_empty() {
            self.steady_at
        } else {
            self.steady_at.min(self.active_at)
        }
    }

    /// Steps the databases that are due, or all with a change under way if `now_active`.
    pub fn on_tick(
        &mut self,
        now: Instant,
        now_active: bool,
        catalog: &Catalog,
        out: &mut Vec<(Name, Action)>,
    ) {
        if now >= self.steady_at {
            self.steady_at = now + STEADY;
            self.active.extend(self.machines.keys().cloned());
        }
        if !now_active && now < self.active_at {
            return;
        }
        self.active_at = now + ACTIVE;
        for name in std::mem::take(&mut self.active) {
            if self.step(now, &name, catalog, out) {
                self.active.insert(name);
            }
        }
    }

    /// Steps one database. True if a change is under way.
    fn step(
        &mut self,
        now: Instant,
        name: &Name,
        catalog: &Catalog,
        out: &mut Vec<(Name, Action)>,
    ) -> bool {
        let Some(database) = catalog.database(name.as_str()) else {
            return false;
        };
        let signals = Signals {
            verdict: self.verdict(now, database.primary(), catalog),
            fenced: self.grants.is_fenced(now, database.phase_since()),
        };
        let Some(machine) = self.machines.get_mut(name) else {
            return false;
        };
        let mut actions = Vec::new();
        machine.step(now, catalog, &signals, &mut actions);
        out.extend(actions.into_iter().map(|action| (name.clone(), action)));
        let changing = *database.phase() != Phase::Steady || database.primary().is_none();
        changing || matches!(signals.verdict, Verdict::Failed { .. }) || !signals.fenced
    }

    fn verdict(&self, now: Instant, primary: Option<&Name>, catalog: &Catalog) -> Verdict {
        let Some((primary, watch)) = primary.and_then(|name| Some((name, self.watches.get(name)?)))
        else {
            return Verdict::Unknown;
        };
        let detect = catalog
            .target(primary.as_str())
            .map_or(0, |t| t.values().health_detect_ms);
        watch.verdict(
            now,
            self.grants.live_instances(now),
            Duration::from_millis(detect.into()),
        )
    }

    /// The machine of a database.
    pub fn machine(&mut self, database: &Name) -> Option<&mut FailoverMachine> {
        self.active.insert(database.clone());
        self.machines.get_mut(database)
    }
}

//! State that only the leader holds: leases, quotas, health reports and failover machines. It is
//! kept in memory only; each new leader starts from the catalog.

mod update;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use catalog::{Catalog, Phase};
use failover::{Action, Health, Machine, Signals, Verdict};
use lease::grant::{Renewal as LeaseRenewal, Table};
use lease::quota::{Allocator, Grant, Quota};
use types::target::Announcement;
use types::{Name, Point, Revision};

/// Interval between failover steps of a database that is changing its primary.
const ACTIVE_STEP_INTERVAL: Duration = Duration::from_millis(20);
/// How long an announced `leaving` holds after the last renewal that carried it. Spans several
/// renewals.
const LEAVING_HOLD_TIME: Duration = Duration::from_secs(2);
/// Interval between failover steps of every database.
const STEP_INTERVAL: Duration = Duration::from_millis(250);

/// An entry's renewal of its lease, validated.
#[derive(Debug)]
pub struct Renewal {
    /// Sequence number, repeated in the answer.
    pub seq: u64,
    /// Time since the entry's start.
    pub age: Duration,
    /// Catalog revision that the entry has applied.
    pub revision: Revision,
    /// Sequence number of the earliest grant whose quotas the entry still uses.
    pub confirmed: u64,
    /// Requested connections by target.
    pub demand: Vec<(Name, u32)>,
    /// Requested slots for long statements by target.
    pub long_slots: Vec<(Name, u32)>,
    /// Health reports of the targets that the entry probes.
    pub health: Vec<Report>,
}

/// Health report of a target by an entry that probes it: a watcher of the target.
#[derive(Clone, Debug)]
pub struct Report {
    pub target: Name,
    /// Position in the target's last answer.
    pub point: Point,
    /// Time since that answer.
    pub silence: Duration,
}

/// Latest answer of a target to any watcher.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    pub point: Point,
    /// Time of the answer by the leader's clock.
    pub answered_at: Instant,
}

/// Latest lease that this leader granted to an entry. It may have expired.
#[derive(Clone, Copy, Debug)]
pub struct Holder {
    boot: u64,
    /// Catalog revision that the entry has confirmed.
    pub revision: Revision,
    /// When it first confirmed this revision to this leader.
    pub confirmed_at: Instant,
    /// End of the lease by the leader's clock.
    pub deadline: Instant,
}

/// Answer to a renewal.
#[derive(Debug)]
pub struct Lease {
    pub ttl: Duration,
    /// Connection quotas that differ from the floors.
    pub quotas: Vec<Quota>,
    /// Quotas of slots for long statements.
    pub long_slots: Vec<Quota>,
}

/// State of a leader.
#[derive(Debug)]
pub struct Leader {
    leases: Table,
    connection_quotas: Allocator,
    /// Covers only targets for which long slots were requested since this leader's election.
    long_slot_quotas: Allocator,
    watcher_reports: BTreeMap<Name, Health>,
    /// Latest answers of targets, shown to operators.
    observations: BTreeMap<Name, Observation>,
    /// Shown to operators, and used to wait for confirmations of their changes.
    holders: BTreeMap<Name, Holder>,
    machines: BTreeMap<Name, Machine>,
    /// Databases to step at the shorter interval: those that are changing their primary, and those
    /// with news since the last step.
    active: BTreeSet<Name>,
    next_active_step: Instant,
    next_step: Instant,
    /// Announcements that are proposed but not applied yet; prevents duplicate proposals.
    proposed_announcements: BTreeMap<Name, Announcement>,
    /// End of the time for which a target's announced `leaving` holds.
    leaving_until: BTreeMap<Name, Instant>,
    /// Entries whose enrollment is proposed but not applied yet.
    proposed_enrollments: BTreeSet<Name>,
}

impl Leader {
    /// Creates the state of a new leader. `catalog` must hold every command that was committed
    /// before the leader's epoch.
    #[must_use]
    pub fn new(now: Instant, catalog: &Catalog) -> Self {
        let root = catalog::Path::root(catalog.organisation());
        let greatest = |key| catalog.tree().greatest_value(&root, key);
        // An earlier leader may have granted leases under settings that were changed since.
        let ttl = Duration::from_millis(greatest(catalog::Key::LeaseTtlMs).into());
        let drift = greatest(catalog::Key::LeaseDriftPpm);
        let enrolled: Vec<&Name> = catalog.entries().map(|(name, _)| name).collect();
        let leases = Table::new(now, ttl, drift, enrolled.iter().copied());
        let connection_quotas = Allocator::new(leases.grace_deadline(), enrolled.iter().copied());
        // Long slots need no grace period: exceeding them for a while, as under an earlier leader's
        // grants, breaks no guarantee.
        let long_slot_quotas = Allocator::new(now, enrolled.iter().copied());
        let mut leader = Self {
            leases,
            connection_quotas,
            long_slot_quotas,
            watcher_reports: BTreeMap::new(),
            observations: BTreeMap::new(),
            holders: BTreeMap::new(),
            machines: BTreeMap::new(),
            active: BTreeSet::new(),
            next_active_step: now,
            next_step: now,
            proposed_announcements: BTreeMap::new(),
            leaving_until: BTreeMap::new(),
            proposed_enrollments: BTreeSet::new(),
        };
        leader.on_catalog(catalog);
        leader
    }

    #[must_use]
    pub fn leases(&self) -> &Table {
        &self.leases
    }

    /// Removes the leases of one run of an entry, which announced that it stops.
    pub fn on_leave(&mut self, instance: &str, boot: u64) {
        self.leases.remove_leases(instance, boot);
        if self.holder(instance).is_some_and(|h| h.boot == boot) {
            self.holders.remove(instance);
        }
    }

    /// Latest lease that this leader granted to an entry; it may have expired.
    #[must_use]
    pub fn holder(&self, instance: &str) -> Option<&Holder> {
        self.holders.get(instance)
    }

    /// Latest answer of a target to any watcher.
    #[must_use]
    pub fn observation(&self, target: &str) -> Option<&Observation> {
        self.observations.get(target)
    }

    /// When an entry with a valid lease last confirmed a newer revision of the catalog.
    #[must_use]
    pub fn last_confirmation(&self, now: Instant) -> Option<Instant> {
        let valid = self.holders.values().filter(|holder| holder.deadline > now);
        valid.map(|holder| holder.confirmed_at).max()
    }

    /// Whether an entry holds a valid lease and has confirmed `revision`.
    #[must_use]
    pub fn has_confirmed(&self, now: Instant, instance: &str, revision: Revision) -> bool {
        self.holder(instance)
            .is_some_and(|h| h.deadline > now && h.revision >= revision)
    }

    /// Whether any entry with a valid lease has not confirmed `revision` yet.
    #[must_use]
    pub fn awaits_confirmation(&self, now: Instant, revision: Revision) -> bool {
        let mut holders = self.holders.values();
        holders.any(|h| h.deadline > now && h.revision < revision)
    }

    /// Whether the enrollment of an entry has to be proposed; notes the proposal if so.
    pub fn should_propose_enrollment(&mut self, instance: &Name, catalog: &Catalog) -> bool {
        !catalog.is_enrolled(instance.as_str())
            && self.proposed_enrollments.insert(instance.clone())
    }

    /// Whether an announcement has to be proposed; notes the proposal if so.
    ///
    /// An owner may announce `leaving` to some entries only, or the target and its owner may
    /// contradict each other. `leaving` wins while any entry receives it; otherwise the catalog
    /// would change with each renewal.
    pub fn should_propose_announcement(
        &mut self,
        now: Instant,
        announcement: &Announcement,
        catalog: &Catalog,
    ) -> bool {
        let target = &announcement.target;
        if announcement.leaving {
            self.leaving_until
                .insert(target.clone(), now + LEAVING_HOLD_TIME);
        } else if self
            .leaving_until
            .get(target)
            .is_some_and(|until| now < *until)
        {
            return false;
        }
        let proposed = self.proposed_announcements.get(target) == Some(announcement);
        if proposed || !catalog.would_change(announcement) {
            return false;
        }
        self.proposed_announcements
            .insert(target.clone(), announcement.clone());
        true
    }

    /// Allows all proposals to be made again after one was lost.
    pub fn forget_proposals(&mut self) {
        self.proposed_announcements.clear();
        self.proposed_enrollments.clear();
    }

    /// Processes a renewal and grants a lease. Returns `None` if the entry may not hold one.
    pub fn renew(
        &mut self,
        now: Instant,
        instance: &Name,
        boot: u64,
        renewal: &Renewal,
        catalog: &Catalog,
    ) -> Option<Lease> {
        let lease_renewal = LeaseRenewal {
            instance,
            boot,
            age: renewal.age,
            revision: renewal.revision,
        };
        if !self.leases.renew(now, &lease_renewal) {
            return None;
        }
        for report in &renewal.health {
            if catalog.target(report.target.as_str()).is_some() {
                self.on_report(now, instance, report);
                self.step_soon_if_silent(&report.target, report.silence, catalog);
            }
        }
        self.connection_quotas
            .on_renewal(instance, boot, renewal.confirmed, &renewal.demand);
        self.set_long_slot_limits(&renewal.long_slots, catalog);
        self.long_slot_quotas
            .on_renewal(instance, boot, renewal.confirmed, &renewal.long_slots);
        let (ttl, deadline) =
            self.leases
                .grant(now, instance.as_str(), boot, catalog.revision())?;
        let known = self.holders.get(instance);
        let known = known.filter(|known| known.boot == boot && known.revision == renewal.revision);
        let holder = Holder {
            boot,
            revision: renewal.revision,
            confirmed_at: known.map_or(now, |known| known.confirmed_at),
            deadline,
        };
        match self.holders.get_mut(instance) {
            Some(known) => *known = holder,
            None => {
                self.holders.insert(instance.clone(), holder);
            }
        }
        let mut quotas = Vec::new();
        let lease_grant = Grant {
            instance,
            boot,
            seq: renewal.seq,
            deadline,
        };
        self.connection_quotas.grant(now, &lease_grant, &mut quotas);
        let mut long_slots = Vec::new();
        self.long_slot_quotas
            .grant(now, &lease_grant, &mut long_slots);
        Some(Lease {
            ttl,
            quotas,
            long_slots,
        })
    }

    /// Limits the long slots of the requested targets. Long statements of all entries together
    /// leave at least one slot of a target to short ones, if it has more than one.
    fn set_long_slot_limits(&mut self, wanted: &[(Name, u32)], catalog: &Catalog) {
        for (name, _) in wanted {
            if let Some(target) = catalog.target(name.as_str()) {
                let most = target.slots().saturating_sub(1).max(1);
                let limit = target.values().slots_long_max.clamp(1, most);
                self.long_slot_quotas.set_limits(name, limit, 0);
            }
        }
    }

    fn on_report(&mut self, now: Instant, watcher: &Name, report: &Report) {
        let reports = self
            .watcher_reports
            .entry(report.target.clone())
            .or_default();
        reports.on_report(now, watcher, report.silence);
        let Some(answered_at) = now.checked_sub(report.silence) else {
            return;
        };
        let observation = Observation {
            point: report.point,
            answered_at,
        };
        match self.observations.get_mut(&report.target) {
            Some(known) if answered_at >= known.answered_at => *known = observation,
            Some(_) => {}
            None => {
                self.observations.insert(report.target.clone(), observation);
            }
        }
    }

    /// Makes the database of a target active if the target has been silent for longer than its
    /// `health.detect_ms`.
    fn step_soon_if_silent(&mut self, target: &Name, silence: Duration, catalog: &Catalog) {
        let Some(target) = catalog.target(target.as_str()) else {
            return;
        };
        let silence_limit = Duration::from_millis(target.values().health_detect_ms.into());
        if silence > silence_limit {
            self.active.insert(target.announcement().database.clone());
        }
    }

    /// When [`Self::on_tick`] is due next.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        if self.active.is_empty() {
            self.next_step
        } else {
            self.next_step.min(self.next_active_step)
        }
    }

    /// Steps the failover machines that are due. `step_active` also steps the active databases
    /// before their interval has passed.
    pub fn on_tick(
        &mut self,
        now: Instant,
        step_active: bool,
        catalog: &Catalog,
        out: &mut Vec<(Name, Action)>,
    ) {
        if now >= self.next_step {
            self.next_step = now + STEP_INTERVAL;
            self.active.extend(self.machines.keys().cloned());
        }
        if !step_active && now < self.next_active_step {
            return;
        }
        self.next_active_step = now + ACTIVE_STEP_INTERVAL;
        for name in std::mem::take(&mut self.active) {
            if self.step(now, &name, catalog, out) {
                self.active.insert(name);
            }
        }
    }

    /// Steps the failover machine of one database. Returns whether the database stays active.
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
            fenced: self.leases.is_fenced(now, database.phase_since()),
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
        let Some((primary, reports)) =
            primary.and_then(|name| Some((name, self.watcher_reports.get(name)?)))
        else {
            return Verdict::Unknown;
        };
        let silence_limit_ms = catalog
            .target(primary.as_str())
            .map_or(0, |t| t.values().health_detect_ms);
        reports.verdict(
            now,
            self.leases.live_instances(now),
            Duration::from_millis(silence_limit_ms.into()),
        )
    }

    /// The failover machine of a database, which becomes active.
    pub fn machine(&mut self, database: &Name) -> Option<&mut Machine> {
        self.active.insert(database.clone());
        self.machines.get_mut(database)
    }
}

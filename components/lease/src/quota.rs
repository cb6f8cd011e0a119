//! Distribution of each target's connections among the instances.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use types::Name;

/// Number of connections that an instance may keep open to a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Quota {
    pub target: Name,
    /// Applies while the lease of this grant is valid; afterwards the floor does.
    pub connections: u32,
}

/// The lease grant that the quotas are sent with.
#[derive(Clone, Copy, Debug)]
pub struct Grant<'a> {
    pub instance: &'a Name,
    /// Number that identifies this run of the instance's process.
    pub boot: u64,
    /// Number of the renewal that is answered.
    pub seq: u64,
    /// Deadline of the lease on the leader's clock.
    pub deadline: Instant,
}

/// Connections that an instance may be using under one grant.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    boot: u64,
    seq: u64,
    amount: u32,
    deadline: Instant,
}

/// Demand of one instance on one target, and what it was granted.
#[derive(Debug, Default)]
struct Share {
    demand: u32,
    grants: Vec<Reservation>,
}

/// Connections of one target.
#[derive(Debug, Default)]
struct Pool {
    /// Greatest number of connections of all instances.
    limit: u32,
    /// Connections that each instance may always open.
    floor: u32,
    shares: BTreeMap<Name, Share>,
}

#[derive(Debug, Default)]
struct Enrollment {
    /// Whether the instance was enrolled after this leader's election and has not yet been granted
    /// the floor of every target.
    awaits_floor: bool,
    /// Targets of which the instance may have or want more than the floor; others may be included.
    targets: BTreeSet<Name>,
}

/// Distributes the connection limit of each target.
///
/// Each enrolled instance has the floor of each target permanently. What an instance was granted
/// stays reserved until it has confirmed a later grant or the lease has ended, so that all
/// instances together never exceed the limit, whichever messages are lost.
#[derive(Debug)]
pub struct Allocator {
    grace_deadline: Instant,
    instances: BTreeMap<Name, Enrollment>,
    pools: BTreeMap<Name, Pool>,
}

impl Allocator {
    /// Creates the allocator of a new leader. Until `grace_deadline` it grants floors only, since
    /// the grants of earlier leaders are unknown.
    pub fn new<'a>(grace_deadline: Instant, enrolled: impl IntoIterator<Item = &'a Name>) -> Self {
        let enrollment = |name: &Name| (name.clone(), Enrollment::default());
        Self {
            grace_deadline,
            instances: enrolled.into_iter().map(enrollment).collect(),
            pools: BTreeMap::new(),
        }
    }

    /// Adds an instance that was enrolled after this leader's election.
    pub fn enroll(&mut self, instance: &Name) {
        let enrollment = self.instances.entry(instance.clone());
        enrollment.or_insert_with(|| Enrollment {
            awaits_floor: true,
            targets: BTreeSet::new(),
        });
    }

    /// Removes a dismissed instance; its process is gone or its leases have ended.
    pub fn dismiss(&mut self, instance: &str) {
        self.instances.remove(instance);
        for pool in self.pools.values_mut() {
            pool.shares.remove(instance);
        }
    }

    /// Sets the connection limit and the floor of a target.
    pub fn set_limits(&mut self, target: &Name, limit: u32, floor: u32) {
        let pool = self.pools.entry(target.clone()).or_default();
        pool.limit = limit;
        pool.floor = floor;
    }

    pub fn remove_target(&mut self, target: &str) {
        self.pools.remove(target);
    }

    /// Records a renewal. `confirmed` is the earliest grant that the instance still uses; it has
    /// closed the surplus connections of those before. `demand` is zero for targets that it does
    /// not name.
    pub fn on_renewal(
        &mut self,
        instance: &Name,
        boot: u64,
        confirmed: u64,
        demand: &[(Name, u32)],
    ) {
        let Some(enrollment) = self.instances.get_mut(instance) else {
            return;
        };
        for target in &enrollment.targets {
            let pool = self.pools.get_mut(target);
            if let Some(share) = pool.and_then(|pool| pool.shares.get_mut(instance)) {
                share.demand = 0;
                share
                    .grants
                    .retain(|grant| grant.boot != boot || grant.seq >= confirmed);
            }
        }
        for (target, connections) in demand {
            if let Some(pool) = self.pools.get_mut(target) {
                let share = pool.shares.entry(instance.clone()).or_default();
                share.demand = *connections;
                enrollment.targets.insert(target.clone());
            }
        }
    }

    /// Pushes the instance's quotas to `out`. The floor applies to a target that is not named.
    pub fn grant(&mut self, now: Instant, lease_grant: &Grant<'_>, out: &mut Vec<Quota>) {
        let instance_count = u32::try_from(self.instances.len()).unwrap_or(u32::MAX);
        let in_grace_period = now < self.grace_deadline;
        let Some(enrollment) = self.instances.get_mut(lease_grant.instance) else {
            return;
        };
        // On any target, other instances may still use the connections that a new one's floor
        // needs. Later on, only targets with more than the floor are visited, since most instances
        // use few of many targets.
        let awaits_floor = enrollment.awaits_floor;
        if awaits_floor {
            enrollment.targets = self.pools.keys().cloned().collect();
        }
        enrollment.awaits_floor = false;
        let pools = &mut self.pools;
        enrollment.targets.retain(|target| {
            let Some(pool) = pools.get_mut(target) else {
                return false;
            };
            pool.expire(now, lease_grant.instance);
            let amount = match (in_grace_period, awaits_floor) {
                (true, true) => 0,
                (true, false) => pool.floor,
                (false, _) => {
                    pool.available_share(lease_grant.instance, lease_grant.boot, instance_count)
                }
            };
            enrollment.awaits_floor |= awaits_floor && amount < pool.floor;
            let is_named = pool.record_grant(lease_grant, amount);
            if is_named {
                out.push(Quota {
                    target: target.clone(),
                    connections: amount,
                });
            }
            is_named
        });
    }
}

impl Pool {
    /// Drops grants whose lease has ended, and the demand of instances that have none left.
    /// `instance` has just renewed and keeps its demand.
    fn expire(&mut self, now: Instant, instance: &Name) {
        for (name, share) in &mut self.shares {
            share.grants.retain(|grant| grant.deadline > now);
            if share.grants.is_empty() && name != instance {
                share.demand = 0;
            }
        }
        let is_idle = |share: &Share| share.demand == 0 && share.grants.is_empty();
        self.shares.retain(|_, share| !is_idle(share));
    }

    /// Connections to grant: the fair share, as far as the others leave room for it now.
    fn available_share(&self, instance: &Name, boot: u64, instance_count: u32) -> u32 {
        let others = self.shares.iter().filter(|(name, _)| *name != instance);
        let (known_instances, reserved_by_known) = others.fold(
            (0, 0),
            |(known_instances, reserved_by_known): (u32, u32), (_, share)| {
                let reserved = share.reserved(None).max(self.floor);
                (
                    known_instances + 1,
                    reserved_by_known.saturating_add(reserved),
                )
            },
        );
        let unknown_instances = instance_count
            .saturating_sub(1)
            .saturating_sub(known_instances);
        let reserved =
            reserved_by_known.saturating_add(unknown_instances.saturating_mul(self.floor));
        // An earlier process of the same instance may be frozen with its connections open.
        let earlier = self
            .shares
            .get(instance)
            .map_or(0, |share| share.reserved(Some(boot)));
        let room = self.limit.saturating_sub(reserved.saturating_add(earlier));
        self.fair_share(instance, instance_count).min(room)
    }

    /// Max-min fair share: floors first, then equal parts of the remainder up to each demand. Parts
    /// are taken in ascending order of demand, so that larger ones share what smaller ones leave.
    fn fair_share(&self, instance: &Name, instance_count: u32) -> u32 {
        let floor = self.floor.min(self.limit / instance_count.max(1));
        let demand_above_floor = |share: &Share| share.demand.saturating_sub(floor);
        let own_demand = self.shares.get(instance).map_or(0, demand_above_floor);
        let mut demands: Vec<(u32, &Name)> = self
            .shares
            .iter()
            .map(|(name, share)| (demand_above_floor(share), name))
            .filter(|(demand, _)| *demand > 0)
            .collect();
        demands.sort_unstable();
        let mut remaining = self.limit - floor * instance_count.max(1);
        let mut remaining_instances = u32::try_from(demands.len()).unwrap_or(u32::MAX);
        for (demand, name) in demands {
            let part = demand.min(remaining / remaining_instances);
            if name == instance {
                return floor + part;
            }
            remaining -= part;
            remaining_instances -= 1;
        }
        floor + own_demand.min(remaining)
    }

    /// Records the grant. Returns false if the instance has and wants no more than the floor, so
    /// that the target need not be named.
    fn record_grant(&mut self, lease_grant: &Grant<'_>, amount: u32) -> bool {
        let floor = self.floor;
        let is_idle = |share: &Share| {
            share.demand <= floor && share.grants.iter().all(|grant| grant.amount <= floor)
        };
        if amount == floor && self.shares.get(lease_grant.instance).is_none_or(is_idle) {
            return false;
        }
        let share = self.shares.entry(lease_grant.instance.clone()).or_default();
        share.grants.push(Reservation {
            boot: lease_grant.boot,
            seq: lease_grant.seq,
            amount,
            deadline: lease_grant.deadline,
        });
        true
    }
}

impl Share {
    /// Connections that all processes of the instance may be using, without those of
    /// `excluded_boot`.
    fn reserved(&self, excluded_boot: Option<u64>) -> u32 {
        let mut by_boot: BTreeMap<u64, u32> = BTreeMap::new();
        for grant in self
            .grants
            .iter()
            .filter(|grant| Some(grant.boot) != excluded_boot)
        {
            let largest = by_boot.entry(grant.boot).or_default();
            *largest = grant.amount.max(*largest);
        }
        by_boot.into_values().fold(0, u32::saturating_add)
    }
}

//! Connections of a target, split among the entries.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use types::Name;

/// Connections that an entry may keep open to a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Quota {
    /// The target.
    pub target: Name,
    /// Connections, as long as the lease of this grant holds; afterwards the floor.
    pub connections: u32,
}

/// The grant that is being answered.
#[derive(Clone, Copy, Debug)]
pub struct Answer<'a> {
    /// The entry.
    pub instance: &'a Name,
    /// Number of its start.
    pub boot: u64,
    /// The renewal that is answered.
    pub seq: u64,
    /// The leader's deadline of the lease.
    pub deadline: Instant,
}

/// An amount that an entry may be using.
#[derive(Clone, Copy, Debug)]
struct Grant {
    boot: u64,
    seq: u64,
    amount: u32,
    deadline: Instant,
}

#[derive(Debug, Default)]
struct Share {
    demand: u32,
    grants: Vec<Grant>,
}

#[derive(Debug, Default)]
struct Pot {
    limit: u32,
    floor: u32,
    shares: BTreeMap<Name, Share>,
}

#[derive(Debug, Default)]
struct Member {
    /// Enrolled after this leader's election, and not yet granted the floor of every target.
    late: bool,
    /// Targets of which it has or wants more than the floor; a superset.
    targets: BTreeSet<Name>,
}

/// Splits the limit of each target.
///
/// Each enrolled entry has the floor of each target for good. What an entry was granted counts
/// until it has confirmed a later grant or the lease has ended, so that all entries together never
/// exceed the limit, whatever message is lost.
#[derive(Debug)]
pub struct Split {
    grace: Instant,
    members: BTreeMap<Name, Member>,
    pots: BTreeMap<Name, Pot>,
}

impl Split {
    /// A split for a new leader. Until `grace` it grants floors only, since amounts granted by an
    /// earlier leader are unknown.
    pub fn new<'a>(grace: Instant, enrolled: impl IntoIterator<Item = &'a Name>) -> Self {
        let member = |name: &Name| (name.clone(), Member::default());
        Self {
            grace,
            members: enrolled.into_iter().map(member).collect(),
            pots: BTreeMap::new(),
        }
    }

    /// Adds an entry that was enrolled after this leader's election.
    pub fn enroll(&mut self, instance: &Name) {
        let member = self.members.entry(instance.clone());
        member.or_insert_with(|| Member {
            late: true,
            targets: BTreeSet::new(),
        });
    }

    /// Removes an entry that was dismissed; its process is gone or its leases have ended.
    pub fn dismiss(&mut self, instance: &str) {
        self.members.remove(instance);
        for pot in self.pots.values_mut() {
            pot.shares.remove(instance);
        }
    }

    /// Sets limit and floor of a target.
    pub fn set(&mut self, target: &Name, limit: u32, floor: u32) {
        let pot = self.pots.entry(target.clone()).or_default();
        pot.limit = limit;
        pot.floor = floor;
    }

    /// Removes a target.
    pub fn forget(&mut self, target: &str) {
        self.pots.remove(target);
    }

    /// Takes in what a renewal says: the latest grant that the entry keeps to, with surplus
    /// connections closed, and its demand. Targets without a demand have none.
    pub fn on_renewal(
        &mut self,
        instance: &Name,
        boot: u64,
        confirmed: u64,
        demand: &[(Name, u32)],
    ) {
        let Some(member) = self.members.get_mut(instance) else {
            return;
        };
        for target in &member.targets {
            let pot = self.pots.get_mut(target);
            if let Some(share) = pot.and_then(|pot| pot.shares.get_mut(instance)) {
                share.demand = 0;
                share
                    .grants
                    .retain(|g| g.boot != boot || g.seq >= confirmed);
            }
        }
        for (target, connections) in demand {
            if let Some(pot) = self.pots.get_mut(target) {
                let share = pot.shares.entry(instance.clone()).or_default();
                share.demand = *connections;
                member.targets.insert(target.clone());
            }
        }
    }

    /// Pushes the entry's quotas to `out`. A target that is not named has its floor.
    pub fn grant(&mut self, now: Instant, answer: &Answer<'_>, out: &mut Vec<Quota>) {
        let count = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        let graced = now < self.grace;
        let Some(member) = self.members.get_mut(answer.instance) else {
            return;
        };
        // Others may still use the room of a new entry's floor, of any target. Later on, only
        // targets with more than the floor are looked at: most entries use few of many targets.
        let late = member.late;
        if late {
            member.targets = self.pots.keys().cloned().collect();
        }
        member.late = false;
        let pots = &mut self.pots;
        member.targets.retain(|target| {
            let Some(pot) = pots.get_mut(target) else {
                return false;
            };
            pot.expire(now, answer.instance);
            let amount = match (graced, late) {
                (true, true) => 0,
                (true, false) => pot.floor,
                (false, _) => pot.amount(answer.instance, answer.boot, count),
            };
            member.late |= late && amount < pot.floor;
            let named = pot.record(answer, amount);
            if named {
                out.push(Quota {
                    target: target.clone(),
                    connections: amount,
                });
            }
            named
        });
    }
}

impl Pot {
    /// Drops grants whose lease has ended. An entry without a lease asks for nothing, but for
    /// `instance`, which has just renewed.
    fn expire(&mut self, now: Instant, instance: &Name) {
        for (name, share) in &mut self.shares {
            share.grants.retain(|grant| grant.deadline > now);
            if share.grants.is_empty() && name != instance {
                share.demand = 0;
            }
        }
        let idle = |share: &Share| share.demand == 0 && share.grants.is_empty();
        self.shares.retain(|_, share| !idle(share));
    }

    /// What to grant: the fair share, as far as the others leave room for it now.
    fn amount(&self, instance: &Name, boot: u64, count: u32) -> u32 {
        let others = self.shares.iter().filter(|(name, _)| *name != instance);
        let (known, held) = others.fold((0, 0), |(known, held): (u32, u32), (_, share)| {
            let reserved = share.held(None).max(self.floor);
            (known + 1, held.saturating_add(reserved))
        });
        let unknown = count.saturating_sub(1).saturating_sub(known);
        let reserved = held.saturating_add(unknown.saturating_mul(self.floor));
        // An earlier start of the same entry may be frozen with its connections open.
        let earlier = self.shares.get(instance).map_or(0, |s| s.held(Some(boot)));
        let room = self.limit.saturating_sub(reserved.saturating_add(earlier));
        self.fair(instance, count).min(room)
    }

    /// Max-min fair share: floors first, then equal parts of the rest up to each demand.
    fn fair(&self, instance: &Name, count: u32) -> u32 {
        let floor = self.floor.min(self.limit / count.max(1));
        let want = |share: &Share| share.demand.saturating_sub(floor);
        let own = self.shares.get(instance).map_or(0, want);
        let mut wants: Vec<(u32, &Name)> = self
            .shares
            .iter()
            .map(|(name, share)| (want(share), name))
            .filter(|(want, _)| *want > 0)
            .collect();
        wants.sort_unstable();
        let mut rest = self.limit - floor * count.max(1);
        let mut left = u32::try_from(wants.len()).unwrap_or(u32::MAX);
        for (want, name) in wants {
            let part = want.min(rest / left);
            if name == instance {
                return floor + part;
            }
            rest -= part;
            left -= 1;
        }
        floor + own.min(rest)
    }

    /// Counts the grant; false if the entry has the floor anyway and needs no word of it.
    fn record(&mut self, answer: &Answer<'_>, amount: u32) -> bool {
        let floor = self.floor;
        let idle = |s: &Share| s.demand <= floor && s.grants.iter().all(|g| g.amount <= floor);
        if amount == floor && self.shares.get(answer.instance).is_none_or(idle) {
            return false;
        }
        let share = self.shares.entry(answer.instance.clone()).or_default();
        share.grants.push(Grant {
            boot: answer.boot,
            seq: answer.seq,
            amount,
            deadline: answer.deadline,
        });
        true
    }
}

impl Share {
    /// What all starts of the entry may be using, those of `except` left out.
    fn held(&self, except: Option<u64>) -> u32 {
        let mut boots: BTreeMap<u64, u32> = BTreeMap::new();
        for grant in self.grants.iter().filter(|g| Some(g.boot) != except) {
            let most = boots.entry(grant.boot).or_default();
            *most = grant.amount.max(*most);
        }
        boots.into_values().fold(0, u32::saturating_add)
    }
}

//! Status of members, entries, databases and targets for operators.

use std::time::{Duration, Instant};

use admin::api::{self, Phase, Seat};
use catalog::{Catalog, Database, Target};
use types::Name;
use types::target::Role;

use crate::leader::{Leader, Observation};

/// A control instance. `matched` is the last log index known to be on its disk.
#[must_use]
pub fn member(member: &consensus::Member, matched: Option<u64>) -> api::Member {
    api::Member {
        instance: member.instance.to_string(),
        address: member.address.to_string(),
        seat: match member.seat {
            consensus::Seat::Learner => Seat::Learner,
            consensus::Seat::Voter => Seat::Voter,
        },
        disk: format!("{:016x}", member.disk.0),
        matched,
    }
}

/// All enrolled entries, including those without a lease.
#[must_use]
pub fn entries(now: Instant, catalog: &Catalog, leader: &Leader) -> Vec<api::Entry> {
    let entry = |(instance, domain): (&Name, &Name)| {
        let holder = leader.holder(instance.as_str());
        let remaining = holder.and_then(|h| h.deadline.checked_duration_since(now));
        api::Entry {
            instance: instance.to_string(),
            domain: domain.to_string(),
            lease_ms: remaining
                .filter(|remaining| !remaining.is_zero())
                .map(millis),
            revision: holder.map_or(0, |holder| holder.revision.0),
        }
    };
    catalog.entries().map(entry).collect()
}

/// All databases with their targets.
#[must_use]
pub fn databases(now: Instant, catalog: &Catalog, leader: &Leader) -> Vec<api::Database> {
    let database = |(name, database): (&Name, &Database)| api::Database {
        database: name.to_string(),
        term: database.term().unwrap_or_default().0,
        primary: database.primary().map(ToString::to_string),
        phase: match database.phase() {
            catalog::Phase::Steady => Phase::Steady,
            catalog::Phase::Fenced { .. } => Phase::Fenced,
            catalog::Phase::Chosen { .. } => Phase::Chosen,
        },
        targets: catalog
            .members(name.as_str())
            .map(|(name, catalog_target)| target(now, catalog, leader, name, catalog_target))
            .collect(),
    };
    catalog.databases().map(database).collect()
}

#[must_use]
pub fn targets(now: Instant, catalog: &Catalog, leader: &Leader) -> api::Targets {
    let targets = catalog.targets();
    api::Targets {
        revision: catalog.revision().0,
        targets: targets
            .map(|(name, catalog_target)| target(now, catalog, leader, name, catalog_target))
            .collect(),
    }
}

fn target(
    now: Instant,
    catalog: &Catalog,
    leader: &Leader,
    name: &Name,
    catalog_target: &Target,
) -> api::Target {
    let announcement = catalog_target.announcement();
    let primary = catalog
        .database(announcement.database.as_str())
        .and_then(Database::primary);
    let role = match primary {
        Some(primary) if primary == name => Role::Primary,
        Some(_) => Role::Replica,
        None => announcement.role,
    };
    let observation = leader.observation(name.as_str());
    let primary_observation = primary.and_then(|primary| leader.observation(primary.as_str()));
    api::Target {
        target: name.to_string(),
        service: announcement.service.to_string(),
        database: announcement.database.to_string(),
        group: announcement.group.to_string(),
        region: announcement.region.to_string(),
        domain: announcement.domain.to_string(),
        address: announcement.address.to_string(),
        state: catalog_target.state().into(),
        role: role.into(),
        lsn: observation.map(|o| o.point.lsn.to_string()),
        lag_bytes: primary_observation
            .zip(observation)
            .and_then(|(a, b)| lag_bytes(a, b)),
        silent_ms: observation.map(|o| millis(now.saturating_duration_since(o.answered_at))),
    }
}

/// Bytes by which a replica is behind its primary; `None` if they are on different terms.
fn lag_bytes(primary: &Observation, replica: &Observation) -> Option<u64> {
    let (a, b) = (primary.point, replica.point);
    // The replica may have answered later than its primary and so appear to be ahead.
    (a.term == b.term).then(|| a.lsn.0.saturating_sub(b.lsn.0))
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

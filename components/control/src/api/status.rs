//! What operators see of members, entries, databases and targets.

use std::time::{Duration, Instant};

use admin::api::{self, Phase, Seat};
use catalog::{Catalog, Database, Target};
use types::Name;
use types::target::Role;

use crate::leader::{Lead, Observed};

/// A control instance; `matched` is the last index known to be on its disk.
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

/// Enrolled entries, those without a lease included.
#[must_use]
pub fn entries(now: Instant, catalog: &Catalog, lead: &Lead) -> Vec<api::Entry> {
    let entry = |(instance, domain): (&Name, &Name)| {
        let holder = lead.holder(instance.as_str());
        let left = holder.and_then(|h| h.deadline.checked_duration_since(now));
        api::Entry {
            instance: instance.to_string(),
            domain: domain.to_string(),
            lease_ms: left.filter(|left| !left.is_zero()).map(millis),
            revision: holder.map_or(0, |holder| holder.revision.0),
        }
    };
    catalog.entries().map(entry).collect()
}

/// Databases with their targets.
#[must_use]
pub fn databases(now: Instant, catalog: &Catalog, lead: &Lead) -> Vec<api::Database> {
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
            .map(|(name, known)| target(now, catalog, lead, name, known))
            .collect(),
    };
    catalog.databases().map(database).collect()
}

/// All targets.
#[must_use]
pub fn targets(now: Instant, catalog: &Catalog, lead: &Lead) -> api::Targets {
    let targets = catalog.targets();
    api::Targets {
        revision: catalog.revision().0,
        targets: targets
            .map(|(name, known)| target(now, catalog, lead, name, known))
            .collect(),
    }
}

fn target(
    now: Instant,
    catalog: &Catalog,
    lead: &Lead,
    name: &Name,
    known: &Target,
) -> api::Target {
    let said = known.announcement();
    let primary = catalog
        .database(said.database.as_str())
        .and_then(Database::primary);
    let role = match primary {
        Some(primary) if primary == name => Role::Primary,
        Some(_) => Role::Replica,
        None => said.role,
    };
    let observed = lead.observed(name.as_str());
    let ahead = primary.and_then(|primary| lead.observed(primary.as_str()));
    api::Target {
        target: name.to_string(),
        service: said.service.to_string(),
        database: said.database.to_string(),
        group: said.group.to_string(),
        region: said.region.to_string(),
        domain: said.domain.to_string(),
        address: said.address.to_string(),
        state: known.state().into(),
        role: role.into(),
        lsn: observed.map(|it| it.point.lsn.to_string()),
        lag_bytes: ahead.zip(observed).and_then(|(a, b)| lag(a, b)),
        silent_ms: observed.map(|it| millis(now.saturating_duration_since(it.answered))),
    }
}

/// Distance of two positions; positions of two terms have none.
fn lag(ahead: &Observed, observed: &Observed) -> Option<u64> {
    let (a, b) = (ahead.point, observed.point);
    // The replica may have been asked later than its primary.
    (a.term == b.term).then(|| a.lsn.0.saturating_sub(b.lsn.0))
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

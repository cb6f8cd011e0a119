//! Whether a replica may go: the others have to cover every write that it may have acknowledged.

use std::time::Instant;

use catalog::{Catalog, Database};
use types::Name;

use crate::leader::{Leader, Observation};

/// Why the remaining replicas of a database may lack writes that a leaving one has acknowledged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Gap {
    /// The primary has not reported its position since the entries stopped counting the replica.
    PrimaryUnknown,
    /// Too few replicas have what the primary had written by then.
    TooFewReplicas,
}

impl Gap {
    pub(crate) fn text(self, target: &Name) -> String {
        match self {
            Self::PrimaryUnknown => {
                format!("the primary's position since {target} was marked is not known; try again")
            }
            Self::TooFewReplicas => {
                format!("other replicas may lack writes that {target} acknowledged; try again")
            }
        }
    }
}

/// Checks that the replicas that remain without `leaving` cover every write that it acknowledged.
///
/// Entries stopped counting it when they confirmed its mark, so that a later position of the primary
/// covers those writes. A change of primary asks all but `min_acks` − 1 of the remaining replicas,
/// whichever answer, so that one of any that many has to cover them.
pub(crate) fn check(
    now: Instant,
    catalog: &Catalog,
    leader: &Leader,
    leaving: &Name,
    database: &Database,
    database_name: &Name,
) -> Result<(), Gap> {
    let acks = database.min_acks() as usize;
    let primary = database.primary();
    let remaining: Vec<&Name> = catalog
        .members(database_name.as_str())
        .map(|(name, _)| name)
        .filter(|name| *name != leaving && Some(*name) != primary)
        .collect();
    if acks == 0 || remaining.is_empty() || primary == Some(leaving) {
        return Ok(());
    }
    let confirmed_at = leader.last_confirmation(now);
    let position = primary.and_then(|primary| leader.observation(primary.as_str()));
    let position = position.filter(|position| Some(position.answered_at) > confirmed_at);
    let end = position.ok_or(Gap::PrimaryUnknown)?.point;
    let covers = |observation: &&Observation| {
        observation.point.term == end.term && observation.point.lsn >= end.lsn
    };
    let observed = remaining.iter();
    let observed = observed.filter_map(|name| leader.observation(name.as_str()));
    let asked = (remaining.len() + 1).saturating_sub(acks).max(1);
    if observed.filter(covers).count() + asked > remaining.len() {
        Ok(())
    } else {
        Err(Gap::TooFewReplicas)
    }
}

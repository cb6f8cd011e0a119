//! Validation of renewals from entries.

use std::time::Duration;

use anyhow::{Context, Result, ensure};
use types::target::Announcement;
use types::{Name, Revision};
use wire::{Demand, Health, Up};

use crate::leader::{Renewal, Report};

/// Limit of targets in each list of a renewal.
const MAX_TARGETS_PER_RENEWAL: usize = 20_000;

/// A validated message that renews a lease.
#[derive(Debug)]
pub struct Message {
    pub renewal: Renewal,
    /// Announcements that the entry receives from targets and their owners.
    pub announcements: Vec<Announcement>,
}

impl TryFrom<Up> for Message {
    type Error = anyhow::Error;

    fn try_from(raw: Up) -> Result<Self> {
        let Up::Renew {
            seq,
            age_ms,
            revision,
            confirmed,
            demand,
            long,
            health,
            announcements,
        } = raw
        else {
            anyhow::bail!("not a renewal");
        };
        let longest = demand
            .len()
            .max(long.len())
            .max(health.len())
            .max(announcements.len());
        ensure!(
            longest <= MAX_TARGETS_PER_RENEWAL,
            "renewal lists {longest} targets, which is too many"
        );
        let renewal = Renewal {
            seq,
            age: Duration::from_millis(age_ms),
            revision: Revision(revision),
            confirmed,
            demand: demand
                .into_iter()
                .map(parse_demand)
                .collect::<Result<_>>()?,
            long_slots: long.into_iter().map(parse_demand).collect::<Result<_>>()?,
            health: health
                .into_iter()
                .map(parse_health)
                .collect::<Result<_>>()?,
        };
        let announcements = announcements
            .into_iter()
            .map(Announcement::try_from)
            .collect::<Result<_>>()?;
        Ok(Self {
            renewal,
            announcements,
        })
    }
}

fn parse_demand(raw: Demand) -> Result<(Name, u32)> {
    Ok((
        Name::try_from(raw.target).context("target name in the demand")?,
        raw.connections,
    ))
}

fn parse_health(raw: Health) -> Result<Report> {
    Ok(Report {
        target: Name::try_from(raw.target).context("target name in the health reports")?,
        point: raw.point.into(),
        silence: Duration::from_millis(raw.silent_ms.into()),
    })
}

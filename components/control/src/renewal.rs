//! Checking of what an entry sends.

use std::time::Duration;

use anyhow::{Context, Result, ensure};
use types::target::Announcement;
use types::{Name, Revision};
use wire::{Demand, Health, Up};

use crate::leader::{Renewed, Report};

/// Targets that one renewal may name.
const MAX_TARGETS: usize = 20_000;

/// A checked renewal.
#[derive(Debug)]
pub struct Checked {
    /// Lease, quotas and health.
    pub renewed: Renewed,
    /// Announcements that the entry hears.
    pub announcements: Vec<Announcement>,
}

impl TryFrom<Up> for Checked {
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
        ensure!(longest <= MAX_TARGETS, "a renewal with {longest} targets");
        let renewed = Renewed {
            seq,
            age: Duration::from_millis(age_ms),
            revision: Revision(revision),
            confirmed,
            demand: demand
                .into_iter()
                .map(checked_demand)
                .collect::<Result<_>>()?,
            long: long
                .into_iter()
                .map(checked_demand)
                .collect::<Result<_>>()?,
            health: health
                .into_iter()
                .map(checked_health)
                .collect::<Result<_>>()?,
        };
        let announcements = announcements
            .into_iter()
            .map(Announcement::try_from)
            .collect::<Result<_>>()?;
        Ok(Self {
            renewed,
            announcements,
        })
    }
}

fn checked_demand(raw: Demand) -> Result<(Name, u32)> {
    Ok((
        Name::try_from(raw.target).context("demand")?,
        raw.connections,
    ))
}

fn checked_health(raw: Health) -> Result<Report> {
    Ok(Report {
        target: Name::try_from(raw.target).context("health")?,
        point: raw.point.into(),
        silent: Duration::from_millis(raw.silent_ms.into()),
    })
}

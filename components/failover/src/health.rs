//! Health of a target, from what its watchers report.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use types::Name;

/// What the watchers of a target say together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// No live watcher has reported.
    Unknown,
    /// No majority of the live watchers reports silence.
    Healthy,
    /// A majority of the live watchers reports silence.
    Failed {
        /// Time since the last answer that any of this majority had.
        silent: Duration,
    },
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown => f.write_str("no live watcher has reported"),
            Self::Healthy => f.write_str("healthy"),
            Self::Failed { silent } => write!(f, "silent for {} ms", silent.as_millis()),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Report {
    silent: Duration,
    received: Instant,
}

/// Latest reports on one target by watcher.
#[derive(Debug, Default)]
pub struct Watch {
    reports: BTreeMap<Name, Report>,
}

impl Watch {
    /// Takes in that `watcher` has had no answer for `silent`; for a primary, no answer as the
    /// primary of the present term.
    pub fn on_report(&mut self, now: Instant, watcher: &Name, silent: Duration) {
        let report = Report {
            silent,
            received: now,
        };
        self.reports.insert(watcher.clone(), report);
    }

    /// Drops what `watcher` reported: it restarted, or watches the target no longer.
    pub fn forget(&mut self, watcher: &str) {
        self.reports.remove(watcher);
    }

    /// The verdict by those of the target's watchers that are `live`, which means that they hold a
    /// lease. One that is cut off from control would report the silence of its own cut.
    pub fn verdict<'a>(
        &self,
        now: Instant,
        live: impl IntoIterator<Item = &'a Name>,
        detect: Duration,
    ) -> Verdict {
        let (mut count, mut known, mut silent) = (0, 0, Vec::new());
        for watcher in live {
            count += 1;
            let Some(report) = self.reports.get(watcher) else {
                continue;
            };
            known += 1;
            // Only reported silence counts: a watcher that is late with its next renewal says
            // nothing of the target.
            if report.silent > detect {
                silent.push(report.silent + now.saturating_duration_since(report.received));
            }
        }
        match silent.iter().min() {
            Some(least) if silent.len() * 2 > count => Verdict::Failed { silent: *least },
            _ if known == 0 => Verdict::Unknown,
            _ => Verdict::Healthy,
        }
    }
}

//! Health of a target, judged by the reports of its watchers: the entry instances that probe it.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use types::Name;

/// Joint verdict of a target's watchers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// No live watcher has reported.
    Unknown,
    /// No majority of the live watchers reports silence.
    Healthy,
    /// A majority of the live watchers reports silence.
    Failed {
        /// Time since the last answer that any watcher of this majority got.
        silence: Duration,
    },
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown => f.write_str("no live watcher has reported"),
            Self::Healthy => f.write_str("healthy"),
            Self::Failed { silence } => write!(f, "silent for {} ms", silence.as_millis()),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Report {
    silence: Duration,
    received: Instant,
}

/// Latest report of each watcher of one target.
#[derive(Debug, Default)]
pub struct Health {
    reports: BTreeMap<Name, Report>,
}

impl Health {
    /// Records that `watcher` has had no answer for the time `silence`; on a
    /// primary, no answer as the primary of the current term.
    pub fn on_report(&mut self, now: Instant, watcher: &Name, silence: Duration) {
        let report = Report {
            silence,
            received: now,
        };
        self.reports.insert(watcher.clone(), report);
    }

    /// Drops the report of a watcher that restarted or no longer watches the target.
    pub fn remove_watcher(&mut self, watcher: &str) {
        self.reports.remove(watcher);
    }

    /// Verdict of the watchers that are `live`, that is, hold a lease. A watcher without one may be
    /// partitioned itself, and would report the silence that its own partition causes.
    ///
    /// A target counts as silent after more than `threshold` without an answer.
    pub fn verdict<'a>(
        &self,
        now: Instant,
        live: impl IntoIterator<Item = &'a Name>,
        threshold: Duration,
    ) -> Verdict {
        let (mut watchers, mut reported, mut silences) = (0, 0, Vec::new());
        for watcher in live {
            watchers += 1;
            let Some(report) = self.reports.get(watcher) else {
                continue;
            };
            reported += 1;
            // Time since the report does not count here: a watcher that is late with its next
            // renewal says nothing about the target.
            if report.silence > threshold {
                silences.push(report.silence + now.saturating_duration_since(report.received));
            }
        }
        match silences.iter().min() {
            Some(shortest) if silences.len() * 2 > watchers => {
                Verdict::Failed { silence: *shortest }
            }
            _ if reported == 0 => Verdict::Unknown,
            _ => Verdict::Healthy,
        }
    }
}

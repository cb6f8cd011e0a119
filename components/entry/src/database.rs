//! State of a database in this entry.

use std::time::{Duration, Instant};

use bytes::BytesMut;
use catalog::Catalog;
use route::{Candidate, Phase, Positions};
use types::database::History;
use types::{Lsn, Name, Term};

use crate::event::CallerKey;

/// A committed write whose acknowledgement waits for replicas.
#[derive(Debug)]
pub struct Ack {
    pub caller: CallerKey,
    /// Term under which the primary committed it.
    pub term: Term,
    /// Position that replicas have to reach.
    pub lsn: Lsn,
    /// When the primary's answer arrived.
    pub committed_at: Instant,
    /// When the outcome is reported as unknown.
    pub deadline: Instant,
    /// The answer that is held back.
    pub held: BytesMut,
}

#[derive(Debug)]
pub struct Database {
    /// Indices of its targets in the event loop's list.
    pub targets: Vec<usize>,
    /// Candidates of the current routing decision; kept to reuse the allocation.
    pub candidates: Vec<Candidate>,
    /// Observed positions of the primary.
    pub primary_positions: Positions,
    /// Terms and their start positions.
    pub history: History,
    /// Phase of a change of primary.
    pub phase: Phase,
    /// End of the hold of a planned switch, counted from when this entry learned of it.
    pub hold_end: Option<Instant>,
    /// Callers whose batch waits for an eligible target.
    pub waiting_callers: Vec<CallerKey>,
    /// Committed writes that wait for replicas.
    pub pending_acks: Vec<Ack>,
    pub settings: Settings,
}

/// Settings of a database as a whole: those of its current primary, or else of its first target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Settings {
    /// Staleness allowed for reads on a replica if the session sets none.
    pub max_age: Duration,
    /// How long a read waits for a replica.
    pub read_wait: Duration,
    /// Number of replicas that have to confirm a write.
    pub required_acks: usize,
    /// How long a write waits for replicas.
    pub ack_timeout: Duration,
    /// How long a statement waits in a queue.
    pub queue_wait: Duration,
    /// Silence after which a target counts as failed.
    pub silence_limit: Duration,
}

impl Database {
    /// A database without targets.
    #[must_use]
    pub fn new() -> Self {
        Self {
            targets: Vec::new(),
            candidates: Vec::new(),
            primary_positions: Positions::default(),
            history: History::default(),
            phase: Phase::Absent,
            hold_end: None,
            waiting_callers: Vec::new(),
            pending_acks: Vec::new(),
            settings: Settings::default(),
        }
    }

    /// Applies the catalog. `index` maps a target's name to its index.
    pub fn configure(
        &mut self,
        now: Instant,
        name: &Name,
        catalog: &Catalog,
        index: impl Fn(&Name) -> Option<usize>,
    ) {
        let Some(database) = catalog.database(name.as_str()) else {
            self.phase = Phase::Absent;
            return;
        };
        self.history = database.history().clone();
        let primary = database
            .primary()
            .and_then(|primary| catalog.target(primary.as_str()));
        let first_member = || {
            catalog
                .members(name.as_str())
                .next()
                .map(|(_, target)| target)
        };
        if let Some(target) = primary.or_else(first_member) {
            self.settings = Settings::from(target.values());
        }
        let writable = database
            .writable_primary()
            .and_then(|(primary, _)| index(primary));
        if !database.holds_writes() {
            self.hold_end = None;
        }
        self.phase = match (writable, database.primary()) {
            (Some(primary), _) => Phase::Open { primary },
            (None, None) => Phase::Absent,
            (None, Some(_)) => {
                let new_hold_end = || now + self.settings.queue_wait;
                let held = database.holds_writes();
                Phase::Fenced {
                    hold: held.then(|| *self.hold_end.get_or_insert_with(new_hold_end)),
                }
            }
        };
    }
}

impl From<&catalog::Values> for Settings {
    fn from(values: &catalog::Values) -> Self {
        let ms = |value: u32| Duration::from_millis(value.into());
        Self {
            max_age: ms(values.read_max_age_ms),
            read_wait: ms(values.read_wait_ms),
            required_acks: values.write_acks as usize,
            ack_timeout: ms(values.write_ack_timeout_ms),
            queue_wait: ms(values.queue_max_wait_ms),
            silence_limit: ms(values.health_detect_ms),
        }
    }
}

//! A database as this entry sees it.

use std::time::{Duration, Instant};

use bytes::BytesMut;
use catalog::Catalog;
use route::{Candidate, Phase, Positions};
use types::database::History;
use types::{Lsn, Name, Term};

use crate::event::CallerKey;

/// A write that waits for replicas to cover it.
#[derive(Debug)]
pub struct Ack {
    /// Who gets the acknowledgement.
    pub caller: CallerKey,
    /// Term under which the primary committed it.
    pub term: Term,
    /// Position that replicas have to reach.
    pub lsn: Lsn,
    /// When the primary had committed it.
    pub since: Instant,
    /// Until when the caller waits.
    pub deadline: Instant,
    /// The answer that is held back.
    pub held: BytesMut,
}

/// A database.
#[derive(Debug)]
pub struct Database {
    /// Indices of its targets.
    pub servers: Vec<usize>,
    /// Its targets for the choice of one; kept to reuse its memory.
    pub candidates: Vec<Candidate>,
    /// Observed positions of the primary.
    pub track: Positions,
    /// Terms and their starts.
    pub history: History,
    /// Where it stands in a change of primary.
    pub phase: Phase,
    /// End of the hold of a planned switch, counted from when this entry learnt of it.
    pub hold_until: Option<Instant>,
    /// Callers whose statement waits for a target to become eligible.
    pub routing: Vec<CallerKey>,
    /// Writes that wait for replicas.
    pub acks: Vec<Ack>,
    /// Settings of the database.
    pub settings: Settings,
}

/// Settings that apply to a database as a whole: those of its present primary, or of any target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Settings {
    /// Age that a read on a replica may have when the session states none.
    pub max_age: Duration,
    /// How long a read waits for a replica.
    pub read_wait: Duration,
    /// Replicas that have to cover a write.
    pub acks: usize,
    /// How long a write waits for them.
    pub ack_timeout: Duration,
    /// How long a statement waits in a queue.
    pub queue_wait: Duration,
    /// Silence that counts as failure.
    pub detect: Duration,
}

impl Database {
    /// A database without targets.
    #[must_use]
    pub fn new() -> Self {
        Self {
            servers: Vec::new(),
            candidates: Vec::new(),
            track: Positions::default(),
            history: History::default(),
            phase: Phase::Absent,
            hold_until: None,
            routing: Vec::new(),
            acks: Vec::new(),
            settings: Settings::default(),
        }
    }

    /// Follows the catalog. `index` finds a target's index.
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
        let any = || {
            catalog
                .members(name.as_str())
                .next()
                .map(|(_, target)| target)
        };
        if let Some(target) = primary.or_else(any) {
            self.settings = Settings::from(target.values());
        }
        let writable = database
            .writable_primary()
            .and_then(|(primary, _)| index(primary));
        if !database.holds_writes() {
            self.hold_until = None;
        }
        self.phase = match (writable, database.primary()) {
            (Some(primary), _) => Phase::Open { primary },
            (None, None) => Phase::Absent,
            (None, Some(_)) => {
                let hold = || now + self.settings.queue_wait;
                let held = database.holds_writes();
                Phase::Fenced {
                    hold_end: held.then(|| *self.hold_until.get_or_insert_with(hold)),
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
            acks: values.write_acks as usize,
            ack_timeout: ms(values.write_ack_timeout_ms),
            queue_wait: ms(values.queue_max_wait_ms),
            detect: ms(values.health_detect_ms),
        }
    }
}

//! What is known of the acknowledged commits of a service, kept in the replicated state.
//!
//! A server acknowledges a commit once one replica has received it. A replica whose life ends takes
//! its log along, so that the remaining ones may lack commits. Until a point is known that covers them,
//! the departure keeps a change of primary from relying on the remaining replicas alone.

use std::collections::{BTreeMap, BTreeSet};

use types::Point;

use crate::server::Server;

/// Limit of the departures that are listed one by one; the oldest ones are merged.
const MAX_DEPARTURES: usize = 64;

/// One process of a server. When it ends, its log is gone.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Lifetime {
    /// Empty for departures that were merged, which is no valid id of a server.
    pub id: String,
    /// Start of the life, as [`crate::Life::born`].
    pub born: u64,
}

impl Lifetime {
    /// The registered life of a server.
    #[must_use]
    pub fn of(server: &Server) -> Self {
        Self {
            id: server.id.clone(),
            born: server.life.born,
        }
    }
}

/// Acknowledged commits of a service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct History {
    /// Every commit that was acknowledged before this was recorded is at this point or before it.
    pub(crate) floor: Point,
    /// Latest term that a server may have led. A replica that is paused for a later one receives
    /// nothing from any primary so far.
    pub(crate) term: u64,
    /// Servers that may have led since a choice was last confirmed: the primary at that time, and each
    /// choice since. Before the first choice, the server that last reported to be the primary.
    pub(crate) leaders: BTreeSet<String>,
    /// Lives that have ended since, with the log index of the order that ended each.
    pub(crate) departures: BTreeMap<Lifetime, u64>,
}

impl History {
    /// A server that lacks this point lacks acknowledged commits.
    #[must_use]
    pub fn floor(&self) -> Point {
        self.floor
    }

    /// Latest term that a server may have led.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Ids of the servers that may have led since a choice was last confirmed.
    pub fn leaders(&self) -> impl Iterator<Item = &str> {
        self.leaders.iter().map(String::as_str)
    }

    /// Lives that have ended since the floor was recorded.
    pub fn departures(&self) -> impl Iterator<Item = &Lifetime> {
        self.departures.keys()
    }

    /// Log index of the latest departure since the floor was recorded.
    #[must_use]
    pub fn last_departure(&self) -> Option<u64> {
        self.departures.values().copied().max()
    }

    pub(crate) fn record_departure(&mut self, ended: Lifetime, index: u64) {
        self.departures.insert(ended, index);
        while self.departures.len() > MAX_DEPARTURES {
            let named = self.departures.iter().filter(|(key, _)| !key.id.is_empty());
            let Some((oldest, index)) = named.min_by_key(|(_, index)| **index) else {
                return;
            };
            let (oldest, index) = (oldest.clone(), *index);
            self.departures.remove(&oldest);
            let merged = Lifetime {
                id: String::new(),
                born: 0,
            };
            self.departures.insert(merged, index);
        }
    }

    /// Records that every commit acknowledged so far is at `point` or before it, and that the lives
    /// whose departures have an index up to `until` acknowledge nothing beyond it. The latest bound
    /// holds for all commits that an earlier one bounds, and may be lower: the log of a primary has
    /// commits that are not acknowledged.
    pub(crate) fn cover(&mut self, until: u64, point: Point, term: u64) {
        self.floor = point;
        self.term = self.term.max(term);
        self.departures.retain(|_, index| *index > until);
    }
}

/// Whether a log that ends at `end` has everything up to `point`. Valid between logs of one service
/// that hold the commits acknowledged in earlier terms: then the later term has the longer log.
#[must_use]
pub fn is_at_or_past(end: Point, point: Point) -> bool {
    (end.term, end.lsn) >= (point.term, point.lsn)
}

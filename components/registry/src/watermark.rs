//! Positions that commits known to callers have reached.
//!
//! A primary that is being replaced may still acknowledge commits, through a server that the choice of
//! the next primary did not count. Entries therefore hold the success of a commit back until the
//! leader consents, and the leader notes how far such commits reach.

use std::collections::BTreeMap;

use types::{Lsn, Point, Term};

use crate::history::is_at_or_past;
use crate::state::Registry;

/// Commits of one server that an entry passes on to callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Watermark {
    pub service: String,
    /// Server that acknowledged them.
    pub id: String,
    /// Token of the choice by which it was known to lead; 0 before the first choice. Another server may
    /// have led in between if the same one is chosen again.
    pub token: u64,
    /// Invariant: the last of them is at this point or past it. The position that an answer names is
    /// the end of the server's log, which may hold commits that no replica has received.
    pub point: Point,
    /// Callers know of them already.
    pub passed_on: bool,
}

impl Watermark {
    /// The latest point that a commit is known to have reached: the server's log ended at `before`
    /// before the commit was sent, and at `end` when it was acknowledged.
    #[must_use]
    pub fn least_point(before: Option<Point>, end: Point) -> Point {
        let lsn = match before {
            Some(before) if before.term == end.term => before.lsn.0 + 1,
            _ => 0,
        };
        Point {
            term: end.term,
            lsn: Lsn(lsn),
        }
    }

    /// Whether two watermarks are of the same server and state.
    #[must_use]
    pub fn merges_with<'a>(&'a self, other: &'a Self) -> bool {
        let key = |mark: &'a Self| (mark.passed_on, mark.token, &*mark.id, &*mark.service);
        key(self) == key(other)
    }

    /// Raises the point to that of another watermark of the same server.
    pub fn raise(&mut self, other: &Self) {
        if !is_at_or_past(self.point, other.point) {
            self.point = other.point;
        }
    }
}

impl From<wire::Watermark> for Watermark {
    fn from(raw: wire::Watermark) -> Self {
        Self {
            service: raw.service,
            id: raw.id,
            token: raw.token,
            point: Point {
                term: Term(raw.point.term),
                lsn: Lsn(raw.point.lsn),
            },
            passed_on: raw.passed_on,
        }
    }
}

impl From<Watermark> for wire::Watermark {
    fn from(mark: Watermark) -> Self {
        Self {
            service: mark.service,
            id: mark.id,
            token: mark.token,
            point: wire::Point {
                term: mark.point.term.0,
                lsn: mark.point.lsn.0,
            },
            passed_on: mark.passed_on,
        }
    }
}

/// The watermark of each service, as the leader knows it. A new leader starts without any, and entries
/// report to it what they have passed on.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Invariant: points never decrease.
    points: BTreeMap<String, Point>,
}

impl Ledger {
    /// The log of a server that is to lead must reach this point.
    #[must_use]
    pub fn point(&self, service: &str) -> Option<Point> {
        self.points.get(service).copied()
    }

    /// Handles a watermark and returns whether its commits may be passed on. `admits_commits` tells
    /// whether the leadership is confirmed and no change of primary is in progress.
    pub fn advance(&mut self, mark: &Watermark, registry: &Registry, admits_commits: bool) -> bool {
        let consents = mark.passed_on || (admits_commits && is_primary(mark, registry));
        if consents {
            let point = self.points.entry(mark.service.clone()).or_default();
            if !is_at_or_past(*point, mark.point) {
                *point = mark.point;
            }
        }
        consents
    }
}

/// Whether the server is the primary, and its promotion is confirmed if there was one.
fn is_primary(mark: &Watermark, registry: &Registry) -> bool {
    let chosen = registry.chosen_primary(&mark.service);
    let is_current = chosen.map_or(mark.token == 0, |chosen| {
        chosen.confirmed && chosen.token == mark.token
    });
    let primary = registry.primary(&mark.service);
    is_current && primary.is_some_and(|primary| primary.id == mark.id)
}

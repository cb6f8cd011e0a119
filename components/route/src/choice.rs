//! The choice of a target.

use std::fmt;
use std::time::Instant;

use rand::{Rng, RngExt};
use session::Needs;
use types::Lsn;
use types::target::{Role, State};

use crate::view::{Candidate, Phase, Request, View};

/// Largest replication gap for which a read waits: what a replica is assumed to replay within the
/// default `read.wait_ms`. Waiting for a larger gap would only delay the read before it goes to the
/// primary.
pub const MAX_WAIT_GAP_BYTES: u64 = 1 << 20;

/// Why a statement is refused before it has run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// The database has no primary that takes writes.
    NoPrimary,
    /// The entry's lease has expired.
    LeaseExpired,
    /// The only target for the statement is draining or leaving.
    Leaving,
    /// The entry's quota allows no connection to any suitable target.
    QuotaExhausted,
    /// No target is fresh enough.
    Stale,
    /// A write of the session was lost at a promotion.
    WriteLost,
}

impl Reason {
    /// SQLSTATE sent to the caller.
    #[must_use]
    pub const fn sqlstate(self) -> &'static str {
        match self {
            Self::NoPrimary => "57L03",
            Self::LeaseExpired => "57L04",
            Self::Leaving => "57L06",
            Self::QuotaExhausted => "57L07",
            Self::Stale => "57L08",
            Self::WriteLost => "58L01",
        }
    }

    /// Value of the metrics label.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::NoPrimary => "no_primary",
            Self::LeaseExpired => "lease",
            Self::Leaving => "leaving",
            Self::QuotaExhausted => "quota",
            Self::Stale => "stale",
            Self::WriteLost => "lost",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoPrimary => "not run: the database has no primary",
            Self::LeaseExpired => "not run: the lease of this entry has expired",
            Self::Leaving => "not run: the target takes no new work",
            Self::QuotaExhausted => "not run: the connection quota of this entry is used up",
            Self::Stale => "not run: no target is fresh enough",
            Self::WriteLost => "a write of this session was lost at a change of primary",
        })
    }
}

impl std::error::Error for Reason {}

/// Result of routing a statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Run it on the target with this index.
    Target(usize),
    /// Choose again when the view changes, and at `until` at the latest.
    Wait {
        /// Instant at which the choice becomes final.
        until: Instant,
        /// Replica that has almost caught up; a probe of its position may end the wait.
        probe: Option<usize>,
    },
    Refuse(Reason),
}

/// Chooses the target of a statement.
///
/// `rng` selects the two suitable targets whose loads are compared.
pub fn choose<R: Rng + ?Sized>(
    view: &View<'_>,
    request: &Request,
    now: Instant,
    rng: &mut R,
) -> Choice {
    if let Some(target) = request.bound_target {
        return Choice::Target(target);
    }
    if request.needs == Needs::WriteLost {
        return Choice::Refuse(Reason::WriteLost);
    }
    if !request.may_use_replica() {
        return route_write(view, request, now);
    }
    match request.needs {
        Needs::UnknownTerm => wait_or(request.wait_until, now, Choice::Refuse(Reason::Stale)),
        Needs::PrimaryOnly => route_to_primary(view, request, now),
        _ => route_read(view, request, now, rng),
    }
}

fn wait_or(until: Instant, now: Instant, otherwise: Choice) -> Choice {
    if now < until {
        Choice::Wait { until, probe: None }
    } else {
        otherwise
    }
}

fn route_write(view: &View<'_>, request: &Request, now: Instant) -> Choice {
    if !view.has_lease {
        return Choice::Refuse(Reason::LeaseExpired);
    }
    let primary = match view.phase {
        Phase::Open { primary } => primary,
        Phase::Fenced {
            hold: Some(hold_end),
        } => {
            let until = hold_end.min(request.deadline);
            return wait_or(until, now, Choice::Refuse(Reason::NoPrimary));
        }
        Phase::Fenced { hold: None } | Phase::Absent => {
            return Choice::Refuse(Reason::NoPrimary);
        }
    };
    match find_candidate(view, primary) {
        None => Choice::Refuse(Reason::NoPrimary),
        Some(candidate) if candidate.connections == 0 => Choice::Refuse(Reason::QuotaExhausted),
        Some(candidate) if candidate.state == State::Serving => Choice::Target(primary),
        // A planned switch follows when a primary is draining: the write waits for the fence.
        Some(_) => wait_or(request.deadline, now, Choice::Refuse(Reason::Leaving)),
    }
}

fn find_candidate<'a>(view: &View<'a>, target: usize) -> Option<&'a Candidate> {
    view.candidates
        .iter()
        .find(|candidate| candidate.target == target)
}

fn route_read<R: Rng + ?Sized>(
    view: &View<'_>,
    request: &Request,
    now: Instant,
    rng: &mut R,
) -> Choice {
    let eligible = |candidate: &&Candidate| {
        can_serve_reads(view, candidate) && is_fresh_enough(view, request, candidate, now)
    };
    let same_domain = |candidate: &&Candidate| candidate.same_domain && eligible(candidate);
    let picked =
        pick_less_loaded(view, same_domain, rng).or_else(|| pick_less_loaded(view, eligible, rng));
    if let Some(target) = picked {
        return Choice::Target(target);
    }
    let almost_caught_up = if now < request.wait_until {
        closest_replica(view, request)
    } else {
        None
    };
    match almost_caught_up {
        Some(target) => Choice::Wait {
            until: request.wait_until,
            probe: Some(target),
        },
        None => route_to_primary(view, request, now),
    }
}

/// Routes a read to the primary, which has every position. Requires a valid lease, since an entry
/// without one can't know whether the target is still primary.
fn route_to_primary(view: &View<'_>, request: &Request, now: Instant) -> Choice {
    match view.phase {
        Phase::Open { primary } if view.has_lease => match find_candidate(view, primary) {
            Some(candidate) if !candidate.reachable => Choice::Refuse(Reason::Stale),
            Some(candidate) if candidate.connections == 0 => Choice::Refuse(Reason::QuotaExhausted),
            Some(candidate) if candidate.state == State::Serving => Choice::Target(primary),
            Some(_) => wait_or(request.deadline, now, Choice::Refuse(Reason::Leaving)),
            None => Choice::Refuse(Reason::Stale),
        },
        Phase::Fenced {
            hold: Some(hold_end),
        } if view.has_lease => {
            let until = hold_end.min(request.deadline);
            wait_or(until, now, Choice::Refuse(Reason::Stale))
        }
        _ => Choice::Refuse(Reason::Stale),
    }
}

/// Whether the target can serve reads by its observed position: a replica, or for an entry without
/// a lease also the last known primary.
fn can_serve_reads(view: &View<'_>, candidate: &Candidate) -> bool {
    let last_primary = matches!(view.phase, Phase::Open { primary } if primary == candidate.target);
    let has_suitable_role = if view.has_lease {
        candidate.role == Role::Replica && !last_primary
    } else {
        candidate.announced_directly && (candidate.role == Role::Replica || last_primary)
    };
    has_suitable_role
        && candidate.reachable
        && candidate.state == State::Serving
        && candidate.connections > 0
}

/// Whether the target has the position that the session requires, and data young enough for the
/// caller.
fn is_fresh_enough(
    view: &View<'_>,
    request: &Request,
    candidate: &Candidate,
    now: Instant,
) -> bool {
    let point = candidate
        .observed
        .map(|observed| observed.point)
        .filter(|point| point.term == view.term);
    let has_position = match request.needs {
        Needs::Any => true,
        Needs::AtLeast(lsn) => point.is_some_and(|point| point.lsn >= lsn),
        Needs::WriteLost | Needs::UnknownTerm | Needs::PrimaryOnly => false,
    };
    let is_young_enough = |max_age| {
        let age = point.and_then(|point| view.primary_positions.age_bound(point, now));
        age.is_some_and(|age| age <= max_age)
    };
    has_position && request.max_age.is_none_or(is_young_enough)
}

/// The replica that is closest to the session's position, if the gap is small enough to wait for.
fn closest_replica(view: &View<'_>, request: &Request) -> Option<usize> {
    let Needs::AtLeast(needed) = request.needs else {
        return None;
    };
    view.candidates
        .iter()
        .filter(|candidate| can_serve_reads(view, candidate))
        .filter_map(|candidate| Some((gap_bytes(view, candidate, needed)?, candidate.target)))
        .filter(|(gap, _)| (1..=MAX_WAIT_GAP_BYTES).contains(gap))
        .min()
        .map(|(_, target)| target)
}

fn gap_bytes(view: &View<'_>, candidate: &Candidate, needed: Lsn) -> Option<u64> {
    let point = candidate.observed?.point;
    (point.term == view.term).then(|| needed.0.saturating_sub(point.lsn.0))
}

/// The less loaded of two random candidates that pass `filter`.
fn pick_less_loaded<R: Rng + ?Sized>(
    view: &View<'_>,
    filter: impl Fn(&&Candidate) -> bool,
    rng: &mut R,
) -> Option<usize> {
    let eligible = || view.candidates.iter().filter(&filter);
    let count = eligible().count();
    if count <= 1 {
        return eligible().next().map(|candidate| candidate.target);
    }
    let first = rng.random_range(0..count);
    let second = (first + rng.random_range(1..count)) % count;
    let first = eligible().nth(first)?;
    let second = eligible().nth(second)?;
    let less_loaded = if second.load < first.load {
        second
    } else {
        first
    };
    Some(less_loaded.target)
}

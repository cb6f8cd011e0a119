//! The choice of a target.

use std::fmt;
use std::time::Instant;

use rand::{Rng, RngExt};
use session::Needs;
use types::Lsn;
use types::target::{Role, State};

use crate::view::{Candidate, Phase, Request, View};

/// Bytes that a replica is taken to replay within the default `read.wait_ms`. Waiting for one that
/// is farther behind would only delay the read's way to the primary.
pub const NEAR_BYTES: u64 = 1 << 20;

/// Why a statement is refused before it ran.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// The database has no primary that takes writes.
    NoPrimary,
    /// The entry's lease has expired.
    Lease,
    /// The only target for the statement is draining or leaving.
    Leaving,
    /// The entry's quota allows no connection to any suitable target.
    Quota,
    /// No target is fresh enough.
    Stale,
    /// A write of the session was lost at a promotion.
    Lost,
}

impl Reason {
    /// SQLSTATE of the refusal.
    #[must_use]
    pub const fn sqlstate(self) -> &'static str {
        match self {
            Self::NoPrimary => "57L03",
            Self::Lease => "57L04",
            Self::Leaving => "57L06",
            Self::Quota => "57L07",
            Self::Stale => "57L08",
            Self::Lost => "58L01",
        }
    }

    /// Label in metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::NoPrimary => "no_primary",
            Self::Lease => "lease",
            Self::Leaving => "leaving",
            Self::Quota => "quota",
            Self::Stale => "stale",
            Self::Lost => "lost",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoPrimary => "not run: the database has no primary",
            Self::Lease => "not run: the lease of this entry has expired",
            Self::Leaving => "not run: the target takes no new work",
            Self::Quota => "not run: the connection quota of this entry is used up",
            Self::Stale => "not run: no target is fresh enough",
            Self::Lost => "a write of this session was lost at a change of primary",
        })
    }
}

impl std::error::Error for Reason {}

/// Where a statement goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// To the target with this index.
    Target(usize),
    /// Nowhere yet: choose again when the view changes, and at `until` at the latest.
    Wait {
        /// Instant at which the choice becomes final.
        until: Instant,
        /// Replica that is only just short; asking it for its position may end the wait.
        watch: Option<usize>,
    },
    /// Refused.
    Refuse(Reason),
}

/// Chooses the target of a statement.
///
/// `rng` picks the two targets of equal standing whose loads are compared.
pub fn choose<R: Rng + ?Sized>(
    view: &View<'_>,
    request: &Request,
    now: Instant,
    rng: &mut R,
) -> Choice {
    if let Some(target) = request.bound {
        return Choice::Target(target);
    }
    if request.needs == Needs::Lost {
        return Choice::Refuse(Reason::Lost);
    }
    if !request.reads() {
        return write(view, request, now);
    }
    match request.needs {
        Needs::Ahead => wait_or(request.wait_until, now, Choice::Refuse(Reason::Stale)),
        Needs::PrimaryOnly => from_primary(view, request, now),
        _ => read(view, request, now, rng),
    }
}

fn wait_or(until: Instant, now: Instant, otherwise: Choice) -> Choice {
    if now < until {
        Choice::Wait { until, watch: None }
    } else {
        otherwise
    }
}

fn write(view: &View<'_>, request: &Request, now: Instant) -> Choice {
    if !view.lease {
        return Choice::Refuse(Reason::Lease);
    }
    let primary = match view.phase {
        Phase::Open { primary } => primary,
        Phase::Fenced { hold: Some(hold) } => {
            let until = hold.min(request.deadline);
            return wait_or(until, now, Choice::Refuse(Reason::NoPrimary));
        }
        Phase::Fenced { hold: None } | Phase::Absent => {
            return Choice::Refuse(Reason::NoPrimary);
        }
    };
    match find(view, primary) {
        None => Choice::Refuse(Reason::NoPrimary),
        Some(candidate) if candidate.connections == 0 => Choice::Refuse(Reason::Quota),
        Some(candidate) if candidate.state == State::Serving => Choice::Target(primary),
        // A planned switch follows the retirement of a primary: the write waits for its fence.
        Some(_) => wait_or(request.deadline, now, Choice::Refuse(Reason::Leaving)),
    }
}

fn find<'a>(view: &View<'a>, target: usize) -> Option<&'a Candidate> {
    view.candidates
        .iter()
        .find(|candidate| candidate.target == target)
}

fn read<R: Rng + ?Sized>(view: &View<'_>, request: &Request, now: Instant, rng: &mut R) -> Choice {
    let eligible =
        |candidate: &&Candidate| usable(view, candidate) && fresh(view, request, candidate, now);
    let local = |candidate: &&Candidate| candidate.local && eligible(candidate);
    let picked = pick(view, local, rng).or_else(|| pick(view, eligible, rng));
    if let Some(target) = picked {
        return Choice::Target(target);
    }
    let near = if now < request.wait_until {
        nearest(view, request)
    } else {
        None
    };
    match near {
        Some(target) => Choice::Wait {
            until: request.wait_until,
            watch: Some(target),
        },
        None => from_primary(view, request, now),
    }
}

/// The open primary under a valid lease covers every position; a cut-off entry cannot tell whether
/// a target is still primary.
fn from_primary(view: &View<'_>, request: &Request, now: Instant) -> Choice {
    match view.phase {
        Phase::Open { primary } if view.lease => match find(view, primary) {
            Some(candidate) if !candidate.up => Choice::Refuse(Reason::Stale),
            Some(candidate) if candidate.connections == 0 => Choice::Refuse(Reason::Quota),
            Some(candidate) if candidate.state == State::Serving => Choice::Target(primary),
            Some(_) => wait_or(request.deadline, now, Choice::Refuse(Reason::Leaving)),
            None => Choice::Refuse(Reason::Stale),
        },
        Phase::Fenced { hold: Some(hold) } if view.lease => {
            let until = hold.min(request.deadline);
            wait_or(until, now, Choice::Refuse(Reason::Stale))
        }
        _ => Choice::Refuse(Reason::Stale),
    }
}

/// The target takes reads by its observed position: a replica, or for a cut-off entry also the
/// target that was primary when it lost contact.
fn usable(view: &View<'_>, candidate: &Candidate) -> bool {
    let last_primary = matches!(view.phase, Phase::Open { primary } if primary == candidate.target);
    let role = if view.lease {
        candidate.role == Role::Replica && !last_primary
    } else {
        candidate.heard && (candidate.role == Role::Replica || last_primary)
    };
    role && candidate.up && candidate.state == State::Serving && candidate.connections > 0
}

/// The target covers the session's position, and its age is accepted if the caller states one.
fn fresh(view: &View<'_>, request: &Request, candidate: &Candidate, now: Instant) -> bool {
    let point = candidate
        .observed
        .map(|observed| observed.point)
        .filter(|point| point.term == view.term);
    let covers = match request.needs {
        Needs::Any => true,
        Needs::AtLeast(lsn) => point.is_some_and(|point| point.lsn >= lsn),
        Needs::Lost | Needs::Ahead | Needs::PrimaryOnly => false,
    };
    let young = |max_age| {
        let age = point.and_then(|point| view.track.age(point, now));
        age.is_some_and(|age| age <= max_age)
    };
    covers && request.max_age.is_none_or(young)
}

/// The replica that is short of the session's position by the least, if only just.
fn nearest(view: &View<'_>, request: &Request) -> Option<usize> {
    let Needs::AtLeast(needed) = request.needs else {
        return None;
    };
    view.candidates
        .iter()
        .filter(|candidate| usable(view, candidate))
        .filter_map(|candidate| Some((gap(view, candidate, needed)?, candidate.target)))
        .filter(|(gap, _)| (1..=NEAR_BYTES).contains(gap))
        .min()
        .map(|(_, target)| target)
}

fn gap(view: &View<'_>, candidate: &Candidate, needed: Lsn) -> Option<u64> {
    let point = candidate.observed?.point;
    (point.term == view.term).then(|| needed.0.saturating_sub(point.lsn.0))
}

/// The less loaded of two random candidates that pass `filter`.
fn pick<R: Rng + ?Sized>(
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
    let less = if second.load < first.load {
        second
    } else {
        first
    };
    Some(less.target)
}

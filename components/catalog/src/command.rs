//! Commands of the replicated log.

use std::fmt;

use types::target::{Announcement, State};
use types::{Lsn, Name, Point, Revision, Term};

use crate::change::{Change, Findings, Label};
use crate::generated::Key;
use crate::path::Path;
use crate::tree;

/// Longest reason of a fence, in bytes.
pub const MAX_REASON: usize = 200;

/// A checked command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Sets a value on a node of the tree, or removes it.
    Set {
        /// The node.
        path: Path,
        /// The key.
        key: Key,
        /// None removes the value so that the inherited one applies.
        value: Option<u32>,
        /// Base revision, request id and operator.
        change: Change,
    },
    /// A target is new or says something new of itself.
    Announce(Announcement),
    /// Sets the operators' state of a target.
    Mark {
        /// The target.
        target: Name,
        /// Its new state.
        state: State,
        /// Base revision, request id and operator.
        change: Change,
    },
    /// Registers an entry.
    Enroll {
        /// The entry.
        instance: Name,
        /// Its failure domain.
        domain: Name,
    },
    /// Begins a change of primary.
    Fence {
        /// The database.
        database: Name,
        /// Term that begins when the change ends.
        term: Term,
        /// Entries queue new writes instead of refusing them.
        hold: bool,
        /// Why; for operators. Invariant: at most [`MAX_REASON`] bytes.
        reason: String,
    },
    /// Names the one target that may be promoted.
    Choose {
        /// The database.
        database: Name,
        /// Term of the fence.
        term: Term,
        /// The next primary.
        target: Name,
        /// Position that it had; its term may not begin before.
        point: Point,
    },
    /// Ends a change of primary, or names the first primary of a database.
    Open {
        /// The database.
        database: Name,
        /// Term that begins, or the present one when a fence is undone.
        term: Term,
        /// The primary.
        target: Name,
        /// Where the term began.
        start: Lsn,
    },
    /// Forgets a target that is leaving.
    Retire {
        /// The target.
        target: Name,
    },
    /// Forgets an entry that is gone for good.
    Dismiss {
        /// The entry.
        instance: Name,
    },
}

/// One line for logs.
impl fmt::Display for Command {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Set {
                path, key, value, ..
            } => match value {
                Some(value) => write!(f, "set {path}:{} to {value}", key.name()),
                None => write!(f, "unset {path}:{}", key.name()),
            },
            Self::Announce(announcement) => write!(f, "announce {}", announcement.target),
            Self::Mark { target, state, .. } => write!(f, "mark {target} as {state:?}"),
            Self::Enroll { instance, domain } => write!(f, "enroll {instance} in {domain}"),
            Self::Fence {
                database,
                term,
                hold,
                reason,
            } => {
                let hold = if *hold { " with hold" } else { "" };
                write!(f, "fence {database} for term {}{hold}: {reason}", term.0)
            }
            Self::Choose {
                database,
                term,
                target,
                point,
            } => {
                let Point { lsn, .. } = point;
                write!(
                    f,
                    "choose {target} at {lsn} for {database} in term {}",
                    term.0
                )
            }
            Self::Open {
                database,
                term,
                target,
                start,
            } => write!(
                f,
                "open {database} on {target} in term {} from {start}",
                term.0
            ),
            Self::Retire { target } => write!(f, "retire {target}"),
            Self::Dismiss { instance } => write!(f, "dismiss {instance}"),
        }
    }
}

impl Command {
    /// Base revision, request id and operator of an operator's change.
    #[must_use]
    pub const fn change(&self) -> Option<&Change> {
        match self {
            Self::Set { change, .. } | Self::Mark { change, .. } => Some(change),
            _ => None,
        }
    }
}

fn name(field: &str, raw: String, findings: &mut Findings) -> Option<Name> {
    findings.take(field, Name::try_from(raw))
}

fn change(raw: wire::Change, findings: &mut Findings) -> Option<Change> {
    let request = findings.take("request", Label::try_from(raw.request));
    let operator = findings.take("operator", Label::try_from(raw.operator));
    Some(Change {
        base: Revision(raw.base),
        request: request?,
        operator: operator?,
    })
}

fn set(
    path: &str,
    key: &str,
    value: Option<&str>,
    raw: wire::Change,
    findings: &mut Findings,
) -> Option<Command> {
    let node = Path::parse(path, findings);
    let pair = tree::check(node.as_ref(), path, key, value, findings);
    let change = change(raw, findings);
    let (key, value) = pair?;
    Some(Command::Set {
        path: node?,
        key,
        value,
        change: change?,
    })
}

fn convert(raw: wire::Command, findings: &mut Findings) -> Option<Command> {
    match raw {
        wire::Command::Set {
            path,
            key,
            value,
            change,
        } => set(&path, &key, value.as_deref(), change, findings),
        wire::Command::Announce(raw) => announce(raw, findings),
        wire::Command::Mark {
            target,
            state,
            change: raw,
        } => {
            let target = name("target", target, findings);
            let change = change(raw, findings);
            let state = state.into();
            Some(Command::Mark {
                target: target?,
                state,
                change: change?,
            })
        }
        wire::Command::Enroll { instance, domain } => {
            let instance = name("instance", instance, findings);
            let domain = name("domain", domain, findings);
            Some(Command::Enroll {
                instance: instance?,
                domain: domain?,
            })
        }
        wire::Command::Retire { target } => {
            let target = name("target", target, findings)?;
            Some(Command::Retire { target })
        }
        wire::Command::Dismiss { instance } => {
            let instance = name("instance", instance, findings)?;
            Some(Command::Dismiss { instance })
        }
        raw => step(raw, findings),
    }
}

fn announce(raw: wire::Announcement, findings: &mut Findings) -> Option<Command> {
    let place = raw.target.clone();
    // The chain of causes names the field.
    let checked = Announcement::try_from(raw).map_err(|error| format!("{error:#}"));
    findings.take(&place, checked).map(Command::Announce)
}

/// Steps of a change of primary.
fn step(raw: wire::Command, findings: &mut Findings) -> Option<Command> {
    match raw {
        wire::Command::Fence {
            database,
            term,
            hold,
            reason,
        } => {
            if reason.len() > MAX_REASON {
                findings.add("reason", format!("longer than {MAX_REASON} bytes"));
            }
            Some(Command::Fence {
                database: name("database", database, findings)?,
                term: Term(term),
                hold,
                reason,
            })
        }
        wire::Command::Choose {
            database,
            term,
            target,
            point,
        } => {
            let database = name("database", database, findings);
            let target = name("target", target, findings);
            Some(Command::Choose {
                database: database?,
                term: Term(term),
                target: target?,
                point: point.into(),
            })
        }
        wire::Command::Open {
            database,
            term,
            target,
            start,
        } => {
            let database = name("database", database, findings);
            let target = name("target", target, findings);
            Some(Command::Open {
                database: database?,
                term: Term(term),
                target: target?,
                start: Lsn(start),
            })
        }
        _ => None,
    }
}

impl TryFrom<wire::Command> for Command {
    type Error = Findings;

    fn try_from(raw: wire::Command) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        match convert(raw, &mut findings) {
            Some(command) if findings.0.is_empty() => Ok(command),
            _ => Err(findings),
        }
    }
}

impl From<&Change> for wire::Change {
    fn from(core: &Change) -> Self {
        Self {
            base: core.base.0,
            request: core.request.to_string(),
            operator: core.operator.to_string(),
        }
    }
}

impl From<&Command> for wire::Command {
    fn from(core: &Command) -> Self {
        match core {
            Command::Set {
                path,
                key,
                value,
                change,
            } => Self::Set {
                path: path.to_string(),
                key: key.name().to_owned(),
                value: value.map(|value| value.to_string()),
                change: change.into(),
            },
            Command::Announce(announcement) => Self::Announce(announcement.into()),
            Command::Mark {
                target,
                state,
                change,
            } => Self::Mark {
                target: target.to_string(),
                state: (*state).into(),
                change: change.into(),
            },
            Command::Enroll { instance, domain } => Self::Enroll {
                instance: instance.to_string(),
                domain: domain.to_string(),
            },
            Command::Fence {
                database,
                term,
                hold,
                reason,
            } => Self::Fence {
                database: database.to_string(),
                term: term.0,
                hold: *hold,
                reason: reason.clone(),
            },
            Command::Choose {
                database,
                term,
                target,
                point,
            } => Self::Choose {
                database: database.to_string(),
                term: term.0,
                target: target.to_string(),
                point: (*point).into(),
            },
            Command::Open {
                database,
                term,
                target,
                start,
            } => Self::Open {
                database: database.to_string(),
                term: term.0,
                target: target.to_string(),
                start: start.0,
            },
            Command::Retire { target } => Self::Retire {
                target: target.to_string(),
            },
            Command::Dismiss { instance } => Self::Dismiss {
                instance: instance.to_string(),
            },
        }
    }
}

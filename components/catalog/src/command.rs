//! Commands of the replicated log and their conversion from and to messages.

use std::fmt;

use types::target::{Announcement, State};
use types::{Lsn, Name, Point, Revision, Term};

use crate::change::{Change, Findings, Label};
use crate::generated::Key;
use crate::path::Path;
use crate::tree;

/// Longest reason of a fence.
pub const MAX_REASON_BYTES: usize = 200;

/// A well-formed command. The catalog may still refuse it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Sets or removes a value on a node of the tree.
    Set {
        path: Path,
        key: Key,
        /// None removes the value, so that the inherited one applies.
        value: Option<u32>,
        change: Change,
    },
    /// Adds a target or updates its announcement.
    Announce(Announcement),
    /// Sets the operators' state of a target.
    Mark {
        target: Name,
        state: State,
        change: Change,
    },
    /// Registers an entry instance.
    Enroll {
        instance: Name,
        /// Failure domain.
        domain: Name,
    },
    /// Begins a change of primary.
    Fence {
        database: Name,
        /// Term that begins when the change ends.
        term: Term,
        /// Entry instances queue new writes instead of refusing them.
        hold: bool,
        /// Shown to operators. Invariant: at most [`MAX_REASON_BYTES`] bytes.
        reason: String,
    },
    /// Chooses the only target that may be promoted.
    Choose {
        database: Name,
        /// Term of the fence.
        term: Term,
        target: Name,
        /// Position of the target at the choice; the new term may not begin before it.
        point: Point,
    },
    /// Ends a change of primary, or sets the first primary of a database.
    Open {
        database: Name,
        /// Term that begins, or the current term if a fence is undone.
        term: Term,
        /// The primary of the term.
        target: Name,
        /// Position at which the term began.
        start: Lsn,
    },
    /// Removes a target that is leaving.
    Retire { target: Name },
    /// Removes an entry instance that will not return.
    Dismiss { instance: Name },
}

/// One line, as in logs.
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
    /// Metadata, if the command is an operator's change.
    #[must_use]
    pub const fn change(&self) -> Option<&Change> {
        match self {
            Self::Set { change, .. } | Self::Mark { change, .. } => Some(change),
            _ => None,
        }
    }
}

fn parse_name(field: &str, raw: String, findings: &mut Findings) -> Option<Name> {
    findings.ok_or_add(field, Name::try_from(raw))
}

fn convert_change(raw: wire::Change, findings: &mut Findings) -> Option<Change> {
    let request = findings.ok_or_add("request", Label::try_from(raw.request));
    let operator = findings.ok_or_add("operator", Label::try_from(raw.operator));
    Some(Change {
        base: Revision(raw.base),
        request: request?,
        operator: operator?,
    })
}

fn convert_set(
    path: &str,
    key: &str,
    value: Option<&str>,
    raw: wire::Change,
    findings: &mut Findings,
) -> Option<Command> {
    let node = Path::parse(path, findings);
    let key_value = tree::parse_setting(node.as_ref(), path, key, value, findings);
    let change = convert_change(raw, findings);
    let (key, value) = key_value?;
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
        } => convert_set(&path, &key, value.as_deref(), change, findings),
        wire::Command::Announce(raw) => convert_announce(raw, findings),
        wire::Command::Mark {
            target,
            state,
            change: raw,
        } => {
            let target = parse_name("target", target, findings);
            let change = convert_change(raw, findings);
            let state = state.into();
            Some(Command::Mark {
                target: target?,
                state,
                change: change?,
            })
        }
        wire::Command::Enroll { instance, domain } => {
            let instance = parse_name("instance", instance, findings);
            let domain = parse_name("domain", domain, findings);
            Some(Command::Enroll {
                instance: instance?,
                domain: domain?,
            })
        }
        wire::Command::Retire { target } => {
            let target = parse_name("target", target, findings)?;
            Some(Command::Retire { target })
        }
        wire::Command::Dismiss { instance } => {
            let instance = parse_name("instance", instance, findings)?;
            Some(Command::Dismiss { instance })
        }
        raw => convert_primary_change(raw, findings),
    }
}

fn convert_announce(raw: wire::Announcement, findings: &mut Findings) -> Option<Command> {
    let target = raw.target.clone();
    // The alternate format prints the whole chain of causes, which includes the field's name.
    let checked = Announcement::try_from(raw).map_err(|error| format!("{error:#}"));
    findings.ok_or_add(&target, checked).map(Command::Announce)
}

/// Converts a command of a change of primary.
fn convert_primary_change(raw: wire::Command, findings: &mut Findings) -> Option<Command> {
    match raw {
        wire::Command::Fence {
            database,
            term,
            hold,
            reason,
        } => {
            if reason.len() > MAX_REASON_BYTES {
                findings.add("reason", format!("longer than {MAX_REASON_BYTES} bytes"));
            }
            Some(Command::Fence {
                database: parse_name("database", database, findings)?,
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
            let database = parse_name("database", database, findings);
            let target = parse_name("target", target, findings);
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
            let database = parse_name("database", database, findings);
            let target = parse_name("target", target, findings);
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
    fn from(change: &Change) -> Self {
        Self {
            base: change.base.0,
            request: change.request.to_string(),
            operator: change.operator.to_string(),
        }
    }
}

impl From<&Command> for wire::Command {
    fn from(command: &Command) -> Self {
        match command {
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

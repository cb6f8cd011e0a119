//! Requests of the administration API.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use percent_encoding::percent_decode_str;
use serde_json::Value;
use settings::Invalid;
use types::target::{Announcement, State};
use types::{Name, Revision};

use crate::body::{self, Body};
use crate::convert::{Fields, announcement};
use crate::{Fault, Path, api};

/// A request as it came over HTTP.
#[derive(Clone, Copy, Debug)]
pub struct Raw<'a> {
    /// Method.
    pub method: &'a Method,
    /// Path, not decoded.
    pub path: &'a str,
    /// Query without the question mark, not decoded.
    pub query: Option<&'a str>,
    /// Body.
    pub body: &'a [u8],
}

/// What every change carries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Revision that the change is based on.
    pub base: Revision,
    /// Request id. Invariant: 1 to 64 characters.
    pub request: String,
    /// Who asks. Invariant: 1 to 128 characters.
    pub operator: String,
}

/// A checked request.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// The whole system.
    Status,
    /// All targets.
    Targets,
    /// A target says what it is; it holds for `ttl`.
    Announce {
        /// What the target says.
        announcement: Announcement,
        /// How long it holds.
        ttl: Duration,
    },
    /// Sets the state of a target.
    Mark {
        /// The target.
        target: Name,
        /// Its new state.
        state: State,
        /// The change.
        change: Change,
    },
    /// Removes a target that has left.
    Retire {
        /// The target.
        target: Name,
        /// The change.
        change: Change,
    },
    /// Values in force at a node.
    Settings(Path),
    /// Where the values in force at a node come from.
    Explain(Path),
    /// Changes at a node.
    History(Path),
    /// Sets or removes a value.
    Set {
        /// Node of the tree.
        path: Path,
        /// Key of the setting.
        key: String,
        /// The value; none removes it.
        value: Option<Value>,
        /// The change.
        change: Change,
    },
    /// Control instances.
    Members,
    /// Adds a control instance as a learner.
    Join {
        /// Its name.
        instance: Name,
        /// Its link address.
        address: SocketAddr,
        /// Identity of its disk; none takes the one that the instance reports.
        disk: Option<u64>,
        /// The change.
        change: Change,
    },
    /// Makes a learner a voter.
    Promote {
        /// The control instance.
        instance: Name,
        /// The change.
        change: Change,
    },
    /// Removes a control instance.
    Remove {
        /// The control instance.
        instance: Name,
        /// The change.
        change: Change,
    },
    /// Moves the primary of a database in a planned way.
    Switch {
        /// The database.
        database: Name,
        /// New primary; none takes the most advanced replica.
        target: Option<Name>,
        /// The change.
        change: Change,
    },
}

impl Request {
    /// Whether the request changes something, so that only the leader may answer it.
    #[must_use]
    pub fn is_change(&self) -> bool {
        matches!(
            self,
            Self::Mark { .. }
                | Self::Retire { .. }
                | Self::Set { .. }
                | Self::Join { .. }
                | Self::Promote { .. }
                | Self::Remove { .. }
                | Self::Switch { .. }
        )
    }
}

impl TryFrom<Raw<'_>> for Request {
    /// Why the request can't be carried out as it is.
    type Error = Fault;

    fn try_from(raw: Raw<'_>) -> Result<Self, Fault> {
        let parts: Vec<&str> = raw.path.split('/').collect();
        let &["", "v1", ref rest @ ..] = parts.as_slice() else {
            return Err(Fault::not_found(raw.path));
        };
        match (raw.method.as_str(), rest) {
            ("GET", ["status"]) => plain(raw, Self::Status),
            ("GET", ["targets"]) => plain(raw, Self::Targets),
            ("GET", ["members"]) => plain(raw, Self::Members),
            ("GET", ["settings"]) => node(raw).map(Self::Settings),
            ("GET", ["settings", "explain"]) => node(raw).map(Self::Explain),
            ("GET", ["settings", "history"]) => node(raw).map(Self::History),
            ("PUT", ["targets", target]) => announce(raw, target),
            ("POST", ["targets", target, "state"]) => mark(raw, target),
            ("DELETE", ["targets", target]) => {
                subject(raw, target).map(|(target, change)| Self::Retire { target, change })
            }
            ("POST", ["settings"]) => set(raw),
            ("POST", ["members"]) => join(raw),
            ("POST", ["members", instance, "promote"]) => {
                subject(raw, instance).map(|(instance, change)| Self::Promote { instance, change })
            }
            ("DELETE", ["members", instance]) => {
                subject(raw, instance).map(|(instance, change)| Self::Remove { instance, change })
            }
            ("POST", ["databases", database, "switch"]) => switch(raw, database),
            (_, rest) => Err(match methods(rest) {
                Some(methods) => Fault::bad_method(raw.method, methods),
                None => Fault::not_found(raw.path),
            }),
        }
    }
}

/// Methods of a known path.
fn methods(rest: &[&str]) -> Option<&'static str> {
    match rest {
        ["status" | "targets"] | ["settings", "explain" | "history"] => Some("GET"),
        ["settings" | "members"] => Some("GET or POST"),
        ["targets", _] => Some("PUT or DELETE"),
        ["members", _] => Some("DELETE"),
        ["targets", _, "state"] | ["members", _, "promote"] | ["databases", _, "switch"] => {
            Some("POST")
        }
        _ => None,
    }
}

/// A request without parameters.
fn plain(raw: Raw<'_>, request: Request) -> Result<Request, Fault> {
    parameters(raw, &[])?;
    Ok(request)
}

fn node(raw: Raw<'_>) -> Result<Path, Fault> {
    let path = parameters(raw, &["path"])?.pop().unwrap_or_default();
    Path::try_from(path.as_str()).map_err(|text| one("path", text))
}

/// Values of the known parameters of the query. A repeated one is a finding, as is an unknown one.
fn parameters(raw: Raw<'_>, known: &[&str]) -> Result<Vec<String>, Fault> {
    let mut fields = Fields::default();
    let mut values = Vec::new();
    for pair in raw.query.unwrap_or_default().split('&') {
        if pair.is_empty() {
            continue;
        }
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        match percent_decode_str(value).decode_utf8() {
            _ if !known.contains(&key) => fields.push(key, "unknown parameter"),
            Ok(value) if values.len() < known.len() => values.push(value.into_owned()),
            Ok(_) => fields.push(key, "given twice"),
            Err(_) => fields.push(key, "is no UTF-8"),
        }
    }
    if fields.0.is_empty() {
        Ok(values)
    } else {
        Err(Fault::findings(fields.0))
    }
}

fn announce(raw: Raw<'_>, target: &str) -> Result<Request, Fault> {
    let body: api::Announcement = parse(raw)?;
    let mut fields = Fields::default();
    let target = fields.convert("name", target);
    let ttl = fields.convert("/ttl_ms", body.ttl_ms);
    let announcement = announcement(target, &body, &mut fields);
    match (announcement, ttl) {
        (Some(announcement), Some(ttl)) => Ok(Request::Announce {
            announcement,
            ttl: Duration::from_millis(ttl),
        }),
        _ => Err(Fault::findings(fields.0)),
    }
}

fn mark(raw: Raw<'_>, target: &str) -> Result<Request, Fault> {
    let target = name(target)?;
    let body: api::Mark = parse(raw)?;
    Ok(Request::Mark {
        target,
        state: body.state.into(),
        change: change(body.base, body.request, body.operator),
    })
}

/// Name and change of a request that says no more.
fn subject(raw: Raw<'_>, subject: &str) -> Result<(Name, Change), Fault> {
    let subject = name(subject)?;
    let body: api::Retire = parse(raw)?;
    Ok((subject, change(body.base, body.request, body.operator)))
}

fn set(raw: Raw<'_>) -> Result<Request, Fault> {
    let body: api::Set = parse(raw)?;
    Ok(Request::Set {
        path: Path::try_from(body.path.as_str()).map_err(|text| one("/path", text))?,
        key: body.key,
        value: Some(body.value).filter(|value| !value.is_null()),
        change: change(body.base, body.request, body.operator),
    })
}

fn join(raw: Raw<'_>) -> Result<Request, Fault> {
    let body: api::Join = parse(raw)?;
    let mut fields = Fields::default();
    let instance = fields.convert("/instance", body.instance.as_str());
    let address = fields.address("/address", &body.address);
    let disk = body.disk.map(|disk| u64::from_str_radix(&disk, 16));
    match (instance, address, disk.transpose()) {
        (Some(instance), Some(address), Ok(disk)) => Ok(Request::Join {
            instance,
            address,
            disk,
            change: change(body.base, body.request, body.operator),
        }),
        _ => Err(Fault::findings(fields.0)),
    }
}

fn switch(raw: Raw<'_>, database: &str) -> Result<Request, Fault> {
    let database = name(database)?;
    let body: api::Switch = parse(raw)?;
    let target = body.target.map(Name::try_from).transpose();
    Ok(Request::Switch {
        database,
        target: target.map_err(|error| one("/target", error.to_string()))?,
        change: change(body.base, body.request, body.operator),
    })
}

fn change(base: u64, request: api::Id, operator: api::Operator) -> Change {
    Change {
        base: Revision(base),
        request: request.into(),
        operator: operator.into(),
    }
}

fn parse<T: Body>(raw: Raw<'_>) -> Result<T, Fault> {
    parameters(raw, &[])?;
    body::parse(raw.body).map_err(Fault::findings)
}

fn name(raw: &str) -> Result<Name, Fault> {
    Name::try_from(raw).map_err(|error| one("name", error.to_string()))
}

fn one(path: &str, text: String) -> Fault {
    Fault::findings(vec![Invalid {
        path: path.to_owned(),
        text,
    }])
}

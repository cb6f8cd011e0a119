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
use crate::convert::{Findings, parse_announcement};
use crate::{Fault, Path, api};

/// An HTTP request before parsing.
#[derive(Clone, Copy, Debug)]
pub struct Raw<'a> {
    pub method: &'a Method,
    /// Path, still percent-encoded.
    pub path: &'a str,
    /// Query without the question mark, still percent-encoded.
    pub query: Option<&'a str>,
    pub body: &'a [u8],
}

/// Fields that every change has.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Revision that the change is based on.
    pub base: Revision,
    /// Request id, the same in every resend. Invariant: 1 to 64 characters.
    pub request: String,
    /// Name of the operator. Invariant: 1 to 128 characters.
    pub operator: String,
}

/// A validated request.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Reads the status of the whole system.
    Status,
    /// Reads all targets.
    Targets,
    /// Announces a target.
    Announce {
        announcement: Announcement,
        /// Time for which the announcement holds.
        ttl: Duration,
    },
    /// Sets the state of a target.
    Mark {
        target: Name,
        /// New state.
        state: State,
        change: Change,
    },
    /// Removes a target that has left.
    Retire { target: Name, change: Change },
    /// Reads the values in force at a node.
    Settings(Path),
    /// Reads the sources of the values in force at a node.
    Explain(Path),
    /// Reads the changes at a node.
    History(Path),
    /// Sets or removes a value at a node.
    Set {
        path: Path,
        /// Key of the setting.
        key: String,
        /// The new value; `None` removes the present one.
        value: Option<Value>,
        change: Change,
    },
    /// Reads the list of control instances.
    Members,
    /// Adds a control instance as a learner.
    Join {
        instance: Name,
        /// Address for streams between control instances.
        address: SocketAddr,
        /// Identity of its disk; `None` uses the one that the instance reports.
        disk: Option<u64>,
        change: Change,
    },
    /// Makes a learner a voter.
    Promote { instance: Name, change: Change },
    /// Removes a control instance.
    Remove { instance: Name, change: Change },
    /// Starts a planned change of the primary of a database.
    Switch {
        database: Name,
        /// New primary; `None` chooses the most advanced replica.
        target: Option<Name>,
        change: Change,
    },
}

impl Request {
    /// Whether the request is a change that needs a commit by the control instances.
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
    type Error = Fault;

    fn try_from(raw: Raw<'_>) -> Result<Self, Fault> {
        let parts: Vec<&str> = raw.path.split('/').collect();
        let &["", "v1", ref segments @ ..] = parts.as_slice() else {
            return Err(Fault::not_found(raw.path));
        };
        match (raw.method.as_str(), segments) {
            ("GET", ["status"]) => without_parameters(raw, Self::Status),
            ("GET", ["targets"]) => without_parameters(raw, Self::Targets),
            ("GET", ["members"]) => without_parameters(raw, Self::Members),
            ("GET", ["settings"]) => parse_node_path(raw).map(Self::Settings),
            ("GET", ["settings", "explain"]) => parse_node_path(raw).map(Self::Explain),
            ("GET", ["settings", "history"]) => parse_node_path(raw).map(Self::History),
            ("PUT", ["targets", target]) => parse_announce(raw, target),
            ("POST", ["targets", target, "state"]) => parse_mark(raw, target),
            ("DELETE", ["targets", target]) => parse_named_change(raw, target)
                .map(|(target, change)| Self::Retire { target, change }),
            ("POST", ["settings"]) => parse_set(raw),
            ("POST", ["members"]) => parse_join(raw),
            ("POST", ["members", instance, "promote"]) => parse_named_change(raw, instance)
                .map(|(instance, change)| Self::Promote { instance, change }),
            ("DELETE", ["members", instance]) => parse_named_change(raw, instance)
                .map(|(instance, change)| Self::Remove { instance, change }),
            ("POST", ["databases", database, "switch"]) => parse_switch(raw, database),
            (_, segments) => Err(match allowed_methods(segments) {
                Some(methods) => Fault::bad_method(raw.method, methods),
                None => Fault::not_found(raw.path),
            }),
        }
    }
}

/// Methods of a path without its version; `None` if the path does not exist.
fn allowed_methods(segments: &[&str]) -> Option<&'static str> {
    match segments {
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

/// Accepts a request without query parameters.
fn without_parameters(raw: Raw<'_>, request: Request) -> Result<Request, Fault> {
    parse_query(raw, &[])?;
    Ok(request)
}

fn parse_node_path(raw: Raw<'_>) -> Result<Path, Fault> {
    let path = parse_query(raw, &["path"])?.pop().unwrap_or_default();
    Path::try_from(path.as_str()).map_err(|text| single_finding("path", text))
}

/// Values of the known query parameters. Repeated and unknown parameters are findings.
fn parse_query(raw: Raw<'_>, known: &[&str]) -> Result<Vec<String>, Fault> {
    let mut findings = Findings::default();
    let mut values = Vec::new();
    for pair in raw.query.unwrap_or_default().split('&') {
        if pair.is_empty() {
            continue;
        }
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        match percent_decode_str(value).decode_utf8() {
            _ if !known.contains(&key) => findings.push(key, "unknown parameter"),
            Ok(value) if values.len() < known.len() => values.push(value.into_owned()),
            Ok(_) => findings.push(key, "given twice"),
            Err(_) => findings.push(key, "is no UTF-8"),
        }
    }
    if findings.0.is_empty() {
        Ok(values)
    } else {
        Err(Fault::findings(findings.0))
    }
}

fn parse_announce(raw: Raw<'_>, target: &str) -> Result<Request, Fault> {
    let body: api::Announcement = parse_body(raw)?;
    let mut findings = Findings::default();
    let target = findings.convert("name", target);
    let ttl = findings.convert("/ttl_ms", body.ttl_ms);
    let announcement = parse_announcement(target, &body, &mut findings);
    match (announcement, ttl) {
        (Some(announcement), Some(ttl)) => Ok(Request::Announce {
            announcement,
            ttl: Duration::from_millis(ttl),
        }),
        _ => Err(Fault::findings(findings.0)),
    }
}

fn parse_mark(raw: Raw<'_>, target: &str) -> Result<Request, Fault> {
    let target = parse_name(target)?;
    let body: api::Mark = parse_body(raw)?;
    Ok(Request::Mark {
        target,
        state: body.state.into(),
        change: new_change(body.base, body.request, body.operator),
    })
}

/// Parses a change that consists only of the name in its path and the fields of every change.
fn parse_named_change(raw: Raw<'_>, name: &str) -> Result<(Name, Change), Fault> {
    let name = parse_name(name)?;
    let body: api::Retire = parse_body(raw)?;
    Ok((name, new_change(body.base, body.request, body.operator)))
}

fn parse_set(raw: Raw<'_>) -> Result<Request, Fault> {
    let body: api::Set = parse_body(raw)?;
    Ok(Request::Set {
        path: Path::try_from(body.path.as_str()).map_err(|text| single_finding("/path", text))?,
        key: body.key,
        value: Some(body.value).filter(|value| !value.is_null()),
        change: new_change(body.base, body.request, body.operator),
    })
}

fn parse_join(raw: Raw<'_>) -> Result<Request, Fault> {
    let body: api::Join = parse_body(raw)?;
    let mut findings = Findings::default();
    let instance = findings.convert("/instance", body.instance.as_str());
    let address = findings.parse_address("/address", &body.address);
    let disk = body.disk.map(|disk| u64::from_str_radix(&disk, 16));
    match (instance, address, disk.transpose()) {
        (Some(instance), Some(address), Ok(disk)) => Ok(Request::Join {
            instance,
            address,
            disk,
            change: new_change(body.base, body.request, body.operator),
        }),
        _ => Err(Fault::findings(findings.0)),
    }
}

fn parse_switch(raw: Raw<'_>, database: &str) -> Result<Request, Fault> {
    let database = parse_name(database)?;
    let body: api::Switch = parse_body(raw)?;
    let target = body.target.map(Name::try_from).transpose();
    Ok(Request::Switch {
        database,
        target: target.map_err(|error| single_finding("/target", error.to_string()))?,
        change: new_change(body.base, body.request, body.operator),
    })
}

fn new_change(base: u64, request: api::Id, operator: api::Operator) -> Change {
    Change {
        base: Revision(base),
        request: request.into(),
        operator: operator.into(),
    }
}

fn parse_body<T: Body>(raw: Raw<'_>) -> Result<T, Fault> {
    parse_query(raw, &[])?;
    body::parse(raw.body).map_err(Fault::findings)
}

fn parse_name(raw: &str) -> Result<Name, Fault> {
    Name::try_from(raw).map_err(|error| single_finding("name", error.to_string()))
}

fn single_finding(path: &str, text: String) -> Fault {
    Fault::findings(vec![Invalid {
        path: path.to_owned(),
        text,
    }])
}

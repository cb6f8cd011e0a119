//! Replies of the administration API, with their status codes and JSON bodies.

use http::{Method, StatusCode};
use serde::Serialize;
use settings::Invalid;

use crate::api::{self, Reason};

/// Reply to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Status of the whole system.
    Status(api::Status),
    /// All targets.
    Targets(api::Targets),
    /// Values in force at a node.
    Settings(api::Settings),
    /// Sources of the values in force at a node.
    Explanation(api::Explanation),
    /// Changes at a node.
    History(api::History),
    /// Control instances.
    Members(api::Members),
    /// A quorum committed the change.
    Accepted(api::Accepted),
    /// The announcement is accepted; it holds for its time to live.
    Announced,
    /// A concurrent change was accepted instead.
    Conflict(api::Conflict),
    /// The request is invalid.
    Findings(Vec<api::Finding>),
    /// Only the leader can answer. Holds the URL of the same request at the leader, if that is
    /// known.
    NotLeader(Option<String>),
    /// The request was not carried out.
    Failed(Reason, String),
}

/// A reply encoded for HTTP.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Encoded {
    pub status: StatusCode,
    /// JSON, or empty for a status without a body.
    pub body: String,
    /// URL of a redirect.
    pub location: Option<String>,
}

impl Reply {
    /// No quorum confirms this instance as leader, so that it can neither read nor change anything.
    /// A change that is already in its log gets [`Self::outcome_unknown`] instead.
    #[must_use]
    pub fn no_quorum() -> Self {
        let text = "no quorum of control instances confirms this one";
        Self::Failed(Reason::NoQuorum, text.to_owned())
    }

    /// The change is in the log, but this instance lost leadership before its commit, so a later
    /// leader may still commit it.
    #[must_use]
    pub fn outcome_unknown() -> Self {
        let text = "it is unknown whether the change was accepted";
        Self::Failed(Reason::Unknown, text.to_owned())
    }

    #[must_use]
    pub fn unauthorized() -> Self {
        let text = "the bearer token is missing or wrong";
        Self::Failed(Reason::Unauthorized, text.to_owned())
    }

    /// Nothing of that name exists.
    #[must_use]
    pub fn not_found(name: &str) -> Self {
        Fault::not_found(name).into()
    }

    /// The request is valid, but the state of the system forbids it.
    #[must_use]
    pub fn refused(text: String) -> Self {
        Self::Failed(Reason::Refused, text)
    }

    /// Encodes the reply as status, JSON and redirect.
    #[must_use]
    pub fn encode(&self) -> Encoded {
        match self {
            Self::Status(body) => encode_json(StatusCode::OK, body),
            Self::Targets(body) => encode_json(StatusCode::OK, body),
            Self::Settings(body) => encode_json(StatusCode::OK, body),
            Self::Explanation(body) => encode_json(StatusCode::OK, body),
            Self::History(body) => encode_json(StatusCode::OK, body),
            Self::Members(body) => encode_json(StatusCode::OK, body),
            Self::Accepted(body) => encode_json(StatusCode::OK, body),
            Self::Announced => Encoded {
                status: StatusCode::NO_CONTENT,
                body: String::new(),
                location: None,
            },
            Self::Conflict(body) => encode_json(StatusCode::CONFLICT, body),
            Self::Findings(findings) => {
                let findings = findings.clone();
                let body = api::Findings { findings };
                encode_json(StatusCode::UNPROCESSABLE_ENTITY, &body)
            }
            Self::NotLeader(Some(url)) => Encoded {
                location: Some(url.clone()),
                ..encode_failure(
                    StatusCode::TEMPORARY_REDIRECT,
                    Reason::NotLeader,
                    "ask the leader",
                )
            },
            Self::NotLeader(None) => encode_failure(
                StatusCode::SERVICE_UNAVAILABLE,
                Reason::NotLeader,
                "this instance does not lead and knows no leader",
            ),
            Self::Failed(reason, text) => encode_failure(status_code(*reason), *reason, text),
        }
    }
}

/// Reason why a request was rejected during parsing.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Findings about its fields or parameters.
    Findings(Vec<api::Finding>),
    /// Rejection of the request as a whole.
    Failed(Reason, String),
}

impl Fault {
    pub(crate) fn not_found(name: &str) -> Self {
        Self::Failed(Reason::NotFound, format!("{name} does not exist"))
    }

    pub(crate) fn bad_method(method: &Method, methods: &str) -> Self {
        Self::Failed(Reason::BadMethod, format!("use {methods}, not {method}"))
    }

    pub(crate) fn findings(found: Vec<Invalid>) -> Self {
        let finding = |Invalid { path, text }| api::Finding { path, text };
        Self::Findings(found.into_iter().map(finding).collect())
    }
}

impl From<Fault> for Reply {
    fn from(fault: Fault) -> Self {
        match fault {
            Fault::Findings(findings) => Self::Findings(findings),
            Fault::Failed(reason, text) => Self::Failed(reason, text),
        }
    }
}

fn status_code(reason: Reason) -> StatusCode {
    match reason {
        Reason::NoQuorum | Reason::NotLeader | Reason::Unknown => StatusCode::SERVICE_UNAVAILABLE,
        Reason::Unauthorized => StatusCode::UNAUTHORIZED,
        Reason::NotFound => StatusCode::NOT_FOUND,
        Reason::BadMethod => StatusCode::METHOD_NOT_ALLOWED,
        Reason::Refused => StatusCode::PRECONDITION_FAILED,
    }
}

fn encode_failure(status: StatusCode, reason: Reason, text: &str) -> Encoded {
    let text = text.to_owned();
    encode_json(status, &api::Failure { reason, text })
}

fn encode_json(status: StatusCode, body: &impl Serialize) -> Encoded {
    match serde_json::to_string(body) {
        Ok(body) => Encoded {
            status,
            body,
            location: None,
        },
        // Does not happen: maps of schema types have string keys, so these always serialize to
        // JSON.
        Err(error) => Encoded {
            status: StatusCode::INTERNAL_SERVER_ERROR,
            body: error.to_string(),
            location: None,
        },
    }
}

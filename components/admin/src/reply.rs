//! Replies of the administration API, their status codes and their JSON.

use http::{Method, StatusCode};
use serde::Serialize;
use settings::Invalid;

use crate::api::{self, Reason};

/// An answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The whole system.
    Status(api::Status),
    /// All targets.
    Targets(api::Targets),
    /// Values in force at a node.
    Settings(api::Settings),
    /// Where the values come from.
    Explanation(api::Explanation),
    /// Changes at a node.
    History(api::History),
    /// Control instances.
    Members(api::Members),
    /// A quorum has committed the change.
    Accepted(api::Accepted),
    /// The announcement holds until its deadline.
    Announced,
    /// Another change won.
    Conflict(api::Conflict),
    /// What is wrong in the request.
    Findings(Vec<api::Finding>),
    /// Only the leader can answer. The URL repeats path and query at the leader, if it is known.
    Elsewhere(Option<String>),
    /// The request was not carried out.
    Failed(Reason, String),
}

/// An answer as it goes over HTTP.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Encoded {
    /// Status.
    pub status: StatusCode,
    /// JSON; empty for a status without a body.
    pub body: String,
    /// URL of a redirect.
    pub location: Option<String>,
}

impl Reply {
    /// No quorum has confirmed this instance, so that it can neither read nor change anything. A
    /// change that is in its log already gets [`Self::unknown`] instead.
    #[must_use]
    pub fn no_quorum() -> Self {
        let text = "no quorum of control instances confirms this one";
        Self::Failed(Reason::NoQuorum, text.to_owned())
    }

    /// The change is in the log, but this instance stopped leading before it was committed, so that
    /// a later leader may commit it.
    #[must_use]
    pub fn unknown() -> Self {
        let text = "it is unknown whether the change was accepted";
        Self::Failed(Reason::Unknown, text.to_owned())
    }

    /// The bearer token is missing or wrong.
    #[must_use]
    pub fn unauthorized() -> Self {
        let text = "the bearer token is missing or wrong";
        Self::Failed(Reason::Unauthorized, text.to_owned())
    }

    /// Nothing of that name.
    #[must_use]
    pub fn not_found(name: &str) -> Self {
        Fault::not_found(name).into()
    }

    /// The request is well formed, but the state of the system forbids it.
    #[must_use]
    pub fn refused(text: String) -> Self {
        Self::Failed(Reason::Refused, text)
    }

    /// The answer as status and JSON.
    #[must_use]
    pub fn encode(&self) -> Encoded {
        match self {
            Self::Status(body) => encoded(StatusCode::OK, body),
            Self::Targets(body) => encoded(StatusCode::OK, body),
            Self::Settings(body) => encoded(StatusCode::OK, body),
            Self::Explanation(body) => encoded(StatusCode::OK, body),
            Self::History(body) => encoded(StatusCode::OK, body),
            Self::Members(body) => encoded(StatusCode::OK, body),
            Self::Accepted(body) => encoded(StatusCode::OK, body),
            Self::Announced => Encoded {
                status: StatusCode::NO_CONTENT,
                body: String::new(),
                location: None,
            },
            Self::Conflict(body) => encoded(StatusCode::CONFLICT, body),
            Self::Findings(findings) => {
                let findings = findings.clone();
                let body = api::Findings { findings };
                encoded(StatusCode::UNPROCESSABLE_ENTITY, &body)
            }
            Self::Elsewhere(Some(url)) => Encoded {
                location: Some(url.clone()),
                ..failure(
                    StatusCode::TEMPORARY_REDIRECT,
                    Reason::NotLeader,
                    "ask the leader",
                )
            },
            Self::Elsewhere(None) => failure(
                StatusCode::SERVICE_UNAVAILABLE,
                Reason::NotLeader,
                "this instance does not lead and knows no leader",
            ),
            Self::Failed(reason, text) => failure(status(*reason), *reason, text),
        }
    }
}

/// What is wrong with a request that was not even tried.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Faults of its fields.
    Findings(Vec<api::Finding>),
    /// The request as a whole.
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

fn status(reason: Reason) -> StatusCode {
    match reason {
        Reason::NoQuorum | Reason::NotLeader | Reason::Unknown => StatusCode::SERVICE_UNAVAILABLE,
        Reason::Unauthorized => StatusCode::UNAUTHORIZED,
        Reason::NotFound => StatusCode::NOT_FOUND,
        Reason::BadMethod => StatusCode::METHOD_NOT_ALLOWED,
        Reason::Refused => StatusCode::PRECONDITION_FAILED,
    }
}

fn failure(status: StatusCode, reason: Reason, text: &str) -> Encoded {
    let text = text.to_owned();
    encoded(status, &api::Failure { reason, text })
}

fn encoded(status: StatusCode, body: &impl Serialize) -> Encoded {
    match serde_json::to_string(body) {
        Ok(body) => Encoded {
            status,
            body,
            location: None,
        },
        // Types of the schema have string keys and so always have a JSON form.
        Err(error) => Encoded {
            status: StatusCode::INTERNAL_SERVER_ERROR,
            body: error.to_string(),
            location: None,
        },
    }
}

//! Answers to a call, and the outcome of a call over several attempts.

use anyhow::{Result, anyhow};
use http::StatusCode;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::api;

/// An answer of a control instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub status: StatusCode,
    /// JSON; null for a reply without a body, and a string for a body that is not JSON.
    pub body: Value,
}

/// Failure of a call to which no instance gave a final answer.
#[derive(Debug)]
pub struct Error {
    /// Whether an instance may have carried the call out. Invariant: false if no instance received
    /// the whole call, or if all that received it answered that they did not carry it out.
    pub outcome_unknown: bool,
    pub cause: anyhow::Error,
}

/// Why a call was not carried out.
#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    /// A concurrent change was accepted instead.
    Conflict(api::Conflict),
    /// The request is invalid.
    Findings(Vec<api::Finding>),
    /// Any other reason.
    Failure(api::Failure),
    /// The reply does not belong to this API.
    Unrecognized(StatusCode, String),
}

impl Answer {
    /// Decodes the body of a successful answer.
    ///
    /// # Errors
    /// Returns the refusal for any other answer.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, Refusal> {
        let refusal = match self.status {
            StatusCode::OK => return self.parse_body(),
            StatusCode::CONFLICT => self.parse_body().map(Refusal::Conflict),
            StatusCode::UNPROCESSABLE_ENTITY => self
                .parse_body()
                .map(|body: api::Findings| Refusal::Findings(body.findings)),
            _ => self.parse_body().map(Refusal::Failure),
        };
        Err(refusal.unwrap_or_else(|unrecognized| unrecognized))
    }

    /// Whether the outcome of the attempt is known from this answer. An HTTP server that timed out
    /// while it waited for its process answers with status 503 and a text that is no
    /// [`api::Failure`].
    fn is_settled(&self) -> bool {
        let reason = || api::Failure::deserialize(&self.body).map(|failure| failure.reason);
        self.status != StatusCode::SERVICE_UNAVAILABLE
            || reason().is_ok_and(|reason| reason != api::Reason::Unknown)
    }

    fn parse_body<T: DeserializeOwned>(&self) -> Result<T, Refusal> {
        T::deserialize(&self.body).map_err(|error| {
            Refusal::Unrecognized(self.status, format!("{error} in {}", self.body))
        })
    }
}

/// Outcome of a call over all its attempts so far.
#[derive(Debug)]
pub struct Attempts {
    /// Whether the call changes something, so that a lost answer leaves its outcome unknown.
    is_change: bool,
    outcome_unknown: bool,
    last_result: Result<Answer>,
}

impl Attempts {
    /// Creates the record of a call that was not attempted yet.
    #[must_use]
    pub fn new(is_change: bool) -> Self {
        Self {
            is_change,
            outcome_unknown: false,
            last_result: Err(anyhow!("no control address is given")),
        }
    }

    /// Records the result of an attempt. Returns the answer if it is final.
    ///
    /// `sent` says whether the instance may have received the call, in case there is no answer.
    pub fn record(&mut self, answer: Result<Answer>, sent: bool) -> Option<Answer> {
        let settled = answer.as_ref().map_or(!sent, Answer::is_settled);
        self.outcome_unknown |= self.is_change && !settled;
        match answer {
            Ok(answer) if answer.status != StatusCode::SERVICE_UNAVAILABLE => return Some(answer),
            // Keeps an earlier reply, which tells more than a lost connection.
            Err(_) if self.last_result.is_ok() => {}
            other => self.last_result = other,
        }
        None
    }

    /// Returns the last answer to a call that got no final one.
    ///
    /// # Errors
    /// Fails if there was no answer, and if the outcome is unknown: another instance may have
    /// accepted what the last one refused.
    pub fn finish(self) -> Result<Answer, Error> {
        let outcome_unknown = self.outcome_unknown;
        match self.last_result {
            Ok(answer) if !outcome_unknown => Ok(answer),
            Ok(answer) => Err(Error {
                outcome_unknown,
                cause: anyhow!("the last reply was {}", answer.body),
            }),
            Err(cause) => Err(Error {
                outcome_unknown,
                cause,
            }),
        }
    }
}

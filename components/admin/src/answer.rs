//! Answers to a call, and what they say together about its outcome.

use anyhow::{Result, anyhow};
use http::StatusCode;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::api;

/// An answer of a control instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// JSON; null for a reply without a body.
    pub body: Value,
}

/// No instance gave an answer that settles the call.
#[derive(Debug)]
pub struct Unanswered {
    /// An instance may have carried the call out. Invariant: false if none got all of it, or if all
    /// that got it said that they did not.
    pub unknown: bool,
    /// The last error.
    pub cause: anyhow::Error,
}

/// Why a call was not carried out.
#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    /// Another change won.
    Conflict(api::Conflict),
    /// The request has faults.
    Findings(Vec<api::Finding>),
    /// Any other reason.
    Failure(api::Failure),
    /// A reply that is not of this API.
    Unknown(StatusCode, String),
}

impl Answer {
    /// The reply, or why there is none.
    ///
    /// # Errors
    /// Returns the refusal.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, Refusal> {
        let reply = match self.status {
            StatusCode::OK => return self.read(),
            StatusCode::CONFLICT => self.read().map(Refusal::Conflict),
            StatusCode::UNPROCESSABLE_ENTITY => self
                .read()
                .map(|body: api::Findings| Refusal::Findings(body.findings)),
            _ => self.read().map(Refusal::Failure),
        };
        Err(reply.unwrap_or_else(|unknown| unknown))
    }

    /// Whether the call will not be carried out after this answer. A server that gave up waiting for
    /// its process answers with a text in place of a reason.
    fn is_settled(&self) -> bool {
        let reason = || api::Failure::deserialize(&self.body).map(|failure| failure.reason);
        self.status != StatusCode::SERVICE_UNAVAILABLE
            || reason().is_ok_and(|reason| reason != api::Reason::Unknown)
    }

    fn read<T: DeserializeOwned>(&self) -> Result<T, Refusal> {
        T::deserialize(&self.body)
            .map_err(|error| Refusal::Unknown(self.status, format!("{error} in {}", self.body)))
    }
}

/// Outcome of a call over all its attempts.
#[derive(Debug)]
pub struct Tally {
    /// Whether the call changes something, so that a lost answer leaves doubt.
    change: bool,
    unknown: bool,
    last: Result<Answer>,
}

impl Tally {
    /// A call without an attempt.
    #[must_use]
    pub fn new(change: bool) -> Self {
        Self {
            change,
            unknown: false,
            last: Err(anyhow!("no control address is given")),
        }
    }

    /// Takes the result of an attempt. Returns the answer if it ends the call.
    ///
    /// `sent` says whether the instance may have got the call, in case that there is no answer.
    pub fn on_attempt(&mut self, answer: Result<Answer>, sent: bool) -> Option<Answer> {
        let settled = answer.as_ref().map_or(!sent, Answer::is_settled);
        self.unknown |= self.change && !settled;
        match answer {
            Ok(answer) if answer.status != StatusCode::SERVICE_UNAVAILABLE => return Some(answer),
            // A reply says more than a lost connection.
            Err(_) if self.last.is_ok() => {}
            other => self.last = other,
        }
        None
    }

    /// The result of a call that no attempt ended.
    ///
    /// # Errors
    /// Fails without an answer, and after a lost one: what one instance refused, another may have
    /// accepted.
    pub fn end(self) -> Result<Answer, Unanswered> {
        let unknown = self.unknown;
        match self.last {
            Ok(answer) if !unknown => Ok(answer),
            Ok(answer) => Err(Unanswered {
                unknown,
                cause: anyhow!("the last reply was {}", answer.body),
            }),
            Err(cause) => Err(Unanswered { unknown, cause }),
        }
    }
}

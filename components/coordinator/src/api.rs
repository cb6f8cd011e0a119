//! Requests and replies of the HTTP endpoint, independent of their encoding.

use observe::http::{Request, Response};
use registry::plan::{Finding, Format};
use registry::{Life, Plan, Server};

/// A decoded request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Heartbeat of a server, which describes itself.
    Heartbeat(Server),
    /// A server leaves.
    Leave {
        /// Identity of the server.
        id: String,
        /// The life that ends; `None` stands for the registered one.
        life: Option<Life>,
    },
    /// An operator replaces the plan.
    PutPlan {
        /// The document as it was sent.
        body: Vec<u8>,
        /// The decoded document.
        plan: Plan,
    },
    /// An operator reads the plan in force.
    GetPlan,
}

/// A reply to a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply<'a> {
    /// Done; what it changes is committed.
    Done,
    /// The heartbeat was accepted; the next ones should go to this address.
    HeartbeatAccepted(&'a str),
    /// Document of the plan in force.
    Document(&'a [u8]),
    /// The instance at this HTTP address can answer.
    Redirect(&'a str),
    /// This instance can't confirm an answer, for this reason.
    Unavailable(&'a str),
    /// The request is refused; lists every error in it.
    Invalid(&'a [Finding]),
}

/// Encoding of the HTTP endpoint.
pub trait Api {
    /// Document format of plans.
    type Format: Format;

    /// Decodes a request.
    ///
    /// # Errors
    /// Returns the response to a request that is no known call or can't be decoded.
    fn call(request: &Request) -> Result<Call, Response>;

    /// Encodes the reply to a request for `path`.
    fn reply(path: &str, reply: Reply<'_>) -> Response;
}

//! The front end of the HTTP endpoint, apart from its encoding.

use observe::http::{Request, Response};
use registry::plan::{Finding, Format};
use registry::{Life, Plan, Server};

/// A decoded request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// A server describes itself.
    Heartbeat(Server),
    /// A server has left. Its life is not told: it is the one that is known.
    Leave {
        /// Its identity.
        id: String,
        /// The life that ends, if the request names it.
        life: Option<Life>,
    },
    /// An operator sends a plan.
    Put {
        /// The document.
        body: Vec<u8>,
        /// What it says.
        plan: Plan,
    },
    /// An operator reads the plan in force.
    Get,
}

/// An answer to a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply<'a> {
    /// Done, and kept.
    Done,
    /// The heartbeat is taken; later ones are best sent to this address.
    Heard(&'a str),
    /// The plan in force.
    Document(&'a [u8]),
    /// Another instance, at this HTTP address, can answer.
    Elsewhere(&'a str),
    /// This instance can't be sure of the answer, for this reason.
    Unsure(&'a str),
    /// The request is refused with everything that is wrong with it.
    Invalid(&'a [Finding]),
}

/// Decodes requests and encodes answers.
pub trait Api {
    /// Reads plans.
    type Format: Format;

    /// Decodes a request.
    ///
    /// # Errors
    /// Returns the answer to a request that is none of the calls or can't be read.
    fn call(request: &Request) -> Result<Call, Response>;

    /// Encodes an answer to a request for `path`.
    fn reply(path: &str, reply: Reply<'_>) -> Response;
}

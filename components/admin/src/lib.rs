//! Administration API: types and client.
//!
//! The types in [`api`] are the JSON bodies of the HTTP API. [`Request`] is a validated request and
//! [`Reply`] the answer to it. Neither depends on sockets, so that another front end can use them.

mod answer;
mod body;
pub mod client;
mod convert;
mod path;
mod reply;
mod request;

#[allow(missing_docs, reason = "generated; the schema holds the comments")]
#[allow(clippy::use_self, clippy::derivable_impls, reason = "generated")]
#[rustfmt::skip]
#[path = "generated.rs"]
pub mod api;

pub use answer::{Answer, Attempts, Error, Refusal};
pub use path::Path;
pub use reply::{Encoded, Fault, Reply};
pub use request::{Change, Raw, Request};

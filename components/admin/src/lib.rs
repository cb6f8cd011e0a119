//! Administration API: types and client.
//!
//! The types in [`api`] are what goes over HTTP; [`Request`] is a checked request and [`Reply`] an
//! answer to it. Neither knows of sockets, so that another front end can use them.

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

pub use answer::{Answer, Refusal, Tally, Unanswered};
pub use path::Path;
pub use reply::{Encoded, Fault, Reply};
pub use request::{Change, Raw, Request};

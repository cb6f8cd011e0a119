//! Streams of messages between the processes of the system: HTTP/2 streams that carry frames of a
//! four-byte length and an encoded message.

mod frame;
pub mod io;
pub mod socket;
mod stream;

pub use frame::{Frame, Outgoing};
pub use stream::{Event, Stream, dial, listen};

/// Path of streams from entries.
pub const ENTRY: &str = "/v1/entry";
/// Path of streams between entries that lend each other connections.
pub const LOAN: &str = "/v1/loan";
/// Path of streams between control instances.
pub const PEER: &str = "/v1/peer";

//! Streams of messages between the processes of the system: HTTP/2 streams that carry frames of a
//! four-byte length and an encoded message.

mod frame;
pub mod io;
pub mod socket;
mod stream;

pub use stream::{Event, Stream, dial, listen};

/// Path of streams from entries.
pub const ENTRY: &str = "/v1/entry";
/// Path of streams between control instances.
pub const PEER: &str = "/v1/peer";

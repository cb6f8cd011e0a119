//! Message streams between the processes of the system: HTTP/2 streams that carry frames of a
//! four-byte length prefix and an encoded message.

mod frame;
pub mod io;
pub mod socket;
mod stream;

pub use frame::{Frame, Outgoing};
pub use stream::{Event, Stream, dial, listen};

/// HTTP path of streams from entries to control instances or coordinators.
pub const ENTRY_PATH: &str = "/v1/entry";
/// HTTP path of streams between entries that lend each other connections.
pub const LOAN_PATH: &str = "/v1/loan";
/// HTTP path of streams between the members of a cluster of control instances or coordinators.
pub const PEER_PATH: &str = "/v1/peer";
/// HTTP path of streams on which entries claim the tokens of rate limits from the leader of the
/// coordinators.
pub const RATE_PATH: &str = "/v1/rate";

//! Loop of an entry for databases whose servers check positions and leadership themselves.
//!
//! Such a server refuses a read that names a position which its log lacks, and refuses to write or
//! to begin a writing transaction once it does not lead. So no lease is needed: what an entry
//! believes decides where it tries first, and the server decides whether the statement runs.

pub mod choose;
pub mod freshness;
pub mod lenders;
pub mod protocol;

mod answer;
mod borrow;
mod caller;
mod connection;
mod dispatch;
mod endpoint;
mod event;
mod failure;
mod lend;
mod log_limit;
mod metrics;
mod process;
mod refuse;
mod server;
mod session;
mod stop;
mod subscribe;
mod sync;
mod timer;

pub use process::run;
pub use protocol::Protocol;

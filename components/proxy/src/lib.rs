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
mod connection;
mod dispatch;
mod event;
mod follow;
mod journal;
mod lend;
mod lost;
mod metrics;
mod process;
mod refuse;
mod serve;
mod server;
mod session;
mod settle;
mod stop;
mod subscribe;
mod timer;

pub use process::run;
pub use protocol::Protocol;

//! Event loop of a proxy for databases whose servers check log positions and leadership themselves.
//!
//! Such a server refuses a read at a position that its log lacks, and refuses writes and the begin
//! of a writing transaction unless it leads. So no lease is needed: the proxy's view of the servers
//! only decides which one it tries first, and the server decides whether the statement runs. Whether
//! a commit is final is another matter: its success is passed on with the consent of the leading
//! coordinator (`acknowledge`).
//!
//! Messages and coordinators call a proxy an entry.

pub mod choose;
pub mod freshness;
pub mod lenders;
pub mod outbox;
pub mod protocol;
pub mod tenant;

mod accounts;
mod acknowledge;
mod answer;
mod borrow;
mod caller;
mod conn;
mod connection;
mod dispatch;
mod endpoint;
mod event;
mod failure;
mod identity;
mod lend;
mod lender_choice;
mod lent;
mod loan;
mod log_limit;
mod metrics;
mod process;
mod rate;
mod refuse;
mod server;
mod service;
mod session;
mod share;
mod stop;
mod subscribe;
mod sync;
mod tenancy;
mod timer;
mod transaction;

pub use process::run;
pub use protocol::Protocol;

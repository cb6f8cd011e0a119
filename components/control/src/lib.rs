//! Loop of a control process: the replicated log with its disk, the catalog, leases for entries,
//! and changes of primary.

mod act;
pub mod api;
pub mod convert;
mod entries;
mod event;
mod join;
pub mod lead;
mod log;
pub mod members;
mod metrics;
mod peers;
mod process;
mod renewal;
mod serve;
mod store;
mod target;

pub use process::run;

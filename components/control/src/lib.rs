//! Loop of a control process: the replicated log with its disk, the catalog, leases for entries,
//! and changes of primary.

mod act;
pub mod api;
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
pub mod target;

pub use cluster::convert;
pub use process::run;

//! Loop of an entry process: callers, targets, and the stream to control.

mod accept;
mod ack;
mod answer;
#[doc(hidden)]
pub mod batch;
mod caller;
mod connect;
pub mod control;
mod database;
mod dispatch;
mod event;
mod follow;
mod local;
mod lost;
mod metrics;
mod process;
mod queue;
mod refuse;
mod serve;
mod server;
mod startup;
mod stop;
mod timer;
mod watch;

pub use process::run;

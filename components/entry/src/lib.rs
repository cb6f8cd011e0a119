//! Loop of an entry process: callers, targets, and the stream to control.

mod accept;
mod ack;
mod answer;
mod back;
#[doc(hidden)]
pub mod batch;
mod caller;
pub mod control;
mod database;
mod dispatch;
mod event;
mod follow;
mod front;
mod io;
mod lost;
mod metrics;
mod own;
mod process;
mod queue;
mod refuse;
mod serve;
mod server;
mod stop;
mod timer;
mod watch;

pub use process::run;

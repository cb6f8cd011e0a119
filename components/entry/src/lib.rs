//! Event loop of an entry instance: callers, targets, and the stream to the control instances.

mod accept;
mod ack;
mod answer;
#[doc(hidden)]
pub mod batch;
mod caller;
mod connect;
mod connection_loss;
pub mod control;
mod control_events;
mod database;
mod dispatch;
mod endpoint;
mod event;
mod event_loop;
mod metrics;
mod parameters;
mod probe;
mod queue;
mod refuse;
mod startup;
mod stop;
mod target;
mod timer;

pub use event_loop::run;

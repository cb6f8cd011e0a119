//! Connections, queue, admission and scheduling of a target.

pub mod backoff;
pub mod connection;
mod line;
pub mod queue;
pub mod retry;
pub mod shape;

pub use backoff::Backoff;
pub use connection::{Action, Id, Pool};
pub use queue::{Class, Event, Queue, Refusal, Ticket, Work};
pub use shape::{Key, Shape};

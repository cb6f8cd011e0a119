//! Connection pool, admission control and scheduling of statements for one target.

pub mod backoff;
pub mod connection;
pub mod queue;
pub mod retry;
pub mod service_time;
mod wait_list;

pub use backoff::Backoff;
pub use connection::{Action, Pool};
pub use queue::{Class, Event, Queue, Refusal, Submission, Ticket};
pub use service_time::{Estimate, Key};

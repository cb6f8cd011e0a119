//! Connection pool, admission control and scheduling of statements for one target.

pub mod backoff;
pub mod connection;
pub mod queue;
pub mod retry;
pub mod service_time;
mod wait_list;

pub use backoff::Backoff;
pub use connection::{Action, ConnectionId, Pool};
pub use queue::{Event, Queue, Refusal, ServiceClass, Submission, Ticket};
pub use service_time::{ServiceTime, ShapeKey};

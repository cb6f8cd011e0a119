//! Replicated log: elections, replication and membership, as decisions without I/O.

mod action;
mod election;
mod follow;
mod lead;
mod log;
pub mod member;
mod message;
mod node;
mod progress;
mod settings;
mod store;
mod view;

pub use action::{Action, Refusal, Role, Write};
pub use member::{Change, Member, Seat};
pub use message::{Body, Disk, Entry, Epoch, Identity, Payload, Peer, Position, Snapshot};
pub use node::{Node, Saved};
pub use settings::Settings;
pub use store::Store;

//! Replicated log: elections, replication and membership, without I/O.
//!
//! The caller runs a loop that owns a [`Node`] and a [`Store`]. For each event it calls an `on_`
//! method with the current time and carries out the returned actions in order:
//!
//! - [`Action::Send`] immediately, without waiting for earlier writes: the node withholds messages
//!   that depend on a write.
//! - [`Action::Write`] in the order of the sequence numbers. Several writes may share a sync;
//!   [`Node::on_synced`] then gets the number of the last one. After an error the loop calls
//!   [`Node::on_write_failed`], and the node refuses all further requests.
//! - [`Action::Apply`], [`Action::Restore`] and [`Action::AnswerRead`] in their common order, so
//!   that a read sees all entries up to its index.
//!
//! [`Node::on_tick`] is due at [`Node::deadline`], which may change with every call.
//!
//! Reads need no lease: each waits for a heartbeat round that started after the read. Only
//! [`Node::leader_confirmed`] relies on clock rates. Its time starts when the last confirmed round
//! is sent, whereas a member refuses votes from the receipt on, which is later.
//!
//! Votes and acknowledgements belong to an [`Identity`], not to an instance. An instance whose disk
//! was erased has a new identity, so it cannot contradict votes or acknowledgements of the old one.
//! It becomes a member by [`Change::Join`] and, once it has caught up, a voter by
//! [`Change::Promote`].

mod accessors;
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

pub use action::{Action, Refusal, Role, Write};
pub use member::{Change, Member, Seat};
pub use message::{Body, Disk, Entry, Epoch, Identity, Message, Payload, Position, Snapshot};
pub use node::{Contents, Node};
pub use settings::Settings;
pub use store::Store;

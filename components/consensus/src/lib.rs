//! Replicated log: elections, replication and membership, as decisions without I/O.
//!
//! A loop owns a [`Node`] and a [`Store`]. It calls an `on_` method for each event with the present
//! time and carries out the actions in their order:
//!
//! - [`Action::Send`] at once, without waiting for earlier writes: the node withholds whatever
//!   depends on one.
//! - [`Action::Write`] in the order of the sequence numbers. Several writes may share a sync;
//!   [`Node::on_synced`] then gets the number of the last one. After an error, which is final,
//!   [`Node::on_write_failed`] makes the node refuse everything.
//! - [`Action::Apply`], [`Action::Restore`] and [`Action::Read`] in one order, so that a read sees
//!   all entries up to its index.
//!
//! [`Node::on_tick`] is due at [`Node::deadline`], which has to be asked for again after each call.
//!
//! Reads need no lease: each waits for a heartbeat round that began after it. Only
//! [`Node::leader_confirmed`] relies on clock rates. It counts from the sending of the last
//! confirmed round, while a member refuses votes from the receipt on, which is later.
//!
//! The votes and the acknowledgements that count are those of an [`Identity`], not of an instance.
//! An emptied disk has another identity, so it cannot contradict what the earlier one promised; it
//! becomes a member by [`Change::Join`] and, once it has caught up, [`Change::Promote`].

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

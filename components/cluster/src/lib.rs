//! What control instances share: messages of the replicated log on the wire, its writes, and for
//! instances that find each other through seeds, their streams and the upkeep of the member list.

pub mod convert;
pub mod peers;
pub mod roster;
pub mod store;

pub use peers::Peers;
pub use roster::Roster;

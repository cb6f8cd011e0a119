//! Durable storage of a node.

use crate::{Contents, Write};

/// Carries out writes in the order of their sequence numbers.
///
/// The calling loop owns the store and reports each completed [`Store::sync`] to the node with the
/// sequence number of the last write before it. After an error every further call fails, unless
/// [`Store::is_full`] tells that the write can be repeated.
pub trait Store {
    type Error;

    /// Carries out one write. It is durable only after the next [`Store::sync`].
    ///
    /// # Errors
    ///
    /// Returns an error if the write, or any write or sync before it, failed.
    fn write(&mut self, write: &Write) -> Result<(), Self::Error>;

    /// Makes all earlier writes durable.
    ///
    /// # Errors
    ///
    /// Returns an error if the sync, or any write or sync before it, failed.
    fn sync(&mut self) -> Result<(), Self::Error>;

    /// Whether a write failed only for lack of space. It has changed nothing and can be repeated.
    fn is_full(error: &Self::Error) -> bool;
}

impl Contents {
    /// Updates the state as the write changes the disk. Serves as a store in memory and as a model of
    /// other stores in tests.
    pub fn apply(&mut self, write: Write) {
        match write {
            Write::Append(entries) => self.entries.extend(entries),
            Write::Truncate(first_index) => self
                .entries
                .retain(|entry| entry.position.index < first_index),
            Write::SaveVote { epoch, vote } => (self.epoch, self.vote) = (epoch, vote),
            Write::Compact(snapshot) => {
                let index = snapshot.position.index;
                self.entries.retain(|entry| entry.position.index > index);
                self.snapshot = snapshot;
            }
            Write::Install(snapshot) => {
                self.entries.clear();
                self.snapshot = snapshot;
            }
        }
    }
}

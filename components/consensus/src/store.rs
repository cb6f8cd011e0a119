//! Where writes go.

use crate::{Saved, Write};

/// Carries out writes in the order of their sequence numbers.
///
/// The calling loop owns the store and reports each completed [`Store::sync`] to the node with the
/// sequence number of the last write before it. An error is final: the store refuses from then on.
pub trait Store {
    /// Why a write or a sync failed.
    type Error;

    /// Carries out one write; it is durable only after the next [`Store::sync`].
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
}

impl Saved {
    /// Applies a write: what a disk holds after it. A store in memory, and the model of one.
    pub fn apply(&mut self, write: Write) {
        match write {
            Write::Append(entries) => self.entries.extend(entries),
            Write::Truncate(from) => self.entries.retain(|entry| entry.position.index < from),
            Write::Save { epoch, vote } => (self.epoch, self.vote) = (epoch, vote),
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

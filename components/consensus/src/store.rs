//! Where writes go.

use crate::Write;

/// Carries out writes in the order of their sequence numbers.
///
/// The calling loop owns the store and reports each completed [`Store::sync`] to the node with the
/// sequence number of the last write before it. An error is final: the store refuses from then on.
pub trait Store {
    /// Why a write or a sync failed.
    type Error;

    /// Carries out one write; it is durable only after the next [`Store::sync`].
    fn write(&mut self, write: &Write) -> Result<(), Self::Error>;

    /// Makes all earlier writes durable.
    fn sync(&mut self) -> Result<(), Self::Error>;
}

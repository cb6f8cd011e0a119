//! Answers that a target owes.

use crate::statement::Id;

/// An answer that the target owes, or that the entry adds itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Expected {
    /// ParseComplete; the statement becomes prepared. Forwarded if the caller asked for it.
    Parse { id: Id, forward: bool },
    /// An error, since the caller prepares under a name that it has given already.
    Duplicate,
    /// BindComplete.
    Bind,
    /// Up to RowDescription or NoData.
    Describe,
    /// Up to CommandComplete, EmptyQueryResponse or PortalSuspended.
    Execute,
    /// CloseComplete. Forwarded if the caller asked for it.
    Close { forward: bool },
    /// A frame of the entry's own, for a request that the target does not see.
    Own(&'static [u8]),
    /// ReadyForQuery after a Sync.
    Sync,
    /// Up to ReadyForQuery after a simple query.
    Simple,
    /// Up to ReadyForQuery after a simple query that stands for the caller's; the caller gets this
    /// completion in place of the target's.
    Substitute(&'static [u8]),
    /// Up to ReadyForQuery after statements of the entry's own.
    SetUp,
    /// Up to ReadyForQuery after the position query; nothing of it is forwarded.
    Probe,
}

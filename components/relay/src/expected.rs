//! Answers that an exchange still expects.

use crate::statement::Id;

/// An answer expected from the target, or one that the entry generates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Expected {
    /// ParseComplete. `forward` is set if the caller sent the Parse.
    Parse {
        id: Id,
        forward: bool,
    },
    /// An error, since the caller prepares a statement under a name that is in use.
    DuplicateName,
    Bind,
    /// All answers up to RowDescription or NoData.
    Describe,
    /// All answers up to CommandComplete, EmptyQueryResponse or PortalSuspended.
    Execute,
    /// CloseComplete. `forward` is set if the caller sent the Close.
    Close {
        forward: bool,
    },
    /// A frame that the entry generates, for a request that the target does not see.
    Generated(&'static [u8]),
    /// ReadyForQuery after a Sync.
    Sync,
    /// All answers up to ReadyForQuery after a simple query.
    Simple,
    /// All answers up to ReadyForQuery after a simple query sent in place of the caller's. The caller
    /// gets this completion instead of the target's.
    Substitute(&'static [u8]),
    /// All answers up to ReadyForQuery after setup statements of the entry; none is forwarded.
    Setup,
    /// All answers up to ReadyForQuery after the position query; none is forwarded.
    PositionQuery,
}

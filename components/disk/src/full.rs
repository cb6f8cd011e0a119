//! Writes that fail because the disk has no space.

use std::fmt;
use std::io;

use anyhow::Error;

/// Error of an operation that found no space on the disk and was taken back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Full;

impl fmt::Display for Full {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no space left on the disk")
    }
}

impl std::error::Error for Full {}

/// Whether an operation failed only for lack of space and can be repeated.
#[must_use]
pub fn is_full(error: &Error) -> bool {
    error.is::<Full>()
}

/// Converts the error of an operation that leaves nothing behind, or whose remains are removed.
///
/// Errors of syncs must not pass here: the bytes that they concern may be lost.
pub(crate) fn convert(error: io::Error) -> Error {
    match error.kind() {
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Error::new(Full),
        _ => error.into(),
    }
}

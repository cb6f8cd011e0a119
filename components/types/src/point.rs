//! Positions in a database's write-ahead log.

use std::fmt;

/// Term of a database's primary: the timeline of its write-ahead log. Changes at each promotion.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Term(pub u64);

/// Byte position in a write-ahead log; comparable within one term only.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Lsn(pub u64);

/// A position and the term in which it was written.
///
/// Not ordered: an lsn past the start of a later term was discarded by the promotion, so two points
/// can only be compared through the history of terms ([`crate::database::History`]).
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Point {
    pub term: Term,
    pub lsn: Lsn,
}

impl fmt::Display for Lsn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:X}/{:X}", self.0 >> 32, self.0 & 0xFFFF_FFFF)
    }
}

/// Text that is not a log position of the form `16/B374D848`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Invalid;

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no log position of the form 16/B374D848")
    }
}

impl std::error::Error for Invalid {}

impl TryFrom<&str> for Lsn {
    type Error = Invalid;

    fn try_from(raw: &str) -> Result<Self, Invalid> {
        let (high, low) = raw.split_once('/').ok_or(Invalid)?;
        let high = u32::from_str_radix(high, 16).map_err(|_| Invalid)?;
        let low = u32::from_str_radix(low, 16).map_err(|_| Invalid)?;
        Ok(Self(u64::from(high) << 32 | u64::from(low)))
    }
}

//! Names of instances, targets, databases and failure domains.

use std::borrow::Borrow;
use std::fmt;

/// Maximum length of a name, in bytes.
pub const MAX_BYTES: usize = 63;

/// A validated name.
///
/// Invariant: 1 to [`MAX_BYTES`] bytes of `a-z`, `0-9`, `.`, `_` and `-`, the first a letter or
/// digit.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Name(String);

impl Name {
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Text that is not a valid name, cut to [`MAX_BYTES`] characters.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Invalid(pub String);

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is no name: 1 to {MAX_BYTES} of a-z, 0-9, '.', '_', '-'",
            self.0
        )
    }
}

impl std::error::Error for Invalid {}

impl TryFrom<&str> for Name {
    type Error = Invalid;

    fn try_from(raw: &str) -> Result<Self, Invalid> {
        let is_allowed =
            |b: &u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"._-".contains(b);
        let first_is_alphanumeric = raw
            .as_bytes()
            .first()
            .is_some_and(u8::is_ascii_alphanumeric);
        if first_is_alphanumeric && raw.len() <= MAX_BYTES && raw.as_bytes().iter().all(is_allowed)
        {
            Ok(Self(raw.to_owned()))
        } else {
            Err(Invalid(raw.chars().take(MAX_BYTES).collect()))
        }
    }
}

impl TryFrom<String> for Name {
    type Error = Invalid;

    fn try_from(raw: String) -> Result<Self, Invalid> {
        Self::try_from(raw.as_str())
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

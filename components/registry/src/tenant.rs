//! Tenants: the callers that share a plan, told apart by the keys that they present.

use std::collections::BTreeSet;
use std::fmt;

use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;

/// Number of bytes of a digest.
const DIGEST_BYTES: usize = 32;
/// Thousandths in one operation.
const MILLI: f64 = 1000.0;
/// Highest accepted rate and burst, in operations.
pub const MAX_OPERATIONS: f64 = 1e9;

/// SHA-256 digest of a key. Processes that check keys hold digests only, so that a dump of their
/// memory reveals no key.
///
/// The order and the prefix depend on the digest alone, from which a key can't be derived.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// The digest of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// The first bytes, as a key for lookups.
    #[must_use]
    pub fn prefix(&self) -> [u8; 8] {
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&self.0[..8]);
        prefix
    }

    /// Whether two digests are equal, in a time that does not depend on where they differ.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }

    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digest(..)")
    }
}

impl TryFrom<&[u8]> for Digest {
    type Error = anyhow::Error;

    fn try_from(bytes: &[u8]) -> Result<Self, Self::Error> {
        let bytes = bytes.try_into();
        bytes
            .map(Self)
            .map_err(|_| anyhow::anyhow!("a digest of a key must have {DIGEST_BYTES} bytes"))
    }
}

/// Limit of the operations that a tenant may start, over all proxies together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rate {
    /// Thousandths of an operation per second.
    pub per_second_milli: u64,
    /// Thousandths of an operation that an idle tenant may start at once.
    pub burst_milli: u64,
}

impl Rate {
    /// A limit in operations; `None` if a figure is negative, not finite or above
    /// [`MAX_OPERATIONS`].
    #[must_use]
    pub fn new(per_second: f64, burst: f64) -> Option<Self> {
        let milli = |operations: f64| {
            let valid = (0.0..=MAX_OPERATIONS).contains(&operations);
            // Of an accepted figure the product is at most 1e12, which `u64` holds.
            valid.then_some((operations * MILLI) as u64)
        };
        Some(Self {
            per_second_milli: milli(per_second)?,
            burst_milli: milli(burst)?,
        })
    }
}

/// A tenant of the plan.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tenant {
    /// Digests of its keys. Invariant: no other tenant of the plan has one of them.
    pub keys: BTreeSet<Digest>,
    /// `None` for no limit.
    pub rate: Option<Rate>,
}

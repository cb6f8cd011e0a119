//! Names of the files in the data folder.

use anyhow::{Result, ensure};

pub(crate) const LOCK: &str = "lock";
pub(crate) const IDENTITY: &str = "identity";
pub(crate) const VOTE: &str = "vote";
/// Ending of files that are not complete yet.
pub(crate) const TEMPORARY: &str = ".tmp";
const SNAPSHOT: &str = "snapshot-";
const SEGMENT: &str = "log-";

pub(crate) fn snapshot(index: u64) -> String {
    format!("{SNAPSHOT}{index:016x}")
}

pub(crate) fn segment(number: u64) -> String {
    format!("{SEGMENT}{number:016x}")
}

fn number(name: &str, prefix: &str) -> Option<u64> {
    let digits = name.strip_prefix(prefix)?;
    u64::from_str_radix(digits, 16).ok()
}

/// Files of a data folder.
#[derive(Debug, Default)]
pub(crate) struct Listing {
    pub(crate) has_identity: bool,
    pub(crate) has_vote: bool,
    /// Indexes of the snapshots, rising.
    pub(crate) snapshots: Vec<u64>,
    /// Numbers of the segments, rising without a gap.
    pub(crate) segments: Vec<u64>,
    /// Files left by a stop before their rename.
    pub(crate) leftovers: Vec<String>,
}

impl Listing {
    pub(crate) fn new(names: Vec<String>) -> Result<Self> {
        let mut listing = Self::default();
        for name in names {
            if name.ends_with(TEMPORARY) {
                listing.leftovers.push(name);
            } else if let Some(index) = number(&name, SNAPSHOT) {
                listing.snapshots.push(index);
            } else if let Some(number) = number(&name, SEGMENT) {
                listing.segments.push(number);
            } else {
                listing.has_identity |= name == IDENTITY;
                listing.has_vote |= name == VOTE;
            }
        }
        listing.snapshots.sort_unstable();
        listing.segments.sort_unstable();
        let mut pairs = listing.segments.windows(2);
        ensure!(
            pairs.all(|pair| pair[0] + 1 == pair[1]),
            "a segment of the log is missing"
        );
        let is_blank = listing.segments.is_empty() && listing.snapshots.is_empty();
        ensure!(
            listing.has_identity || (is_blank && !listing.has_vote),
            "the identity file is missing, but other files are present"
        );
        ensure!(
            !listing.has_vote || !listing.segments.is_empty(),
            "all segments of the log are missing"
        );
        Ok(listing)
    }
}

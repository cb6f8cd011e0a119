//! Names of the files in the data folder.

use anyhow::{Result, ensure};

pub(crate) const LOCK_FILE: &str = "lock";
pub(crate) const IDENTITY_FILE: &str = "identity";
pub(crate) const VOTE_FILE: &str = "vote";
/// Suffix of files that are not complete yet.
pub(crate) const TEMPORARY_SUFFIX: &str = ".tmp";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const SEGMENT_PREFIX: &str = "log-";

pub(crate) fn snapshot_name(index: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{index:016x}")
}

pub(crate) fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:016x}")
}

fn parse_number(name: &str, prefix: &str) -> Option<u64> {
    let digits = name.strip_prefix(prefix)?;
    u64::from_str_radix(digits, 16).ok()
}

/// Files of a data folder.
#[derive(Debug, Default)]
pub(crate) struct FolderListing {
    pub(crate) has_identity: bool,
    pub(crate) has_vote: bool,
    /// Indexes of the snapshots, in ascending order.
    pub(crate) snapshots: Vec<u64>,
    /// Numbers of the segments, in ascending order without a gap.
    pub(crate) segments: Vec<u64>,
    /// Numbers of the segments before the last gap. Of several removed segments, a loss of power
    /// may bring back any.
    pub(crate) leftover_segments: Vec<u64>,
    /// Temporary files that were not renamed before the last stop.
    pub(crate) temporary_files: Vec<String>,
}

impl FolderListing {
    pub(crate) fn new(names: Vec<String>) -> Result<Self> {
        let mut listing = Self::default();
        for name in names {
            if name.ends_with(TEMPORARY_SUFFIX) {
                listing.temporary_files.push(name);
            } else if let Some(index) = parse_number(&name, SNAPSHOT_PREFIX) {
                listing.snapshots.push(index);
            } else if let Some(number) = parse_number(&name, SEGMENT_PREFIX) {
                listing.segments.push(number);
            } else {
                listing.has_identity |= name == IDENTITY_FILE;
                listing.has_vote |= name == VOTE_FILE;
            }
        }
        listing.snapshots.sort_unstable();
        listing.segments.sort_unstable();
        let mut pairs = listing.segments.windows(2);
        let last_gap = pairs.rposition(|pair| pair[0] + 1 != pair[1]);
        let first = last_gap.map_or(0, |order| order + 1);
        let segments = listing.segments.split_off(first);
        listing.leftover_segments = std::mem::replace(&mut listing.segments, segments);
        let is_log_empty = listing.segments.is_empty() && listing.snapshots.is_empty();
        ensure!(
            listing.has_identity || (is_log_empty && !listing.has_vote),
            "the identity file is missing, but other files are present"
        );
        ensure!(
            !listing.has_vote || !listing.segments.is_empty(),
            "all segments of the log are missing"
        );
        Ok(listing)
    }
}

//! Timeouts and limits of a node.

use std::time::Duration;

/// Timeouts and limits of a node.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub heartbeat_interval: Duration,
    /// Shortest election timeout. A member refuses votes for this time after a message of a leader.
    pub election_timeout_min: Duration,
    /// Longest election timeout. A leader steps down after this time without replies of a quorum.
    pub election_timeout_max: Duration,
    /// Total size of the entries in one append message.
    pub max_append_bytes: usize,
    /// Entries sent to a member before it has acknowledged them.
    pub max_unacknowledged_entries: u64,
    pub snapshot_chunk_bytes: usize,
    /// Entries kept in memory before a snapshot, so that a member slightly behind does not need the
    /// snapshot.
    pub retained_entries: u64,
    /// Entries that a learner may still lack when it is promoted.
    pub max_learner_lag: u64,
    /// Uncommitted entries above which further proposals are refused.
    pub max_uncommitted_entries: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(50),
            election_timeout_min: Duration::from_millis(150),
            election_timeout_max: Duration::from_millis(300),
            max_append_bytes: 256 * 1024,
            max_unacknowledged_entries: 1024,
            snapshot_chunk_bytes: 256 * 1024,
            retained_entries: 256,
            max_learner_lag: 16,
            max_uncommitted_entries: 16 * 1024,
        }
    }
}

impl Settings {
    /// Time after the start of a confirmed round in which the leader may grant leases.
    ///
    /// A tenth shorter than the time for which the confirming members refuse votes, as clock rates
    /// differ.
    pub(crate) fn confirmation_validity(&self) -> Duration {
        self.election_timeout_min - self.election_timeout_min / 10
    }
}

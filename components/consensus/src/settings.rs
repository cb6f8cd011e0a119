//! Times and bounds of a node.

use std::time::Duration;

/// Times and bounds of a node.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Interval of heartbeats.
    pub heartbeat: Duration,
    /// Shortest election timeout, and how long a member refuses votes after it heard a leader.
    pub election_min: Duration,
    /// Longest election timeout; a leader steps down after this time without a quorum.
    pub election_max: Duration,
    /// Entry bytes in one append message.
    pub append_bytes: usize,
    /// Entries sent to a member ahead of its acknowledgement.
    pub window: u64,
    /// Bytes of a snapshot in one message.
    pub chunk_bytes: usize,
    /// Entries kept before a snapshot, so that a member slightly behind needs no snapshot.
    pub keep: u64,
    /// Entries a learner may lack when it is promoted.
    pub lag: u64,
    /// Entries that may wait for their commit; further proposals are refused.
    pub pending: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(50),
            election_min: Duration::from_millis(150),
            election_max: Duration::from_millis(300),
            append_bytes: 256 * 1024,
            window: 1024,
            chunk_bytes: 256 * 1024,
            keep: 256,
            lag: 16,
            pending: 16 * 1024,
        }
    }
}

impl Settings {
    /// How long after its sending a confirmed round allows grants.
    ///
    /// A tenth below the time in which the confirming members refuse votes, as clock rates differ.
    pub(crate) fn confirmation(&self) -> Duration {
        self.election_min - self.election_min / 10
    }
}

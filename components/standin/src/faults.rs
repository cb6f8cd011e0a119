//! Faults that tests ask for by `standin_fault(name, value)`.

use std::time::Duration;

use tokio::time::Instant;

/// Faults in force.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    /// Commits left that close their connection before they run.
    pub(crate) close_before_commit: i64,
    /// Commits left that run and close their connection instead of answering.
    pub(crate) close_before_commit_reply: i64,
    /// Delay of every reply.
    pub(crate) reply_delay: Duration,
    /// The whole process stands still until then.
    pub(crate) frozen: Option<Instant>,
    /// New connections are closed until then.
    pub(crate) refusing: Option<Instant>,
    /// Received log is not replayed.
    pub(crate) replay_paused: bool,
    /// Replicas are refused.
    pub(crate) replication_dropped: bool,
    /// Announcements say that the target leaves.
    pub(crate) leaving: bool,
}

/// What the loop has to do beside.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Effect {
    None,
    Unknown,
    SetLag(Duration),
    DropReplicas,
}

impl Faults {
    pub(crate) fn set(&mut self, now: Instant, name: &str, value: i64) -> Effect {
        let duration = Duration::from_millis(value.unsigned_abs());
        match name {
            "close_before_commit" => self.close_before_commit = value,
            "close_before_commit_reply" => self.close_before_commit_reply = value,
            "reply_delay_ms" => self.reply_delay = duration,
            "freeze_ms" => self.frozen = Some(now + duration),
            "refuse_ms" => self.refusing = Some(now + duration),
            "pause_replay" => self.replay_paused = value > 0,
            "leaving" => self.leaving = value > 0,
            "lag_ms" => return Effect::SetLag(duration),
            "drop_replication" => {
                self.replication_dropped = value > 0;
                return Effect::DropReplicas;
            }
            _ => return Effect::Unknown,
        }
        Effect::None
    }

    /// Counts a commit against a fault; true when it strikes.
    pub(crate) fn strike(counter: &mut i64) -> bool {
        let strikes = *counter > 0;
        *counter -= i64::from(strikes);
        strikes
    }
}

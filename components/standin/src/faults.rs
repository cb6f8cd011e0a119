//! Faults that are injected by the SQL function `standin_fault(name, value)`.

use std::time::Duration;

use tokio::time::Instant;

/// Faults that are currently active.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    /// Number of the next commits that are discarded, with their connection closed.
    pub(crate) close_before_commit: i64,
    /// Number of the next commits that take effect, with their connection closed instead of a
    /// reply.
    pub(crate) close_before_commit_reply: i64,
    /// Delay of every reply.
    pub(crate) reply_delay: Duration,
    /// No events are handled until then, except a shutdown.
    pub(crate) frozen_until: Option<Instant>,
    /// New connections are closed immediately until then.
    pub(crate) refusing_until: Option<Instant>,
    /// Received log records are not replayed.
    pub(crate) replay_paused: bool,
    /// Replication connections are refused.
    pub(crate) replication_dropped: bool,
    /// Announcements report that the target is leaving.
    pub(crate) leaving: bool,
}

/// What the server has to do after a fault was set.
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
            "freeze_ms" => self.frozen_until = Some(now + duration),
            "refuse_ms" => self.refusing_until = Some(now + duration),
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

    /// Decrements the count of a fault; true if the fault applies to this commit.
    pub(crate) fn consume(counter: &mut i64) -> bool {
        let applies = *counter > 0;
        *counter -= i64::from(applies);
        applies
    }
}

//! Graceful stop.

use std::time::{Duration, Instant};

use pg::Severity;

use crate::accept::STOPPING_TEXT;
use crate::caller::State;
use crate::event::CallerKey;
use crate::event_loop::Loop;

/// Time for sending the last bytes before the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(50);

/// Phase of a graceful stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stop {
    /// Running batches and transactions may finish until this deadline.
    Finishing(Instant),
    /// Every caller was answered; the last bytes are sent until this deadline.
    Flushing(Instant),
}

impl Stop {
    /// End of the phase.
    #[must_use]
    pub const fn deadline(self) -> Instant {
        match self {
            Self::Finishing(at) | Self::Flushing(at) => at,
        }
    }
}

impl Loop {
    /// Begins a graceful stop: closes connections between transactions; running batches go on.
    pub(crate) fn on_stop(&mut self, now: Instant) {
        if self.stop.is_some() {
            return;
        }
        tracing::info!(
            callers = self.callers.len(),
            "stopping; running batches and transactions may finish"
        );
        self.stop = Some(Stop::Finishing(now + self.settings.stop_timeout));
        let idle = self.callers.iter();
        let idle = idle.filter(|(_, caller)| caller.is_idle() && caller.inbox.is_empty());
        let idle: Vec<CallerKey> = idle.map(|(key, _)| key).collect();
        for key in idle {
            self.end_session(key);
        }
    }

    /// Closes the connection of a caller with a FATAL error, as the entry stops.
    pub(crate) fn end_session(&mut self, key: CallerKey) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        pg::error_response(&mut caller.out, Severity::Fatal, "57P01", STOPPING_TEXT);
        caller.closing = true;
        self.dirty_callers.push(key);
    }

    /// Whether a stopping entry has ended every session and sent the last bytes.
    pub(crate) fn is_stopped(&mut self, now: Instant) -> bool {
        match self.stop {
            None => false,
            Some(Stop::Flushing(at)) => at <= now,
            Some(Stop::Finishing(at)) => {
                let done = self.callers.is_empty() && self.starting_connections == 0;
                if !done && now < at {
                    return false;
                }
                self.end_all_sessions(now);
                self.control.leave();
                self.stop = Some(Stop::Flushing(now + FLUSH_TIMEOUT));
                false
            }
        }
    }

    /// Reports the outcome of its statement to every remaining caller, at the end of the stop.
    fn end_all_sessions(&mut self, now: Instant) {
        let remaining: Vec<CallerKey> = self.callers.keys().collect();
        for key in remaining {
            let Some(caller) = self.callers.get(key) else {
                continue;
            };
            match caller.state {
                State::Idle => {}
                State::Routing(_) | State::Queued(..) => {
                    self.withdraw(key);
                    let text = "not run: this entry stops";
                    self.refuse(key, "stopping", "57L05", text);
                }
                State::Running(conn) => self.on_conn_lost(now, conn),
                State::Acknowledging => self.report_unknown_outcome(key, "stopping"),
            }
            self.end_session(key);
        }
        self.flush();
    }
}

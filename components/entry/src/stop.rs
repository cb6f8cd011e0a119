//! Graceful stop.

use std::time::{Duration, Instant};

use pg::Severity;

use crate::accept::STOPPING;
use crate::caller::State;
use crate::event::CallerKey;
use crate::event_loop::Loop;

/// How long a stopping entry waits for its last bytes to be sent.
const FLUSH: Duration = Duration::from_millis(50);

/// Phase of a stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stop {
    /// What has begun goes on until this deadline.
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
    /// Begins a graceful stop: what runs goes on, connections between transactions are ended.
    pub(crate) fn on_stop(&mut self, now: Instant) {
        if self.stop.is_some() {
            return;
        }
        tracing::info!(callers = self.callers.len(), "stopping");
        self.stop = Some(Stop::Finishing(now + self.settings.stop_timeout));
        let idle = self.callers.iter();
        let idle = idle.filter(|(_, caller)| caller.is_idle() && caller.inbox.is_empty());
        let idle: Vec<CallerKey> = idle.map(|(key, _)| key).collect();
        for key in idle {
            self.end_session(key);
        }
    }

    /// Ends the connection of a caller between transactions, as the entry stops.
    pub(crate) fn end_session(&mut self, key: CallerKey) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        pg::error_response(&mut caller.out, Severity::Fatal, "57P01", STOPPING);
        caller.closing = true;
        self.dirty_callers.push(key);
    }

    /// Whether a stopping entry has ended every session and sent the last bytes.
    pub(crate) fn is_stopped(&mut self, now: Instant) -> bool {
        match self.stop {
            None => false,
            Some(Stop::Flushing(at)) => at <= now,
            Some(Stop::Finishing(at)) => {
                let done = self.callers.is_empty() && self.starting == 0;
                if !done && now < at {
                    return false;
                }
                self.end_all(now);
                self.control.end();
                self.stop = Some(Stop::Flushing(now + FLUSH));
                false
            }
        }
    }

    /// Tells every caller that is left what became of its statement, at the end of the stop.
    fn end_all(&mut self, now: Instant) {
        let left: Vec<CallerKey> = self.callers.keys().collect();
        for key in left {
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
                State::Acknowledging => self.report_unknown(key, "stopping"),
            }
            self.end_session(key);
        }
        self.flush();
    }
}

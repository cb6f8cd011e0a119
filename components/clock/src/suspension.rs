//! Detection of suspensions of the machine.

use std::time::{Duration, Instant};

use crate::Moment;

/// Suspended time from which a suspension is reported. The clocks are read one after the other, and a
/// busy machine may interrupt a process in between.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);

/// Compares the steady clock, which stops while the machine is suspended, with the clock that goes on.
#[derive(Clone, Copy, Debug)]
pub struct Suspension {
    steady: Instant,
    moment: Moment,
}

impl Suspension {
    /// Starts with one reading of both clocks.
    #[must_use]
    pub fn new(steady: Instant, moment: Moment) -> Self {
        Self { steady, moment }
    }

    /// Whether the machine was suspended since the last suspension that was reported. `moment` has to
    /// be read before `steady`: a process that is interrupted in between then reports nothing.
    pub fn detect(&mut self, steady: Instant, moment: Moment) -> bool {
        let steady_time = steady.saturating_duration_since(self.steady);
        let suspended = moment.since(self.moment).saturating_sub(steady_time);
        let is_detected = suspended > MIN_SUSPENSION;
        if is_detected {
            *self = Self { steady, moment };
        }
        is_detected
    }
}

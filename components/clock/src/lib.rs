//! Clock for the age of what is known.
//!
//! The steady clock stands still while a machine is suspended. What was observed before would look
//! younger than it is, and a read might be served with data older than its caller accepts.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// A moment on a clock that counts suspended time too.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Moment(Duration);

impl Moment {
    /// A moment this long after the clock's zero.
    #[must_use]
    pub fn new(since_zero: Duration) -> Self {
        Self(since_zero)
    }

    /// The moment this much earlier, or the clock's zero.
    #[must_use]
    pub fn earlier(self, by: Duration) -> Self {
        Self(self.0.saturating_sub(by))
    }

    /// Time from `earlier` to this moment; zero if it lies later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

/// Tells the moment.
pub trait Clock {
    /// The present moment.
    fn moment(&self) -> Moment;
}

/// The system's clock since boot.
#[derive(Clone, Copy, Debug, Default)]
pub struct Boot;

impl Clock for Boot {
    fn moment(&self) -> Moment {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
        Moment(Duration::new(seconds, nanos))
    }
}

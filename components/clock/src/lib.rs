//! Clock that measures the age of observed data.
//!
//! The monotonic clock stops while a machine is suspended. Data observed before the suspension
//! would appear younger than it is, and a read could return data older than its caller accepts.

mod suspension;

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

pub use suspension::Suspension;

/// A point in time on a clock that also counts suspended time.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Moment(Duration);

impl Moment {
    #[must_use]
    pub fn new(since_zero: Duration) -> Self {
        Self(since_zero)
    }

    /// The moment `duration` earlier, but not before the clock's zero.
    #[must_use]
    pub fn earlier(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration))
    }

    /// The moment `duration` later.
    #[must_use]
    pub fn later(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration))
    }

    /// Time from `earlier` to this moment; zero if `earlier` is after it.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

/// A source of the current time.
pub trait Clock {
    /// The current time.
    fn moment(&self) -> Moment;
}

/// The system's time since boot (`CLOCK_BOOTTIME`).
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

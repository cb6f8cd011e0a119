//! Detection of suspensions.

use std::time::{Duration, Instant};

use clock::{Moment, Suspension};

const MS: Duration = Duration::from_millis(1);

// Guards against a suspension that is missed, reported again after it ended, or reported for a process
// that only ran late.
#[test]
fn reports_each_suspension_once() {
    let (start, zero) = (Instant::now(), Moment::default());
    let mut suspension = Suspension::new(start, zero);
    let mut detect = |steady_ms: u32, moment_ms: u32| {
        suspension.detect(start + MS * steady_ms, zero.later(MS * moment_ms))
    };
    assert!(!detect(5000, 5000));
    assert!(!detect(6000, 5800), "interrupted between the clocks");
    assert!(!detect(7000, 7100), "below the threshold");
    assert!(detect(8000, 8101));
    assert!(!detect(9000, 9101), "reported twice");
    assert!(detect(9001, 12000));
}

//! Guards against taking a primary as failed on too little evidence.

use std::time::{Duration, Instant};

use failover::{Verdict, Watch};
use rstest::rstest;
use types::Name;

const DETECT: Duration = Duration::from_millis(300);

fn name(index: usize) -> Name {
    Name::try_from(format!("e{index}")).unwrap()
}

/// `reports` is each watcher's silence in ms; `live` are those that hold a lease.
fn verdict(reports: &[Option<u64>], live: &[usize]) -> Verdict {
    let now = Instant::now();
    let mut watch = Watch::default();
    for (index, silent) in reports.iter().enumerate() {
        if let Some(silent) = silent {
            watch.on_report(now, &name(index), Duration::from_millis(*silent));
        }
    }
    let live: Vec<Name> = live.iter().map(|index| name(*index)).collect();
    watch.verdict(now, &live, DETECT)
}

const fn failed(ms: u64) -> Verdict {
    Verdict::Failed {
        silent: Duration::from_millis(ms),
    }
}

#[rstest]
#[case::one_of_three(&[Some(400), Some(0), Some(0)], &[0, 1, 2], Verdict::Healthy)]
#[case::two_of_three(&[Some(400), Some(350), Some(0)], &[0, 1, 2], failed(350))]
#[case::half_is_no_majority(&[Some(400), Some(0)], &[0, 1], Verdict::Healthy)]
#[case::at_the_bound_is_not_beyond(&[Some(300)], &[0], Verdict::Healthy)]
#[case::a_watcher_without_a_lease_does_not_count(&[Some(400), Some(400), Some(0)], &[2], Verdict::Healthy)]
#[case::nor_does_it_stand_in_the_way(&[Some(400), Some(0), Some(0)], &[0], failed(400))]
#[case::a_live_watcher_without_a_report_is_no_evidence(&[Some(400), None, None], &[0, 1, 2], Verdict::Healthy)]
#[case::no_report(&[None, None], &[0, 1], Verdict::Unknown)]
#[case::no_live_watcher(&[Some(400)], &[], Verdict::Unknown)]
fn the_majority_of_live_watchers_decides(
    #[case] reports: &[Option<u64>],
    #[case] live: &[usize],
    #[case] expected: Verdict,
) {
    assert_eq!(verdict(reports, live), expected);
}

/// A watcher that is late with a renewal must not look like a silent target.
#[test]
fn time_since_a_report_is_not_silence() {
    let now = Instant::now();
    let mut watch = Watch::default();
    watch.on_report(now, &name(0), Duration::from_millis(200));
    let later = now + Duration::from_secs(5);
    assert_eq!(watch.verdict(later, &[name(0)], DETECT), Verdict::Healthy);
    watch.forget("e0");
    assert_eq!(watch.verdict(later, &[name(0)], DETECT), Verdict::Unknown);
}

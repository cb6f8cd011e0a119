//! Guards against treating a primary as failed on insufficient evidence.

use std::time::{Duration, Instant};

use failover::{Health, Verdict};
use rstest::rstest;
use types::Name;

const THRESHOLD: Duration = Duration::from_millis(300);

fn watcher(index: usize) -> Name {
    Name::try_from(format!("e{index}")).unwrap()
}

/// `silences` holds each watcher's silence in ms; `live` lists the watchers that hold a lease.
fn verdict(silences: &[Option<u64>], live: &[usize]) -> Verdict {
    let now = Instant::now();
    let mut reports = Health::default();
    for (index, silence) in silences.iter().enumerate() {
        if let Some(silence) = silence {
            reports.on_report(now, &watcher(index), Duration::from_millis(*silence));
        }
    }
    let live: Vec<Name> = live.iter().map(|index| watcher(*index)).collect();
    reports.verdict(now, &live, THRESHOLD)
}

const fn failed(ms: u64) -> Verdict {
    Verdict::Failed {
        silence: Duration::from_millis(ms),
    }
}

#[rstest]
#[case::silence_at_one_of_three(&[Some(400), Some(0), Some(0)], &[0, 1, 2], Verdict::Healthy)]
#[case::silence_at_two_of_three(&[Some(400), Some(350), Some(0)], &[0, 1, 2], failed(350))]
#[case::half_is_no_majority(&[Some(400), Some(0)], &[0, 1], Verdict::Healthy)]
#[case::silence_at_the_threshold(&[Some(300)], &[0], Verdict::Healthy)]
#[case::silence_at_watchers_without_a_lease(&[Some(400), Some(400), Some(0)], &[2], Verdict::Healthy)]
#[case::answers_at_watchers_without_a_lease(&[Some(400), Some(0), Some(0)], &[0], failed(400))]
#[case::live_watchers_without_a_report(&[Some(400), None, None], &[0, 1, 2], Verdict::Healthy)]
#[case::no_report(&[None, None], &[0, 1], Verdict::Unknown)]
#[case::no_live_watcher(&[Some(400)], &[], Verdict::Unknown)]
fn the_majority_of_live_watchers_decides(
    #[case] silences: &[Option<u64>],
    #[case] live: &[usize],
    #[case] expected: Verdict,
) {
    assert_eq!(verdict(silences, live), expected);
}

/// Guards against a failover because a watcher, rather than the target, is late.
#[test]
fn time_since_a_report_does_not_count_as_silence() {
    let now = Instant::now();
    let mut reports = Health::default();
    reports.on_report(now, &watcher(0), Duration::from_millis(200));
    let later = now + Duration::from_secs(5);
    assert_eq!(
        reports.verdict(later, &[watcher(0)], THRESHOLD),
        Verdict::Healthy
    );
    reports.remove_watcher("e0");
    assert_eq!(
        reports.verdict(later, &[watcher(0)], THRESHOLD),
        Verdict::Unknown
    );
}

//! Tests of the figures that are computed from samples.

use replay::{Attempt, Gap, longest_gap, quantiles, recovery_ms};
use rstest::rstest;

const fn acknowledged(due_us: u64, answered_us: u64) -> Attempt {
    Attempt {
        due_us,
        answered_us,
        done: true,
    }
}

const fn failed(due_us: u64, answered_us: u64) -> Attempt {
    Attempt {
        due_us,
        answered_us,
        done: false,
    }
}

/// Guards against a gap that leaves out time before or after the fault, which would understate a
/// failover, and against one that includes idle time, which would overstate it.
#[rstest]
#[case::interval_across_fault(&[acknowledged(5, 10), acknowledged(85, 90), failed(91, 95), acknowledged(490, 500)], 409, false)]
#[case::failed_answers_do_not_end_gap(
    &[acknowledged(80, 90), acknowledged(85, 101), failed(102, 103), acknowledged(590, 600)], 498, false)]
#[case::unsorted_attempts(&[acknowledged(102, 600), acknowledged(80, 90), acknowledged(85, 101)], 498, false)]
#[case::gap_before_fault_does_not_count(&[acknowledged(0, 5), acknowledged(6, 95), acknowledged(96, 105)], 9, false)]
#[case::idle_time_does_not_count(&[acknowledged(80, 90), acknowledged(500, 520), acknowledged(900, 905)], 20, false)]
#[case::waiting_statement_counts(&[acknowledged(80, 90), failed(95, 600), acknowledged(500, 520)], 425, true)]
#[case::no_success_after_fault(&[acknowledged(80, 90), failed(150, 700)], 550, true)]
#[case::no_statement_after_fault(&[acknowledged(80, 90)], 0, false)]
fn measures_longest_gap_after_fault(
    #[case] attempts: &[Attempt],
    #[case] length_us: u64,
    #[case] open: bool,
) {
    assert_eq!(
        longest_gap(attempts.iter().copied(), 100),
        Some(Gap { length_us, open })
    );
}

/// Guards against a gap that does not start at a success.
#[test]
fn has_no_gap_without_success_before_fault() {
    assert_eq!(longest_gap([acknowledged(105, 110)], 100), None);
}

/// Guards against quantiles of an empty set, which would compare as equal to any other.
#[test]
fn has_no_quantiles_without_samples() {
    assert_eq!(quantiles([]), None);
    assert_eq!(quantiles((1..=100).map(|i| i * 10)), Some((500, 990)));
}

/// Guards against a recovery that is reported while statements are still refused or slow.
#[rstest]
#[case::immediately(&[], 0, Some(0))]
#[case::after_refusal(&[(1_250_000, 10, false)], 0, Some(300))]
#[case::after_slow_buckets(&[], 7, Some(700))]
#[case::not_at_all(&[], 20, None)]
fn measures_recovery_time(
    #[case] extra_samples: &[(u64, u64, bool)],
    #[case] slow_buckets: u64,
    #[case] expected: Option<u64>,
) {
    let usual = (0..20).map(|i| {
        let latency = if i < slow_buckets { 50 } else { 20 };
        (1_000_000 + i * 100_000, latency, true)
    });
    let samples: Vec<_> = usual.chain(extra_samples.iter().copied()).collect();
    assert_eq!(recovery_ms(&samples, 1_000_000, 10), expected);
}

//! Figures of samples.

use replay::{Attempt, Gap, gap, quantiles, recovery};
use rstest::rstest;

const fn done(due_us: u64, answered_us: u64) -> Attempt {
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

/// A gap that leaves out the time before or after the outage would make a failover look short, and
/// one that counts time without work would make it look long.
#[rstest]
#[case::spans_the_fault(&[done(5, 10), done(85, 90), failed(91, 95), done(490, 500)], 409, false)]
#[case::late_answers_do_not_end_it(
    &[done(80, 90), done(85, 101), failed(102, 103), done(590, 600)], 498, false)]
#[case::order_does_not_matter(&[done(102, 600), done(80, 90), done(85, 101)], 498, false)]
#[case::earlier_gaps_do_not_count(&[done(0, 5), done(6, 95), done(96, 105)], 9, false)]
#[case::no_work_is_no_gap(&[done(80, 90), done(500, 520), done(900, 905)], 20, false)]
#[case::waiting_work_counts(&[done(80, 90), failed(95, 600), done(500, 520)], 425, true)]
#[case::never_again(&[done(80, 90), failed(150, 700)], 550, true)]
#[case::no_later_work(&[done(80, 90)], 0, false)]
fn gaps(#[case] attempts: &[Attempt], #[case] us: u64, #[case] open: bool) {
    assert_eq!(gap(attempts.iter().copied(), 100), Some(Gap { us, open }));
}

/// Without a success before the fault there is nothing to measure from.
#[test]
fn gap_needs_a_success_before() {
    assert_eq!(gap([done(105, 110)], 100), None);
}

/// Quantiles of nothing would compare as equal to anything.
#[test]
fn quantiles_need_samples() {
    assert_eq!(quantiles([]), None);
    assert_eq!(quantiles((1..=100).map(|us| us * 10)), Some((500, 990)));
}

/// Recovery must not be seen while statements are refused or still wait.
#[rstest]
#[case::at_once(&[], 0, Some(0))]
#[case::refusals(&[(1_250_000, 10, false)], 0, Some(300))]
#[case::slow(&[], 7, Some(700))]
#[case::never(&[], 20, None)]
fn recovers(
    #[case] odd: &[(u64, u64, bool)],
    #[case] slow_tenths: u64,
    #[case] expected: Option<u64>,
) {
    let usual = (0..20).map(|i| {
        let latency = if i < slow_tenths { 50 } else { 20 };
        (1_000_000 + i * 100_000, latency, true)
    });
    let samples: Vec<_> = usual.chain(odd.iter().copied()).collect();
    assert_eq!(recovery(&samples, 1_000_000, 10), expected);
}

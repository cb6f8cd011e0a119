//! Figures of samples.

use replay::{Gap, gap, quantiles, recovery};
use rstest::rstest;

/// A gap that leaves out the time before or after the outage would make a failover look short.
#[rstest]
#[case::spans_the_fault(&[10, 90, 500, 510], 100, Some(Gap { us: 410, open: false }))]
#[case::late_answers_do_not_end_it(&[90, 101, 600, 610], 100, Some(Gap { us: 499, open: false }))]
#[case::order_does_not_matter(&[600, 90, 610, 101], 100, Some(Gap { us: 499, open: false }))]
#[case::earlier_gaps_do_not_count(&[0, 95, 105], 100, Some(Gap { us: 10, open: false }))]
#[case::never_again(&[90], 100, Some(Gap { us: 8_000_000, open: true }))]
#[case::nothing_before(&[110], 100, None)]
fn gaps(#[case] successes: &[u64], #[case] fault: u64, #[case] expected: Option<Gap>) {
    assert_eq!(gap(successes.iter().copied(), fault), expected);
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

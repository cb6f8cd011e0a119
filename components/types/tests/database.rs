//! Guards against comparing positions of different terms by lsn alone: an lsn past the start of a
//! later term is lost even after the later term has grown beyond it.

use rstest::rstest;
use types::database::{History, Relation};
use types::{Lsn, Point, Term};

fn history() -> History {
    let mut history = History::default();
    for (term, start) in [(1, 0), (2, 100), (3, 250)] {
        assert!(history.begin(Term(term), Lsn(start)));
    }
    history
}

#[rstest]
#[case::before_the_promotion(1, 90, Relation::Requires(Lsn(90)))]
#[case::at_the_promotion(1, 100, Relation::Requires(Lsn(100)))]
#[case::after_the_promotion(1, 101, Relation::Lost)]
#[case::discarded_two_terms_before(1, 240, Relation::Lost)]
#[case::of_the_middle_term(2, 250, Relation::Requires(Lsn(250)))]
#[case::after_the_second_promotion(2, 251, Relation::Lost)]
#[case::of_the_current_term(3, 900, Relation::Requires(Lsn(900)))]
#[case::of_a_later_term(4, 10, Relation::UnknownTerm)]
fn a_position_past_the_start_of_a_later_term_is_lost(
    #[case] term: u64,
    #[case] lsn: u64,
    #[case] expected: Relation,
) {
    let point = Point {
        term: Term(term),
        lsn: Lsn(lsn),
    };
    assert_eq!(history().relation(point), expected);
}

#[test]
fn a_term_that_is_not_later_is_rejected() {
    let mut history = history();
    assert!(!history.begin(Term(3), Lsn(400)));
    assert_eq!(history.current(), Some(Term(3)));
}

#[rstest]
#[case("16/B374D848", Some(0x16_B374_D848))]
#[case("0/0", Some(0))]
#[case("B374D848", None)]
#[case("1/2/3", None)]
#[case("1/100000000", None)]
fn a_malformed_log_position_is_rejected(#[case] text: &str, #[case] expected: Option<u64>) {
    assert_eq!(Lsn::try_from(text).ok(), expected.map(Lsn));
}

//! Guards against comparing a lost position as a number: an lsn past a later term's start is lost
//! even when the later term has grown beyond it.

use rstest::rstest;
use types::database::{History, Standing};
use types::{Lsn, Point, Term};

fn history() -> History {
    let mut history = History::default();
    for (term, start) in [(1, 0), (2, 100), (3, 250)] {
        assert!(history.begin(Term(term), Lsn(start)));
    }
    history
}

#[rstest]
#[case::before_the_promotion(1, 90, Standing::Needs(Lsn(90)))]
#[case::at_the_promotion(1, 100, Standing::Needs(Lsn(100)))]
#[case::on_the_discarded_tail(1, 101, Standing::Lost)]
#[case::discarded_two_terms_ago(1, 240, Standing::Lost)]
#[case::of_the_middle_term(2, 250, Standing::Needs(Lsn(250)))]
#[case::on_the_second_tail(2, 251, Standing::Lost)]
#[case::of_the_present_term(3, 900, Standing::Needs(Lsn(900)))]
#[case::of_a_later_term(4, 10, Standing::Ahead)]
fn a_position_stands_by_the_history_of_terms(
    #[case] term: u64,
    #[case] lsn: u64,
    #[case] expected: Standing,
) {
    let point = Point {
        term: Term(term),
        lsn: Lsn(lsn),
    };
    assert_eq!(history().standing(point), expected);
}

#[test]
fn a_term_that_is_not_later_is_refused() {
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
fn a_log_position_is_parsed(#[case] text: &str, #[case] expected: Option<u64>) {
    assert_eq!(Lsn::try_from(text).ok(), expected.map(Lsn));
}

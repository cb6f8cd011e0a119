//! Tests that each kind of violation is reported and that valid histories pass.

use history::{Kind, Operation, Outcome, Read, Row, Write, check};
use rstest::rstest;

fn write(session: u64, value: u64, keys: &[u64], at_us: u64, outcome: Outcome) -> Operation {
    Operation::Write(Write {
        session,
        value,
        keys: keys.to_vec(),
        answered_us: at_us,
        outcome,
    })
}

fn rows(rows: &[(u64, u64)]) -> Vec<Row> {
    rows.iter()
        .map(|&(key, value)| Row { key, value })
        .collect()
}

fn read(
    session: u64,
    keys: &[u64],
    returned: &[(u64, u64)],
    at_us: u64,
    age: Option<u64>,
) -> Operation {
    Operation::Read(Read {
        session,
        keys: keys.to_vec(),
        rows: rows(returned),
        sent_us: at_us,
        max_age_us: age,
    })
}

fn final_state(returned: &[(u64, u64)]) -> Operation {
    Operation::Final(rows(returned))
}

const DONE: Outcome = Outcome::Done;

/// Guards against a checker that misses a lost, duplicate, partial or stale result.
#[rstest]
#[case::lost(vec![write(1, 9, &[5], 10, DONE), final_state(&[])], Kind::Lost)]
#[case::lost_pair(vec![write(1, 9, &[5, 6], 10, DONE), final_state(&[])], Kind::Lost)]
#[case::duplicate(vec![write(1, 9, &[5], 10, DONE), final_state(&[(5, 9), (5, 9)])], Kind::Duplicate)]
#[case::duplicate_of_unknown_outcome(
    vec![write(1, 9, &[5], 10, Outcome::Unknown), final_state(&[(5, 9), (5, 9)])], Kind::Duplicate)]
#[case::refused_but_present(vec![write(1, 9, &[5], 10, Outcome::NotRun), final_state(&[(5, 9)])], Kind::Ran)]
#[case::refused_but_read(
    vec![write(1, 9, &[5], 10, Outcome::NotRun), read(2, &[5], &[(5, 9)], 20, None), final_state(&[])],
    Kind::Ran)]
#[case::value_never_written(vec![final_state(&[(5, 9)])], Kind::Foreign)]
#[case::value_of_another_key(vec![write(1, 9, &[5], 10, DONE), final_state(&[(5, 9), (6, 9)])], Kind::Foreign)]
#[case::read_of_another_key(
    vec![write(1, 9, &[5], 10, DONE), read(2, &[6], &[(6, 9)], 20, None), final_state(&[(5, 9)])],
    Kind::Foreign)]
#[case::own_write_missing(
    vec![write(1, 9, &[5], 10, DONE), read(1, &[5], &[], 10, None), final_state(&[(5, 9)])], Kind::Own)]
#[case::own_write_missing_within_age(
    vec![write(1, 9, &[5], 10, DONE), read(1, &[5], &[], 20, Some(1000)), final_state(&[(5, 9)])],
    Kind::Own)]
#[case::stale(
    vec![write(1, 9, &[5], 10, DONE), read(2, &[5], &[], 111, Some(100)), final_state(&[(5, 9)])],
    Kind::Stale)]
#[case::partial_in_final_state(vec![write(1, 9, &[5, 6], 10, DONE), final_state(&[(5, 9)])], Kind::Mixed)]
#[case::partial_of_unknown_outcome(
    vec![write(1, 9, &[5, 6], 10, Outcome::Unknown), final_state(&[(6, 9)])], Kind::Mixed)]
#[case::partial_in_read(
    vec![write(1, 9, &[5, 6], 30, DONE), read(2, &[5, 6], &[(5, 9)], 20, None),
         final_state(&[(5, 9), (6, 9)])],
    Kind::Mixed)]
#[case::no_final_state(vec![write(1, 9, &[5], 10, DONE)], Kind::Incomplete)]
#[case::two_final_states(vec![final_state(&[]), final_state(&[])], Kind::Incomplete)]
#[case::same_value_twice(
    vec![write(1, 9, &[5], 10, DONE), write(2, 9, &[5], 11, DONE), final_state(&[(5, 9)])],
    Kind::Incomplete)]
fn reports_violation(#[case] operations: Vec<Operation>, #[case] expected: Kind) {
    let found: Vec<Kind> = check(&operations)
        .into_iter()
        .map(|violation| violation.kind)
        .collect();
    assert_eq!(found, [expected]);
}

/// Guards against a checker that reports violations in a valid history.
#[rstest]
#[case::empty(vec![final_state(&[])])]
#[case::acknowledged_and_present(vec![write(1, 9, &[5], 10, DONE), final_state(&[(5, 9)])])]
#[case::refused_and_absent(vec![write(1, 9, &[5], 10, Outcome::NotRun), final_state(&[])])]
#[case::unknown_present(vec![write(1, 9, &[5], 10, Outcome::Unknown), final_state(&[(5, 9)])])]
#[case::unknown_absent(vec![write(1, 9, &[5], 10, Outcome::Unknown), final_state(&[])])]
#[case::own_write_answered_after_read(
    vec![write(1, 9, &[5], 10, DONE), read(1, &[5], &[], 9, None), final_state(&[(5, 9)])])]
#[case::missing_write_of_other_session(
    vec![write(1, 9, &[5], 10, DONE), read(2, &[5], &[], 99, None), final_state(&[(5, 9)])])]
#[case::missing_write_within_age(
    vec![write(1, 9, &[5], 10, DONE), read(2, &[5], &[], 110, Some(100)), final_state(&[(5, 9)])])]
#[case::read_of_one_key_of_transaction(
    vec![write(1, 9, &[5, 6], 10, DONE), read(2, &[5], &[(5, 9)], 20, None),
         final_state(&[(5, 9), (6, 9)])])]
#[case::read_before_answer(
    vec![write(1, 9, &[5], 50, DONE), read(2, &[5], &[(5, 9)], 20, None), final_state(&[(5, 9)])])]
fn accepts_valid_history(#[case] operations: Vec<Operation>) {
    assert_eq!(check(&operations), []);
}

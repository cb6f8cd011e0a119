//! Each kind of violation is found, and allowed histories pass.

use history::{Kind, Operation, Outcome, Read, Row, Write, check};
use rstest::rstest;

fn write(session: u64, value: u64, keys: &[u64], at: u64, outcome: Outcome) -> Operation {
    Operation::Write(Write {
        session,
        value,
        keys: keys.to_vec(),
        answered_us: at,
        outcome,
    })
}

fn rows(rows: &[(u64, u64)]) -> Vec<Row> {
    rows.iter()
        .map(|&(key, value)| Row { key, value })
        .collect()
}

fn read(session: u64, keys: &[u64], seen: &[(u64, u64)], at: u64, age: Option<u64>) -> Operation {
    Operation::Read(Read {
        session,
        keys: keys.to_vec(),
        rows: rows(seen),
        sent_us: at,
        max_age_us: age,
    })
}

fn end(seen: &[(u64, u64)]) -> Operation {
    Operation::Final(rows(seen))
}

const DONE: Outcome = Outcome::Done;

/// A checker that misses one of these lets a lost, repeated, torn or stale result pass a replay.
#[rstest]
#[case::lost(vec![write(1, 9, &[5], 10, DONE), end(&[])], Kind::Lost)]
#[case::lost_pair(vec![write(1, 9, &[5, 6], 10, DONE), end(&[])], Kind::Lost)]
#[case::twice(vec![write(1, 9, &[5], 10, DONE), end(&[(5, 9), (5, 9)])], Kind::Duplicate)]
#[case::unknown_twice(
    vec![write(1, 9, &[5], 10, Outcome::Unknown), end(&[(5, 9), (5, 9)])], Kind::Duplicate)]
#[case::ran(vec![write(1, 9, &[5], 10, Outcome::NotRun), end(&[(5, 9)])], Kind::Ran)]
#[case::ran_in_read(
    vec![write(1, 9, &[5], 10, Outcome::NotRun), read(2, &[5], &[(5, 9)], 20, None), end(&[])],
    Kind::Ran)]
#[case::foreign(vec![end(&[(5, 9)])], Kind::Foreign)]
#[case::wrong_key(vec![write(1, 9, &[5], 10, DONE), end(&[(5, 9), (6, 9)])], Kind::Foreign)]
#[case::crossed_answer(
    vec![write(1, 9, &[5], 10, DONE), read(2, &[6], &[(6, 9)], 20, None), end(&[(5, 9)])],
    Kind::Foreign)]
#[case::own(
    vec![write(1, 9, &[5], 10, DONE), read(1, &[5], &[], 10, None), end(&[(5, 9)])], Kind::Own)]
#[case::own_despite_age(
    vec![write(1, 9, &[5], 10, DONE), read(1, &[5], &[], 20, Some(1000)), end(&[(5, 9)])],
    Kind::Own)]
#[case::stale(
    vec![write(1, 9, &[5], 10, DONE), read(2, &[5], &[], 111, Some(100)), end(&[(5, 9)])],
    Kind::Stale)]
#[case::mixed_final(vec![write(1, 9, &[5, 6], 10, DONE), end(&[(5, 9)])], Kind::Mixed)]
#[case::mixed_unknown(
    vec![write(1, 9, &[5, 6], 10, Outcome::Unknown), end(&[(6, 9)])], Kind::Mixed)]
#[case::mixed_read(
    vec![write(1, 9, &[5, 6], 30, DONE), read(2, &[5, 6], &[(5, 9)], 20, None),
         end(&[(5, 9), (6, 9)])],
    Kind::Mixed)]
#[case::no_end(vec![write(1, 9, &[5], 10, DONE)], Kind::Incomplete)]
#[case::two_ends(vec![end(&[]), end(&[])], Kind::Incomplete)]
#[case::one_value_twice(
    vec![write(1, 9, &[5], 10, DONE), write(2, 9, &[5], 11, DONE), end(&[(5, 9)])],
    Kind::Incomplete)]
fn finds(#[case] operations: Vec<Operation>, #[case] expected: Kind) {
    let found: Vec<Kind> = check(&operations).into_iter().map(|v| v.kind).collect();
    assert_eq!(found, [expected]);
}

/// A checker that objects to one of these would report faults that are none.
#[rstest]
#[case::empty(vec![end(&[])])]
#[case::written(vec![write(1, 9, &[5], 10, DONE), end(&[(5, 9)])])]
#[case::refused(vec![write(1, 9, &[5], 10, Outcome::NotRun), end(&[])])]
#[case::unknown_present(vec![write(1, 9, &[5], 10, Outcome::Unknown), end(&[(5, 9)])])]
#[case::unknown_absent(vec![write(1, 9, &[5], 10, Outcome::Unknown), end(&[])])]
#[case::own_in_flight(
    vec![write(1, 9, &[5], 10, DONE), read(1, &[5], &[], 9, None), end(&[(5, 9)])])]
#[case::other_session(
    vec![write(1, 9, &[5], 10, DONE), read(2, &[5], &[], 99, None), end(&[(5, 9)])])]
#[case::within_age(
    vec![write(1, 9, &[5], 10, DONE), read(2, &[5], &[], 110, Some(100)), end(&[(5, 9)])])]
#[case::half_asked(
    vec![write(1, 9, &[5, 6], 10, DONE), read(2, &[5], &[(5, 9)], 20, None),
         end(&[(5, 9), (6, 9)])])]
#[case::seen_before_answer(
    vec![write(1, 9, &[5], 50, DONE), read(2, &[5], &[(5, 9)], 20, None), end(&[(5, 9)])])]
fn allows(#[case] operations: Vec<Operation>) {
    assert_eq!(check(&operations), []);
}

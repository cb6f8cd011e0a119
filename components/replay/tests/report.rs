//! Tests of the reports of recorded runs.

use replay::{Counters, Fault, Report, Run, Sample, Scope, Status, Trace, classify};
use rstest::rstest;
use tokio_postgres::error::SqlState;

const TRACE: &str = r#"{"system":{"name":"t","service":"s","region":"r","statement_us":1000,"slots":1,"connections":4,"open_ms":0,"lag_ms":0,"callers_us":0,"domains_us":0,"controls":[{"name":"control-0","domain":"a"}],"entries":[{"name":"entry-0","domain":"a"},{"name":"entry-1","domain":"a"}],"databases":[{"name":"d","targets":[{"name":"d-0","domain":"a"}]}],"shapes":[{"name":"r","kind":"read","service_us":1000},{"name":"p","kind":"pair","service_us":1000}]}}
{"window":{"name":"w","from_us":0,"until_us":1000000}}
{"outcome":{"measure":"goodput","window":"w","capacity_per_s":10,"min":0.95}}
{"outcome":{"measure":"read_gap_ms","max":50}}
{"outcome":{"measure":"replica_reads","window":"w","min":0.5}}
{"outcome":{"measure":"history","max":0}}"#;

fn sample(caller: u64, shape: usize, at_us: u64, status: Status) -> Sample {
    Sample {
        shape,
        database: 0,
        caller,
        entry: usize::try_from(caller).unwrap(),
        due_us: at_us - 1000,
        sent_us: at_us,
        answered_us: at_us,
        status,
    }
}

fn counters(replica: u64, primary: u64) -> Option<Counters> {
    let values = [("read_replica", replica), ("read_primary", primary)];
    Some(values.map(|(name, count)| (name.to_owned(), count)).into())
}

/// Returns a run with four pairs, reads of two callers at different entries, and a fault of entry 1.
fn run() -> Run {
    let done = |caller, at_us| sample(caller, 0, at_us, Status::Done);
    let mut samples: Vec<Sample> = (1..=4)
        .map(|i| sample(0, 1, i * 1000, Status::Done))
        .collect();
    samples.extend([
        done(0, 95_000),
        done(1, 90_000),
        done(0, 120_000),
        done(1, 210_000),
    ]);
    let failed = sample(1, 0, 150_000, Status::NotRun("57L03".to_owned()));
    samples.push(Sample {
        due_us: 94_000,
        ..failed
    });
    samples.push(sample(1, 0, 220_000, Status::NotRun("57L03".to_owned())));
    samples.push(sample(1, 0, 230_000, Status::Unknown));
    let mut run = Run {
        samples,
        histories: vec![vec![history::Operation::Final(Vec::new())]],
        ..Run::default()
    };
    run.faults.push(Fault {
        at_us: 100_000,
        text: "kill entry-1".to_owned(),
        scope: Scope::Entry(1),
    });
    let (from, until) = (
        vec![counters(5, 5), counters(100, 0)],
        vec![counters(8, 6), None],
    );
    run.counters.insert("w".to_owned(), (from, until));
    run
}

/// Guards against figures that pass a run which missed its outcomes: by counting refused statements as
/// done, callers of other entries as affected, or the counters of an entry that ended during the
/// window.
#[test]
fn computes_figures_and_checks_outcomes() {
    let trace = Trace::parse(TRACE).unwrap();
    let report = Report::new(&trace, &run(), "").unwrap();
    let results: Vec<_> = report
        .checks
        .iter()
        .map(|check| (check.value, check.passed))
        .collect();
    let expected = [
        (Some(1.2), true),
        (Some(116.0), false),
        (Some(0.75), true),
        (Some(0.0), true),
    ];
    assert_eq!(results, expected);
    assert!(!report.passed());
    let reads = report.find("", "r").unwrap();
    assert_eq!(
        (reads.done, reads.unknown, reads.not_run["57L03"]),
        (4, 1, 2)
    );
    assert_eq!(reads.p50_us, 1000);
}

/// Guards against an outcome that passes although it could not be measured.
#[test]
fn unmeasured_outcome_fails() {
    let trace = Trace::parse(TRACE).unwrap();
    let empty = Run {
        histories: vec![Vec::new()],
        ..Run::default()
    };
    let report = Report::new(&trace, &empty, "").unwrap();
    let passed: Vec<_> = report.checks.iter().map(|check| check.passed).collect();
    assert_eq!(passed, [false; 4], "{report}");
}

/// Guards against a table that swaps the columns of the two runs.
#[test]
fn comparison_keeps_runs_apart() {
    let trace = Trace::parse(TRACE).unwrap();
    let first = Report::new(&trace, &run(), "one").unwrap();
    let mut slower = run();
    slower
        .samples
        .iter_mut()
        .for_each(|sample| sample.due_us = 0);
    slower.samples.truncate(4);
    let second = Report::new(&trace, &slower, "two").unwrap();
    let table = replay::compare(&first, &second);
    let row = |name: &str| {
        table
            .lines()
            .find(|line| line.starts_with(name))
            .unwrap()
            .to_owned()
    };
    let last_two_words = |line: &str| {
        line.split_whitespace()
            .rev()
            .take(2)
            .map(str::to_owned)
            .collect::<Vec<_>>()
    };
    assert_eq!(
        last_two_words(table.lines().next().unwrap()),
        ["two", "one"]
    );
    assert_eq!(last_two_words(&row("all r done")), ["0.000", "4.000"]);
}

/// Guards against a write of unknown outcome that counts as not run, which would be reported as a false
/// violation, and against the reverse, which would hide the effect of a refused write.
#[rstest]
#[case("08007", true, Status::Unknown)]
#[case("08007", false, Status::NotRun("08007".to_owned()))]
#[case("57L03", true, Status::NotRun("57L03".to_owned()))]
fn classifies_outcome_by_sqlstate(
    #[case] code: &str,
    #[case] may_have_run: bool,
    #[case] expected: Status,
) {
    assert_eq!(classify(&SqlState::from_code(code), may_have_run), expected);
}

//! Reports of recorded runs.

use replay::{Answer, Counters, Fault, Place, Report, Run, Sample, Trace, classify};
use rstest::rstest;
use tokio_postgres::error::SqlState;

const TRACE: &str = r#"{"system":{"name":"t","service":"s","region":"r","statement_us":1000,"slots":1,"connections":4,"open_ms":0,"lag_ms":0,"callers_us":0,"domains_us":0,"controls":[{"name":"control-0","domain":"a"}],"entries":[{"name":"entry-0","domain":"a"},{"name":"entry-1","domain":"a"}],"databases":[{"name":"d","targets":[{"name":"d-0","domain":"a"}]}],"shapes":[{"name":"r","kind":"read","service_us":1000},{"name":"p","kind":"pair","service_us":1000}]}}
{"window":{"name":"w","from_us":0,"until_us":1000000}}
{"outcome":{"measure":"goodput","window":"w","capacity_per_s":10,"min":0.95}}
{"outcome":{"measure":"read_gap_ms","max":50}}
{"outcome":{"measure":"replica_reads","window":"w","min":0.5}}
{"outcome":{"measure":"history","max":0}}"#;

fn sample(caller: u64, shape: usize, at: u64, answer: Answer) -> Sample {
    Sample {
        shape,
        database: 0,
        caller,
        entry: usize::try_from(caller).unwrap(),
        due_us: at - 1000,
        sent_us: at,
        answered_us: at,
        answer,
    }
}

fn counters(replica: u64, primary: u64) -> Option<Counters> {
    let counts = [("read_replica", replica), ("read_primary", primary)];
    Some(counts.map(|(name, n)| (name.to_owned(), n)).into())
}

/// A run with four pairs, reads of two callers at different entries, and a fault of entry 1.
fn run() -> Run {
    let done = |caller, at| sample(caller, 0, at, Answer::Done);
    let mut samples: Vec<Sample> = (1..=4)
        .map(|i| sample(0, 1, i * 1000, Answer::Done))
        .collect();
    samples.extend([
        done(0, 95_000),
        done(1, 90_000),
        done(0, 120_000),
        done(1, 210_000),
    ]);
    let waiting = sample(1, 0, 150_000, Answer::NotRun("57L03".to_owned()));
    samples.push(Sample {
        due_us: 94_000,
        ..waiting
    });
    samples.push(sample(1, 0, 220_000, Answer::NotRun("57L03".to_owned())));
    samples.push(sample(1, 0, 230_000, Answer::Unknown));
    let mut run = Run {
        samples,
        history: vec![vec![history::Operation::Final(Vec::new())]],
        ..Run::default()
    };
    run.faults.push(Fault {
        at_us: 100_000,
        text: "kill entry-1".to_owned(),
        place: Place::Entry(1),
    });
    let (from, until) = (
        vec![counters(5, 5), counters(100, 0)],
        vec![counters(8, 6), None],
    );
    run.counters.insert("w".to_owned(), (from, until));
    run
}

/// A figure that counts refusals as work, other entries' callers, or the counters of an entry that
/// ended in between would pass runs that did not reach their outcomes.
#[test]
fn measures_and_judges() {
    let trace = Trace::parse(TRACE).unwrap();
    let report = Report::new(&trace, &run(), "").unwrap();
    let values: Vec<_> = report.checks.iter().map(|c| (c.value, c.passed)).collect();
    let expected = [
        (Some(1.2), true),
        (Some(116.0), false),
        (Some(0.75), true),
        (Some(0.0), true),
    ];
    assert_eq!(values, expected);
    assert!(!report.passed());
    let reads = report.find("", "r").unwrap();
    assert_eq!(
        (reads.done, reads.unknown, reads.not_run["57L03"]),
        (4, 1, 2)
    );
    assert_eq!(reads.p50_us, 1000);
}

/// An outcome that cannot be measured must not pass.
#[test]
fn unmeasured_outcomes_fail() {
    let trace = Trace::parse(TRACE).unwrap();
    let empty = Run {
        history: vec![Vec::new()],
        ..Run::default()
    };
    let report = Report::new(&trace, &empty, "").unwrap();
    let passed: Vec<_> = report.checks.iter().map(|check| check.passed).collect();
    assert_eq!(passed, [false; 4], "{report}");
}

/// A side by side table that mixes up the runs would turn a comparison around.
#[test]
fn compares_side_by_side() {
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
    let fields = |line: &str| {
        line.split_whitespace()
            .rev()
            .take(2)
            .map(str::to_owned)
            .collect::<Vec<_>>()
    };
    assert_eq!(fields(table.lines().next().unwrap()), ["two", "one"]);
    assert_eq!(fields(&row("all r done")), ["0.000", "4.000"]);
}

/// A write of unknown outcome that counts as not run would show as a false violation, and the other
/// way round a repeated one would be hidden.
#[rstest]
#[case("08007", true, Answer::Unknown)]
#[case("08007", false, Answer::NotRun("08007".to_owned()))]
#[case("57L03", true, Answer::NotRun("57L03".to_owned()))]
fn classifies(#[case] code: &str, #[case] open: bool, #[case] expected: Answer) {
    assert_eq!(classify(&SqlState::from_code(code), open), expected);
}

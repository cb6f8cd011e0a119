//! Tests of the parsing of traces, and of the committed traces.

use replay::{Payload, TRACE_NAMES, Trace, generate};
use rstest::rstest;

const SYSTEM: &str = r#"{"system":{"name":"t","service":"s","region":"r","statement_us":1000,"slots":1,"connections":4,"open_ms":0,"lag_ms":0,"callers_us":0,"domains_us":0,"controls":[{"name":"control-0","domain":"a"}],"entries":[{"name":"entry-0","domain":"a"},{"name":"entry-1","domain":"a"}],"databases":[{"name":"d","targets":[{"name":"d-0","domain":"a"}]}],"shapes":[{"name":"w","kind":"write","service_us":1000}]}}"#;

fn parse(lines: &[&str]) -> Result<Trace, String> {
    let text = [&[SYSTEM], lines].concat().join("\n");
    Trace::parse(&text).map_err(|error| format!("{error:#}"))
}

/// Guards against an expansion of repetitions that differs from the schema and so changes every trace.
#[test]
fn expands_repetitions() {
    let trace = parse(&[
        r#"{"statement":{"at_us":50,"caller":7,"callers":2,"shape":"w","key":10,"keys":4,"count":3,"every_us":5}}"#,
        r#"{"arrive":{"at_us":1,"caller":7,"entry":"entry-1","database":"d","count":2,"every_us":3}}"#,
    ])
    .unwrap();
    let expanded = trace.events.iter().map(|event| match &event.payload {
        Payload::Arrive { caller, entry, .. } => (event.at_us, *caller, *entry as u64),
        Payload::Statement(query) => (event.at_us, query.caller, query.key),
        other => panic!("unexpected {other:?}"),
    });
    assert_eq!(
        expanded.collect::<Vec<_>>(),
        [(1, 7, 1), (4, 8, 0), (50, 7, 10), (55, 8, 13), (60, 7, 12)]
    );
}

/// Guards against a trace that is accepted although it cannot be played as written or exceeds a limit.
#[rstest]
#[case(
    r#"{"statement":{"at_us":5,"caller":7,"shape":"w","key":1}}"#,
    "caller 7 acts before it arrives"
)]
#[case(
    r#"{"statement":{"at_us":5,"caller":7,"shape":"x","key":1}}"#,
    "line 2: no such shape"
)]
#[case(r#"{"statement":{"at_us":5,"caller":7,"shape":"w"}}"#, "line 2: ")]
#[case(
    r#"{"arrive":{"at_us":1,"caller":1,"entry":"e","database":"d"}}"#,
    "line 2: no such entry"
)]
#[case(
    r#"{"arrive":{"at_us":1,"caller":1,"entry":"entry-0","database":"d","count":9999}}"#,
    "callers"
)]
#[case(
    r#"{"fault":{"at_us":1,"action":"kill","process":"x"}}"#,
    "line 2: no such process"
)]
#[case(
    r#"{"fault":{"at_us":1,"action":"restart","process":"d-0"}}"#,
    "line 2: a target"
)]
#[case(
    r#"{"fault":{"at_us":99000000,"action":"kill","process":"d-0"}}"#,
    "later than"
)]
#[case(
    r#"{"change":{"at_us":1,"target":"entry-0","state":"leaving"}}"#,
    "line 2: no such target"
)]
#[case(
    r#"{"outcome":{"measure":"goodput","window":"x","min":1}}"#,
    "no window x"
)]
#[case(r#"{"outcome":{"measure":"history"}}"#, "needs either min or max")]
#[case(
    r#"{"window":{"name":"x","from_us":5,"until_us":5}}"#,
    "an empty window"
)]
#[case("{", "line 2: invalid JSON")]
fn rejects_invalid_line(#[case] line: &str, #[case] expected: &str) {
    let error = parse(&[line]).unwrap_err();
    assert!(error.contains(expected), "{error}");
}

/// Guards against a shape with a service time that a target cannot play: only long reads may differ
/// from the usual one.
#[test]
fn rejects_unplayable_service_time() {
    let text = SYSTEM.replace(r#""service_us":1000"#, r#""service_us":1001"#);
    let error = Trace::parse(&text).unwrap_err();
    assert!(error.to_string().contains("service time of w"), "{error}");
}

/// Guards against a committed trace that differs from the generated one or exceeds its limits.
#[test]
fn committed_traces_match_generator() {
    for name in TRACE_NAMES {
        let path = format!("{}/../../traces/{name}.jsonl", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(&path).unwrap();
        assert!(
            generate(name).as_ref() == Some(&text),
            "{name} differs from the generated trace"
        );
        assert!(text.len() <= 300_000, "{name}: {} bytes", text.len());
        let trace = Trace::parse(&text).unwrap();
        assert!(
            trace.length_us() <= 20_000_000,
            "{name}: {} us",
            trace.length_us()
        );
    }
}

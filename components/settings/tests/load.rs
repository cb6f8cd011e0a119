//! Loads valid and invalid settings files.

use std::path::{Path, PathBuf};
use std::time::Duration;

use rstest::rstest;
use settings::{Control, Entry, Format, Kind, Level, Ports, Report, Standin, load, parse};

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/files")
        .join(name)
}

fn paths(report: &Report) -> Vec<&str> {
    report
        .findings()
        .iter()
        .map(|finding| finding.path.as_str())
        .collect()
}

/// Parses the valid control file with `from` replaced by `to`.
fn control(from: &str, to: &str) -> Result<Control, Report> {
    let text = std::fs::read_to_string(fixture("control.json")).unwrap();
    assert!(text.contains(from), "the fixture lacks {from}");
    parse(
        Path::new("control.json"),
        &text.replace(from, to),
        Ports::Fixed,
    )
}

/// Guards against defaults or units that are lost between the file and the typed settings.
#[test]
fn defaults_and_units_survive_conversion() {
    let entry: Entry = load(&fixture("entry.json")).unwrap();
    assert_eq!(entry.instance.as_str(), "entry-a");
    assert_eq!(entry.stop_timeout, Duration::from_millis(1500));
    assert_eq!(entry.start_timeout, Duration::from_secs(10));
    assert_eq!((entry.max_callers, entry.max_starting), (10_000, 2000));
    assert_eq!(entry.callers[0].salt, b"salt");
    assert_eq!(entry.callers[0].hash.len(), 32);
    assert_eq!(entry.log.level, Level::Info);

    let control: Control = load(&fixture("control.json")).unwrap();
    assert_eq!(control.members[1].address, "[::1]:7200".parse().unwrap());
    assert_eq!(control.log.format, Format::Json);
    assert_eq!(control.target_user, "limpettally");
    assert_eq!(control.organisation.as_str(), "organisation");

    let standin: Standin = load(&fixture("standin.json")).unwrap();
    assert_eq!(standin.statement, Duration::from_micros(250));
    assert_eq!(standin.primary, Some("127.0.0.1:5433".parse().unwrap()));
    assert_eq!((standin.connections, standin.slots), (35, 5));
}

/// Guards against a check that stops at the first error, or skips the rules across fields when the
/// document violates the schema.
#[test]
fn all_findings_are_reported_together() {
    let report = load::<Entry>(&fixture("faults.json")).unwrap_err();
    assert_eq!(
        paths(&report),
        [
            "/callers/0/hash",
            "/callers/0/iterations",
            "/callers/0/salt",
            "/callers/1/hash",
            "/callers/1/user",
            "/control/1",
            "/control/2",
            "/control/3",
            "/domain",
            "/http",
            "/instance",
            "/log/level",
            "/max_calers",
            "/max_callers",
            "/session_keys/1/id",
            "/session_keys/1/kid",
            "/token",
        ],
        "{report}"
    );
    assert_eq!(report.to_string().lines().count(), 17);
    for line in report.to_string().lines() {
        assert!(line.contains("faults.json: /"), "{line}");
    }
}

/// Guards against secrets that reach a log through a finding or a `Debug` form.
#[test]
fn findings_and_debug_forms_hide_secrets() {
    let report = load::<Entry>(&fixture("faults.json")).unwrap_err();
    assert!(!format!("{report:?}{report}").contains("hunter2"));
    let entry: Entry = load(&fixture("entry.json")).unwrap();
    let debug = format!("{entry:?}");
    assert!(!debug.contains("0123456789abcdef"), "{debug}");
    assert!(!debug.contains("hash"), "{debug}");
}

/// Guards against a control instance that starts with members that cannot form a cluster.
#[rstest]
#[case::absent(
    "\"instance\": \"control-a\",\n",
    "\"instance\": \"control-c\",\n",
    "/members"
)]
#[case::name("control-b", "control-a", "/members/1/instance")]
#[case::address("[::1]:7200", "127.0.0.1:7100", "/members/1/address")]
#[case::port("[::1]:7200", "[::1]:0", "/members/1/address")]
#[case::large_port("[::1]:7200", "[::1]:70000", "/members/1/address")]
#[case::number(
    "\"data\": \"data\"",
    "\"data\": \"data\", \"stop_timeout_ms\": 1.5",
    "/stop_timeout_ms"
)]
fn members_that_cannot_form_a_cluster_are_rejected(
    #[case] from: &str,
    #[case] to: &str,
    #[case] path: &str,
) {
    let report = control(from, to).unwrap_err();
    assert_eq!(paths(&report), [path], "{report}");
}

/// Guards against port 0 in production, and against a check that keeps tests from using it.
#[test]
fn port_zero_is_allowed_only_with_any_ports() {
    let text = std::fs::read_to_string(fixture("standin.json")).unwrap();
    let text = text.replace("127.0.0.1:5432", "127.0.0.1:0");
    let path = Path::new("standin.json");
    let report = parse::<Standin>(path, &text, Ports::Fixed).unwrap_err();
    assert_eq!(paths(&report), ["/listen"]);
    let standin = parse::<Standin>(path, &text, Ports::Any).unwrap();
    assert_eq!(standin.listen.port(), 0);
}

/// Guards against a target whose announcements every entry would reject.
#[test]
fn announcing_without_a_token_is_rejected() {
    let text = std::fs::read_to_string(fixture("standin.json")).unwrap();
    let text = text.replace("\"token\": \"0123456789abcdef\",", "");
    let path = Path::new("standin.json");
    let report = parse::<Standin>(path, &text, Ports::Fixed).unwrap_err();
    assert_eq!(paths(&report), ["/token"]);
}

/// Guards against a finding that does not say where the file is malformed.
#[test]
fn malformed_files_name_line_and_column() {
    let malformed = "{\n  \"instance\": \"a\",\n  oops\n}";
    let report = parse::<Control>(Path::new("c.json"), malformed, Ports::Fixed).unwrap_err();
    assert!(report.to_string().contains("line 3 column 3"), "{report}");
    let report = load::<Control>(&fixture("absent.json")).unwrap_err();
    assert!(report.to_string().contains("absent.json"), "{report}");
    assert_eq!(report.findings().len(), 1);
}

/// Guards against a schema that does not compile, and against a document that is not an object and
/// passes.
#[rstest]
#[case::control(parse::<Control>)]
#[case::entry(parse::<Entry>)]
#[case::standin(parse::<Standin>)]
fn schemas_compile_and_require_an_object<T: Kind>(
    #[case] parse: fn(&Path, &str, Ports) -> Result<T, Report>,
) {
    for text in ["[]", "null", "3"] {
        let report = parse(Path::new("x.json"), text, Ports::Fixed)
            .err()
            .unwrap();
        assert!(
            !report.to_string().contains("schema is invalid"),
            "{report}"
        );
        assert_eq!(paths(&report), [""]);
    }
}

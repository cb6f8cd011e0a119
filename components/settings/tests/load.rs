//! Checks of settings files, good and bad.

use std::path::{Path, PathBuf};
use std::time::Duration;

use rstest::rstest;
use settings::{Control, Entry, Format, Kind, Level, Ports, Report, Standin, load, parse};

fn file(name: &str) -> PathBuf {
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

/// Loads the good control file after a change of its text.
fn control(from: &str, to: &str) -> Result<Control, Report> {
    let text = std::fs::read_to_string(file("control.json")).unwrap();
    assert!(text.contains(from), "the fixture holds {from}");
    parse(
        Path::new("control.json"),
        &text.replace(from, to),
        Ports::Fixed,
    )
}

/// Guards against defaults or units that get lost between the file and the typed settings.
#[test]
fn good_files_become_typed_settings() {
    let entry: Entry = load(&file("entry.json")).unwrap();
    assert_eq!(entry.instance.as_str(), "entry-a");
    assert_eq!(entry.stop_timeout, Duration::from_millis(1500));
    assert_eq!(entry.start_timeout, Duration::from_secs(10));
    assert_eq!((entry.max_callers, entry.max_starting), (10_000, 2000));
    assert_eq!(entry.callers[0].salt, b"salt");
    assert_eq!(entry.callers[0].hash.len(), 32);
    assert_eq!(entry.log.level, Level::Info);

    let control: Control = load(&file("control.json")).unwrap();
    assert_eq!(control.members[1].address, "[::1]:7200".parse().unwrap());
    assert_eq!(control.log.format, Format::Json);
    assert_eq!(control.target_user, "limpettally");
    assert_eq!(control.organisation.as_str(), "organisation");

    let standin: Standin = load(&file("standin.json")).unwrap();
    assert_eq!(standin.statement, Duration::from_micros(250));
    assert_eq!(standin.primary, Some("127.0.0.1:5433".parse().unwrap()));
    assert_eq!((standin.connections, standin.slots), (35, 5));
}

/// Guards against a check that stops at the first fault, or skips cross-field rules when the schema
/// is broken.
#[test]
fn all_findings_are_reported_together() {
    let report = load::<Entry>(&file("faults.json")).unwrap_err();
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

/// Guards against secrets that reach a log through a finding or a debug form.
#[test]
fn secrets_stay_hidden() {
    let report = load::<Entry>(&file("faults.json")).unwrap_err();
    assert!(!format!("{report:?}{report}").contains("hunter2"));
    let entry: Entry = load(&file("entry.json")).unwrap();
    let shown = format!("{entry:?}");
    assert!(!shown.contains("0123456789abcdef"), "{shown}");
    assert!(!shown.contains("hash"), "{shown}");
}

/// Guards against a control instance that starts with members that can't form its cluster.
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
fn cross_field_rules(#[case] from: &str, #[case] to: &str, #[case] path: &str) {
    let report = control(from, to).unwrap_err();
    assert_eq!(paths(&report), [path], "{report}");
}

/// Guards against port 0 in production, and against tests that can't use it.
#[test]
fn port_zero_is_for_tests() {
    let text = std::fs::read_to_string(file("standin.json")).unwrap();
    let text = text.replace("127.0.0.1:5432", "127.0.0.1:0");
    let path = Path::new("standin.json");
    let report = parse::<Standin>(path, &text, Ports::Fixed).unwrap_err();
    assert_eq!(paths(&report), ["/listen"]);
    let standin = parse::<Standin>(path, &text, Ports::Any).unwrap();
    assert_eq!(standin.listen.port(), 0);
}

/// Guards against announcements that every entry would refuse.
#[test]
fn announcing_needs_a_token() {
    let text = std::fs::read_to_string(file("standin.json")).unwrap();
    let text = text.replace("\"token\": \"0123456789abcdef\",", "");
    let path = Path::new("standin.json");
    let report = parse::<Standin>(path, &text, Ports::Fixed).unwrap_err();
    assert_eq!(paths(&report), ["/token"]);
}

/// Guards against a message that leaves the operator searching the file.
#[test]
fn broken_files_name_the_place() {
    let broken = "{\n  \"instance\": \"a\",\n  oops\n}";
    let report = parse::<Control>(Path::new("c.json"), broken, Ports::Fixed).unwrap_err();
    assert!(report.to_string().contains("line 3 column 3"), "{report}");
    let report = load::<Control>(&file("absent.json")).unwrap_err();
    assert!(report.to_string().contains("absent.json"), "{report}");
    assert_eq!(report.findings().len(), 1);
}

/// Guards against a schema that the validator rejects, or a document of another shape that passes.
#[rstest]
#[case::control(parse::<Control>)]
#[case::entry(parse::<Entry>)]
#[case::standin(parse::<Standin>)]
fn schemas_are_sound<T: Kind>(#[case] parse: fn(&Path, &str, Ports) -> Result<T, Report>) {
    for text in ["[]", "null", "3"] {
        let report = parse(Path::new("x.json"), text, Ports::Fixed)
            .err()
            .unwrap();
        assert!(!report.to_string().contains("schema is broken"), "{report}");
        assert_eq!(paths(&report), [""]);
    }
}

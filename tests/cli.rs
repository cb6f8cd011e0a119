//! The operators' command line against a fake control instance.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use admin::{Raw, Reply, Request, api};
use limpettally::args;
use observe::http::{Response, serve};
use observe::{process, token};
use rstest::rstest;
use settings::{Control, Kind};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{spawn_blocking, spawn_local};

const TOKEN: &str = "0123456789abcdef";

fn settings_file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("components/settings/tests/files")
        .join(name)
}

fn program(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_limpettally"))
        .args(args)
        .env("LIMPETTALLY_TOKEN", TOKEN)
        .env("USER", "anna")
        .output()
        .unwrap()
}

fn sample_target() -> api::Target {
    api::Target {
        target: "uova-1a".into(),
        service: "registro-uova".into(),
        database: "ordini".into(),
        group: "ordini-1".into(),
        region: "sicilia-est".into(),
        domain: "catania".into(),
        address: "127.0.0.1:5432".into(),
        state: api::State::Draining,
        role: api::Role::Replica,
        lsn: Some("0/10".into()),
        lag_bytes: None,
        silent_ms: Some(20),
    }
}

fn reply_to(request: &Request) -> Reply {
    match request {
        Request::Targets => Reply::Targets(api::Targets {
            revision: 41,
            targets: vec![sample_target()],
        }),
        Request::Mark { target, .. } if target.as_str() == "uova-1b" => {
            Reply::not_found("target uova-1b")
        }
        Request::Mark { change, .. } if change.base.0 < 41 => Reply::Conflict(api::Conflict {
            request: "r-9".into(),
            revision: 41,
            operator: "ugo".into(),
        }),
        Request::Mark { .. } => Reply::Accepted(api::Accepted {
            revision: 42,
            pending: vec!["entry-b".into()],
        }),
        Request::Settings(path) => Reply::Settings(api::Settings {
            path: path.as_str().into(),
            revision: 41,
            values: vec![api::Setting {
                key: "slots".into(),
                value: 5.into(),
            }],
        }),
        Request::Set { value, .. } if *value == Some("many".into()) => {
            let text = "is no number".into();
            Reply::Findings(vec![api::Finding {
                path: "a: slots".into(),
                text,
            }])
        }
        Request::Set { .. } => Reply::Accepted(api::Accepted {
            revision: 42,
            pending: Vec::new(),
        }),
        _ => Reply::no_quorum(),
    }
}

/// Runs the program against a control instance that answers with [`reply_to`]; returns its output
/// and the received requests.
fn run_against_control(args: &[&str]) -> (Output, Vec<Request>) {
    let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
    process::block_on(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let (sender, mut events) = mpsc::channel::<observe::http::Request>(16);
        spawn_local(serve(listener, sender));
        let (request_sender, mut requests) = mpsc::unbounded_channel();
        spawn_local(async move {
            while let Some(event) = events.recv().await {
                let request = Request::try_from(Raw {
                    method: &event.method,
                    path: &event.path,
                    query: event.query.as_deref(),
                    body: &event.body,
                });
                let answer = match &request {
                    _ if !token::matches(event.token.as_deref(), TOKEN) => Reply::unauthorized(),
                    Ok(request) => reply_to(request),
                    Err(fault) => fault.clone().into(),
                };
                let encoded = answer.encode();
                event
                    .reply
                    .send(Response::json(encoded.status, encoded.body));
                if let Ok(request) = request {
                    request_sender.send(request).unwrap();
                }
            }
        });
        let output = spawn_blocking(move || {
            let mut arguments = vec!["--control", &address, "--timeout-ms", "5000"];
            arguments.extend(args.iter().map(String::as_str));
            program(&arguments)
        });
        let output = output.await?;
        let mut received = Vec::new();
        while let Ok(request) = requests.try_recv() {
            received.push(request);
        }
        Ok((output, received))
    })
    .unwrap()
}

/// Guards against wrong exit codes, tables and messages.
#[rstest]
#[case::list(&["targets", "list"], 0, "TARGET   DATABASE  GROUP     DOMAIN   ADDRESS         STATE     ROLE     LSN   LAG_BYTES  SILENT_MS\nuova-1a  ordini    ordini-1  catania  127.0.0.1:5432  draining  replica  0/10  -          20\n", "")]
#[case::accepted(&["targets", "leaving", "uova-1a"], 0, "accepted at revision 42\nnot yet in force on: entry-b", "")]
#[case::conflict(&["targets", "leaving", "uova-1a", "--base", "7"], 1, "", "the change r-9 by ugo at revision 41 came first")]
#[case::unknown(&["targets", "leaving", "uova-1b"], 1, "", "target uova-1b does not exist; the list subcommands")]
#[case::findings(&["settings", "set", "a", "slots", "many"], 1, "", "\n  a: slots: is no number")]
#[case::json(&["targets", "leaving", "uova-1a", "--json"], 0, "{\"pending\":[\"entry-b\"],\"revision\":42}\n", "")]
#[case::json_conflict(&["--json", "targets", "leaving", "uova-1a", "--base", "7"], 1, "\"operator\":\"ugo\"", "")]
#[case::get(&["settings", "get", "/a/b/", "slots"], 0, "KEY    VALUE\nslots  5\n", "")]
#[case::quorum(&["status", "--timeout-ms", "3000"], 1, "", "start the missing control instances")]
fn outcome_of_a_command(
    #[case] args: &[&str],
    #[case] code: i32,
    #[case] stdout: &str,
    #[case] stderr: &str,
) {
    let (output, _) = run_against_control(args);
    let stdout_text = String::from_utf8(output.stdout).unwrap();
    let stderr_text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(
        output.status.code(),
        Some(code),
        "{stdout_text}{stderr_text}"
    );
    assert!(stdout_text.contains(stdout), "{stdout_text}");
    assert!(stderr_text.contains(stderr), "{stderr_text}");
    assert_eq!(
        (stdout.is_empty(), stderr.is_empty()),
        (stdout_text.is_empty(), stderr_text.is_empty())
    );
}

/// Guards against changes with another base revision, request id or operator than those that were
/// given or read.
#[test]
fn changes_carry_base_request_and_operator() {
    let (_, requests) = run_against_control(&[
        "settings",
        "set",
        "a/b",
        "slots",
        "3",
        "--request-id",
        "r-1",
    ]);
    let [
        Request::Settings(read),
        Request::Set {
            path,
            key,
            value,
            change,
        },
    ] = requests.as_slice()
    else {
        panic!("{requests:?}");
    };
    assert_eq!((read, path.as_str(), key.as_str()), (path, "a/b", "slots"));
    assert_eq!(*value, Some(3.into()));
    assert_eq!((change.base.0, change.request.as_str()), (41, "r-1"));
    assert_eq!(change.operator, "anna");

    let (_, requests) = run_against_control(&[
        "settings",
        "unset",
        "/",
        "slots",
        "--base",
        "9",
        "--operator",
        "ugo",
    ]);
    let [
        Request::Set {
            value: None,
            change,
            ..
        },
    ] = requests.as_slice()
    else {
        panic!("{requests:?}");
    };
    assert_eq!((change.base.0, change.operator.as_str()), (9, "ugo"));
    assert_eq!(
        change.request.len(),
        36,
        "the default request id is no UUID"
    );
}

/// Guards against invalid usage that is reported as a failure of the system, or that sends a
/// change.
#[rstest]
#[case::no_control(&["status"], "--control ADDRESS is missing")]
#[case::no_subcommand(&["--control", "127.0.0.1:1"], "Usage")]
#[case::name(&["--control", "127.0.0.1:1", "targets", "retire", "a/b"], "is no name")]
#[case::null(&["--control", "127.0.0.1:1", "settings", "set", "a", "slots", "null"], "settings unset")]
#[case::token(&["--control", "127.0.0.1:1", "--token-file", "absent", "status"], "--token-file absent")]
#[case::kind(&["check-settings", "daemon", "x.json"], "invalid value")]
fn invalid_usage(#[case] args: &[&str], #[case] text: &str) {
    let output = program(args);
    let stderr_text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{stderr_text}");
    assert!(stderr_text.contains(text), "{stderr_text}");
}

/// Guards against a check that accepts an invalid settings file or rejects a valid one.
#[rstest]
#[case("entry", "entry.json", 0, 0)]
#[case("control", "control.json", 0, 0)]
#[case("standin", "standin.json", 0, 0)]
#[case("entry", "faults.json", 2, 17)]
#[case("control", "absent.json", 2, 1)]
fn check_settings_reports_all_findings(
    #[case] kind: &str,
    #[case] file: &str,
    #[case] code: i32,
    #[case] findings: usize,
) {
    let output = program(&[
        "check-settings",
        kind,
        settings_file(file).to_str().unwrap(),
    ]);
    let stderr_text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(code), "{stderr_text}");
    assert_eq!(stderr_text.lines().count(), findings, "{stderr_text}");
}

fn load<T: Kind>(args: &[&str]) -> Result<T, std::process::ExitCode> {
    let args = std::iter::once(&"program").chain(args).map(Into::into);
    args::load_from("program", "Test", args)
}

/// Guards against a process that starts despite findings, or after a check of its settings.
#[test]
fn processes_load_their_settings() {
    let good = settings_file("control.json");
    let good = good.to_str().unwrap();
    let bad = settings_file("faults.json");
    let control = load::<Control>(&["--settings", good]).unwrap();
    assert_eq!(control.instance.as_str(), "control-a");
    let checked = load::<Control>(&["--settings", good, "--check-settings"]);
    assert_eq!(checked, Err(std::process::ExitCode::SUCCESS));
    let refused = load::<Control>(&["--settings", bad.to_str().unwrap()]);
    assert_eq!(refused, Err(std::process::ExitCode::from(2)));
}

fn logs(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/explain");
    folder.join(name).display().to_string()
}

// A refusal is explained by what its service went through on other processes before it.
#[test]
fn explain_shows_a_request_with_the_changes_of_state_before_it() {
    let (proxy, coordinator) = (logs("proxy-1.log"), logs("coordinator-1.log"));
    let output = program(&["explain", "66d4", &proxy, &coordinator]);
    let text = String::from_utf8(output.stdout).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[0].contains("unusable primaries"), "{text}");
    assert!(lines[1].contains("coordinator-1") && lines[1].contains("to=gather"));
    assert!(lines[2].contains("outcome=no_primary"));
}

#[test]
fn explain_refuses_an_unknown_request() {
    let output = program(&["explain", "none", &logs("proxy-1.log")]);
    assert_eq!(output.status.code(), Some(2));
}

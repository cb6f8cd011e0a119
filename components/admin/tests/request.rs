//! Parsing of requests and encoding of replies, without sockets.

use std::time::Duration;

use admin::{Fault, Raw, Reply, Request, api};
use http::{Method, StatusCode};
use rstest::rstest;
use serde_json::json;
use types::target::{Role, State};

const CHANGE: &str = r#""base":7,"request":"r-1","operator":"anna""#;

fn parse(line: &str, body: &str) -> Result<Request, Fault> {
    let (method, uri) = line.split_once(' ').unwrap();
    let (path, query) = uri
        .split_once('?')
        .map_or((uri, None), |(path, query)| (path, Some(query)));
    Request::try_from(Raw {
        method: &method.parse::<Method>().unwrap(),
        path,
        query,
        body: body.as_bytes(),
    })
}

/// Status of the reply to an invalid request, and the paths of its findings.
fn refusal(line: &str, body: &str) -> (u16, Vec<String>) {
    let reply = Reply::from(parse(line, body).unwrap_err());
    let paths = match &reply {
        Reply::Findings(findings) => findings.iter().map(|f| f.path.clone()).collect(),
        _ => Vec::new(),
    };
    (reply.encode().status.as_u16(), paths)
}

/// Guards against a method and path that are parsed as the wrong request, or without their
/// parameters.
#[rstest]
#[case("GET /v1/status", "", "Status")]
#[case("GET /v1/targets", "", "Targets")]
#[case("GET /v1/members", "", "Members")]
#[case("GET /v1/settings", "", "Settings(Path(\"\"))")]
#[case("GET /v1/settings?path=a/b%2Fc", "", "Settings(Path(\"a/b/c\"))")]
#[case("GET /v1/settings/explain?path=a", "", "Explain(Path(\"a\"))")]
#[case("GET /v1/settings/history?path=a", "", "History(Path(\"a\"))")]
#[case("DELETE /v1/targets/t-1", "{CHANGE}", "Retire { target: Name(\"t-1\")")]
#[case(
    "POST /v1/members/c/promote",
    "{CHANGE}",
    "Promote { instance: Name(\"c\")"
)]
#[case("DELETE /v1/members/c", "{CHANGE}", "Remove { instance: Name(\"c\")")]
#[case(
    "POST /v1/databases/d/switch",
    "{CHANGE}",
    "Switch { database: Name(\"d\"), target: None, change: Change { base: Revision(7), \
     request: \"r-1\", operator: \"anna\" } }"
)]
#[case(
    "POST /v1/databases/d/switch",
    "{\"target\":\"t\",CHANGE}",
    "target: Some(Name(\"t\"))"
)]
#[case(
    "POST /v1/targets/t/state",
    "{\"state\":\"leaving\",CHANGE}",
    "state: Leaving"
)]
#[case(
    "POST /v1/members",
    "{\"instance\":\"c\",\"address\":\"127.0.0.1:7\",\"disk\":\"00000000000000ff\",CHANGE}",
    "disk: Some(255)"
)]
#[case(
    "POST /v1/settings",
    "{\"path\":\"a/b\",\"key\":\"slots\",\"value\":3,CHANGE}",
    "value: Some(Number(3))"
)]
#[case(
    "POST /v1/settings",
    "{\"path\":\"\",\"key\":\"slots\",\"value\":null,CHANGE}",
    "value: None"
)]
fn requests_are_parsed_by_method_and_path(
    #[case] line: &str,
    #[case] body: &str,
    #[case] expected_part: &str,
) {
    let request = parse(line, &body.replace("CHANGE", CHANGE)).unwrap();
    let shown = format!("{request:?}");
    assert!(shown.contains(expected_part), "{shown}");
    assert_eq!(request.is_change(), body.contains("CHANGE"), "{shown}");
}

/// Guards against a request that is accepted although a part of it is wrong or misspelt, and against
/// a reply that lists only the first finding.
#[rstest]
#[case::path("GET /v2/status", "", 404, &[])]
#[case::unknown_path("GET /v1/status/x", "", 404, &[])]
#[case::method("POST /v1/status", "", 405, &[])]
#[case::method_of_name("GET /v1/targets/t", "", 405, &[])]
#[case::parameter("GET /v1/status?path=a", "", 422, &["path"])]
#[case::misspelt("GET /v1/settings?pth=a", "", 422, &["pth"])]
#[case::twice("GET /v1/settings?path=a&path=b", "", 422, &["path"])]
#[case::utf8("GET /v1/settings?path=%ff", "", 422, &["path"])]
#[case::node("GET /v1/settings?path=a//b", "", 422, &["path"])]
#[case::levels("GET /v1/settings?path=a/b/c/d/e/f/g/h", "", 422, &["path"])]
#[case::name("POST /v1/targets/T/state", "{\"state\":\"leaving\",CHANGE}", 422, &["name"])]
#[case::state("POST /v1/targets/t/state", "{\"state\":\"gone\",CHANGE}", 422, &["/state"])]
#[case::json("POST /v1/settings", "{", 422, &[""])]
#[case::empty("DELETE /v1/targets/t", "", 422, &[""])]
#[case::all_findings("POST /v1/settings", "{\"path\":3,\"extra\":1,\"base\":-1,\"request\":\"\"}", 422,
    &["/base", "/extra", "/key", "/operator", "/path", "/request", "/value"])]
#[case::no_value("POST /v1/settings", "{\"path\":\"a\",\"key\":\"slots\",CHANGE}", 422, &["/value"])]
#[case::join("POST /v1/members", "{\"instance\":\"C\",\"address\":\"x\",CHANGE}", 422,
    &["/address", "/instance"])]
fn invalid_requests_are_refused_with_all_findings(
    #[case] line: &str,
    #[case] body: &str,
    #[case] status: u16,
    #[case] paths: &[&str],
) {
    let (actual_status, mut actual_paths) = refusal(line, &body.replace("CHANGE", CHANGE));
    actual_paths.sort();
    assert_eq!(
        (actual_status, actual_paths.as_slice()),
        (status, owned_paths(paths).as_slice())
    );
}

fn owned_paths(paths: &[&str]) -> Vec<String> {
    paths.iter().map(|path| (*path).to_owned()).collect()
}

/// Guards against an announcement with wrong defaults or units, and against a missing finding.
#[test]
fn announcements_keep_defaults_and_units() {
    let body = json!({
        "service": "registro-uova", "database": "ordini", "group": "ordini-1",
        "region": "sicilia-est", "domain": "catania", "address": "127.0.0.1:5432",
        "role": "replica", "ttl_ms": 1500, "slots": 3,
    });
    let Request::Announce { announcement, ttl } =
        parse("PUT /v1/targets/uova-1a", &body.to_string()).unwrap()
    else {
        panic!("the request is not an announcement");
    };
    assert_eq!(ttl, Duration::from_millis(1500));
    assert_eq!(announcement.target.as_str(), "uova-1a");
    assert_eq!((announcement.connections, announcement.slots), (35, 3));
    assert_eq!(
        (announcement.role, announcement.leaving),
        (Role::Replica, false)
    );

    let mut bad = body;
    bad["service"] = "Registro".into();
    bad["address"] = "localhost:5432".into();
    let (status, paths) = refusal("PUT /v1/targets/uova-1a", &bad.to_string());
    assert_eq!(
        (status, paths),
        (422, owned_paths(&["/service", "/address"]))
    );
    bad["connections"] = 0.into();
    bad["ttl_ms"] = 1.into();
    let (_, mut paths) = refusal("PUT /v1/targets/uova-1a", &bad.to_string());
    paths.sort();
    assert_eq!(paths, ["/connections", "/ttl_ms"]);
}

/// Guards against a status code after which a client retries or gives up wrongly.
#[rstest]
#[case(Reply::Accepted(api::Accepted { revision: 9, pending: vec!["entry-a".into()] }), 200,
    r#"{"pending":["entry-a"],"revision":9}"#)]
#[case(Reply::Announced, 204, "")]
#[case(Reply::Conflict(api::Conflict { request: "r-2".into(), revision: 8, operator: "ugo".into() }), 409,
    r#"{"operator":"ugo","request":"r-2","revision":8}"#)]
#[case(Reply::no_quorum(), 503, "no_quorum")]
#[case(Reply::NotLeader(None), 503, "not_leader")]
#[case(Reply::NotLeader(Some("http://127.0.0.1:1/v1/status".into())), 307, "not_leader")]
#[case(Reply::unauthorized(), 401, "unauthorized")]
#[case(Reply::not_found("t-1"), 404, "t-1 does not exist")]
#[case(Reply::refused("has not caught up".into()), 412, "has not caught up")]
fn replies_have_their_status_and_body(
    #[case] reply: Reply,
    #[case] status: u16,
    #[case] expected_part: &str,
) {
    let encoded = reply.encode();
    assert_eq!(encoded.status, StatusCode::from_u16(status).unwrap());
    assert!(encoded.body.contains(expected_part), "{}", encoded.body);
    assert_eq!(encoded.location.is_some(), status == 307);
}

/// Guards against a target state that is converted to another one between the API and the core
/// types.
#[test]
fn states_round_trip() {
    for state in [State::Serving, State::Draining, State::Leaving] {
        assert_eq!(State::from(api::State::from(state)), state);
        assert_eq!(
            format!("{state:?}").to_lowercase(),
            api::State::from(state).to_string()
        );
    }
}

//! The client against fake control instances.

use std::net::SocketAddr;
use std::time::Duration;

use admin::client::{Call, Client};
use admin::{Answer, Encoded, Refusal, Reply, Tally, api};
use http::{Method, StatusCode};
use observe::http::{Request, Response, serve};
use rstest::rstest;
use settings::Secret;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::Instant;

const BODY: &str = r#"{"request":"r-1"}"#;

/// What a fake instance does with a request.
#[derive(Clone)]
enum Act {
    Answer(Reply),
    /// Names another address as the leader.
    Redirect(SocketAddr),
    /// Closes the connection without an answer.
    Silent,
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Starts an instance that does `acts` in turn, the last one again and again. Requests that it gets
/// go to `seen`.
fn start(listener: TcpListener, mut acts: Vec<Act>, seen: mpsc::UnboundedSender<String>) {
    let (sender, mut events) = mpsc::channel::<Request>(16);
    acts.reverse();
    let server = spawn_local(serve(listener, sender));
    spawn_local(async move {
        while let Some(request) = events.recv().await {
            let act = if acts.len() > 1 {
                acts.pop()
            } else {
                acts.last().cloned()
            };
            let body = String::from_utf8_lossy(&request.body).into_owned();
            let token = request.token.unwrap_or_default();
            let _closed = seen.send(format!(
                "{} {} {token} {body}",
                request.method, request.path
            ));
            let reply = match act.unwrap() {
                Act::Answer(reply) => reply,
                Act::Redirect(leader) => {
                    Reply::Elsewhere(Some(format!("http://{leader}{}", request.path)))
                }
                Act::Silent => {
                    server.abort();
                    return;
                }
            };
            let Encoded {
                status,
                body,
                location,
            } = reply.encode();
            let mut response = Response::json(status, body);
            response.location = location;
            request.reply.send(response);
        }
    });
}

fn accepted() -> Act {
    Act::Answer(Reply::Accepted(api::Accepted {
        revision: 9,
        pending: Vec::new(),
    }))
}

fn client(controls: &[SocketAddr]) -> Client {
    let token = Secret::new("0123456789abcdef".to_owned());
    Client::new(controls.to_vec(), token, Duration::from_secs(10))
}

fn call() -> Call {
    Call::new(Method::POST, "/v1/settings", BODY.to_owned())
}

/// Starts one instance for each list of acts, calls them in order, and returns the decoded answer
/// with what the instances saw.
async fn run(fakes: Vec<Vec<Act>>) -> (Result<api::Accepted, Refusal>, Vec<String>) {
    LocalSet::new()
        .run_until(async {
            let (sender, mut seen) = mpsc::unbounded_channel();
            let mut controls = Vec::new();
            for acts in fakes {
                let (listener, address) = listen().await;
                start(listener, acts, sender.clone());
                controls.push(address);
            }
            let answer = client(&controls).send(&call()).await.unwrap();
            let mut requests = Vec::new();
            while let Ok(request) = seen.try_recv() {
                requests.push(request);
            }
            (answer.decode(), requests)
        })
        .await
}

/// Guards against a change that is lost because the first instance died before its answer, and
/// against a resend with another request id, which would run the change twice.
#[tokio::test]
async fn resends_after_a_lost_answer() {
    let (answer, requests) = run(vec![vec![Act::Silent], vec![accepted()]]).await;
    assert_eq!(answer.unwrap().revision, 9);
    let sent = format!("POST /v1/settings 0123456789abcdef {BODY}");
    assert_eq!(requests, [sent.clone(), sent]);
}

/// Guards against giving up during an election, when no instance knows a leader.
#[tokio::test]
async fn outlasts_an_election() {
    let unknown = Act::Answer(Reply::Elsewhere(None));
    let quorum = Act::Answer(Reply::no_quorum());
    let (answer, requests) = run(vec![vec![unknown.clone()], vec![quorum, accepted()]]).await;
    assert_eq!(answer.unwrap().revision, 9);
    assert_eq!(requests.len(), 4);
}

/// Guards against a resend of a request that was refused for good.
#[tokio::test]
async fn refusals_are_final() {
    let conflict = api::Conflict {
        request: "r-2".into(),
        revision: 8,
        operator: "ugo".into(),
    };
    let acts = vec![Act::Answer(Reply::Conflict(conflict.clone()))];
    let (answer, requests) = run(vec![acts, vec![accepted()]]).await;
    assert_eq!(answer, Err(Refusal::Conflict(conflict)));
    assert_eq!(requests.len(), 1);

    let findings = vec![api::Finding {
        path: "/key".into(),
        text: "unknown key".into(),
    }];
    let (answer, _) = run(vec![vec![Act::Answer(Reply::Findings(findings.clone()))]]).await;
    assert_eq!(answer, Err(Refusal::Findings(findings)));

    let (answer, _) = run(vec![vec![Act::Answer(Reply::unauthorized())]]).await;
    assert!(matches!(answer, Err(Refusal::Failure(f)) if f.reason == api::Reason::Unauthorized));
}

/// Guards against a change that a follower drops, and against a token that a redirect loses.
#[tokio::test]
async fn follows_the_leader() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let (sender, mut seen) = mpsc::unbounded_channel();
            let (follower, at) = listen().await;
            let (leader, leads) = listen().await;
            start(follower, vec![Act::Redirect(leads)], sender.clone());
            start(leader, vec![accepted()], sender);
            let answer = client(&[at]).send(&call()).await.unwrap();
            assert_eq!(answer.decode::<api::Accepted>().unwrap().revision, 9);
            assert_eq!(seen.recv().await, seen.recv().await);
        })
        .await;
}

/// Guards against two instances that name each other as the leader and keep the client for good.
#[tokio::test(start_paused = true)]
async fn redirects_end() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let (sender, _seen) = mpsc::unbounded_channel();
            let (a, at_a) = listen().await;
            let (b, at_b) = listen().await;
            start(a, vec![Act::Redirect(at_b)], sender.clone());
            start(b, vec![Act::Redirect(at_a)], sender);
            let start = Instant::now();
            let error = client(&[at_a, at_b]).send(&call()).await.unwrap_err();
            assert!(start.elapsed() <= Duration::from_secs(11), "{error:?}");
            assert!(!error.unknown, "{error:?}");
        })
        .await;
}

/// Guards against a client that hangs with instances that accept connections and never answer. The
/// clock is paused: it moves on only when all tasks wait.
#[tokio::test(start_paused = true)]
async fn gives_up_in_time() {
    let (_silent, address) = listen().await;
    let start = Instant::now();
    let error = client(&[address]).send(&call()).await.unwrap_err();
    assert!(error.unknown, "the instance may have read the request");
    let error = error.cause;
    assert!(start.elapsed() <= Duration::from_secs(11), "{error:#}");
    assert!(
        format!("{error:#}").contains(&address.to_string()),
        "{error:#}"
    );
}

fn failed(reply: &Reply) -> anyhow::Result<Answer> {
    let Encoded { status, body, .. } = reply.encode();
    let body = serde_json::from_str(&body)?;
    Ok(Answer { status, body })
}

fn gave_up() -> anyhow::Result<Answer> {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let body = "no answer in time".into();
    Ok(Answer { status, body })
}

fn broken() -> anyhow::Result<Answer> {
    Err(anyhow::anyhow!("connection lost"))
}

/// Guards against "not accepted" for a change that an instance took before it fell silent, or that
/// is in a log and may still be committed.
#[rstest]
#[case::lost(broken(), true, true)]
#[case::unsent(broken(), false, false)]
#[case::uncommitted(failed(&Reply::unknown()), true, true)]
#[case::gave_up(gave_up(), true, true)]
#[case::no_quorum(failed(&Reply::no_quorum()), true, false)]
#[case::no_leader(failed(&Reply::Elsewhere(None)), true, false)]
fn doubt_outlasts_a_refusal(
    #[case] first: anyhow::Result<Answer>,
    #[case] sent: bool,
    #[case] unknown: bool,
) {
    let mut tally = Tally::new(true);
    assert_eq!(tally.on_attempt(first, sent), None);
    assert_eq!(tally.on_attempt(failed(&Reply::no_quorum()), true), None);
    match tally.end() {
        Ok(answer) => assert!(!unknown, "{answer:?}"),
        Err(unanswered) => assert!(unanswered.unknown && unknown, "{unanswered:?}"),
    }
}

/// Guards against doubt about a read, which changes nothing.
#[test]
fn reads_leave_no_doubt() {
    let mut tally = Tally::new(false);
    assert_eq!(tally.on_attempt(broken(), true), None);
    assert!(!tally.end().unwrap_err().unknown);
}

/// Guards against doubt about a change that no instance can have seen.
#[tokio::test]
async fn a_refused_connection_settles() {
    let (listener, address) = listen().await;
    drop(listener);
    let token = Secret::new("0123456789abcdef".to_owned());
    let client = Client::new(vec![address], token, Duration::from_millis(50));
    assert!(!client.send(&call()).await.unwrap_err().unknown);
}

//! The client against simulated control instances.

use std::net::SocketAddr;
use std::time::Duration;

use admin::client::{Call, Client};
use admin::{Answer, Attempts, Encoded, Refusal, Reply, api};
use http::{Method, StatusCode};
use observe::http::{Request, Response, serve};
use rstest::rstest;
use settings::Secret;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::Instant;

const BODY: &str = r#"{"request":"r-1"}"#;

/// Reaction of a simulated instance to a request.
#[derive(Clone)]
enum Behaviour {
    Answer(Reply),
    /// Redirects to another address.
    Redirect(SocketAddr),
    /// Closes the connection without an answer.
    Disconnect,
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Starts an instance that reacts to its requests with `behaviours` in order and repeats the last
/// one. Sends a line for each request to `request_log`.
fn start_instance(
    listener: TcpListener,
    mut behaviours: Vec<Behaviour>,
    request_log: mpsc::UnboundedSender<String>,
) {
    let (sender, mut events) = mpsc::channel::<Request>(16);
    behaviours.reverse();
    let server = spawn_local(serve(listener, sender));
    spawn_local(async move {
        while let Some(request) = events.recv().await {
            let behaviour = if behaviours.len() > 1 {
                behaviours.pop()
            } else {
                behaviours.last().cloned()
            };
            let body = String::from_utf8_lossy(&request.body).into_owned();
            let token = request.token.unwrap_or_default();
            let _closed = request_log.send(format!(
                "{} {} {token} {body}",
                request.method, request.path
            ));
            let reply = match behaviour.unwrap() {
                Behaviour::Answer(reply) => reply,
                Behaviour::Redirect(leader) => {
                    Reply::NotLeader(Some(format!("http://{leader}{}", request.path)))
                }
                Behaviour::Disconnect => {
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

fn accepted() -> Behaviour {
    Behaviour::Answer(Reply::Accepted(api::Accepted {
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

/// Starts one instance for each list of behaviours, sends a call to them in order, and returns the
/// decoded answer and the requests that the instances received.
async fn send_to(instances: Vec<Vec<Behaviour>>) -> (Result<api::Accepted, Refusal>, Vec<String>) {
    LocalSet::new()
        .run_until(async {
            let (sender, mut request_log) = mpsc::unbounded_channel();
            let mut controls = Vec::new();
            for behaviours in instances {
                let (listener, address) = listen().await;
                start_instance(listener, behaviours, sender.clone());
                controls.push(address);
            }
            let answer = client(&controls).send(&call()).await.unwrap();
            let mut requests = Vec::new();
            while let Ok(request) = request_log.try_recv() {
                requests.push(request);
            }
            (answer.decode(), requests)
        })
        .await
}

/// Guards against a change that is lost because the first instance dies before its answer, and
/// against a resend with another request id, which would carry out the change twice.
#[tokio::test]
async fn resends_the_same_request_after_a_lost_answer() {
    let (answer, requests) = send_to(vec![vec![Behaviour::Disconnect], vec![accepted()]]).await;
    assert_eq!(answer.unwrap().revision, 9);
    let sent = format!("POST /v1/settings 0123456789abcdef {BODY}");
    assert_eq!(requests, [sent.clone(), sent]);
}

/// Guards against giving up during an election, while no instance knows a leader.
#[tokio::test]
async fn retries_during_an_election() {
    let no_leader = Behaviour::Answer(Reply::NotLeader(None));
    let no_quorum = Behaviour::Answer(Reply::no_quorum());
    let (answer, requests) =
        send_to(vec![vec![no_leader.clone()], vec![no_quorum, accepted()]]).await;
    assert_eq!(answer.unwrap().revision, 9);
    assert_eq!(requests.len(), 4);
}

/// Guards against a resend of a request that got a final refusal.
#[tokio::test]
async fn refusals_are_final() {
    let conflict = api::Conflict {
        request: "r-2".into(),
        revision: 8,
        operator: "ugo".into(),
    };
    let behaviours = vec![Behaviour::Answer(Reply::Conflict(conflict.clone()))];
    let (answer, requests) = send_to(vec![behaviours, vec![accepted()]]).await;
    assert_eq!(answer, Err(Refusal::Conflict(conflict)));
    assert_eq!(requests.len(), 1);

    let findings = vec![api::Finding {
        path: "/key".into(),
        text: "unknown key".into(),
    }];
    let (answer, _) = send_to(vec![vec![Behaviour::Answer(Reply::Findings(
        findings.clone(),
    ))]])
    .await;
    assert_eq!(answer, Err(Refusal::Findings(findings)));

    let (answer, _) = send_to(vec![vec![Behaviour::Answer(Reply::unauthorized())]]).await;
    assert!(matches!(answer, Err(Refusal::Failure(f)) if f.reason == api::Reason::Unauthorized));
}

/// Guards against a change that is lost at a follower, and against a redirected request without its
/// token or body.
#[tokio::test]
async fn follows_a_redirect_to_the_leader() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let (sender, mut request_log) = mpsc::unbounded_channel();
            let (follower, follower_address) = listen().await;
            let (leader, leader_address) = listen().await;
            start_instance(
                follower,
                vec![Behaviour::Redirect(leader_address)],
                sender.clone(),
            );
            start_instance(leader, vec![accepted()], sender);
            let answer = client(&[follower_address]).send(&call()).await.unwrap();
            assert_eq!(answer.decode::<api::Accepted>().unwrap().revision, 9);
            assert_eq!(request_log.recv().await, request_log.recv().await);
        })
        .await;
}

/// Guards against a client that never returns because two instances redirect to each other.
#[tokio::test(start_paused = true)]
async fn gives_up_on_circular_redirects() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let (sender, _request_log) = mpsc::unbounded_channel();
            let (a, address_a) = listen().await;
            let (b, address_b) = listen().await;
            start_instance(a, vec![Behaviour::Redirect(address_b)], sender.clone());
            start_instance(b, vec![Behaviour::Redirect(address_a)], sender);
            let start = Instant::now();
            let error = client(&[address_a, address_b])
                .send(&call())
                .await
                .unwrap_err();
            assert!(start.elapsed() <= Duration::from_secs(11), "{error:?}");
            assert!(!error.outcome_unknown, "{error:?}");
        })
        .await;
}

/// Guards against a client that hangs because an instance accepts connections and never answers.
/// The clock is paused: it advances only while all tasks wait.
#[tokio::test(start_paused = true)]
async fn gives_up_on_silent_instances_in_time() {
    let (_silent, address) = listen().await;
    let start = Instant::now();
    let error = client(&[address]).send(&call()).await.unwrap_err();
    assert!(
        error.outcome_unknown,
        "the instance may have read the request"
    );
    let error = error.cause;
    assert!(start.elapsed() <= Duration::from_secs(11), "{error:#}");
    assert!(
        format!("{error:#}").contains(&address.to_string()),
        "{error:#}"
    );
}

fn reply_answer(reply: &Reply) -> anyhow::Result<Answer> {
    let Encoded { status, body, .. } = reply.encode();
    let body = serde_json::from_str(&body)?;
    Ok(Answer { status, body })
}

fn server_timeout() -> anyhow::Result<Answer> {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let body = "no answer in time".into();
    Ok(Answer { status, body })
}

fn lost_connection() -> anyhow::Result<Answer> {
    Err(anyhow::anyhow!("connection lost"))
}

/// Guards against reporting a change as not accepted although an instance may have received it
/// before its answer was lost, or has it in its log where it may still be committed.
#[rstest]
#[case::lost(lost_connection(), true, true)]
#[case::unsent(lost_connection(), false, false)]
#[case::uncommitted(reply_answer(&Reply::outcome_unknown()), true, true)]
#[case::server_timeout(server_timeout(), true, true)]
#[case::no_quorum(reply_answer(&Reply::no_quorum()), true, false)]
#[case::no_leader(reply_answer(&Reply::NotLeader(None)), true, false)]
fn an_unknown_outcome_outlasts_a_later_refusal(
    #[case] first: anyhow::Result<Answer>,
    #[case] sent: bool,
    #[case] unknown: bool,
) {
    let mut attempts = Attempts::new(true);
    assert_eq!(attempts.record(first, sent), None);
    assert_eq!(
        attempts.record(reply_answer(&Reply::no_quorum()), true),
        None
    );
    match attempts.finish() {
        Ok(answer) => assert!(!unknown, "{answer:?}"),
        Err(unanswered) => assert!(unanswered.outcome_unknown && unknown, "{unanswered:?}"),
    }
}

/// Guards against an unknown outcome of a read, which changes nothing.
#[test]
fn a_lost_read_has_no_unknown_outcome() {
    let mut attempts = Attempts::new(false);
    assert_eq!(attempts.record(lost_connection(), true), None);
    assert!(!attempts.finish().unwrap_err().outcome_unknown);
}

/// Guards against an unknown outcome of a change that no instance can have received.
#[tokio::test]
async fn a_refused_connection_leaves_no_unknown_outcome() {
    let (listener, address) = listen().await;
    drop(listener);
    let token = Secret::new("0123456789abcdef".to_owned());
    let client = Client::new(vec![address], token, Duration::from_millis(50));
    assert!(!client.send(&call()).await.unwrap_err().outcome_unknown);
}

//! Guards the limits of the HTTP server and the paths that every process serves.

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use observe::http::{Limits, Request, Response, serve_with};
use observe::metrics::Metrics;
use observe::{endpoint, token};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};

const TOKEN: &str = "0123456789abcdef";

/// Answers requests like a process: the common paths, then every request with the right token.
async fn answer_requests(mut events: mpsc::Receiver<Request>) {
    let metrics = Metrics::new();
    metrics.refusals.add("queue_full");
    while let Some(request) = events.recv().await {
        let Some(request) = endpoint::answer(request, &metrics.registry, Err("no lease")) else {
            continue;
        };
        if request.path == "/drop" {
            continue;
        }
        let authorized = token::matches(request.token.as_deref(), TOKEN);
        let status = if authorized {
            StatusCode::OK
        } else {
            StatusCode::UNAUTHORIZED
        };
        let summary = format!(
            "{} {} {:?} {}",
            request.method,
            request.path,
            request.query,
            request.body.len()
        );
        request.reply.send(Response::text(status, summary));
    }
}

/// Runs `test` against a server and a task that answers its requests.
async fn run_with_server<F: Future<Output = ()>>(
    limits: Limits,
    test: impl FnOnce(SocketAddr) -> F,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = mpsc::channel(16);
    LocalSet::new()
        .run_until(async {
            spawn_local(serve_with(listener, sender, limits));
            spawn_local(answer_requests(receiver));
            test(address).await;
        })
        .await;
}

/// Sends raw bytes and returns everything received until the server closes the connection.
async fn exchange(address: SocketAddr, sent: &[u8]) -> String {
    let mut socket = TcpStream::connect(address).await.unwrap();
    socket.write_all(sent).await.unwrap();
    let mut received = Vec::new();
    // A reset counts as a close: the server may close the socket with unread bytes left.
    let _reset = socket.read_to_end(&mut received).await;
    String::from_utf8(received).unwrap()
}

fn request(line: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n{headers}\r\n{body}")
        .into_bytes()
}

/// Guards against parts of a request that are lost on the way to the event loop, and against a
/// token check that accepts a prefix, an extension or another scheme.
#[rstest]
#[case::good("authorization: Bearer 0123456789abcdef\r\n", "200 OK")]
#[case::scheme_case("authorization: bearer 0123456789abcdef\r\n", "200 OK")]
#[case::none("", "401 Unauthorized")]
#[case::empty("authorization: Bearer \r\n", "401 Unauthorized")]
#[case::prefix("authorization: Bearer 0123456789abcde\r\n", "401 Unauthorized")]
#[case::longer("authorization: Bearer 0123456789abcdef0\r\n", "401 Unauthorized")]
#[case::basic("authorization: Basic 0123456789abcdef\r\n", "401 Unauthorized")]
#[tokio::test]
async fn requests_arrive_whole_and_only_the_exact_token_is_accepted(
    #[case] headers: &'static str,
    #[case] status: &'static str,
) {
    run_with_server(Limits::default(), |address| async move {
        let sent = request("PUT /v1/targets/a?x=1", headers, "12345");
        let received = exchange(address, &sent).await;
        assert!(
            received.starts_with(&format!("HTTP/1.1 {status}")),
            "{received}"
        );
        assert!(
            received.ends_with("PUT /v1/targets/a Some(\"x=1\") 5"),
            "{received}"
        );
    })
    .await;
}

/// Guards against a client that makes the process buffer a body of any size.
#[rstest]
#[case::at_the_limit(64 << 10, "HTTP/1.1 200")]
#[case::above((64 << 10) + 1, "HTTP/1.1 413")]
#[case::far_above(1 << 20, "HTTP/1.1 413")]
#[tokio::test]
async fn bodies_over_the_limit_are_rejected(#[case] bytes: usize, #[case] status: &'static str) {
    run_with_server(Limits::default(), |address| async move {
        let headers = "authorization: Bearer 0123456789abcdef\r\n";
        let sent = request("POST /v1/settings", headers, &"x".repeat(bytes));
        let received = exchange(address, &sent).await;
        assert!(received.starts_with(status), "{received}");
    })
    .await;
}

/// Guards against connections that are held open by a header or body that never ends. The clock is
/// paused: it advances only while all tasks wait.
#[rstest]
#[case::nothing("")]
#[case::header("GET / HTTP/1.1\r\nhost: x\r\n")]
#[case::body("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n1234")]
#[tokio::test(start_paused = true)]
async fn incomplete_requests_time_out(#[case] sent: &'static str) {
    run_with_server(Limits::default(), |address| async move {
        let start = tokio::time::Instant::now();
        let received = exchange(address, sent.as_bytes()).await;
        assert!(!received.starts_with("HTTP/1.1 200"), "{received}");
        assert!(start.elapsed() < Duration::from_secs(21), "{received}");
    })
    .await;
}

/// Guards against a request that waits forever because the event loop dropped it.
#[tokio::test]
async fn a_dropped_reply_gives_status_503() {
    run_with_server(Limits::default(), |address| async move {
        let received = exchange(address, &request("GET /drop", "", "")).await;
        assert!(received.starts_with("HTTP/1.1 503"), "{received}");
    })
    .await;
}

/// Guards against idle connections that exhaust the file descriptors of the process, and against
/// closed connections that still count towards the limit.
#[tokio::test]
async fn connections_over_the_limit_are_closed() {
    let limits = Limits {
        connections: 2,
        ..Limits::default()
    };
    run_with_server(limits, |address| async move {
        let sent = request("GET /health", "", "");
        let first = TcpStream::connect(address).await.unwrap();
        let _second = TcpStream::connect(address).await.unwrap();
        assert_eq!(exchange(address, &sent).await, "");
        drop(first);
        // The server notices the close asynchronously.
        for _ in 0..1000 {
            if exchange(address, &sent).await.starts_with("HTTP/1.1 200") {
                return;
            }
        }
        panic!("a closed connection still counts towards the limit");
    })
    .await;
}

/// Guards against a load balancer that sends callers to an entry that is not ready, and against
/// metrics that a collector cannot parse.
#[rstest]
#[case::metrics("GET /metrics", "200", "refusals_total{reason=\"queue_full\"} 1")]
#[case::end("GET /metrics", "200", "# EOF")]
#[case::content("GET /metrics", "200", "content-type: application/openmetrics-text")]
#[case::ready("GET /ready", "503", "no lease")]
#[case::health("GET /health", "200", "alive")]
#[case::method("POST /metrics", "405", "use GET")]
#[case::unknown("GET /metric", "401", "GET /metric")]
#[tokio::test]
async fn common_paths_are_answered(
    #[case] line: &'static str,
    #[case] status: &'static str,
    #[case] expected: &'static str,
) {
    run_with_server(Limits::default(), |address| async move {
        let received = exchange(address, &request(line, "", "")).await;
        assert!(
            received.starts_with(&format!("HTTP/1.1 {status}")),
            "{received}"
        );
        assert!(received.contains(expected), "{received}");
    })
    .await;
}

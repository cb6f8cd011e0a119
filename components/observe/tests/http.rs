//! Limits of the HTTP server, and the paths that every process answers.

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

/// Answers requests as a process would: the fixed paths, then whatever has the right token.
async fn answer(mut events: mpsc::Receiver<Request>) {
    let metrics = Metrics::new();
    metrics.refusals.add("queue_full");
    while let Some(request) = events.recv().await {
        let Some(request) = endpoint::answer(request, &metrics.registry, Err("no lease")) else {
            continue;
        };
        if request.path == "/drop" {
            continue;
        }
        let known = token::matches(request.token.as_deref(), TOKEN);
        let status = if known {
            StatusCode::OK
        } else {
            StatusCode::UNAUTHORIZED
        };
        let seen = format!(
            "{} {} {:?} {}",
            request.method,
            request.path,
            request.query,
            request.body.len()
        );
        request.reply.send(Response::text(status, seen));
    }
}

/// Runs `test` against a server with a loop that answers.
async fn with_server<F: Future<Output = ()>>(limits: Limits, test: impl FnOnce(SocketAddr) -> F) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = mpsc::channel(16);
    LocalSet::new()
        .run_until(async {
            spawn_local(serve_with(listener, sender, limits));
            spawn_local(answer(receiver));
            test(address).await;
        })
        .await;
}

/// Sends raw bytes and returns all that comes until the server closes.
async fn exchange(address: SocketAddr, sent: &[u8]) -> String {
    let mut socket = TcpStream::connect(address).await.unwrap();
    socket.write_all(sent).await.unwrap();
    let mut got = Vec::new();
    // A reset counts as a close: the server may close with unread bytes left.
    let _reset = socket.read_to_end(&mut got).await;
    String::from_utf8(got).unwrap()
}

fn request(line: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n{headers}\r\n{body}")
        .into_bytes()
}

/// Guards against parts of a request that get lost on the way to the loop, and against a token
/// check that accepts what only resembles the token.
#[rstest]
#[case::good("authorization: Bearer 0123456789abcdef\r\n", "200 OK")]
#[case::scheme_case("authorization: bearer 0123456789abcdef\r\n", "200 OK")]
#[case::none("", "401 Unauthorized")]
#[case::empty("authorization: Bearer \r\n", "401 Unauthorized")]
#[case::prefix("authorization: Bearer 0123456789abcde\r\n", "401 Unauthorized")]
#[case::longer("authorization: Bearer 0123456789abcdef0\r\n", "401 Unauthorized")]
#[case::basic("authorization: Basic 0123456789abcdef\r\n", "401 Unauthorized")]
#[tokio::test]
async fn requests_reach_the_loop(#[case] headers: &'static str, #[case] status: &'static str) {
    with_server(Limits::default(), |address| async move {
        let sent = request("PUT /v1/targets/a?x=1", headers, "12345");
        let got = exchange(address, &sent).await;
        assert!(got.starts_with(&format!("HTTP/1.1 {status}")), "{got}");
        assert!(got.ends_with("PUT /v1/targets/a Some(\"x=1\") 5"), "{got}");
    })
    .await;
}

/// Guards against a client that makes the process hold a body of any size.
#[rstest]
#[case::at_the_limit(64 << 10, "HTTP/1.1 200")]
#[case::above((64 << 10) + 1, "HTTP/1.1 413")]
#[case::far_above(1 << 20, "HTTP/1.1 413")]
#[tokio::test]
async fn bodies_are_bounded(#[case] bytes: usize, #[case] status: &'static str) {
    with_server(Limits::default(), |address| async move {
        let headers = "authorization: Bearer 0123456789abcdef\r\n";
        let sent = request("POST /v1/settings", headers, &"x".repeat(bytes));
        let got = exchange(address, &sent).await;
        assert!(got.starts_with(status), "{got}");
    })
    .await;
}

/// Guards against connections that are held open by a header or body that never ends. The clock is
/// paused: it moves on only when all tasks wait.
#[rstest]
#[case::nothing("")]
#[case::header("GET / HTTP/1.1\r\nhost: x\r\n")]
#[case::body("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n1234")]
#[tokio::test(start_paused = true)]
async fn slow_requests_are_closed(#[case] sent: &'static str) {
    with_server(Limits::default(), |address| async move {
        let start = tokio::time::Instant::now();
        let got = exchange(address, sent.as_bytes()).await;
        assert!(!got.starts_with("HTTP/1.1 200"), "{got}");
        assert!(start.elapsed() < Duration::from_secs(21), "{got}");
    })
    .await;
}

/// Guards against a request that waits forever for a loop that lost it.
#[tokio::test]
async fn a_dropped_reply_is_answered() {
    with_server(Limits::default(), |address| async move {
        let got = exchange(address, &request("GET /drop", "", "")).await;
        assert!(got.starts_with("HTTP/1.1 503"), "{got}");
    })
    .await;
}

/// Guards against idle connections that use up the file descriptors of the process, and against a
/// place that is not free again after a connection has ended.
#[tokio::test]
async fn connections_are_bounded() {
    let limits = Limits {
        connections: 2,
        ..Limits::default()
    };
    with_server(limits, |address| async move {
        let sent = request("GET /health", "", "");
        let first = TcpStream::connect(address).await.unwrap();
        let _second = TcpStream::connect(address).await.unwrap();
        assert_eq!(exchange(address, &sent).await, "");
        drop(first);
        // The server learns of the close by an event of its own, so the place may free up later.
        for _ in 0..1000 {
            if exchange(address, &sent).await.starts_with("HTTP/1.1 200") {
                return;
            }
        }
        panic!("the place of a closed connection is not free");
    })
    .await;
}

/// Guards against a load balancer that sends callers to an entry that is not ready, and against
/// metrics that the collector can't parse.
#[rstest]
#[case::metrics("GET /metrics", "200", "refusals_total{reason=\"queue_full\"} 1")]
#[case::end("GET /metrics", "200", "# EOF")]
#[case::content("GET /metrics", "200", "content-type: application/openmetrics-text")]
#[case::ready("GET /ready", "503", "no lease")]
#[case::health("GET /health", "200", "alive")]
#[case::method("POST /metrics", "405", "use GET")]
#[case::unknown("GET /metric", "401", "GET /metric")]
#[tokio::test]
async fn fixed_paths(
    #[case] line: &'static str,
    #[case] status: &'static str,
    #[case] part: &'static str,
) {
    with_server(Limits::default(), |address| async move {
        let got = exchange(address, &request(line, "", "")).await;
        assert!(got.starts_with(&format!("HTTP/1.1 {status}")), "{got}");
        assert!(got.contains(part), "{got}");
    })
    .await;
}

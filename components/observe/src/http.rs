//! HTTP/1 server whose requests become events for the loop of the process.
//!
//! Each connection is an I/O task that owns its socket. It reads a whole request within limits,
//! sends it to the loop and writes the loop's answer.

use std::convert::Infallible;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{AUTHORIZATION, CONNECTION, CONTENT_TYPE, LOCATION};
use http::{HeaderMap, Method, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Pause after a failed accept. Without it, a process that is out of file descriptors spins.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bytes beyond the limit that are read and dropped. A close with unread bytes resets the connection,
/// and the client would not see why it was refused.
const DRAIN: usize = 1 << 20;

/// Bounds on what clients can make the process hold.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections at a time; further ones are closed at once.
    pub connections: usize,
    /// Bytes of a body.
    pub body: usize,
    /// Time to read a header; also the longest idle time of a connection.
    pub header_timeout: Duration,
    /// Time to read a body.
    pub body_timeout: Duration,
    /// Time that the loop has for its answer.
    pub reply_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 256,
            body: 64 << 10,
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            reply_timeout: Duration::from_secs(30),
        }
    }
}

/// A whole request, as an event for the loop.
#[derive(Debug)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path, not decoded.
    pub path: String,
    /// Query without the question mark, not decoded.
    pub query: Option<String>,
    /// Bearer token. Nobody has checked it; see [`crate::token::matches`].
    pub token: Option<String>,
    /// Body, within the limit.
    pub body: Bytes,
    /// Where the answer goes.
    pub reply: Reply,
}

/// Takes the answer to one request. Dropped without an answer, it gives status 503.
#[derive(Debug)]
pub struct Reply(oneshot::Sender<Response>);

impl Reply {
    /// Sends the answer. A client that has gone is no error.
    pub fn send(self, response: Response) {
        // The receiver is gone if the client disconnected or the reply timed out.
        let _gone = self.0.send(response);
    }

    /// A reply with its receiving end, for tests of code that answers requests.
    #[must_use]
    pub fn channel() -> (Self, oneshot::Receiver<Response>) {
        let (sender, receiver) = oneshot::channel();
        (Self(sender), receiver)
    }
}

/// Answer to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Content type of the body.
    pub content: &'static str,
    /// Body.
    pub body: Bytes,
    /// URL of a redirect.
    pub location: Option<String>,
}

impl Response {
    /// An answer of any content type.
    #[must_use]
    pub fn new(status: StatusCode, content: &'static str, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            content,
            body: body.into(),
            location: None,
        }
    }

    /// A plain text.
    #[must_use]
    pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self::new(status, "text/plain; charset=utf-8", body)
    }

    /// JSON.
    #[must_use]
    pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self::new(status, "application/json", body)
    }

    /// The same answer with another body.
    #[must_use]
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// The same answer with the URL of a redirect.
    #[must_use]
    pub fn with_location(mut self, url: String) -> Self {
        self.location = Some(url);
        self
    }
}

/// Serves connections of `listener` until it is dropped or the loop is gone.
pub async fn serve<E: From<Request> + 'static>(listener: TcpListener, events: mpsc::Sender<E>) {
    serve_with(listener, events, Limits::default()).await;
}

/// Serves connections with other limits than the default ones.
pub async fn serve_with<E: From<Request> + 'static>(
    listener: TcpListener,
    events: mpsc::Sender<E>,
    limits: Limits,
) {
    // Dropping the set ends the connections.
    let mut tasks = JoinSet::new();
    loop {
        tokio::select! {
            () = events.closed() => return,
            Some(_ended) = tasks.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) if tasks.len() < limits.connections => {
                    tasks.spawn_local(connection(socket, events.clone(), limits));
                }
                Ok((socket, _)) => drop(socket),
                Err(error) => {
                    tracing::warn!(%error, "accept of an HTTP connection failed");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
        }
    }
}

async fn connection<E: From<Request> + 'static>(
    socket: TcpStream,
    events: mpsc::Sender<E>,
    limits: Limits,
) {
    let service = service_fn(|request| {
        let events = events.clone();
        async move { Ok::<_, Infallible>(handle(request, &events, limits).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .serve_connection(TokioIo::new(socket), service)
        .await;
    if let Err(error) = served {
        tracing::debug!(%error, "HTTP connection ended");
    }
}

async fn handle<E: From<Request>>(
    request: http::Request<Incoming>,
    events: &mpsc::Sender<E>,
    limits: Limits,
) -> http::Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let body = match read(body, limits).await {
        Ok(body) => body,
        // The rest of the body is still on the way, so the connection can't be used again.
        Err(response) => return encode(response, true),
    };
    let (reply, answer) = Reply::channel();
    let event = Request {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().map(str::to_owned),
        token: bearer(&head.headers).map(str::to_owned),
        body,
        reply,
    };
    let answered = timeout(limits.reply_timeout, async {
        events.send(event.into()).await.ok()?;
        answer.await.ok()
    });
    let none = || Response::text(StatusCode::SERVICE_UNAVAILABLE, "no answer in time\n");
    encode(answered.await.ok().flatten().unwrap_or_else(none), false)
}

async fn read(body: Incoming, limits: Limits) -> Result<Bytes, Response> {
    match timeout(limits.body_timeout, collect(body, limits.body)).await {
        Ok(Ok(Some(body))) => Ok(body),
        Ok(Ok(None)) => Err(Response::text(
            StatusCode::PAYLOAD_TOO_LARGE,
            format!("a body may have {} bytes\n", limits.body),
        )),
        Ok(Err(_)) => Err(Response::text(StatusCode::BAD_REQUEST, "broken body\n")),
        Err(_) => Err(Response::text(
            StatusCode::REQUEST_TIMEOUT,
            "the body took too long\n",
        )),
    }
}

/// Reads a body; none if it is larger than `limit`.
async fn collect(mut body: Incoming, limit: usize) -> hyper::Result<Option<Bytes>> {
    let mut bytes = BytesMut::new();
    let mut total = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        total += data.len();
        if total > limit + DRAIN {
            return Ok(None);
        }
        if total <= limit {
            bytes.extend_from_slice(&data);
        }
    }
    Ok((total <= limit).then(|| bytes.freeze()))
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| token.trim_start())
}

fn encode(response: Response, close: bool) -> http::Response<Full<Bytes>> {
    let mut builder = http::Response::builder()
        .status(response.status)
        .header(CONTENT_TYPE, response.content);
    if let Some(url) = response.location {
        builder = builder.header(LOCATION, url);
    }
    if close {
        builder = builder.header(CONNECTION, "close");
    }
    builder
        .body(Full::new(response.body))
        .unwrap_or_else(|error| {
            // Only a redirect's URL can be malformed; the rest is fixed.
            tracing::error!(%error, "HTTP answer can't be written");
            let mut broken = http::Response::new(Full::default());
            *broken.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            broken
        })
}

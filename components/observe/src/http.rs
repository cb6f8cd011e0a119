//! HTTP/1 server that passes requests as events to the event loop of the process.
//!
//! Each connection is an I/O task that owns its socket. The task reads a whole request within
//! limits, sends it to the event loop and writes the response.

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

/// Delay after a failed accept. Without it, a process that is out of file descriptors would spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Bytes beyond the body limit that are read and discarded. Closing a socket with unread bytes
/// resets the connection, and the client would not see the status that says why it was rejected.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// Bounds on the connections, memory and time that clients can take up.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open connections; further ones are closed immediately.
    pub connections: usize,
    /// Maximum size of a body, in bytes.
    pub body: usize,
    /// Timeout for reading a header; also the idle timeout of a connection.
    pub header_timeout: Duration,
    /// Timeout for reading a body.
    pub body_timeout: Duration,
    /// Timeout for the response of the event loop.
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

/// A complete request, as an event for the event loop.
#[derive(Debug)]
pub struct Request {
    pub method: Method,
    /// Path, still percent-encoded.
    pub path: String,
    /// Query without the question mark, still percent-encoded.
    pub query: Option<String>,
    /// Bearer token, not verified yet; see [`crate::token::matches`].
    pub token: Option<String>,
    /// Complete body, within [`Limits::body`].
    pub body: Bytes,
    pub reply: Reply,
}

/// Sends the response to one request. Dropping it without a response results in status 503.
#[derive(Debug)]
pub struct Reply(oneshot::Sender<Response>);

impl Reply {
    /// Sends the response. A client that has disconnected is not an error.
    pub fn send(self, response: Response) {
        // The receiver was dropped if the client disconnected or the reply timed out.
        let _dropped = self.0.send(response);
    }

    /// Creates a reply and its receiving end, for tests of code that answers requests.
    #[must_use]
    pub fn channel() -> (Self, oneshot::Receiver<Response>) {
        let (sender, receiver) = oneshot::channel();
        (Self(sender), receiver)
    }
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    pub status: StatusCode,
    pub content_type: &'static str,
    pub body: Bytes,
    /// Value of the `Location` header: the URL of a redirect.
    pub location: Option<String>,
}

impl Response {
    #[must_use]
    pub fn new(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            content_type,
            body: body.into(),
            location: None,
        }
    }

    /// Creates a plain text response.
    #[must_use]
    pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self::new(status, "text/plain; charset=utf-8", body)
    }

    /// Creates a JSON response.
    #[must_use]
    pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self::new(status, "application/json", body)
    }

    /// Replaces the body.
    #[must_use]
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets the URL of a redirect.
    #[must_use]
    pub fn with_location(mut self, url: String) -> Self {
        self.location = Some(url);
        self
    }
}

/// Serves connections of `listener` with the default limits, until the future is dropped or the
/// event loop has ended.
pub async fn serve<E: From<Request> + 'static>(listener: TcpListener, events: mpsc::Sender<E>) {
    serve_with(listener, events, Limits::default()).await;
}

/// Serves connections of `listener` within `limits`, until the future is dropped or the event loop
/// has ended.
pub async fn serve_with<E: From<Request> + 'static>(
    listener: TcpListener,
    events: mpsc::Sender<E>,
    limits: Limits,
) {
    // Dropping the set closes the connections.
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
                    tracing::warn!(%error, "failed to accept an HTTP connection; retrying");
                    sleep(ACCEPT_RETRY_DELAY).await;
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
    let result = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .serve_connection(TokioIo::new(socket), service)
        .await;
    if let Err(error) = result {
        tracing::debug!(%error, "HTTP connection failed");
    }
}

async fn handle<E: From<Request>>(
    request: http::Request<Incoming>,
    events: &mpsc::Sender<E>,
    limits: Limits,
) -> http::Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let body = match read_body(body, limits).await {
        Ok(body) => body,
        // The client may still be sending the body, so the connection cannot be reused.
        Err(response) => return encode(response, true),
    };
    let (reply, receiver) = Reply::channel();
    let event = Request {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().map(str::to_owned),
        token: bearer_token(&parts.headers).map(str::to_owned),
        body,
        reply,
    };
    let response = timeout(limits.reply_timeout, async {
        events.send(event.into()).await.ok()?;
        receiver.await.ok()
    });
    let unavailable = || Response::text(StatusCode::SERVICE_UNAVAILABLE, "no answer in time\n");
    encode(
        response.await.ok().flatten().unwrap_or_else(unavailable),
        false,
    )
}

async fn read_body(body: Incoming, limits: Limits) -> Result<Bytes, Response> {
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

/// Reads a body; returns `None` if it is larger than `limit` bytes.
async fn collect(mut body: Incoming, limit: usize) -> hyper::Result<Option<Bytes>> {
    let mut bytes = BytesMut::new();
    let mut total = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        total += data.len();
        if total > limit + MAX_DISCARDED_BYTES {
            return Ok(None);
        }
        if total <= limit {
            bytes.extend_from_slice(&data);
        }
    }
    Ok((total <= limit).then(|| bytes.freeze()))
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| token.trim_start())
}

fn encode(response: Response, close: bool) -> http::Response<Full<Bytes>> {
    let mut builder = http::Response::builder()
        .status(response.status)
        .header(CONTENT_TYPE, response.content_type);
    if let Some(url) = response.location {
        builder = builder.header(LOCATION, url);
    }
    if close {
        builder = builder.header(CONNECTION, "close");
    }
    builder
        .body(Full::new(response.body))
        .unwrap_or_else(|error| {
            // Only the URL of a redirect can be malformed; the other headers are constant.
            tracing::error!(%error, "failed to build an HTTP response; sending status 500");
            let mut response = http::Response::new(Full::default());
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        })
}

//! Client of the administration API.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use anyhow::{Context, Result, anyhow, bail, ensure};
use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST, LOCATION};
use http::{Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::Value;
use settings::Secret;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout_at};

use crate::{Answer, Attempts, Error};

/// Size limit for the body of a reply. The status of 15,600 targets takes about 5 MB.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// Limit of redirects in a row. More of them mean that instances redirect to each other.
const MAX_REDIRECTS: usize = 4;

/// Time limit for opening a connection. An instance that takes longer counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause after an attempt at every instance has failed. An election takes up to 600 ms.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Number of attempts for which the timeout of a call suffices even if instances do not answer.
/// With a quorum, at most two of five instances are down, so the third attempt reaches a running
/// one.
const MIN_ATTEMPTS: u32 = 3;

/// Percent-encodes query values, except the characters of paths of the settings tree.
const QUERY_ESCAPES: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'.')
    .remove(b'_')
    .remove(b'-');

/// Client of the control instances.
#[derive(Clone, Debug)]
pub struct Client {
    /// HTTP addresses of the control instances, tried in turn.
    controls: Vec<SocketAddr>,
    token: Secret,
    timeout: Duration,
}

/// A call of the API. It is sent again after a lost answer, so the body of a change has to hold its
/// request id.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// JSON, or empty for a call without a body.
    pub body: String,
}

impl Call {
    /// Creates a call that reads `path`.
    #[must_use]
    pub fn get(path: &str) -> Self {
        Self::new(Method::GET, path, String::new())
    }

    /// Creates a call that reads `path` with the query parameter `path=node`.
    #[must_use]
    pub fn get_node(path: &str, node: &str) -> Self {
        Self::get(&format!(
            "{path}?path={}",
            utf8_percent_encode(node, QUERY_ESCAPES)
        ))
    }

    #[must_use]
    pub fn new(method: Method, path: &str, body: String) -> Self {
        let path = path.to_owned();
        Self { method, path, body }
    }
}

impl Client {
    /// Creates a client that gives up each call after `timeout`.
    #[must_use]
    pub fn new(controls: Vec<SocketAddr>, token: Secret, timeout: Duration) -> Self {
        Self {
            controls,
            token,
            timeout,
        }
    }

    /// Sends `call` to one instance after another until one returns the leader's answer.
    ///
    /// Tries the next instance after a lost answer or one with status 503. A change is still
    /// carried out only once, because every attempt has the same request id. An answer with status
    /// 503 is returned only if no answer was lost: another instance may have accepted what this one
    /// refused.
    ///
    /// # Errors
    /// Fails if no instance answers in time.
    pub async fn send(&self, call: &Call) -> Result<Answer, Error> {
        let deadline = Instant::now() + self.timeout;
        let mut attempts = Attempts::new(call.method != Method::GET);
        while !self.controls.is_empty() && Instant::now() < deadline {
            for control in &self.controls {
                let mut sent = false;
                let answer = self.attempt(*control, call, deadline, &mut sent).await;
                if let Some(answer) = attempts.record(answer, sent) {
                    return Ok(answer);
                }
            }
            sleep(ROUND_PAUSE.min(deadline - Instant::now())).await;
        }
        attempts.finish()
    }

    /// Sends the call to one instance and follows its redirects. Sets `sent` once the last instance
    /// that was contacted may have received the call.
    async fn attempt(
        &self,
        control: SocketAddr,
        call: &Call,
        deadline: Instant,
        sent: &mut bool,
    ) -> Result<Answer> {
        let attempt_deadline = (Instant::now() + self.attempt_timeout()).min(deadline);
        timeout_at(attempt_deadline, self.follow_redirects(control, call, sent))
            .await
            .context("no answer in time")
            .flatten()
            .with_context(|| format!("control instance at {control}"))
    }

    fn attempt_timeout(&self) -> Duration {
        let attempts =
            u32::try_from(self.controls.len()).map_or(MIN_ATTEMPTS, |n| n.min(MIN_ATTEMPTS));
        self.timeout / attempts.max(1)
    }

    async fn follow_redirects(
        &self,
        control: SocketAddr,
        call: &Call,
        sent: &mut bool,
    ) -> Result<Answer> {
        let mut address = control;
        let mut path = call.path.clone();
        for _ in 0..=MAX_REDIRECTS {
            match self.exchange(address, &path, call, sent).await? {
                Outcome::Answer(answer) => return Ok(answer),
                Outcome::Redirect(uri) => (address, path) = parse_redirect(&uri)?,
            }
        }
        bail!("more than {MAX_REDIRECTS} redirects")
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        path: &str,
        call: &Call,
        sent: &mut bool,
    ) -> Result<Outcome> {
        let socket = timeout_at(
            Instant::now() + CONNECT_TIMEOUT,
            TcpStream::connect(address),
        )
        .await
        .with_context(|| format!("connect to {address}: no answer in time"))?
        .with_context(|| format!("connect to {address}"))?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(socket)).await?;
        let request = Request::builder()
            .method(&call.method)
            .uri(path)
            .header(HOST, address.to_string())
            .header(AUTHORIZATION, format!("Bearer {}", self.token.as_str()))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(call.body.clone())))
            .context("build the request")?;
        *sent = true;
        let mut reply = pin!(async move {
            let (head, body) = sender.send_request(request).await?.into_parts();
            let body = Limited::new(body, MAX_REPLY_BYTES).collect().await;
            let body = body.map_err(|error| anyhow!("read the reply: {error}"))?;
            anyhow::Ok((head, body.to_bytes()))
        });
        // The connection may end in the same poll that completes the reply, so the reply is awaited
        // in both cases.
        let (head, body) = tokio::select! {
            reply = &mut reply => reply?,
            _ended = connection => reply.await?,
        };
        if head.status == StatusCode::TEMPORARY_REDIRECT {
            // An instance that redirects a call has not carried it out.
            *sent = false;
            let location = head.headers.get(LOCATION).context("redirect without URL")?;
            return Ok(Outcome::Redirect(Uri::try_from(location.as_bytes())?));
        }
        Ok(Outcome::Answer(parse_answer(head.status, &body)))
    }
}

enum Outcome {
    Answer(Answer),
    Redirect(Uri),
}

/// Returns the address, and the path with the query, of a redirect.
fn parse_redirect(uri: &Uri) -> Result<(SocketAddr, String)> {
    ensure!(uri.scheme_str() == Some("http"), "redirect to {uri}");
    let authority = uri.authority().map_or("", |authority| authority.as_str());
    let address = authority
        .parse()
        .with_context(|| format!("redirect to {uri}, which names no IP address with a port"))?;
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    Ok((address, path.to_owned()))
}

fn parse_answer(status: StatusCode, body: &[u8]) -> Answer {
    let text = || Value::String(String::from_utf8_lossy(body).into_owned());
    let body = if body.is_empty() {
        Value::Null
    } else {
        serde_json::from_slice(body).unwrap_or_else(|_| text())
    };
    Answer { status, body }
}

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

use crate::{Answer, Tally, Unanswered};

/// Largest reply. A status of 15,600 targets takes about 5 MB.
const MAX_BYTES: usize = 64 << 20;

/// Redirects followed in a row. More mean that two instances name each other as the leader.
const MAX_REDIRECTS: usize = 4;

/// Time to open a connection. An instance that takes longer is cut off.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause after all instances have failed; an election takes up to 600 ms.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Instances whose silence one call outlasts: with a quorum, at most two of five are silent.
const PATIENCE: u32 = 3;

/// Characters of a path of the settings tree stay as they are in a query.
const QUERY: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'.')
    .remove(b'_')
    .remove(b'-');

/// Calls control instances.
#[derive(Clone, Debug)]
pub struct Client {
    /// HTTP addresses of the control instances, tried in turn.
    controls: Vec<SocketAddr>,
    token: Secret,
    timeout: Duration,
}

/// A call of the API. Sent again after a lost answer, so its body holds the request id.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// JSON; empty for none.
    pub body: String,
}

impl Call {
    /// A call that reads `path`.
    #[must_use]
    pub fn get(path: &str) -> Self {
        Self::new(Method::GET, path, String::new())
    }

    /// A call that reads `path` with the parameter `path=node`.
    #[must_use]
    pub fn get_node(path: &str, node: &str) -> Self {
        Self::get(&format!("{path}?path={}", utf8_percent_encode(node, QUERY)))
    }

    /// A call with a body.
    #[must_use]
    pub fn new(method: Method, path: &str, body: String) -> Self {
        let path = path.to_owned();
        Self { method, path, body }
    }
}

impl Client {
    /// A client that gives up a call after `timeout`.
    #[must_use]
    pub fn new(controls: Vec<SocketAddr>, token: Secret, timeout: Duration) -> Self {
        Self {
            controls,
            token,
            timeout,
        }
    }

    /// Sends `call` until an instance answers for the leader.
    ///
    /// Goes on to the next instance after a lost answer or one with status 503; a change runs once
    /// all the same, because its request id stays. An answer with status 503 is returned only if
    /// none was lost: what one instance refused, another may have accepted.
    ///
    /// # Errors
    /// Fails if no instance answers in time.
    pub async fn send(&self, call: &Call) -> Result<Answer, Unanswered> {
        let deadline = Instant::now() + self.timeout;
        let mut tally = Tally::new(call.method != Method::GET);
        while !self.controls.is_empty() && Instant::now() < deadline {
            for control in &self.controls {
                let mut sent = false;
                let answer = self.attempt(*control, call, deadline, &mut sent).await;
                if let Some(answer) = tally.on_attempt(answer, sent) {
                    return Ok(answer);
                }
            }
            sleep(ROUND_PAUSE.min(deadline - Instant::now())).await;
        }
        tally.end()
    }

    /// Asks one instance. Sets `sent` once the instance that is asked last may have got the call.
    async fn attempt(
        &self,
        control: SocketAddr,
        call: &Call,
        deadline: Instant,
        sent: &mut bool,
    ) -> Result<Answer> {
        let limit = (Instant::now() + self.patience()).min(deadline);
        timeout_at(limit, self.follow(control, call, sent))
            .await
            .context("no answer in time")
            .flatten()
            .with_context(|| format!("control instance at {control}"))
    }

    fn patience(&self) -> Duration {
        let silent = u32::try_from(self.controls.len()).map_or(PATIENCE, |n| n.min(PATIENCE));
        self.timeout / silent.max(1)
    }

    async fn follow(&self, control: SocketAddr, call: &Call, sent: &mut bool) -> Result<Answer> {
        let mut at = control;
        let mut path = call.path.clone();
        for _ in 0..=MAX_REDIRECTS {
            match self.exchange(at, &path, call, sent).await? {
                Outcome::Answer(answer) => return Ok(answer),
                Outcome::Moved(uri) => (at, path) = place(&uri)?,
            }
        }
        bail!("more than {MAX_REDIRECTS} redirects")
    }

    async fn exchange(
        &self,
        at: SocketAddr,
        path: &str,
        call: &Call,
        sent: &mut bool,
    ) -> Result<Outcome> {
        let socket = timeout_at(Instant::now() + CONNECT_TIMEOUT, TcpStream::connect(at))
            .await
            .with_context(|| format!("connect to {at}: no answer in time"))?
            .with_context(|| format!("connect to {at}"))?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(socket)).await?;
        let request = Request::builder()
            .method(&call.method)
            .uri(path)
            .header(HOST, at.to_string())
            .header(AUTHORIZATION, format!("Bearer {}", self.token.as_str()))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(call.body.clone())))
            .context("build the request")?;
        *sent = true;
        let mut reply = pin!(async move {
            let (head, body) = sender.send_request(request).await?.into_parts();
            let body = Limited::new(body, MAX_BYTES).collect().await;
            let body = body.map_err(|error| anyhow!("read the reply: {error}"))?;
            anyhow::Ok((head, body.to_bytes()))
        });
        // The connection may end in the same poll that completes the reply.
        let (head, body) = tokio::select! {
            reply = &mut reply => reply?,
            _ended = connection => reply.await?,
        };
        if head.status == StatusCode::TEMPORARY_REDIRECT {
            // Whoever redirects a call has not carried it out.
            *sent = false;
            let location = head.headers.get(LOCATION).context("redirect without URL")?;
            return Ok(Outcome::Moved(Uri::try_from(location.as_bytes())?));
        }
        Ok(Outcome::Answer(answer(head.status, &body)))
    }
}

enum Outcome {
    Answer(Answer),
    Moved(Uri),
}

/// Address, path and query of a redirect.
fn place(uri: &Uri) -> Result<(SocketAddr, String)> {
    ensure!(uri.scheme_str() == Some("http"), "redirect to {uri}");
    let authority = uri.authority().map_or("", |authority| authority.as_str());
    let address = authority
        .parse()
        .with_context(|| format!("redirect to {uri}, which names no IP address with a port"))?;
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    Ok((address, path.to_owned()))
}

fn answer(status: StatusCode, body: &[u8]) -> Answer {
    let text = || Value::String(String::from_utf8_lossy(body).into_owned());
    let body = if body.is_empty() {
        Value::Null
    } else {
        serde_json::from_slice(body).unwrap_or_else(|_| text())
    };
    Answer { status, body }
}

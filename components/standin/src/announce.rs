//! Announcements of the target to the entries.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result, ensure};
use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{Receiver, Sender, channel};

use crate::config::Config;
use crate::event::{Event, Events};
use crate::server::{Server, Timer};

/// Tasks that send announcements, one for each entry, and their counts of results.
#[derive(Debug)]
pub(crate) struct Announcer {
    queues: Vec<Sender<Bytes>>,
    accepted: u64,
    failed: u64,
}

impl Announcer {
    pub(crate) fn start(config: &Config, events: &Events) -> Self {
        let start_client = |entry: &SocketAddr| {
            // Capacity 1: the next announcement follows long before the last accepted one expires.
            let (sender, bodies) = channel(1);
            let client = Client {
                entry: *entry,
                path: format!("/v1/targets/{}", config.target),
                token: format!("Bearer {}", config.token),
                timeout: config.ttl / 3,
            };
            tokio::spawn(client.run(bodies, events.clone()));
            sender
        };
        Self {
            queues: config.announce.iter().map(start_client).collect(),
            accepted: 0,
            failed: 0,
        }
    }

    pub(crate) fn on_result(&mut self, entry: SocketAddr, accepted: bool) {
        let counter = if accepted {
            &mut self.accepted
        } else {
            &mut self.failed
        };
        *counter += 1;
        let (accepted, failed) = (self.accepted, self.failed);
        tracing::trace!(%entry, accepted, failed, "announcement attempt finished");
    }
}

impl Server {
    /// Sends an announcement to all entries and schedules the next one.
    pub(crate) fn announce(&mut self) {
        if self.announcer.queues.is_empty() {
            return;
        }
        self.timers.retain(|(_, timer)| *timer != Timer::Announce);
        self.timers
            .insert((self.now + self.config.ttl / 3, Timer::Announce));
        let config = &self.config;
        let role = if self.standby.in_recovery {
            "replica"
        } else {
            "primary"
        };
        let body = serde_json::json!({
            "service": config.service.as_str(),
            "database": config.database.as_str(),
            "group": config.group.as_str(),
            "region": config.region.as_str(),
            "domain": config.domain.as_str(),
            "address": self.address.to_string(),
            "role": role,
            "leaving": self.faults.leaving,
            "connections": config.connections,
            "slots": config.slots,
            "ttl_ms": u64::try_from(config.ttl.as_millis()).unwrap_or(u64::MAX),
        });
        let body = Bytes::from(body.to_string());
        for queue in &self.announcer.queues {
            if queue.try_send(body.clone()).is_err() {
                self.announcer.failed += 1;
            }
        }
    }
}

/// HTTP client of one entry.
#[derive(Debug)]
struct Client {
    entry: SocketAddr,
    path: String,
    token: String,
    timeout: Duration,
}

impl Client {
    async fn run(self, mut bodies: Receiver<Bytes>, events: Events) {
        while let Some(body) = bodies.recv().await {
            let result = tokio::time::timeout(self.timeout, self.put(body)).await;
            let accepted = matches!(result, Ok(Ok(())));
            if events.send(Event::Announced(self.entry, accepted)).is_err() {
                return;
            }
        }
    }

    async fn put(&self, body: Bytes) -> Result<()> {
        let stream = TcpStream::connect(self.entry)
            .await
            .context("connect to the entry")?;
        let io = TokioIo::new(stream);
        let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await?;
        let request = Request::builder()
            .method(Method::PUT)
            .uri(&self.path)
            .header(header::HOST, self.entry.to_string())
            .header(header::AUTHORIZATION, &self.token)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))?;
        let exchange = async {
            let response = sender.send_request(request).await?;
            let status = response.status();
            response.into_body().collect().await?;
            ensure!(status.is_success(), "entry responded with status {status}");
            Ok(())
        };
        tokio::select! {
            result = exchange => result,
            result = connection => {
                result.context("send the announcement")?;
                anyhow::bail!("the entry closed the connection without a response")
            }
        }
    }
}

//! Commands to servers and calls to the platform, in tasks of their own.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use registry::Server;
use registry::change::{Command, Promotion, Status};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

use crate::event::{Event, Ping};

/// Time for a command to a server, with its connection.
const COMMAND: Duration = Duration::from_millis(1500);
/// Time for a call to the platform.
const CALL: Duration = Duration::from_millis(1500);
/// Interval of the questions to a primary.
const PING: Duration = Duration::from_millis(300);
/// Time for one answer of a watched primary, and for a connection to it.
const PING_LIMIT: Duration = Duration::from_millis(600);

/// What a platform offers: servers that take commands, and promotions.
pub trait Fleet: Sized + 'static {
    /// Connects to a server.
    fn connect(server: &Server) -> impl Future<Output = Result<Self>>;

    /// Carries out a command. [`Command::Verify`] fails on a server that does not lead.
    fn command(&mut self, command: Command) -> impl Future<Output = Result<Status>>;

    /// The term of a server that leads, at little cost to it; none if it does not lead.
    fn leads(&mut self) -> impl Future<Output = Result<Option<u64>>>;

    /// Asks the platform to promote a server. `holder` names this instance.
    fn promote(
        platform: SocketAddr,
        service: &str,
        id: &str,
        holder: &str,
        token: u64,
    ) -> impl Future<Output = Result<Promotion>>;
}

/// Sends a command to a server; the answer becomes an event.
pub fn command<F: Fleet>(events: &mpsc::Sender<Event>, server: &Server, command: Command) {
    let (events, server) = (events.clone(), server.clone());
    spawn_local(async move {
        let answered = timeout(COMMAND, async {
            F::connect(&server).await?.command(command).await
        });
        let status = match answered.await {
            Ok(Ok(status)) => Some(status),
            Ok(Err(error)) => {
                tracing::info!(id = server.id, ?command, error = %format!("{error:#}"), "command failed");
                None
            }
            Err(_) => {
                tracing::info!(id = server.id, ?command, "command not answered");
                None
            }
        };
        let answer = Event::Answer {
            service: server.service,
            id: server.id,
            command,
            status,
        };
        let _ended = events.send(answer).await;
    });
}

/// Asks the platform to promote a server; the answer becomes an event.
pub fn promote<F: Fleet>(
    events: &mpsc::Sender<Event>,
    platform: SocketAddr,
    holder: &str,
    service: &str,
    id: &str,
    token: u64,
) {
    let events = events.clone();
    let (holder, service, id) = (holder.to_owned(), service.to_owned(), id.to_owned());
    spawn_local(async move {
        let call = F::promote(platform, &service, &id, &holder, token);
        let answer = match timeout(CALL, call).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                tracing::warn!(service, id, token, error = %format!("{error:#}"), "promotion call failed");
                Promotion::Unknown
            }
            Err(_) => {
                tracing::warn!(service, id, token, "promotion call not answered");
                Promotion::Unknown
            }
        };
        tracing::info!(service, id, token, ?answer, "promotion call");
        let event = Event::Promoted {
            service,
            token,
            answer,
        };
        let _ended = events.send(event).await;
    });
}

/// Asks a primary again and again whether it leads, until the handle is aborted.
pub fn watch<F: Fleet>(events: &mpsc::Sender<Event>, server: &Server) -> JoinHandle<()> {
    let (events, server) = (events.clone(), server.clone());
    spawn_local(async move {
        let mut open: Option<F> = None;
        loop {
            let asked = timeout(PING_LIMIT, async {
                let mut conn = match open.take() {
                    Some(conn) => conn,
                    None => F::connect(&server).await?,
                };
                let term = conn.leads().await?;
                anyhow::Ok((conn, term))
            });
            let ping = match asked.await {
                Ok(Ok((conn, term))) => {
                    open = Some(conn);
                    term.map_or(Ping::Follows, Ping::Leads)
                }
                Ok(Err(_)) | Err(_) => Ping::Silent,
            };
            let event = Event::Ping {
                service: server.service.clone(),
                id: server.id.clone(),
                ping,
            };
            if events.send(event).await.is_err() {
                return;
            }
            sleep(PING).await;
        }
    })
}

//! Connections to servers and promotion calls to the platform. Each runs in a task of its own.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context as _, Result};
use clock::{Boot, Clock as _};
use registry::failover::{Command, Promotion, Status};
use registry::{Sample, Server};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, timeout};
use types::Point;

use crate::event::{Event, Ping};

/// Time limit for a command to a server, including a new connection.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(500);
/// Length of the command queue of one server.
const COMMAND_QUEUE_LEN: usize = 4;
/// Time limit for a promotion call to the platform.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval of the pings to a server.
const PING_INTERVAL: Duration = Duration::from_millis(300);
/// Time limit for a ping, including a new connection.
const PING_TIMEOUT: Duration = Duration::from_millis(600);

/// A connection to a server, and the platform's call to promote servers.
pub trait Connection: Sized + 'static {
    /// Opens a connection to a server.
    fn connect(server: &Server) -> impl Future<Output = Result<Self>>;

    /// Runs a command on the server. [`Command::Verify`] fails if the server is not the primary.
    fn command(&mut self, command: Command) -> impl Future<Output = Result<Status>>;

    /// End of the server's log if it is the primary, otherwise `None`. Called often, so it must cost
    /// the server little.
    fn primary_position(&mut self) -> impl Future<Output = Result<Option<Point>>>;

    /// Waits until the server closes the connection. Fails if the connection ends in another way, for
    /// example by a network partition.
    fn wait_closed(&mut self) -> impl Future<Output = Result<()>>;

    /// Asks the platform to promote a server. `holder` is the name of this instance.
    fn promote(
        platform: SocketAddr,
        service: &str,
        id: &str,
        holder: &str,
        token: u64,
    ) -> impl Future<Output = Result<Promotion>>;
}

/// Asks the platform to promote a server; the outcome is sent as [`Event::PromotionAnswer`].
pub fn promote<C: Connection>(
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
        let call = C::promote(platform, &service, &id, &holder, token);
        let answer = match timeout(PROMOTION_TIMEOUT, call).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                tracing::warn!(service, id, token, error = %format!("{error:#}"), "promotion call failed; its outcome is unknown");
                Promotion::Unknown
            }
            Err(_) => {
                tracing::warn!(
                    service,
                    id,
                    token,
                    "promotion call timed out; its outcome is unknown"
                );
                Promotion::Unknown
            }
        };
        tracing::info!(service, id, token, ?answer, "promotion call");
        let event = Event::PromotionAnswer {
            service,
            token,
            answer,
        };
        let _ended = events.send(event).await;
    });
}

/// Handle of a task that keeps a connection to one server open. A server under load may have reached
/// its connection limit by the time a command has to be sent.
#[derive(Debug)]
pub struct Agent {
    commands: mpsc::Sender<Command>,
    task: JoinHandle<()>,
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Agent {
    pub fn start<C: Connection>(events: &mpsc::Sender<Event>, server: &Server) -> Self {
        let (commands, queue) = mpsc::channel(COMMAND_QUEUE_LEN);
        let task = spawn_local(run::<C>(events.clone(), server.clone(), queue));
        Self { commands, task }
    }

    /// Queues a command; its outcome is sent as [`Event::CommandAnswer`]. A command that does not fit
    /// into the queue is dropped; the failover machine repeats it.
    pub fn command(&self, command: Command) {
        let _full = self.commands.try_send(command);
    }
}

/// Next step of an agent.
#[derive(Debug)]
enum Next {
    Command(Command),
    Ping,
    /// The connection was closed by the server, or has failed.
    Closed(Result<()>),
}

async fn wait_closed<C: Connection>(idle: &mut Option<C>) -> Result<()> {
    match idle {
        Some(conn) => conn.wait_closed().await,
        None => std::future::pending().await,
    }
}

fn connection_end(server: &Server, result: Result<()>) -> Event {
    let ping = match result {
        Ok(()) => {
            tracing::info!(id = server.id, "server closed the connection");
            Ping::Closed
        }
        Err(error) => {
            tracing::info!(id = server.id, error = %format!("{error:#}"), "connection to a server failed");
            Ping::Unanswered
        }
    };
    Event::Ping {
        id: server.id.clone(),
        ping,
    }
}

async fn run<C: Connection>(
    events: mpsc::Sender<Event>,
    server: Server,
    mut commands: mpsc::Receiver<Command>,
) {
    let mut idle: Option<C> = None;
    loop {
        let next = tokio::select! {
            biased;
            command = commands.recv() => match command {
                Some(command) => Next::Command(command),
                None => return,
            },
            result = wait_closed(&mut idle) => Next::Closed(result),
            () = sleep(PING_INTERVAL) => Next::Ping,
        };
        let event = match next {
            Next::Command(command) => run_command(&events, &mut idle, &server, command).await,
            Next::Ping => ping_server(&events, &mut idle, &server).await,
            Next::Closed(result) => {
                idle = None;
                connection_end(&server, result)
            }
        };
        if events.send(event).await.is_err() {
            return;
        }
    }
}

/// Takes the open connection or opens one. The owner drops it, and thereby closes it, if it is
/// cancelled or fails.
async fn take_connection<C: Connection>(
    events: &mpsc::Sender<Event>,
    idle: &mut Option<C>,
    server: &Server,
) -> Result<C> {
    if let Some(conn) = idle.take() {
        return Ok(conn);
    }
    let conn = C::connect(server).await?;
    let opened = Event::Ping {
        id: server.id.clone(),
        ping: Ping::Connected,
    };
    events.send(opened).await.context("report a connection")?;
    Ok(conn)
}

async fn run_command<C: Connection>(
    events: &mpsc::Sender<Event>,
    idle: &mut Option<C>,
    server: &Server,
    command: Command,
) -> Event {
    let attempt = timeout(COMMAND_TIMEOUT, async {
        let mut conn = take_connection(events, idle, server).await?;
        let status = conn.command(command).await?;
        anyhow::Ok((conn, status))
    });
    let status = match attempt.await {
        Ok(Ok((conn, status))) => {
            *idle = Some(conn);
            Some(status)
        }
        Ok(Err(error)) => {
            tracing::info!(id = server.id, ?command, error = %format!("{error:#}"), "command to a server failed");
            None
        }
        Err(_) => {
            tracing::info!(id = server.id, ?command, "command to a server timed out");
            None
        }
    };
    Event::CommandAnswer {
        service: server.service.clone(),
        id: server.id.clone(),
        command,
        status,
    }
}

/// Whether the error means that the server closed the connection.
fn is_closed(error: &anyhow::Error) -> bool {
    let error = error.downcast_ref::<std::io::Error>();
    error.is_some_and(|error| error.kind() == std::io::ErrorKind::UnexpectedEof)
}

async fn ping_server<C: Connection>(
    events: &mpsc::Sender<Event>,
    idle: &mut Option<C>,
    server: &Server,
) -> Event {
    let attempt = timeout(PING_TIMEOUT, async {
        let mut conn = take_connection(events, idle, server).await?;
        let (at, asked_at) = (Boot.moment(), Instant::now().into_std());
        let position = conn.primary_position().await?;
        let primary = position.map(|point| Ping::Primary {
            sample: Sample { point, at },
            asked_at,
        });
        anyhow::Ok((conn, primary))
    });
    let ping = match attempt.await {
        Ok(Ok((conn, primary))) => {
            *idle = Some(conn);
            primary.unwrap_or(Ping::NotPrimary)
        }
        Ok(Err(error)) if is_closed(&error) => Ping::Closed,
        Ok(Err(_)) | Err(_) => Ping::Unanswered,
    };
    Event::Ping {
        id: server.id.clone(),
        ping,
    }
}

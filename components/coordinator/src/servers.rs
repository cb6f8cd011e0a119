//! Commands to servers and calls to the platform, in tasks of their own.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use clock::{Boot, Clock as _};
use registry::failover::{Command, Promotion, Status};
use registry::{Sample, Server};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};
use types::Point;

use crate::event::{Event, Ping};

/// Time for a command to a server, with its connection.
const COMMAND: Duration = Duration::from_millis(500);
/// Commands that wait for a server.
const COMMANDS: usize = 4;
/// Time for a call to the platform.
const CALL: Duration = Duration::from_millis(1500);
/// Interval of the questions to a server.
const PING: Duration = Duration::from_millis(300);
/// Time for one such answer, with a connection.
const PING_LIMIT: Duration = Duration::from_millis(600);

/// What a platform offers: servers that take commands, and promotions.
pub trait Fleet: Sized + 'static {
    /// Connects to a server.
    fn connect(server: &Server) -> impl Future<Output = Result<Self>>;

    /// Carries out a command. [`Command::Verify`] fails on a server that does not lead.
    fn command(&mut self, command: Command) -> impl Future<Output = Result<Status>>;

    /// The end of the log of a server that leads, at little cost to it; none if it does not lead.
    fn leads(&mut self) -> impl Future<Output = Result<Option<Point>>>;

    /// Waits until the server closes the connection. Fails if the connection breaks otherwise, which
    /// a network that is cut brings about as well.
    fn closed(&mut self) -> impl Future<Output = Result<()>>;

    /// Asks the platform to promote a server. `holder` names this instance.
    fn promote(
        platform: SocketAddr,
        service: &str,
        id: &str,
        holder: &str,
        token: u64,
    ) -> impl Future<Output = Result<Promotion>>;
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

/// A task that keeps a connection to one server. Its connection is open before it is needed: once
/// callers press, a server has none left to give.
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
    /// Starts the task.
    pub fn start<F: Fleet>(events: &mpsc::Sender<Event>, server: &Server) -> Self {
        let (commands, waiting) = mpsc::channel(COMMANDS);
        let task = spawn_local(run::<F>(events.clone(), server.clone(), waiting));
        Self { commands, task }
    }

    /// Has the server carry out a command; the answer becomes an event. One that finds no room is
    /// repeated by whoever gave it.
    pub fn command(&self, command: Command) {
        let _full = self.commands.try_send(command);
    }
}

/// What an agent does next.
#[derive(Debug)]
enum Next {
    Command(Command),
    Ping,
    /// The connection has ended by the server's close, or failed.
    Closed(Result<()>),
}

async fn closed<F: Fleet>(open: &mut Option<F>) -> Result<()> {
    match open {
        Some(conn) => conn.closed().await,
        None => std::future::pending().await,
    }
}

fn lost(server: &Server, closed: Result<()>) -> Event {
    let ping = match closed {
        Ok(()) => {
            tracing::info!(id = server.id, "server closed the connection");
            Ping::Closed
        }
        Err(error) => {
            tracing::info!(id = server.id, error = %format!("{error:#}"), "connection to a server lost");
            Ping::Silent
        }
    };
    Event::Ping {
        id: server.id.clone(),
        ping,
    }
}

async fn run<F: Fleet>(
    events: mpsc::Sender<Event>,
    server: Server,
    mut commands: mpsc::Receiver<Command>,
) {
    let mut open: Option<F> = None;
    loop {
        let next = tokio::select! {
            biased;
            command = commands.recv() => match command {
                Some(command) => Next::Command(command),
                None => return,
            },
            closed = closed(&mut open) => Next::Closed(closed),
            () = sleep(PING) => Next::Ping,
        };
        let event = match next {
            Next::Command(command) => answer(&mut open, &server, command).await,
            Next::Ping => ping(&mut open, &server).await,
            Next::Closed(closed) => {
                open = None;
                lost(&server, closed)
            }
        };
        if events.send(event).await.is_err() {
            return;
        }
    }
}

/// Takes the connection out, so that it is closed if the caller is cancelled or fails.
async fn take<F: Fleet>(open: &mut Option<F>, server: &Server) -> Result<F> {
    match open.take() {
        Some(conn) => Ok(conn),
        None => F::connect(server).await,
    }
}

async fn answer<F: Fleet>(open: &mut Option<F>, server: &Server, command: Command) -> Event {
    let asked = timeout(COMMAND, async {
        let mut conn = take(open, server).await?;
        let status = conn.command(command).await?;
        anyhow::Ok((conn, status))
    });
    let status = match asked.await {
        Ok(Ok((conn, status))) => {
            *open = Some(conn);
            Some(status)
        }
        Ok(Err(error)) => {
            tracing::info!(id = server.id, ?command, error = %format!("{error:#}"), "command failed");
            None
        }
        Err(_) => {
            tracing::info!(id = server.id, ?command, "command not answered");
            None
        }
    };
    Event::Answer {
        service: server.service.clone(),
        id: server.id.clone(),
        command,
        status,
    }
}

/// Whether the server has closed the connection in order.
fn is_closed(error: &anyhow::Error) -> bool {
    let error = error.downcast_ref::<std::io::Error>();
    error.is_some_and(|error| error.kind() == std::io::ErrorKind::UnexpectedEof)
}

async fn ping<F: Fleet>(open: &mut Option<F>, server: &Server) -> Event {
    let asked = timeout(PING_LIMIT, async {
        let mut conn = take(open, server).await?;
        let at = Boot.moment();
        let end = conn.leads().await?;
        anyhow::Ok((conn, end.map(|point| Sample { point, at })))
    });
    let ping = match asked.await {
        Ok(Ok((conn, sample))) => {
            *open = Some(conn);
            sample.map_or(Ping::Follows, Ping::Leads)
        }
        Ok(Err(error)) if is_closed(&error) => Ping::Closed,
        Ok(Err(_)) | Err(_) => Ping::Silent,
    };
    Event::Ping {
        id: server.id.clone(),
        ping,
    }
}

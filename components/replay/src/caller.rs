//! I/O task of one caller: owns its connection and reports each completed statement to the player
//! loop.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::task::Poll;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use history::Row;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};
use tokio_postgres::tls::NoTlsStream;
use tokio_postgres::{Client, Config, Connection, NoTls};

use crate::format::{Kind, Weight};
use crate::record::Status;
use crate::statement;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for an answer, after which the outcome is unknown; a frozen entry sends none.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Per statement, over the entries in turn.
const MAX_CONNECT_ATTEMPTS: usize = 6;
/// Keeps callers of a dead entry from flooding the others.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(50);

/// Command to a caller.
#[derive(Debug)]
pub enum Command {
    /// Reconnect to the entry with this index.
    Move(usize),
    Run(Request),
}

/// A statement to run.
#[derive(Clone, Debug)]
pub struct Request {
    /// Number that the completion carries.
    pub number: usize,
    pub kind: Kind,
    pub key: u64,
    /// Value of a write.
    pub value: u64,
    /// Service time beyond that of a usual statement.
    pub extra_us: u64,
    pub weight: Weight,
    /// Largest age of data that the caller accepts.
    pub max_age_ms: Option<u64>,
}

/// Result of a statement.
#[derive(Debug)]
pub struct Completion {
    /// Number of the statement.
    pub number: usize,
    /// Index of the entry.
    pub entry: usize,
    /// When it was sent to the entry, after the delay on the way.
    pub sent: Instant,
    /// When the entry answered.
    pub replied: Instant,
    /// When the answer reached the caller, after the delay on the way.
    pub answered: Instant,
    /// Rows of a read, or the status of a statement that was not acknowledged.
    pub result: Result<Vec<Row>, Status>,
}

/// How a caller connects.
#[derive(Clone, Debug)]
pub struct Route {
    pub entries: Vec<SocketAddr>,
    pub database: String,
    /// User name, also used as the password.
    pub user: String,
}

impl Route {
    /// Connects to an entry with the session token `session`, and keeps `token` at the latest one.
    ///
    /// # Errors
    /// Fails if the entry does not accept the connection in time.
    pub async fn connect(
        &self,
        entry: usize,
        session: &str,
        token: watch::Sender<String>,
    ) -> Result<Client> {
        let address = self.entries[entry % self.entries.len()];
        let mut config = Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user(&self.user)
            .password(&self.user)
            .dbname(&self.database);
        if !session.is_empty() {
            config.options(format!("-c limpettally.session={session}"));
        }
        let Ok(connected) = timeout(CONNECT_TIMEOUT, config.connect(NoTls)).await else {
            bail!("timed out connecting to the entry at {address}");
        };
        let (client, connection) =
            connected.with_context(|| format!("connect to the entry at {address}"))?;
        tokio::task::spawn_local(drive_connection(connection, token));
        Ok(client)
    }
}

type PlainConnection = Connection<tokio_postgres::Socket, NoTlsStream>;

/// Drives a connection and stores the session tokens that the entry sends. The entry sends the token
/// before the answer to a write, and the client gets that answer only after this task has yielded,
/// so that the stored token always covers the write.
async fn drive_connection(mut connection: PlainConnection, token: watch::Sender<String>) {
    poll_fn(|cx| {
        loop {
            let polled = connection.poll_message(cx);
            if let Some(text) = connection.parameter("limpettally.session") {
                token.send_if_modified(|stored| {
                    let changed = stored != text;
                    if changed {
                        text.clone_into(stored);
                    }
                    changed
                });
            }
            match polled {
                Poll::Ready(Some(Ok(_))) => {}
                Poll::Ready(Some(Err(_)) | None) => return Poll::Ready(()),
                Poll::Pending => return Poll::Pending,
            }
        }
    })
    .await;
}

#[derive(Debug)]
pub struct Caller {
    route: Route,
    entry: usize,
    /// One-way delay between the caller and its entry.
    delay: Duration,
    client: Option<Client>,
    token: watch::Sender<String>,
    weight: Weight,
    max_age_ms: Option<u64>,
}

impl Caller {
    /// Creates a caller that is not connected yet.
    #[must_use]
    pub fn new(route: Route, entry: usize, delay: Duration) -> Self {
        Self {
            route,
            entry,
            delay,
            client: None,
            token: watch::Sender::new(String::new()),
            weight: Weight::Interactive,
            max_age_ms: None,
        }
    }

    /// Carries out commands until their channel closes.
    pub async fn run(
        mut self,
        mut commands: UnboundedReceiver<Command>,
        completions: UnboundedSender<Completion>,
    ) {
        // After a failure the first statement connects again.
        let _connects_later = self.connect().await;
        while let Some(command) = commands.recv().await {
            match command {
                Command::Move(entry) => {
                    self.entry = entry;
                    self.client = None;
                    let _connects_later = self.connect().await;
                }
                Command::Run(request) => {
                    let completion = self.execute(&request).await;
                    if completions.send(completion).is_err() {
                        return;
                    }
                }
            }
        }
    }

    async fn connect(&mut self) -> Result<()> {
        let session = self.token.borrow().clone();
        sleep(self.delay).await;
        let token = self.token.clone();
        let client = self.route.connect(self.entry, &session, token).await;
        self.weight = Weight::Interactive;
        self.max_age_ms = None;
        self.client = Some(client?);
        Ok(())
    }

    async fn execute(&mut self, request: &Request) -> Completion {
        let session = self.prepare_session(request).await;
        sleep(self.delay).await;
        let sent = Instant::now();
        let result = match (&self.client, session) {
            (Some(client), Ok(())) => {
                let execution = statement::execute(
                    client,
                    request.kind,
                    request.key,
                    request.value,
                    request.extra_us,
                );
                let answer_timeout = ANSWER_TIMEOUT + Duration::from_micros(request.extra_us);
                match timeout(answer_timeout, execution).await {
                    Ok(result) => result,
                    Err(_) => Err(Status::Unknown),
                }
            }
            (_, Err(status)) => Err(status),
            (None, Ok(())) => Err(Status::NotRun("connect".to_owned())),
        };
        let (replied, entry) = (Instant::now(), self.entry % self.route.entries.len());
        let timed_out = replied - sent >= ANSWER_TIMEOUT && result == Err(Status::Unknown);
        let closed = self.client.as_ref().is_none_or(Client::is_closed);
        if timed_out || closed {
            self.client = None;
            self.entry += 1;
        }
        sleep(self.delay).await;
        let answered = Instant::now();
        let number = request.number;
        Completion {
            number,
            entry,
            sent,
            replied,
            answered,
            result,
        }
    }

    /// Connects if necessary, and sets the weight and the accepted age of the statement.
    async fn prepare_session(&mut self, request: &Request) -> Result<(), Status> {
        let not_connected = || Status::NotRun("connect".to_owned());
        for _ in 0..MAX_CONNECT_ATTEMPTS {
            if self
                .client
                .as_ref()
                .is_some_and(|client| !client.is_closed())
            {
                break;
            }
            if self.connect().await.is_err() {
                self.client = None;
                self.entry += 1;
                sleep(RECONNECT_INTERVAL).await;
            }
        }
        let client = self.client.as_ref().ok_or_else(not_connected)?;
        if (self.weight, self.max_age_ms) == (request.weight, request.max_age_ms) {
            return Ok(());
        }
        let age = request
            .max_age_ms
            .map_or("default".to_owned(), |age| age.to_string());
        for text in [
            format!("SET limpettally.weight = '{}'", request.weight),
            format!("SET limpettally.max_age_ms = '{age}'"),
        ] {
            match timeout(ANSWER_TIMEOUT, client.simple_query(&text)).await {
                Ok(Ok(_)) => {}
                Ok(Err(error)) => return Err(statement::error_status(&error, false)),
                Err(_) => return Err(not_connected()),
            }
        }
        (self.weight, self.max_age_ms) = (request.weight, request.max_age_ms);
        Ok(())
    }
}

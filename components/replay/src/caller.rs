//! I/O task of one caller: owns its connection and tells the loop of each answer.

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
use crate::record::Answer;
use crate::statement;

/// Time of a connection attempt.
const CONNECT: Duration = Duration::from_secs(2);
/// Time for an answer, beyond which the outcome is unknown; a frozen entry gives none.
const PATIENCE: Duration = Duration::from_secs(5);
/// Connection attempts of one statement, over all entries in turn.
const ATTEMPTS: usize = 6;
/// Pause between attempts, so that callers of a dead entry do not flood the others.
const PAUSE: Duration = Duration::from_millis(50);

/// What a caller is to do.
#[derive(Debug)]
pub enum Command {
    /// Go on at this entry.
    Move(usize),
    /// Run a statement.
    Run(Task),
}

/// A statement with everything that it takes to run it.
#[derive(Clone, Debug)]
pub struct Task {
    /// Number for the report.
    pub number: usize,
    /// Kind of the shape.
    pub kind: Kind,
    /// Key.
    pub key: u64,
    /// Value of a write.
    pub value: u64,
    /// Service time beyond that of every statement.
    pub extra_us: u64,
    /// Weight.
    pub weight: Weight,
    /// Age that the caller accepts.
    pub max_age_ms: Option<u64>,
}

/// Report of a statement.
#[derive(Debug)]
pub struct Done {
    /// Number of the statement.
    pub number: usize,
    /// Index of the entry.
    pub entry: usize,
    /// When the entry could first see it.
    pub sent: Instant,
    /// When the entry's answer was there.
    pub replied: Instant,
    /// When the answer was at the caller.
    pub answered: Instant,
    /// Rows of a read, or why there are none.
    pub result: Result<Vec<Row>, Answer>,
}

/// Where a caller connects.
#[derive(Clone, Debug)]
pub struct Route {
    /// Addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Database name.
    pub database: String,
    /// User, which is also the password.
    pub user: String,
}

impl Route {
    /// Connects to an entry with a session; its token is kept up to date in `token`.
    ///
    /// # Errors
    /// Fails if the entry does not take the caller in time.
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
        let Ok(connected) = timeout(CONNECT, config.connect(NoTls)).await else {
            bail!("no answer from the entry at {address}");
        };
        let (client, connection) = connected.with_context(|| format!("entry at {address}"))?;
        tokio::task::spawn_local(drive(connection, token));
        Ok(client)
    }
}

type Socket = Connection<tokio_postgres::Socket, NoTlsStream>;

/// Drives a connection. The entry reports the token before the answer to a write, and the client
/// sees that answer only after this task has returned, so that the token is never behind.
async fn drive(mut connection: Socket, token: watch::Sender<String>) {
    poll_fn(|cx| {
        loop {
            let polled = connection.poll_message(cx);
            if let Some(text) = connection.parameter("limpettally.session") {
                token.send_if_modified(|known| {
                    let changed = known != text;
                    if changed {
                        text.clone_into(known);
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

/// One caller.
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
    /// A caller that is not connected yet.
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
        reports: UnboundedSender<Done>,
    ) {
        // A failure shows at the first statement, which connects again.
        let _later = self.connect().await;
        while let Some(command) = commands.recv().await {
            match command {
                Command::Move(entry) => {
                    self.entry = entry;
                    self.client = None;
                    let _later = self.connect().await;
                }
                Command::Run(task) => {
                    let done = self.execute(&task).await;
                    if reports.send(done).is_err() {
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

    async fn execute(&mut self, task: &Task) -> Done {
        let prepared = self.prepare(task).await;
        sleep(self.delay).await;
        let sent = Instant::now();
        let result = match (&self.client, prepared) {
            (Some(client), Ok(())) => {
                let run = statement::run(client, task.kind, task.key, task.value, task.extra_us);
                let limit = PATIENCE + Duration::from_micros(task.extra_us);
                match timeout(limit, run).await {
                    Ok(result) => result,
                    Err(_) => Err(Answer::Unknown),
                }
            }
            (_, Err(answer)) => Err(answer),
            (None, Ok(())) => Err(Answer::NotRun("connect".to_owned())),
        };
        let (replied, entry) = (Instant::now(), self.entry % self.route.entries.len());
        let late = replied - sent >= PATIENCE && result == Err(Answer::Unknown);
        let closed = self.client.as_ref().is_none_or(Client::is_closed);
        if late || closed {
            self.client = None;
            self.entry += 1;
        }
        sleep(self.delay).await;
        let answered = Instant::now();
        let number = task.number;
        Done {
            number,
            entry,
            sent,
            replied,
            answered,
            result,
        }
    }

    /// Connects if need be, and sets the weight and the accepted age of the statement.
    async fn prepare(&mut self, task: &Task) -> Result<(), Answer> {
        let failed = || Answer::NotRun("connect".to_owned());
        for _ in 0..ATTEMPTS {
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
                sleep(PAUSE).await;
            }
        }
        let client = self.client.as_ref().ok_or_else(failed)?;
        if (self.weight, self.max_age_ms) == (task.weight, task.max_age_ms) {
            return Ok(());
        }
        let age = task
            .max_age_ms
            .map_or("default".to_owned(), |age| age.to_string());
        for text in [
            format!("SET limpettally.weight = '{}'", task.weight),
            format!("SET limpettally.max_age_ms = '{age}'"),
        ] {
            match timeout(PATIENCE, client.simple_query(&text)).await {
                Ok(Ok(_)) => {}
                Ok(Err(error)) => return Err(statement::outcome(&error, false)),
                Err(_) => return Err(failed()),
            }
        }
        (self.weight, self.max_age_ms) = (task.weight, task.max_age_ms);
        Ok(())
    }
}

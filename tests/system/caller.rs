//! Connections of callers to entries and targets.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage};

use crate::harness::TIMEOUT;
use crate::load::Outcome;

/// A connection to an entry or a target.
#[derive(Debug)]
pub struct Caller {
    client: Client,
    /// Result of the connection once it has ended.
    end: Rc<RefCell<Option<Result<(), tokio_postgres::Error>>>>,
}

impl Deref for Caller {
    type Target = Client;

    fn deref(&self) -> &Client {
        &self.client
    }
}

impl DerefMut for Caller {
    fn deref_mut(&mut self) -> &mut Client {
        &mut self.client
    }
}

impl Caller {
    /// Outcome of a statement, as the caller sees it. The driver reports an error that arrives
    /// between two statements only through the connection.
    pub async fn outcome<T>(&self, result: Result<T, tokio_postgres::Error>) -> Outcome {
        let outcome = Outcome::of(result);
        if !matches!(outcome, Outcome::Cut(_)) {
            return outcome;
        }
        let end = eventually("the end of the connection", TIMEOUT, async || {
            self.end.take()
        });
        match Outcome::of(end.await) {
            Outcome::Done => outcome,
            final_outcome => final_outcome,
        }
    }
}

/// Connects to an address, with an optional session token.
pub async fn connect(
    address: SocketAddr,
    token: Option<&str>,
) -> Result<Caller, tokio_postgres::Error> {
    let mut config = Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user("demo")
        .password("demo")
        .dbname("orders")
        .connect_timeout(Duration::from_secs(5));
    if let Some(token) = token {
        config.options(format!("-c limpettally.session={token}"));
    }
    let (client, connection) = config.connect(NoTls).await?;
    let end = Rc::new(RefCell::new(None));
    let connection_end = Rc::clone(&end);
    spawn_local(async move {
        let result = connection.await;
        connection_end.replace(Some(result));
    });
    Ok(Caller { client, end })
}

/// First column of the first row.
pub async fn value(client: &Caller, text: &str) -> Result<Option<String>, tokio_postgres::Error> {
    let messages = client.simple_query(text).await?;
    Ok(messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    }))
}

/// Session token of a caller.
pub async fn token(client: &Caller) -> String {
    let token = value(client, "SHOW limpettally.session").await;
    token.unwrap().expect("the session has a token")
}

/// Waits until `probe` returns a value.
pub async fn eventually<T>(
    what: &str,
    limit: Duration,
    mut probe: impl AsyncFnMut() -> Option<T>,
) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = probe().await {
            return value;
        }
        assert!(started.elapsed() < limit, "not within {limit:?}: {what}");
        sleep(Duration::from_millis(10)).await;
    }
}

//! Callers of entries, and what they are told.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage};

use crate::harness::LIMIT;
use crate::load::Outcome;

/// A connection to an entry or a target.
#[derive(Debug)]
pub struct Caller {
    client: Client,
    /// What the connection ended with.
    ended: Rc<RefCell<Option<Result<(), tokio_postgres::Error>>>>,
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
    /// What the caller was told of a statement. An error that arrives between two statements is
    /// given by the driver to the connection alone.
    pub async fn outcome<T>(&self, result: Result<T, tokio_postgres::Error>) -> Outcome {
        let outcome = Outcome::of(result);
        if !matches!(outcome, Outcome::Cut(_)) {
            return outcome;
        }
        let ended = eventually("the end of the connection", LIMIT, async || {
            self.ended.take()
        });
        match Outcome::of(ended.await) {
            Outcome::Done => outcome,
            told => told,
        }
    }
}

/// A caller at an address, with a session token if there is one.
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
    let ended = Rc::new(RefCell::new(None));
    let end = Rc::clone(&ended);
    spawn_local(async move {
        let result = connection.await;
        end.replace(Some(result));
    });
    Ok(Caller { client, ended })
}

/// First column of the first row.
pub async fn value(client: &Caller, text: &str) -> Result<Option<String>, tokio_postgres::Error> {
    let messages = client.simple_query(text).await?;
    Ok(messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    }))
}

/// Token of a caller's session.
pub async fn token(client: &Caller) -> String {
    let token = value(client, "SHOW limpettally.session").await;
    token.unwrap().expect("a token")
}

/// Waits until `probe` gives a value.
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

//! Stand-in targets on free ports, with clients.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::net::SocketAddr;
use std::time::Duration;

use standin::Config;
use tokio_postgres::{Client, Config as Target, NoTls, SimpleQueryMessage};
use types::Name;

/// Bound on every wait for a condition; a passing test never gets near it.
pub const PATIENCE: Duration = Duration::from_secs(20);

pub fn config() -> Config {
    let name = |raw| Name::try_from(raw).unwrap();
    Config::new(
        name("target"),
        name("group"),
        "127.0.0.1:0".parse().unwrap(),
    )
}

/// Starts a target that runs as long as the test.
pub async fn start(config: Config) -> SocketAddr {
    let bound = standin::bind(config).await.unwrap();
    let address = bound.addr();
    tokio::spawn(bound.run(std::future::pending()));
    address
}

pub async fn replica(primary: SocketAddr, lag: Duration) -> SocketAddr {
    let mut config = config();
    config.primary = Some(primary);
    config.lag = lag;
    start(config).await
}

pub async fn try_connect(address: SocketAddr) -> Result<Client, tokio_postgres::Error> {
    let mut target = Target::new();
    target.host("127.0.0.1").port(address.port()).user("tester");
    let (client, connection) = target.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

pub async fn connect(address: SocketAddr) -> Client {
    try_connect(address).await.unwrap()
}

/// Rows of a simple query, values joined with commas.
pub async fn rows(client: &Client, sql: &str) -> Vec<String> {
    let messages = client.simple_query(sql).await.unwrap();
    let rows = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    rows.map(|row| {
        let values = (0..row.len()).map(|at| row.get(at).unwrap_or("null"));
        values.collect::<Vec<_>>().join(",")
    })
    .collect()
}

/// The only value of a simple query.
pub async fn one(client: &Client, sql: &str) -> String {
    let mut rows = rows(client, sql).await;
    assert_eq!(rows.len(), 1, "{sql}");
    rows.remove(0)
}

/// SQLSTATE of a simple query that has to fail.
pub async fn code(client: &Client, sql: &str) -> String {
    let error = client.simple_query(sql).await.unwrap_err();
    error
        .code()
        .map(|c| c.code().to_owned())
        .unwrap_or_default()
}

/// Waits until a query has the given rows.
pub async fn until(client: &Client, sql: &str, wanted: &[&str]) {
    let deadline = tokio::time::Instant::now() + PATIENCE;
    loop {
        let result = client.simple_query(sql).await;
        if result.is_ok() && rows(client, sql).await == wanted {
            return;
        }
        assert!(
            tokio::time::Instant::now() < deadline,
            "{sql}: not {wanted:?}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

//! Stand-in targets on free ports, and their clients.
#![allow(dead_code, reason = "each test file uses only some of the functions")]

use std::net::SocketAddr;
use std::time::Duration;

use standin::Config;
use tokio_postgres::{Client, Config as ClientConfig, NoTls, SimpleQueryMessage};
use types::Name;

/// Maximum wait for a condition; far longer than a passing test takes.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

pub fn default_config() -> Config {
    let name = |raw| Name::try_from(raw).unwrap();
    Config::new(
        name("target"),
        name("group"),
        "127.0.0.1:0".parse().unwrap(),
    )
}

/// Starts a target that runs until the test ends.
pub async fn start_target(config: Config) -> SocketAddr {
    let listener = standin::bind(config).await.unwrap();
    let address = listener.address();
    tokio::spawn(listener.run(std::future::pending()));
    address
}

pub async fn start_replica(primary: SocketAddr, lag: Duration) -> SocketAddr {
    let mut config = default_config();
    config.primary = Some(primary);
    config.lag = lag;
    start_target(config).await
}

pub async fn try_connect(address: SocketAddr) -> Result<Client, tokio_postgres::Error> {
    let mut client_config = ClientConfig::new();
    client_config
        .host("127.0.0.1")
        .port(address.port())
        .user("tester");
    let (client, connection) = client_config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

pub async fn connect(address: SocketAddr) -> Client {
    try_connect(address).await.unwrap()
}

/// Rows of a simple query, with their values joined by commas.
pub async fn rows(client: &Client, sql: &str) -> Vec<String> {
    let messages = client.simple_query(sql).await.unwrap();
    let rows = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    rows.map(|row| {
        let values = (0..row.len()).map(|index| row.get(index).unwrap_or("null"));
        values.collect::<Vec<_>>().join(",")
    })
    .collect()
}

/// Value of a simple query that returns a single one.
pub async fn single_value(client: &Client, sql: &str) -> String {
    let mut rows = rows(client, sql).await;
    assert_eq!(rows.len(), 1, "{sql}");
    rows.remove(0)
}

/// SQLSTATE of a simple query that must fail; empty if the connection was closed.
pub async fn sqlstate(client: &Client, sql: &str) -> String {
    let error = client.simple_query(sql).await.unwrap_err();
    error
        .code()
        .map(|c| c.code().to_owned())
        .unwrap_or_default()
}

/// Waits until a query returns the expected rows.
pub async fn wait_for_rows(client: &Client, sql: &str, expected: &[&str]) {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    loop {
        let result = client.simple_query(sql).await;
        if result.is_ok() && rows(client, sql).await == expected {
            return;
        }
        assert!(
            tokio::time::Instant::now() < deadline,
            "{sql} did not return {expected:?}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

//! Example of a caller that continues its session at another entry and distinguishes the outcomes of a
//! request.
//!
//! Run it against the system that `./demo.sh` starts:
//! `cargo run --example caller -- 127.0.0.1:6432 127.0.0.1:6433`

use std::net::SocketAddr;

use anyhow::{Context, Result, bail};
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage};

/// What is known of a request after its answer.
#[derive(Debug)]
enum Outcome {
    Done,
    /// The request had no effect and may be sent again.
    NotRun,
    /// The request may have taken effect; check this before sending it again.
    Unknown,
    /// Any other error, such as one of the target itself; the request had no effect.
    Failed,
}

impl From<Result<u64, tokio_postgres::Error>> for Outcome {
    fn from(result: Result<u64, tokio_postgres::Error>) -> Self {
        let Err(error) = result else {
            return Self::Done;
        };
        match error.code().map(|code| code.code().to_owned()) {
            // Without an answer the outcome is unknown.
            None => Self::Unknown,
            Some(code) if code == "08007" => Self::Unknown,
            Some(code) if code.starts_with("57L") => Self::NotRun,
            Some(_) => Self::Failed,
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let entries: Vec<SocketAddr> = std::env::args()
        .skip(1)
        .map(|arg| arg.parse().with_context(|| arg))
        .collect::<Result<_>>()?;
    let [first, second, ..] = entries.as_slice() else {
        bail!("usage: caller ENTRY ENTRY");
    };
    let client = connect(first, "").await?;
    client
        .batch_execute("CREATE TABLE IF NOT EXISTS pauses (week int, reason text)")
        .await?;
    let write = "INSERT INTO pauses VALUES ($1, $2)";
    let result = client.execute(write, &[&49_i32, &"holiday"]).await;
    println!("write: {:?}", Outcome::from(result));

    let token = show_parameter(&client, "limpettally.session").await?;
    let options = format!("-c limpettally.session={token} -c limpettally.weight=interactive");
    let other = connect(second, &options).await?;
    let rows = other.query("SELECT reason FROM pauses", &[]).await?;
    println!("rows that the second entry shows: {}", rows.len());
    Ok(())
}

async fn connect(entry: &SocketAddr, options: &str) -> Result<Client> {
    let mut config = Config::new();
    config
        .host(entry.ip().to_string())
        .port(entry.port())
        .user("demo")
        .password("demo")
        .dbname("orders")
        .options(options);
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

async fn show_parameter(client: &Client, parameter: &str) -> Result<String> {
    let messages = client.simple_query(&format!("SHOW {parameter}")).await?;
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0),
        _ => None,
    });
    row.map(str::to_owned).context("SHOW returned no row")
}

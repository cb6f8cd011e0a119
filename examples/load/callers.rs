//! Connects callers to one entry, and measures the entry with idle and active callers.

use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use clap::ArgMatches;
use tokio::task::{JoinSet, spawn_local};
use tokio_postgres::{Client, Config, NoTls};

use crate::process::{Probe, resident_kib};
use crate::{number, value, values};

/// An entry limits the connections that have not authenticated yet.
const MAX_CONCURRENT_CONNECTS: usize = 64;

pub async fn run(matches: &ArgMatches) -> Result<()> {
    let (count, active) = (number(matches, "callers"), number(matches, "active"));
    let pids = values(matches, "pids");
    let before = resident_kib(pids[0])?;
    let mut clients = Vec::new();
    while clients.len() < count {
        let mut starting = JoinSet::new();
        for _ in 0..MAX_CONCURRENT_CONNECTS.min(count - clients.len()) {
            let address = value(matches, "address")?.parse()?;
            let database = value(matches, "database")?.to_owned();
            starting.spawn_local(async move { connect(address, &database).await });
        }
        while let Some(client) = starting.join_next().await {
            clients.push(client??);
        }
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let after = resident_kib(pids[0])?;
    println!(
        "callers: {count} connected, entry {:.1} -> {:.1} MiB, {:.2} KiB a caller",
        before / 1024.0,
        after / 1024.0,
        (after - before) / count as f64
    );
    let mode = value(matches, "mode")?.to_owned();
    if mode == "write" {
        // The table may exist already from an earlier run.
        let _exists = clients[0]
            .simple_query("CREATE TABLE load (id bigint PRIMARY KEY)")
            .await;
    }
    for window in 0..number(matches, "windows") {
        let secs = number(matches, "secs") as u64;
        let probe = Probe::start(&pids)?;
        let done = run_active(
            &mut clients,
            active,
            &mode,
            Duration::from_secs(secs),
            window,
        )
        .await?;
        let processor_s = probe.used_seconds()?[0];
        println!(
            "window: {active} active, {:.0} {mode}/s, entry {:.1} us each | {}",
            done as f64 / probe.elapsed(),
            processor_s * 1e6 / (done as f64).max(1.0),
            probe.summary()?
        );
    }
    Ok(())
}

async fn connect(address: std::net::SocketAddr, database: &str) -> Result<Client> {
    let mut config = Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user("demo")
        .password("demo")
        .dbname(database);
    let (client, connection) = config.connect(NoTls).await.context("connect")?;
    spawn_local(async move {
        // The next call of the client reports the end of the connection.
        let _ended = connection.await;
    });
    Ok(client)
}

/// Lets the first `active` callers send statements for `duration`. Returns the number of statements
/// that were answered.
async fn run_active(
    clients: &mut Vec<Client>,
    active: usize,
    mode: &str,
    duration: Duration,
    window: usize,
) -> Result<usize> {
    let end_time = Instant::now() + duration;
    if active == 0 {
        tokio::time::sleep(duration).await;
    }
    let mut callers = JoinSet::new();
    for (index, client) in clients.drain(..active).enumerate() {
        let mode = mode.to_owned();
        callers.spawn_local(async move {
            let mut done = 0;
            while Instant::now() < end_time {
                let id = (window * 1_000 + index) * 1_000_000
                    + done
                    + std::process::id() as usize * 10_000_000_000;
                done += execute(&client, &mode, id).await?;
            }
            anyhow::Ok((client, done))
        });
    }
    let mut total = 0;
    while let Some(result) = callers.join_next().await {
        let (client, done) = result??;
        clients.push(client);
        total += done;
    }
    // The same callers are active in each window.
    clients.rotate_right(active);
    Ok(total)
}

async fn execute(client: &Client, mode: &str, id: usize) -> Result<usize> {
    match mode {
        "read" => {
            client.simple_query("SELECT 1").await?;
            Ok(1)
        }
        // Five statements: begin, three reads, commit.
        "transaction" => {
            for sql in ["BEGIN", "SELECT 1", "SELECT 1", "SELECT 1", "COMMIT"] {
                client.simple_query(sql).await?;
            }
            Ok(5)
        }
        "write" => {
            let sql = format!("INSERT INTO load VALUES ({id})");
            client.simple_query(&sql).await?;
            Ok(1)
        }
        _ => bail!("--mode is read, transaction or write"),
    }
}

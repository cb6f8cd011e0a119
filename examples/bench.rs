//! Cost of an entry: latency added to `SELECT 1` over a direct connection to the target, latency of
//! acknowledged writes, and statements per second of processor time. `bench DIRECT_PORT ENTRY_PORT ENTRY_PID`.

use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use hdrhistogram::Histogram;
use tokio_postgres::{Client, Config, NoTls};

/// Statements of each latency series; the two series take turns.
const LATENCY_STATEMENTS: usize = 20_000;
/// Writes of each series.
const WRITES: usize = 1000;
/// Callers of the throughput run; a target has 35 connections for all of them.
const CALLERS: usize = 32;
/// Length of the throughput run.
const RUN: Duration = Duration::from_secs(5);
/// Ticks of processor time per second, as the kernel reports them.
const TICKS_PER_SECOND: f64 = 100.0;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [direct, entry, pid] = args.as_slice() else {
        bail!("usage: bench DIRECT_PORT ENTRY_PORT ENTRY_PID");
    };
    let (direct, entry) = (direct.parse()?, entry.parse()?);
    latency(direct, entry).await?;
    writes(direct, entry).await?;
    throughput(entry, pid).await
}

async fn connect(port: u16) -> Result<Client> {
    let mut config = Config::new();
    config
        .host("127.0.0.1")
        .port(port)
        .user("demo")
        .password("demo")
        .dbname("orders");
    let (client, connection) = config.connect(NoTls).await.context("connect")?;
    tokio::spawn(async move {
        // The client's next call reports the end of the connection.
        let _ended = connection.await;
    });
    Ok(client)
}

async fn latency(direct: u16, entry: u16) -> Result<()> {
    let clients = [connect(direct).await?, connect(entry).await?];
    let mut series = [Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?];
    for _ in 0..LATENCY_STATEMENTS {
        for (client, histogram) in clients.iter().zip(&mut series) {
            let started = Instant::now();
            client.simple_query("SELECT 1").await?;
            histogram.record(u64::try_from(started.elapsed().as_nanos())?)?;
        }
    }
    let us = |histogram: &Histogram<u64>, q| histogram.value_at_quantile(q) as f64 / 1e3;
    for (name, histogram) in ["direct", "entry"].iter().zip(&series) {
        println!(
            "{name}: p50 {:.1} us, p99 {:.1} us",
            us(histogram, 0.5),
            us(histogram, 0.99)
        );
    }
    let added = |q| us(&series[1], q) - us(&series[0], q);
    println!("added: p50 {:.1} us, p99 {:.1} us", added(0.5), added(0.99));
    Ok(())
}

/// Latency of autocommitted updates, which an entry acknowledges only once `write.acks` replicas
/// cover them.
async fn writes(direct: u16, entry: u16) -> Result<()> {
    let clients = [connect(direct).await?, connect(entry).await?];
    let table = "CREATE TABLE IF NOT EXISTS bench (id int PRIMARY KEY, n int)";
    clients[1]
        .batch_execute(table)
        .await
        .context("create the table")?;
    let insert = "INSERT INTO bench VALUES (1, 0) ON CONFLICT DO NOTHING";
    clients[1]
        .batch_execute(insert)
        .await
        .context("insert the row")?;
    let mut series = [Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?];
    for _ in 0..WRITES {
        for (client, histogram) in clients.iter().zip(&mut series) {
            let started = Instant::now();
            client
                .simple_query("UPDATE bench SET n = n + 1 WHERE id = 1")
                .await?;
            histogram.record(u64::try_from(started.elapsed().as_nanos())?)?;
        }
    }
    print("write, direct", &series[0]);
    print("write, entry", &series[1]);
    Ok(())
}

fn print(name: &str, histogram: &Histogram<u64>) {
    let us = |q| histogram.value_at_quantile(q) as f64 / 1e3;
    println!("{name}: p50 {:.1} us, p99 {:.1} us", us(0.5), us(0.99));
}

async fn throughput(entry: u16, pid: &str) -> Result<()> {
    let mut callers = tokio::task::JoinSet::new();
    let before = processor_seconds(pid)?;
    let started = Instant::now();
    for _ in 0..CALLERS {
        let client = connect(entry).await?;
        callers.spawn(async move {
            let mut done = 0_u64;
            while started.elapsed() < RUN {
                client.simple_query("SELECT 1").await?;
                done += 1;
            }
            Ok::<_, anyhow::Error>(done)
        });
    }
    let mut done = 0;
    while let Some(result) = callers.join_next().await {
        done += result??;
    }
    let (wall, used) = (
        started.elapsed().as_secs_f64(),
        processor_seconds(pid)? - before,
    );
    let done = done as f64;
    println!(
        "{CALLERS} callers: {:.0} statements/s, {:.0} statements per second of the entry's processor time",
        done / wall,
        done / used
    );
    Ok(())
}

/// Processor time of a process, user and system.
fn processor_seconds(pid: &str) -> Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).context("process")?;
    let fields = stat.rsplit_once(") ").context("stat")?.1.split(' ');
    let ticks: Vec<f64> = fields
        .skip(11)
        .take(2)
        .map(str::parse)
        .collect::<Result<_, _>>()?;
    Ok(ticks.iter().sum::<f64>() / TICKS_PER_SECOND)
}

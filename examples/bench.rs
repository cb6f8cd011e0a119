//! Measures the cost of an entry: the latency it adds to `SELECT 1` compared with a direct connection
//! to the target, the latency of acknowledged writes, and statements per second of processor time.
//!
//! `bench DIRECT_PORT ENTRY_PORT ENTRY_PID`

use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use hdrhistogram::Histogram;
use tokio_postgres::{Client, Config, NoTls};

/// Reads of each latency series; the direct and the entry series take turns.
const LATENCY_STATEMENTS: usize = 20_000;
/// Writes of each latency series.
const WRITE_STATEMENTS: usize = 1000;
/// Callers of the throughput measurement, fewer than the 35 connections of a target.
const CALLER_COUNT: usize = 32;
const THROUGHPUT_DURATION: Duration = Duration::from_secs(5);
/// Ticks of processor time per second, as the kernel reports them.
const TICKS_PER_SECOND: f64 = 100.0;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [direct, entry, pid] = args.as_slice() else {
        bail!("usage: bench DIRECT_PORT ENTRY_PORT ENTRY_PID");
    };
    let (direct, entry) = (direct.parse()?, entry.parse()?);
    measure_read_latency(direct, entry).await?;
    measure_write_latency(direct, entry).await?;
    measure_throughput(entry, pid).await
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
        // The next call of the client reports the end of the connection.
        let _ended = connection.await;
    });
    Ok(client)
}

async fn measure_read_latency(direct: u16, entry: u16) -> Result<()> {
    let clients = [connect(direct).await?, connect(entry).await?];
    let mut series = [Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?];
    for _ in 0..LATENCY_STATEMENTS {
        for (client, histogram) in clients.iter().zip(&mut series) {
            let started = Instant::now();
            client.simple_query("SELECT 1").await?;
            histogram.record(u64::try_from(started.elapsed().as_nanos())?)?;
        }
    }
    let quantile_us =
        |histogram: &Histogram<u64>, quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
    for (name, histogram) in ["direct", "entry"].iter().zip(&series) {
        println!(
            "{name}: p50 {:.1} us, p99 {:.1} us",
            quantile_us(histogram, 0.5),
            quantile_us(histogram, 0.99)
        );
    }
    let added_us = |quantile| quantile_us(&series[1], quantile) - quantile_us(&series[0], quantile);
    println!(
        "added: p50 {:.1} us, p99 {:.1} us",
        added_us(0.5),
        added_us(0.99)
    );
    Ok(())
}

/// Measures the latency of autocommitted updates, which an entry acknowledges only after
/// `write.acks` replicas have confirmed them.
async fn measure_write_latency(direct: u16, entry: u16) -> Result<()> {
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
    for _ in 0..WRITE_STATEMENTS {
        for (client, histogram) in clients.iter().zip(&mut series) {
            let started = Instant::now();
            client
                .simple_query("UPDATE bench SET n = n + 1 WHERE id = 1")
                .await?;
            histogram.record(u64::try_from(started.elapsed().as_nanos())?)?;
        }
    }
    print_quantiles("write, direct", &series[0]);
    print_quantiles("write, entry", &series[1]);
    Ok(())
}

fn print_quantiles(name: &str, histogram: &Histogram<u64>) {
    let quantile_us = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
    println!(
        "{name}: p50 {:.1} us, p99 {:.1} us",
        quantile_us(0.5),
        quantile_us(0.99)
    );
}

async fn measure_throughput(entry: u16, pid: &str) -> Result<()> {
    let mut callers = tokio::task::JoinSet::new();
    let processor_s_before = processor_seconds(pid)?;
    let started = Instant::now();
    for _ in 0..CALLER_COUNT {
        let client = connect(entry).await?;
        callers.spawn(async move {
            let mut done = 0_u64;
            while started.elapsed() < THROUGHPUT_DURATION {
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
    let (elapsed_s, processor_s) = (
        started.elapsed().as_secs_f64(),
        processor_seconds(pid)? - processor_s_before,
    );
    let done = done as f64;
    println!(
        "{CALLER_COUNT} callers: {:.0} statements/s, {:.0} statements per second of the entry's processor time",
        done / elapsed_s,
        done / processor_s
    );
    Ok(())
}

/// Returns the user and system time of a process.
fn processor_seconds(pid: &str) -> Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))
        .context("read the processor time of the process")?;
    let fields = stat
        .rsplit_once(") ")
        .context("parse /proc/PID/stat")?
        .1
        .split(' ');
    let ticks: Vec<f64> = fields
        .skip(11)
        .take(2)
        .map(str::parse)
        .collect::<Result<_, _>>()?;
    Ok(ticks.iter().sum::<f64>() / TICKS_PER_SECOND)
}

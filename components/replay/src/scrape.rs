//! Reads the counters of the entries over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::record::{Counters, Scrape};

/// Time for one reply; a killed or frozen entry sends none.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);
const COUNTER_PREFIX: &str = "batches_total{reason=\"";

/// Reads the counters of each of `entries`.
pub async fn read_counters(entries: &[SocketAddr]) -> Scrape {
    let mut scrape = Scrape::new();
    for entry in entries {
        let text = timeout(REPLY_TIMEOUT, fetch_metrics(*entry)).await;
        scrape.push(text.ok().and_then(Result::ok).map(|text| parse(&text)));
    }
    scrape
}

async fn fetch_metrics(entry: SocketAddr) -> Result<String> {
    let mut stream = TcpStream::connect(entry)
        .await
        .context("connect to the entry")?;
    let request = format!("GET /metrics HTTP/1.1\r\nHost: {entry}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await?;
    Ok(text)
}

fn parse(text: &str) -> Counters {
    let counter = |line: &str| {
        let (reason, count) = line.strip_prefix(COUNTER_PREFIX)?.split_once("\"} ")?;
        Some((reason.to_owned(), count.trim().parse().ok()?))
    };
    text.lines().filter_map(counter).collect()
}

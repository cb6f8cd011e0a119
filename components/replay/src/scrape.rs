//! Counters of the entries.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::record::Counters;

/// Time for one reply; a killed or frozen entry gives none.
const PATIENCE: Duration = Duration::from_millis(300);
const COUNTER: &str = "batches_total{reason=\"";

/// Sums the counters of answered statements over `entries`; returns how many did not reply.
pub async fn all(entries: &[SocketAddr]) -> (Counters, usize) {
    let (mut sum, mut silent) = (Counters::new(), 0);
    for entry in entries {
        match timeout(PATIENCE, text(*entry)).await {
            Ok(Ok(text)) => add(&text, &mut sum),
            _ => silent += 1,
        }
    }
    (sum, silent)
}

async fn text(entry: SocketAddr) -> Result<String> {
    let mut stream = TcpStream::connect(entry).await.context("connect")?;
    let request = format!("GET /metrics HTTP/1.1\r\nHost: {entry}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await?;
    Ok(text)
}

fn add(text: &str, sum: &mut Counters) {
    for line in text.lines() {
        let Some((reason, count)) = line
            .strip_prefix(COUNTER)
            .and_then(|rest| rest.split_once("\"} "))
        else {
            continue;
        };
        if let Ok(count) = count.trim().parse::<u64>() {
            *sum.entry(reason.to_owned()).or_default() += count;
        }
    }
}

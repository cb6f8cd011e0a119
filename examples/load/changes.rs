//! Sends setting changes, and measures when they reach the entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use admin::client::{Call, Client};
use anyhow::{Result, ensure};
use http::Method;
use serde_json::json;
use settings::Secret;

/// Bearer token of the control processes.
pub const TOKEN: &str = "demo-token-0123456789";

/// A setting change that was sent and answered.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    /// Revision that holds the change.
    pub revision: u64,
    pub sent_at: Instant,
    /// When the answer arrived, which is sent after the entries have confirmed the change.
    pub answered_at: Instant,
}

/// Creates a client of the control processes.
pub fn client(addresses: &[&str]) -> Result<Client> {
    let addresses = addresses.iter().map(|address| address.parse());
    let addresses: Vec<SocketAddr> = addresses.collect::<Result<_, _>>()?;
    let token = Secret::new(TOKEN.to_owned());
    Ok(Client::new(addresses, token, Duration::from_secs(20)))
}

/// Sets a value and waits for the answer. `base` holds the revision that the change is based on, and
/// the number of the change for its request id.
pub async fn set_value(
    client: &Client,
    path: &str,
    key: &str,
    value: u32,
    base: (u64, usize),
) -> Result<Change> {
    let (base_revision, number) = base;
    let request = format!("{}-{number}", std::process::id());
    let body = json!({
        "path": path, "key": key, "value": value, "base": base_revision,
        "request": request, "operator": "load",
    });
    let sent_at = Instant::now();
    let call = Call::new(Method::POST, "/v1/settings", body.to_string());
    let answer = client.send(&call).await.map_err(|failure| failure.cause)?;
    ensure!(
        answer.status.is_success(),
        "{}: {}",
        answer.status,
        answer.body
    );
    Ok(Change {
        revision: answer.body["revision"].as_u64().unwrap_or_default(),
        sent_at,
        answered_at: Instant::now(),
    })
}

/// Number of entries that each revision reached, and the time of the last arrival.
#[derive(Debug, Default)]
pub struct Arrivals {
    by_revision: BTreeMap<u64, (usize, Instant)>,
}

impl Arrivals {
    /// Records that a change reached an entry.
    pub fn record(&mut self, revision: u64, now: Instant) {
        let (entries, last) = self.by_revision.entry(revision).or_insert((0, now));
        *entries += 1;
        *last = now;
    }

    /// Prints the times from sending changes to the last arrival at `entries` entries, and to the answers.
    pub fn print(&self, changes: &[Change], entries: usize) {
        let (mut arrival_times, mut answer_times) = (Vec::new(), Vec::new());
        for change in changes {
            if let Some((_, last)) = self
                .by_revision
                .get(&change.revision)
                .filter(|arrivals| arrivals.0 == entries)
            {
                arrival_times.push(ms(*last - change.sent_at));
            }
            answer_times.push(ms(change.answered_at - change.sent_at));
        }
        println!(
            "changes: {} sent, {} everywhere",
            changes.len(),
            arrival_times.len()
        );
        println!(
            "  until the last entry: {}",
            format_spread(&mut arrival_times)
        );
        println!("  until the answer: {}", format_spread(&mut answer_times));
    }
}

pub fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// Formats the minimum, median and maximum of times in milliseconds.
pub fn format_spread(values: &mut [f64]) -> String {
    values.sort_unstable_by(f64::total_cmp);
    match (values.first(), values.get(values.len() / 2), values.last()) {
        (Some(min), Some(median), Some(max)) => {
            format!("min {min:.1}, median {median:.1}, max {max:.1} ms")
        }
        _ => "none".to_owned(),
    }
}

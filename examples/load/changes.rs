//! Setting changes, and when each was in force.

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

/// When a change was sent and answered.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// Its revision.
    pub revision: u64,
    /// When it was sent.
    pub at: Instant,
    /// When its answer came, which waits for the entries' confirmations.
    pub answered: Instant,
}

/// Client of the control processes.
pub fn client(addresses: &[&str]) -> Result<Client> {
    let addresses = addresses.iter().map(|address| address.parse());
    let addresses: Vec<SocketAddr> = addresses.collect::<Result<_, _>>()?;
    let token = Secret::new(TOKEN.to_owned());
    Ok(Client::new(addresses, token, Duration::from_secs(20)))
}

/// Sets a value and waits for the answer. The base comes with the number of the change.
pub async fn set(
    client: &Client,
    path: &str,
    key: &str,
    value: u32,
    base: (u64, usize),
) -> Result<Sent> {
    let (base, count) = base;
    let request = format!("{}-{count}", std::process::id());
    let body = json!({
        "path": path, "key": key, "value": value, "base": base,
        "request": request, "operator": "load",
    });
    let at = Instant::now();
    let call = Call::new(Method::POST, "/v1/settings", body.to_string());
    let answer = client.send(&call).await.map_err(|lost| lost.cause)?;
    ensure!(
        answer.status.is_success(),
        "{}: {}",
        answer.status,
        answer.body
    );
    Ok(Sent {
        revision: answer.body["revision"].as_u64().unwrap_or_default(),
        at,
        answered: Instant::now(),
    })
}

/// Arrivals of each revision at the entries.
#[derive(Debug, Default)]
pub struct Arrivals {
    last: BTreeMap<u64, (usize, Instant)>,
}

impl Arrivals {
    /// A change reached an entry.
    pub fn note(&mut self, revision: u64, now: Instant) {
        let (count, last) = self.last.entry(revision).or_insert((0, now));
        *count += 1;
        *last = now;
    }

    /// Prints times of changes until the last of `entries` had them, and until the answers.
    pub fn print(&self, sent: &[Sent], entries: usize) {
        let (mut applied, mut answered) = (Vec::new(), Vec::new());
        for change in sent {
            if let Some((_, last)) = self.last.get(&change.revision).filter(|l| l.0 == entries) {
                applied.push(ms(*last - change.at));
            }
            answered.push(ms(change.answered - change.at));
        }
        println!("changes: {} sent, {} everywhere", sent.len(), applied.len());
        println!("  until the last entry: {}", spread(&mut applied));
        println!("  until the answer: {}", spread(&mut answered));
    }
}

/// Milliseconds.
pub fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// Least, median and greatest.
pub fn spread(values: &mut [f64]) -> String {
    values.sort_unstable_by(f64::total_cmp);
    match (values.first(), values.get(values.len() / 2), values.last()) {
        (Some(least), Some(middle), Some(most)) => {
            format!("min {least:.1}, median {middle:.1}, max {most:.1} ms")
        }
        _ => "none".to_owned(),
    }
}

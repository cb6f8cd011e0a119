//! Waits for the system before a run, and reads the final state after it.

use std::time::Duration;

use anyhow::{Context, Result};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::caller::Route;
use crate::play::Addresses;
use crate::{Trace, statement};

const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);
/// Includes the time of a failover, which may still be in progress.
const FINAL_STATE_TIMEOUT: Duration = Duration::from_secs(10);
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// How callers of a database connect.
pub fn route(trace: &Trace, addresses: &Addresses, database: usize) -> Route {
    Route {
        entries: addresses.entries.iter().map(|entry| entry.listen).collect(),
        database: trace.system.databases[database].name.to_string(),
        user: addresses.user.clone(),
    }
}

/// Creates the table of every database through every entry, and retries until each entry accepts
/// it.
pub async fn wait_until_ready(trace: &Trace, addresses: &Addresses) -> Result<()> {
    let deadline = Instant::now() + STARTUP_TIMEOUT;
    for database in 0..trace.system.databases.len() {
        let route = route(trace, addresses, database);
        for entry in 0..addresses.entries.len() {
            loop {
                let attempt = async {
                    let client = route
                        .connect(entry, "", watch::Sender::new(String::new()))
                        .await?;
                    client
                        .batch_execute(statement::CREATE_TABLE)
                        .await
                        .context("create the table")
                };
                match attempt.await {
                    Ok(()) => break,
                    Err(error) if Instant::now() > deadline => {
                        return Err(error.context(format!("database {}", route.database)));
                    }
                    Err(_) => sleep(RETRY_INTERVAL).await,
                }
            }
        }
    }
    Ok(())
}

/// Reads the whole table from the primary: the session token is invalid, so that the writes of the
/// session are unknown and no replica may serve it.
pub async fn read_final_state(route: &Route) -> Result<Vec<history::Row>> {
    let deadline = Instant::now() + FINAL_STATE_TIMEOUT;
    let mut entry = 0;
    loop {
        let attempt = async {
            let token = watch::Sender::new(String::new());
            let client = route.connect(entry, "final-state", token).await?;
            let result = timeout(
                FINAL_STATE_TIMEOUT,
                client.simple_query(statement::SELECT_ALL),
            )
            .await;
            Ok::<_, anyhow::Error>(result.context("no answer")??)
        };
        match attempt.await {
            Ok(messages) => return Ok(statement::rows(&messages)),
            Err(error) if Instant::now() > deadline => {
                return Err(error.context(format!("final state of {}", route.database)));
            }
            Err(_) => sleep(RETRY_INTERVAL).await,
        }
        entry += 1;
    }
}

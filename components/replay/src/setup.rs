//! Before and after a run: waits for the system, and reads the final state.

use std::time::Duration;

use anyhow::{Context, Result};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::caller::Route;
use crate::play::Addresses;
use crate::{Trace, statement};

/// Time for the system to come up.
const START: Duration = Duration::from_secs(20);
/// Time to read the final state, which may need a change of primary.
const FINAL: Duration = Duration::from_secs(10);
const PAUSE: Duration = Duration::from_millis(50);

/// Where callers of a database connect.
pub fn route(trace: &Trace, addresses: &Addresses, database: usize) -> Route {
    Route {
        entries: addresses.entries.iter().map(|entry| entry.listen).collect(),
        database: trace.system.databases[database].name.to_string(),
        user: addresses.user.clone(),
    }
}

/// Waits until every entry takes a write of every database, and creates the table.
pub async fn ready(trace: &Trace, addresses: &Addresses) -> Result<()> {
    let until = Instant::now() + START;
    for database in 0..trace.system.databases.len() {
        let route = route(trace, addresses, database);
        for entry in 0..addresses.entries.len() {
            loop {
                let tried = async {
                    let client = route
                        .connect(entry, "", watch::Sender::new(String::new()))
                        .await?;
                    client
                        .batch_execute(statement::CREATE)
                        .await
                        .context("create the table")
                };
                match tried.await {
                    Ok(()) => break,
                    Err(error) if Instant::now() > until => {
                        return Err(error.context(format!("database {}", route.database)));
                    }
                    Err(_) => sleep(PAUSE).await,
                }
            }
        }
    }
    Ok(())
}

/// Reads everything from the primary, which serves a session whose writes are not known.
pub async fn last(route: &Route) -> Result<Vec<history::Row>> {
    let until = Instant::now() + FINAL;
    let mut entry = 0;
    loop {
        let tried = async {
            let token = watch::Sender::new(String::new());
            let client = route.connect(entry, "final-state", token).await?;
            let answer = timeout(FINAL, client.simple_query(statement::FINAL)).await;
            Ok::<_, anyhow::Error>(answer.context("no answer")??)
        };
        match tried.await {
            Ok(messages) => return Ok(statement::rows(&messages)),
            Err(error) if Instant::now() > until => {
                return Err(error.context(format!("final state of {}", route.database)));
            }
            Err(_) => sleep(PAUSE).await,
        }
        entry += 1;
    }
}

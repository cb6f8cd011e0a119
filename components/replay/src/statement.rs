//! Statements of a shape, and what their results mean.

use history::Row;
use tokio_postgres::error::SqlState;
use tokio_postgres::{Client, Error, SimpleQueryMessage};

use crate::format::Kind;
use crate::record::Answer;

/// The table that all shapes use. It has no primary key: a write that is applied twice must show.
pub const CREATE: &str = "CREATE TABLE IF NOT EXISTS records (key bigint, value bigint)";
/// Everything in the table.
pub const FINAL: &str = "SELECT key, value FROM records";

/// Runs one statement of `kind`. A read returns its rows.
///
/// # Errors
/// Returns what became of a statement that is not done.
pub async fn run(
    client: &Client,
    kind: Kind,
    key: u64,
    value: u64,
    extra_us: u64,
) -> Result<Vec<Row>, Answer> {
    let insert = |key: u64| format!("INSERT INTO records VALUES ({key}, {value})");
    let text = match kind {
        Kind::Read => format!("SELECT key, value FROM records WHERE key = {key}"),
        Kind::Write => insert(key),
        Kind::Pair => return pair(client, &insert(key), &insert(key + 1)).await,
        Kind::Long => format!("SELECT pg_sleep({:.6})", extra_us as f64 / 1e6),
    };
    let messages = client.simple_query(&text).await;
    let messages = messages.map_err(|error| outcome(&error, true))?;
    Ok(if kind == Kind::Read {
        rows(&messages)
    } else {
        Vec::new()
    })
}

/// Only a lost answer to COMMIT leaves the outcome open: without COMMIT nothing is kept.
async fn pair(client: &Client, first: &str, second: &str) -> Result<Vec<Row>, Answer> {
    for text in ["BEGIN", first, second] {
        if let Err(error) = client.simple_query(text).await {
            // The caller's connection may be gone; then the transaction is as well.
            let _closed = client.simple_query("ROLLBACK").await;
            return Err(outcome(&error, false));
        }
    }
    let commit = client.simple_query("COMMIT").await;
    commit.map_err(|error| outcome(&error, true))?;
    Ok(Vec::new())
}

/// What an error says of the statement; `open` if the statement could have taken effect.
#[must_use]
pub fn outcome(error: &Error, open: bool) -> Answer {
    match error.code() {
        Some(code) => classify(code, open),
        None if open => Answer::Unknown,
        None => Answer::NotRun("closed".to_owned()),
    }
}

/// What a SQLSTATE says of the statement; `open` if the statement could have taken effect.
#[must_use]
pub fn classify(code: &SqlState, open: bool) -> Answer {
    // 08007 is the one SQLSTATE that leaves the outcome open.
    if open && *code == SqlState::TRANSACTION_RESOLUTION_UNKNOWN {
        return Answer::Unknown;
    }
    Answer::NotRun(code.code().to_owned())
}

/// The rows of a result with a key and a value.
#[must_use]
pub fn rows(messages: &[SimpleQueryMessage]) -> Vec<Row> {
    let number = |row: &tokio_postgres::SimpleQueryRow, i| row.get(i)?.parse().ok();
    messages
        .iter()
        .filter_map(|message| match message {
            SimpleQueryMessage::Row(row) => Some(Row {
                key: number(row, 0)?,
                value: number(row, 1)?,
            }),
            _ => None,
        })
        .collect()
}

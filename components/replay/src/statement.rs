//! SQL of the statement shapes, and the interpretation of their results.

use history::Row;
use tokio_postgres::error::SqlState;
use tokio_postgres::{Client, Error, SimpleQueryMessage};

use crate::format::Kind;
use crate::record::Status;

/// Creates the table that all shapes use. It has no primary key, so that a write that is applied
/// twice leaves two rows.
pub const CREATE_TABLE: &str = "CREATE TABLE IF NOT EXISTS records (key bigint, value bigint)";
/// Reads the whole table.
pub const SELECT_ALL: &str = "SELECT key, value FROM records";

/// Runs one statement of `kind`. A read returns its rows.
///
/// # Errors
/// Returns the status of a statement that was not acknowledged.
pub async fn execute(
    client: &Client,
    kind: Kind,
    key: u64,
    value: u64,
    extra_us: u64,
) -> Result<Vec<Row>, Status> {
    let insert = |key: u64| format!("INSERT INTO records VALUES ({key}, {value})");
    let text = match kind {
        Kind::Read => format!("SELECT key, value FROM records WHERE key = {key}"),
        Kind::Write => insert(key),
        Kind::Pair => return insert_pair(client, &insert(key), &insert(key + 1)).await,
        Kind::Long => format!("SELECT pg_sleep({:.6})", extra_us as f64 / 1e6),
    };
    let messages = client.simple_query(&text).await;
    let messages = messages.map_err(|error| error_status(&error, true))?;
    Ok(if kind == Kind::Read {
        rows(&messages)
    } else {
        Vec::new()
    })
}

/// Inserts two rows in one transaction. Its outcome is unknown only if the answer to COMMIT is
/// lost: without COMMIT nothing is kept.
async fn insert_pair(client: &Client, first: &str, second: &str) -> Result<Vec<Row>, Status> {
    for text in ["BEGIN", first, second] {
        if let Err(error) = client.simple_query(text).await {
            // If the connection is closed, the target has rolled back the transaction.
            let _closed = client.simple_query("ROLLBACK").await;
            return Err(error_status(&error, false));
        }
    }
    let commit = client.simple_query("COMMIT").await;
    commit.map_err(|error| error_status(&error, true))?;
    Ok(Vec::new())
}

/// Status of a statement that failed with `error`; `may_have_run` if it could have taken effect.
#[must_use]
pub fn error_status(error: &Error, may_have_run: bool) -> Status {
    match error.code() {
        Some(code) => classify(code, may_have_run),
        None if may_have_run => Status::Unknown,
        None => Status::NotRun("closed".to_owned()),
    }
}

/// Status of a statement that failed with SQLSTATE `code`; `may_have_run` if it could have taken
/// effect.
#[must_use]
pub fn classify(code: &SqlState, may_have_run: bool) -> Status {
    // 08007 is the only SQLSTATE of an unknown outcome.
    if may_have_run && *code == SqlState::TRANSACTION_RESOLUTION_UNKNOWN {
        return Status::Unknown;
    }
    Status::NotRun(code.code().to_owned())
}

/// Parses the rows of a result that consists of keys and values.
#[must_use]
pub fn rows(messages: &[SimpleQueryMessage]) -> Vec<Row> {
    let integer = |row: &tokio_postgres::SimpleQueryRow, i| row.get(i)?.parse().ok();
    messages
        .iter()
        .filter_map(|message| match message {
            SimpleQueryMessage::Row(row) => Some(Row {
                key: integer(row, 0)?,
                value: integer(row, 1)?,
            }),
            _ => None,
        })
        .collect()
}

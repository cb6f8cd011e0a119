//! The position query, which is sent after a write on the same connection.

use pg::Frame;
use types::target::Role;
use types::{Lsn, Point, Term};

/// Asks for role, term and position. It reads only the state of the server, no tables.
pub const QUERY: &str = "SELECT pg_is_in_recovery(), timeline_id, \
    CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_lsn() END \
    FROM pg_control_checkpoint()";

/// Role and position that a target reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    pub role: Role,
    pub point: Point,
}

impl Answer {
    /// Decodes the row of the answer; `None` if it is malformed.
    #[must_use]
    pub fn from_row(row: &Frame<'_>) -> Option<Self> {
        let mut columns = row
            .columns()
            .map(|column| column.and_then(|bytes| str::from_utf8(bytes).ok()));
        let mut next_column = || columns.next().flatten();
        Self::from_columns(next_column()?, next_column()?, next_column()?)
    }

    /// Decodes the columns of the answer in text form; `None` if one is malformed.
    #[must_use]
    pub fn from_columns(recovering: &str, term: &str, lsn: &str) -> Option<Self> {
        let role = match recovering {
            "t" | "true" => Role::Replica,
            "f" | "false" => Role::Primary,
            _ => return None,
        };
        let term = Term(term.parse().ok()?);
        let lsn = Lsn::try_from(lsn).ok()?;
        Some(Self {
            role,
            point: Point { term, lsn },
        })
    }
}

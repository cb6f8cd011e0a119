//! The position query that follows a write on the same connection.

use pg::Frame;
use types::target::Role;
use types::{Lsn, Point, Term};

/// Query for role, term and position; it reads nothing but the server's own state.
pub const QUERY: &str = "SELECT pg_is_in_recovery(), timeline_id, \
    CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_lsn() END \
    FROM pg_control_checkpoint()";

/// What a target says of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Role that the target has.
    pub role: Role,
    /// Its term and position.
    pub point: Point,
}

impl Answer {
    /// Reads the answer's row, or none if it has another form.
    #[must_use]
    pub fn parse(row: &Frame<'_>) -> Option<Self> {
        let mut columns = row
            .columns()
            .map(|column| column.and_then(|b| str::from_utf8(b).ok()));
        let mut next = || columns.next().flatten();
        Self::of(next()?, next()?, next()?)
    }

    /// Reads the answer's columns in text form, or none if one has another form.
    #[must_use]
    pub fn of(recovering: &str, term: &str, lsn: &str) -> Option<Self> {
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

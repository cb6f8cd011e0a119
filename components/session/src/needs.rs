//! Positions that reads require so that a session sees its own writes.

use types::database::{History, Relation};
use types::{Lsn, Name};

use crate::{Rejection, Signer, Token};

/// Session that a caller states.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Session {
    /// A token with the positions that the session has written.
    Token(Token),
    /// A name only: the positions that the session has written are not known here.
    Name(Name),
}

impl Session {
    /// Parses the value of `limpettally.session`: a signed token or a session name.
    ///
    /// The two cannot be confused: an encoded token begins with an upper-case letter, which no
    /// [`Name`] contains.
    ///
    /// # Errors
    /// Fails with the signer's error if the text is neither a name nor a valid token.
    pub fn parse(signer: &Signer, text: &str) -> Result<Self, Rejection> {
        match Name::try_from(text) {
            Ok(name) => Ok(Self::Name(name)),
            Err(_) => signer.verify(text).map(Self::Token),
        }
    }
}

/// What a read of one database requires of its target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Needs {
    /// Nothing: the session has not written to the database.
    #[default]
    Any,
    /// A target of the current term that has reached this lsn.
    AtLeast(Lsn),
    /// No target will do: a write of the session was lost at a promotion (SQLSTATE 58L01).
    WriteLost,
    /// The session has written under a term that the database's history does not contain yet.
    UnknownTerm,
    /// The primary, as the session's writes are not known.
    PrimaryOnly,
}

impl Needs {
    /// What a read of `database` with `token` requires; `history` lists the terms of the database.
    #[must_use]
    pub fn of_token(token: &Token, database: &Name, history: &History) -> Self {
        match token.position(database) {
            None => Self::Any,
            Some(point) => match history.relation(point) {
                Relation::Requires(lsn) => Self::AtLeast(lsn),
                Relation::Lost => Self::WriteLost,
                Relation::UnknownTerm => Self::UnknownTerm,
            },
        }
    }

    /// What a read of `database` in `session` requires; `history` lists the terms of the database.
    #[must_use]
    pub fn of(session: &Session, database: &Name, history: &History) -> Self {
        match session {
            Session::Token(token) => Self::of_token(token, database, history),
            Session::Name(_) => Self::PrimaryOnly,
        }
    }
}

//! What a read needs so that a session sees its own writes.

use types::database::{History, Relation};
use types::{Lsn, Name};

use crate::{Refusal, Signer, Token};

/// What a caller gives as its session.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Session {
    /// A session with the positions it wrote.
    Known(Token),
    /// A name without positions: its writes are not known here.
    Named(Name),
}

impl Session {
    /// Reads the value of `limpettally.session`: a signed token, or a session name.
    ///
    /// The two cannot be confused: the first character of a token's encoding is an upper-case
    /// letter, which no [`Name`] contains.
    ///
    /// # Errors
    /// The signer's refusal of a text that is no name.
    pub fn read(signer: &Signer, text: &str) -> Result<Self, Refusal> {
        match Name::try_from(text) {
            Ok(name) => Ok(Self::Named(name)),
            Err(_) => signer.open(text).map(Self::Known),
        }
    }
}

/// What a target must have for a read of one database.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Needs {
    /// The session wrote nothing there.
    #[default]
    Any,
    /// A target of the present term that has this lsn.
    AtLeast(Lsn),
    /// A write of the session was lost at a promotion (SQLSTATE 58L01).
    Lost,
    /// The session wrote under a term that this catalog does not name yet.
    Ahead,
    /// The session's writes are not known.
    PrimaryOnly,
}

impl Needs {
    /// What `token` needs of `database`, whose terms are in `history`.
    #[must_use]
    pub fn of_token(token: &Token, database: &Name, history: &History) -> Self {
        match token.position(database) {
            None => Self::Any,
            Some(point) => match history.relation(point) {
                Relation::Requires(lsn) => Self::AtLeast(lsn),
                Relation::Lost => Self::Lost,
                Relation::UnknownTerm => Self::Ahead,
            },
        }
    }

    /// What `session` needs of `database`, whose terms are in `history`.
    #[must_use]
    pub fn of(session: &Session, database: &Name, history: &History) -> Self {
        match session {
            Session::Known(token) => Self::of_token(token, database, history),
            Session::Named(_) => Self::PrimaryOnly,
        }
    }
}

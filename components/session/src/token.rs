//! What a session has written, and its encoding.
//!
//! Format version 1, before the signature: version (1 byte), key id (1), session id (16), number
//! of databases (1), and for each database the length of its name (1), the name, term (8) and
//! lsn (8). Numbers are big-endian; names rise strictly.

use types::{Lsn, Name, Point, Term, name};

/// Version of the encoding.
pub(crate) const VERSION: u8 = 1;

/// Most databases in one token, so that a token fits a start-up message.
pub const DATABASES_MAX: usize = 64;

/// Bytes before the first database.
pub(crate) const HEAD: usize = 1 + 1 + 16 + 1;

/// Longest encoding without the signature.
pub(crate) const BODY_MAX: usize = HEAD + DATABASES_MAX * (1 + name::MAX_BYTES + 16);

/// A token that names [`DATABASES_MAX`] databases cannot take another.
///
/// Dropping an older position instead would let the session read staler data than it wrote.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Full;

impl std::fmt::Display for Full {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "a session writes to at most {DATABASES_MAX} databases")
    }
}

impl std::error::Error for Full {}

/// Identity of a session and the last position it wrote in each database.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Token {
    /// Identity of the session, drawn at random when it begins.
    pub session: u128,
    /// Invariant: names rise strictly; at most [`DATABASES_MAX`] entries.
    positions: Vec<(Name, Point)>,
}

impl Token {
    /// A session that has written nothing.
    #[must_use]
    pub const fn new(session: u128) -> Self {
        Self {
            session,
            positions: Vec::new(),
        }
    }

    /// Databases with the last position written, in the order of their names.
    #[must_use]
    pub fn positions(&self) -> &[(Name, Point)] {
        &self.positions
    }

    /// The last position written in `database`.
    #[must_use]
    pub fn position(&self, database: &Name) -> Option<Point> {
        self.find(database).ok().map(|at| self.positions[at].1)
    }

    /// Notes a write at `point`; the later position stays: a higher term wins, then a higher lsn.
    ///
    /// # Errors
    /// [`Full`] if the token cannot take another database; it is unchanged then.
    pub fn advance(&mut self, database: &Name, point: Point) -> Result<(), Full> {
        match self.find(database) {
            Ok(at) => {
                let last = &mut self.positions[at].1;
                if (point.term, point.lsn) > (last.term, last.lsn) {
                    *last = point;
                }
                Ok(())
            }
            Err(_) if self.positions.len() >= DATABASES_MAX => Err(Full),
            Err(at) => {
                self.positions.insert(at, (database.clone(), point));
                Ok(())
            }
        }
    }

    fn find(&self, database: &Name) -> Result<usize, usize> {
        self.positions
            .binary_search_by(|(name, _)| name.cmp(database))
    }

    /// Appends the encoding without the signature.
    pub(crate) fn encode(&self, key: u8, out: &mut Vec<u8>) {
        out.extend([VERSION, key]);
        out.extend(self.session.to_be_bytes());
        out.push(length(self.positions.len()));
        for (name, point) in &self.positions {
            out.push(length(name.as_str().len()));
            out.extend(name.as_str().as_bytes());
            out.extend(point.term.0.to_be_bytes());
            out.extend(point.lsn.0.to_be_bytes());
        }
    }

    /// Reads the encoding without the signature; its version is checked by the caller.
    pub(crate) fn decode(body: &[u8]) -> Option<Self> {
        let (_, rest) = body.split_at_checked(2)?;
        let (session, rest) = rest.split_first_chunk()?;
        let (count, mut rest) = rest.split_first()?;
        let mut positions: Vec<(Name, Point)> = Vec::new();
        for _ in 0..*count {
            let (position, after) = decode_position(rest)?;
            let rises = positions.last().is_none_or(|last| last.0 < position.0);
            if !rises || positions.len() >= DATABASES_MAX {
                return None;
            }
            positions.push(position);
            rest = after;
        }
        let session = u128::from_be_bytes(*session);
        rest.is_empty().then_some(Self { session, positions })
    }
}

/// Both lengths are bounded far below 256 by the invariants of [`Name`] and [`Token`].
fn length(length: usize) -> u8 {
    u8::try_from(length).unwrap_or(u8::MAX)
}

fn decode_position(bytes: &[u8]) -> Option<((Name, Point), &[u8])> {
    let (length, rest) = bytes.split_first()?;
    let (name, rest) = rest.split_at_checked(usize::from(*length))?;
    let (term, rest) = rest.split_first_chunk()?;
    let (lsn, rest) = rest.split_first_chunk()?;
    let name = Name::try_from(str::from_utf8(name).ok()?).ok()?;
    let point = Point {
        term: Term(u64::from_be_bytes(*term)),
        lsn: Lsn(u64::from_be_bytes(*lsn)),
    };
    Some(((name, point), rest))
}

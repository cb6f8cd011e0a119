//! Positions that a session has written, and their encoding.
//!
//! Format version 1, before the signature: version (1 byte), key id (1), session id (16), number
//! of databases (1), and for each database the length of its name (1), the name, term (8) and
//! lsn (8). Numbers are big-endian; names are strictly ascending.

use types::{Lsn, Name, Point, Term, name};

pub(crate) const FORMAT_VERSION: u8 = 1;

/// Limit of databases in one token, so that a token fits into a startup message.
pub const MAX_DATABASES: usize = 64;

/// Length of the encoding before the first database.
pub(crate) const HEADER_BYTES: usize = 1 + 1 + 16 + 1;

/// Length limit of the encoding without the signature.
pub(crate) const MAX_BODY_BYTES: usize = HEADER_BYTES + MAX_DATABASES * (1 + name::MAX_BYTES + 16);

/// The token already contains [`MAX_DATABASES`] databases.
///
/// Dropping an older position instead would let the session read data older than its own writes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Overflow;

impl std::fmt::Display for Overflow {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "a session writes to at most {MAX_DATABASES} databases")
    }
}

impl std::error::Error for Overflow {}

/// Id of a session with the last position that it has written in each database.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Token {
    /// Random id, generated when the session begins.
    pub session: u128,
    /// Invariant: names are strictly ascending; at most [`MAX_DATABASES`] entries.
    positions: Vec<(Name, Point)>,
}

impl Token {
    /// A token of a session that has not written yet.
    #[must_use]
    pub const fn new(session: u128) -> Self {
        Self {
            session,
            positions: Vec::new(),
        }
    }

    /// Last position written in each database, sorted by database name.
    #[must_use]
    pub fn positions(&self) -> &[(Name, Point)] {
        &self.positions
    }

    /// Last position written in `database`.
    #[must_use]
    pub fn position(&self, database: &Name) -> Option<Point> {
        self.find(database)
            .ok()
            .map(|index| self.positions[index].1)
    }

    /// Records a write at `point`. The later position is kept: by the higher term, then the higher
    /// lsn.
    ///
    /// # Errors
    /// Returns [`Overflow`], with the token unchanged, if it can't hold another database.
    pub fn advance(&mut self, database: &Name, point: Point) -> Result<(), Overflow> {
        match self.find(database) {
            Ok(index) => {
                let last = &mut self.positions[index].1;
                if (point.term, point.lsn) > (last.term, last.lsn) {
                    *last = point;
                }
                Ok(())
            }
            Err(_) if self.positions.len() >= MAX_DATABASES => Err(Overflow),
            Err(index) => {
                self.positions.insert(index, (database.clone(), point));
                Ok(())
            }
        }
    }

    fn find(&self, database: &Name) -> Result<usize, usize> {
        self.positions
            .binary_search_by(|(name, _)| name.cmp(database))
    }

    /// Appends the encoding without the signature.
    pub(crate) fn encode(&self, key_id: u8, out: &mut Vec<u8>) {
        out.extend([FORMAT_VERSION, key_id]);
        out.extend(self.session.to_be_bytes());
        out.push(length_byte(self.positions.len()));
        for (name, point) in &self.positions {
            out.push(length_byte(name.as_str().len()));
            out.extend(name.as_str().as_bytes());
            out.extend(point.term.0.to_be_bytes());
            out.extend(point.lsn.0.to_be_bytes());
        }
    }

    /// Decodes the bytes without the signature. The version must have been checked before.
    pub(crate) fn decode(body: &[u8]) -> Option<Self> {
        let (_, rest) = body.split_at_checked(2)?;
        let (session, rest) = rest.split_first_chunk()?;
        let (count, mut rest) = rest.split_first()?;
        let mut positions: Vec<(Name, Point)> = Vec::new();
        for _ in 0..*count {
            let (position, after) = decode_position(rest)?;
            let is_ascending = positions.last().is_none_or(|last| last.0 < position.0);
            if !is_ascending || positions.len() >= MAX_DATABASES {
                return None;
            }
            positions.push(position);
            rest = after;
        }
        let session = u128::from_be_bytes(*session);
        rest.is_empty().then_some(Self { session, positions })
    }
}

/// A length as one byte. The invariants of [`Name`] and [`Token`] keep all lengths far below 256.
fn length_byte(length: usize) -> u8 {
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

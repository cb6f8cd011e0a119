//! Messages of a caller after start-up, as views on their frames.

use crate::{Frame, Invalid};

/// What a Describe or Close names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A prepared statement.
    Statement,
    /// A portal.
    Portal,
}

/// A message of a caller. Names and texts are bytes, since a target may use another encoding.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Message<'a> {
    /// A simple query.
    Query(&'a [u8]),
    /// Prepares a statement.
    Parse {
        /// Name of the statement; empty for the unnamed one.
        name: &'a [u8],
        /// Text of the statement.
        text: &'a [u8],
        /// Number and object ids of the parameter types, as encoded.
        types: &'a [u8],
    },
    /// Binds parameters to a statement.
    Bind {
        /// Name of the portal.
        portal: &'a [u8],
        /// Name of the statement.
        statement: &'a [u8],
        /// Formats and parameters, as encoded.
        rest: &'a [u8],
    },
    /// Asks for the types of a statement or portal.
    Describe(Kind, &'a [u8]),
    /// Runs a portal.
    Execute,
    /// Closes a statement or portal.
    Close(Kind, &'a [u8]),
    /// Ends a series of extended messages.
    Sync,
    /// Asks for the answers so far.
    Flush,
    /// Data, end or failure of a copy.
    Copy,
    /// Ends the connection.
    Terminate,
}

impl<'a> TryFrom<Frame<'a>> for Message<'a> {
    type Error = Invalid;

    fn try_from(frame: Frame<'a>) -> Result<Self, Invalid> {
        let body = frame.body;
        match frame.tag {
            b'Q' => Ok(Self::Query(whole(body)?)),
            b'P' => {
                let (name, rest) = text(body)?;
                let (text, types) = text(rest)?;
                Ok(Self::Parse { name, text, types })
            }
            b'B' => {
                let (portal, rest) = text(body)?;
                let (statement, rest) = text(rest)?;
                Ok(Self::Bind {
                    portal,
                    statement,
                    rest,
                })
            }
            b'D' => object(body).map(|(kind, name)| Self::Describe(kind, name)),
            b'C' => object(body).map(|(kind, name)| Self::Close(kind, name)),
            b'E' => text(body).map(|_| Self::Execute),
            b'S' => Ok(Self::Sync),
            b'H' => Ok(Self::Flush),
            b'd' | b'c' | b'f' => Ok(Self::Copy),
            b'X' => Ok(Self::Terminate),
            tag => Err(Invalid::Tag(tag)),
        }
    }
}

fn object(body: &[u8]) -> Result<(Kind, &[u8]), Invalid> {
    match body.split_first() {
        Some((b'S', name)) => Ok((Kind::Statement, whole(name)?)),
        Some((b'P', name)) => Ok((Kind::Portal, whole(name)?)),
        _ => Err(Invalid::Body),
    }
}

/// A text up to its zero byte, and what follows.
fn text(bytes: &[u8]) -> Result<(&[u8], &[u8]), Invalid> {
    let end = bytes
        .iter()
        .position(|byte| *byte == 0)
        .ok_or(Invalid::Body)?;
    Ok((&bytes[..end], &bytes[end + 1..]))
}

/// A text whose zero byte ends the body.
fn whole(bytes: &[u8]) -> Result<&[u8], Invalid> {
    match text(bytes)? {
        (text, []) => Ok(text),
        _ => Err(Invalid::Body),
    }
}

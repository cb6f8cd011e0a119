//! Messages of a caller after start-up, as views of their frames.

use crate::{Error, Frame};

/// Kind of object that a Describe or Close refers to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Object {
    Statement,
    Portal,
}

/// A message of a caller. Names and texts are bytes, since a target need not use UTF-8.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Message<'a> {
    /// A simple query.
    Query(&'a [u8]),
    /// Prepares a statement.
    Parse {
        /// Statement name; empty for the unnamed statement.
        name: &'a [u8],
        text: &'a [u8],
        /// Encoded count and object ids of the parameter types.
        types: &'a [u8],
    },
    /// Binds parameters to a statement.
    Bind {
        portal: &'a [u8],
        statement: &'a [u8],
        /// Encoded parameter formats, parameter values and result formats.
        values: &'a [u8],
    },
    /// Requests the parameter and column types of a statement or portal.
    Describe(Object, &'a [u8]),
    /// Executes a portal.
    Execute,
    /// Closes a statement or portal.
    Close(Object, &'a [u8]),
    /// Ends a series of messages of the extended query protocol.
    Sync,
    /// Requests the answers to the messages so far.
    Flush,
    /// CopyData, CopyDone or CopyFail.
    Copy,
    /// Closes the connection.
    Terminate,
}

impl<'a> TryFrom<Frame<'a>> for Message<'a> {
    type Error = Error;

    fn try_from(frame: Frame<'a>) -> Result<Self, Error> {
        let body = frame.body;
        match frame.tag {
            b'Q' => Ok(Self::Query(sole_text(body)?)),
            b'P' => {
                let (name, rest) = split_text(body)?;
                let (text, types) = split_text(rest)?;
                Ok(Self::Parse { name, text, types })
            }
            b'B' => {
                let (portal, rest) = split_text(body)?;
                let (statement, values) = split_text(rest)?;
                Ok(Self::Bind {
                    portal,
                    statement,
                    values,
                })
            }
            b'D' => object_reference(body).map(|(kind, name)| Self::Describe(kind, name)),
            b'C' => object_reference(body).map(|(kind, name)| Self::Close(kind, name)),
            b'E' => split_text(body).map(|_| Self::Execute),
            b'S' => Ok(Self::Sync),
            b'H' => Ok(Self::Flush),
            b'd' | b'c' | b'f' => Ok(Self::Copy),
            b'X' => Ok(Self::Terminate),
            tag => Err(Error::Tag(tag)),
        }
    }
}

fn object_reference(body: &[u8]) -> Result<(Object, &[u8]), Error> {
    match body.split_first() {
        Some((b'S', name)) => Ok((Object::Statement, sole_text(name)?)),
        Some((b'P', name)) => Ok((Object::Portal, sole_text(name)?)),
        _ => Err(Error::Body),
    }
}

/// Splits off a text that ends in a zero byte.
fn split_text(bytes: &[u8]) -> Result<(&[u8], &[u8]), Error> {
    let end = bytes
        .iter()
        .position(|byte| *byte == 0)
        .ok_or(Error::Body)?;
    Ok((&bytes[..end], &bytes[end + 1..]))
}

/// Returns a text whose zero byte is the last byte of the body.
fn sole_text(bytes: &[u8]) -> Result<&[u8], Error> {
    match split_text(bytes)? {
        (text, []) => Ok(text),
        _ => Err(Error::Body),
    }
}

//! Splits a stream of bytes into frames.

use std::fmt;

use crate::Status;

/// Size of the header of a frame: one byte of tag and four bytes of length.
pub const HEADER_BYTES: usize = 5;

/// Why received bytes violate the protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// The length is less than its own four bytes.
    Length,
    /// The frame exceeds the size limit.
    TooLarge,
    /// The body is malformed for this tag.
    Body,
    /// The tag is unknown or not allowed at this point.
    Tag(u8),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Length => f.write_str("invalid frame length"),
            Self::TooLarge => f.write_str("frame larger than the limit"),
            Self::Body => f.write_str("invalid frame body"),
            Self::Tag(tag) => write!(f, "unexpected frame type {:?}", char::from(*tag)),
        }
    }
}

impl std::error::Error for Error {}

/// View of a frame in the receive buffer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Frame<'a> {
    /// Message type.
    pub tag: u8,
    /// Bytes after tag and length.
    pub body: &'a [u8],
    /// The whole frame, for forwarding.
    pub raw: &'a [u8],
}

impl<'a> Frame<'a> {
    /// Returns the first frame of `bytes`, or `None` if it is incomplete.
    ///
    /// # Errors
    /// Fails on a length below four or above `max_length` bytes, which limits how much a peer can make
    /// the reader buffer.
    pub fn first(bytes: &'a [u8], max_length: usize) -> Result<Option<Self>, Error> {
        let Some((header, _)) = bytes.split_first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let [tag, length @ ..] = *header;
        let length = usize::try_from(i32::from_be_bytes(length)).map_err(|_| Error::Length)?;
        if length < HEADER_BYTES - 1 {
            return Err(Error::Length);
        }
        if length > max_length {
            return Err(Error::TooLarge);
        }
        Ok(bytes.get(..length + 1).map(|raw| Self {
            tag,
            body: &raw[HEADER_BYTES..],
            raw,
        }))
    }

    /// Decodes the status of a ReadyForQuery.
    ///
    /// # Errors
    /// Fails if the body is not one status byte.
    pub fn status(&self) -> Result<Status, Error> {
        match self.body {
            [status] => Status::try_from(*status),
            _ => Err(Error::Body),
        }
    }

    /// Returns the field of an ErrorResponse or NoticeResponse with the given code, for example `C`
    /// for the SQLSTATE.
    #[must_use]
    pub fn error_field(&self, code: u8) -> Option<&'a [u8]> {
        let mut rest = self.body;
        while let Some((&field, tail)) = rest.split_first() {
            if field == 0 {
                return None;
            }
            let end = tail.iter().position(|byte| *byte == 0)?;
            if field == code {
                return Some(&tail[..end]);
            }
            rest = &tail[end + 1..];
        }
        None
    }

    /// Iterates over the columns of a DataRow; `None` is a null value.
    pub fn columns(&self) -> impl Iterator<Item = Option<&'a [u8]>> + use<'a> {
        let mut rest = self.body.get(2..).unwrap_or_default();
        std::iter::from_fn(move || {
            let (length, tail) = rest.split_first_chunk::<4>()?;
            let Ok(length) = usize::try_from(i32::from_be_bytes(*length)) else {
                rest = tail;
                return Some(None);
            };
            let column = tail.get(..length)?;
            rest = &tail[length..];
            Some(Some(column))
        })
    }
}

/// Iterator over the complete frames at the front of a buffer.
#[derive(Debug)]
pub struct Frames<'a> {
    bytes: &'a [u8],
    max_length: usize,
    consumed: usize,
}

impl<'a> Frames<'a> {
    /// Iterates over the frames of `bytes`, which may have a length of at most `max_length` bytes
    /// each.
    #[must_use]
    pub fn new(bytes: &'a [u8], max_length: usize) -> Self {
        Self {
            bytes,
            max_length,
            consumed: 0,
        }
    }

    /// Total size in bytes of the frames returned so far.
    #[must_use]
    pub fn consumed(&self) -> usize {
        self.consumed
    }
}

impl<'a> Iterator for Frames<'a> {
    type Item = Result<Frame<'a>, Error>;

    fn next(&mut self) -> Option<Self::Item> {
        let frame = Frame::first(&self.bytes[self.consumed..], self.max_length).transpose()?;
        if let Ok(frame) = &frame {
            self.consumed += frame.raw.len();
        }
        Some(frame)
    }
}

//! Splitting a stream of bytes into frames.

use std::fmt;

use crate::Status;

/// Bytes before the body of a frame: one of tag, four of length.
pub const HEADER: usize = 5;

/// Why bytes are no valid frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Invalid {
    /// The length counts fewer bytes than its own four.
    Length,
    /// The frame is larger than the limit.
    TooLarge,
    /// The body does not have the form that its tag asks for.
    Body,
    /// A tag that the protocol does not know at this point.
    Tag(u8),
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Length => f.write_str("invalid frame length"),
            Self::TooLarge => f.write_str("frame larger than the limit"),
            Self::Body => f.write_str("invalid frame body"),
            Self::Tag(tag) => write!(f, "unexpected frame type {:?}", char::from(*tag)),
        }
    }
}

impl std::error::Error for Invalid {}

/// A frame of the protocol, as a view on the buffer it arrived in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Frame<'a> {
    /// Type of the message.
    pub tag: u8,
    /// Body after tag and length.
    pub body: &'a [u8],
    /// The whole frame, for forwarding.
    pub raw: &'a [u8],
}

impl<'a> Frame<'a> {
    /// The first frame of `bytes`, or none if it is not complete.
    ///
    /// # Errors
    /// Fails on a length below four or above `max` bytes; `max` bounds what a peer can make the
    /// reader buffer.
    pub fn first(bytes: &'a [u8], max: usize) -> Result<Option<Self>, Invalid> {
        let Some((header, _)) = bytes.split_first_chunk::<HEADER>() else {
            return Ok(None);
        };
        let [tag, length @ ..] = *header;
        let length = usize::try_from(i32::from_be_bytes(length)).map_err(|_| Invalid::Length)?;
        if length < HEADER - 1 {
            return Err(Invalid::Length);
        }
        if length > max {
            return Err(Invalid::TooLarge);
        }
        Ok(bytes.get(..length + 1).map(|raw| Self {
            tag,
            body: &raw[HEADER..],
            raw,
        }))
    }

    /// The status in a ReadyForQuery.
    ///
    /// # Errors
    /// Fails if the body is not one status byte.
    pub fn status(&self) -> Result<Status, Invalid> {
        match self.body {
            [status] => Status::try_from(*status),
            _ => Err(Invalid::Body),
        }
    }

    /// The field of an ErrorResponse or NoticeResponse with the given code, for example `C` for
    /// the SQLSTATE.
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

    /// The columns of a DataRow; a null column is none.
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

/// The complete frames at the front of a buffer.
#[derive(Debug)]
pub struct Frames<'a> {
    bytes: &'a [u8],
    max: usize,
    used: usize,
}

impl<'a> Frames<'a> {
    /// Frames of `bytes` of at most `max` bytes each.
    #[must_use]
    pub fn new(bytes: &'a [u8], max: usize) -> Self {
        Self {
            bytes,
            max,
            used: 0,
        }
    }

    /// Bytes of the frames returned so far.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used
    }
}

impl<'a> Iterator for Frames<'a> {
    type Item = Result<Frame<'a>, Invalid>;

    fn next(&mut self) -> Option<Self::Item> {
        let frame = Frame::first(&self.bytes[self.used..], self.max).transpose()?;
        if let Ok(frame) = &frame {
            self.used += frame.raw.len();
        }
        Some(frame)
    }
}

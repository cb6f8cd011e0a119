//! Length-prefixed frames on a byte stream.

use anyhow::{Result, ensure};
use bytes::{Buf, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Size of the length prefix of a frame.
const HEADER_BYTES: usize = 4;

/// A message that is encoded once and sent on many streams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Frame(Bytes);

impl Frame {
    /// Encodes a message with its length prefix.
    ///
    /// # Errors
    /// Fails if the message is too large.
    pub fn new<O: Serialize>(message: &O) -> Result<Self> {
        encode(message).map(Self)
    }
}

/// A message that a stream can send.
pub trait Outgoing {
    /// The encoded message with its length prefix.
    ///
    /// # Errors
    /// Fails if the message is too large.
    fn frame(&self) -> Result<Bytes>;
}

impl<O: Serialize> Outgoing for O {
    fn frame(&self) -> Result<Bytes> {
        encode(self)
    }
}

impl Outgoing for Frame {
    fn frame(&self) -> Result<Bytes> {
        Ok(self.0.clone())
    }
}

/// Encodes a message with its length prefix.
pub fn encode<O: Serialize>(message: &O) -> Result<Bytes> {
    let mut bytes = vec![0; HEADER_BYTES];
    wire::encode(message, &mut bytes)?;
    let length = u32::try_from(bytes.len() - HEADER_BYTES)?;
    bytes[..HEADER_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(bytes.into())
}

/// Removes the first message from `buffer` and decodes it; returns `None` while it is incomplete.
pub fn decode_next<I: DeserializeOwned>(buffer: &mut BytesMut) -> Result<Option<I>> {
    let Some(length) = buffer.first_chunk::<HEADER_BYTES>() else {
        return Ok(None);
    };
    let length = usize::try_from(u32::from_be_bytes(*length))?;
    ensure!(
        length <= wire::MAX_BYTES,
        "frame of {length} bytes is larger than {}",
        wire::MAX_BYTES
    );
    let Some(body) = buffer.get(HEADER_BYTES..HEADER_BYTES + length) else {
        return Ok(None);
    };
    let message = wire::decode(body)?;
    buffer.advance(HEADER_BYTES + length);
    Ok(Some(message))
}

//! Frames on a byte stream.

use anyhow::{Result, ensure};
use bytes::{Buf, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Bytes of the length before a message.
const HEADER: usize = 4;

/// A message that is encoded once for many streams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Frame(Bytes);

impl Frame {
    /// Encodes a message.
    ///
    /// # Errors
    /// Fails if the message is too large.
    pub fn new<O: Serialize>(message: &O) -> Result<Self> {
        encode(message).map(Self)
    }
}

/// What a stream sends.
pub trait Outgoing {
    /// Its bytes, with their length before them.
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

/// Encodes a message with its length before it.
pub fn encode<O: Serialize>(message: &O) -> Result<Bytes> {
    let mut out = vec![0; HEADER];
    wire::encode(message, &mut out)?;
    let length = u32::try_from(out.len() - HEADER)?;
    out[..HEADER].copy_from_slice(&length.to_be_bytes());
    Ok(out.into())
}

/// Takes the first complete message from a buffer.
pub fn take<I: DeserializeOwned>(buffer: &mut BytesMut) -> Result<Option<I>> {
    let Some(length) = buffer.first_chunk::<HEADER>() else {
        return Ok(None);
    };
    let length = usize::try_from(u32::from_be_bytes(*length))?;
    ensure!(
        length <= wire::MAX_BYTES,
        "frame of {length} bytes is larger than {}",
        wire::MAX_BYTES
    );
    let Some(body) = buffer.get(HEADER..HEADER + length) else {
        return Ok(None);
    };
    let message = wire::decode(body)?;
    buffer.advance(HEADER + length);
    Ok(Some(message))
}

//! Holding back answers until a write is known to be safe.

use bytes::BytesMut;

use crate::failure::Failure;

/// Most bytes held back for a write's acknowledgement.
const MAX_HELD: usize = 16 << 20;

/// Whether answers are held back.
#[derive(Debug, Default)]
pub(crate) enum Hold {
    /// Everything is forwarded.
    #[default]
    Off,
    /// The first completion and all after it are held back.
    Armed,
    /// Bytes held back so far.
    On(BytesMut),
}

impl Hold {
    pub(crate) fn arm(&mut self) {
        if matches!(self, Self::Off) {
            *self = Self::Armed;
        }
    }

    /// A completion has arrived: holds it back and all after it, if armed.
    pub(crate) fn begin(&mut self) {
        if matches!(self, Self::Armed) {
            *self = Self::On(BytesMut::new());
        }
    }

    /// Ends the holding back and returns the bytes held.
    pub(crate) fn take(&mut self) -> BytesMut {
        match std::mem::take(self) {
            Self::On(bytes) => bytes,
            Self::Off | Self::Armed => BytesMut::new(),
        }
    }

    pub(crate) fn put(&mut self, raw: &[u8], out: &mut BytesMut) -> Result<(), Failure> {
        match self {
            Self::On(held) if held.len() + raw.len() > MAX_HELD => return Err(Failure::TooLarge),
            Self::On(held) => held.extend_from_slice(raw),
            Self::Off | Self::Armed => out.extend_from_slice(raw),
        }
        Ok(())
    }
}

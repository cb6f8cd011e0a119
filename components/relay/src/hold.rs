//! Holds back the answers to a write until it is known to be safe.

use bytes::BytesMut;

use crate::failure::Failure;

/// Maximum number of bytes held back for one write.
const MAX_BYTES: usize = 16 << 20;

/// State of holding back answers.
#[derive(Debug, Default)]
pub(crate) enum Hold {
    /// All answers are forwarded.
    #[default]
    Off,
    /// Answers are held back from the next completion on.
    Armed,
    /// Answers are held back; these bytes so far.
    On(BytesMut),
}

impl Hold {
    pub(crate) fn arm(&mut self) {
        if matches!(self, Self::Off) {
            *self = Self::Armed;
        }
    }

    /// Must be called before a completion is written: if armed, holds back this and all following
    /// answers.
    pub(crate) fn on_completion(&mut self) {
        if matches!(self, Self::Armed) {
            *self = Self::On(BytesMut::new());
        }
    }

    /// Stops holding back and returns the held bytes.
    pub(crate) fn take(&mut self) -> BytesMut {
        match std::mem::take(self) {
            Self::On(bytes) => bytes,
            Self::Off | Self::Armed => BytesMut::new(),
        }
    }

    /// Appends an answer to the held bytes or to `out`.
    pub(crate) fn write(&mut self, raw: &[u8], out: &mut BytesMut) -> Result<(), Failure> {
        match self {
            Self::On(held) if held.len() + raw.len() > MAX_BYTES => return Err(Failure::TooLarge),
            Self::On(held) => held.extend_from_slice(raw),
            Self::Off | Self::Armed => out.extend_from_slice(raw),
        }
        Ok(())
    }
}

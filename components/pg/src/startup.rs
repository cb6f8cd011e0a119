//! The first message of a connection, which has no tag.

use crate::Invalid;

/// Version 3.0 of the protocol.
pub const VERSION_3_0: i32 = 196_608;
const CANCEL: i32 = 80_877_102;
const SSL: i32 = 80_877_103;
const GSS: i32 = 80_877_104;
/// Longest start-up message, the limit that servers use.
const MAX_BYTES: usize = 10_000;

/// First message of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Opening<'a> {
    /// Asks for TLS.
    Ssl,
    /// Asks for GSSAPI encryption.
    Gss,
    /// Cancels the statement that runs on another connection.
    Cancel {
        /// Process id of that connection.
        process: i32,
        /// Its secret key.
        secret: i32,
    },
    /// Starts a session.
    Start(Parameters<'a>),
    /// A version that is not 3.x.
    Version(i32),
}

/// Parameters of a session's start, as name and value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Parameters<'a> {
    bytes: &'a [u8],
    /// Minor version of the protocol that the caller asked for.
    pub minor: i32,
}

impl<'a> Opening<'a> {
    /// The message at the front of `bytes` and its length, or none if it is not complete.
    ///
    /// # Errors
    /// Fails if the length is out of bounds or the body malformed.
    pub fn first(bytes: &'a [u8]) -> Result<Option<(Self, usize)>, Invalid> {
        let Some(length) = bytes.first_chunk::<4>() else {
            return Ok(None);
        };
        let length = usize::try_from(i32::from_be_bytes(*length)).map_err(|_| Invalid::Length)?;
        if length < 8 {
            return Err(Invalid::Length);
        }
        if length > MAX_BYTES {
            return Err(Invalid::TooLarge);
        }
        let Some(body) = bytes.get(4..length) else {
            return Ok(None);
        };
        Self::parse(body).map(|opening| Some((opening, length)))
    }

    fn parse(body: &'a [u8]) -> Result<Self, Invalid> {
        let (code, rest) = integer(body)?;
        match code {
            SSL => Ok(Self::Ssl),
            GSS => Ok(Self::Gss),
            CANCEL => {
                let (process, rest) = integer(rest)?;
                let (secret, _) = integer(rest)?;
                Ok(Self::Cancel { process, secret })
            }
            version if version >> 16 == 3 => {
                let parameters = Parameters {
                    bytes: rest,
                    minor: version & 0xFFFF,
                };
                parameters.check()?;
                Ok(Self::Start(parameters))
            }
            version => Ok(Self::Version(version)),
        }
    }
}

impl<'a> Parameters<'a> {
    /// Names and values in their order.
    pub fn iter(&self) -> impl Iterator<Item = (&'a str, &'a str)> + use<'a> {
        let mut texts = self.bytes.split(|byte| *byte == 0).map(std::str::from_utf8);
        std::iter::from_fn(move || {
            let name = texts.next()?.ok().filter(|name| !name.is_empty())?;
            Some((name, texts.next()?.ok()?))
        })
    }

    /// The value of a parameter.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    fn check(&self) -> Result<(), Invalid> {
        let utf8 = std::str::from_utf8(self.bytes).is_ok();
        let ended = self.bytes == [0] || self.bytes.ends_with(&[0, 0]);
        if utf8 && ended {
            Ok(())
        } else {
            Err(Invalid::Body)
        }
    }
}

fn integer(bytes: &[u8]) -> Result<(i32, &[u8]), Invalid> {
    let (value, rest) = bytes.split_first_chunk::<4>().ok_or(Invalid::Body)?;
    Ok((i32::from_be_bytes(*value), rest))
}

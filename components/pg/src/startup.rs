//! The first message of a connection, which has no message type.

use crate::Error;

/// Code of protocol version 3.0.
pub const VERSION_3_0: i32 = 196_608;
const CANCEL_REQUEST: i32 = 80_877_102;
const SSL_REQUEST: i32 = 80_877_103;
const GSSENC_REQUEST: i32 = 80_877_104;
/// Maximum size of the first message, the same as in PostgreSQL.
const MAX_MESSAGE_BYTES: usize = 10_000;

/// First message of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Request<'a> {
    /// Requests TLS.
    Ssl,
    /// Requests GSSAPI encryption.
    Gss,
    /// Cancels the statement that is running on another connection.
    Cancel {
        /// Process id of that connection.
        process: i32,
        /// Its secret key.
        secret: i32,
    },
    /// Starts a session.
    Startup(Parameters<'a>),
    /// Starts a session with a protocol version other than 3.x.
    UnsupportedVersion(i32),
}

/// Names and values of the parameters in a startup message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Parameters<'a> {
    bytes: &'a [u8],
    /// Minor protocol version that the caller requested.
    pub minor: i32,
}

impl<'a> Request<'a> {
    /// Returns the message at the front of `bytes` and its length, or `None` if it is incomplete.
    ///
    /// # Errors
    /// Fails if the length is out of range or the body is malformed.
    pub fn first(bytes: &'a [u8]) -> Result<Option<(Self, usize)>, Error> {
        let Some(length) = bytes.first_chunk::<4>() else {
            return Ok(None);
        };
        let length = usize::try_from(i32::from_be_bytes(*length)).map_err(|_| Error::Length)?;
        if length < 8 {
            return Err(Error::Length);
        }
        if length > MAX_MESSAGE_BYTES {
            return Err(Error::TooLarge);
        }
        let Some(body) = bytes.get(4..length) else {
            return Ok(None);
        };
        Self::parse(body).map(|message| Some((message, length)))
    }

    fn parse(body: &'a [u8]) -> Result<Self, Error> {
        let (code, rest) = split_integer(body)?;
        match code {
            SSL_REQUEST => Ok(Self::Ssl),
            GSSENC_REQUEST => Ok(Self::Gss),
            CANCEL_REQUEST => {
                let (process, rest) = split_integer(rest)?;
                let (secret, _) = split_integer(rest)?;
                Ok(Self::Cancel { process, secret })
            }
            version if version >> 16 == 3 => {
                let parameters = Parameters {
                    bytes: rest,
                    minor: version & 0xFFFF,
                };
                parameters.validate()?;
                Ok(Self::Startup(parameters))
            }
            version => Ok(Self::UnsupportedVersion(version)),
        }
    }
}

impl<'a> Parameters<'a> {
    /// Iterates over names and values in order of appearance.
    pub fn iter(&self) -> impl Iterator<Item = (&'a str, &'a str)> + use<'a> {
        let mut texts = self.bytes.split(|byte| *byte == 0).map(std::str::from_utf8);
        std::iter::from_fn(move || {
            let name = texts.next()?.ok().filter(|name| !name.is_empty())?;
            Some((name, texts.next()?.ok()?))
        })
    }

    #[must_use]
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    fn validate(&self) -> Result<(), Error> {
        let utf8 = std::str::from_utf8(self.bytes).is_ok();
        let terminated = self.bytes == [0] || self.bytes.ends_with(&[0, 0]);
        if utf8 && terminated {
            Ok(())
        } else {
            Err(Error::Body)
        }
    }
}

fn split_integer(bytes: &[u8]) -> Result<(i32, &[u8]), Error> {
    let (value, rest) = bytes.split_first_chunk::<4>().ok_or(Error::Body)?;
    Ok((i32::from_be_bytes(*value), rest))
}

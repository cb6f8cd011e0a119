//! Signature of tokens.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::token::{BODY_MAX, HEAD, Token, VERSION};

/// Bytes of an HMAC-SHA-256.
const TAG: usize = 32;

/// Longest text of a token; longer ones are refused before they are decoded.
pub const TEXT_MAX: usize = ((BODY_MAX + TAG) * 4).div_ceil(3);

/// Shortest secret; a shorter one could be guessed from a single token.
pub const SECRET_MIN: usize = 16;

/// Why a token is refused, each with SQLSTATE 28L01.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// Not an encoding of a token.
    Malformed,
    /// An encoding of a version that this build does not know.
    UnknownVersion,
    /// Signed with a key that is not in the settings.
    UnknownKey,
    /// Changed after it was signed, or signed with another secret.
    BadSignature,
}

impl Refusal {
    /// Label in metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Malformed => "token_malformed",
            Self::UnknownVersion => "token_version",
            Self::UnknownKey => "token_key",
            Self::BadSignature => "token_signature",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "the session token is malformed",
            Self::UnknownVersion => "the session token has an unknown version",
            Self::UnknownKey => "the session token is signed with an unknown key",
            Self::BadSignature => "the signature of the session token is wrong",
        })
    }
}

impl std::error::Error for Refusal {}

/// A signing key, ready for use.
#[derive(Clone)]
pub struct Key {
    id: u8,
    mac: Hmac<Sha256>,
}

/// A secret shorter than [`SECRET_MIN`] bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Weak;

impl fmt::Display for Weak {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a secret has at least {SECRET_MIN} bytes")
    }
}

impl std::error::Error for Weak {}

impl Key {
    /// Takes the id and the secret from the settings.
    ///
    /// # Errors
    /// [`Weak`] if the secret is shorter than [`SECRET_MIN`].
    pub fn new(id: u8, secret: &[u8]) -> Result<Self, Weak> {
        if secret.len() < SECRET_MIN {
            return Err(Weak);
        }
        let mac = Hmac::new_from_slice(secret).map_err(|_| Weak)?;
        Ok(Self { id, mac })
    }
}

/// Shows the id alone, so that a secret reaches no log.
impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Key")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// Signs tokens with one key and accepts those signed with it or with a second one.
#[derive(Clone, Debug)]
pub struct Signer {
    first: Key,
    second: Option<Key>,
}

impl Signer {
    /// `first` signs; `second` is accepted during a rotation. If both have one id, `first` counts.
    #[must_use]
    pub const fn new(first: Key, second: Option<Key>) -> Self {
        Self { first, second }
    }

    /// The signed text of `token`.
    #[must_use]
    pub fn seal(&self, token: &Token) -> String {
        let mut bytes = Vec::with_capacity(HEAD + token.positions().len() * 40 + TAG);
        token.encode(self.first.id, &mut bytes);
        let tag = self.first.mac.clone().chain_update(&bytes).finalize();
        bytes.extend_from_slice(&tag.into_bytes());
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Checks the signature of `text` and reads the token. The signature is compared in constant
    /// time, and nothing past the key id is read before it is found right.
    ///
    /// # Errors
    /// A [`Refusal`] that says what is wrong with the text.
    pub fn open(&self, text: &str) -> Result<Token, Refusal> {
        if text.len() > TEXT_MAX {
            return Err(Refusal::Malformed);
        }
        let bytes = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| Refusal::Malformed)?;
        let version = *bytes.first().ok_or(Refusal::Malformed)?;
        if version != VERSION {
            return Err(Refusal::UnknownVersion);
        }
        let end = bytes.len().checked_sub(TAG).ok_or(Refusal::Malformed)?;
        if end < HEAD {
            return Err(Refusal::Malformed);
        }
        let (body, tag) = bytes.split_at(end);
        let key = self.key(body[1]).ok_or(Refusal::UnknownKey)?;
        key.mac
            .clone()
            .chain_update(body)
            .verify_slice(tag)
            .map_err(|_| Refusal::BadSignature)?;
        Token::decode(body).ok_or(Refusal::Malformed)
    }

    fn key(&self, id: u8) -> Option<&Key> {
        std::iter::once(&self.first)
            .chain(&self.second)
            .find(|key| key.id == id)
    }
}

//! Signing and verification of tokens.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::token::{FORMAT_VERSION, HEADER_BYTES, MAX_BODY_BYTES, Token};

/// Length of an HMAC-SHA-256.
const TAG_BYTES: usize = 32;

/// Length limit of a signed token; longer texts are rejected before they are decoded.
pub const MAX_TEXT_BYTES: usize = ((MAX_BODY_BYTES + TAG_BYTES) * 4).div_ceil(3);

/// Minimum length of a secret; a shorter one could be guessed from a single token.
pub const MIN_SECRET_BYTES: usize = 16;

/// Why a token is rejected, each with SQLSTATE 28L01.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// Not an encoded token.
    Malformed,
    /// Encoded with a version that this build does not support.
    UnknownVersion,
    /// Signed with a key id that is not in the settings.
    UnknownKey,
    /// Modified after it was signed, or signed with another secret.
    BadSignature,
}

impl Rejection {
    /// Value of the metrics label.
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

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "the session token is malformed",
            Self::UnknownVersion => "the session token has an unknown version",
            Self::UnknownKey => "the session token is signed with an unknown key",
            Self::BadSignature => "the signature of the session token is wrong",
        })
    }
}

impl std::error::Error for Rejection {}

/// A signing key with its id.
#[derive(Clone)]
pub struct Key {
    id: u8,
    mac: Hmac<Sha256>,
}

/// The secret is shorter than [`MIN_SECRET_BYTES`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shortfall;

impl fmt::Display for Shortfall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the secret must have at least {MIN_SECRET_BYTES} bytes")
    }
}

impl std::error::Error for Shortfall {}

impl Key {
    /// # Errors
    /// [`Shortfall`] if the secret is shorter than [`MIN_SECRET_BYTES`].
    pub fn new(id: u8, secret: &[u8]) -> Result<Self, Shortfall> {
        if secret.len() < MIN_SECRET_BYTES {
            return Err(Shortfall);
        }
        let mac = Hmac::new_from_slice(secret).map_err(|_| Shortfall)?;
        Ok(Self { id, mac })
    }
}

/// Prints only the id, so that the secret does not reach a log.
impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Key")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// Signs tokens with one key, and accepts tokens signed with this key or an additional one.
#[derive(Clone, Debug)]
pub struct Signer {
    signing_key: Key,
    additional_key: Option<Key>,
}

impl Signer {
    /// `additional_key` is accepted during a key rotation. If both keys have the same id,
    /// `signing_key` is used.
    #[must_use]
    pub const fn new(signing_key: Key, additional_key: Option<Key>) -> Self {
        Self {
            signing_key,
            additional_key,
        }
    }

    /// Returns the signed text of `token`.
    #[must_use]
    pub fn sign(&self, token: &Token) -> String {
        // An estimate: 40 bytes hold a position with a database name of 23 bytes.
        let mut bytes = Vec::with_capacity(HEADER_BYTES + token.positions().len() * 40 + TAG_BYTES);
        token.encode(self.signing_key.id, &mut bytes);
        let tag = self.signing_key.mac.clone().chain_update(&bytes).finalize();
        bytes.extend_from_slice(&tag.into_bytes());
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Verifies the signature of `text` and decodes the token. The signature is compared in
    /// constant time, and nothing after the key id is read before the signature is verified.
    ///
    /// # Errors
    /// Returns a [`Rejection`] with the reason for the rejection.
    pub fn verify(&self, text: &str) -> Result<Token, Rejection> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(Rejection::Malformed);
        }
        let bytes = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| Rejection::Malformed)?;
        let version = *bytes.first().ok_or(Rejection::Malformed)?;
        if version != FORMAT_VERSION {
            return Err(Rejection::UnknownVersion);
        }
        let body_length = bytes
            .len()
            .checked_sub(TAG_BYTES)
            .ok_or(Rejection::Malformed)?;
        if body_length < HEADER_BYTES {
            return Err(Rejection::Malformed);
        }
        let (body, tag) = bytes.split_at(body_length);
        let key = self.key(body[1]).ok_or(Rejection::UnknownKey)?;
        key.mac
            .clone()
            .chain_update(body)
            .verify_slice(tag)
            .map_err(|_| Rejection::BadSignature)?;
        Token::decode(body).ok_or(Rejection::Malformed)
    }

    fn key(&self, id: u8) -> Option<&Key> {
        std::iter::once(&self.signing_key)
            .chain(&self.additional_key)
            .find(|key| key.id == id)
    }
}

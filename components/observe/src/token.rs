//! Check of bearer tokens.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Whether `given` is the `expected` token.
///
/// Compares keyed digests in constant time, so that the time of a refusal tells neither the length
/// nor a matching prefix of the token.
#[must_use]
pub fn matches(given: Option<&str>, expected: &str) -> bool {
    let (Some(given), Some(ours)) = (given.and_then(digest), digest(expected)) else {
        return false;
    };
    ours.verify(&given.finalize().into_bytes()).is_ok()
}

fn digest(text: &str) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(b"bearer token").ok()?;
    mac.update(text.as_bytes());
    Some(mac)
}

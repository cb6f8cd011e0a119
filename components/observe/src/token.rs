//! Verification of bearer tokens.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Whether `given` equals the `expected` token.
///
/// Compares keyed digests in constant time, so that the response time reveals neither the length
/// nor a matching prefix of the token.
#[must_use]
pub fn matches(given: Option<&str>, expected: &str) -> bool {
    let (Some(given_mac), Some(expected_mac)) =
        (given.and_then(compute_mac), compute_mac(expected))
    else {
        return false;
    };
    expected_mac
        .verify(&given_mac.finalize().into_bytes())
        .is_ok()
}

fn compute_mac(text: &str) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(b"bearer token").ok()?;
    mac.update(text.as_bytes());
    Some(mac)
}

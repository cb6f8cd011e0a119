//! Messages between the processes of the system: types generated from `schema/messages.yaml`, their
//! encoding, and conversions to and from the validated core types.

use anyhow::{Context, Result, ensure};
use serde::Serialize;
use serde::de::DeserializeOwned;

mod convert;
#[allow(missing_docs, reason = "generated; the schema holds the comments")]
#[allow(clippy::use_self, reason = "generated")]
#[rustfmt::skip]
mod generated;

pub use generated::*;

/// Version of the message format; a process with another version is rejected.
pub const VERSION: u32 = 3;

/// Version of the messages between entries that lend connections. An entry opens its own connections
/// where the others have another version.
pub const LOAN_VERSION: u32 = 3;

/// Maximum size of an encoded message. Bounds the memory that a faulty or hostile peer can make a
/// process allocate.
pub const MAX_BYTES: usize = 8 << 20;

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_BYTES>()
}

/// Appends the encoding of `message` to `out`.
///
/// # Errors
/// Fails if the message is larger than [`MAX_BYTES`].
pub fn encode<M: Serialize>(message: &M, out: &mut Vec<u8>) -> Result<()> {
    let start = out.len();
    bincode::serde::encode_into_std_write(message, out, config()).context("encode a message")?;
    let length = out.len() - start;
    ensure!(
        length <= MAX_BYTES,
        "message of {length} bytes is larger than {MAX_BYTES}"
    );
    Ok(())
}

/// Decodes the message in `bytes`.
///
/// # Errors
/// Fails if `bytes` does not hold exactly one message.
pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M> {
    ensure!(
        bytes.len() <= MAX_BYTES,
        "message of {} bytes is larger than {MAX_BYTES}",
        bytes.len()
    );
    let (message, consumed) =
        bincode::serde::decode_from_slice(bytes, config()).context("decode a message")?;
    ensure!(
        consumed == bytes.len(),
        "{} bytes after the message",
        bytes.len() - consumed
    );
    Ok(message)
}

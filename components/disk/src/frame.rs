//! Framing of records: length, CRC-32 of the length, CRC-32 of the bytes, bytes.
//!
//! The length has a checksum of its own. Otherwise a flipped bit in the length of the last record
//! would look like a torn tail, and a durable record would be dropped.

use anyhow::{Result, bail, ensure};

const HEADER: usize = 12;

/// Last byte of each record. An extended file that was never filled ends with zero.
const MARK: u8 = 0xA5;

/// Adds a frame around the bytes that `fill` adds.
pub(crate) fn put(buffer: &mut Vec<u8>, bytes: &[u8]) -> Result<()> {
    let length = u32::try_from(bytes.len() + 1)?.to_le_bytes();
    let mut body = crc32fast::Hasher::new();
    body.update(bytes);
    body.update(&[MARK]);
    buffer.extend_from_slice(&length);
    buffer.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    buffer.extend_from_slice(&body.finalize().to_le_bytes());
    buffer.extend_from_slice(bytes);
    buffer.push(MARK);
    Ok(())
}

/// Result of reading at an offset.
#[derive(Debug)]
pub(crate) enum Read<'a> {
    /// A record and the offset after it.
    Record(&'a [u8], usize),
    /// The end of the file.
    End,
    /// The rest is the beginning of a record whose write did not complete.
    Torn,
}

fn word(bytes: &[u8], at: usize) -> Option<u32> {
    let raw = bytes.get(at..at + 4)?;
    Some(u32::from_le_bytes(raw.try_into().ok()?))
}

/// Whether the file was extended but not filled from the end of a part on.
fn is_unwritten(from: &[u8]) -> bool {
    from.iter().all(|byte| *byte == 0)
}

/// Reads the record at an offset; an error means that a complete record is damaged.
pub(crate) fn read(bytes: &[u8], at: usize) -> Result<Read<'_>> {
    let rest = &bytes[at..];
    if rest.is_empty() {
        return Ok(Read::End);
    }
    let (Some(length), Some(check), Some(sum)) = (word(rest, 0), word(rest, 4), word(rest, 8))
    else {
        return Ok(Read::Torn);
    };
    if crc32fast::hash(&length.to_le_bytes()) != check {
        ensure!(
            is_unwritten(&rest[HEADER - 1..]),
            "bad record length at byte {at}"
        );
        return Ok(Read::Torn);
    }
    let end = HEADER + usize::try_from(length)?;
    let Some(body) = rest.get(HEADER..end) else {
        return Ok(Read::Torn);
    };
    if crc32fast::hash(body) != sum {
        ensure!(
            is_unwritten(&rest[end - 1..]),
            "bad record checksum at byte {at}"
        );
        return Ok(Read::Torn);
    }
    let (_, record) = body.split_last().unwrap_or((&0, &[]));
    Ok(Read::Record(record, at + end))
}

/// Splits a file that was replaced as a whole, and so has no torn tail, into its records.
pub(crate) fn read_all(bytes: &[u8]) -> Result<Vec<&[u8]>> {
    let mut records = Vec::new();
    let mut at = 0;
    loop {
        match read(bytes, at)? {
            Read::Record(record, next) => {
                records.push(record);
                at = next;
            }
            Read::End => return Ok(records),
            Read::Torn => bail!("incomplete record at byte {at}"),
        }
    }
}

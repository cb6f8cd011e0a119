//! Framing of records: length, CRC-32 of the length, CRC-32 of the bytes, bytes.
//!
//! The length has a checksum of its own. Otherwise a flipped bit in the length of the last record
//! would look like a torn tail, and a durable record would be dropped.

use anyhow::{Result, bail, ensure};

const HEADER_BYTES: usize = 12;

/// Last byte of each record. It is nonzero, so that a record whose end was never written and reads
/// as zeros is known to be incomplete.
const END_MARKER: u8 = 0xA5;

/// Appends a record with its frame to `buffer`.
pub(crate) fn append_record(buffer: &mut Vec<u8>, bytes: &[u8]) -> Result<()> {
    let length = u32::try_from(bytes.len() + 1)?.to_le_bytes();
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(bytes);
    hasher.update(&[END_MARKER]);
    buffer.extend_from_slice(&length);
    buffer.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    buffer.extend_from_slice(&hasher.finalize().to_le_bytes());
    buffer.extend_from_slice(bytes);
    buffer.push(END_MARKER);
    Ok(())
}

/// Result of reading a record.
#[derive(Debug)]
pub(crate) enum ReadResult<'a> {
    /// A record and the offset after it.
    Record(&'a [u8], usize),
    /// The end of the file.
    End,
    /// The bytes from the offset on are the beginning of a record whose write did not complete.
    Torn,
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let raw = bytes.get(offset..offset + 4)?;
    Some(u32::from_le_bytes(raw.try_into().ok()?))
}

/// Whether the rest of the file, from the last byte of a record's header or body on, was never
/// written.
fn is_all_zero(rest: &[u8]) -> bool {
    rest.iter().all(|byte| *byte == 0)
}

/// Reads the record at an offset.
///
/// # Errors
///
/// Fails if a completely written record is damaged.
pub(crate) fn read_record(bytes: &[u8], offset: usize) -> Result<ReadResult<'_>> {
    let rest = &bytes[offset..];
    if rest.is_empty() {
        return Ok(ReadResult::End);
    }
    let (Some(length), Some(length_checksum), Some(record_checksum)) =
        (read_u32(rest, 0), read_u32(rest, 4), read_u32(rest, 8))
    else {
        return Ok(ReadResult::Torn);
    };
    if crc32fast::hash(&length.to_le_bytes()) != length_checksum {
        ensure!(
            is_all_zero(&rest[HEADER_BYTES - 1..]),
            "damaged record length at byte {offset}"
        );
        return Ok(ReadResult::Torn);
    }
    let end = HEADER_BYTES + usize::try_from(length)?;
    let Some(body) = rest.get(HEADER_BYTES..end) else {
        return Ok(ReadResult::Torn);
    };
    if crc32fast::hash(body) != record_checksum {
        ensure!(
            is_all_zero(&rest[end - 1..]),
            "damaged record at byte {offset}"
        );
        return Ok(ReadResult::Torn);
    }
    let (_, record) = body.split_last().unwrap_or((&0, &[]));
    Ok(ReadResult::Record(record, offset + end))
}

/// Reads all records of a file that is only replaced as a whole, and so can't have a torn tail.
pub(crate) fn read_all_records(bytes: &[u8]) -> Result<Vec<&[u8]>> {
    let mut records = Vec::new();
    let mut offset = 0;
    loop {
        match read_record(bytes, offset)? {
            ReadResult::Record(record, next) => {
                records.push(record);
                offset = next;
            }
            ReadResult::End => return Ok(records),
            ReadResult::Torn => bail!("incomplete record at byte {offset}"),
        }
    }
}

//! Framing of records: length, CRC-32 of the length, CRC-32 of the bytes, bytes.
//!
//! The length has a checksum of its own. Otherwise a flipped bit in the length of the last record
//! would look like a torn tail, and a durable record would be dropped.

use anyhow::{Context, Result, bail};

const HEADER_BYTES: usize = 12;

/// Last byte of each record. It is nonzero, so that a record whose end was never written and reads
/// as zeros is known to be incomplete.
const END_MARKER: u8 = 0xA5;

/// Least size of a record's body: one byte and the end marker.
const SHORTEST_BODY_BYTES: usize = 2;

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
    /// The same, and zeros up to this offset, where a later write begins.
    Gap(usize),
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let raw = bytes.get(offset..offset + 4)?;
    Some(u32::from_le_bytes(raw.try_into().ok()?))
}

/// Reads past an incomplete record whose bytes from `first_zero` on were never written. None if
/// fewer than `least_zeros` zeros follow, so that the record is complete and damaged.
fn skip_unwritten(
    bytes: &[u8],
    first_zero: usize,
    least_zeros: usize,
) -> Option<ReadResult<'static>> {
    let is_written = |byte: &u8| *byte != 0;
    match bytes[first_zero..].iter().position(is_written) {
        None => Some(ReadResult::Torn),
        Some(zeros) => (zeros >= least_zeros).then_some(ReadResult::Gap(first_zero + zeros)),
    }
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
        // The last byte of the header and the shortest body are missing.
        return skip_unwritten(bytes, offset + HEADER_BYTES - 1, 1 + SHORTEST_BODY_BYTES)
            .with_context(|| format!("damaged record length at byte {offset}"));
    }
    let end = HEADER_BYTES + usize::try_from(length)?;
    let Some(body) = rest.get(HEADER_BYTES..end) else {
        return Ok(ReadResult::Torn);
    };
    if crc32fast::hash(body) != record_checksum {
        return skip_unwritten(bytes, offset + end - 1, 1)
            .with_context(|| format!("damaged record at byte {offset}"));
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
            ReadResult::Torn | ReadResult::Gap(_) => bail!("incomplete record at byte {offset}"),
        }
    }
}

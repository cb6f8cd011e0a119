//! Rebuilds the log entries from the records of the segments.

use anyhow::{Context, Result, bail, ensure};
use consensus::{Entry, Epoch, Position};

use crate::frame::{self, ReadResult};
use crate::record::{self, Record};

/// The log as read so far. Segments are read from the oldest to the newest.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    /// Position before the first entry; none until the first segment is read.
    base: Option<Position>,
    /// Index before the entries of the first segment that is not void. Unlike that of `base`, it
    /// does not change when entries are removed.
    first_start: u64,
    entries: Vec<Entry>,
}

/// Extent of a segment that was read.
#[derive(Debug)]
pub(crate) struct ReplayedSegment {
    /// Index before the first entry; none if the segment has no complete record.
    pub(crate) start_index: Option<u64>,
    /// Bytes up to the end of the last complete record.
    pub(crate) complete_bytes: usize,
}

impl Replay {
    pub(crate) fn last_position(&self) -> Position {
        let base = self.base.unwrap_or_default();
        self.entries.last().map_or(base, |entry| entry.position)
    }

    /// Reads a segment. Only the last segment may have a torn tail.
    pub(crate) fn read_segment(&mut self, bytes: &[u8], is_last: bool) -> Result<ReplayedSegment> {
        let mut segment = ReplayedSegment {
            start_index: None,
            complete_bytes: 0,
        };
        loop {
            let offset = segment.complete_bytes;
            match frame::read_record(bytes, offset)? {
                ReadResult::End if segment.start_index.is_some() || is_last => return Ok(segment),
                ReadResult::Torn if is_last => return Ok(segment),
                // The start record is synced before any other is written.
                ReadResult::Gap(next) if is_last && segment.start_index.is_some() => {
                    check_gap(bytes, offset, next)?;
                    return Ok(segment);
                }
                ReadResult::End | ReadResult::Torn | ReadResult::Gap(_) => {
                    bail!("incomplete record at byte {offset}")
                }
                ReadResult::Record(raw, next) => {
                    let record =
                        record::decode(raw).with_context(|| format!("record at byte {offset}"))?;
                    self.apply_record(record, &mut segment.start_index)
                        .with_context(|| format!("record at byte {offset}"))?;
                    segment.complete_bytes = next;
                }
            }
        }
    }

    fn apply_record(&mut self, record: Record<'_>, start_index: &mut Option<u64>) -> Result<()> {
        match record {
            Record::Start {
                epoch,
                index,
                fresh,
            } => {
                ensure!(start_index.is_none(), "second start record in a segment");
                *start_index = Some(index);
                let position = Position::new(Epoch(epoch), index);
                if fresh {
                    self.entries.clear();
                }
                ensure!(
                    fresh || self.base.is_none() || self.last_position().index == index,
                    "the segment does not continue the previous one"
                );
                if fresh || self.base.is_none() {
                    self.first_start = index;
                }
                if self.entries.is_empty() {
                    self.base = Some(position);
                }
            }
            _ if start_index.is_none() => {
                bail!("the first record of the segment is not a start record")
            }
            Record::Entries(entries) => {
                for entry in entries {
                    self.push(entry.try_into()?)?;
                }
            }
            Record::Truncate(from) => self.truncate(from),
            Record::Synced(_) => {}
        }
        Ok(())
    }

    fn push(&mut self, entry: Entry) -> Result<()> {
        let last = self.last_position();
        ensure!(
            entry.position.index == last.index + 1 && entry.position.epoch >= last.epoch,
            "entry {:?} does not follow {last:?}",
            entry.position
        );
        self.entries.push(entry);
        Ok(())
    }

    fn truncate(&mut self, from: u64) {
        self.entries.retain(|entry| entry.position.index < from);
        // The entries before `from` were in a segment that was removed. Truncations concern only
        // entries after the snapshot, so nothing reads the epoch of this position.
        if let Some(base) = self.base.as_mut().filter(|base| base.index >= from) {
            *base = Position {
                epoch: Epoch::default(),
                index: from - 1,
            };
        }
    }

    /// The entries after a snapshot; none if the log does not contain the snapshot's position.
    ///
    /// The position is missing if the process stopped after the snapshot was saved and before the
    /// next segment was started, and the snapshot came from the leader or the entries up to it were
    /// not synced.
    pub(crate) fn entries_after(self, snapshot: Position) -> Result<Option<Vec<Entry>>> {
        ensure!(
            self.first_start <= snapshot.index,
            "no snapshot covers the entries up to index {}",
            self.first_start
        );
        let base = self.base.unwrap_or_default();
        let mut positions = self.entries.iter().map(|entry| entry.position);
        if base != snapshot && !positions.any(|position| position == snapshot) {
            return Ok(None);
        }
        let is_later = |entry: &Entry| entry.position.index > snapshot.index;
        Ok(Some(self.entries.into_iter().filter(is_later).collect()))
    }
}

/// Checks that a loss of power explains the gap from `lost` to `next`: no write after it was made
/// when a sync had covered the lost bytes.
fn check_gap(bytes: &[u8], lost: usize, next: usize) -> Result<()> {
    let mut offset = next;
    let mut is_after_gap = true;
    loop {
        match frame::read_record(bytes, offset)? {
            ReadResult::Record(raw, next) => {
                // Each write begins with the extent of the last sync, except in earlier formats.
                let is_unsynced = match record::decode(raw)? {
                    Record::Synced(end) => end <= lost as u64,
                    _ => !is_after_gap,
                };
                ensure!(is_unsynced, "damaged record at byte {lost}");
                is_after_gap = false;
                offset = next;
            }
            ReadResult::Gap(next) => {
                is_after_gap = true;
                offset = next;
            }
            ReadResult::End | ReadResult::Torn => return Ok(()),
        }
    }
}

//! Rebuilds the entries from the segments.

use anyhow::{Context, Result, bail, ensure};
use consensus::{Entry, Epoch, Position};

use crate::frame::{self, Read};
use crate::record::{self, Record};

/// The log while segments are read, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    /// Position before the first entry; none before the first segment.
    base: Option<Position>,
    entries: Vec<Entry>,
}

/// What a segment held.
#[derive(Debug)]
pub(crate) struct Found {
    /// Index before its first entry; none if it has no complete record.
    pub(crate) start: Option<u64>,
    /// Bytes up to the end of the last complete record.
    pub(crate) length: usize,
}

impl Replay {
    pub(crate) fn last(&self) -> Position {
        let base = self.base.unwrap_or_default();
        self.entries.last().map_or(base, |entry| entry.position)
    }

    /// Reads a segment. Only the last one may have a torn tail.
    pub(crate) fn read(&mut self, bytes: &[u8], is_last: bool) -> Result<Found> {
        let mut found = Found {
            start: None,
            length: 0,
        };
        loop {
            let at = found.length;
            match frame::read(bytes, at)? {
                Read::End if found.start.is_some() || is_last => return Ok(found),
                Read::Torn if is_last => return Ok(found),
                Read::End | Read::Torn => bail!("incomplete record at byte {at}"),
                Read::Record(raw, next) => {
                    let record = record::decode(raw).with_context(|| format!("byte {at}"))?;
                    self.apply(record, &mut found.start)
                        .with_context(|| format!("byte {at}"))?;
                    found.length = next;
                }
            }
        }
    }

    fn apply(&mut self, record: Record<'_>, start: &mut Option<u64>) -> Result<()> {
        match record {
            Record::Start {
                epoch,
                index,
                fresh,
            } => {
                ensure!(start.is_none(), "second start of a segment");
                *start = Some(index);
                let position = Position::new(Epoch(epoch), index);
                if fresh {
                    self.entries.clear();
                }
                ensure!(
                    fresh || self.base.is_none() || self.last().index == index,
                    "segments do not join"
                );
                if self.entries.is_empty() {
                    self.base = Some(position);
                }
            }
            _ if start.is_none() => bail!("no start of the segment"),
            Record::Entries(raw) => {
                for entry in raw {
                    self.push(entry.try_into()?)?;
                }
            }
            Record::Truncate(from) => self.truncate(from),
        }
        Ok(())
    }

    fn push(&mut self, entry: Entry) -> Result<()> {
        let last = self.last();
        ensure!(
            entry.position.index == last.index + 1 && entry.position.epoch >= last.epoch,
            "entry {:?} after {last:?}",
            entry.position
        );
        self.entries.push(entry);
        Ok(())
    }

    fn truncate(&mut self, from: u64) {
        self.entries.retain(|entry| entry.position.index < from);
        // The entries before `from` were in a segment that is dropped. Only entries after the
        // snapshot are truncated, so the epoch of this position is not needed.
        if let Some(base) = self.base.as_mut().filter(|base| base.index >= from) {
            *base = Position {
                epoch: Epoch::default(),
                index: from - 1,
            };
        }
    }

    /// The entries after a snapshot; none if the log does not contain the snapshot's position.
    ///
    /// That is the case after a stop between the saving of a snapshot and the start of the next
    /// segment: the snapshot is the leader's, or the entries up to it were not synced.
    pub(crate) fn after(self, snapshot: Position) -> Result<Option<Vec<Entry>>> {
        let base = self.base.unwrap_or_default();
        ensure!(
            base.index <= snapshot.index,
            "no snapshot of the entries up to {}",
            base.index
        );
        let mut positions = self.entries.iter().map(|entry| entry.position);
        if base != snapshot && !positions.any(|position| position == snapshot) {
            return Ok(None);
        }
        let is_later = |entry: &Entry| entry.position.index > snapshot.index;
        Ok(Some(self.entries.into_iter().filter(is_later).collect()))
    }
}

//! Write-ahead log of committed transactions, its timelines and the messages to replicas.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::store::{Change, Store};

/// First position of every log; like in PostgreSQL, it is not zero.
const FIRST_POSITION: u64 = 0x0100_0000;

/// Bytes of a record's header and commit, in addition to its changes.
const RECORD_OVERHEAD_BYTES: u64 = 64;

/// Bytes of log that are kept for replicas that reconnect; a replica that lacks more gets a full
/// copy.
const RETAINED_BYTES: u64 = 16 << 20;

/// One committed transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Record {
    pub(crate) timeline: u64,
    pub(crate) start: u64,
    pub(crate) end: u64,
    pub(crate) changes: Vec<Change>,
}

/// A former timeline, and the position where it ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Ancestor {
    pub(crate) timeline: u64,
    pub(crate) end: u64,
}

/// Message from a primary to a replica.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum Message {
    /// Full copy of the database, which replaces the replica's own.
    Copy {
        identity: u64,
        store: Store,
        timeline: u64,
        end: u64,
        history: Vec<Ancestor>,
    },
    /// Confirms the replica's position; the records after it follow.
    Resume {
        identity: u64,
        timeline: u64,
        history: Vec<Ancestor>,
    },
    Record(Record),
}

/// Decodes a message; `None` if the bytes are invalid.
pub(crate) fn decode(bytes: &[u8]) -> Option<Message> {
    let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    decoded.ok().map(|(message, _)| message)
}

pub(crate) fn encode(message: &Message) -> anyhow::Result<Vec<u8>> {
    let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard())?;
    Ok(bytes)
}

/// Write-ahead log. Invariants: records are contiguous, the last one ends at `end`, and `history`
/// is ordered by timeline.
#[derive(Debug)]
pub(crate) struct Wal {
    /// Identifier of the database; replicas have that of their primary.
    pub(crate) identity: u64,
    pub(crate) timeline: u64,
    pub(crate) end: u64,
    pub(crate) history: Vec<Ancestor>,
    records: VecDeque<Record>,
    retained_bytes: u64,
}

impl Wal {
    pub(crate) fn new(identity: u64) -> Self {
        Self {
            identity,
            timeline: 1,
            end: FIRST_POSITION,
            history: Vec::new(),
            records: VecDeque::new(),
            retained_bytes: 0,
        }
    }

    /// Builds the next record, with the changes of a transaction; [`Self::push`] appends it.
    pub(crate) fn build_record(&self, changes: Vec<Change>) -> Record {
        let size = RECORD_OVERHEAD_BYTES + changes.iter().map(Change::size).sum::<u64>();
        Record {
            timeline: self.timeline,
            start: self.end,
            // Positions are aligned to eight bytes.
            end: self.end + size.next_multiple_of(8),
            changes,
        }
    }

    pub(crate) fn push(&mut self, record: Record) {
        self.end = record.end;
        self.timeline = self.timeline.max(record.timeline);
        self.retained_bytes += record.end - record.start;
        self.records.push_back(record);
        while self.retained_bytes > RETAINED_BYTES
            && let Some(oldest) = self.records.pop_front()
        {
            self.retained_bytes -= oldest.end - oldest.start;
        }
    }

    /// Ends the current timeline at the end of the log and starts the next one.
    pub(crate) fn fork(&mut self) {
        self.history.push(Ancestor {
            timeline: self.timeline,
            end: self.end,
        });
        self.timeline += 1;
    }

    /// Timeline before the current one; the current one if it is the first.
    pub(crate) fn previous_timeline(&self) -> u64 {
        self.history
            .last()
            .map_or(self.timeline, |last| last.timeline)
    }

    /// Discards all records and continues from the position of a full copy.
    pub(crate) fn reset(&mut self, timeline: u64, end: u64, history: Vec<Ancestor>) {
        *self = Self {
            identity: self.identity,
            timeline,
            end,
            history,
            records: VecDeque::new(),
            retained_bytes: 0,
        };
    }

    /// Switches to the primary's timeline and history, once the log has reached the end of the
    /// timeline before it.
    pub(crate) fn adopt_history(&mut self, timeline: u64, history: &[Ancestor]) {
        if history.last().is_none_or(|last| self.end >= last.end) {
            self.timeline = timeline;
            self.history = history.to_vec();
        }
    }

    /// Records after a replica's position. `None` if the replica needs a full copy: its log has
    /// diverged from this one or the records are no longer kept.
    pub(crate) fn records_after(
        &self,
        timeline: u64,
        end: u64,
    ) -> Option<impl Iterator<Item = &Record>> {
        let timeline_end = if timeline == self.timeline {
            self.end
        } else {
            self.history
                .iter()
                .find(|ancestor| ancestor.timeline == timeline)?
                .end
        };
        let oldest = self.records.front().map_or(self.end, |record| record.start);
        let available = (oldest..=timeline_end).contains(&end);
        available.then(|| {
            self.records
                .iter()
                .filter(move |record| record.start >= end)
        })
    }
}

//! The log of committed transactions, its timelines and the stream to replicas.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::store::{Change, Store};

/// Start of every log; a real server's first position is not zero either.
const START: u64 = 0x0100_0000;

/// Bytes of a record beside its changes: header and commit.
const HEADER: u64 = 64;

/// Log that is kept for replicas that reconnect; others get a full copy.
const RETAINED: u64 = 16 << 20;

/// One committed transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Record {
    pub(crate) timeline: u64,
    pub(crate) start: u64,
    pub(crate) end: u64,
    pub(crate) changes: Vec<Change>,
}

/// A timeline that ended, and where.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Ended {
    pub(crate) timeline: u64,
    pub(crate) end: u64,
}

/// Message from a primary to a replica.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum Message {
    /// The whole content; the replica discards its own.
    Copy {
        identity: u64,
        store: Store,
        timeline: u64,
        end: u64,
        history: Vec<Ended>,
    },
    /// Records follow from where the replica stands.
    Resume {
        identity: u64,
        timeline: u64,
        history: Vec<Ended>,
    },
    Record(Record),
}

/// Reads a message; none when the bytes are no message.
pub(crate) fn decode(raw: &[u8]) -> Option<Message> {
    let decoded = bincode::serde::decode_from_slice(raw, bincode::config::standard());
    decoded.ok().map(|(message, _)| message)
}

pub(crate) fn encode(message: &Message) -> anyhow::Result<Vec<u8>> {
    let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard())?;
    Ok(bytes)
}

/// The log. Invariants: records are contiguous, the last one ends at `end`, and `history` is
/// ordered by timeline.
#[derive(Debug)]
pub(crate) struct Wal {
    /// Tells databases apart; replicas have that of their primary.
    pub(crate) identity: u64,
    pub(crate) timeline: u64,
    pub(crate) end: u64,
    pub(crate) history: Vec<Ended>,
    records: VecDeque<Record>,
    retained: u64,
}

impl Wal {
    pub(crate) fn new(identity: u64) -> Self {
        Self {
            identity,
            timeline: 1,
            end: START,
            history: Vec::new(),
            records: VecDeque::new(),
            retained: 0,
        }
    }

    /// Makes the record of a transaction that commits now; [`Self::push`] adds it.
    pub(crate) fn record(&self, changes: Vec<Change>) -> Record {
        let size = HEADER + changes.iter().map(Change::size).sum::<u64>();
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
        self.retained += record.end - record.start;
        self.records.push_back(record);
        while self.retained > RETAINED
            && let Some(old) = self.records.pop_front()
        {
            self.retained -= old.end - old.start;
        }
    }

    /// Ends the current timeline here and begins the next.
    pub(crate) fn fork(&mut self) {
        self.history.push(Ended {
            timeline: self.timeline,
            end: self.end,
        });
        self.timeline += 1;
    }

    /// Timeline before the current one.
    pub(crate) fn previous(&self) -> u64 {
        self.history
            .last()
            .map_or(self.timeline, |last| last.timeline)
    }

    /// Replaces everything by a copy that stands at the given position.
    pub(crate) fn restart(&mut self, timeline: u64, end: u64, history: Vec<Ended>) {
        *self = Self {
            identity: self.identity,
            timeline,
            end,
            history,
            records: VecDeque::new(),
            retained: 0,
        };
    }

    /// Takes over the primary's history, and its timeline once the end of the former is reached.
    pub(crate) fn adopt(&mut self, timeline: u64, history: &[Ended]) {
        if history.last().is_none_or(|last| self.end >= last.end) {
            self.timeline = timeline;
            self.history = history.to_vec();
        }
    }

    /// Records that a replica at a position lacks; none when its log went another way or when
    /// they are no longer kept, so that it needs a full copy.
    pub(crate) fn after(&self, timeline: u64, end: u64) -> Option<impl Iterator<Item = &Record>> {
        let bound = if timeline == self.timeline {
            self.end
        } else {
            self.history
                .iter()
                .find(|ended| ended.timeline == timeline)?
                .end
        };
        let oldest = self.records.front().map_or(self.end, |record| record.start);
        let known = (oldest..=bound).contains(&end);
        known.then(|| {
            self.records
                .iter()
                .filter(move |record| record.start >= end)
        })
    }
}

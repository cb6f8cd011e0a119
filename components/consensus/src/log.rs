//! Entries in memory, with what of them is durable.

use std::collections::VecDeque;

use crate::{Entry, Epoch, Member, Payload, Position, Snapshot};

/// The log of a node.
#[derive(Debug)]
pub(crate) struct Log {
    pub(crate) snapshot: Snapshot,
    /// Position before the first entry. Invariant: not after the snapshot.
    base: Position,
    /// Invariant: indexes follow `base` without a gap.
    entries: VecDeque<Entry>,
    /// Member lists by the index from which they are in force. Invariant: never empty, rising.
    lists: Vec<(u64, Vec<Member>)>,
    /// Last index that was handed to a write.
    pub(crate) written: u64,
    /// Last index that a completed sync covers.
    pub(crate) durable: u64,
    /// Writes whose sync is outstanding, with the last index after each.
    unsynced: VecDeque<(u64, u64)>,
}

impl Log {
    /// A log as recovered from disk; every entry is durable.
    pub(crate) fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            base: snapshot.position,
            lists: vec![(snapshot.position.index, snapshot.members.clone())],
            written: snapshot.position.index,
            durable: snapshot.position.index,
            snapshot,
            entries: VecDeque::new(),
            unsynced: VecDeque::new(),
        };
        for entry in entries {
            log.push(entry);
        }
        log.written = log.last().index;
        log.durable = log.written;
        log
    }

    pub(crate) fn base(&self) -> Position {
        self.base
    }

    pub(crate) fn last(&self) -> Position {
        self.entries
            .back()
            .map_or(self.base, |entry| entry.position)
    }

    /// Members in force.
    pub(crate) fn members(&self) -> &[Member] {
        self.lists.last().map_or(&[], |(_, list)| list.as_slice())
    }

    /// Index of the entry that brought the present members.
    pub(crate) fn members_index(&self) -> u64 {
        self.lists.last().map_or(0, |(index, _)| *index)
    }

    /// Members in force at an index.
    pub(crate) fn members_at(&self, index: u64) -> &[Member] {
        self.lists
            .iter()
            .rev()
            .find(|(from, _)| *from <= index)
            .map_or(&[], |(_, list)| list.as_slice())
    }

    fn slot(&self, index: u64) -> Option<usize> {
        let offset = index.checked_sub(self.base.index + 1)?;
        usize::try_from(offset).ok()
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        self.entries.get(self.slot(index)?)
    }

    /// Epoch at an index; none outside of the log.
    pub(crate) fn epoch_at(&self, index: u64) -> Option<Epoch> {
        if index == self.base.index {
            return Some(self.base.epoch);
        }
        self.get(index).map(|entry| entry.position.epoch)
    }

    /// First index of the run of equal epochs that contains `index`.
    pub(crate) fn run_start(&self, index: u64) -> u64 {
        let epoch = self.epoch_at(index);
        let mut first = index;
        while first > self.base.index + 1 && self.epoch_at(first - 1) == epoch {
            first -= 1;
        }
        first
    }

    /// Adds an entry in memory; [`Log::stage`] hands it to a write.
    pub(crate) fn push(&mut self, entry: Entry) {
        if let Payload::Members(list) = &entry.payload {
            self.lists.push((entry.position.index, list.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Entries from an index up to a bound of bytes, at least one, none after `end`.
    pub(crate) fn range(&self, from: u64, end: u64, bytes: usize) -> Vec<Entry> {
        let mut left = bytes;
        let mut taken = Vec::new();
        let mut index = from;
        while let Some(entry) = self.get(index).filter(|_| index <= end) {
            if !taken.is_empty() && entry.size() > left {
                break;
            }
            left = left.saturating_sub(entry.size());
            taken.push(entry.clone());
            index += 1;
        }
        taken
    }

    /// Takes the entries that no write has had so far, for the write `seq`.
    pub(crate) fn stage(&mut self, seq: u64) -> Vec<Entry> {
        let taken = self.range(self.written + 1, u64::MAX, usize::MAX);
        self.written = self.last().index;
        self.unsynced.push_back((seq, self.written));
        taken
    }

    pub(crate) fn is_staged(&self) -> bool {
        self.written < self.last().index
    }

    /// Removes entries from an index on.
    pub(crate) fn truncate(&mut self, from: u64) {
        let Some(slot) = self.slot(from) else { return };
        self.entries.truncate(slot);
        self.lists.retain(|(index, _)| *index < from);
        self.cap(from - 1);
    }

    /// Forgets what was written after an index, as it is no longer part of the log.
    fn cap(&mut self, last: u64) {
        self.written = self.written.min(last);
        self.durable = self.durable.min(last);
        for (_, index) in &mut self.unsynced {
            *index = (*index).min(last);
        }
    }

    pub(crate) fn on_synced(&mut self, seq: u64) {
        while let Some((_, index)) = self.unsynced.pop_front_if(|(write, _)| *write <= seq) {
            self.durable = self.durable.max(index);
        }
    }

    /// Takes a snapshot of applied entries and drops all but `keep` entries before it.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, keep: u64) {
        let index = snapshot.position.index;
        self.snapshot = snapshot;
        let first = index.saturating_sub(keep);
        while self.base.index < first
            && let Some(entry) = self.entries.pop_front()
        {
            self.base = entry.position;
        }
        let passed = self.lists.partition_point(|(from, _)| *from <= index);
        self.lists.drain(..passed.saturating_sub(1));
    }

    /// Replaces the whole log by a snapshot that the write `seq` saves.
    pub(crate) fn install(&mut self, snapshot: Snapshot, seq: u64) {
        let index = snapshot.position.index;
        // The old entries are gone; only the sync of the snapshot makes anything durable again.
        self.unsynced.clear();
        self.unsynced.push_back((seq, index));
        self.durable = 0;
        self.written = index;
        self.base = snapshot.position;
        self.entries.clear();
        self.lists = vec![(index, snapshot.members.clone())];
        self.snapshot = snapshot;
    }
}

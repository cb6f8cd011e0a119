//! Log entries in memory, and which of them are written and durable.

use std::collections::VecDeque;

use crate::{Entry, Epoch, Member, Payload, Position, Snapshot};

#[derive(Debug)]
pub(crate) struct Log {
    pub(crate) snapshot: Snapshot,
    /// Position before the first entry in memory. Invariant: not after the snapshot.
    base: Position,
    /// Entries after `base`. Invariant: indexes have no gaps.
    entries: VecDeque<Entry>,
    /// Member lists with the index from which each is in force. Invariant: not empty, in increasing
    /// order of the index.
    member_lists: Vec<(u64, Vec<Member>)>,
    /// Last index that is part of an issued write.
    pub(crate) written_index: u64,
    /// Last index that is covered by a completed sync.
    pub(crate) durable_index: u64,
    /// Sequence numbers of unsynced writes, each with the last index that it writes.
    unsynced: VecDeque<(u64, u64)>,
}

impl Log {
    /// Creates the log from the content of the disk. Every entry is durable.
    pub(crate) fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            base: snapshot.position,
            member_lists: vec![(snapshot.position.index, snapshot.members.clone())],
            written_index: snapshot.position.index,
            durable_index: snapshot.position.index,
            snapshot,
            entries: VecDeque::new(),
            unsynced: VecDeque::new(),
        };
        for entry in entries {
            log.push(entry);
        }
        log.written_index = log.last().index;
        log.durable_index = log.written_index;
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

    pub(crate) fn members(&self) -> &[Member] {
        self.member_lists
            .last()
            .map_or(&[], |(_, list)| list.as_slice())
    }

    /// Index of the entry that holds the member list in force.
    pub(crate) fn members_index(&self) -> u64 {
        self.member_lists.last().map_or(0, |(index, _)| *index)
    }

    /// Member list in force at an index.
    pub(crate) fn members_at(&self, index: u64) -> &[Member] {
        self.member_lists
            .iter()
            .rev()
            .find(|(first_index, _)| *first_index <= index)
            .map_or(&[], |(_, list)| list.as_slice())
    }

    /// Offset of an index in `entries`; it may be beyond their end.
    fn entry_offset(&self, index: u64) -> Option<usize> {
        let offset = index.checked_sub(self.base.index + 1)?;
        usize::try_from(offset).ok()
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        self.entries.get(self.entry_offset(index)?)
    }

    /// Epoch of the entry at an index; `None` if the index is outside of the log in memory.
    pub(crate) fn epoch_at(&self, index: u64) -> Option<Epoch> {
        if index == self.base.index {
            return Some(self.base.epoch);
        }
        self.get(index).map(|entry| entry.position.epoch)
    }

    /// First index in memory of the epoch that the entry at `index` belongs to.
    pub(crate) fn epoch_start(&self, index: u64) -> u64 {
        let epoch = self.epoch_at(index);
        let mut first = index;
        while first > self.base.index + 1 && self.epoch_at(first - 1) == epoch {
            first -= 1;
        }
        first
    }

    /// Stages an entry in memory; [`Log::take_staged_entries`] hands it over to a write.
    pub(crate) fn push(&mut self, entry: Entry) {
        if let Payload::Members(list) = &entry.payload {
            self.member_lists.push((entry.position.index, list.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Entries from `from` up to and including `end`, limited to `max_bytes` but at least one.
    pub(crate) fn range(&self, from: u64, end: u64, max_bytes: usize) -> Vec<Entry> {
        let mut remaining_bytes = max_bytes;
        let mut selected = Vec::new();
        let mut index = from;
        while let Some(entry) = self.get(index).filter(|_| index <= end) {
            if !selected.is_empty() && entry.size() > remaining_bytes {
                break;
            }
            remaining_bytes = remaining_bytes.saturating_sub(entry.size());
            selected.push(entry.clone());
            index += 1;
        }
        selected
    }

    /// Returns the entries that no write contains yet, for the write with sequence number `seq`.
    pub(crate) fn take_staged_entries(&mut self, seq: u64) -> Vec<Entry> {
        let selected = self.range(self.written_index + 1, u64::MAX, usize::MAX);
        self.written_index = self.last().index;
        self.unsynced.push_back((seq, self.written_index));
        selected
    }

    pub(crate) fn has_staged_entries(&self) -> bool {
        self.written_index < self.last().index
    }

    /// Removes all entries at and after `from`.
    pub(crate) fn truncate(&mut self, from: u64) {
        let Some(offset) = self.entry_offset(from) else {
            return;
        };
        self.entries.truncate(offset);
        self.member_lists.retain(|(index, _)| *index < from);
        self.limit_indexes(from - 1);
    }

    /// Caps the written and durable indexes at `last_index` after later entries were removed.
    fn limit_indexes(&mut self, last_index: u64) {
        self.written_index = self.written_index.min(last_index);
        self.durable_index = self.durable_index.min(last_index);
        for (_, index) in &mut self.unsynced {
            *index = (*index).min(last_index);
        }
    }

    pub(crate) fn on_synced(&mut self, seq: u64) {
        while let Some((_, index)) = self
            .unsynced
            .pop_front_if(|(write_seq, _)| *write_seq <= seq)
        {
            self.durable_index = self.durable_index.max(index);
        }
    }

    /// Stores a snapshot of applied entries and drops all but `retained_entries` entries before it.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, retained_entries: u64) {
        let index = snapshot.position.index;
        self.snapshot = snapshot;
        let first = index.saturating_sub(retained_entries);
        while self.base.index < first
            && let Some(entry) = self.entries.pop_front()
        {
            self.base = entry.position;
        }
        let outdated = self
            .member_lists
            .partition_point(|(first_index, _)| *first_index <= index);
        self.member_lists.drain(..outdated.saturating_sub(1));
    }

    /// Replaces the whole log by a snapshot that is saved by the write `seq`.
    pub(crate) fn install(&mut self, snapshot: Snapshot, seq: u64) {
        let index = snapshot.position.index;
        // Nothing is durable until the snapshot is synced, as the old entries are removed.
        self.unsynced.clear();
        self.unsynced.push_back((seq, index));
        self.durable_index = 0;
        self.written_index = index;
        self.base = snapshot.position;
        self.entries.clear();
        self.member_lists = vec![(index, snapshot.members.clone())];
        self.snapshot = snapshot;
    }
}

//! Write-ahead log, vote and snapshots of a control instance in one folder.

use std::path::{Path, PathBuf};

use anyhow::{Context, Result, ensure};
use consensus::{Contents, Disk, Entry, Epoch, Identity, Position, Snapshot, Store, Write};

use crate::file_names::{self, TEMPORARY_SUFFIX};
use crate::file_system::Files;
use crate::frame;
use crate::full::{self, is_full};
use crate::record::{self, Record, SnapshotHeader, Vote};

/// Size of a segment from which on the next one is started.
const SEGMENT_ROTATION_BYTES: usize = 8 << 20;

/// State recovered from a folder.
#[derive(Debug)]
pub struct Opened {
    pub disk: Disk,
    /// Whether this is the first start on the folder.
    pub is_new: bool,
    /// Bytes of an incomplete write that were dropped from the end of the log.
    pub torn_bytes: u64,
    /// State of the replicated log.
    pub saved: Contents,
}

/// Write-ahead log and the other files of a control instance.
///
/// Writes must be issued in the order of the consensus node. They are durable after
/// [`Wal::sync`]. A write that fails with [`Full`](crate::Full) has changed nothing and can be
/// repeated. After any other error, every later call fails: the operating system may have dropped
/// unsynced bytes on a failed sync, and a later sync of the same file would succeed without them.
#[derive(Debug)]
pub struct Wal<F: Files> {
    pub(crate) fs: F,
    pub(crate) folder: PathBuf,
    /// Keeps other processes from opening the folder.
    pub(crate) lock: Option<F::File>,
    /// Number of each segment and the index before its first entry. Invariant: never empty.
    pub(crate) segments: Vec<(u64, u64)>,
    /// The last segment, to which records are appended.
    pub(crate) segment_file: Option<F::File>,
    /// Size of the last segment, in bytes.
    pub(crate) segment_size: usize,
    /// Bytes of the last segment that a sync covers. Invariant: at most `segment_size`.
    pub(crate) synced_size: usize,
    /// The last segment may end with a part of a record. Invariant: cut before the next append.
    pub(crate) has_partial_record: bool,
    /// First index and epoch of each run of entries with equal epochs. The first run starts at the
    /// position before the first entry.
    pub(crate) epoch_runs: Vec<(u64, Epoch)>,
    /// Index of the last entry.
    pub(crate) last_index: u64,
    /// Index of the last entry in the snapshot; 0 without a snapshot.
    pub(crate) snapshot_index: u64,
    pub(crate) is_failed: bool,
}

impl<F: Files> Wal<F> {
    /// Appends entries.
    ///
    /// # Errors
    ///
    /// Fails if an earlier call failed, if the entries don't follow the last one without a gap, or
    /// if they can't be encoded or written.
    pub fn append(&mut self, entries: &[Entry]) -> Result<()> {
        self.run_operation("append to the log", |wal| {
            for (entry, index) in entries.iter().zip(wal.last_index + 1..) {
                ensure!(
                    entry.position.index == index,
                    "entry {} does not follow entry {}",
                    entry.position.index,
                    index - 1
                );
            }
            wal.append_record(&Record::Entries(entries.iter().map(Into::into).collect()))?;
            for entry in entries {
                wal.extend_epoch_runs(entry.position);
                wal.last_index = entry.position.index;
            }
            wal.rotate_segment()
        })
    }

    fn extend_epoch_runs(&mut self, position: Position) {
        let last_run = self.epoch_runs.last();
        if last_run.is_none_or(|(_, epoch)| *epoch != position.epoch) {
            self.epoch_runs.push((position.index, position.epoch));
        }
    }

    /// Starts a new segment if the last one is large enough.
    fn rotate_segment(&mut self) -> Result<()> {
        if self.segment_size < SEGMENT_ROTATION_BYTES {
            return Ok(());
        }
        match self.start_segment(self.last_position(), false) {
            // The present segment goes on; the next append tries again.
            Err(error) if is_full(&error) => Ok(()),
            result => result,
        }
    }

    /// Removes the entries from an index on.
    ///
    /// # Errors
    ///
    /// Fails if an earlier call failed, if the index is in the snapshot, or if the record can't be
    /// written.
    pub fn truncate(&mut self, from: u64) -> Result<()> {
        self.run_operation("truncate the log", |wal| {
            ensure!(from > wal.snapshot_index, "entry {from} is in the snapshot");
            wal.append_record(&Record::Truncate(from))?;
            wal.last_index = wal.last_index.min(from - 1);
            wal.epoch_runs.retain(|(first, _)| *first < from);
            Ok(())
        })
    }

    /// Replaces the epoch and the vote. They are durable on return.
    ///
    /// # Errors
    ///
    /// Fails if an earlier call failed or if the vote file can't be written or synced.
    pub fn save_vote(&mut self, epoch: Epoch, vote: Option<&Identity>) -> Result<()> {
        self.run_operation("save the vote", |wal| {
            let vote = vote.map(|candidate| (candidate.instance.as_str(), candidate.disk.0));
            let epoch = epoch.0;
            let bytes = record::encode(&Vote { epoch, vote })?;
            wal.replace_file(file_names::VOTE_FILE, &[&bytes])
        })
    }

    /// Saves a snapshot of the applied entries and removes the segments that it covers.
    ///
    /// # Errors
    ///
    /// Fails if an earlier call failed, if the snapshot is after the last entry, or if a file can't
    /// be written, synced or removed.
    pub fn compact(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.run_operation("save a snapshot", |wal| {
            let index = snapshot.position.index;
            ensure!(
                index <= wal.last_index,
                "snapshot at index {index} is after the last entry {}",
                wal.last_index
            );
            wal.write_snapshot(snapshot)?;
            wal.start_segment(wal.last_position(), false)?;
            wal.remove_before(index)
        })
    }

    /// Saves a snapshot from the leader, which replaces the whole log.
    ///
    /// # Errors
    ///
    /// Fails if an earlier call failed or if a file can't be written, synced or removed.
    pub fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.run_operation("install a snapshot", |wal| {
            let Position { epoch, index } = snapshot.position;
            wal.write_snapshot(snapshot)?;
            wal.start_segment(snapshot.position, true)?;
            wal.last_index = index;
            wal.epoch_runs = vec![(index, epoch)];
            wal.remove_before(index)
        })
    }

    /// Makes all earlier calls durable.
    ///
    /// # Errors
    ///
    /// Fails if an earlier call failed or if the current segment can't be synced.
    pub fn sync(&mut self) -> Result<()> {
        self.run_operation("sync the log", Self::sync_segment)
    }

    /// Runs an operation, which `action` names in errors. Once one has failed, all later ones fail,
    /// unless it was taken back for lack of space.
    fn run_operation(
        &mut self,
        action: &str,
        operation: impl FnOnce(&mut Self) -> Result<()>,
    ) -> Result<()> {
        ensure!(!self.is_failed, "an earlier write to the disk failed");
        let result = operation(self);
        self.is_failed = result.as_ref().is_err_and(|error| !is_full(error));
        result.with_context(|| format!("{action} in {}", self.folder.display()))
    }

    fn append_record(&mut self, record: &Record<'_>) -> Result<()> {
        self.remove_partial_record()?;
        let synced = Record::Synced(self.synced_size as u64);
        let mut bytes = Vec::new();
        for record in [&synced, record] {
            frame::append_record(&mut bytes, &record::encode(record)?)?;
        }
        let file = self.segment_file.as_mut().context("no open segment")?;
        self.has_partial_record = true;
        self.fs.append(file, &bytes).map_err(full::convert)?;
        self.has_partial_record = false;
        self.segment_size += bytes.len();
        Ok(())
    }

    /// Cuts the last segment to its last complete record, if an append to it has failed.
    fn remove_partial_record(&mut self) -> Result<()> {
        if let Some(file) = self
            .segment_file
            .as_mut()
            .filter(|_| self.has_partial_record)
        {
            let length = self.segment_size as u64;
            self.fs.set_length(file, length).map_err(full::convert)?;
            // A loss of power must not bring the cut bytes back under a later record.
            self.fs.sync(file)?;
            self.synced_size = self.segment_size;
        }
        self.has_partial_record = false;
        Ok(())
    }

    fn sync_segment(&mut self) -> Result<()> {
        let is_dirty = self.synced_size < self.segment_size;
        if let Some(file) = self.segment_file.as_mut().filter(|_| is_dirty) {
            self.fs.sync(file)?;
        }
        self.synced_size = self.segment_size;
        Ok(())
    }

    /// Position of the last entry.
    pub(crate) fn last_position(&self) -> Position {
        let epoch = self.epoch_runs.last().map_or(Epoch(0), |(_, epoch)| *epoch);
        Position::new(epoch, self.last_index)
    }

    /// Starts a new segment after `last`, durably. With `fresh`, the earlier segments become void.
    pub(crate) fn start_segment(&mut self, last: Position, fresh: bool) -> Result<()> {
        self.remove_partial_record()?;
        self.sync_segment()?;
        let number = self.segments.last().map_or(1, |(number, _)| number + 1);
        let mut bytes = Vec::new();
        let start = Record::Start {
            epoch: last.epoch.0,
            index: last.index,
            fresh,
        };
        frame::append_record(&mut bytes, &record::encode(&start)?)?;
        let file = self.create_file(&file_names::segment_name(number), &bytes)?;
        self.fs.sync_folder(&self.folder)?;
        self.segment_file = Some(file);
        self.segment_size = bytes.len();
        self.synced_size = bytes.len();
        self.segments.push((number, last.index));
        Ok(())
    }

    /// Creates a file with synced content. Without space for it, the file is removed.
    fn create_file(&mut self, name: &str, bytes: &[u8]) -> Result<F::File> {
        let path = self.folder.join(name);
        let mut file = self.fs.create(&path).map_err(full::convert)?;
        if let Err(error) = self.fs.append(&mut file, bytes) {
            let error = full::convert(error);
            if is_full(&error) {
                self.fs.remove(&path)?;
            }
            return Err(error);
        }
        self.fs.sync(&mut file)?;
        Ok(file)
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        let Position { epoch, index } = snapshot.position;
        let header = record::encode(&SnapshotHeader {
            epoch: epoch.0,
            index,
            members: snapshot.members.iter().map(Into::into).collect(),
        })?;
        self.replace_file(
            &file_names::snapshot_name(index),
            &[&header, &snapshot.data],
        )
    }

    /// Replaces a file atomically: after a stop it has either the old or the new content.
    pub(crate) fn replace_file(&mut self, name: &str, records: &[&[u8]]) -> Result<()> {
        let mut bytes = Vec::new();
        for record in records {
            frame::append_record(&mut bytes, record)?;
        }
        let temporary_name = format!("{name}{TEMPORARY_SUFFIX}");
        self.create_file(&temporary_name, &bytes)?;
        let (temporary, path) = (self.folder.join(temporary_name), self.folder.join(name));
        // The file keeps its old content until the rename, which a repeated call makes up for.
        self.fs.rename(&temporary, &path).map_err(full::convert)?;
        self.fs.sync_folder(&self.folder)?;
        Ok(())
    }

    /// Removes the segments and the snapshot that a durable snapshot replaces.
    fn remove_before(&mut self, index: u64) -> Result<()> {
        while let [(number, _), (_, start), ..] = self.segments[..]
            && start <= index
        {
            let path = self.folder.join(file_names::segment_name(number));
            self.fs.remove(&path)?;
            self.segments.remove(0);
        }
        if self.snapshot_index > 0 && self.snapshot_index != index {
            let path = self
                .folder
                .join(file_names::snapshot_name(self.snapshot_index));
            self.fs.remove(&path)?;
        }
        self.snapshot_index = index;
        self.fs.sync_folder(&self.folder)?;
        Ok(())
    }

    /// Path of a file in the data folder.
    pub(crate) fn path(&self, name: &str) -> PathBuf {
        Path::new(&self.folder).join(name)
    }
}

impl<F: Files> Store for Wal<F> {
    type Error = anyhow::Error;

    fn write(&mut self, write: &Write) -> Result<()> {
        match write {
            Write::Append(entries) => self.append(entries),
            Write::Truncate(from) => self.truncate(*from),
            Write::SaveVote { epoch, vote } => self.save_vote(*epoch, vote.as_ref()),
            Write::Compact(snapshot) => self.compact(snapshot),
            Write::Install(snapshot) => self.install_snapshot(snapshot),
        }
    }

    fn sync(&mut self) -> Result<()> {
        Self::sync(self)
    }

    fn is_full(error: &anyhow::Error) -> bool {
        is_full(error)
    }
}

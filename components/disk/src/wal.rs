//! Write-ahead log, epoch and vote, and snapshots in one folder.

use std::path::{Path, PathBuf};

use anyhow::{Context, Result, ensure};
use consensus::{Contents, Disk, Entry, Epoch, Identity, Position, Snapshot, Store, Write};

use crate::files::Files;
use crate::frame;
use crate::record::{self, Head, Record, Vote};
use crate::segment::{self, TEMPORARY};

/// Bytes after which a new segment is started.
const SEGMENT_BYTES: usize = 8 << 20;

/// What a folder held.
#[derive(Debug)]
pub struct Opened {
    /// Identity of the disk.
    pub disk: Disk,
    /// Whether this is the first start on the folder.
    pub is_new: bool,
    /// Bytes of an incomplete write that were dropped from the end of the log.
    pub torn: u64,
    /// Recovered state of the replicated log.
    pub saved: Contents,
}

/// Files of a control instance.
///
/// Calls are made in the order of the node's writes; what they wrote is durable after
/// [`Wal::sync`]. After any error the log refuses every call: a failed sync may have dropped the
/// bytes, and a later sync of the same file would succeed without them.
#[derive(Debug)]
pub struct Wal<F: Files> {
    pub(crate) files: F,
    pub(crate) folder: PathBuf,
    /// Held so that no second process opens the folder.
    pub(crate) lock: Option<F::File>,
    /// Number of each segment and the index before its first entry. Invariant: never empty.
    pub(crate) segments: Vec<(u64, u64)>,
    /// The last segment.
    pub(crate) file: Option<F::File>,
    pub(crate) size: usize,
    pub(crate) is_dirty: bool,
    /// First index and epoch of each run of equal epochs; the first run starts at the base.
    pub(crate) runs: Vec<(u64, Epoch)>,
    pub(crate) last: u64,
    pub(crate) snapshot: u64,
    pub(crate) is_failed: bool,
}

impl<F: Files> Wal<F> {
    /// Adds entries after the last one.
    ///
    /// # Errors
    ///
    /// Fails if an earlier call failed, if the entries don't follow the last one without a gap, or
    /// if they can't be encoded or written.
    pub fn append(&mut self, entries: &[Entry]) -> Result<()> {
        self.guard("append to the log", |wal| {
            for entry in entries {
                let Position { epoch, index } = entry.position;
                ensure!(index == wal.last + 1, "entry {index} after {}", wal.last);
                wal.last = index;
                if wal.runs.last().is_none_or(|(_, last)| *last != epoch) {
                    wal.runs.push((index, epoch));
                }
            }
            wal.put(&Record::Entries(entries.iter().map(Into::into).collect()))?;
            if wal.size >= SEGMENT_BYTES {
                wal.rotate(false)?;
            }
            Ok(())
        })
    }

    /// Removes the entries from an index on.
    ///
    /// # Errors
    ///
    /// Fails if an earlier call failed, if the index is in the snapshot, or if the record can't be
    /// written.
    pub fn truncate(&mut self, from: u64) -> Result<()> {
        self.guard("truncate the log", |wal| {
            ensure!(from > wal.snapshot, "entry {from} is in the snapshot");
            wal.last = wal.last.min(from - 1);
            wal.runs.retain(|(first, _)| *first < from);
            wal.put(&Record::Truncate(from))
        })
    }

    /// Replaces the epoch and the vote, durably at once.
    ///
    /// # Errors
    ///
    /// Fails if an earlier call failed or if the vote file can't be written or synced.
    pub fn save(&mut self, epoch: Epoch, vote: Option<&Identity>) -> Result<()> {
        self.guard("save the vote", |wal| {
            let vote = vote.map(|who| (who.instance.as_str(), who.disk.0));
            let epoch = epoch.0;
            let bytes = record::encode(&Vote { epoch, vote })?;
            wal.replace(segment::VOTE, &[&bytes])
        })
    }

    /// Saves a snapshot and drops the segments before it.
    ///
    /// # Errors
    ///
    /// Fails if an earlier call failed, if the snapshot is after the last entry, or if a file can't
    /// be written, synced or removed.
    pub fn compact(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.guard("save a snapshot", |wal| {
            let index = snapshot.position.index;
            ensure!(index <= wal.last, "snapshot {index} after {}", wal.last);
            wal.keep(snapshot)?;
            wal.rotate(false)?;
            wal.drop_before(index)
        })
    }

    /// Saves a snapshot that replaces the whole log.
    ///
    /// # Errors
    ///
    /// Fails if an earlier call failed or if a file can't be written, synced or removed.
    pub fn install(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.guard("install a snapshot", |wal| {
            let Position { epoch, index } = snapshot.position;
            wal.keep(snapshot)?;
            wal.last = index;
            wal.runs = vec![(index, epoch)];
            wal.rotate(true)?;
            wal.drop_before(index)
        })
    }

    /// Makes all earlier calls durable.
    ///
    /// # Errors
    ///
    /// Fails if an earlier call failed or if the current segment can't be synced.
    pub fn sync(&mut self) -> Result<()> {
        self.guard("sync the log", Self::flush)
    }

    /// Runs a step; its failure is final.
    fn guard(&mut self, what: &str, step: impl FnOnce(&mut Self) -> Result<()>) -> Result<()> {
        ensure!(!self.is_failed, "an earlier write to the disk failed");
        let result = step(self);
        self.is_failed = result.is_err();
        result.with_context(|| format!("{what} in {}", self.folder.display()))
    }

    fn put(&mut self, record: &Record<'_>) -> Result<()> {
        let mut bytes = Vec::new();
        frame::put(&mut bytes, &record::encode(record)?)?;
        let file = self.file.as_mut().context("no open segment")?;
        self.is_dirty = true;
        self.files.write(file, &bytes)?;
        self.size += bytes.len();
        Ok(())
    }

    fn flush(&mut self) -> Result<()> {
        if let Some(file) = self.file.as_mut().filter(|_| self.is_dirty) {
            self.files.sync(file)?;
        }
        self.is_dirty = false;
        Ok(())
    }

    /// Starts a new segment, durably. A fresh one makes the segments before it void.
    pub(crate) fn rotate(&mut self, fresh: bool) -> Result<()> {
        self.flush()?;
        let number = self.segments.last().map_or(1, |(number, _)| number + 1);
        let path = self.folder.join(segment::segment(number));
        self.file = Some(self.files.create(&path)?);
        self.size = 0;
        let index = self.last;
        let epoch = self.runs.last().map_or(0, |(_, epoch)| epoch.0);
        self.put(&Record::Start {
            epoch,
            index,
            fresh,
        })?;
        self.flush()?;
        self.files.sync_folder(&self.folder)?;
        self.segments.push((number, index));
        Ok(())
    }

    fn keep(&mut self, snapshot: &Snapshot) -> Result<()> {
        let Position { epoch, index } = snapshot.position;
        let head = record::encode(&Head {
            epoch: epoch.0,
            index,
            members: snapshot.members.iter().map(Into::into).collect(),
        })?;
        self.replace(&segment::snapshot(index), &[&head, &snapshot.data])
    }

    /// Writes a file as a whole: it holds either the old or the new content after a stop.
    pub(crate) fn replace(&mut self, name: &str, records: &[&[u8]]) -> Result<()> {
        let mut bytes = Vec::new();
        for record in records {
            frame::put(&mut bytes, record)?;
        }
        let path = self.folder.join(name);
        let temporary = self.folder.join(format!("{name}{TEMPORARY}"));
        let mut file = self.files.create(&temporary)?;
        self.files.write(&mut file, &bytes)?;
        self.files.sync(&mut file)?;
        self.files.rename(&temporary, &path)?;
        self.files.sync_folder(&self.folder)?;
        Ok(())
    }

    /// Drops what a durable snapshot replaces, oldest first so that no gap is left by a stop.
    fn drop_before(&mut self, index: u64) -> Result<()> {
        while let [(number, _), (_, start), ..] = self.segments[..]
            && start <= index
        {
            let path = self.folder.join(segment::segment(number));
            self.files.remove(&path)?;
            self.segments.remove(0);
        }
        if self.snapshot > 0 && self.snapshot != index {
            let path = self.folder.join(segment::snapshot(self.snapshot));
            self.files.remove(&path)?;
        }
        self.snapshot = index;
        self.files.sync_folder(&self.folder)?;
        Ok(())
    }

    /// Path of a file, for messages and reads.
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
            Write::SaveVote { epoch, vote } => self.save(*epoch, vote.as_ref()),
            Write::Compact(snapshot) => self.compact(snapshot),
            Write::Install(snapshot) => self.install(snapshot),
        }
    }

    fn sync(&mut self) -> Result<()> {
        Self::sync(self)
    }
}

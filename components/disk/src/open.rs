//! Opening of the data folder and recovery of its content.

use std::path::Path;

use anyhow::{Context, Result, ensure};
use consensus::{Contents, Disk, Entry, Epoch, Identity, Position, Snapshot};
use rand::{Rng, RngExt as _};
use types::Name;

use crate::file_names::{self, FolderListing};
use crate::file_system::Files;
use crate::frame;
use crate::full;
use crate::record::{self, FORMAT_VERSION, SnapshotHeader, Vote};
use crate::replay::Replay;
use crate::wal::{Opened, Wal};

impl<F: Files> Wal<F> {
    /// Opens a folder, creates it at the first start, and recovers its content.
    ///
    /// `rng` provides the identity of a new disk.
    ///
    /// # Errors
    ///
    /// Fails if another process uses the folder, if a file operation fails, or if the content is
    /// damaged, inconsistent or of an unsupported version. With [`Full`](crate::Full), opening can
    /// be tried again.
    pub fn open(fs: F, folder: &Path, rng: &mut impl Rng) -> Result<(Self, Opened)> {
        let mut wal = Self {
            fs,
            folder: folder.to_owned(),
            lock: None,
            segments: Vec::new(),
            segment_file: None,
            segment_size: 0,
            synced_size: 0,
            has_partial_record: false,
            epoch_runs: vec![(0, Epoch::default())],
            last_index: 0,
            snapshot_index: 0,
            is_failed: false,
        };
        let opened = wal
            .recover(rng)
            .with_context(|| format!("open the data folder {}", folder.display()))?;
        Ok((wal, opened))
    }

    fn recover(&mut self, rng: &mut impl Rng) -> Result<Opened> {
        self.fs.create_folder(&self.folder).map_err(full::convert)?;
        let lock = self.fs.lock(&self.path(file_names::LOCK_FILE));
        let lock = lock.map_err(full::convert).context("lock the folder")?;
        self.lock = Some(lock);
        let listing = FolderListing::new(self.fs.list(&self.folder)?)?;
        for name in &listing.temporary_files {
            let path = self.path(name);
            self.fs.remove(&path)?;
        }
        let identity = if listing.has_identity {
            self.read_identity().context(file_names::IDENTITY_FILE)?
        } else {
            self.write_identity(rng.random())?
        };
        let (epoch, vote) = if listing.has_vote {
            self.read_vote().context(file_names::VOTE_FILE)?
        } else {
            (Epoch::default(), None)
        };
        let snapshot = self.read_snapshot(&listing)?;
        let (entries, torn_bytes) = self.read_log(&listing, snapshot.position)?;
        let latest = entries
            .last()
            .map_or(snapshot.position, |entry| entry.position);
        ensure!(
            latest.epoch <= epoch,
            "the vote file is older than the log: epoch {} before {}",
            epoch.0,
            latest.epoch.0
        );
        if identity.version < FORMAT_VERSION {
            // From now on, earlier builds can't read what is written.
            self.write_identity(identity.disk)?;
        }
        // A rename or removal that was made before the last stop may not be durable yet.
        self.fs.sync_folder(&self.folder)?;
        Ok(Opened {
            disk: Disk(identity.disk),
            is_new: !listing.has_identity,
            torn_bytes,
            saved: Contents {
                epoch,
                vote,
                snapshot,
                entries,
            },
        })
    }

    fn write_identity(&mut self, disk: u64) -> Result<record::Identity> {
        let version = FORMAT_VERSION;
        let identity = record::Identity { version, disk };
        let bytes = record::encode(&identity)?;
        self.replace_file(file_names::IDENTITY_FILE, &[&bytes])?;
        Ok(identity)
    }

    fn read_identity(&self) -> Result<record::Identity> {
        let bytes = self.fs.read(&self.path(file_names::IDENTITY_FILE))?;
        let records = frame::read_all_records(&bytes)?;
        let identity: record::Identity =
            record::decode(records.first().context("the file has no record")?)?;
        ensure!(
            (1..=FORMAT_VERSION).contains(&identity.version),
            "file format version {} is not supported",
            identity.version
        );
        Ok(identity)
    }

    fn read_vote(&self) -> Result<(Epoch, Option<Identity>)> {
        let bytes = self.fs.read(&self.path(file_names::VOTE_FILE))?;
        let records = frame::read_all_records(&bytes)?;
        let raw: Vote<'_> = record::decode(records.first().context("the file has no record")?)?;
        let vote = match raw.vote {
            Some((instance, disk)) => Some(Identity {
                instance: Name::try_from(instance)?,
                disk: Disk(disk),
            }),
            None => None,
        };
        Ok((Epoch(raw.epoch), vote))
    }

    /// Reads the latest snapshot and removes older ones.
    fn read_snapshot(&mut self, listing: &FolderListing) -> Result<Snapshot> {
        let Some((latest, older)) = listing.snapshots.split_last() else {
            return Ok(Snapshot::default());
        };
        for index in older {
            let path = self.path(&file_names::snapshot_name(*index));
            self.fs.remove(&path)?;
        }
        self.snapshot_index = *latest;
        let name = file_names::snapshot_name(*latest);
        let bytes = self.fs.read(&self.path(&name))?;
        parse_snapshot(&bytes, *latest).context(name)
    }

    /// Reads the segments, drops a torn tail and opens the last segment for appending.
    ///
    /// Returns the entries after the snapshot and the size of the torn tail in bytes.
    fn read_log(
        &mut self,
        listing: &FolderListing,
        snapshot: Position,
    ) -> Result<(Vec<Entry>, u64)> {
        let mut replay = Replay::default();
        let mut torn_bytes = 0;
        for (order, number) in listing.segments.iter().enumerate() {
            let name = file_names::segment_name(*number);
            let path = self.path(&name);
            let bytes = self.fs.read(&path)?;
            let is_last = order + 1 == listing.segments.len();
            let replayed = replay.read_segment(&bytes, is_last).context(name)?;
            if is_last {
                torn_bytes = (bytes.len() - replayed.complete_bytes) as u64;
            }
            let Some(start_index) = replayed.start_index else {
                // The process stopped before the first record of a new segment was durable.
                self.fs.remove(&path)?;
                self.fs.sync_folder(&self.folder)?;
                break;
            };
            self.segments.push((*number, start_index));
            self.segment_size = replayed.complete_bytes;
        }
        let entries = replay.entries_after(snapshot)?;
        let is_void = entries.is_none();
        let entries = entries.unwrap_or_default();
        self.last_index = snapshot.index + entries.len() as u64;
        self.epoch_runs = epoch_runs(snapshot, &entries);
        self.remove_leftovers(listing)?;
        self.open_last_segment()?;
        if is_void || self.segments.is_empty() {
            self.start_segment(self.last_position(), is_void)?;
        }
        Ok((entries, torn_bytes))
    }

    /// Removes segments again whose removal was not durable. The snapshot covers them, as it covers
    /// everything before the segments that were read.
    fn remove_leftovers(&mut self, listing: &FolderListing) -> Result<()> {
        for number in &listing.leftover_segments {
            let path = self.path(&file_names::segment_name(*number));
            self.fs.remove(&path)?;
        }
        Ok(())
    }

    /// Opens the last segment, if there is one, for appending and cuts off what follows its last
    /// complete record.
    fn open_last_segment(&mut self) -> Result<()> {
        let Some((number, _)) = self.segments.last() else {
            return Ok(());
        };
        let path = self.path(&file_names::segment_name(*number));
        let mut file = self.fs.open_append(&path)?;
        self.fs
            .set_length(&mut file, self.segment_size as u64)
            .map_err(full::convert)?;
        // Bytes that were written but not synced before the stop are reported as durable.
        self.fs.sync(&mut file)?;
        self.synced_size = self.segment_size;
        self.segment_file = Some(file);
        Ok(())
    }
}

/// First index and epoch of each run of entries with equal epochs, starting at the snapshot.
fn epoch_runs(snapshot: Position, entries: &[Entry]) -> Vec<(u64, Epoch)> {
    let mut runs = vec![(snapshot.index, snapshot.epoch)];
    for entry in entries {
        let Position { epoch, index } = entry.position;
        if runs
            .last()
            .is_none_or(|(_, last_epoch)| *last_epoch != epoch)
        {
            runs.push((index, epoch));
        }
    }
    runs
}

fn parse_snapshot(bytes: &[u8], index: u64) -> Result<Snapshot> {
    let records = frame::read_all_records(bytes)?;
    let [header, data] = records[..] else {
        anyhow::bail!("{} records instead of 2", records.len());
    };
    let header: SnapshotHeader<'_> = record::decode(header)?;
    ensure!(
        header.index == index,
        "the file contains the snapshot at index {}",
        header.index
    );
    Ok(Snapshot {
        position: Position::new(Epoch(header.epoch), index),
        members: record::convert_members(header.members)?,
        data: data.to_vec(),
    })
}

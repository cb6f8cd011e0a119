//! Recovery of a folder.

use std::path::Path;

use anyhow::{Context, Result, ensure};
use consensus::{Contents, Disk, Entry, Epoch, Identity, Position, Snapshot};
use rand::{Rng, RngExt};
use types::Name;

use crate::files::Files;
use crate::frame;
use crate::record::{self, Head, VERSION, Vote};
use crate::replay::Replay;
use crate::segment::{self, Listing};
use crate::wal::{Opened, Wal};

impl<F: Files> Wal<F> {
    /// Opens a folder, which is made at the first start, and recovers all that it holds.
    ///
    /// The generator provides the identity of a new disk.
    ///
    /// # Errors
    ///
    /// Fails if another process uses the folder, if a file operation fails, or if the content is
    /// damaged, inconsistent or of an unsupported version.
    pub fn open(files: F, folder: &Path, rng: &mut impl Rng) -> Result<(Self, Opened)> {
        let mut wal = Self {
            files,
            folder: folder.to_owned(),
            lock: None,
            segments: Vec::new(),
            file: None,
            size: 0,
            is_dirty: false,
            runs: vec![(0, Epoch::default())],
            last: 0,
            snapshot: 0,
            is_failed: false,
        };
        let opened = wal
            .recover(rng)
            .with_context(|| format!("open the data folder {}", folder.display()))?;
        Ok((wal, opened))
    }

    fn recover(&mut self, rng: &mut impl Rng) -> Result<Opened> {
        self.files.create_folder(&self.folder)?;
        let lock = self.path(segment::LOCK);
        self.lock = Some(self.files.lock(&lock).context("the folder is in use")?);
        let listing = Listing::new(self.files.list(&self.folder)?)?;
        for name in &listing.leftovers {
            let path = self.path(name);
            self.files.remove(&path)?;
        }
        let disk = if listing.has_identity {
            self.read_identity().context(segment::IDENTITY)?
        } else {
            self.make_identity(rng)?
        };
        let (epoch, vote) = if listing.has_vote {
            self.read_vote().context(segment::VOTE)?
        } else {
            (Epoch::default(), None)
        };
        let snapshot = self.read_snapshot(&listing)?;
        let (entries, torn) = self.read_log(&listing, snapshot.position)?;
        let latest = entries.last().map_or(snapshot.position, |e| e.position);
        ensure!(
            latest.epoch <= epoch,
            "the vote file is older than the log: epoch {} before {}",
            epoch.0,
            latest.epoch.0
        );
        // A rename or removal before the last stop may not be durable yet.
        self.files.sync_folder(&self.folder)?;
        Ok(Opened {
            disk,
            is_new: !listing.has_identity,
            torn,
            saved: Contents {
                epoch,
                vote,
                snapshot,
                entries,
            },
        })
    }

    fn make_identity(&mut self, rng: &mut impl Rng) -> Result<Disk> {
        let disk = rng.random::<u64>();
        let version = VERSION;
        let bytes = record::encode(&record::Identity { version, disk })?;
        self.replace(segment::IDENTITY, &[&bytes])?;
        Ok(Disk(disk))
    }

    fn read_identity(&self) -> Result<Disk> {
        let bytes = self.files.read(&self.path(segment::IDENTITY))?;
        let records = frame::read_all(&bytes)?;
        let identity: record::Identity = record::decode(records.first().context("is empty")?)?;
        ensure!(
            identity.version == VERSION,
            "version {} is not supported",
            identity.version
        );
        Ok(Disk(identity.disk))
    }

    fn read_vote(&self) -> Result<(Epoch, Option<Identity>)> {
        let bytes = self.files.read(&self.path(segment::VOTE))?;
        let records = frame::read_all(&bytes)?;
        let raw: Vote<'_> = record::decode(records.first().context("is empty")?)?;
        let vote = match raw.vote {
            Some((instance, disk)) => Some(Identity {
                instance: Name::try_from(instance)?,
                disk: Disk(disk),
            }),
            None => None,
        };
        Ok((Epoch(raw.epoch), vote))
    }

    /// Reads the last snapshot and removes older ones.
    fn read_snapshot(&mut self, listing: &Listing) -> Result<Snapshot> {
        let Some((last, older)) = listing.snapshots.split_last() else {
            return Ok(Snapshot::default());
        };
        for index in older {
            let path = self.path(&segment::snapshot(*index));
            self.files.remove(&path)?;
        }
        self.snapshot = *last;
        let name = segment::snapshot(*last);
        let bytes = self.files.read(&self.path(&name))?;
        parse(&bytes, *last).context(name)
    }

    /// Reads the segments, drops a torn tail and continues the last segment.
    fn read_log(&mut self, listing: &Listing, snapshot: Position) -> Result<(Vec<Entry>, u64)> {
        let mut replay = Replay::default();
        let mut torn = 0;
        for (place, number) in listing.segments.iter().enumerate() {
            let name = segment::segment(*number);
            let path = self.path(&name);
            let bytes = self.files.read(&path)?;
            let is_last = place + 1 == listing.segments.len();
            let found = replay.read(&bytes, is_last).context(name)?;
            if is_last {
                torn = (bytes.len() - found.length) as u64;
            }
            let Some(start) = found.start else {
                // The stop came before the first record of a new segment was durable.
                self.files.remove(&path)?;
                self.files.sync_folder(&self.folder)?;
                break;
            };
            self.segments.push((*number, start));
            self.size = found.length;
        }
        let last = replay.last();
        let Some(entries) = replay.after(snapshot)? else {
            self.last = snapshot.index;
            self.runs = vec![(snapshot.index, snapshot.epoch)];
            self.rotate(true)?;
            return Ok((Vec::new(), torn));
        };
        self.last = last.index;
        self.runs = runs(snapshot, &entries);
        self.continue_segment()?;
        Ok((entries, torn))
    }

    /// Opens the last segment at the end of its last complete record.
    fn continue_segment(&mut self) -> Result<()> {
        let Some((number, _)) = self.segments.last() else {
            return self.rotate(false);
        };
        let path = self.path(&segment::segment(*number));
        let mut file = self.files.open(&path)?;
        self.files.truncate(&mut file, self.size as u64)?;
        // What was written but not synced before the stop counts as durable from now on.
        self.files.sync(&mut file)?;
        self.file = Some(file);
        Ok(())
    }
}

/// Runs of equal epochs after a snapshot.
fn runs(snapshot: Position, entries: &[Entry]) -> Vec<(u64, Epoch)> {
    let mut runs = vec![(snapshot.index, snapshot.epoch)];
    for entry in entries {
        let Position { epoch, index } = entry.position;
        if runs.last().is_none_or(|(_, last)| *last != epoch) {
            runs.push((index, epoch));
        }
    }
    runs
}

fn parse(bytes: &[u8], index: u64) -> Result<Snapshot> {
    let records = frame::read_all(bytes)?;
    let [head, data] = records[..] else {
        anyhow::bail!("{} records in place of 2", records.len());
    };
    let head: Head<'_> = record::decode(head)?;
    ensure!(head.index == index, "holds the snapshot {}", head.index);
    Ok(Snapshot {
        position: Position::new(Epoch(head.epoch), index),
        members: record::members(head.members)?,
        data: data.to_vec(),
    })
}

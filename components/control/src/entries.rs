//! Streams from entries, and the recent commands that bring a reconnecting entry up to date.

use std::collections::{BTreeMap, VecDeque};

use anyhow::Result;
use catalog::Catalog;
use tokio::sync::mpsc;
use types::{Name, Revision};
use wire::{Command, Down};

use crate::event::StreamId;

/// Limit of commands kept for entries that reconnect. An entry farther behind receives the whole
/// catalog.
const MAX_RECENT_COMMANDS: usize = 4096;

/// An entry as it introduced itself.
#[derive(Clone, Debug)]
pub struct Entry {
    pub instance: Name,
    /// Failure domain.
    pub domain: Name,
    /// Number that identifies this run of the entry process.
    pub boot: u64,
}

#[derive(Debug)]
struct Stream {
    sender: mpsc::Sender<Down>,
    /// Set once the entry has introduced itself; from then on it receives every command.
    entry: Option<Entry>,
}

/// Streams from entries. A stream whose queue is full is dropped, and its entry dials again.
#[derive(Debug, Default)]
pub struct Streams {
    streams: BTreeMap<StreamId, Stream>,
    /// Commands with their revisions, oldest first, without gaps up to the catalog's revision.
    recent: VecDeque<(Revision, Command)>,
}

impl Streams {
    pub fn open(&mut self, id: StreamId, sender: mpsc::Sender<Down>) {
        self.streams.insert(
            id,
            Stream {
                sender,
                entry: None,
            },
        );
    }

    /// Removes a stream that has ended or is not to be used any more.
    pub fn close(&mut self, id: StreamId) {
        self.streams.remove(&id);
    }

    /// Drops every stream, as after a loss of leadership.
    pub fn close_all(&mut self) {
        self.streams.clear();
    }

    /// The entry of a stream, if it has introduced itself.
    #[must_use]
    pub fn entry(&self, id: StreamId) -> Option<&Entry> {
        self.streams.get(&id)?.entry.as_ref()
    }

    /// Number of entries that have introduced themselves.
    #[must_use]
    pub fn count(&self) -> usize {
        self.streams
            .values()
            .filter(|stream| stream.entry.is_some())
            .count()
    }

    /// Sends a message. Drops the stream if its queue is full or closed.
    pub fn send(&mut self, id: StreamId, message: Down) {
        let failed = self
            .streams
            .get(&id)
            .is_some_and(|s| s.sender.try_send(message).is_err());
        if failed {
            self.streams.remove(&id);
        }
    }

    /// Registers the entry of a stream and sends the part of `catalog` after the revision that the
    /// entry has confirmed.
    ///
    /// # Errors
    /// Fails if the catalog can't be encoded.
    pub fn introduce(
        &mut self,
        id: StreamId,
        entry: Entry,
        confirmed: Revision,
        catalog: &Catalog,
    ) -> Result<()> {
        // An entry may reconnect before the end of its old stream was noticed.
        self.streams.retain(|other, stream| {
            *other == id
                || stream
                    .entry
                    .as_ref()
                    .is_none_or(|e| e.instance != entry.instance)
        });
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.entry = Some(entry);
        }
        if confirmed == catalog.revision() && confirmed > Revision(0) {
            return Ok(());
        }
        let is_covered = self
            .recent
            .front()
            .is_some_and(|(first, _)| confirmed >= *first);
        if is_covered && confirmed < catalog.revision() {
            let missing: Vec<_> = self
                .recent
                .iter()
                .filter(|(r, _)| *r > confirmed)
                .cloned()
                .collect();
            for (revision, command) in missing {
                self.send(
                    id,
                    Down::Update {
                        revision: revision.0,
                        command,
                    },
                );
            }
            return Ok(());
        }
        let mut bytes = Vec::new();
        catalog.encode(&mut bytes)?;
        self.send(
            id,
            Down::Snapshot {
                revision: catalog.revision().0,
                catalog: bytes.into(),
            },
        );
        Ok(())
    }

    /// Sends an applied command to all introduced entries, and keeps it for those that reconnect
    /// later.
    pub fn publish(&mut self, revision: Revision, command: &Command) {
        if self.recent.len() == MAX_RECENT_COMMANDS {
            self.recent.pop_front();
        }
        self.recent.push_back((revision, command.clone()));
        self.streams.retain(|_, stream| {
            let update = Down::Update {
                revision: revision.0,
                command: command.clone(),
            };
            stream.entry.is_none() || stream.sender.try_send(update).is_ok()
        });
    }

    /// Drops the recent commands and all streams after the catalog was replaced.
    pub fn reset(&mut self) {
        self.recent.clear();
        self.streams.clear();
    }
}

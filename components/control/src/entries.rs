//! Streams from entries, and the recent commands that bring an entry up to date.

use std::collections::{BTreeMap, VecDeque};

use anyhow::Result;
use catalog::Catalog;
use tokio::sync::mpsc;
use types::{Name, Revision};
use wire::{Command, Down};

use crate::event::StreamId;

/// Commands kept for entries that were away; one farther behind gets the whole catalog.
const RECENT: usize = 4096;

/// What an entry said of itself.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name.
    pub instance: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Number of its start.
    pub boot: u64,
}

#[derive(Debug)]
struct Stream {
    out: mpsc::Sender<Down>,
    /// Set once the entry has introduced itself; it then gets every command.
    peer: Option<Peer>,
}

/// Streams from entries. A stream that is not read is dropped; its entry dials again.
#[derive(Debug, Default)]
pub struct Streams {
    streams: BTreeMap<StreamId, Stream>,
    /// Commands with their revisions, oldest first, without gaps up to the catalog's revision.
    recent: VecDeque<(Revision, Command)>,
}

impl Streams {
    /// A stream was opened.
    pub fn open(&mut self, id: StreamId, out: mpsc::Sender<Down>) {
        self.streams.insert(id, Stream { out, peer: None });
    }

    /// A stream has ended or is given up.
    pub fn close(&mut self, id: StreamId) {
        self.streams.remove(&id);
    }

    /// Gives every stream up, as after the loss of leadership.
    pub fn close_all(&mut self) {
        self.streams.clear();
    }

    /// What the entry of a stream said of itself.
    #[must_use]
    pub fn peer(&self, id: StreamId) -> Option<&Peer> {
        self.streams.get(&id)?.peer.as_ref()
    }

    /// Number of entries that get every command.
    #[must_use]
    pub fn count(&self) -> usize {
        self.streams
            .values()
            .filter(|stream| stream.peer.is_some())
            .count()
    }

    /// Sends a message; gives the stream up if it takes none.
    pub fn send(&mut self, id: StreamId, message: Down) {
        let failed = self
            .streams
            .get(&id)
            .is_some_and(|s| s.out.try_send(message).is_err());
        if failed {
            self.streams.remove(&id);
        }
    }

    /// Takes an entry's introduction and sends what it lacks of `catalog`.
    ///
    /// # Errors
    /// Fails if the catalog can't be encoded.
    pub fn introduce(
        &mut self,
        id: StreamId,
        peer: Peer,
        has: Revision,
        catalog: &Catalog,
    ) -> Result<()> {
        // A process that reconnects before its old stream is known to have ended.
        self.streams.retain(|known, stream| {
            *known == id
                || stream
                    .peer
                    .as_ref()
                    .is_none_or(|p| p.instance != peer.instance)
        });
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.peer = Some(peer);
        }
        if has == catalog.revision() && has > Revision(0) {
            return Ok(());
        }
        let known = self.recent.front().is_some_and(|(first, _)| has >= *first);
        if known && has < catalog.revision() {
            let missing: Vec<_> = self
                .recent
                .iter()
                .filter(|(r, _)| *r > has)
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

    /// Sends an applied command to all introduced entries, and keeps it for those that are away.
    pub fn publish(&mut self, revision: Revision, command: &Command) {
        if self.recent.len() == RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back((revision, command.clone()));
        self.streams.retain(|_, stream| {
            let update = Down::Update {
                revision: revision.0,
                command: command.clone(),
            };
            stream.peer.is_none() || stream.out.try_send(update).is_ok()
        });
    }

    /// Forgets the recent commands after the catalog was replaced.
    pub fn reset(&mut self) {
        self.recent.clear();
        self.streams.clear();
    }
}

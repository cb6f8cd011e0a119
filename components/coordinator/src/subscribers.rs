//! Streams from entries: each gets the registry and then every order.

use std::collections::BTreeMap;

use registry::Registry;
use tokio::sync::mpsc;
use wire::{Complaint, Publish};

use crate::event::StreamId;

#[derive(Debug)]
struct Stream {
    out: mpsc::Sender<Publish>,
    /// Name of the entry, once it has introduced itself; it then gets every order.
    entry: Option<String>,
    /// Primaries that it can't use, as (service, identity).
    complaints: Vec<(String, String)>,
}

/// Streams from entries. A stream that is not read is dropped; its entry dials again.
#[derive(Debug, Default)]
pub struct Subscribers {
    streams: BTreeMap<StreamId, Stream>,
}

impl Subscribers {
    /// A stream was opened.
    pub fn open(&mut self, id: StreamId, out: mpsc::Sender<Publish>) {
        let stream = Stream {
            out,
            entry: None,
            complaints: Vec::new(),
        };
        self.streams.insert(id, stream);
    }

    /// A stream has ended or is given up.
    pub fn close(&mut self, id: StreamId) {
        self.streams.remove(&id);
    }

    /// Number of entries that get every order.
    #[must_use]
    pub fn count(&self) -> usize {
        let streams = self.streams.values();
        streams.filter(|stream| stream.entry.is_some()).count()
    }

    /// An entry introduced itself: it gets the whole registry.
    pub fn introduce(&mut self, id: StreamId, entry: String, registry: &Registry) {
        // A process that reconnects before its old stream is known to have ended.
        self.streams
            .retain(|known, stream| *known == id || stream.entry.as_ref() != Some(&entry));
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.entry = Some(entry);
        }
        self.send(id, Publish::Snapshot(registry.into()));
    }

    /// Replaces what an entry complains of.
    pub fn complain(&mut self, id: StreamId, complaints: Vec<Complaint>) {
        if let Some(stream) = self.streams.get_mut(&id) {
            let complaints = complaints.into_iter();
            stream.complaints = complaints.map(|it| (it.service, it.id)).collect();
        }
    }

    /// What all entries complain of, counted.
    #[must_use]
    pub fn complaints(&self) -> Vec<Complaint> {
        let mut counts: BTreeMap<(&str, &str), u32> = BTreeMap::new();
        for (service, id) in self.streams.values().flat_map(|s| &s.complaints) {
            *counts.entry((service, id)).or_default() += 1;
        }
        let complaint = |((service, id), entries): ((&str, &str), u32)| Complaint {
            service: service.to_owned(),
            id: id.to_owned(),
            entries,
        };
        counts.into_iter().map(complaint).collect()
    }

    /// Sends a message to one entry.
    pub fn send(&mut self, id: StreamId, message: Publish) {
        let failed = self
            .streams
            .get(&id)
            .is_some_and(|stream| stream.out.try_send(message).is_err());
        if failed {
            self.streams.remove(&id);
        }
    }

    /// Sends a message to all introduced entries.
    pub fn publish(&mut self, message: &Publish) {
        self.streams.retain(|_, stream| {
            stream.entry.is_none() || stream.out.try_send(message.clone()).is_ok()
        });
    }

    /// Sends the whole registry to all introduced entries, as it was replaced.
    pub fn reset(&mut self, registry: &Registry) {
        self.publish(&Publish::Snapshot(registry.into()));
    }
}

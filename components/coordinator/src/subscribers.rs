//! Streams from entries. Each entry receives the whole registry and then every order.

use std::collections::BTreeMap;

use link::Frame;
use registry::{Plan, Registry};
use tokio::sync::mpsc;
use wire::{Complaint, Neighbour, Publish};

use crate::event::StreamId;

#[derive(Debug)]
struct Stream {
    outgoing: mpsc::Sender<Frame>,
    /// The entry, once it has introduced itself. From then on it receives every order.
    entry: Option<Neighbour>,
    /// The entry has announced that it stops.
    stopping: bool,
    /// Primaries that the entry can't use, as (service, server identity).
    complaints: Vec<(String, String)>,
}

/// Streams from entries. A stream whose queue is full is dropped; its entry connects again.
#[derive(Debug, Default)]
pub struct Subscribers {
    streams: BTreeMap<StreamId, Stream>,
    /// Encoded registry and its revision, for entries that subscribe.
    registry: Option<(u64, Frame)>,
    /// Encoded plan and its version, for entries that subscribe.
    plan: Option<(u64, Frame)>,
}

impl Subscribers {
    pub fn open(&mut self, id: StreamId, outgoing: mpsc::Sender<Frame>) {
        let stream = Stream {
            outgoing,
            entry: None,
            stopping: false,
            complaints: Vec::new(),
        };
        self.streams.insert(id, stream);
    }

    pub fn close(&mut self, id: StreamId) {
        self.streams.remove(&id);
    }

    /// Number of entries that have introduced themselves.
    #[must_use]
    pub fn count(&self) -> usize {
        let streams = self.streams.values();
        streams.filter(|stream| stream.entry.is_some()).count()
    }

    /// Handles the introduction of an entry, and sends it the whole registry.
    pub fn introduce(&mut self, id: StreamId, entry: Neighbour, registry: &Registry, plan: &Plan) {
        // A process may reconnect before the end of its old stream is noticed.
        let is_same_entry = |stream: &Stream| {
            let known = stream.entry.as_ref();
            known.is_some_and(|known| known.instance == entry.instance)
        };
        self.streams
            .retain(|known, stream| *known == id || !is_same_entry(stream));
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.entry = Some(entry);
        }
        self.send_snapshot(id, registry, plan);
    }

    fn send_snapshot(&mut self, id: StreamId, registry: &Registry, plan: &Plan) {
        if self.plan.as_ref().is_none_or(|(at, _)| *at != plan.version) {
            let message = Publish::Plan(plan.change_from(&Plan::default()));
            self.plan = encode(&message).map(|frame| (plan.version, frame));
        }
        let revision = registry.revision();
        if self.registry.as_ref().is_none_or(|(at, _)| *at != revision) {
            let message = Publish::Snapshot((&registry.without_plan_document()).into());
            self.registry = encode(&message).map(|frame| (revision, frame));
        }
        let plan = self.plan.clone().filter(|_| plan.version > 0);
        for (_, frame) in [plan, self.registry.clone()].into_iter().flatten() {
            self.send_frame(id, frame);
        }
    }

    /// Notes that an entry stops, and returns its name.
    pub fn mark_stopping(&mut self, id: StreamId) -> Option<String> {
        let stream = self.streams.get_mut(&id)?;
        stream.stopping = true;
        stream.entry.as_ref().map(|entry| entry.instance.clone())
    }

    /// The introduced entries that have not announced to stop.
    #[must_use]
    pub fn entries(&self) -> Vec<Neighbour> {
        let streams = self.streams.values().filter(|stream| !stream.stopping);
        streams.filter_map(|stream| stream.entry.clone()).collect()
    }

    /// Sends the list of a failure domain's entries to each of them.
    pub fn publish_to_domain(&mut self, domain: &str, entries: &[Neighbour]) {
        let Some(frame) = encode(&Publish::Entries(entries.to_vec())) else {
            return;
        };
        self.streams.retain(|_, stream| {
            let in_domain = stream
                .entry
                .as_ref()
                .is_some_and(|entry| entry.domain == domain);
            !in_domain || stream.outgoing.try_send(frame.clone()).is_ok()
        });
    }

    /// Replaces the complaints of an entry.
    pub fn set_complaints(&mut self, id: StreamId, complaints: Vec<Complaint>) {
        if let Some(stream) = self.streams.get_mut(&id) {
            let complaints = complaints.into_iter();
            stream.complaints = complaints
                .map(|complaint| (complaint.service, complaint.id))
                .collect();
        }
    }

    /// Complaints with the number of entries that made each.
    #[must_use]
    pub fn complaint_counts(&self) -> Vec<Complaint> {
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

    /// Sends a message to one entry, and drops its stream if the queue is full.
    pub fn send(&mut self, id: StreamId, message: &Publish) {
        if let Some(frame) = encode(message) {
            self.send_frame(id, frame);
        }
    }

    fn send_frame(&mut self, id: StreamId, frame: Frame) {
        let failed = self
            .streams
            .get(&id)
            .is_some_and(|stream| stream.outgoing.try_send(frame).is_err());
        if failed {
            self.streams.remove(&id);
        }
    }

    /// Sends a message to all introduced entries.
    pub fn publish(&mut self, message: &Publish) {
        let Some(frame) = encode(message) else {
            return;
        };
        self.streams.retain(|_, stream| {
            stream.entry.is_none() || stream.outgoing.try_send(frame.clone()).is_ok()
        });
    }

    /// Sends the whole registry and plan to all introduced entries, after both were replaced.
    pub fn resend_all(&mut self, registry: &Registry, plan: &Plan) {
        let introduced = self
            .streams
            .iter()
            .filter(|(_, stream)| stream.entry.is_some());
        for id in introduced.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.send_snapshot(id, registry, plan);
        }
    }
}

/// Returns `None` if the message is too large to be sent.
fn encode(message: &Publish) -> Option<Frame> {
    match Frame::new(message) {
        Ok(frame) => Some(frame),
        Err(error) => {
            tracing::error!(error = %format!("{error:#}"), "can't encode a message for entries; not sent");
            None
        }
    }
}

//! Streams from entries: each gets the registry and then every order.

use std::collections::BTreeMap;

use link::Frame;
use registry::{Plan, Registry};
use tokio::sync::mpsc;
use wire::{Complaint, Neighbour, Publish};

use crate::event::StreamId;

#[derive(Debug)]
struct Stream {
    out: mpsc::Sender<Frame>,
    /// The entry, once it has introduced itself; it then gets every order.
    entry: Option<Neighbour>,
    /// The entry stops.
    leaving: bool,
    /// Primaries that it can't use, as (service, identity).
    complaints: Vec<(String, String)>,
}

/// Streams from entries. A stream that is not read is dropped; its entry dials again.
#[derive(Debug, Default)]
pub struct Subscribers {
    streams: BTreeMap<StreamId, Stream>,
    /// The registry of a revision and the plan of a version, as entries that subscribe are told.
    registry: Option<(u64, Frame)>,
    plan: Option<(u64, Frame)>,
}

impl Subscribers {
    /// A stream was opened.
    pub fn open(&mut self, id: StreamId, out: mpsc::Sender<Frame>) {
        let stream = Stream {
            out,
            entry: None,
            leaving: false,
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
    pub fn introduce(&mut self, id: StreamId, entry: Neighbour, registry: &Registry, plan: &Plan) {
        // A process that reconnects before its old stream is known to have ended.
        let same = |stream: &Stream| {
            let known = stream.entry.as_ref();
            known.is_some_and(|known| known.instance == entry.instance)
        };
        self.streams
            .retain(|known, stream| *known == id || !same(stream));
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.entry = Some(entry);
        }
        self.send_whole(id, registry, plan);
    }

    fn send_whole(&mut self, id: StreamId, registry: &Registry, plan: &Plan) {
        if self.plan.as_ref().is_none_or(|(at, _)| *at != plan.version) {
            let whole = Publish::Plan(plan.change_from(&Plan::default()));
            self.plan = encode(&whole).map(|frame| (plan.version, frame));
        }
        let revision = registry.revision();
        if self.registry.as_ref().is_none_or(|(at, _)| *at != revision) {
            let whole = Publish::Snapshot((&registry.without_plan_document()).into());
            self.registry = encode(&whole).map(|frame| (revision, frame));
        }
        let plan = self.plan.clone().filter(|_| plan.version > 0);
        for (_, frame) in [plan, self.registry.clone()].into_iter().flatten() {
            self.send_frame(id, frame);
        }
    }

    /// An entry stops. Returns its name.
    pub fn leave(&mut self, id: StreamId) -> Option<String> {
        let stream = self.streams.get_mut(&id)?;
        stream.leaving = true;
        stream.entry.as_ref().map(|it| it.instance.clone())
    }

    /// The introduced entries that stay.
    #[must_use]
    pub fn entries(&self) -> Vec<Neighbour> {
        let streams = self.streams.values().filter(|stream| !stream.leaving);
        streams.filter_map(|stream| stream.entry.clone()).collect()
    }

    /// Tells the entries of a failure domain of each other.
    pub fn publish_in(&mut self, domain: &str, entries: &[Neighbour]) {
        let Some(frame) = encode(&Publish::Entries(entries.to_vec())) else {
            return;
        };
        self.streams.retain(|_, stream| {
            let concerned = stream.entry.as_ref().is_some_and(|it| it.domain == domain);
            !concerned || stream.out.try_send(frame.clone()).is_ok()
        });
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
    pub fn send(&mut self, id: StreamId, message: &Publish) {
        if let Some(frame) = encode(message) {
            self.send_frame(id, frame);
        }
    }

    fn send_frame(&mut self, id: StreamId, frame: Frame) {
        let failed = self
            .streams
            .get(&id)
            .is_some_and(|stream| stream.out.try_send(frame).is_err());
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
            stream.entry.is_none() || stream.out.try_send(frame.clone()).is_ok()
        });
    }

    /// Sends registry and plan to all introduced entries, as they were replaced.
    pub fn reset(&mut self, registry: &Registry, plan: &Plan) {
        let introduced = self.streams.iter().filter(|(_, it)| it.entry.is_some());
        for id in introduced.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.send_whole(id, registry, plan);
        }
    }
}

/// None if the message is too large to be sent.
fn encode(message: &Publish) -> Option<Frame> {
    match Frame::new(message) {
        Ok(frame) => Some(frame),
        Err(error) => {
            tracing::error!(error = %format!("{error:#}"), "message for entries not sent");
            None
        }
    }
}

//! Log positions of primaries for entries, which use them to route reads that accept stale data to
//! replicas and so relieve the primary. The leader samples the primaries; other instances request from
//! the leader the samples that their entries ask for.

use std::collections::{BTreeMap, BTreeSet};

use clock::{Boot, Clock as _, Moment};
use cluster::convert::{self, MAX_SERVICES};
use consensus::Identity;
use registry::Sample;
use wire::{Publish, Question};

use crate::api::Api;
use crate::event::StreamId;
use crate::process::Loop;
use crate::servers::Connection;

/// Samples on an instance that does not lead.
#[derive(Debug, Default)]
pub struct Cache {
    samples: BTreeMap<String, Sample>,
    /// Services that entries have asked for since the last request to the leader.
    requested: BTreeSet<String>,
    /// Number of the last request to the leader.
    number: u64,
    requested_at: Moment,
}

impl Cache {
    /// The next request to the leader, if entries have asked for samples.
    fn next_question(&mut self, now: Moment) -> Option<Question> {
        if self.requested.is_empty() {
            return None;
        }
        (self.number, self.requested_at) = (self.number + 1, now);
        Some(Question {
            number: self.number,
            services: std::mem::take(&mut self.requested).into_iter().collect(),
        })
    }

    /// Stores the samples of an answer. Answers to earlier requests are ignored, as the age of their
    /// samples is unknown.
    fn on_answer(&mut self, answer: wire::Samples) {
        if answer.number != self.number {
            return;
        }
        for raw in answer.samples {
            let sample = Sample::from_wire(&raw, self.requested_at);
            self.samples.insert(raw.service, sample);
        }
    }
}

impl<A: Api, C: Connection> Loop<A, C> {
    /// Answers a request for samples from an entry.
    pub(crate) fn on_question(&mut self, id: StreamId, question: Question) {
        if question.services.len() > MAX_SERVICES {
            return self.subscribers.close(id);
        }
        let samples = self.answer_question(&question);
        self.subscribers.send(id, &Publish::Samples(samples));
        if self.leadership.is_none() {
            self.sample_cache.requested.extend(question.services);
        }
    }

    /// Answers a request for samples from another instance.
    pub(crate) fn on_peer_question(&mut self, from: &Identity, question: &Question) {
        let Some(peer) = self.roster.introduction_of(from.instance.as_str()) else {
            return;
        };
        let samples = self.answer_question(question);
        let message = convert::samples(self.node.identity(), samples);
        self.peers.send(peer.address, message);
    }

    fn answer_question(&self, question: &Question) -> wire::Samples {
        let now = Boot.moment();
        let sample = |service: &String| match &self.leadership {
            Some(leadership) => leadership.sample(service, &self.registry),
            None => self.sample_cache.samples.get(service).copied(),
        };
        let services = question.services.iter();
        let samples = services.filter_map(|service| Some(sample(service)?.to_wire(service, now)));
        wire::Samples {
            number: question.number,
            samples: samples.collect(),
        }
    }

    pub(crate) fn on_samples(&mut self, answer: wire::Samples) {
        self.sample_cache.on_answer(answer);
    }

    /// Requests the samples that entries have asked for from the leader.
    pub(crate) fn request_samples(&mut self) {
        let leader = self.node.leader();
        let leader = leader.and_then(|name| self.roster.introduction_of(name.as_str()));
        let Some(address) = leader.map(|leader| leader.address) else {
            return;
        };
        if let Some(question) = self.sample_cache.next_question(Boot.moment()) {
            let message = convert::question(self.node.identity(), question);
            self.peers.send(address, message);
        }
    }
}

//! Positions of primaries for entries: reads that accept an age run on replicas by them, and leave
//! the primary to the statements that need it. The leader asks the primaries; other instances ask the
//! leader for those that their entries want.

use std::collections::{BTreeMap, BTreeSet};

use clock::{Boot, Clock as _, Moment};
use cluster::convert::{self, MAX_SERVICES};
use consensus::Identity;
use registry::Sample;
use wire::{Publish, Question};

use crate::api::Api;
use crate::event::StreamId;
use crate::process::Loop;
use crate::servers::Fleet;

/// What an instance that does not lead knows.
#[derive(Debug, Default)]
pub struct Samples {
    known: BTreeMap<String, Sample>,
    /// Services that entries have asked for since the last question to the leader.
    wanted: BTreeSet<String>,
    number: u64,
    asked_at: Moment,
}

impl Samples {
    /// The next question to the leader, if there is anything to ask.
    fn question(&mut self, now: Moment) -> Option<Question> {
        if self.wanted.is_empty() {
            return None;
        }
        (self.number, self.asked_at) = (self.number + 1, now);
        Some(Question {
            number: self.number,
            services: std::mem::take(&mut self.wanted).into_iter().collect(),
        })
    }

    /// Takes an answer; only one to the latest question tells how old its samples are.
    fn on_answer(&mut self, answer: wire::Samples) {
        if answer.number != self.number {
            return;
        }
        for told in answer.samples {
            let sample = Sample::from_wire(&told, self.asked_at);
            self.known.insert(told.service, sample);
        }
    }
}

impl<A: Api, F: Fleet> Loop<A, F> {
    /// An entry asks.
    pub(crate) fn on_question(&mut self, id: StreamId, question: Question) {
        if question.services.len() > MAX_SERVICES {
            return self.subscribers.close(id);
        }
        let samples = self.answer(&question);
        self.subscribers.send(id, &Publish::Samples(samples));
        if self.lead.is_none() {
            self.samples.wanted.extend(question.services);
        }
    }

    /// Another instance asks.
    pub(crate) fn on_peer_question(&mut self, from: &Identity, question: &Question) {
        let Some(peer) = self.roster.introduction_of(from.instance.as_str()) else {
            return;
        };
        let samples = self.answer(question);
        let message = convert::samples(self.node.identity(), samples);
        self.peers.send(peer.address, message);
    }

    fn answer(&self, question: &Question) -> wire::Samples {
        let now = Boot.moment();
        let known = |service: &String| match &self.lead {
            Some(lead) => lead.sample(service, &self.registry),
            None => self.samples.known.get(service).copied(),
        };
        let services = question.services.iter();
        let samples = services.filter_map(|it| Some(known(it)?.to_wire(it, now)));
        wire::Samples {
            number: question.number,
            samples: samples.collect(),
        }
    }

    pub(crate) fn on_samples(&mut self, answer: wire::Samples) {
        self.samples.on_answer(answer);
    }

    /// Asks the leader for what entries want.
    pub(crate) fn ask_leader(&mut self) {
        let leader = self.node.leader();
        let leader = leader.and_then(|it| self.roster.introduction_of(it.as_str()));
        let Some(address) = leader.map(|leader| leader.address) else {
            return;
        };
        if let Some(question) = self.samples.question(Boot.moment()) {
            let message = convert::question(self.node.identity(), question);
            self.peers.send(address, message);
        }
    }
}

//! Consent to pass on commits to callers. The leader gives it; other instances forward the requests of
//! their entries to the leader, several in one message.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clock::{Boot, Clock as _, Suspension};
use cluster::convert::{self, MAX_WATERMARKS};
use consensus::Identity;
use registry::watermark::Ledger;
use registry::{Registry, Server, Watermark};
use wire::{Advance, Advanced, Consent, Publish};

use crate::api::Api;
use crate::event::StreamId;
use crate::process::Loop;
use crate::servers::Connection;

/// Time limit for the leader's answer. Entries ask again for what was not answered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without consents after a suspension of the machine. Longer than an election, so that this
/// instance has learned of another leader by then.
const SUSPENSION_PAUSE: Duration = Duration::from_secs(1);
/// Time after the last heartbeat of a server that is not registered yet in which no commits of its
/// service are passed on. Heartbeats follow each other faster.
const JOINING_TIMEOUT: Duration = Duration::from_secs(3);

/// What the leader knows for its consent to pass on commits.
#[derive(Debug)]
pub struct Consents {
    ledger: Ledger,
    /// Servers with a heartbeat that is not in the registry yet, by server identity. They may
    /// acknowledge commits, and a change of primary does not count them.
    joining: BTreeMap<String, Joining>,
    /// Shows suspensions of the machine, which the confirmation of the leadership does not count:
    /// another leader may have replaced a primary meanwhile.
    suspension: Suspension,
    /// End of the pause after a suspension, in which no consent is given.
    paused_until: Option<Instant>,
}

#[derive(Debug)]
struct Joining {
    service: String,
    /// Start of its life, as `Life::born`.
    born: u64,
    until: Instant,
}

impl Consents {
    /// The state of a new leader.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            ledger: Ledger::default(),
            joining: BTreeMap::new(),
            suspension: Suspension::new(now, Boot.moment()),
            paused_until: None,
        }
    }

    /// The log of a server that is to lead must reach this point.
    #[must_use]
    pub fn watermark(&self, service: &str) -> Option<types::Point> {
        self.ledger.point(service)
    }

    /// Handles a heartbeat of a server whose life is not registered yet.
    pub fn on_joining(&mut self, now: Instant, server: &Server) {
        let joining = Joining {
            service: server.service.clone(),
            born: server.life.born,
            until: now + JOINING_TIMEOUT,
        };
        self.joining.insert(server.id.clone(), joining);
    }

    /// Handles a watermark of an entry and returns whether its commits may be passed on.
    /// `admits_commits` tells whether the leadership is confirmed and no change is in progress.
    pub fn advance(
        &mut self,
        now: Instant,
        mark: &Watermark,
        registry: &Registry,
        admits_commits: bool,
    ) -> bool {
        let moment = Boot.moment();
        if self.suspension.detect(crate::process::now(), moment) {
            tracing::warn!("machine was suspended; no commits are passed on for a while");
            self.paused_until = Some(now + SUSPENSION_PAUSE);
        }
        let is_paused = self.paused_until.is_some_and(|until| now < until);
        self.joining.retain(|id, joining| {
            let known = registry.server(id);
            let is_registered = known.is_some_and(|server| server.life.born >= joining.born);
            now < joining.until && !is_registered
        });
        let is_joining = self
            .joining
            .values()
            .any(|joining| joining.service == mark.service);
        let admits_commits = admits_commits && !is_paused && !is_joining;
        self.ledger.advance(mark, registry, admits_commits)
    }
}

/// Requests of entries that the leader has to answer.
#[derive(Debug, Default)]
pub struct Relay {
    /// Number of the last message to the leader.
    number: u64,
    /// The message that is under way.
    sent: Option<Sent>,
    /// Requests for the next message.
    queued: Vec<(StreamId, Advance)>,
}

#[derive(Debug)]
struct Sent {
    /// Link address of the leader at that time.
    leader: SocketAddr,
    requests: Vec<(StreamId, Advance)>,
    deadline: Instant,
}

impl Relay {
    fn queue(&mut self, id: StreamId, advance: Advance) {
        // An entry that asks again names all commits that it holds back.
        self.queued.retain(|(queued, _)| *queued != id);
        self.queued.push((id, advance));
    }

    /// The next message to the leader; `None` while one is under way or no request waits.
    fn next_message(&mut self, now: Instant, leader: SocketAddr) -> Option<Advance> {
        let is_open = |sent: &Sent| now < sent.deadline && sent.leader == leader;
        let is_waiting = self.sent.as_ref().is_some_and(is_open);
        if is_waiting || self.queued.is_empty() {
            return None;
        }
        let requests = std::mem::take(&mut self.queued);
        let watermarks = merge(&requests);
        let deadline = now + ANSWER_TIMEOUT;
        self.sent = Some(Sent {
            leader,
            requests,
            deadline,
        });
        self.number += 1;
        Some(Advance {
            number: self.number,
            watermarks,
        })
    }

    /// Returns the answers to the entries' requests that an answer of the leader covers.
    fn on_answer(&mut self, answer: &Advanced) -> Vec<(StreamId, Advanced)> {
        if answer.number != self.number {
            return Vec::new();
        }
        let consents: BTreeSet<_> = answer
            .consents
            .iter()
            .map(|it| (&*it.service, &*it.id, it.token, it.passed_on))
            .collect();
        let requests = self.sent.take().into_iter().flat_map(|sent| sent.requests);
        let answer_to = |(id, request): (StreamId, Advance)| {
            let covered = request.watermarks.iter().filter(|mark| {
                consents.contains(&(&*mark.service, &*mark.id, mark.token, mark.passed_on))
            });
            let answer = Advanced {
                number: request.number,
                consents: covered.map(consent).collect(),
            };
            (id, answer)
        };
        requests.map(answer_to).collect()
    }
}

fn consent(mark: &wire::Watermark) -> Consent {
    Consent {
        service: mark.service.clone(),
        id: mark.id.clone(),
        token: mark.token,
        passed_on: mark.passed_on,
    }
}

/// The watermarks of several requests, with one for each server and state.
fn merge(requests: &[(StreamId, Advance)]) -> Vec<wire::Watermark> {
    let mut merged: Vec<Watermark> = Vec::new();
    let marks = requests.iter().flat_map(|(_, request)| &request.watermarks);
    for mark in marks.cloned().map(Watermark::from) {
        match merged.iter_mut().find(|known| known.merges_with(&mark)) {
            Some(known) => known.raise(&mark),
            None => merged.push(mark),
        }
    }
    merged.truncate(MAX_WATERMARKS);
    merged.into_iter().map(Into::into).collect()
}

impl<A: Api, C: Connection> Loop<A, C> {
    /// Handles a request of an entry.
    pub(crate) fn on_advance(&mut self, now: Instant, id: StreamId, advance: Advance) {
        if advance.watermarks.len() > MAX_WATERMARKS {
            return self.subscribers.close(id);
        }
        if self.leadership.is_some() {
            let answer = self.answer_advance(now, advance);
            return self.subscribers.send(id, &Publish::Advanced(answer));
        }
        self.relay.queue(id, advance);
        self.forward_advances(now);
    }

    /// Handles the requests of another instance's entries.
    pub(crate) fn on_peer_advance(&mut self, now: Instant, from: &Identity, advance: Advance) {
        let peer = self.roster.introduction_of(from.instance.as_str());
        let Some(address) = peer.map(|peer| peer.address) else {
            return;
        };
        if self.leadership.is_some() {
            let answer = self.answer_advance(now, advance);
            let message = convert::advanced(self.node.identity(), answer);
            self.peers.send(address, message);
        }
    }

    /// Handles the leader's answer.
    pub(crate) fn on_advanced(&mut self, now: Instant, answer: &Advanced) {
        for (id, answer) in self.relay.on_answer(answer) {
            self.subscribers.send(id, &Publish::Advanced(answer));
        }
        self.forward_advances(now);
    }

    fn forward_advances(&mut self, now: Instant) {
        let leader = self.node.leader();
        let leader = leader.and_then(|name| self.roster.introduction_of(name.as_str()));
        let Some(address) = leader.map(|leader| leader.address) else {
            // Entries ask again, on other streams as well.
            self.relay.queued.clear();
            return;
        };
        if let Some(advance) = self.relay.next_message(now, address) {
            let message = convert::advance(self.node.identity(), advance);
            self.peers.send(address, message);
        }
    }

    fn answer_advance(&mut self, now: Instant, advance: Advance) -> Advanced {
        let is_confirmed = self.node.leader_confirmed(now);
        let Some(leadership) = &mut self.leadership else {
            return Advanced {
                number: advance.number,
                consents: Vec::new(),
            };
        };
        let mut consents = Vec::new();
        for raw in advance.watermarks {
            let mark = Watermark::from(raw);
            if leadership.advance(now, &mark, &self.registry, is_confirmed) {
                self.metrics.consents.add("given");
                consents.push(consent(&mark.into()));
            } else {
                self.metrics.consents.add("withheld");
            }
        }
        Advanced {
            number: advance.number,
            consents,
        }
    }
}

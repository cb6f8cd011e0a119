//! Simulated system: dispatches the events of a trace to the control leader, entries and a target.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use catalog::{Catalog, Command};
use control::leader::{Leader, Renewal, Report};
use failover::{Action, Position};
use route::Kind;
use serde_json::json;
use session::{Key, Session, Signer, Token};
use types::{Name, Point, Revision};
use wire::{Down, Up};

use crate::backend::Backend;
use crate::cluster::{Cluster, set_command};
use crate::entry::Entry;
use crate::event::Event;

pub const DATABASE: &str = "eggs";
/// Default of `connections.floor`.
pub const FLOOR: u32 = 2;
/// Default of `read.max_age_ms`.
const MAX_AGE_MS: u64 = 10_000;

pub fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

pub struct Simulation {
    start: Instant,
    now: Instant,
    lead: Leader,
    catalog: Catalog,
    log: BTreeMap<u64, wire::Command>,
    entries: BTreeMap<String, Entry>,
    tokens: BTreeMap<String, String>,
    signer: Signer,
    backend: Backend,
    cluster: Cluster,
}

impl Simulation {
    pub fn new() -> Self {
        // The trace starts after the leader's grace period.
        let (elected, catalog) = (Instant::now(), Catalog::new(name("azienda")));
        let now = elected + Duration::from_secs(10);
        Self {
            start: now,
            now,
            lead: Leader::new(elected, &catalog),
            catalog,
            log: BTreeMap::new(),
            entries: BTreeMap::new(),
            tokens: BTreeMap::new(),
            signer: Signer::new(Key::new(1, b"secret of sixteen bytes").unwrap(), None),
            backend: Backend::new(now),
            cluster: Cluster::default(),
        }
    }

    /// Handles an event and returns its outcome.
    pub fn on_event(&mut self, event: &Event) -> String {
        self.now = self.instant(event.at);
        let now = self.now;
        if let Some(text) = self.cluster.on_event(now, event) {
            return text;
        }
        if event.event == "release" {
            let entry = &self.entries[&event.entry];
            return self.backend.release(now, event.connection, |term| {
                entry.may_acknowledge(now, term)
            });
        }
        if let Some(text) = self.backend.on_event(now, event) {
            return text;
        }
        if event.entry.is_empty() {
            self.on_control(event)
        } else {
            self.on_entry(event)
        }
    }

    fn instant(&self, at: u64) -> Instant {
        self.start + Duration::from_millis(at)
    }

    fn on_control(&mut self, event: &Event) -> String {
        let now = self.now;
        match event.event.as_str() {
            "found" => self.set_up(&event.entries),
            "commit" => return self.commit(event.command.clone().unwrap()),
            "commits" => {
                let base = self.catalog.revision().0;
                let commits = (1..=event.count).map(|n| self.commit(set_command(n, base + n - 1)));
                return commits.last().unwrap();
            }
            "elect" => self.lead = Leader::new(now, &self.catalog),
            "step" => {
                let mut out = Vec::new();
                self.lead.on_tick(now, true, &self.catalog, &mut out);
                return describe_actions(out.into_iter().map(|(_, action)| action));
            }
            "position" => {
                let since = self.catalog.database(DATABASE).unwrap().phase_since();
                let round = if event.revision > 0 {
                    Revision(event.revision)
                } else {
                    since
                };
                let position = Position {
                    point: event.point(),
                    recovering: event.recovering,
                };
                let machine = self.lead.machine(&name(DATABASE)).unwrap();
                machine.on_position(now, &name(&event.target), round, position);
            }
            "promoted" => {
                let (mut out, Point { term, lsn }) = (Vec::new(), event.point());
                let machine = self.lead.machine(&name(DATABASE)).unwrap();
                let target = name(&event.target);
                machine.on_promoted(now, &target, term, lsn, &self.catalog, &mut out);
                return describe_actions(out);
            }
            "sum" => {
                let connections =
                    |entry: &Entry| entry.control.hard_limit(now, &name(&event.target), FLOOR);
                return self
                    .entries
                    .values()
                    .map(connections)
                    .sum::<u32>()
                    .to_string();
            }
            "wrote" => {
                let session = event.session.clone().unwrap();
                let earlier_token = self
                    .tokens
                    .get(&session)
                    .map(|text| self.signer.verify(text).unwrap());
                let mut token = earlier_token.unwrap_or(Token::new(1));
                token.advance(&name(DATABASE), event.point()).unwrap();
                self.tokens.insert(session, self.signer.sign(&token));
            }
            other => panic!("unknown event of control: {other}"),
        }
        String::new()
    }

    fn on_entry(&mut self, event: &Event) -> String {
        let (now, arrived) = (self.now, self.instant(event.arrived.unwrap_or(event.at)));
        if event.event == "start" {
            let entry = Entry::new(now, &name(&event.entry), event.boot);
            self.entries.insert(event.entry.clone(), entry);
            return String::new();
        }
        let entry = self.entries.get_mut(&event.entry).unwrap();
        match event.event.as_str() {
            "dies" => drop(self.entries.remove(&event.entry)),
            "snapshot" => {
                let (revision, mut bytes) = (self.catalog.revision().0, Vec::new());
                self.catalog.encode(&mut bytes).unwrap();
                return entry.on_message(
                    now,
                    Down::Snapshot {
                        revision,
                        catalog: bytes.into(),
                    },
                );
            }
            "update" => {
                let (revision, command) = (event.revision, self.log[&event.revision].clone());
                return entry.on_message(now, Down::Update { revision, command });
            }
            "renew" => return entry.renew(now, event),
            "arrive" => return self.deliver_renewal(event),
            "grant" => {
                let grant = entry.grants.remove(&event.seq).unwrap();
                return entry.on_message(now, grant);
            }
            "acknowledge" => {
                let verdict = entry.may_acknowledge(now, event.point().term);
                return verdict.err().unwrap_or("allowed").to_owned();
            }
            "revision" => return entry.control.catalog().unwrap().revision().0.to_string(),
            "observed" => entry.observe(now, &name(&event.target), event.point()),
            "heard" => drop(entry.announced_directly.insert(name(&event.target))),
            "read" => {
                let text = event
                    .session
                    .as_ref()
                    .map(|session| self.tokens[session].as_str());
                let session = text.map(|text| Session::parse(&self.signer, text).unwrap());
                let session = session.unwrap_or(Session::Token(Token::new(2)));
                let age = event.max_age.unwrap_or(MAX_AGE_MS);
                return entry.choose_target(now, arrived, Kind::Read, &session, age);
            }
            "write" => {
                let session = Session::Token(Token::new(2));
                return entry.choose_target(now, arrived, Kind::Write, &session, MAX_AGE_MS);
            }
            other => panic!("unknown event of an entry: {other}"),
        }
        String::new()
    }

    fn commit(&mut self, raw: wire::Command) -> String {
        let revision = self.catalog.revision().0 + 1;
        let command = Command::try_from(raw.clone()).unwrap();
        self.log.insert(revision, raw);
        let outcome = self.catalog.apply(Revision(revision), &command);
        self.lead.on_catalog(&self.catalog);
        outcome.to_string()
    }

    fn commit_json(&mut self, command: serde_json::Value) {
        self.commit(serde_json::from_value(command).unwrap());
    }

    /// Sets up one database with primary t1 and replicas t2 and t3, and entries that hold a lease.
    fn set_up(&mut self, entries: &[String]) {
        for (target, domain) in [("t1", "catania"), ("t2", "ragusa"), ("t3", "enna")] {
            let role = if target == "t1" { "Primary" } else { "Replica" };
            self.commit_json(json!({"Announce": {
                "target": target, "service": "registro-uova", "database": DATABASE, "group": "uova",
                "region": "sicilia-est", "domain": domain, "address": "127.0.0.1:5432", "role": role,
                "leaving": false, "connections": 35, "slots": 5,
            }}));
        }
        for instance in entries {
            self.commit_json(json!({"Enroll": {"instance": instance, "domain": "ragusa"}}));
        }
        self.commit_json(
            json!({"Open": {"database": DATABASE, "term": 1, "target": "t1", "start": 0}}),
        );
        for entry in entries {
            for (event, seq) in [
                ("start", 0),
                ("snapshot", 0),
                ("renew", 0),
                ("arrive", 1),
                ("grant", 1),
            ] {
                let (event, entry) = (event.to_owned(), entry.clone());
                self.on_entry(&Event {
                    event,
                    entry,
                    seq,
                    boot: 1,
                    ..Event::default()
                });
            }
        }
    }

    /// Delivers a renewal to the leader; its grant is delivered by an event of its own.
    fn deliver_renewal(&mut self, event: &Event) -> String {
        let entry = self.entries.get_mut(&event.entry).unwrap();
        let renewal = entry.renewals.remove(&event.seq).unwrap();
        let Up::Renew {
            seq,
            age_ms,
            revision,
            confirmed,
            demand,
            health,
            ..
        } = renewal
        else {
            panic!("not a renewal");
        };
        let report = |raw: wire::Health| Report {
            target: name(&raw.target),
            point: raw.point.into(),
            silence: Duration::from_millis(raw.silent_ms.into()),
        };
        let renewed = Renewal {
            seq,
            age: Duration::from_millis(age_ms),
            revision: Revision(revision),
            confirmed,
            demand: demand
                .iter()
                .map(|d| (name(&d.target), d.connections))
                .collect(),
            long_slots: Vec::new(),
            health: health.into_iter().map(report).collect(),
        };
        let instance = name(&event.entry);
        let grant = self
            .lead
            .renew(self.now, &instance, entry.boot, &renewed, &self.catalog);
        let Some(grant) = grant else {
            return "refused".to_owned();
        };
        let quota = |q: lease::quota::Quota| wire::Quota {
            target: q.target.to_string(),
            connections: q.connections,
        };
        let grant = Down::Grant {
            seq,
            ttl_ms: u32::try_from(grant.ttl.as_millis()).unwrap(),
            revision: self.catalog.revision().0,
            quotas: grant.quotas.into_iter().map(quota).collect(),
            long: grant.long_slots.into_iter().map(quota).collect(),
        };
        entry.grants.insert(seq, grant);
        "granted".to_owned()
    }
}

/// Describes the leader's proposals, its messages to targets and its reports to operators.
fn describe_actions(actions: impl IntoIterator<Item = Action>) -> String {
    let shown = actions.into_iter().filter_map(|action| match action {
        Action::QueryPosition { target, .. } => Some(format!("ask {target}")),
        Action::Follow { .. } | Action::ObserveStage(..) => None,
        other => Some(other.to_string()),
    });
    shown.collect::<Vec<_>>().join("; ")
}

//! A database of simulated targets, a catalog that commits at once, and the machine of a leader.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use catalog::change::Label;
use catalog::{Catalog, Change, Command, Database, Outcome, Path, Phase};
use failover::{Action, Machine, Position, Reason, Signals, Stage, Verdict};
use types::target::{Announcement, Role, State};
use types::{Lsn, Name, Point, Revision, Term};

pub const FAILED: Verdict = Verdict::Failed {
    silent: Duration::from_millis(310),
};

pub fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

pub fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// A simulated target.
#[derive(Clone, Copy, Debug)]
pub struct Server {
    pub term: u64,
    pub lsn: u64,
    pub recovering: bool,
    pub up: bool,
}

pub struct World {
    pub catalog: Catalog,
    pub revision: u64,
    pub now: Instant,
    pub machine: Machine,
    /// Verdict on `t1`; the others are judged by whether they are up.
    pub verdict: Verdict,
    pub fenced: bool,
    pub servers: BTreeMap<&'static str, Server>,
    /// Commands are lost while no quorum is there.
    pub quorum: bool,
    pub promotions: BTreeMap<Term, BTreeSet<Name>>,
    pub follows: BTreeSet<(Name, Name)>,
    pub reasons: Vec<Reason>,
    pub stages: Vec<(Stage, Duration)>,
    pub asked: BTreeSet<Name>,
}

impl World {
    /// `t1` is the primary of term 1 at 100; `t2` (same domain) and `t3` replicate.
    pub fn new(acks: u32) -> Self {
        let mut world = Self {
            catalog: Catalog::new(name("uova")),
            revision: 0,
            now: Instant::now(),
            machine: Machine::new(name("orders")),
            verdict: Verdict::Healthy,
            fenced: true,
            servers: BTreeMap::new(),
            quorum: true,
            promotions: BTreeMap::new(),
            follows: BTreeSet::new(),
            reasons: Vec::new(),
            stages: Vec::new(),
            asked: BTreeSet::new(),
        };
        world.set("write.acks", acks);
        for (target, domain) in [("t1", "enna"), ("t2", "enna"), ("t3", "catania")] {
            let role = if target == "t1" {
                Role::Primary
            } else {
                Role::Replica
            };
            world.announce(target, domain, role);
            let server = Server {
                term: 1,
                lsn: 100,
                recovering: target != "t1",
                up: true,
            };
            world.servers.insert(target, server);
        }
        world.commit(&Command::Open {
            database: name("orders"),
            term: Term(1),
            target: name("t1"),
            start: Lsn(0),
        });
        world
    }

    pub fn announce(&mut self, target: &str, domain: &str, role: Role) {
        self.commit(&Command::Announce(Announcement {
            target: name(target),
            service: name("registro-uova"),
            database: name("orders"),
            group: name("g1"),
            region: name("sicilia-est"),
            domain: name(domain),
            address: "127.0.0.1:5432".parse().unwrap(),
            role,
            leaving: false,
            connections: 35,
            slots: 5,
        }));
    }

    fn change(&self) -> Change {
        Change {
            base: Revision(self.revision),
            request: Label::try_from(format!("r{}", self.revision)).unwrap(),
            operator: Label::try_from("o").unwrap(),
        }
    }

    pub fn set(&mut self, key: &str, value: u32) {
        let change = self.change();
        self.commit(&Command::Set {
            path: Path::try_from("uova").unwrap(),
            key: catalog::Key::find(key).unwrap(),
            value: Some(value),
            change,
        });
    }

    pub fn mark(&mut self, target: &str, state: State) {
        let change = self.change();
        self.commit(&Command::Mark {
            target: name(target),
            state,
            change,
        });
    }

    pub fn commit(&mut self, command: &Command) -> Outcome {
        self.revision += 1;
        self.catalog.apply(Revision(self.revision), command)
    }

    pub fn server(&mut self, target: &'static str) -> &mut Server {
        self.servers.get_mut(target).unwrap()
    }

    pub fn database(&self) -> &Database {
        self.catalog.database("orders").unwrap()
    }

    pub fn primary(&self) -> Option<(&str, u64)> {
        let writable = self.database().writable();
        writable.map(|(name, term)| (name.as_str(), term.0))
    }

    pub fn chosen(&self) -> Option<&str> {
        match self.database().phase() {
            Phase::Chosen { target, .. } => Some(target.as_str()),
            _ => None,
        }
    }

    /// A new leader: it has the catalog and nothing else.
    pub fn elect(&mut self) {
        self.machine = Machine::new(name("orders"));
    }

    fn judge(&self) -> Verdict {
        match self.database().primary().map(Name::as_str) {
            Some("t1") => self.verdict,
            Some(name) if !self.servers[name].up => FAILED,
            _ => Verdict::Healthy,
        }
    }

    /// One step, with its actions carried out.
    pub fn step(&mut self) {
        let mut out = Vec::new();
        let signals = Signals {
            verdict: self.judge(),
            fenced: self.fenced,
        };
        self.machine
            .step(self.now, &self.catalog, &signals, &mut out);
        while !out.is_empty() {
            for action in std::mem::take(&mut out) {
                self.carry_out(action, &mut out);
            }
        }
    }

    /// Steps every 20 ms.
    pub fn run(&mut self, time: u64) {
        for _ in 0..time / 20 {
            self.step();
            self.now += ms(20);
        }
    }

    fn carry_out(&mut self, action: Action, out: &mut Vec<Action>) {
        match action {
            Action::Propose(command) if self.quorum => {
                let outcome = self.commit(&command);
                self.machine.on_outcome(&outcome, &self.catalog, out);
            }
            Action::Propose(_) => {}
            Action::Query { target, round } => self.query(&target, round),
            Action::Promote { target, term } => self.promote(&target, term, out),
            Action::Follow { target, primary } => {
                self.machine.on_following(&target, &primary, &self.catalog);
                self.follows.insert((target, primary));
            }
            Action::GiveUp(reason) => self.reasons.push(reason),
            Action::Observe(stage, took) => self.stages.push((stage, took)),
        }
    }

    fn query(&mut self, target: &Name, round: Revision) {
        self.asked.insert(target.clone());
        let server = self.servers[target.as_str()];
        if server.up {
            let position = position(server);
            self.machine.on_position(self.now, target, round, position);
        }
    }

    fn promote(&mut self, target: &Name, term: Term, out: &mut Vec<Action>) {
        let Some(server) = self.servers.get_mut(target.as_str()).filter(|s| s.up) else {
            return;
        };
        if server.term < term.0 {
            server.term += 1;
            server.recovering = false;
            self.promotions
                .entry(term)
                .or_default()
                .insert(target.clone());
        }
        let (term, start) = (Term(server.term), Lsn(server.lsn));
        self.machine
            .on_promoted(self.now, target, term, start, &self.catalog, out);
    }
}

pub fn position(server: Server) -> Position {
    Position {
        point: Point {
            term: Term(server.term),
            lsn: Lsn(server.lsn),
        },
        recovering: server.recovering,
    }
}

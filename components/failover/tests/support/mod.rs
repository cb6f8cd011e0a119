//! A database of simulated targets, a catalog that commits at once, and the machine of a leader.

#![allow(dead_code, reason = "each test file uses a part")]

#[path = "../../../catalog/tests/support/mod.rs"]
mod log;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use catalog::{Database, Phase};
use failover::{Action, Machine, Position, Reason, Signals, Stage, Verdict};
use types::target::State;
use types::{Lsn, Name, Point, Revision, Term};

pub use log::{Log, change, name};

pub const FAILED: Verdict = Verdict::Failed {
    silent: Duration::from_millis(310),
};

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
    pub log: Log,
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
        let mut log = Log::new();
        log.set_uncontested("uova", "write.acks", acks);
        let mut servers = BTreeMap::new();
        log.announce_all();
        for target in ["t1", "t2", "t3"] {
            let server = Server {
                term: 1,
                lsn: 100,
                recovering: target != "t1",
                up: true,
            };
            servers.insert(target, server);
        }
        log.open(1, "t1", 0);
        Self {
            log,
            servers,
            now: Instant::now(),
            machine: Machine::new(name("orders")),
            verdict: Verdict::Healthy,
            fenced: true,
            quorum: true,
            promotions: BTreeMap::new(),
            follows: BTreeSet::new(),
            reasons: Vec::new(),
            stages: Vec::new(),
            asked: BTreeSet::new(),
        }
    }

    pub fn mark(&mut self, target: &str, state: State) {
        let base = self.log.revision;
        let change = change(base, &format!("m{base}"));
        self.log.mark(target, state, change);
    }

    pub fn server(&mut self, target: &'static str) -> &mut Server {
        self.servers.get_mut(target).unwrap()
    }

    pub fn database(&self) -> &Database {
        self.log.database()
    }

    pub fn primary(&self) -> Option<(&str, u64)> {
        let writable = self.database().writable_primary();
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
            .step(self.now, &self.log.catalog, &signals, &mut out);
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
                let outcome = self.log.apply(&command);
                self.machine.on_outcome(&outcome, &self.log.catalog, out);
            }
            Action::Propose(_) => {}
            Action::Query { target, round } => self.query(&target, round),
            Action::Promote { target, term } => self.promote(&target, term, out),
            Action::Follow { target, primary } => self.follow(target, primary),
            Action::Stalled(reason) => self.reasons.push(reason),
            Action::Observe(stage, took) => self.stages.push((stage, took)),
        }
    }

    fn follow(&mut self, target: Name, primary: Name) {
        if self
            .servers
            .get(target.as_str())
            .is_some_and(|server| server.up)
        {
            self.machine
                .on_following(&target, &primary, &self.log.catalog);
            self.follows.insert((target, primary));
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
            .on_promoted(self.now, target, term, start, &self.log.catalog, out);
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

//! Simulation of a database's targets, a catalog that commits at once, and a leader's failover
//! machine.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

#[path = "../../../catalog/tests/support/mod.rs"]
mod log;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use catalog::{Command, Database, Phase};
use failover::{Action, Machine, Position, Signals, Stage, Stall, Verdict};
use types::target::State;
use types::{Lsn, Name, Point, Revision, Term};

pub use log::{Log, change, name};

pub const FAILED: Verdict = Verdict::Failed {
    silence: Duration::from_millis(310),
};

pub fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// The simulated PostgreSQL server of a target.
#[derive(Clone, Copy, Debug)]
pub struct Server {
    pub term: u64,
    pub lsn: u64,
    pub recovering: bool,
    pub up: bool,
}

pub struct Simulation {
    pub log: Log,
    pub now: Instant,
    pub machine: Machine,
    /// Verdict on `t1` as the primary; other primaries are healthy if they are up.
    pub verdict: Verdict,
    /// Whether all leases under older catalogs have ended.
    pub fenced: bool,
    pub servers: BTreeMap<&'static str, Server>,
    /// Without a quorum, proposed commands are lost.
    pub has_quorum: bool,
    /// Targets promoted for each term.
    pub promotions: BTreeMap<Term, BTreeSet<Name>>,
    /// Follow commands that reached a running target: the replica and its primary.
    pub follow_commands: BTreeSet<(Name, Name)>,
    pub stall_reasons: Vec<Stall>,
    pub stage_durations: Vec<(Stage, Duration)>,
    /// Targets that were asked for their position.
    pub queried: BTreeSet<Name>,
}

impl Simulation {
    /// `t1` is the primary of term 1 at lsn 100; `t2`, in the same failure domain, and `t3` are its
    /// replicas.
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
            has_quorum: true,
            promotions: BTreeMap::new(),
            follow_commands: BTreeSet::new(),
            stall_reasons: Vec::new(),
            stage_durations: Vec::new(),
            queried: BTreeSet::new(),
        }
    }

    pub fn set_state(&mut self, target: &str, state: State) {
        let base = self.log.revision;
        let change = change(base, &format!("m{base}"));
        self.log.mark(target, state, change);
    }

    /// Removes a target from the catalog; its server ends.
    pub fn retire(&mut self, target: &'static str) {
        let retire = Command::Retire {
            target: name(target),
        };
        self.log.apply(&retire);
        let server = self.server(target);
        (server.up, server.recovering, server.term, server.lsn) = (false, true, 0, 0);
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

    /// Replaces the leader by one that knows only the catalog.
    pub fn elect_leader(&mut self) {
        self.machine = Machine::new(name("orders"));
    }

    fn primary_verdict(&self) -> Verdict {
        match self.database().primary().map(Name::as_str) {
            Some("t1") => self.verdict,
            Some(name) if !self.servers[name].up => FAILED,
            _ => Verdict::Healthy,
        }
    }

    /// Runs one step and executes its actions.
    pub fn step(&mut self) {
        let mut out = Vec::new();
        let signals = Signals {
            verdict: self.primary_verdict(),
            fenced: self.fenced,
        };
        self.machine
            .step(self.now, &self.log.catalog, &signals, &mut out);
        while !out.is_empty() {
            for action in std::mem::take(&mut out) {
                self.execute(action, &mut out);
            }
        }
    }

    /// Runs a step every 20 ms for `duration` ms.
    pub fn run_ms(&mut self, duration: u64) {
        for _ in 0..duration / 20 {
            self.step();
            self.now += ms(20);
        }
    }

    fn execute(&mut self, action: Action, out: &mut Vec<Action>) {
        match action {
            Action::Propose(command) if self.has_quorum => {
                let outcome = self.log.apply(&command);
                self.machine.on_outcome(&outcome, &self.log.catalog, out);
            }
            Action::Propose(_) => {}
            Action::QueryPosition { target, round } => self.query(&target, round),
            Action::Promote { target, term } => self.promote(&target, term, out),
            Action::Follow { target, primary } => self.follow(target, primary),
            Action::ReportStall(reason) => self.stall_reasons.push(reason),
            Action::ObserveStage(stage, duration) => self.stage_durations.push((stage, duration)),
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
            self.follow_commands.insert((target, primary));
        }
    }

    fn query(&mut self, target: &Name, round: Revision) {
        self.queried.insert(target.clone());
        let server = self.servers[target.as_str()];
        if server.up {
            let position = position(server);
            self.machine.on_position(self.now, target, round, position);
        }
    }

    fn promote(&mut self, target: &Name, term: Term, out: &mut Vec<Action>) {
        let Some(server) = self
            .servers
            .get_mut(target.as_str())
            .filter(|server| server.up)
        else {
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

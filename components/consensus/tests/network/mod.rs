//! Deterministic network and disks in memory: messages are dropped, delayed, doubled and cut, and
//! a restart loses writes that were not synced. Safety is checked at every action.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, BTreeSet};
use std::iter::repeat_n;
use std::time::{Duration, Instant};

use consensus::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use types::Name;

pub struct Host {
    pub node: Node<StdRng>,
    pub saved: Saved,
    pub pending: Vec<(u64, Write)>,
    sync_at: Option<Instant>,
    pub applied: u64,
    pub state: Vec<u8>,
    /// Actions that need nothing to be done.
    pub seen: Vec<Action>,
}

pub struct Net {
    pub now: Instant,
    pub rng: StdRng,
    pub hosts: BTreeMap<Name, Host>,
    queue: Vec<(Instant, Name, Peer)>,
    pub cut: BTreeSet<Name>,
    /// Hosts whose disk completes no write.
    pub stalled: BTreeSet<Name>,
    /// Share of messages that are lost or doubled.
    pub loss: f64,
    /// Longest delay of a message or a sync.
    pub delay_us: u64,
    settings: Settings,
    pub committed: BTreeMap<u64, Entry>,
    leaders: BTreeMap<Epoch, Disk>,
}

pub fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

impl Net {
    /// A cluster of voters.
    pub fn new(seed: u64, names: &[&str], settings: Settings) -> Self {
        let mut net = Self {
            now: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
            hosts: BTreeMap::new(),
            queue: Vec::new(),
            cut: BTreeSet::new(),
            stalled: BTreeSet::new(),
            loss: 0.0,
            delay_us: 2_000,
            settings,
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
        };
        let members: Vec<_> = names.iter().map(|text| net.add(text)).collect();
        for text in names {
            let start =
                |node: &mut Node<_>, now, out: &mut _| node.on_bootstrap(now, &members, out);
            assert_eq!(net.act(&name(text), start), Ok(()));
        }
        net.run(10);
        net
    }

    /// Adds a blank instance, or empties the disk of one that exists.
    pub fn add(&mut self, text: &str) -> Member {
        let (instance, disk) = (name(text), Disk(self.rng.random()));
        let me = Identity { instance, disk };
        self.boot(me.clone(), Saved::default());
        Member::new(me, ([127, 0, 0, 1], 7000).into(), Seat::Voter)
    }

    fn boot(&mut self, me: Identity, saved: Saved) {
        let rng = StdRng::seed_from_u64(self.rng.random());
        let host = Host {
            node: Node::new(self.now, me.clone(), self.settings, rng, saved.clone()),
            applied: saved.snapshot.position.index,
            state: saved.snapshot.data.clone(),
            saved,
            pending: Vec::new(),
            sync_at: None,
            seen: Vec::new(),
        };
        self.hosts.insert(me.instance, host);
    }

    /// Stops an instance and starts it again; a random end of the unsynced writes is lost.
    pub fn restart(&mut self, who: &Name) {
        let mut host = self.hosts.remove(who).unwrap();
        let kept = self.rng.random_range(0..=host.pending.len());
        for (place, (_, write)) in host.pending.into_iter().enumerate() {
            // Saving the vote is durable at once and may overtake appends.
            let overtakes = matches!(write, Write::Save { .. }) && self.rng.random_bool(0.5);
            if place < kept || overtakes {
                host.saved.apply(write);
            }
        }
        self.boot(host.node.identity().clone(), host.saved);
    }

    /// Calls a node and carries out its actions.
    pub fn act<T>(
        &mut self,
        who: &Name,
        call: impl FnOnce(&mut Node<StdRng>, Instant, &mut Vec<Action>) -> T,
    ) -> T {
        let mut out = Vec::new();
        let node = &mut self.hosts.get_mut(who).unwrap().node;
        let result = call(node, self.now, &mut out);
        if node.role() == Role::Leader {
            let disk = node.identity().disk;
            let first = self.leaders.entry(node.epoch()).or_insert(disk);
            assert_eq!(*first, disk, "two leaders of one epoch");
        }
        out.into_iter()
            .for_each(|action| self.carry_out(who, action));
        result
    }

    fn carry_out(&mut self, who: &Name, action: Action) {
        let at = self.now + Duration::from_micros(self.rng.random_range(0..=self.delay_us));
        let odd = self.rng.random_bool(self.loss);
        let host = self.hosts.get_mut(who).unwrap();
        match action {
            Action::Send(to, peer) => {
                let copies = if odd { self.rng.random_range(0..=2) } else { 1 };
                self.queue.extend(repeat_n((at, to, peer), copies));
            }
            Action::Write(seq, write) => {
                host.pending.push((seq, write));
                host.sync_at.get_or_insert(at);
            }
            Action::Apply(entry) => {
                host.applied += 1;
                assert_eq!(entry.position.index, host.applied, "{who} skips an entry");
                if let Payload::Data(data) = &entry.payload {
                    host.state.extend(data);
                }
                let known = self.committed.entry(host.applied).or_insert(entry.clone());
                assert_eq!(*known, entry, "{who} applies another entry");
            }
            Action::Restore => {
                host.applied = host.node.snapshot().position.index;
                host.state.clone_from(&host.node.snapshot().data);
            }
            other => host.seen.push(other),
        }
    }

    /// Runs all events of a span of time.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            let due = |(who, host): (&Name, &Host)| {
                let sync_at = host.sync_at.filter(|_| !self.stalled.contains(who));
                [host.node.deadline(), sync_at]
            };
            let hosts = self.hosts.iter().flat_map(due).flatten();
            let next = hosts.chain(self.queue.iter().map(|(at, ..)| *at)).min();
            self.now = next.unwrap_or(end).clamp(self.now, end);
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now;
        if let Some(place) = self.queue.iter().position(|(at, ..)| *at <= now) {
            let (_, to, peer) = self.queue.remove(place);
            if !self.cut.contains(&to) && !self.cut.contains(&peer.from.instance) {
                self.act(&to, |node, now, out| node.on_message(now, peer, out));
            }
            return;
        }
        for who in self.hosts.keys().cloned().collect::<Vec<_>>() {
            let host = self.hosts.get_mut(&who).unwrap();
            let runs = !self.stalled.contains(&who);
            if host.sync_at.take_if(|at| runs && *at <= now).is_some() {
                let last = host.pending.last().map_or(0, |(seq, _)| *seq);
                for (_, write) in host.pending.drain(..) {
                    host.saved.apply(write);
                }
                self.act(&who, |node, now, out| node.on_synced(now, last, out));
            }
            self.act(&who, |node, now, out| node.on_tick(now, out));
        }
    }

    /// The leader of the latest epoch, which may be cut off.
    pub fn leader(&self) -> Option<Name> {
        let hosts = self.hosts.values();
        let leading = hosts.filter(|host| host.node.role() == Role::Leader);
        let latest = leading.max_by_key(|host| host.node.epoch())?;
        Some(latest.node.identity().instance.clone())
    }

    pub fn propose(&mut self, data: &[u8]) -> bool {
        let propose = |node: &mut Node<_>, now, out: &mut _| node.on_propose(now, data, out);
        self.leader()
            .is_some_and(|who| self.act(&who, propose).is_ok())
    }
}

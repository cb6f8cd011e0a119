//! Deterministic network and disks in memory: messages are dropped, delayed, doubled and cut, and
//! a restart loses writes that were not synced. Safety is checked at every action.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, BTreeSet};
use std::mem;
use std::time::{Duration, Instant};

use consensus::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
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
    /// Share of messages that are lost or doubled.
    pub loss: f64,
    pub delay_us: u64,
    pub sync_us: u64,
    settings: Settings,
    founders: Vec<Member>,
    pub committed: BTreeMap<u64, Entry>,
    leaders: BTreeMap<Epoch, Identity>,
    disks: u64,
}

pub fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

/// Carries out a write on what a disk holds.
pub fn store(saved: &mut Saved, write: Write) {
    match write {
        Write::Append(entries) => saved.entries.extend(entries),
        Write::Truncate(from) => saved.entries.retain(|e| e.position.index < from),
        Write::Save { epoch, vote } => (saved.epoch, saved.vote) = (epoch, vote),
        Write::Compact(new) => {
            let index = new.position.index;
            saved.entries.retain(|e| e.position.index > index);
            saved.snapshot = new;
        }
        Write::Install(new) => (saved.snapshot, saved.entries) = (new, Vec::new()),
    }
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
            loss: 0.0,
            delay_us: 2_000,
            sync_us: 3_000,
            settings,
            founders: Vec::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            disks: 0,
        };
        net.founders = names.iter().map(|text| net.add(text)).collect();
        names.iter().for_each(|text| net.restart(&name(text)));
        net
    }

    /// Adds a blank instance, or empties the disk of one that exists.
    pub fn add(&mut self, text: &str) -> Member {
        self.disks += 1;
        let (instance, disk) = (name(text), Disk(self.disks));
        self.boot(Identity { instance, disk }, Saved::default());
        let (instance, address) = (name(text), ([127, 0, 0, 1], 7000).into());
        let seat = Seat::Voter;
        Member {
            instance,
            disk,
            address,
            seat,
        }
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
        self.hosts.insert(me.instance.clone(), host);
        let founders = self.founders.clone();
        // Refused unless the instance is blank and a founder.
        let _ = self.act(&me.instance, |node, now, out| {
            node.on_bootstrap(now, &founders, out)
        });
    }

    /// Stops an instance and starts it again; a random end of the unsynced writes is lost.
    pub fn restart(&mut self, who: &Name) {
        let mut host = self.hosts.remove(who).unwrap();
        let kept = self.rng.random_range(0..=host.pending.len());
        for (place, (_, write)) in host.pending.into_iter().enumerate() {
            // Saving the vote is durable at once and may overtake appends.
            let overtakes = matches!(write, Write::Save { .. }) && self.rng.random_bool(0.5);
            if place < kept || overtakes {
                store(&mut host.saved, write);
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
        let result = call(
            &mut self.hosts.get_mut(who).unwrap().node,
            self.now,
            &mut out,
        );
        out.into_iter()
            .for_each(|action| self.carry_out(who, action));
        result
    }

    fn carry_out(&mut self, who: &Name, action: Action) {
        let host = self.hosts.get_mut(who).unwrap();
        match action {
            Action::Send(to, peer) => self.post(who, &to, &peer),
            Action::Write(seq, write) => {
                host.pending.push((seq, write));
                let delay = Duration::from_micros(self.rng.random_range(0..=self.sync_us));
                host.sync_at.get_or_insert(self.now + delay);
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
            other => {
                if let Action::Role {
                    role: Role::Leader,
                    epoch,
                    ..
                } = other
                {
                    let me = host.node.identity();
                    let first = self.leaders.entry(epoch).or_insert(me.clone());
                    assert_eq!(first, me, "two leaders of one epoch");
                }
                host.seen.push(other);
            }
        }
    }

    fn post(&mut self, from: &Name, to: &Name, peer: &Peer) {
        for loss in [self.loss, 1.0 - self.loss] {
            let lost = self.rng.random_bool(loss);
            if !lost && !self.cut.contains(from) && !self.cut.contains(to) {
                let delay = Duration::from_micros(self.rng.random_range(0..=self.delay_us));
                self.queue
                    .push((self.now + delay, to.clone(), peer.clone()));
            }
        }
    }

    /// Runs all events of a span of time.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while let Some(at) = self.next_event().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.step();
        }
        self.now = end;
    }

    fn next_event(&self) -> Option<Instant> {
        let due = |host: &Host| [host.node.deadline(), host.sync_at];
        let hosts = self.hosts.values().flat_map(due).flatten();
        hosts.chain(self.queue.iter().map(|(at, ..)| *at)).min()
    }

    fn step(&mut self) {
        let now = self.now;
        if let Some(place) = self.queue.iter().position(|(at, ..)| *at <= now) {
            let (_, to, peer) = self.queue.remove(place);
            if !self.cut.contains(&to) {
                self.act(&to, |node, now, out| node.on_message(now, peer, out));
            }
            return;
        }
        for who in self.hosts.keys().cloned().collect::<Vec<_>>() {
            let host = self.hosts.get_mut(&who).unwrap();
            if host.sync_at.take_if(|at| *at <= now).is_some() {
                let last = host.pending.last().map_or(0, |(seq, _)| *seq);
                let writes = mem::take(&mut host.pending).into_iter();
                writes.for_each(|(_, write)| store(&mut host.saved, write));
                self.act(&who, |node, now, out| node.on_synced(now, last, out));
            }
            self.act(&who, |node, now, out| node.on_tick(now, out));
        }
    }

    /// The leader of the latest epoch that is not cut off.
    pub fn leader(&self) -> Option<Name> {
        let leads = |(who, host): &(&Name, &Host)| {
            host.node.role() == Role::Leader && !self.cut.contains(*who)
        };
        let latest = self
            .hosts
            .iter()
            .filter(leads)
            .max_by_key(|(_, host)| host.node.epoch());
        latest.map(|(who, _)| who.clone())
    }

    pub fn propose(&mut self, data: &[u8]) -> bool {
        let Some(who) = self.leader() else {
            return false;
        };
        self.act(&who, |node, now, out| node.on_propose(now, data, out))
            .is_ok()
    }
}

//! The control cluster: nodes with their disks and catalogs. Messages arrive in the order in which
//! they were sent; those of cut-off nodes are lost.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use catalog::{Catalog, Command};
use consensus::{
    Action, Change, Contents, Disk, Identity, Member, Message, Node, Payload, Role, Seat, Settings,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;
use types::{Name, Revision};

use crate::event::Event;
use crate::world::name;

struct Host {
    node: Node<StdRng>,
    saved: Contents,
    catalog: Catalog,
    outcomes: BTreeMap<String, String>,
}

#[derive(Default)]
pub struct Cluster {
    hosts: BTreeMap<Name, Host>,
    sent: VecDeque<(Name, Message)>,
    cut: BTreeSet<Name>,
    disks: u64,
}

type Out<'a> = &'a mut Vec<Action>;

impl Cluster {
    /// Carries out an event of the control cluster; none if it is of something else.
    pub fn on_event(&mut self, now: Instant, event: &Event) -> Option<String> {
        let mut text = String::new();
        let node = || name(&event.node);
        match event.event.as_str() {
            "cluster" => self.found(now, &event.entries),
            "tick" => {
                for tick in 0..event.count.max(1) {
                    text = self.tick(now + Duration::from_millis(event.every * tick), &node());
                }
            }
            "cut" => drop(self.cut.insert(node())),
            "heal" => drop(self.cut.remove(&node())),
            "restart" => self.restart(now, &node()),
            "empty" => drop(self.empty(now, &node())),
            "join" => text = self.change(now, &name(&event.by), &node(), false),
            "promote" => text = self.change(now, &name(&event.by), &node(), true),
            "propose" => text = self.propose(now, &node(), event.command.clone().unwrap()),
            "changes" => {
                for number in 1..=event.count {
                    let base = self.hosts[&node()].catalog.revision().0;
                    text = self.propose(now, &node(), set(number, base));
                }
            }
            "compact" => text = self.compact(now, &node()),
            "outcome" => text = self.outcome(&node(), &event.id),
            "value" => {
                let Host { catalog, .. } = &self.hosts[&node()];
                let age = catalog.organisation_values().read_max_age_ms;
                text = format!("{age} at revision {}", catalog.revision().0);
            }
            _ => return None,
        }
        Some(text)
    }

    fn found(&mut self, now: Instant, members: &[String]) {
        let members: Vec<_> = members
            .iter()
            .map(|text| self.empty(now, &name(text)))
            .collect();
        for member in &members {
            let begin = |node: &mut Node<_>, out: Out<'_>| node.on_bootstrap(now, &members, out);
            self.act(now, &member.instance, begin).unwrap();
        }
    }

    /// Starts an instance with an empty disk.
    fn empty(&mut self, now: Instant, who: &Name) -> Member {
        self.disks += 1;
        let me = Identity::new(who.clone(), Disk(self.disks));
        self.boot(now, me.clone(), Contents::default());
        Member::new(me, ([127, 0, 0, 1], 7000).into(), Seat::Voter)
    }

    /// Starts an instance from what its disk holds.
    fn restart(&mut self, now: Instant, who: &Name) {
        let host = self.hosts.remove(who).unwrap();
        self.boot(now, host.node.identity().clone(), host.saved);
    }

    fn boot(&mut self, now: Instant, me: Identity, saved: Contents) {
        let rng = StdRng::seed_from_u64(me.disk.0);
        let settings = Settings {
            retained_entries: 16,
            ..Settings::default()
        };
        let node = Node::new(now, me.clone(), settings, rng, saved.clone());
        let catalog = load(&saved.snapshot.data);
        let host = Host {
            node,
            saved,
            catalog,
            outcomes: BTreeMap::new(),
        };
        self.hosts.insert(me.instance, host);
    }

    fn act<T>(
        &mut self,
        now: Instant,
        who: &Name,
        call: impl FnOnce(&mut Node<StdRng>, Out<'_>) -> T,
    ) -> T {
        let mut out = Vec::new();
        let host = self.hosts.get_mut(who).unwrap();
        let result = call(&mut host.node, &mut out);
        self.carry_out(now, who, out);
        result
    }

    /// Carries out the actions of a node; its disk syncs each write at once.
    fn carry_out(&mut self, now: Instant, who: &Name, out: Vec<Action>) {
        let host = self.hosts.get_mut(who).unwrap();
        let mut written = None;
        for action in out {
            match action {
                Action::Send(to, peer) => self.sent.push_back((to, peer)),
                Action::Write(seq, write) => {
                    host.saved.apply(write);
                    written = Some(seq);
                }
                Action::Apply(entry) => {
                    if let Payload::Data(data) = &entry.payload {
                        host.apply(Revision(entry.position.index), data);
                    }
                }
                Action::Restore => host.catalog = load(&host.node.snapshot().data),
                _ => {}
            }
        }
        if let Some(seq) = written {
            let mut out = Vec::new();
            host.node.on_synced(now, seq, &mut out);
            self.carry_out(now, who, out);
        }
    }

    /// Delivers all messages, and the answers to them.
    fn settle(&mut self, now: Instant) {
        while let Some((to, peer)) = self.sent.pop_front() {
            let lost = self.cut.contains(&to) || self.cut.contains(&peer.from.instance);
            if !lost && self.hosts.contains_key(&to) {
                self.act(now, &to, |node, out| node.on_message(now, peer, out));
            }
        }
    }

    fn tick(&mut self, now: Instant, who: &Name) -> String {
        self.act(now, who, |node, out| node.on_tick(now, out));
        self.settle(now);
        let leads = self.hosts[who].node.role() == Role::Leader;
        if leads { "leads" } else { "follows" }.to_owned()
    }

    fn change(&mut self, now: Instant, by: &Name, who: &Name, promote: bool) -> String {
        let me = self.hosts[who].node.identity().clone();
        let address = ([127, 0, 0, 1], 7000).into();
        let change = if promote {
            Change::Promote(me)
        } else {
            Change::Join(me, address)
        };
        let result = self.act(now, by, |node, out| node.on_change(now, &change, out));
        self.settle(now);
        result.map_or_else(|refusal| refusal.to_string(), |_| "accepted".to_owned())
    }

    fn propose(&mut self, now: Instant, who: &Name, command: wire::Command) -> String {
        let mut data = Vec::new();
        wire::encode(&command, &mut data).unwrap();
        let result = self.act(now, who, |node, out| node.on_propose(now, &data, out));
        self.settle(now);
        let Err(refusal) = result else {
            let request = Command::try_from(command).unwrap();
            let request = request.change().unwrap().request.to_string();
            return self.outcome(who, &request);
        };
        refusal.to_string()
    }

    fn compact(&mut self, now: Instant, who: &Name) -> String {
        let catalog = &self.hosts[who].catalog;
        let (index, mut data) = (catalog.revision().0, Vec::new());
        catalog.encode(&mut data).unwrap();
        let result = self.act(now, who, |node, out| node.on_compact(now, index, data, out));
        result.map_or_else(|refusal| refusal.to_string(), |()| format!("up to {index}"))
    }

    /// What this instance answers to a request that it has applied.
    fn outcome(&self, who: &Name, request: &str) -> String {
        let found = self.hosts[who].outcomes.get(request);
        found.cloned().unwrap_or_else(|| "not applied".to_owned())
    }
}

impl Host {
    fn apply(&mut self, revision: Revision, data: &[u8]) {
        let raw: wire::Command = wire::decode(data).unwrap();
        let command = Command::try_from(raw).unwrap();
        let outcome = self.catalog.apply(revision, &command).to_string();
        if let Some(change) = command.change() {
            self.outcomes.insert(change.request.to_string(), outcome);
        }
    }
}

fn load(data: &[u8]) -> Catalog {
    if data.is_empty() {
        return Catalog::new(name("azienda"));
    }
    Catalog::decode(data).unwrap()
}

/// One of many changes of the same key.
pub fn set(number: u64, base: u64) -> wire::Command {
    let request = format!("change-{number}");
    let change = json!({"base": base, "request": request, "operator": "nunzia"});
    let set = json!({"Set": {
        "path": "azienda", "key": "read.max_age_ms", "value": number.to_string(), "change": change,
    }});
    serde_json::from_value(set).unwrap()
}

//! Simulated control cluster: consensus nodes with their disks and catalogs. Messages arrive in the
//! order in which they were sent; messages from and to nodes that are cut off are lost.

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
use crate::simulation::name;

struct Host {
    node: Node<StdRng>,
    saved: Contents,
    catalog: Catalog,
    outcomes: BTreeMap<String, String>,
}

#[derive(Default)]
pub struct Cluster {
    hosts: BTreeMap<Name, Host>,
    in_flight: VecDeque<(Name, Message)>,
    cut_off: BTreeSet<Name>,
    disks: u64,
}

type Actions<'a> = &'a mut Vec<Action>;

impl Cluster {
    /// Handles an event of the control cluster; `None` if the event is not one of these.
    pub fn on_event(&mut self, now: Instant, event: &Event) -> Option<String> {
        let mut text = String::new();
        let node = || name(&event.node);
        match event.event.as_str() {
            "cluster" => self.bootstrap(now, &event.entries),
            "tick" => {
                for tick in 0..event.count.max(1) {
                    text = self.tick(now + Duration::from_millis(event.every * tick), &node());
                }
            }
            "cut" => drop(self.cut_off.insert(node())),
            "heal" => drop(self.cut_off.remove(&node())),
            "restart" => self.restart(now, &node()),
            "empty" => drop(self.start_empty(now, &node())),
            "join" => text = self.change(now, &name(&event.by), &node(), false),
            "promote" => text = self.change(now, &name(&event.by), &node(), true),
            "propose" => text = self.propose(now, &node(), event.command.clone().unwrap()),
            "changes" => {
                for number in 1..=event.count {
                    let base = self.hosts[&node()].catalog.revision().0;
                    text = self.propose(now, &node(), set_command(number, base));
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

    fn bootstrap(&mut self, now: Instant, members: &[String]) {
        let members: Vec<_> = members
            .iter()
            .map(|text| self.start_empty(now, &name(text)))
            .collect();
        for member in &members {
            let begin = |node: &mut Node<_>, actions: Actions<'_>| {
                node.on_bootstrap(now, &members, actions)
            };
            self.with_node(now, &member.instance, begin).unwrap();
        }
    }

    /// Starts an instance with an empty disk.
    fn start_empty(&mut self, now: Instant, instance: &Name) -> Member {
        self.disks += 1;
        let identity = Identity::new(instance.clone(), Disk(self.disks));
        self.start_node(now, identity.clone(), Contents::default());
        Member::new(identity, ([127, 0, 0, 1], 7000).into(), Seat::Voter)
    }

    /// Restarts an instance with the contents of its disk.
    fn restart(&mut self, now: Instant, instance: &Name) {
        let host = self.hosts.remove(instance).unwrap();
        self.start_node(now, host.node.identity().clone(), host.saved);
    }

    fn start_node(&mut self, now: Instant, identity: Identity, saved: Contents) {
        let rng = StdRng::seed_from_u64(identity.disk.0);
        let settings = Settings {
            retained_entries: 16,
            ..Settings::default()
        };
        let node = Node::new(now, identity.clone(), settings, rng, saved.clone());
        let catalog = decode_catalog(&saved.snapshot.data);
        let host = Host {
            node,
            saved,
            catalog,
            outcomes: BTreeMap::new(),
        };
        self.hosts.insert(identity.instance, host);
    }

    fn with_node<T>(
        &mut self,
        now: Instant,
        instance: &Name,
        call: impl FnOnce(&mut Node<StdRng>, Actions<'_>) -> T,
    ) -> T {
        let mut actions = Vec::new();
        let host = self.hosts.get_mut(instance).unwrap();
        let result = call(&mut host.node, &mut actions);
        self.execute(now, instance, actions);
        result
    }

    /// Executes the actions of a node; its disk syncs each write immediately.
    fn execute(&mut self, now: Instant, instance: &Name, actions: Vec<Action>) {
        let host = self.hosts.get_mut(instance).unwrap();
        let mut written = None;
        for action in actions {
            match action {
                Action::Send(to, peer) => self.in_flight.push_back((to, peer)),
                Action::Write(seq, write) => {
                    host.saved.apply(write);
                    written = Some(seq);
                }
                Action::Apply(entry) => {
                    if let Payload::Data(data) = &entry.payload {
                        host.apply(Revision(entry.position.index), data);
                    }
                }
                Action::Restore => host.catalog = decode_catalog(&host.node.snapshot().data),
                _ => {}
            }
        }
        if let Some(seq) = written {
            let mut actions = Vec::new();
            host.node.on_synced(now, seq, &mut actions);
            self.execute(now, instance, actions);
        }
    }

    /// Delivers all messages in flight, and the replies to them.
    fn deliver_all(&mut self, now: Instant) {
        while let Some((to, peer)) = self.in_flight.pop_front() {
            let is_lost = self.cut_off.contains(&to) || self.cut_off.contains(&peer.from.instance);
            if !is_lost && self.hosts.contains_key(&to) {
                self.with_node(now, &to, |node, actions| {
                    node.on_message(now, peer, actions)
                });
            }
        }
    }

    fn tick(&mut self, now: Instant, instance: &Name) -> String {
        self.with_node(now, instance, |node, actions| node.on_tick(now, actions));
        self.deliver_all(now);
        let is_leader = self.hosts[instance].node.role() == Role::Leader;
        if is_leader { "leads" } else { "follows" }.to_owned()
    }

    fn change(&mut self, now: Instant, proposer: &Name, instance: &Name, promote: bool) -> String {
        let identity = self.hosts[instance].node.identity().clone();
        let address = ([127, 0, 0, 1], 7000).into();
        let change = if promote {
            Change::Promote(identity)
        } else {
            Change::Join(identity, address)
        };
        let result = self.with_node(now, proposer, |node, actions| {
            node.on_change(now, &change, actions)
        });
        self.deliver_all(now);
        result.map_or_else(|refusal| refusal.to_string(), |_| "accepted".to_owned())
    }

    fn propose(&mut self, now: Instant, instance: &Name, command: wire::Command) -> String {
        let mut data = Vec::new();
        wire::encode(&command, &mut data).unwrap();
        let result = self.with_node(now, instance, |node, actions| {
            node.on_propose(now, &data, actions)
        });
        self.deliver_all(now);
        let Err(refusal) = result else {
            let request = Command::try_from(command).unwrap();
            let request = request.change().unwrap().request.to_string();
            return self.outcome(instance, &request);
        };
        refusal.to_string()
    }

    fn compact(&mut self, now: Instant, instance: &Name) -> String {
        let catalog = &self.hosts[instance].catalog;
        let (index, mut data) = (catalog.revision().0, Vec::new());
        catalog.encode(&mut data).unwrap();
        let result = self.with_node(now, instance, |node, actions| {
            node.on_compact(now, index, data, actions)
        });
        result.map_or_else(|refusal| refusal.to_string(), |()| format!("up to {index}"))
    }

    /// The outcome of a request that this instance has applied.
    fn outcome(&self, instance: &Name, request: &str) -> String {
        let outcome = self.hosts[instance].outcomes.get(request);
        outcome.cloned().unwrap_or_else(|| "not applied".to_owned())
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

fn decode_catalog(data: &[u8]) -> Catalog {
    if data.is_empty() {
        return Catalog::new(name("azienda"));
    }
    Catalog::decode(data).unwrap()
}

/// Command that sets a key to `number`, as one of many changes.
pub fn set_command(number: u64, base: u64) -> wire::Command {
    let request = format!("change-{number}");
    let change = json!({"base": base, "request": request, "operator": "nunzia"});
    let command = json!({"Set": {
        "path": "azienda", "key": "read.max_age_ms", "value": number.to_string(), "change": change,
    }});
    serde_json::from_value(command).unwrap()
}

//! One issuer and its holders on a simulated network, in steps of a millisecond.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod model;

use std::time::Duration;

use clock::Moment;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use ratelimit::{Admission, Claim, Holder, Issue, Issuer, Limit, Settled};
use registry::tenant::Rate;

pub const LIFETIME: Duration = Duration::from_secs(5);
/// Time without an answer after which a proxy opens another stream.
const SILENCE: u64 = 500;
/// One-way latency of a message that is not late.
const LATENCY: u64 = 1;

pub fn at(ms: u64) -> Moment {
    Moment::new(Duration::from_millis(1_000_000 + ms))
}

pub fn rate(per_second: u64, burst: u64) -> Rate {
    Rate {
        per_second_milli: per_second * 1000,
        burst_milli: burst * 1000,
    }
}

/// Probabilities of faults of one message.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub lost: f64,
    pub doubled: f64,
    pub late: f64,
    /// Longest delay of a late message, in milliseconds.
    pub late_by: u64,
}

enum Body {
    Claim(Claim<u8>),
    Issue(Issue<u8>),
}

struct Message {
    at: u64,
    node: usize,
    stream: u32,
    body: Body,
}

struct Node {
    holder: Holder<u8, u64>,
    stream: u32,
    /// Suspended until then.
    asleep_until: u64,
    /// Cut off until then.
    cut_until: u64,
    /// Issues do not arrive until then; claims do.
    deaf_until: u64,
    /// When the claim without an answer was sent.
    claimed_at: Option<u64>,
    /// Operations that arrived during the suspension: tenant and longest wait.
    arrived: Vec<(u8, u64)>,
}

pub struct Sim {
    pub now: u64,
    pub faults: Faults,
    pub issuer: Issuer<u8, (usize, u32)>,
    pub rates: Vec<(u8, Rate)>,
    /// Whether holders open another stream when there is no answer.
    pub redials: bool,
    slack: u64,
    proxies: u32,
    nodes: Vec<Node>,
    messages: Vec<Message>,
    rng: SmallRng,
    /// Moment, tenant and holder of each operation that was admitted.
    pub admitted: Vec<(u64, u8, usize)>,
    /// Moment and retry time of each operation that was refused.
    pub refused: Vec<(u64, Duration)>,
    /// Moment and holder of each operation that asked for a token, and how many waited for one.
    pub asked: Vec<(u64, usize)>,
    pub waited: usize,
    /// Number of claims and of the needs in them.
    pub claims: usize,
    pub needs: usize,
    /// Tenant and holder of each operation that asked for a token.
    waiters: Vec<(u8, usize)>,
}

impl Sim {
    pub fn new(nodes: usize, slack: u64, rates: Vec<(u8, Rate)>, seed: u64) -> Self {
        let mut sim = Self {
            now: 0,
            faults: Faults::default(),
            issuer: Issuer::new(at(0), limit(slack)),
            rates,
            redials: false,
            slack,
            proxies: u32::try_from(nodes).unwrap(),
            nodes: Vec::new(),
            messages: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            admitted: Vec::new(),
            refused: Vec::new(),
            asked: Vec::new(),
            waited: 0,
            claims: 0,
            needs: 0,
            waiters: Vec::new(),
        };
        sim.issuer.set_rates(at(0), sim.rates.iter().copied());
        sim.nodes = (0..nodes).map(|_| sim.node(0)).collect();
        sim
    }

    fn node(&self, stream: u32) -> Node {
        let mut holder = Holder::new(LIFETIME);
        holder.set_limited(self.rates.iter().map(|(tenant, _)| *tenant));
        holder.set_proxies(at(self.now), self.proxies);
        Node {
            holder,
            stream,
            asleep_until: 0,
            cut_until: 0,
            deaf_until: 0,
            claimed_at: None,
            arrived: Vec::new(),
        }
    }

    /// An operation arrives, which waits for a token for at most `wait` milliseconds.
    pub fn arrive(&mut self, node: usize, tenant: u8, wait: u64) {
        let waiter = self.waiters.len() as u64;
        let found = &mut self.nodes[node];
        if found.asleep_until > self.now {
            found.arrived.push((tenant, wait));
            return;
        }
        let deadline = at(self.now + wait);
        let admission = found.holder.take(at(self.now), tenant, waiter, deadline);
        self.waiters.push((tenant, node));
        self.asked.push((self.now, node));
        self.waited += usize::from(admission == Admission::Wait);
        self.record((tenant, node), admission);
    }

    /// One millisecond passes.
    pub fn step(&mut self) {
        self.now += 1;
        self.deliver();
        for node in 0..self.nodes.len() {
            if self.nodes[node].asleep_until > self.now {
                continue;
            }
            for (tenant, wait) in std::mem::take(&mut self.nodes[node].arrived) {
                self.arrive(node, tenant, wait);
            }
            self.wake(node);
        }
    }

    pub fn suspend(&mut self, node: usize, ms: u64) {
        self.nodes[node].asleep_until = self.now + ms;
    }

    pub fn cut(&mut self, node: usize, ms: u64) {
        self.nodes[node].cut_until = self.now + ms;
    }

    pub fn deafen(&mut self, node: usize, ms: u64) {
        self.nodes[node].deaf_until = self.now + ms;
    }

    /// The stream of a holder ends; `heard` if the issuer learns of it.
    pub fn disconnect(&mut self, node: usize, heard: bool) {
        let found = &mut self.nodes[node];
        if heard {
            self.issuer.on_lost(at(self.now), (node, found.stream));
        }
        found.stream += 1;
        found.claimed_at = None;
        found.holder.on_disconnected();
    }

    /// A holder is killed and starts again.
    pub fn kill(&mut self, node: usize, heard: bool) {
        self.disconnect(node, heard);
        self.nodes[node] = self.node(self.nodes[node].stream);
    }

    /// The operations that a holder admitted in the last `ms` never reached a server.
    pub fn hang(&mut self, node: usize, ms: u64) {
        if self.nodes[node].asleep_until > self.now {
            return;
        }
        let from = self.now.saturating_sub(ms);
        let hung = |entry: &mut (u64, u8, usize)| entry.0 >= from && entry.2 == node;
        for (_, tenant, _) in self.admitted.extract_if(.., hung) {
            self.nodes[node].holder.give_back(at(self.now), tenant);
        }
    }

    /// All coordinators and proxies learn of other limits.
    pub fn set_rates(&mut self, rates: Vec<(u8, Rate)>) {
        self.rates = rates;
        let rates = self.rates.iter().copied();
        self.issuer.set_rates(at(self.now), rates);
    }

    /// Another issuer takes over.
    pub fn change_issuer(&mut self) {
        self.issuer = Issuer::new(at(self.now), limit(self.slack));
        let rates = self.rates.iter().copied();
        self.issuer.set_rates(at(self.now), rates);
        (0..self.nodes.len()).for_each(|node| self.disconnect(node, false));
    }

    /// Moments of the admitted operations of a tenant, in order.
    pub fn admitted_of(&self, tenant: u8) -> Vec<u64> {
        let of_tenant = self.admitted.iter().filter(|(_, of, _)| *of == tenant);
        of_tenant.map(|(ms, ..)| *ms).collect()
    }

    fn record(&mut self, (tenant, node): (u8, usize), admission: Admission) {
        match admission {
            Admission::Go => self.admitted.push((self.now, tenant, node)),
            Admission::Wait => {}
            Admission::Refused { retry_in } => self.refused.push((self.now, retry_in)),
        }
    }

    fn settle(&mut self, settled: Vec<Settled<u64>>) {
        for result in settled {
            let waiter = self.waiters[usize::try_from(result.waiter).unwrap()];
            self.record(waiter, result.admission);
        }
    }

    fn wake(&mut self, node: usize) {
        let now = at(self.now);
        let claimed_at = self.nodes[node].claimed_at;
        if self.redials && claimed_at.is_some_and(|at| self.now >= at + SILENCE) {
            self.disconnect(node, false);
        }
        let found = &mut self.nodes[node];
        if found.holder.next_due().is_none_or(|due| due > now) {
            return;
        }
        let mut settled = Vec::new();
        found.holder.expire(now, &mut settled);
        let claim = found.holder.next_claim(now);
        let due = found.holder.next_due();
        assert!(
            due.is_none_or(|due| due > now),
            "due again at once: {due:?}"
        );
        self.settle(settled);
        if let Some(claim) = claim {
            self.claims += 1;
            self.needs += claim.needs.len();
            self.nodes[node].claimed_at = Some(self.now);
            self.send(node, || Body::Claim(claim.clone()));
        }
    }

    fn send(&mut self, node: usize, body: impl Fn() -> Body) {
        let cut = self.nodes[node].cut_until > self.now;
        if cut || self.rng.random_bool(self.faults.lost) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.doubled));
        for _ in 0..copies {
            let is_late = self.rng.random_bool(self.faults.late);
            let late = if is_late {
                self.rng.random_range(0..=self.faults.late_by)
            } else {
                0
            };
            self.messages.push(Message {
                at: self.now + LATENCY + late,
                node,
                stream: self.nodes[node].stream,
                body: body(),
            });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<Message> = self.messages.extract_if(.., |m| m.at <= now).collect();
        for mut message in due {
            let node = &mut self.nodes[message.node];
            if node.stream != message.stream || node.cut_until > now {
                continue;
            }
            match message.body {
                Body::Claim(claim) => {
                    let holder = (message.node, message.stream);
                    let issue = self.issuer.on_claim(at(now), holder, &claim);
                    self.send(message.node, || Body::Issue(issue.clone()));
                }
                Body::Issue(_) if node.deaf_until > now => {}
                Body::Issue(_) if node.asleep_until > now => {
                    message.at = node.asleep_until;
                    self.messages.push(message);
                }
                Body::Issue(issue) => {
                    let mut settled = Vec::new();
                    node.claimed_at = None;
                    node.holder.on_issue(at(now), &issue, &mut settled);
                    self.settle(settled);
                }
            }
        }
    }
}

fn limit(slack: u64) -> Limit {
    Limit {
        lifetime: LIFETIME,
        slack,
    }
}

/// Highest number of the moments in any window of `window` milliseconds, and where that begins.
pub fn busiest(moments: &[u64], window: u64) -> (usize, u64) {
    let mut first = 0;
    let mut most = (0, 0);
    for (last, moment) in moments.iter().enumerate() {
        while moments[first] + window <= *moment {
            first += 1;
        }
        most = most.max((last + 1 - first, moments[first]));
    }
    most
}

//! One fake entry: what it holds and what it sends.

use std::ops::Range;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use wire::{Announcement, Demand, Health, Point, Role, Up};

/// Targets of a database.
pub const MEMBERS: usize = 3;
/// Bytes of an HTTP/2 frame's head and of a message's length.
const HEADS: usize = 9 + 4;

/// What all entries report.
#[derive(Debug)]
pub struct Plan {
    /// Number of entries.
    pub entries: usize,
    /// Number of targets.
    pub targets: usize,
    /// First port of the targets.
    pub port: u16,
    /// Targets that each entry reports.
    pub report: usize,
    /// Entries that announce each target.
    pub announce: usize,
    /// Targets of which each entry wants connections.
    pub demand: usize,
    /// Targets that the first entry announces while the catalog is filled.
    pub fill: Option<Range<usize>>,
    /// Databases whose primaries are silent, and since when.
    pub failed: Option<(usize, Instant)>,
}

/// A fake entry.
#[derive(Debug)]
pub struct Fake {
    /// Its index, also its start number.
    pub index: usize,
    started: Instant,
    /// Stream to the leader.
    pub out: Option<mpsc::Sender<Up>>,
    /// When its dial began.
    pub dialed_at: Instant,
    /// From the dial to the whole catalog.
    pub caught_up: Option<Duration>,
    /// Revision that it confirms.
    pub revision: u64,
    /// Grants that it got.
    pub grants: u64,
    seq: u64,
    confirmed: u64,
    /// When it renews next.
    pub renew_at: Instant,
    /// Encoded bytes sent, counted for the first entry only.
    pub sent: usize,
    /// Encoded bytes received, counted for the first entry only.
    pub received: usize,
}

/// Name of a target.
pub fn target(index: usize) -> String {
    format!("target-{index:05}")
}

/// Name of a database.
pub fn database(index: usize) -> String {
    format!("database-{index:04}")
}

impl Plan {
    /// What a target says of itself.
    pub fn announcement(&self, index: usize) -> Announcement {
        let (of, member) = (index / MEMBERS, index % MEMBERS);
        Announcement {
            target: target(index),
            service: format!("service-{:02}", of % 50),
            database: database(of),
            group: "group".to_owned(),
            region: format!("region-{}", member % 3),
            domain: format!("domain-{}", (of + member) % 7),
            address: format!("127.0.0.1:{}", usize::from(self.port) + member),
            role: if member == 0 {
                Role::Primary
            } else {
                Role::Replica
            },
            leaving: false,
            connections: 100_000,
            slots: 5,
        }
    }

    fn health(&self, index: usize, now: Instant) -> Health {
        let (of, member) = (index / MEMBERS, index % MEMBERS);
        let silent = self.failed.filter(|(count, _)| member == 0 && of < *count);
        let silent = silent.map_or(20, |(_, since)| (now - since).as_millis());
        Health {
            target: target(index),
            role: if member == 0 {
                Role::Primary
            } else {
                Role::Replica
            },
            point: Point { term: 1, lsn: 4096 },
            silent_ms: u32::try_from(silent).unwrap_or(u32::MAX),
        }
    }
}

impl Fake {
    /// An entry that is not connected.
    pub fn new(index: usize, now: Instant) -> Self {
        Self {
            index,
            started: now,
            out: None,
            dialed_at: now,
            caught_up: None,
            revision: 0,
            grants: 0,
            seq: 0,
            confirmed: 0,
            renew_at: now,
            sent: 0,
            received: 0,
        }
    }

    /// Sends the introduction.
    pub fn send_hello(&mut self, out: mpsc::Sender<Up>) {
        let hello = Up::Hello {
            version: wire::VERSION,
            instance: format!("fake-{:04}", self.index),
            domain: format!("domain-{}", self.index % 7),
            boot: self.index as u64 + 1,
            revision: self.revision,
        };
        self.out = Some(out);
        self.send(hello);
    }

    /// A grant arrived; what it says is kept to.
    pub fn on_grant(&mut self, seq: u64) {
        self.confirmed = self.confirmed.max(seq);
        self.grants += 1;
    }

    /// Sends a renewal.
    pub fn renew(&mut self, now: Instant, plan: &Plan) {
        self.renew_at = now + Duration::from_millis(250);
        self.seq += 1;
        let first = self.index * plan.report;
        let mut watched: Vec<usize> = (first..first + plan.report.min(plan.targets))
            .map(|index| index % plan.targets)
            .collect();
        if let Some((count, _)) = plan.failed {
            watched.extend((0..count).map(|of| of * MEMBERS));
            watched.sort_unstable();
            watched.dedup();
        }
        let wanted = (first..first + plan.demand).map(|index| target(index % plan.targets));
        let announced: Vec<usize> = match &plan.fill {
            Some(range) => range.clone().collect(),
            None => (0..plan.announce)
                .map(|ahead| (self.index + ahead) % plan.entries)
                .flat_map(|first| (first..plan.targets).step_by(plan.entries))
                .collect(),
        };
        let renewal = Up::Renew {
            seq: self.seq,
            age_ms: u64::try_from((now - self.started).as_millis()).unwrap_or(u64::MAX),
            revision: self.revision,
            confirmed: self.confirmed,
            demand: wanted
                .map(|target| Demand {
                    target,
                    connections: 2,
                })
                .collect(),
            long: Vec::new(),
            health: watched.iter().map(|i| plan.health(*i, now)).collect(),
            announcements: announced.iter().map(|i| plan.announcement(*i)).collect(),
        };
        self.send(renewal);
    }

    fn send(&mut self, message: Up) {
        if self.index == 0 {
            self.sent += size(&message);
        }
        if let Some(out) = &self.out {
            let _full = out.try_send(message);
        }
    }
}

/// Bytes of a message on a stream.
pub fn size<M: serde::Serialize>(message: &M) -> usize {
    let mut bytes = Vec::new();
    wire::encode(message, &mut bytes).map_or(0, |()| bytes.len() + HEADS)
}

//! A fake entry: its state, and the messages that it sends.

use std::ops::Range;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use wire::{Announcement, Demand, Health, Point, Role, Up};

pub const TARGETS_PER_DATABASE: usize = 3;
/// HTTP/2 frame header and length prefix of a message.
const FRAME_OVERHEAD_BYTES: usize = 9 + 4;

/// What the fake entries report, announce and demand.
#[derive(Debug)]
pub struct Plan {
    pub entry_count: usize,
    pub target_count: usize,
    /// First port of the targets.
    pub first_port: u16,
    /// Number of targets whose health each entry reports.
    pub reported_targets: usize,
    /// Number of entries that announce each target.
    pub announcers: usize,
    /// Number of targets for which each entry demands connections.
    pub demanded_targets: usize,
    /// Targets that the first entry announces while the catalog is filled.
    pub fill: Option<Range<usize>>,
    /// Number of databases whose primaries are silent, and since when.
    pub failed: Option<(usize, Instant)>,
}

#[derive(Debug)]
pub struct Entry {
    /// Index, from which the boot number is derived.
    pub index: usize,
    started: Instant,
    /// Stream to the leader.
    pub sender: Option<mpsc::Sender<Up>>,
    pub dialed_at: Instant,
    /// Time from the dial to the arrival of the catalog.
    pub catalog_after: Option<Duration>,
    /// Latest catalog revision, which the renewals confirm.
    pub revision: u64,
    /// Number of grants received.
    pub grants: u64,
    seq: u64,
    confirmed: u64,
    pub renew_at: Instant,
    /// Encoded bytes sent; counted for the first entry only.
    pub sent: usize,
    /// Encoded bytes received; counted for the first entry only.
    pub received: usize,
}

pub fn target_name(index: usize) -> String {
    format!("target-{index:05}")
}

pub fn database_name(index: usize) -> String {
    format!("database-{index:04}")
}

impl Plan {
    /// Returns the announcement of a target.
    pub fn announcement(&self, index: usize) -> Announcement {
        let (database_index, member) = (index / TARGETS_PER_DATABASE, index % TARGETS_PER_DATABASE);
        Announcement {
            target: target_name(index),
            service: format!("service-{:02}", database_index % 50),
            database: database_name(database_index),
            group: "group".to_owned(),
            region: format!("region-{}", member % 3),
            domain: format!("domain-{}", (database_index + member) % 7),
            address: format!("127.0.0.1:{}", usize::from(self.first_port) + member),
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
        let (database_index, member) = (index / TARGETS_PER_DATABASE, index % TARGETS_PER_DATABASE);
        let silent = self
            .failed
            .filter(|(count, _)| member == 0 && database_index < *count);
        let silent = silent.map_or(20, |(_, since)| (now - since).as_millis());
        Health {
            target: target_name(index),
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

impl Entry {
    /// Creates an entry that is not connected.
    pub fn new(index: usize, now: Instant) -> Self {
        Self {
            index,
            started: now,
            sender: None,
            dialed_at: now,
            catalog_after: None,
            revision: 0,
            grants: 0,
            seq: 0,
            confirmed: 0,
            renew_at: now,
            sent: 0,
            received: 0,
        }
    }

    /// Sends the hello, the first message on a stream.
    pub fn send_hello(&mut self, sender: mpsc::Sender<Up>) {
        let hello = Up::Hello {
            version: wire::VERSION,
            instance: format!("fake-{:04}", self.index),
            domain: format!("domain-{}", self.index % 7),
            boot: self.index as u64 + 1,
            revision: self.revision,
        };
        self.sender = Some(sender);
        self.send(hello);
    }

    /// Records a grant, which the next renewal confirms.
    pub fn on_grant(&mut self, seq: u64) {
        self.confirmed = self.confirmed.max(seq);
        self.grants += 1;
    }

    pub fn renew(&mut self, now: Instant, plan: &Plan) {
        self.renew_at = now + Duration::from_millis(250);
        self.seq += 1;
        let first_target = self.index * plan.reported_targets;
        let mut reported: Vec<usize> = (first_target
            ..first_target + plan.reported_targets.min(plan.target_count))
            .map(|index| index % plan.target_count)
            .collect();
        if let Some((count, _)) = plan.failed {
            reported.extend((0..count).map(|database_index| database_index * TARGETS_PER_DATABASE));
            reported.sort_unstable();
            reported.dedup();
        }
        let demanded = (first_target..first_target + plan.demanded_targets)
            .map(|index| target_name(index % plan.target_count));
        let announced: Vec<usize> = match &plan.fill {
            Some(range) => range.clone().collect(),
            None => (0..plan.announcers)
                .map(|offset| (self.index + offset) % plan.entry_count)
                .flat_map(|first_target| {
                    (first_target..plan.target_count).step_by(plan.entry_count)
                })
                .collect(),
        };
        let renewal = Up::Renew {
            seq: self.seq,
            age_ms: u64::try_from((now - self.started).as_millis()).unwrap_or(u64::MAX),
            revision: self.revision,
            confirmed: self.confirmed,
            demand: demanded
                .map(|target| Demand {
                    target,
                    connections: 2,
                })
                .collect(),
            long: Vec::new(),
            health: reported.iter().map(|i| plan.health(*i, now)).collect(),
            announcements: announced.iter().map(|i| plan.announcement(*i)).collect(),
        };
        self.send(renewal);
    }

    fn send(&mut self, message: Up) {
        if self.index == 0 {
            self.sent += encoded_len(&message);
        }
        if let Some(sender) = &self.sender {
            let _full = sender.try_send(message);
        }
    }
}

/// Returns the bytes that a message takes on a stream.
pub fn encoded_len<M: serde::Serialize>(message: &M) -> usize {
    let mut bytes = Vec::new();
    wire::encode(message, &mut bytes).map_or(0, |()| bytes.len() + FRAME_OVERHEAD_BYTES)
}

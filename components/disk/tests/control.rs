//! The consensus node together with its files: a node that stops at any write, or whose disk fails,
//! keeps every entry that it acknowledged.

#[path = "faulty/mod.rs"]
mod faulty;

use std::path::Path;
use std::time::{Duration, Instant};

use consensus::{Action, Identity, Member, Node, Payload, Refusal, Role, Seat, Settings, Store};
use disk::Wal;
use faulty::Faulty;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use types::Name;

/// The only voter of a cluster, with its write-ahead log.
struct SingleVoter<'a> {
    wal: Wal<&'a mut Faulty>,
    node: Node<StdRng>,
    now: Instant,
    actions: Vec<Action>,
    applied: Vec<Vec<u8>>,
}

impl<'a> SingleVoter<'a> {
    fn start(fs: &'a mut Faulty, rng: &mut StdRng) -> anyhow::Result<Self> {
        let (wal, opened) = Wal::open(fs, Path::new("data"), rng)?;
        let instance = Name::try_from("catania-1")?;
        let identity = Identity::new(instance, opened.disk);
        let member = Member::new(identity.clone(), "127.0.0.1:7000".parse()?, Seat::Voter);
        let entries = opened.saved.snapshot.data.chunks(4).map(<[u8]>::to_vec);
        let applied = entries.collect();
        let now = Instant::now();
        let seed = StdRng::seed_from_u64(rng.random());
        let node = Node::new(now, identity, Settings::default(), seed, opened.saved);
        let mut voter = Self {
            wal,
            node,
            now,
            actions: Vec::new(),
            applied,
        };
        // Refused unless this is the first start.
        let _ = voter.node.on_bootstrap(now, &[member], &mut voter.actions);
        voter.sync();
        while voter.node.role() != Role::Leader && !voter.node.is_failed() {
            voter.now += Duration::from_millis(50);
            voter.node.on_tick(voter.now, &mut voter.actions);
            voter.sync();
        }
        Ok(voter)
    }

    /// Performs writes as a control instance does, and reports the sync or the failure to the node.
    fn sync(&mut self) {
        while !self.actions.is_empty() {
            let mut last_seq = 0;
            let mut result = Ok(());
            for action in std::mem::take(&mut self.actions) {
                match action {
                    Action::Write(seq, write) if result.is_ok() => {
                        last_seq = seq;
                        result = self.wal.write(&write);
                    }
                    Action::Apply(entry) => {
                        if let Payload::Data(data) = entry.payload {
                            self.applied.push(data);
                        }
                    }
                    _ => {}
                }
            }
            match result.and_then(|()| self.wal.sync()) {
                Ok(()) if last_seq > 0 => {
                    self.node.on_synced(self.now, last_seq, &mut self.actions)
                }
                Ok(()) => {}
                Err(_) => {
                    self.node.on_write_failed(self.now, &mut self.actions);
                    self.actions.clear();
                }
            }
        }
    }
}

#[rstest]
fn acknowledged_entries_survive_disk_failures(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fs = Faulty::default();
    let mut acknowledged: Vec<Vec<u8>> = Vec::new();
    let mut proposal = 0_u32;
    for round in 0..60 {
        let failing_operation = fs.operations + rng.random_range(1..80);
        fs.fault = Some((failing_operation, rng.random_range(0..60)));
        let voter = SingleVoter::start(&mut fs, &mut rng).ok();
        // A node that failed before it became leader does not know which entries are committed.
        if let Some(mut voter) = voter.filter(|voter| voter.node.role() == Role::Leader) {
            assert!(
                voter.applied.starts_with(&acknowledged),
                "an acknowledged entry is missing in round {round}"
            );
            for _ in 0..20 {
                proposal += 1;
                let data = proposal.to_le_bytes();
                let result = voter.node.on_propose(voter.now, &data, &mut voter.actions);
                assert_eq!(
                    result.err(),
                    voter.node.is_failed().then_some(Refusal::WriteFailed)
                );
                voter.sync();
                if proposal.is_multiple_of(7) {
                    let (index, state) = (voter.node.commit_index(), voter.applied.concat());
                    let _ = voter
                        .node
                        .on_compact(voter.now, index, state, &mut voter.actions);
                    voter.sync();
                }
            }
            if voter.node.is_failed() {
                let refused = voter.node.on_read(voter.now, 1, &mut voter.actions);
                assert_eq!(refused, Err(Refusal::WriteFailed));
            }
            acknowledged = voter.applied;
        }
        fs.crash(rng.random_range(0..100));
    }
    assert!(
        acknowledged.len() > 100,
        "only {} acknowledged entries",
        acknowledged.len()
    );
}

//! Guards against lost or reordered committed entries, two leaders of an epoch and logs that
//! differ, under random cuts, restarts that lose unsynced writes, emptied disks, lost, doubled
//! and late messages.

mod network;

use consensus::{Change, Seat, Settings, member};
use network::{Net, name};
use rand::RngExt;
use rstest::rstest;

const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];

fn settings() -> Settings {
    Settings {
        keep: 8,
        chunk_bytes: 64,
        append_bytes: 512,
        window: 16,
        ..Settings::default()
    }
}

/// Equal positions must mean equal entries, in every pair of logs.
fn check_logs(net: &Net) {
    for (who, host) in &net.hosts {
        for (other, peer) in &net.hosts {
            for index in 1..=host.node.last().index.min(peer.node.last().index) {
                if let (Some(one), Some(two)) = (host.node.entry(index), peer.node.entry(index))
                    && one.position == two.position
                {
                    assert_eq!(one, two, "{who} and {other} differ at {index}");
                    let before = (host.node.entry(index - 1), peer.node.entry(index - 1));
                    if let (Some(one), Some(two)) = before {
                        assert_eq!(one, two, "{who} and {other} differ before {index}");
                    }
                }
            }
        }
    }
}

/// One random fault.
fn disturb(net: &mut Net) {
    let who = name(NAMES[net.rng.random_range(0..net.hosts.len())]);
    match net.rng.random_range(0..8) {
        0 | 1 => net.cut = [who].into(),
        2 => {
            let other = name(NAMES[net.rng.random_range(0..net.hosts.len())]);
            net.cut = [who, other].into();
        }
        3 | 4 => net.restart(&who),
        5 => {
            for who in net.hosts.keys().cloned().collect::<Vec<_>>() {
                net.restart(&who);
            }
        }
        _ => net.cut.clear(),
    }
}

fn work(net: &mut Net, step: u8) {
    for part in 0..net.rng.random_range(0..12) {
        net.propose(&[step, part]);
    }
    let span = net.rng.random_range(1..400);
    net.run(span);
    let who = name(NAMES[net.rng.random_range(0..net.hosts.len())]);
    let host = &net.hosts[&who];
    if host.applied > host.node.snapshot().position.index + 20 {
        let (index, state) = (host.applied, host.state.clone());
        // Refused while a snapshot is on its way to a member; a later step takes one then.
        let _ = net.act(&who, |node, now, out| {
            node.on_compact(now, index, state, out)
        });
    }
}

fn settle(net: &mut Net) {
    net.cut.clear();
    net.loss = 0.0;
    net.run(5_000);
    assert!(net.propose(b"end"), "no leader after the faults");
    net.run(2_000);
    let last = *net.committed.keys().last().unwrap();
    let states: Vec<_> = net
        .hosts
        .values()
        .map(|host| (host.applied, &host.state))
        .collect();
    assert!(
        states.iter().all(|state| *state == states[0]),
        "states differ at the end"
    );
    assert_eq!(states[0].0, last);
    assert!(states[0].1.ends_with(b"end"));
}

#[rstest]
fn nothing_committed_is_lost(
    #[values(3, 5)] size: usize,
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64,
) {
    let mut net = Net::new(seed, &NAMES[..size], settings());
    (net.loss, net.delay_us) = (0.05, 20_000);
    for step in 0..80 {
        disturb(&mut net);
        work(&mut net, step);
        check_logs(&net);
    }
    settle(&mut net);
    assert!(net.committed.len() > 100, "{} entries", net.committed.len());
}

/// Repairs one voter after another while the network loses messages and instances restart.
#[rstest]
fn repairs_lose_nothing(#[values(11, 12, 13, 14, 15, 16, 17, 18)] seed: u64) {
    let mut net = Net::new(seed, &NAMES[..3], settings());
    (net.loss, net.delay_us) = (0.03, 10_000);
    net.run(1_000);
    for step in 0..12 {
        let who = NAMES[net.rng.random_range(0..3)];
        let member = net.add(who);
        let me = member.identity();
        let join = Change::Join(me.clone(), member.address);
        for _ in 0..60 {
            work(&mut net, step);
            let healthy = name(NAMES[net.rng.random_range(0..3)]);
            if healthy.as_str() != who && net.rng.random_bool(0.2) {
                net.restart(&healthy);
            }
            let Some(leader) = net.leader() else { continue };
            let members = net.hosts[&leader].node.members();
            match member::find(members, &me).map(|member| member.seat) {
                Some(Seat::Voter) => break,
                seat => {
                    let promote = Change::Promote(me.clone());
                    let change = if seat.is_none() { &join } else { &promote };
                    let _ = net.act(&leader, |node, now, out| node.on_change(now, change, out));
                }
            }
        }
        // The change is in force only when committed; the next repair has to wait for it.
        net.run(3_000);
        let leader = net.leader().expect("a leader after the repair");
        let members = net.hosts[&leader].node.members();
        assert!(member::is_voter(members, &me), "step {step}");
        check_logs(&net);
    }
    settle(&mut net);
}

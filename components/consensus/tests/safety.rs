//! Guards against lost or reordered committed entries, two leaders in one epoch and diverging logs,
//! under random isolation, restarts that lose unsynced writes, erased disks, and messages that are
//! lost, duplicated or delayed.

mod network;

use consensus::{Change, Seat, Settings, member};
use network::{Network, name};
use rand::RngExt;
use rstest::rstest;

const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];

fn settings() -> Settings {
    Settings {
        retained_entries: 8,
        snapshot_chunk_bytes: 64,
        max_append_bytes: 512,
        max_unacknowledged_entries: 16,
        ..Settings::default()
    }
}

/// Entries at the same position must be equal in every pair of logs, and so must the entries before
/// them.
fn check_logs(net: &Network) {
    for (instance, host) in &net.hosts {
        for (other, other_host) in &net.hosts {
            for index in 1..=host
                .node
                .last_position()
                .index
                .min(other_host.node.last_position().index)
            {
                if let (Some(entry), Some(other_entry)) =
                    (host.node.entry(index), other_host.node.entry(index))
                    && entry.position == other_entry.position
                {
                    assert_eq!(
                        entry, other_entry,
                        "{instance} and {other} differ at {index}"
                    );
                    let before = (host.node.entry(index - 1), other_host.node.entry(index - 1));
                    if let (Some(entry), Some(other_entry)) = before {
                        assert_eq!(
                            entry, other_entry,
                            "{instance} and {other} differ before {index}"
                        );
                    }
                }
            }
        }
    }
}

/// Injects a random fault or ends the isolation of instances.
fn inject_fault(net: &mut Network) {
    let instance = name(NAMES[net.rng.random_range(0..net.hosts.len())]);
    match net.rng.random_range(0..8) {
        0 | 1 => net.isolated = [instance].into(),
        2 => {
            let other = name(NAMES[net.rng.random_range(0..net.hosts.len())]);
            net.isolated = [instance, other].into();
        }
        3 | 4 => net.restart(&instance),
        5 => {
            for instance in net.hosts.keys().cloned().collect::<Vec<_>>() {
                net.restart(&instance);
            }
        }
        _ => net.isolated.clear(),
    }
}

fn run_workload(net: &mut Network, step: u8) {
    for number in 0..net.rng.random_range(0..12) {
        net.propose(&[step, number]);
    }
    let duration_ms = net.rng.random_range(1..400);
    net.run(duration_ms);
    let instance = name(NAMES[net.rng.random_range(0..net.hosts.len())]);
    let host = &net.hosts[&instance];
    if host.applied_index > host.node.snapshot().position.index + 20 {
        let (index, state) = (host.applied_index, host.state.clone());
        // Refused while a snapshot is being sent to a member; a later step retries.
        let _ = net.call(&instance, |node, now, actions| {
            node.on_compact(now, index, state, actions)
        });
    }
}

fn check_convergence(net: &mut Network) {
    net.isolated.clear();
    net.loss_rate = 0.0;
    net.run(5_000);
    assert!(
        net.propose(b"end"),
        "no leader accepts proposals after the faults"
    );
    net.run(2_000);
    let last = *net.committed.keys().last().unwrap();
    let states: Vec<_> = net
        .hosts
        .values()
        .map(|host| (host.applied_index, &host.state))
        .collect();
    assert!(
        states.iter().all(|state| *state == states[0]),
        "the state machines differ after the faults"
    );
    assert_eq!(states[0].0, last);
    assert!(states[0].1.ends_with(b"end"));
}

#[rstest]
fn committed_entries_survive_random_faults(
    #[values(3, 5)] size: usize,
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64,
) {
    let mut net = Network::new(seed, &NAMES[..size], settings());
    (net.loss_rate, net.max_delay_us) = (0.05, 20_000);
    for step in 0..80 {
        inject_fault(&mut net);
        run_workload(&mut net, step);
        check_logs(&net);
    }
    check_convergence(&mut net);
    assert!(
        net.committed.len() > 100,
        "only {} entries were committed",
        net.committed.len()
    );
}

/// Erases and repairs one voter after another while messages get lost and instances restart.
#[rstest]
fn committed_entries_survive_repairs(#[values(11, 12, 13, 14, 15, 16, 17, 18)] seed: u64) {
    let mut net = Network::new(seed, &NAMES[..3], settings());
    (net.loss_rate, net.max_delay_us) = (0.03, 10_000);
    net.run(1_000);
    for step in 0..12 {
        let instance = NAMES[net.rng.random_range(0..3)];
        let member = net.add(instance);
        let identity = member.identity();
        let join = Change::Join(identity.clone(), member.address);
        for _ in 0..60 {
            run_workload(&mut net, step);
            let restarted = name(NAMES[net.rng.random_range(0..3)]);
            if restarted.as_str() != instance && net.rng.random_bool(0.2) {
                net.restart(&restarted);
            }
            let Some(leader) = net.leader() else { continue };
            let members = net.hosts[&leader].node.members();
            match member::find(members, &identity).map(|member| member.seat) {
                Some(Seat::Voter) => break,
                seat => {
                    let promote = Change::Promote(identity.clone());
                    let change = if seat.is_none() { &join } else { &promote };
                    let _ = net.call(&leader, |node, now, actions| {
                        node.on_change(now, change, actions)
                    });
                }
            }
        }
        // The next change is refused until this one is committed.
        net.run(3_000);
        let leader = net.leader().expect("no leader after the repair");
        let members = net.hosts[&leader].node.members();
        assert!(
            member::is_voter(members, &identity),
            "the erased instance is no voter after step {step}"
        );
        check_logs(&net);
    }
    check_convergence(&mut net);
}

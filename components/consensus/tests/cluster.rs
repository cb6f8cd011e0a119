//! Guards the rules of elections, confirmation, identities, membership and snapshots in a running
//! cluster.

mod network;

use consensus::{Action, Change, Identity, Refusal, Role, Saved, Seat, Settings, member};
use network::{Net, name};
use rstest::rstest;
use types::Name;

const NAMES: [&str; 3] = ["a", "b", "c"];

fn start(seed: u64) -> (Net, Name) {
    let mut net = Net::new(seed, &NAMES, Settings::default());
    net.run(1_000);
    let leader = net.leader().expect("a first leader");
    (net, leader)
}

fn others(leader: &Name) -> [Name; 2] {
    let names = NAMES.iter().map(|text| name(text));
    let others: Vec<_> = names.filter(|who| who != leader).collect();
    others.try_into().unwrap()
}

fn change(net: &mut Net, change: &Change) -> Result<(), Refusal> {
    let leader = net.leader().expect("a leader");
    net.act(&leader, |node, now, out| node.on_change(now, change, out))
        .map(drop)
}

fn seat(net: &Net, who: &Identity) -> Option<Seat> {
    let leader = net.leader()?;
    let members = net.hosts[&leader].node.members();
    member::find(members, who).map(|member| member.seat)
}

/// Empties the disk of an instance and starts it.
fn empty(net: &mut Net, who: &Name) -> (Identity, Change) {
    let member = net.add(who.as_str());
    let me = member.identity();
    (me.clone(), Change::Join(me, member.address))
}

#[rstest]
fn a_leader_is_found_after_the_loss_of_another(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let (mut net, old) = start(seed);
    net.cut.insert(old.clone());
    net.run(600);
    assert!(
        net.leader().is_some_and(|leader| leader != old),
        "no leader within 600 ms"
    );
}

#[rstest]
fn a_member_that_returns_raises_no_epoch(#[values(1, 2, 3)] seed: u64) {
    let (mut net, leader) = start(seed);
    let away = others(&leader)[0].clone();
    let epoch = net.hosts[&leader].node.epoch();
    net.cut.insert(away.clone());
    for _ in 0..20 {
        assert!(net.propose(b"x"));
        net.run(500);
    }
    assert_eq!(net.hosts[&away].node.epoch(), epoch);
    net.cut.clear();
    net.run(1_000);
    assert_eq!(net.leader(), Some(leader.clone()));
    assert!(net.hosts.values().all(|host| host.node.epoch() == epoch));
    assert_eq!(net.hosts[&away].applied, net.hosts[&leader].applied);
}

#[test]
fn an_isolated_leader_confirms_nothing_and_answers_no_read() {
    let (mut net, old) = start(7);
    assert!(net.hosts[&old].node.leader_confirmed(net.now));
    net.cut.insert(old.clone());
    net.act(&old, |node, now, out| node.on_read(now, 1, out))
        .unwrap();
    let end = net.now + Settings::default().election_min;
    while net.now < end {
        net.run(1);
        let has_next = net
            .hosts
            .iter()
            .any(|(who, host)| *who != old && host.node.role() == Role::Leader);
        let confirmed = net.hosts[&old].node.leader_confirmed(net.now);
        assert!(!(confirmed && has_next), "two leaders could grant leases");
    }
    assert!(!net.hosts[&old].node.leader_confirmed(net.now));
    net.run(200);
    let refused = net.act(&old, |node, now, out| node.on_read(now, 2, out));
    assert_eq!(refused, Err(Refusal::Follower(None)));
    let refused = net.act(&old, |node, now, out| node.on_propose(now, b"late", out));
    assert_eq!(refused, Err(Refusal::Follower(None)));
    let seen = &net.hosts[&old].seen;
    assert!(
        !seen
            .iter()
            .any(|action| matches!(action, Action::Read { .. }))
    );
    assert!(seen.contains(&Action::Refuse(1)));
}

/// Proposals that arrive while a write is being synced share the next write.
#[test]
fn proposals_are_batched() {
    let (mut net, leader) = start(4);
    net.run(100);
    let writes = net.hosts[&leader].pending.len();
    (0..100).for_each(|_| assert!(net.propose(b"x")));
    assert_eq!(net.hosts[&leader].pending.len(), writes + 1);
    net.run(100);
    assert!(net.hosts.values().all(|host| host.state.len() == 100));
}

/// The disk of the leader hangs for seconds while those of a quorum work. What was proposed after its
/// first unfinished write waited for that disk, and with it every operator and server.
#[test]
fn a_stalled_disk_of_the_leader_holds_nothing_up() {
    let (mut net, leader) = start(6);
    net.run(100);
    net.stalled.insert(leader.clone());
    for count in 1..=5 {
        assert!(net.propose(b"x"));
        net.run(200);
        let state = net.hosts.values().map(|host| host.state.len());
        assert!(
            state.min() >= Some(count),
            "proposal {count} is not committed"
        );
    }
    net.stalled.clear();
    net.run(200);
    assert_eq!(net.leader(), Some(leader));
    assert!(net.hosts.values().all(|host| host.pending.is_empty()));
}

/// With two voters gone and one of them emptied, a vote from the emptied disk would elect a leader
/// that may lack committed entries.
#[rstest]
fn an_emptied_disk_does_not_vote(#[values(1, 2, 3, 4)] seed: u64) {
    let (mut net, leader) = start(seed);
    let [behind, emptied] = &others(&leader);
    net.cut.insert(behind.clone());
    (0..20).for_each(|_| assert!(net.propose(b"x")));
    net.run(500);
    let committed = net.hosts[&leader].applied;
    net.cut = [leader.clone()].into();
    let (me, _) = empty(&mut net, emptied);
    net.run(5_000);
    let present = [behind, emptied].map(|who| net.hosts[who].node.role());
    assert!(
        !present.contains(&Role::Leader),
        "elected by an emptied disk"
    );
    net.cut.clear();
    net.run(2_000);
    assert_eq!(
        net.hosts[&net.leader().unwrap()].node.last().index,
        committed + 1
    );
    let seen = &net.hosts[&net.leader().unwrap()].seen;
    assert!(
        seen.contains(&Action::UnknownIdentity(me)),
        "the new identity is not reported"
    );
}

/// The emptied instance keeps its place only as a learner until it is promoted.
#[test]
fn a_learner_neither_counts_nor_is_promoted_early() {
    let (mut net, leader) = start(5);
    let [gone, emptied] = &others(&leader);
    (0..2_000).for_each(|_| assert!(net.propose(&[7; 64])));
    net.run(1_000);
    let (me, join) = empty(&mut net, emptied);
    net.run(200);
    change(&mut net, &join).unwrap();
    assert_eq!(
        change(&mut net, &join),
        Err(Refusal::Busy),
        "two changes at once"
    );
    assert_eq!(seat(&net, &me), Some(Seat::Learner));
    net.cut.insert(emptied.clone());
    net.run(100);
    assert_eq!(
        change(&mut net, &Change::Promote(me.clone())),
        Err(Refusal::Behind)
    );
    net.cut = [gone.clone()].into();
    let before = net.hosts[&leader].node.commit();
    assert!(net.propose(b"x"));
    net.run(250);
    assert_eq!(
        net.hosts[&leader].node.commit(),
        before,
        "a learner counted"
    );
    net.cut.clear();
    net.run(1_000);
    let leader = net.leader().unwrap();
    let report = net.hosts[&leader]
        .seen
        .iter()
        .rev()
        .find_map(|action| match action {
            Action::Learner {
                instance, ready, ..
            } if instance == emptied => Some(*ready),
            _ => None,
        });
    assert_eq!(report, Some(true));
    change(&mut net, &Change::Promote(me.clone())).unwrap();
    net.run(200);
    assert_eq!(seat(&net, &me), Some(Seat::Voter));
}

#[rstest]
fn losing_a_second_instance_after_a_repair_loses_nothing(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
    #[values(true, false)] lose_leader: bool,
) {
    let (mut net, _) = start(seed);
    (0..300).for_each(|_| assert!(net.propose(b"x")));
    net.run(500);
    let leader = net.leader().unwrap();
    let [other, emptied] = &others(&leader);
    let (me, join) = empty(&mut net, emptied);
    net.run(200);
    change(&mut net, &join).unwrap();
    net.run(500);
    change(&mut net, &Change::Promote(me)).unwrap();
    // The promotion is in force from its append; stop the second instance as soon as it commits.
    let index = net.hosts[&leader].node.last().index;
    while net.hosts[&leader].node.commit() < index {
        net.run(1);
    }
    let lost = if lose_leader { &leader } else { other };
    net.cut.insert(lost.clone());
    empty(&mut net, lost);
    net.run(2_000);
    let next = net
        .leader()
        .expect("the repaired instance and the last old one lead on");
    assert!(net.propose(b"y"));
    net.run(500);
    assert_eq!(net.hosts[&next].state, [&[b'x'; 300][..], b"y"].concat());
    assert_eq!(net.hosts[emptied].state, net.hosts[&next].state);
}

/// A transfer continues where it was cut, and the member ends with the leader's state.
#[rstest]
fn a_member_behind_the_log_gets_the_snapshot(#[values(1, 2, 3)] seed: u64) {
    let settings = Settings {
        keep: 10,
        chunk_bytes: 16,
        ..Settings::default()
    };
    let mut net = Net::new(seed, &NAMES, settings);
    net.run(1_000);
    let leader = net.leader().unwrap();
    let away = others(&leader)[0].clone();
    net.cut.insert(away.clone());
    for part in 0..=255 {
        assert!(net.propose(&[part; 3]));
        net.run(10);
    }
    net.run(100);
    for who in [&leader, &others(&leader)[1]] {
        let (index, state) = (net.hosts[who].applied, net.hosts[who].state.clone());
        net.act(who, |node, now, out| {
            node.on_compact(now, index, state, out)
        })
        .unwrap();
    }
    net.loss = 0.1;
    for _ in 0..6 {
        net.cut.clear();
        net.run(60);
        net.cut.insert(away.clone());
        net.run(60);
    }
    net.cut.clear();
    (net.loss, net.delay_us) = (0.0, 1_000);
    net.run(2_000);
    assert!(
        net.hosts[&away].node.snapshot().position.index > 200,
        "no snapshot was installed"
    );
    assert_eq!(net.hosts[&away].state, net.hosts[&leader].state);
    net.restart(&away);
    net.run(500);
    assert_eq!(net.hosts[&away].state, net.hosts[&leader].state);
}

#[test]
fn a_removed_leader_steps_down_after_the_commit() {
    let (mut net, leader) = start(6);
    let me = net.hosts[&leader].node.identity().clone();
    change(&mut net, &Change::Remove(me.clone())).unwrap();
    net.run(1_000);
    assert_ne!(net.hosts[&leader].node.role(), Role::Leader);
    assert_eq!(
        net.hosts[&leader].node.deadline(),
        None,
        "a removed member stands for election"
    );
    assert_eq!(seat(&net, &me), None);
    assert!(net.propose(b"x"));
}

/// Guards against a cluster without a leader after founders that stopped before their first sync.
#[test]
fn an_interrupted_bootstrap_can_be_repeated() {
    let mut net = Net::new(1, &["a"], Settings::default());
    let members = net.hosts[&name("a")].node.members().to_vec();
    let (me, _) = empty(&mut net, &name("b"));
    let refused = net.act(&me.instance, |node, now, out| {
        node.on_bootstrap(now, &members, out)
    });
    assert_eq!(
        refused,
        Err(Refusal::Invalid),
        "a blank disk that is not in the list"
    );
    let host = net.hosts.get_mut(&name("a")).unwrap();
    host.saved = Saved {
        entries: Vec::new(),
        ..host.saved.clone()
    };
    net.restart(&name("a"));
    net.act(&name("a"), |node, now, out| {
        node.on_bootstrap(now, &members, out)
    })
    .unwrap();
    net.run(1_000);
    assert_eq!(net.leader(), Some(name("a")));
}

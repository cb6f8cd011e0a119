//! Guards what a single node withholds until its writes are durable, and what it refuses after a
//! failed write.

use std::time::{Duration, Instant};

use consensus::{
    Action, Body, Disk, Entry, Epoch, Identity, Member, Node, Payload, Peer, Position, Refusal,
    Role, Saved, Seat, Settings, Write,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use types::Name;

fn identity(disk: u64) -> Identity {
    let instance = Name::try_from(["a", "b", "c"][usize::try_from(disk).unwrap()]).unwrap();
    Identity {
        instance,
        disk: Disk(disk),
    }
}

/// Node "a" of three, with the member list on its disk.
struct Case {
    node: Node<StdRng>,
    now: Instant,
    out: Vec<Action>,
}

impl Case {
    fn new() -> Self {
        let address = ([127, 0, 0, 1], 7000).into();
        let member = |disk| Member::new(identity(disk), address, Seat::Voter);
        let position = Position {
            epoch: Epoch(1),
            index: 1,
        };
        let payload = Payload::Members((0..3).map(member).collect());
        let saved = Saved {
            epoch: Epoch(1),
            entries: vec![Entry { position, payload }],
            ..Saved::default()
        };
        let (now, rng) = (Instant::now(), StdRng::seed_from_u64(1));
        let node = Node::new(now, identity(0), Settings::default(), rng, saved);
        Self {
            node,
            now,
            out: Vec::new(),
        }
    }

    fn receive(&mut self, disk: u64, epoch: u64, body: Body) {
        let peer = Peer {
            from: identity(disk),
            epoch: Epoch(epoch),
            body,
        };
        self.node.on_message(self.now, peer, &mut self.out);
    }

    fn wait(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        self.node.on_tick(self.now, &mut self.out);
    }

    fn sync(&mut self) {
        self.node.on_synced(self.now, u64::MAX, &mut self.out);
    }

    fn sent(&mut self) -> Vec<Body> {
        let sends = self.out.drain(..).filter_map(|action| match action {
            Action::Send(_, peer) => Some(peer.body),
            _ => None,
        });
        sends.collect()
    }

    /// Elects the node in epoch 2 with the vote of "b".
    fn lead(&mut self) {
        self.wait(301);
        self.receive(1, 2, Body::PreVoteReply { granted: true });
        self.sync();
        self.receive(1, 2, Body::VoteReply { granted: true });
        assert_eq!(self.node.role(), Role::Leader);
    }

    fn accept(&mut self, disk: u64, round: u64, index: u64) {
        let accepted = true;
        self.receive(
            disk,
            2,
            Body::AppendReply {
                round,
                accepted,
                index,
            },
        );
    }
}

fn last() -> Position {
    Position {
        epoch: Epoch(1),
        index: 1,
    }
}

#[test]
fn a_vote_is_answered_once_it_is_durable() {
    let mut case = Case::new();
    case.wait(150);
    case.receive(1, 2, Body::Vote { last: last() });
    assert_eq!(case.sent(), []);
    case.sync();
    assert_eq!(case.sent(), [Body::VoteReply { granted: true }]);
    case.receive(2, 2, Body::Vote { last: last() });
    case.sync();
    assert_eq!(case.sent(), [Body::VoteReply { granted: false }]);
}

/// An emptied disk is another candidate, although its instance already has the vote.
#[test]
fn a_vote_is_for_one_disk() {
    let mut case = Case::new();
    case.wait(150);
    case.receive(1, 2, Body::Vote { last: last() });
    case.sync();
    case.sent();
    let from = Identity {
        disk: Disk(99),
        ..identity(1)
    };
    let peer = Peer {
        from,
        epoch: Epoch(2),
        body: Body::Vote { last: last() },
    };
    case.node.on_message(case.now, peer, &mut case.out);
    case.sync();
    assert_eq!(case.sent(), [Body::VoteReply { granted: false }]);
}

/// A restart forgets when the leader was heard, so the start counts as a contact.
#[test]
fn a_restarted_node_gives_no_vote_at_once() {
    let mut case = Case::new();
    case.wait(149);
    case.receive(1, 2, Body::Vote { last: last() });
    case.sync();
    assert_eq!(case.sent(), []);
    assert_eq!(case.node.epoch(), Epoch(1));
}

#[test]
fn a_candidate_asks_and_counts_itself_once_its_vote_is_durable() {
    let mut case = Case::new();
    case.wait(301);
    case.receive(1, 2, Body::PreVoteReply { granted: true });
    case.sent();
    assert_eq!(case.node.epoch(), Epoch(2));
    case.receive(1, 2, Body::VoteReply { granted: true });
    assert_eq!(case.node.role(), Role::Candidate);
    case.sync();
    assert_eq!(case.node.role(), Role::Leader);
}

#[test]
fn a_vote_of_an_unknown_disk_does_not_count() {
    let mut case = Case::new();
    case.wait(301);
    let from = Identity {
        disk: Disk(99),
        ..identity(1)
    };
    for body in [
        Body::PreVoteReply { granted: true },
        Body::VoteReply { granted: true },
    ] {
        let peer = Peer {
            from: from.clone(),
            epoch: Epoch(2),
            body,
        };
        case.node.on_message(case.now, peer, &mut case.out);
        case.sync();
        assert_eq!(case.node.epoch(), Epoch(1));
    }
}

#[test]
fn entries_are_acknowledged_once_they_are_durable() {
    let mut case = Case::new();
    let position = Position {
        epoch: Epoch(2),
        index: 2,
    };
    let entries = vec![Entry {
        position,
        payload: Payload::Noop,
    }];
    let (prev, commit) = (last(), 1);
    case.receive(
        1,
        2,
        Body::Append {
            round: 1,
            prev,
            commit,
            entries,
        },
    );
    assert_eq!(case.sent(), []);
    case.sync();
    let accepted = true;
    assert_eq!(
        case.sent(),
        [Body::AppendReply {
            round: 1,
            accepted,
            index: 2
        }]
    );
}

/// A slow sync must not cost the leader its quorum: heartbeats are answered meanwhile.
#[test]
fn a_heartbeat_is_answered_with_what_is_durable() {
    let mut case = Case::new();
    let (prev, commit, accepted) = (last(), 1, true);
    case.receive(
        1,
        2,
        Body::Append {
            round: 1,
            prev,
            commit,
            entries: Vec::new(),
        },
    );
    case.sync();
    case.sent();
    let prev = Position {
        epoch: Epoch(2),
        index: 2,
    };
    let entries = vec![Entry {
        position: prev,
        payload: Payload::Noop,
    }];
    case.receive(
        1,
        2,
        Body::Append {
            round: 1,
            prev: last(),
            commit,
            entries,
        },
    );
    case.receive(
        1,
        2,
        Body::Append {
            round: 2,
            prev,
            commit,
            entries: Vec::new(),
        },
    );
    assert_eq!(
        case.sent(),
        [Body::AppendReply {
            round: 2,
            accepted,
            index: 1
        }]
    );
}

#[test]
fn a_leader_counts_itself_once_its_entry_is_durable() {
    let mut case = Case::new();
    case.lead();
    case.accept(1, 1, 2);
    assert_eq!(case.node.commit(), 0);
    case.sync();
    assert_eq!(case.node.commit(), 2);
}

/// A late answer confirms the leader from the sending of its round, as the member has refused votes
/// only since some time after that.
#[test]
fn confirmation_counts_from_the_sending_of_a_round() {
    let mut case = Case::new();
    case.lead();
    assert!(!case.node.leader_confirmed(case.now));
    let sent = case.now;
    case.now += Duration::from_millis(100);
    case.accept(1, 1, 1);
    assert!(
        case.node
            .leader_confirmed(sent + Duration::from_millis(134))
    );
    assert!(
        !case
            .node
            .leader_confirmed(sent + Duration::from_millis(136))
    );
}

#[test]
fn a_read_waits_for_a_round_after_it() {
    let mut case = Case::new();
    case.lead();
    case.sync();
    case.accept(1, 1, 2);
    case.node.on_read(case.now, 5, &mut case.out).unwrap();
    case.accept(1, 1, 2);
    let read = Action::Read { id: 5, index: 2 };
    assert!(!case.out.contains(&read), "answered by an earlier round");
    case.accept(1, 2, 2);
    assert!(case.out.contains(&read));
}

/// Without a commit of its own epoch, a leader does not know all that was committed before.
#[test]
fn a_read_waits_for_the_first_commit_of_the_epoch() {
    let mut case = Case::new();
    case.lead();
    case.node.on_read(case.now, 5, &mut case.out).unwrap();
    case.accept(1, 2, 1);
    let read = Action::Read { id: 5, index: 2 };
    assert!(!case.out.contains(&read));
    case.sync();
    case.accept(1, 2, 2);
    assert!(case.out.contains(&read));
}

#[test]
fn a_failed_write_refuses_everything() {
    let mut case = Case::new();
    case.lead();
    case.node.on_read(case.now, 5, &mut case.out).unwrap();
    case.out.clear();
    case.node.on_write_failed(case.now, &mut case.out);
    assert_eq!(case.node.role(), Role::Follower);
    assert!(case.out.contains(&Action::Refuse(5)));
    let (node, now, out) = (&mut case.node, case.now, &mut case.out);
    out.clear();
    assert_eq!(node.on_propose(now, b"x", out), Err(Refusal::Failed));
    assert_eq!(node.on_read(now, 6, out), Err(Refusal::Failed));
    assert_eq!(
        node.on_compact(now, 1, Vec::new(), out),
        Err(Refusal::Failed)
    );
    assert_eq!(node.deadline(), None);
    case.sync();
    case.wait(10_000);
    case.receive(1, 9, Body::Vote { last: last() });
    case.accept(1, 1, 2);
    assert_eq!(case.out, []);
}

/// The epoch of a new leader is durable before any answer names it.
#[test]
fn an_answer_waits_for_its_epoch() {
    let mut case = Case::new();
    let (prev, commit) = (last(), 1);
    case.receive(
        1,
        7,
        Body::Append {
            round: 1,
            prev,
            commit,
            entries: Vec::new(),
        },
    );
    let save = Write::Save {
        epoch: Epoch(7),
        vote: None,
    };
    assert!(case.out.contains(&Action::Write(1, save)));
    assert_eq!(case.sent(), []);
    case.sync();
    assert_eq!(case.sent().len(), 1);
}

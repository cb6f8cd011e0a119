//! Operators' requests against a catalog and the state of a leader, without sockets.

use std::time::{Duration, Instant};

use admin::api::{self, Reason};
use admin::{Reply, Request};
use catalog::{Catalog, Command, Outcome};
use consensus::{Disk, Identity, Member, Seat};
use control::api::change::{self, Decision};
use control::api::{read, reply, status};
use control::leader::{Leader, Renewal, Report};
use rstest::rstest;
use serde_json::json;
use types::target::{Announcement, Role, State};
use types::{Lsn, Name, Point, Revision, Term};

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn operator_change(base: u64, request: &str) -> admin::Change {
    admin::Change {
        base: Revision(base),
        request: request.to_owned(),
        operator: "anna".to_owned(),
    }
}

fn set(path: &str, key: &str, value: serde_json::Value, base: u64, request: &str) -> Request {
    Request::Set {
        path: admin::Path::try_from(path).unwrap(),
        key: key.to_owned(),
        value: Some(value),
        change: operator_change(base, request),
    }
}

fn mark(target: &str, state: State, base: u64, request: &str) -> Request {
    Request::Mark {
        target: name(target),
        state,
        change: operator_change(base, request),
    }
}

fn announcement(target: &str, role: Role) -> Announcement {
    Announcement {
        target: name(target),
        service: name("registro-uova"),
        database: name("orders"),
        group: name("g1"),
        region: name("sicilia-est"),
        domain: name("enna"),
        address: "127.0.0.1:5432".parse().unwrap(),
        role,
        leaving: false,
        connections: 35,
        slots: 5,
    }
}

struct Fixture {
    catalog: Catalog,
    leader: Leader,
    now: Instant,
    seq: u64,
}

impl Fixture {
    /// Two targets, of which `t1` is the primary of term 1, and the entry `e1` without a lease.
    fn new() -> Self {
        let commands = [
            Command::Announce(announcement("t1", Role::Primary)),
            Command::Announce(announcement("t2", Role::Replica)),
            Command::Open {
                database: name("orders"),
                term: Term(1),
                target: name("t1"),
                start: Lsn(0),
            },
            Command::Enroll {
                instance: name("e1"),
                domain: name("enna"),
            },
        ];
        let mut catalog = Catalog::new(name("uova"));
        for (revision, command) in (1..).map(Revision).zip(&commands) {
            let outcome = catalog.apply(revision, command);
            assert_eq!(outcome, Outcome::Applied(revision));
        }
        let now = Instant::now();
        let leader = Leader::new(now, &catalog);
        Self {
            catalog,
            leader,
            now,
            seq: 0,
        }
    }

    /// Applies a command and returns its revision, or the reply to a refusal.
    fn apply(&mut self, command: &Command) -> Result<u64, Box<Reply>> {
        let next = Revision(self.catalog.revision().0 + 1);
        let outcome = self.catalog.apply(next, command);
        self.leader.on_catalog(&self.catalog);
        reply::from_outcome(command, &outcome, &self.catalog).map(|revision| revision.0)
    }

    fn change(&mut self, request: &Request) -> Result<u64, Box<Reply>> {
        let command = change::command(&self.catalog, request)?;
        self.apply(&command)
    }

    fn renew(&mut self, revision: u64, health: Vec<Report>) {
        self.seq += 1;
        let renewal = Renewal {
            seq: self.seq,
            age: Duration::from_mins(1),
            revision: Revision(revision),
            confirmed: 0,
            demand: Vec::new(),
            long_slots: Vec::new(),
            health,
        };
        let lease = self
            .leader
            .renew(self.now, &name("e1"), 1, &renewal, &self.catalog);
        assert!(lease.is_some());
    }

    fn retire(&self, base: u64) -> Result<Command, Box<Reply>> {
        let change = operator_change(base, "r-9");
        change::retire(self.now, &self.catalog, &self.leader, &name("t2"), &change)
    }

    fn switch(
        &self,
        target: Option<&str>,
        base: u64,
        request: &str,
    ) -> Result<Decision<Command>, String> {
        let target = target.map(name);
        let change = operator_change(base, request);
        change::switch(&self.catalog, &name("orders"), target.as_ref(), &change)
            .map_err(|reply| reply_texts(&reply).remove(0))
    }
}

fn reply_texts(reply: &Reply) -> Vec<String> {
    match reply {
        Reply::Findings(found) => found
            .iter()
            .map(|finding| format!("{}: {}", finding.path, finding.text))
            .collect(),
        Reply::Failed(reason, text) => vec![format!("{reason}: {text}")],
        other => vec![format!("{other:?}")],
    }
}

/// Guards against a refusal that is reported as another kind, or that omits some of the findings.
#[rstest]
#[case::key(set("uova", "slotz", json!(3), 4, "r"), &["uova:slotz: unknown key"])]
#[case::value(set("uova", "slots", json!("many"), 4, "r"), &["uova:slots: \"many\" is no integer"])]
#[case::request(set("uova", "slots", json!(0), 4, "r r"), &["uova:slots: 0 is no integer", "request: not 1"])]
#[case::organisation(set("other", "slots", json!(3), 4, "r"), &["other: the organisation is uova"])]
#[case::base(set("uova", "slots", json!(3), 99, "r"), &["base: 99 is in the future"])]
#[case::target(mark("t9", State::Leaving, 4, "r"), &["not_found: target t9 does not exist"])]
fn invalid_changes_are_refused_with_all_findings(
    #[case] request: Request,
    #[case] expected: &[&str],
) {
    let found = reply_texts(&Fixture::new().change(&request).unwrap_err());
    assert_eq!(found.len(), expected.len(), "{found:?}");
    for (found, expected) in found.iter().zip(expected) {
        assert!(found.contains(expected), "{found}");
    }
}

/// Guards against two concurrent changes that are both accepted, and a resend that gets another
/// answer.
#[test]
fn conflicts_name_the_winner_and_resends_get_the_first_answer() {
    let mut fixture = Fixture::new();
    let first = mark("t2", State::Draining, 4, "r-1");
    assert_eq!(fixture.change(&first), Ok(5));
    let lost = fixture.change(&mark("t2", State::Leaving, 4, "r-2"));
    let conflict = api::Conflict {
        request: "r-1".to_owned(),
        revision: 5,
        operator: "anna".to_owned(),
    };
    assert_eq!(lost, Err(Reply::Conflict(conflict).into()));
    assert_eq!(fixture.change(&first), Ok(5));
}

/// Guards against a target that is removed while an entry may still send statements to it.
#[test]
fn a_target_retires_only_after_every_entry_confirmed_that_it_leaves() {
    let mut fixture = Fixture::new();
    fixture.renew(4, Vec::new());
    assert!(reply_texts(&fixture.retire(4).unwrap_err())[0].contains("mark it leaving"));
    let leaving = mark("t2", State::Leaving, 4, "r-1");
    assert_eq!(fixture.change(&leaving), Ok(5));
    let early_retire = fixture.retire(4).unwrap_err();
    assert!(
        matches!(*early_retire, Reply::Conflict(_)),
        "{early_retire:?}"
    );
    assert!(reply_texts(&fixture.retire(5).unwrap_err())[0].contains("e1 may still send"));
    let report = Report {
        target: name("t2"),
        point: Point::default(),
        silence: Duration::ZERO,
    };
    fixture.renew(5, vec![report]);
    let command = fixture.retire(5).unwrap();
    fixture.leader.on_retired(&name("t2"), &fixture.catalog);
    assert!(fixture.leader.observation("t2").is_some(), "refused");
    assert_eq!(fixture.apply(&command), Ok(6));
    fixture.leader.on_retired(&name("t2"), &fixture.catalog);
    assert!(fixture.leader.observation("t2").is_none(), "retired");
    assert!(reply_texts(&fixture.retire(6).unwrap_err())[0].starts_with("not_found"));
}

/// Guards against a change of primary that promotes a replica without the writes that a retired one
/// alone had acknowledged: the promises of the selection rest on the remaining replicas.
#[test]
fn a_replica_retires_only_once_others_cover_what_it_acknowledged() {
    let mut fixture = Fixture::new();
    let third = Command::Announce(announcement("t3", Role::Replica));
    assert_eq!(fixture.apply(&third), Ok(5));
    assert_eq!(fixture.change(&mark("t2", State::Leaving, 5, "r-1")), Ok(6));
    let report = |target: &str, lsn| Report {
        target: name(target),
        point: Point {
            term: Term(1),
            lsn: Lsn(lsn),
        },
        silence: Duration::ZERO,
    };
    let refusal = |fixture: &Fixture| reply_texts(&fixture.retire(6).unwrap_err()).remove(0);
    // What the primary had before the entry stopped counting t2 bounds nothing.
    fixture.renew(6, vec![report("t1", 90), report("t3", 90)]);
    assert!(refusal(&fixture).contains("primary's position"));
    fixture.now += Duration::from_millis(100);
    fixture.renew(6, vec![report("t1", 95), report("t3", 94)]);
    assert!(refusal(&fixture).contains("other replicas may lack"));
    fixture.now += Duration::from_millis(100);
    fixture.renew(6, vec![report("t1", 95), report("t3", 95)]);
    fixture.retire(6).unwrap();
}

/// Guards against counting a change as in force on an entry that is cut off, and against waiting
/// for an entry without a lease, which can't confirm.
#[test]
fn only_entries_with_a_lease_are_awaited() {
    let mut fixture = Fixture::new();
    let state = |fixture: &Fixture, revision| {
        let (leader, now, revision) = (&fixture.leader, fixture.now, Revision(revision));
        (
            leader.has_confirmed(now, "e1", revision),
            leader.awaits_confirmation(now, revision),
        )
    };
    assert_eq!(state(&fixture, 4), (false, false), "no lease");
    fixture.renew(4, Vec::new());
    assert_eq!(state(&fixture, 4), (true, false), "confirmed");
    assert_eq!(state(&fixture, 5), (false, true), "not confirmed");
    fixture.now += Duration::from_secs(2);
    assert_eq!(state(&fixture, 4), (false, false), "lease expired");
    fixture.renew(4, Vec::new());
    fixture.leader.on_leave("e1", 1);
    assert_eq!(state(&fixture, 4), (false, false), "stopped");
}

/// Guards against a planned switch that starts without a serving replica, twice, or during another
/// change of primary.
#[test]
fn a_switch_is_a_fence_with_hold_and_runs_once() {
    let mut fixture = Fixture::new();
    let named_refusal = fixture.switch(Some("t2"), 4, "r-1").unwrap_err();
    assert!(named_refusal.contains("named target"), "{named_refusal}");
    assert_eq!(
        fixture.change(&mark("t2", State::Draining, 4, "r-2")),
        Ok(5)
    );
    let no_replica_refusal = fixture.switch(None, 5, "r-1").unwrap_err();
    assert!(
        no_replica_refusal.contains("no serving replica"),
        "{no_replica_refusal}"
    );
    assert_eq!(fixture.change(&mark("t2", State::Serving, 5, "r-3")), Ok(6));

    let Ok(Decision::Propose(fence)) = fixture.switch(None, 6, "r-1") else {
        panic!("the switch is refused");
    };
    assert!(matches!(
        fence,
        Command::Fence {
            hold: true,
            term: Term(2),
            ..
        }
    ));
    assert_eq!(fixture.apply(&fence), Ok(7));
    assert_eq!(
        fixture.apply(&fence),
        Ok(7),
        "a resend before the first commit"
    );
    let resend = fixture.switch(None, 6, "r-1");
    assert_eq!(resend, Ok(Decision::InForce(Revision(7))));
    let outdated_refusal = fixture.switch(None, 6, "r-4").unwrap_err();
    assert!(
        outdated_refusal.contains("by anna as r-1"),
        "{outdated_refusal}"
    );
    let changing_refusal = fixture.switch(None, 7, "r-4").unwrap_err();
    assert!(
        changing_refusal.contains("is changing it"),
        "{changing_refusal}"
    );
}

/// Guards against a change of the member list on an outdated base, or twice by a resend.
#[rstest]
#[case::join("c4", Some(4), 9, "propose")]
#[case::no_disk("c4", None, 9, "refused: c4 has not reported its disk")]
#[case::resend("c3", Some(3), 0, "done")]
#[case::old_base("c4", Some(4), 8, "refused: the member list changed at revision 9")]
fn a_join_needs_a_disk_and_a_current_base(
    #[case] instance: &str,
    #[case] disk: Option<u64>,
    #[case] base: u64,
    #[case] found: &str,
) {
    let address = "127.0.0.1:7000".parse().unwrap();
    let identity = Identity {
        instance: name("c3"),
        disk: Disk(3),
    };
    let members = [Member::new(identity, address, Seat::Learner)];
    let request = Request::Join {
        instance: name(instance),
        address,
        disk: None,
        change: operator_change(base, "r"),
    };
    let text = match change::member_change(&members, 9, disk.map(Disk), &request) {
        Ok(Decision::Propose(_)) => "propose".to_owned(),
        Ok(Decision::InForce(_)) => "done".to_owned(),
        Err(reply) => reply_texts(&reply).remove(0),
    };
    assert!(text.starts_with(found), "{text}");
}

/// Guards against a wrong source of a value in force or of an overridden one.
#[test]
fn explanations_and_histories_name_the_node_of_each_value() {
    let mut fixture = Fixture::new();
    let region = "uova/sicilia-est";
    assert_eq!(fixture.change(&set("", "slots", json!(2), 4, "r-1")), Ok(5));
    assert_eq!(
        fixture.change(&set(region, "slots", json!(3), 5, "r-2")),
        Ok(6)
    );
    let path = |text| admin::Path::try_from(text).unwrap();
    let reply = read::explanation(&fixture.catalog, &path("uova/sicilia-est/enna"));
    let Reply::Explanation(found) = reply else {
        panic!("{reply:?}");
    };
    let slots = found
        .values
        .iter()
        .find(|setting| setting.key == "slots")
        .unwrap();
    assert_eq!((&slots.value, slots.revision), (&json!(3), Some(6)));
    assert_eq!(slots.source.as_deref(), Some(region));
    let overridden = &slots.overridden[0];
    assert_eq!(
        (overridden.source.as_str(), &overridden.value),
        ("uova", &json!(2))
    );
    let reply = read::history(&fixture.catalog, &path(""));
    let Reply::History(found) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!((found.path.as_str(), found.changes.len()), ("uova", 1));
    let refused = reply_texts(&read::settings(&fixture.catalog, &path("other")));
    assert_eq!(
        refused,
        ["other: other is unknown: the organisation is uova"]
    );
}

/// Guards against a lag or a silence that is not from the watchers' latest reports.
#[test]
fn status_shows_leases_and_latest_positions() {
    let mut fixture = Fixture::new();
    let report = |target: &str, lsn, silent| Report {
        target: name(target),
        point: Point {
            term: Term(1),
            lsn: Lsn(lsn),
        },
        silence: Duration::from_millis(silent),
    };
    fixture.renew(4, vec![report("t1", 0x90, 10), report("t2", 0x50, 20)]);
    // An older answer, as another watcher may report, does not replace the newer one.
    fixture.renew(4, vec![report("t2", 0x10, 700)]);
    let (now, catalog, leader) = (fixture.now, &fixture.catalog, &fixture.leader);
    let entries = status::entries(now, catalog, leader);
    assert_eq!((entries[0].lease_ms, entries[0].revision), (Some(1001), 4));
    let databases = status::databases(now, catalog, leader);
    let database = &databases[0];
    assert_eq!(
        (database.term, database.primary.as_deref()),
        (1, Some("t1"))
    );
    let [first, second] = database.targets.as_slice() else {
        panic!("{database:?}");
    };
    assert_eq!((first.role, first.lag_bytes), (api::Role::Primary, Some(0)));
    assert_eq!(second.lsn.as_deref(), Some("0/50"));
    assert_eq!(second.role, api::Role::Replica);
    assert_eq!((second.lag_bytes, second.silent_ms), (Some(0x40), Some(20)));
}

/// Guards against a refusal that is not counted.
#[rstest]
#[case(Reply::unauthorized(), Some("unauthorized"))]
#[case(Reply::outcome_unknown(), Some("unknown"))]
#[case(Reply::no_quorum(), Some("no_quorum"))]
#[case(Reply::NotLeader(None), Some("not_leader"))]
#[case(Reply::Findings(Vec::new()), Some("findings"))]
#[case(Reply::Failed(Reason::BadMethod, String::new()), Some("bad_method"))]
#[case(reply::accepted(Revision(1), Vec::new()), None)]
fn every_refusal_has_a_reason(#[case] answer: Reply, #[case] reason: Option<&str>) {
    assert_eq!(reply::refusal_reason(&answer), reason);
}

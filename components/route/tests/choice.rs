//! Guards against stale reads, writes without a primary or lease, statements on draining targets,
//! and reads that load the primary needlessly.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::Choice::{self, Refuse, Target, Wait};
use route::choice::MAX_WAIT_GAP_BYTES;
use route::{Candidate, Kind, Observed, Phase, Positions, Reason, Request, Share, View, choose};
use rstest::rstest;
use session::Needs;
use types::target::{Role, State};
use types::{Lsn, Point, Term};

const PRIMARY: usize = 10;
/// In the entry's failure domain, at lsn 900.
const LOCAL_REPLICA: usize = 11;
/// In another failure domain, at lsn 1000.
const REMOTE_REPLICA: usize = 12;
const OPEN_PHASE: Phase = Phase::Open { primary: PRIMARY };
const BEGIN_WRITE: Kind = Kind::Begin { read_only: false };
const BEGIN_READ_ONLY: Kind = Kind::Begin { read_only: true };

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const fn point(term: u64, lsn: u64) -> Point {
    Point {
        term: Term(term),
        lsn: Lsn(lsn),
    }
}

struct Scenario {
    candidates: Vec<Candidate>,
    primary_positions: Positions,
    phase: Phase,
    has_lease: bool,
    now: Instant,
    request: Request,
    rng: SmallRng,
}

impl Scenario {
    /// The primary was last observed at lsn 900 300 ms ago, and at lsn 1000 100 ms ago.
    fn new(kind: Kind) -> Self {
        let start = Instant::now();
        let now = start + ms(1_000);
        let mut primary_positions = Positions::default();
        primary_positions.observe(point(2, 900), start + ms(700), now);
        primary_positions.observe(point(2, 1_000), start + ms(900), now);
        let candidate = |target, same_domain, lsn, role| Candidate {
            target,
            same_domain,
            state: State::Serving,
            role,
            observed: Some(Observed {
                point: point(2, lsn),
                at: start + ms(990),
            }),
            reachable: true,
            announced_directly: false,
            load: 0,
            connections: 5,
        };
        Self {
            candidates: vec![
                candidate(PRIMARY, true, 1_000, Role::Primary),
                candidate(LOCAL_REPLICA, true, 900, Role::Replica),
                candidate(REMOTE_REPLICA, false, 1_000, Role::Replica),
            ],
            primary_positions,
            phase: OPEN_PHASE,
            has_lease: true,
            now,
            request: Request {
                kind,
                needs: Needs::Any,
                max_age: None,
                bound_target: None,
                wait_until: now,
                deadline: now + ms(1_000),
            },
            rng: SmallRng::seed_from_u64(1),
        }
    }

    fn read_with(needs: Needs) -> Self {
        let mut scenario = Self::new(Kind::Read);
        scenario.request.needs = needs;
        scenario
    }

    fn candidate(&mut self, target: usize) -> &mut Candidate {
        let candidate = self
            .candidates
            .iter_mut()
            .find(|candidate| candidate.target == target);
        candidate.unwrap()
    }

    fn view(&self) -> View<'_> {
        View {
            candidates: &self.candidates,
            primary_positions: &self.primary_positions,
            term: Term(2),
            phase: self.phase,
            has_lease: self.has_lease,
        }
    }

    fn choose(&mut self) -> Choice {
        let mut rng = self.rng.clone();
        let choice = choose(&self.view(), &self.request, self.now, &mut rng);
        self.rng = rng;
        choice
    }
}

/// Guards against reads that miss commits of their session or exceed the age that the caller
/// accepts.
#[rstest]
#[case::local_replica_first(Needs::Any, None, Target(LOCAL_REPLICA))]
#[case::position_of_both_replicas(Needs::AtLeast(Lsn(900)), None, Target(LOCAL_REPLICA))]
#[case::position_of_one_replica(Needs::AtLeast(Lsn(901)), None, Target(REMOTE_REPLICA))]
#[case::position_of_no_replica(Needs::AtLeast(Lsn(1_001)), None, Target(PRIMARY))]
#[case::age_of_both_replicas(Needs::Any, Some(300), Target(LOCAL_REPLICA))]
#[case::age_of_one_replica(Needs::Any, Some(299), Target(REMOTE_REPLICA))]
#[case::age_of_no_replica(Needs::Any, Some(99), Target(PRIMARY))]
#[case::position_but_too_old(Needs::AtLeast(Lsn(900)), Some(200), Target(REMOTE_REPLICA))]
#[case::unknown_position(Needs::PrimaryOnly, None, Target(PRIMARY))]
#[case::lost_write(Needs::WriteLost, Some(9_000), Refuse(Reason::WriteLost))]
#[case::unknown_term(Needs::UnknownTerm, None, Refuse(Reason::Stale))]
fn read_goes_to_a_target_that_is_fresh_enough(
    #[case] needs: Needs,
    #[case] max_age: Option<u64>,
    #[case] expected: Choice,
) {
    let mut scenario = Scenario::read_with(needs);
    scenario.request.max_age = max_age.map(ms);
    assert_eq!(scenario.choose(), expected);
    scenario.request.kind = BEGIN_READ_ONLY;
    assert_eq!(scenario.choose(), expected);
}

/// Guards against comparing lsns of different terms.
#[test]
fn replica_of_an_older_term_is_not_fresh() {
    let mut scenario = Scenario::read_with(Needs::AtLeast(Lsn(900)));
    for target in [LOCAL_REPLICA, REMOTE_REPLICA] {
        scenario.candidate(target).observed.as_mut().unwrap().point = point(1, 9_000);
    }
    assert_eq!(scenario.choose(), Target(PRIMARY));
    scenario.request.needs = Needs::Any;
    scenario.request.max_age = Some(ms(60_000));
    assert_eq!(scenario.choose(), Target(PRIMARY));
}

/// Guards against waits that only delay a read before it goes to the primary.
#[test]
fn read_waits_only_for_a_replica_that_has_almost_caught_up() {
    let mut scenario = Scenario::read_with(Needs::AtLeast(Lsn(1_001)));
    let until = scenario.now + ms(5);
    scenario.request.wait_until = until;
    let probe = Some(REMOTE_REPLICA);
    assert_eq!(scenario.choose(), Wait { until, probe });
    scenario.now = until;
    assert_eq!(scenario.choose(), Target(PRIMARY));
    scenario.now -= ms(5);
    scenario.request.needs = Needs::AtLeast(Lsn(1_001 + MAX_WAIT_GAP_BYTES));
    assert_eq!(scenario.choose(), Target(PRIMARY));
    scenario.request.needs = Needs::AtLeast(Lsn(1_001));
    for target in [LOCAL_REPLICA, REMOTE_REPLICA] {
        scenario.candidate(target).observed.as_mut().unwrap().point = point(1, 1_000);
    }
    assert_eq!(
        scenario.choose(),
        Target(PRIMARY),
        "a replica of another term is not waited for"
    );
    scenario.request.needs = Needs::UnknownTerm;
    assert_eq!(scenario.choose(), Wait { until, probe: None });
}

/// Guards against reads on replicas that are leaving, out of reach or without quota.
#[rstest]
#[case::draining(|candidate: &mut Candidate| candidate.state = State::Draining)]
#[case::leaving(|candidate: &mut Candidate| candidate.state = State::Leaving)]
#[case::unreachable(|candidate: &mut Candidate| candidate.reachable = false)]
#[case::no_quota(|candidate: &mut Candidate| candidate.connections = 0)]
#[case::former_primary(|candidate: &mut Candidate| candidate.role = Role::Primary)]
fn unsuitable_replica_gets_no_read(#[case] disqualify: fn(&mut Candidate)) {
    let mut scenario = Scenario::new(Kind::Read);
    disqualify(scenario.candidate(LOCAL_REPLICA));
    assert_eq!(scenario.choose(), Target(REMOTE_REPLICA));
    disqualify(scenario.candidate(REMOTE_REPLICA));
    assert_eq!(scenario.choose(), Target(PRIMARY));
}

/// Guards against writes on a fenced or replaced primary.
#[rstest]
#[case::open(OPEN_PHASE, true, Target(PRIMARY))]
#[case::no_lease(OPEN_PHASE, false, Refuse(Reason::LeaseExpired))]
#[case::fenced(Phase::Fenced { hold: None }, true, Refuse(Reason::NoPrimary))]
#[case::absent(Phase::Absent, true, Refuse(Reason::NoPrimary))]
#[case::unknown_primary(Phase::Open { primary: 99 }, true, Refuse(Reason::NoPrimary))]
fn write_needs_a_primary_and_a_lease(
    #[values(Kind::Write, BEGIN_WRITE)] kind: Kind,
    #[case] phase: Phase,
    #[case] has_lease: bool,
    #[case] expected: Choice,
) {
    let mut scenario = Scenario::new(kind);
    (scenario.phase, scenario.has_lease) = (phase, has_lease);
    assert_eq!(scenario.choose(), expected);
    scenario.request.bound_target = Some(REMOTE_REPLICA);
    assert_eq!(
        scenario.choose(),
        Target(REMOTE_REPLICA),
        "an open transaction stays on its target"
    );
}

/// Guards against refused statements during a planned switch.
#[test]
fn statements_for_the_primary_wait_during_a_planned_switch() {
    let mut scenario = Scenario::new(Kind::Write);
    let hold_end = scenario.now + ms(400);
    scenario.phase = Phase::Fenced {
        hold: Some(hold_end),
    };
    let (until, probe) = (hold_end, None);
    let wait = Wait { until, probe };
    assert_eq!(scenario.choose(), wait);
    let until = scenario.now + ms(10);
    scenario.request.deadline = until;
    assert_eq!(scenario.choose(), Wait { until, probe });
    scenario.request.deadline = hold_end;
    scenario.request.kind = Kind::Read;
    assert_eq!(
        scenario.choose(),
        Target(LOCAL_REPLICA),
        "replicas serve reads during the switch"
    );
    scenario.request.needs = Needs::PrimaryOnly;
    assert_eq!(scenario.choose(), wait);
    scenario.now = hold_end;
    assert_eq!(scenario.choose(), Refuse(Reason::Stale));
    scenario.request.kind = Kind::Write;
    assert_eq!(scenario.choose(), Refuse(Reason::NoPrimary));
}

/// Guards against new statements on a draining primary before its planned switch.
#[rstest]
fn draining_primary_gets_no_new_statements(
    #[values(State::Draining, State::Leaving)] state: State,
) {
    let mut scenario = Scenario::new(Kind::Write);
    scenario.candidate(PRIMARY).state = state;
    let (until, probe) = (scenario.request.deadline, None);
    assert_eq!(scenario.choose(), Wait { until, probe });
    scenario.now = until;
    assert_eq!(scenario.choose(), Refuse(Reason::Leaving));
    scenario.candidate(PRIMARY).connections = 0;
    assert_eq!(scenario.choose(), Refuse(Reason::QuotaExhausted));
}

/// Guards against stale reads by an entry that lost its lease and no longer learns of promotions.
#[test]
fn entry_without_lease_reads_only_from_targets_that_announce_directly() {
    let mut scenario = Scenario::read_with(Needs::AtLeast(Lsn(950)));
    scenario.has_lease = false;
    assert_eq!(scenario.choose(), Refuse(Reason::Stale));
    scenario.candidate(REMOTE_REPLICA).announced_directly = true;
    assert_eq!(scenario.choose(), Target(REMOTE_REPLICA));
    scenario.candidate(REMOTE_REPLICA).announced_directly = false;
    scenario.candidate(PRIMARY).announced_directly = true;
    assert_eq!(
        scenario.choose(),
        Target(PRIMARY),
        "its observed position is sufficient"
    );
    scenario.request.needs = Needs::AtLeast(Lsn(1_001));
    assert_eq!(
        scenario.choose(),
        Refuse(Reason::Stale),
        "the target may no longer be primary"
    );
    scenario.request.needs = Needs::PrimaryOnly;
    assert_eq!(scenario.choose(), Refuse(Reason::Stale));
}

/// Guards against routing all reads to the same target.
#[test]
fn picks_the_less_loaded_of_two_random_targets() {
    let mut scenario = Scenario::new(Kind::Read);
    let template = *scenario.candidate(LOCAL_REPLICA);
    for (target, load) in [(13, 1), (14, 2), (15, 30)] {
        scenario.candidates.push(Candidate {
            target,
            load,
            ..template
        });
    }
    scenario.candidate(PRIMARY).role = Role::Replica; // Answered before its promotion.
    let mut counts = [0_u32; 16];
    for _ in 0..1_000 {
        if let Target(target) = scenario.choose() {
            counts[target] += 1;
        }
    }
    assert_eq!(
        counts[15], 0,
        "the most loaded target loses every comparison"
    );
    assert_eq!(counts[REMOTE_REPLICA] + counts[PRIMARY], 0);
    assert!(counts[LOCAL_REPLICA] > counts[13] && counts[13] > counts[14] && counts[14] > 0);
}

/// Guards against counting refusals or reads inside transactions, and against mixed classes.
#[test]
fn replica_share_is_counted_by_class() {
    let mut share = Share::default();
    let mut scenario = Scenario::new(Kind::Read);
    scenario.request.max_age = Some(ms(300));
    let (replica, primary) = (Target(LOCAL_REPLICA), Target(PRIMARY));
    for choice in [replica, replica, replica, primary, Refuse(Reason::Stale)] {
        share.record(&scenario.view(), &scenario.request, choice);
    }
    assert_eq!(share.aged.replica_percent(), 75);
    scenario.request.needs = Needs::AtLeast(Lsn(1));
    share.record(&scenario.view(), &scenario.request, primary);
    assert_eq!(
        (share.session.replica_percent(), share.session.primary),
        (0, 1)
    );
    scenario.request.bound_target = Some(PRIMARY);
    share.record(&scenario.view(), &scenario.request, primary);
    assert_eq!(share.session.primary, 1);
}

//! Guards against stale reads, writes without a primary or lease, work on retired targets, and
//! reads that burden the primary without need.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::Choice::{self, Refuse, Target, Wait};
use route::choice::NEAR_BYTES;
use route::{Candidate, Kind, Observed, Phase, Reason, Request, Share, Track, View, choose};
use rstest::rstest;
use session::Needs;
use types::target::{Role, State};
use types::{Lsn, Point, Term};

const PRIMARY: usize = 10;
/// In the entry's own domain, at lsn 900.
const NEAR: usize = 11;
/// In another domain, at lsn 1000.
const FAR: usize = 12;
const OPEN: Phase = Phase::Open { primary: PRIMARY };
const BEGIN: Kind = Kind::Begin { read_only: false };
const BEGIN_READ: Kind = Kind::Begin { read_only: true };

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const fn point(term: u64, lsn: u64) -> Point {
    Point {
        term: Term(term),
        lsn: Lsn(lsn),
    }
}

struct Bench {
    candidates: Vec<Candidate>,
    track: Track,
    phase: Phase,
    lease: bool,
    now: Instant,
    request: Request,
    rng: SmallRng,
}

impl Bench {
    /// The primary was at 900 for the last time 300 ms ago, and at 1000 100 ms ago.
    fn new(kind: Kind) -> Self {
        let start = Instant::now();
        let now = start + ms(1_000);
        let mut track = Track::default();
        track.observe(point(2, 900), start + ms(700), now);
        track.observe(point(2, 1_000), start + ms(900), now);
        let candidate = |target, local, lsn, role| Candidate {
            target,
            local,
            state: State::Serving,
            role,
            observed: Some(Observed {
                point: point(2, lsn),
                at: start + ms(990),
            }),
            up: true,
            heard: false,
            load: 0,
            connections: 5,
        };
        Self {
            candidates: vec![
                candidate(PRIMARY, true, 1_000, Role::Primary),
                candidate(NEAR, true, 900, Role::Replica),
                candidate(FAR, false, 1_000, Role::Replica),
            ],
            track,
            phase: OPEN,
            lease: true,
            now,
            request: Request {
                kind,
                needs: Needs::Any,
                max_age: None,
                bound: None,
                wait_until: now,
                deadline: now + ms(1_000),
            },
            rng: SmallRng::seed_from_u64(1),
        }
    }

    fn needing(needs: Needs) -> Self {
        let mut bench = Self::new(Kind::Read);
        bench.request.needs = needs;
        bench
    }

    fn at(&mut self, target: usize) -> &mut Candidate {
        let found = self.candidates.iter_mut().find(|c| c.target == target);
        found.unwrap()
    }

    fn view(&self) -> View<'_> {
        View {
            candidates: &self.candidates,
            track: &self.track,
            term: Term(2),
            phase: self.phase,
            lease: self.lease,
        }
    }

    fn choose(&mut self) -> Choice {
        let mut rng = self.rng.clone();
        let choice = choose(&self.view(), &self.request, self.now, &mut rng);
        self.rng = rng;
        choice
    }
}

#[rstest]
#[case::own_domain_first(Needs::Any, None, Target(NEAR))]
#[case::covered_by_all(Needs::AtLeast(Lsn(900)), None, Target(NEAR))]
#[case::covered_by_one(Needs::AtLeast(Lsn(901)), None, Target(FAR))]
#[case::covered_by_none(Needs::AtLeast(Lsn(1_001)), None, Target(PRIMARY))]
#[case::age_of_all(Needs::Any, Some(300), Target(NEAR))]
#[case::age_of_one(Needs::Any, Some(299), Target(FAR))]
#[case::age_of_none(Needs::Any, Some(99), Target(PRIMARY))]
#[case::covered_but_old(Needs::AtLeast(Lsn(900)), Some(200), Target(FAR))]
#[case::unknown_position(Needs::PrimaryOnly, None, Target(PRIMARY))]
#[case::lost(Needs::Lost, Some(9_000), Refuse(Reason::Lost))]
#[case::ahead(Needs::Ahead, None, Refuse(Reason::Stale))]
fn a_read_goes_where_it_is_fresh(
    #[case] needs: Needs,
    #[case] max_age: Option<u64>,
    #[case] expected: Choice,
) {
    let mut bench = Bench::needing(needs);
    bench.request.max_age = max_age.map(ms);
    assert_eq!(bench.choose(), expected);
    bench.request.kind = BEGIN_READ;
    assert_eq!(bench.choose(), expected);
}

/// Guards against comparing an lsn of another term as a number.
#[test]
fn a_replica_of_an_older_term_covers_nothing() {
    let mut bench = Bench::needing(Needs::AtLeast(Lsn(900)));
    for target in [NEAR, FAR] {
        bench.at(target).observed.as_mut().unwrap().point = point(1, 9_000);
    }
    assert_eq!(bench.choose(), Target(PRIMARY));
    bench.request.needs = Needs::Any;
    bench.request.max_age = Some(ms(60_000));
    assert_eq!(bench.choose(), Target(PRIMARY));
}

#[test]
fn a_read_waits_only_for_a_replica_that_is_only_just_short() {
    let mut bench = Bench::needing(Needs::AtLeast(Lsn(1_001)));
    let until = bench.now + ms(5);
    bench.request.wait_until = until;
    let watch = Some(FAR);
    assert_eq!(bench.choose(), Wait { until, watch });
    bench.now = until;
    assert_eq!(bench.choose(), Target(PRIMARY));
    bench.now -= ms(5);
    bench.request.needs = Needs::AtLeast(Lsn(1_001 + NEAR_BYTES));
    assert_eq!(bench.choose(), Target(PRIMARY));
    bench.request.needs = Needs::AtLeast(Lsn(1_001));
    for target in [NEAR, FAR] {
        bench.at(target).observed.as_mut().unwrap().point = point(1, 1_000);
    }
    assert_eq!(bench.choose(), Target(PRIMARY), "of another term");
    bench.request.needs = Needs::Ahead;
    assert_eq!(bench.choose(), Wait { until, watch: None });
}

#[rstest]
#[case::draining(|c: &mut Candidate| c.state = State::Draining)]
#[case::leaving(|c: &mut Candidate| c.state = State::Leaving)]
#[case::down(|c: &mut Candidate| c.up = false)]
#[case::no_quota(|c: &mut Candidate| c.connections = 0)]
#[case::returned_primary(|c: &mut Candidate| c.role = Role::Primary)]
fn an_unsuitable_replica_gets_no_read(#[case] spoil: fn(&mut Candidate)) {
    let mut bench = Bench::new(Kind::Read);
    spoil(bench.at(NEAR));
    assert_eq!(bench.choose(), Target(FAR));
    spoil(bench.at(FAR));
    assert_eq!(bench.choose(), Target(PRIMARY));
}

#[rstest]
#[case::open(OPEN, true, Target(PRIMARY))]
#[case::no_lease(OPEN, false, Refuse(Reason::Lease))]
#[case::fenced(Phase::Fenced { hold: None }, true, Refuse(Reason::NoPrimary))]
#[case::absent(Phase::Absent, true, Refuse(Reason::NoPrimary))]
#[case::unknown(Phase::Open { primary: 99 }, true, Refuse(Reason::NoPrimary))]
fn a_write_needs_an_open_primary_and_a_lease(
    #[values(Kind::Write, BEGIN)] kind: Kind,
    #[case] phase: Phase,
    #[case] lease: bool,
    #[case] expected: Choice,
) {
    let mut bench = Bench::new(kind);
    (bench.phase, bench.lease) = (phase, lease);
    assert_eq!(bench.choose(), expected);
    bench.request.bound = Some(FAR);
    assert_eq!(bench.choose(), Target(FAR), "an open transaction stays");
}

#[test]
fn a_hold_keeps_writes_and_reads_of_the_primary_waiting() {
    let mut bench = Bench::new(Kind::Write);
    let hold = bench.now + ms(400);
    bench.phase = Phase::Fenced { hold: Some(hold) };
    let (until, watch) = (hold, None);
    let wait = Wait { until, watch };
    assert_eq!(bench.choose(), wait);
    let until = bench.now + ms(10);
    bench.request.deadline = until;
    assert_eq!(bench.choose(), Wait { until, watch });
    bench.request.deadline = hold;
    bench.request.kind = Kind::Read;
    assert_eq!(bench.choose(), Target(NEAR), "reads go on");
    bench.request.needs = Needs::PrimaryOnly;
    assert_eq!(bench.choose(), wait);
    bench.now = hold;
    assert_eq!(bench.choose(), Refuse(Reason::Stale));
    bench.request.kind = Kind::Write;
    assert_eq!(bench.choose(), Refuse(Reason::NoPrimary));
}

/// Guards against new work on a retired primary in the time before its planned switch.
#[rstest]
fn a_retired_primary_gets_no_new_work(#[values(State::Draining, State::Leaving)] state: State) {
    let mut bench = Bench::new(Kind::Write);
    bench.at(PRIMARY).state = state;
    let (until, watch) = (bench.request.deadline, None);
    assert_eq!(bench.choose(), Wait { until, watch });
    bench.now = until;
    assert_eq!(bench.choose(), Refuse(Reason::Leaving));
    bench.at(PRIMARY).connections = 0;
    assert_eq!(bench.choose(), Refuse(Reason::Quota));
}

#[test]
fn a_cut_off_entry_reads_only_where_it_hears_announcements() {
    let mut bench = Bench::needing(Needs::AtLeast(Lsn(950)));
    bench.lease = false;
    assert_eq!(bench.choose(), Refuse(Reason::Stale));
    bench.at(FAR).heard = true;
    assert_eq!(bench.choose(), Target(FAR));
    bench.at(FAR).heard = false;
    bench.at(PRIMARY).heard = true;
    assert_eq!(bench.choose(), Target(PRIMARY), "its position covers");
    bench.request.needs = Needs::AtLeast(Lsn(1_001));
    assert_eq!(
        bench.choose(),
        Refuse(Reason::Stale),
        "it may be primary no more"
    );
    bench.request.needs = Needs::PrimaryOnly;
    assert_eq!(bench.choose(), Refuse(Reason::Stale));
}

#[test]
fn the_less_loaded_of_two_random_targets_is_taken() {
    let mut bench = Bench::new(Kind::Read);
    let model = *bench.at(NEAR);
    for (target, load) in [(13, 1), (14, 2), (15, 30)] {
        bench.candidates.push(Candidate {
            target,
            load,
            ..model
        });
    }
    bench.at(PRIMARY).role = Role::Replica; // Its announcement is older than its promotion.
    let mut chosen = [0_u32; 16];
    for _ in 0..1_000 {
        if let Target(target) = bench.choose() {
            chosen[target] += 1;
        }
    }
    assert_eq!(chosen[15], 0, "the most loaded loses each comparison");
    assert_eq!(chosen[FAR] + chosen[PRIMARY], 0);
    assert!(chosen[NEAR] > chosen[13] && chosen[13] > chosen[14] && chosen[14] > 0);
}

#[test]
fn the_share_of_replicas_is_counted_by_class() {
    let mut share = Share::default();
    let mut bench = Bench::new(Kind::Read);
    bench.request.max_age = Some(ms(300));
    let (near, primary) = (Target(NEAR), Target(PRIMARY));
    for choice in [near, near, near, primary, Refuse(Reason::Stale)] {
        share.count(&bench.view(), &bench.request, choice);
    }
    assert_eq!(share.aged.percent(), 75);
    bench.request.needs = Needs::AtLeast(Lsn(1));
    share.count(&bench.view(), &bench.request, primary);
    assert_eq!((share.session.percent(), share.session.primary), (0, 1));
    bench.request.bound = Some(PRIMARY);
    share.count(&bench.view(), &bench.request, primary);
    assert_eq!(share.session.primary, 1);
}

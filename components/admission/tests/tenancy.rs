//! Replays of tenants that share the connections of a lender to one server, and invariants of each
//! decision.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use admission::tenancy::{Connection, Room, State, Step, Times, Waiter, decide};
use proptest::prelude::{any, prop, prop_assert, prop_assert_eq, proptest};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;

const TENANTS: usize = 85;
const CONNECTIONS: usize = 6;
const WORK: Duration = Duration::from_millis(14);
const TO_OPEN: Duration = Duration::from_millis(12);
const GOAL: Duration = Duration::from_millis(150);
const TICK: Duration = Duration::from_millis(1);

/// A statement: when it arrives, its tenant, and how long its caller holds the connection. A caller
/// that holds it for longer than the statement takes rests in a transaction.
type Arrival = (Duration, usize, Duration);

/// Random arrivals of tenants whose sizes fall with their number.
fn arrivals(per_second: f64, period: Duration, seed: u64) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let weights: Vec<f64> = (1..=TENANTS).map(|rank| 1.0 / rank as f64).collect();
    let total: f64 = weights.iter().sum();
    let count = (per_second * period.as_secs_f64()) as usize;
    let mut arrivals: Vec<Arrival> = (0..count)
        .map(|_| {
            let mut left = rng.random::<f64>() * total;
            let tenant = weights.iter().position(|weight| {
                left -= weight;
                left <= 0.0
            });
            let at = period.mul_f64(rng.random::<f64>());
            (at, tenant.unwrap_or(0), WORK)
        })
        .collect();
    arrivals.sort_unstable();
    arrivals
}

#[derive(Debug, Default)]
struct Outcome {
    /// Time that each served statement waited, by tenant.
    waits: BTreeMap<usize, Vec<Duration>>,
    served: usize,
    opened: usize,
}

impl Outcome {
    fn longest_wait(&self, tenants: impl Fn(usize) -> bool) -> Duration {
        let waits = self.waits.iter().filter(|(tenant, _)| tenants(**tenant));
        waits.flat_map(|(_, waits)| waits).max().copied().unwrap()
    }
}

fn replay(arrivals: &[Arrival]) -> Outcome {
    let start = Instant::now();
    let mut outcome = Outcome::default();
    let mut times = Times::default();
    let mut conns: Vec<Connection<usize, usize>> = Vec::new();
    let mut held_until: BTreeMap<usize, Instant> = BTreeMap::new();
    let mut waiting: Vec<Arrival> = Vec::new();
    let (mut next, mut now) = (0, start);
    while outcome.served < arrivals.len() {
        assert!(now < start + Duration::from_secs(60), "{outcome:?}");
        while next < arrivals.len() && start + arrivals[next].0 <= now {
            waiting.push(arrivals[next]);
            next += 1;
        }
        for conn in &mut conns {
            let elapsed = now - conn.since;
            let opened = conn.state == State::Opening && elapsed >= TO_OPEN;
            let released = held_until.get(&conn.key).is_some_and(|until| *until <= now);
            if opened {
                times.on_opened(elapsed);
            }
            if opened || released {
                held_until.remove(&conn.key);
                (conn.state, conn.since) = (State::Idle, now);
            } else if conn.state == State::Running && elapsed > WORK {
                conn.state = State::Held;
            }
        }
        conns.sort_by_key(|conn| conn.since);
        let waiters: Vec<_> = waiting
            .iter()
            .map(|(at, tenant, _)| Waiter {
                tenant: *tenant,
                late: now > start + *at + GOAL,
            })
            .collect();
        let room = Room {
            free: CONNECTIONS - conns.len(),
            beyond: 0,
            limit: CONNECTIONS,
        };
        let steps = decide(now, &conns, &waiters, room, &times);
        let mut left = Vec::new();
        for (statement, step) in waiting.drain(..).zip(steps) {
            let (at, tenant, hold) = statement;
            if let Step::Use(key) = step {
                let conn = conns.iter_mut().find(|conn| conn.key == key).unwrap();
                assert_eq!((conn.tenant, conn.state), (tenant, State::Idle));
                (conn.state, conn.since, conn.unused) = (State::Running, now, false);
                held_until.insert(key, now + hold);
                outcome.served += 1;
                times.on_used(WORK);
                let waits = outcome.waits.entry(tenant).or_default();
                waits.push(now - (start + at));
                continue;
            }
            left.push(statement);
            if let Step::Replace(old) = step {
                conns.retain(|conn| conn.key != old);
            }
            if matches!(step, Step::Open | Step::Replace(_)) {
                conns.push(Connection {
                    key: outcome.opened,
                    tenant,
                    state: State::Opening,
                    since: now,
                    unused: true,
                });
                outcome.opened += 1;
            }
        }
        assert!(conns.len() <= CONNECTIONS);
        waiting = left;
        now += TICK;
    }
    outcome
}

// Guards against a connection for each statement, which would cost the server as much as the
// statements, and against tenants that are never served.
#[rstest]
fn skewed_tenants_reuse_connections(#[values(1, 2, 3)] seed: u64) {
    let outcome = replay(&arrivals(20.0, Duration::from_secs(30), seed));
    let per_statement = outcome.opened as f64 / outcome.served as f64;
    println!(
        "{per_statement:.2} openings per statement, longest wait {:?}",
        outcome.longest_wait(|_| true)
    );
    assert!(per_statement < 0.8, "{per_statement}");
    assert!(outcome.longest_wait(|_| true) < GOAL);
}

// Guards against a tenant that takes all connections by a burst of 7 times its use, or by callers
// that rest in transactions, while the others wait.
#[rstest]
#[case::burst(7.0, WORK)]
#[case::open_transactions(1.0, Duration::from_millis(1500))]
fn no_tenant_excludes_the_others(
    #[case] factor: f64,
    #[case] hold: Duration,
    #[values(1, 2, 3)] seed: u64,
) {
    let period = Duration::from_secs(7);
    let mut all = arrivals(20.0, period, seed);
    let mut rng = SmallRng::seed_from_u64(seed);
    let large = all.iter().filter(|(_, tenant, _)| *tenant == 0).count();
    all.retain(|(_, tenant, _)| *tenant != 0);
    for _ in 0..(large as f64 * factor) as usize {
        all.push((period.mul_f64(rng.random::<f64>()), 0, hold));
    }
    all.sort_unstable();
    let outcome = replay(&all);
    let longest = outcome.longest_wait(|tenant| tenant != 0);
    println!("longest wait of the others {longest:?}");
    assert!(longest < GOAL * 3, "{longest:?}");
}

// Guards against starvation: without the rule for late statements, the tenants that hold the six
// connections would keep reusing them.
#[test]
fn tenants_that_always_ask_take_turns() {
    let mut all = Vec::new();
    for number in 0..1000 {
        all.push((TICK * (number * 4), number as usize % 10, WORK));
    }
    let outcome = replay(&all);
    assert!(outcome.longest_wait(|_| true) < GOAL * 6);
}

// Guards against an opening that costs a slot although a connection is about to become free, and
// against endless waiting for one that hangs or is held.
#[rstest]
#[case::about_to_be_free(State::Running, 1, Step::Wait)]
#[case::hanging(State::Running, 400, Step::Open)]
#[case::held(State::Held, 1, Step::Open)]
#[case::just_opening(State::Opening, 1, Step::Wait)]
fn opens_only_what_is_worth_it(
    #[case] state: State,
    #[case] elapsed_ms: u64,
    #[case] expected: Step<u8>,
) {
    let now = Instant::now();
    let conn = Connection {
        key: 0,
        tenant: 0,
        state,
        since: now - Duration::from_millis(elapsed_ms),
        unused: false,
    };
    let waiter = Waiter {
        tenant: 0,
        late: false,
    };
    let room = Room {
        free: 1,
        beyond: 0,
        limit: 3,
    };
    let steps = decide(now, &[conn], &[waiter], room, &Times::default());
    assert_eq!(steps, [expected]);
}

proptest! {
    // Guards against a statement on the connection of another tenant, and against more connections
    // than there is room for or two uses of one connection in a single decision. An opening beyond
    // the share must be the last resort.
    #[test]
    fn each_decision_keeps_tenants_apart_and_the_limit(
        conns in prop::collection::vec((0..4_u8, 0..4_u8, 0..50_u64), 0..8),
        waiting in prop::collection::vec((0..4_u8, any::<bool>()), 0..12),
        free in 0..4_usize,
        beyond in 0..3_usize,
    ) {
        let now = Instant::now();
        let states = [State::Idle, State::Opening, State::Running, State::Held];
        let mut conns: Vec<_> = conns.iter().enumerate().map(|(key, (tenant, state, age))| {
            Connection {
                key,
                tenant: *tenant,
                state: states[usize::from(*state)],
                since: now - Duration::from_millis(*age),
                unused: key % 2 == 0,
            }
        }).collect();
        conns.sort_by_key(|conn| conn.since);
        let waiting: Vec<_> =
            waiting.iter().map(|(tenant, late)| Waiter { tenant: *tenant, late: *late }).collect();
        let room = Room { free, beyond, limit: conns.len() + free + beyond };
        let steps = decide(now, &conns, &waiting, room, &Times::default());
        prop_assert_eq!(steps.len(), waiting.len());
        let (mut touched, mut opened) = (BTreeSet::new(), 0);
        for (waiter, step) in waiting.iter().zip(steps) {
            let conn = |key| conns.iter().find(|conn| conn.key == key).unwrap();
            match step {
                Step::Use(key) => {
                    prop_assert_eq!(conn(key).tenant, waiter.tenant);
                    prop_assert!(conn(key).state == State::Idle && touched.insert(key));
                }
                Step::Replace(key) => {
                    prop_assert!(conn(key).tenant != waiter.tenant);
                    prop_assert!(conn(key).state == State::Idle && touched.insert(key));
                }
                Step::Open => opened += 1,
                Step::Wait | Step::Full => {}
            }
        }
        prop_assert!(opened <= free + beyond);
    }
}

//! Guards against more connections than the quota, lost connections and open storms.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pool::connection::Limits;
use pool::{Action, Id, Pool};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const IDLE: Duration = Duration::from_secs(10);

fn pool(quota: u32, keep: u32) -> Pool {
    Pool::new(Limits {
        quota,
        keep,
        idle: IDLE,
    })
}

/// A pool with `count` connections that became idle one millisecond apart.
fn idle(count: u32, keep: u32, now: Instant) -> (Pool, Vec<Id>) {
    let (mut pool, mut actions) = (pool(count, keep), Vec::new());
    pool.on_demand(count, now, &mut actions);
    let ids: Vec<Id> = actions.iter().map(|action| opened(*action)).collect();
    for (at, id) in ids.iter().enumerate() {
        pool.on_opened(*id, now + Duration::from_millis(at as u64), &mut actions);
    }
    assert_eq!(pool.count().idle, count);
    (pool, ids)
}

fn opened(action: Action) -> Id {
    match action {
        Action::Open(id) => id,
        Action::Close(id) => panic!("{id:?} closed"),
    }
}

/// The target's side: every connection that it sees, and whether it was told to close.
struct Model {
    pool: Pool,
    seen: BTreeMap<Id, bool>,
    held: Vec<Id>,
    now: Instant,
    rng: SmallRng,
}

impl Model {
    /// One event, chosen by `step`, on a connection chosen by `at`.
    fn apply(&mut self, step: u8, at: usize, actions: &mut Vec<Action>) {
        let (pool, now) = (&mut self.pool, self.now);
        let number = u32::try_from(at % 8).unwrap();
        let seen = self.seen.keys().nth(at % self.seen.len().max(1)).copied();
        let held = self.held.get(at % self.held.len().max(1)).copied();
        match (step, seen, held) {
            (0, ..) => pool.on_demand(number, now, actions),
            (1, ..) => pool.set_quota(number, actions),
            (2, ..) => self.held.extend(pool.take()),
            (3, ..) => {
                self.now += Duration::from_millis(at as u64 % 6_000);
                pool.on_time(self.now, actions);
            }
            (4, Some(id), _) => pool.on_opened(id, now, actions),
            (5, Some(id), _) if !self.held.contains(&id) => {
                pool.on_open_failed(id, now, &mut self.rng);
                self.seen.remove(&id);
            }
            (6, Some(id), _) => {
                pool.on_closed(id);
                self.held.retain(|held| *held != id);
                self.seen.remove(&id);
            }
            (7, _, Some(id)) => {
                pool.give_back(id, now, actions);
                self.held.retain(|held| *held != id);
            }
            (8, _, Some(id)) => {
                pool.discard(id, actions);
                self.held.retain(|held| *held != id);
            }
            _ => {}
        }
    }

    fn check(&mut self, actions: &[Action]) {
        let quota = self.pool.quota() as usize;
        for action in actions {
            match action {
                Action::Open(id) => {
                    assert!(self.seen.insert(*id, false).is_none(), "{id:?} used twice");
                    assert!(self.seen.len() <= quota, "opened beyond the quota");
                }
                Action::Close(id) => {
                    assert_eq!(self.seen.insert(*id, true), Some(false), "{id:?} not open");
                    assert!(!self.held.contains(id), "{id:?} closed in use");
                }
            }
        }
        let count = self.pool.count();
        assert_eq!(count.total() as usize, self.seen.len());
        assert_eq!(count.in_use as usize, self.held.len());
        assert!(count.live() <= count.in_use.max(self.pool.quota()));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::with_cases(512)
    })]

    #[test]
    fn no_event_leads_beyond_the_quota(
        steps in prop::collection::vec((0..9_u8, any::<usize>()), 1..120),
    ) {
        let mut model = Model {
            pool: pool(4, 1),
            seen: BTreeMap::new(),
            held: Vec::new(),
            now: Instant::now(),
            rng: SmallRng::seed_from_u64(7),
        };
        for (step, at) in steps {
            let mut actions = Vec::new();
            model.apply(step, at, &mut actions);
            model.check(&actions);
        }
    }
}

/// Guards against a pool that keeps every connection warm and never shrinks.
#[test]
fn the_connection_used_last_is_used_first_and_the_others_age_out() {
    let now = Instant::now();
    let (mut pool, ids) = idle(3, 1, now);
    let mut actions = Vec::new();
    assert_eq!(pool.take(), Some(ids[2]));
    pool.give_back(ids[2], now + Duration::from_millis(500), &mut actions);
    assert_eq!(pool.deadline(now), Some(now + IDLE));
    pool.on_time(now + IDLE, &mut actions);
    assert_eq!(actions, [Action::Close(ids[0])]);
    pool.on_time(now + IDLE * 9, &mut actions);
    assert_eq!(actions[1..], [Action::Close(ids[1])], "one is kept");
    assert_eq!(pool.deadline(now + IDLE * 9), None);
}

/// Guards against cutting a request short when the quota shrinks.
#[test]
fn a_smaller_quota_closes_idle_connections_and_then_those_given_back() {
    let now = Instant::now();
    let (mut pool, ids) = idle(3, 0, now);
    let mut actions = Vec::new();
    let (first, second) = (pool.take().unwrap(), pool.take().unwrap());
    pool.set_quota(1, &mut actions);
    assert_eq!(actions, [Action::Close(ids[0])]);
    actions.clear();
    pool.give_back(first, now, &mut actions);
    pool.give_back(second, now, &mut actions);
    assert_eq!(actions, [Action::Close(first)]);
    assert_eq!(pool.take(), Some(second));
}

/// Guards against a storm of attempts at a target that is down, and against a timer that is due
/// at once forever.
#[test]
fn failed_attempts_are_spaced_out_and_single() {
    let (mut now, mut rng) = (Instant::now(), SmallRng::seed_from_u64(3));
    let mut pool = pool(8, 0);
    let mut last = Duration::ZERO;
    for failures in 0..12_u32 {
        let mut actions = Vec::new();
        pool.on_demand(8, now, &mut actions);
        assert_eq!(actions.len(), if failures == 0 { 8 } else { 1 });
        for action in actions {
            pool.on_open_failed(opened(action), now, &mut rng);
        }
        let until = pool.deadline(now).unwrap();
        last = until - now;
        assert!(failures > 0 || last <= pool::backoff::FIRST, "{last:?}");
        assert!(last <= pool::backoff::LAST, "{last:?}");
        let mut early = Vec::new();
        pool.on_demand(8, until - Duration::from_millis(1), &mut early);
        assert!(early.is_empty());
        now = until;
        assert_eq!(pool.deadline(now), None);
    }
    assert!(last >= pool::backoff::LAST / 2, "{last:?}");
    let mut actions = Vec::new();
    pool.on_demand(8, now, &mut actions);
    pool.on_opened(opened(actions[0]), now, &mut actions);
    pool.on_demand(8, now, &mut actions);
    assert_eq!(actions.len(), 8, "a success ends the back-off");
}

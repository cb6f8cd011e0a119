//! Guards against connections beyond the quota, leaked connections, and bursts of attempts to open
//! connections to a target that is down.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pool::connection::Id;
use pool::connection::Limits;
use pool::{Action, Pool};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

fn pool(quota: u32, min_live: u32) -> Pool {
    Pool::new(Limits {
        quota,
        min_live,
        idle_timeout: IDLE_TIMEOUT,
    })
}

/// A pool with `count` connections that became idle one millisecond apart.
fn idle_pool(count: u32, min_live: u32, now: Instant) -> (Pool, Vec<Id>) {
    let (mut pool, mut actions) = (pool(count, min_live), Vec::new());
    pool.on_demand(count, now, &mut actions);
    let ids: Vec<Id> = actions.iter().map(|action| opened_id(*action)).collect();
    for (index, id) in ids.iter().enumerate() {
        pool.on_opened(*id, now + Duration::from_millis(index as u64), &mut actions);
    }
    assert_eq!(pool.count().idle, count);
    (pool, ids)
}

fn opened_id(action: Action) -> Id {
    match action {
        Action::Open(id) => id,
        Action::Close(id) => panic!("unexpected close of {id:?}"),
    }
}

/// Reference state of the target's side.
struct Model {
    pool: Pool,
    /// Connections that the target sees, and whether the pool has asked to close them.
    on_target: BTreeMap<Id, bool>,
    in_use: Vec<Id>,
    now: Instant,
    rng: SmallRng,
}

impl Model {
    /// Applies the event number `event` to a connection selected by `choice`.
    fn apply(&mut self, event: u8, choice: usize, actions: &mut Vec<Action>) {
        let (pool, now) = (&mut self.pool, self.now);
        let quota_or_demand = u32::try_from(choice % 8).unwrap();
        let known = self
            .on_target
            .keys()
            .nth(choice % self.on_target.len().max(1))
            .copied();
        let used = self.in_use.get(choice % self.in_use.len().max(1)).copied();
        match (event, known, used) {
            (0, ..) => pool.on_demand(quota_or_demand, now, actions),
            (1, ..) => pool.set_quota(quota_or_demand, actions),
            (2, ..) => self.in_use.extend(pool.acquire()),
            (3, ..) => {
                self.now += Duration::from_millis(choice as u64 % 6_000);
                pool.on_timer(self.now, actions);
            }
            (4, Some(id), _) => pool.on_opened(id, now, actions),
            (5, Some(id), _) if !self.in_use.contains(&id) => {
                pool.on_open_failed(id, now, &mut self.rng);
                self.on_target.remove(&id);
            }
            (6, Some(id), _) => {
                pool.on_closed(id);
                self.in_use.retain(|used| *used != id);
                self.on_target.remove(&id);
            }
            (7, _, Some(id)) => {
                pool.release(id, now, actions);
                self.in_use.retain(|used| *used != id);
            }
            (8, _, Some(id)) => {
                pool.discard(id, actions);
                self.in_use.retain(|used| *used != id);
            }
            _ => {}
        }
    }

    fn check(&mut self, actions: &[Action]) {
        let quota = self.pool.quota() as usize;
        for action in actions {
            match action {
                Action::Open(id) => {
                    assert!(
                        self.on_target.insert(*id, false).is_none(),
                        "{id:?} was opened before"
                    );
                    assert!(
                        self.on_target.len() <= quota,
                        "connection opened beyond the quota"
                    );
                }
                Action::Close(id) => {
                    assert_eq!(
                        self.on_target.insert(*id, true),
                        Some(false),
                        "{id:?} closed while not open"
                    );
                    assert!(!self.in_use.contains(id), "{id:?} closed while in use");
                }
            }
        }
        let count = self.pool.count();
        assert_eq!(count.total() as usize, self.on_target.len());
        assert_eq!(count.in_use as usize, self.in_use.len());
        assert!(count.live() <= count.in_use.max(self.pool.quota()));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::with_cases(512)
    })]

    #[test]
    fn no_sequence_of_events_exceeds_the_quota(
        events in prop::collection::vec((0..9_u8, any::<usize>()), 1..120),
    ) {
        let mut model = Model {
            pool: pool(4, 1),
            on_target: BTreeMap::new(),
            in_use: Vec::new(),
            now: Instant::now(),
            rng: SmallRng::seed_from_u64(7),
        };
        for (event, choice) in events {
            let mut actions = Vec::new();
            model.apply(event, choice, &mut actions);
            model.check(&actions);
        }
    }
}

/// Guards against a pool that never shrinks because it uses its connections in turn.
#[test]
fn most_recently_used_connection_is_reused_and_others_expire() {
    let now = Instant::now();
    let (mut pool, ids) = idle_pool(3, 1, now);
    let mut actions = Vec::new();
    assert_eq!(pool.acquire(), Some(ids[2]));
    pool.release(ids[2], now + Duration::from_millis(500), &mut actions);
    assert_eq!(pool.deadline(now), Some(now + IDLE_TIMEOUT));
    pool.on_timer(now + IDLE_TIMEOUT, &mut actions);
    assert_eq!(actions, [Action::Close(ids[0])]);
    pool.on_timer(now + IDLE_TIMEOUT * 9, &mut actions);
    assert_eq!(
        actions[1..],
        [Action::Close(ids[1])],
        "one connection stays open"
    );
    assert_eq!(pool.deadline(now + IDLE_TIMEOUT * 9), None);
}

/// Guards against aborted requests when the quota shrinks.
#[test]
fn smaller_quota_closes_idle_connections_and_released_ones_only() {
    let now = Instant::now();
    let (mut pool, ids) = idle_pool(3, 0, now);
    let mut actions = Vec::new();
    let (first, second) = (pool.acquire().unwrap(), pool.acquire().unwrap());
    pool.set_quota(1, &mut actions);
    assert_eq!(actions, [Action::Close(ids[0])]);
    actions.clear();
    pool.release(first, now, &mut actions);
    pool.release(second, now, &mut actions);
    assert_eq!(actions, [Action::Close(first)]);
    assert_eq!(pool.acquire(), Some(second));
}

/// Guards against bursts of attempts at a target that is down, and against a timer that stays due
/// and makes the loop spin.
#[test]
fn failed_attempts_are_delayed_and_never_concurrent() {
    let (mut now, mut rng) = (Instant::now(), SmallRng::seed_from_u64(3));
    let mut pool = pool(8, 0);
    let mut last_delay = Duration::ZERO;
    for failures in 0..12_u32 {
        let mut actions = Vec::new();
        pool.on_demand(8, now, &mut actions);
        assert_eq!(actions.len(), if failures == 0 { 8 } else { 1 });
        for action in actions {
            pool.on_open_failed(opened_id(action), now, &mut rng);
        }
        let retry_at = pool.deadline(now).unwrap();
        last_delay = retry_at - now;
        assert!(
            failures > 0 || last_delay <= pool::backoff::FIRST_DELAY,
            "{last_delay:?}"
        );
        assert!(last_delay <= pool::backoff::MAX_DELAY, "{last_delay:?}");
        let mut early = Vec::new();
        pool.on_demand(8, retry_at - Duration::from_millis(1), &mut early);
        assert!(early.is_empty());
        now = retry_at;
        assert_eq!(pool.deadline(now), None);
    }
    assert!(last_delay >= pool::backoff::MAX_DELAY / 2, "{last_delay:?}");
    let mut actions = Vec::new();
    pool.on_demand(8, now, &mut actions);
    pool.on_opened(opened_id(actions[0]), now, &mut actions);
    pool.on_demand(8, now, &mut actions);
    assert_eq!(actions.len(), 8, "a success ends the backoff");
}

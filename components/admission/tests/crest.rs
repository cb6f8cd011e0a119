//! Replays of load patterns against a server with slots, with and without each policy.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use admission::{Queue, Window};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;

const SLOTS: usize = 6;
/// Time that a statement takes on the server.
const WORK: Duration = Duration::from_millis(28);
const GOAL: Duration = Duration::from_millis(400);
/// How long a statement may wait before it is refused.
const WAIT_LIMIT: Duration = Duration::from_millis(450);
const TICK: Duration = Duration::from_millis(1);

/// Arrivals at a multiple of what the slots serve, evenly random.
fn arrivals(load: f64, period: Duration, seed: u64) -> Vec<Duration> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let rate = load * SLOTS as f64 / WORK.as_secs_f64();
    let count = (rate * period.as_secs_f64()) as usize;
    let mut times: Vec<Duration> = (0..count)
        .map(|_| period.mul_f64(rng.random::<f64>()))
        .collect();
    times.sort_unstable();
    times
}

/// Share of the statements that are answered within the goal. `pop` takes the next one from the
/// waiting ones, given by arrival.
fn share_in_time(
    arrivals: &[Duration],
    mut push: impl FnMut(Instant),
    mut pop: impl FnMut(Instant) -> Option<Instant>,
) -> f64 {
    let start = Instant::now();
    let mut arrivals_left: VecDeque<Duration> = arrivals.iter().copied().collect();
    let mut busy_until = vec![start; SLOTS];
    let mut in_time = 0;
    let end = arrivals[arrivals.len() - 1] + WAIT_LIMIT + WORK;
    let mut now = start;
    while now < start + end {
        while arrivals_left
            .pop_front_if(|at| start + *at <= now)
            .is_some()
        {
            push(now);
        }
        for slot in &mut busy_until {
            while *slot <= now {
                let Some(arrived_at) = pop(now) else { break };
                if now > arrived_at + WAIT_LIMIT {
                    continue;
                }
                *slot = now + WORK;
                in_time += usize::from(*slot <= arrived_at + GOAL);
            }
        }
        now += TICK;
    }
    in_time as f64 / arrivals.len() as f64
}

// Guards against an order of arrival while more is asked than can be served: each statement is then
// answered just after its goal. A crest of half more than the slots serve, for two seconds.
#[rstest]
fn queue_serves_in_time_what_the_slots_can_at_a_crest(#[values(1, 2, 3)] seed: u64) {
    let arrivals = arrivals(1.5, Duration::from_secs(2), seed);

    let waiting = std::cell::RefCell::new(VecDeque::new());
    let by_arrival = share_in_time(
        &arrivals,
        |now| waiting.borrow_mut().push_back(now),
        |_| waiting.borrow_mut().pop_front(),
    );

    let queue = std::cell::RefCell::new(Queue::default());
    let in_time_first = share_in_time(
        &arrivals,
        |now| queue.borrow_mut().push(1, now + GOAL - WORK, now),
        |now| queue.borrow_mut().pop(now),
    );
    // The slots serve two thirds of the crest while it lasts, and some after it.
    assert!(in_time_first > 0.64, "{in_time_first}");
    assert!(
        in_time_first > by_arrival + 0.15,
        "{by_arrival} in order of arrival, {in_time_first} with those in time first"
    );
}

// A late statement of the first rank must still go before others, and the oldest late one first.
#[test]
fn queue_orders_by_rank_then_by_time_left_then_by_arrival() {
    let now = Instant::now();
    let (late, in_time) = (now - WORK, now + WORK);
    let mut queue = Queue::default();
    queue.push(2, in_time, "second rank");
    queue.push(1, late, "late");
    queue.push(1, late, "late, younger");
    queue.push(1, in_time, "in time");
    queue.push(1, in_time, "in time, younger");
    let order: Vec<_> = std::iter::from_fn(|| queue.pop(now)).collect();
    assert_eq!(
        order,
        [
            "in time",
            "in time, younger",
            "late",
            "late, younger",
            "second rank"
        ]
    );
}

// A statement that cannot be served, as its tenant has no connection, must not hold up the others.
#[test]
fn queue_serves_the_next_statement_that_fits() {
    let now = Instant::now();
    let mut queue = Queue::default();
    queue.push(1, now + WORK, "unserved");
    queue.push(2, now - WORK, "late");
    queue.push(2, now + WORK, "in time");
    let fits = |item: &&str| *item != "unserved";
    assert_eq!(queue.pop_where(now, fits), Some("in time"));
    assert_eq!(queue.pop_where(now, fits), Some("late"));
    assert_eq!(queue.pop_where(now, fits), None);
    assert_eq!(queue.pop(now), Some("unserved"));
}

/// Rejections for each served statement while lenders share a server that is asked for more than it
/// can serve. Each always has statements waiting.
fn rejections_per_served(
    lenders: usize,
    mut admits: impl FnMut(usize, Instant, usize) -> bool,
    mut answered: impl FnMut(usize, Instant, bool),
) -> (f64, f64) {
    let start = Instant::now();
    let mut running: BTreeMap<Instant, Vec<usize>> = BTreeMap::new();
    let mut counts = vec![0_usize; lenders];
    let (mut served, mut rejected, mut busy) = (0_u32, 0_u32, 0);
    let period = Duration::from_secs(5);
    let mut now = start;
    while now < start + period {
        while let Some(entry) = running.first_entry().filter(|entry| *entry.key() <= now) {
            for lender in entry.remove() {
                counts[lender] -= 1;
                busy -= 1;
                served += 1;
                answered(lender, now, true);
            }
        }
        for (lender, count) in counts.iter_mut().enumerate() {
            while admits(lender, now, *count) {
                if busy == SLOTS {
                    rejected += 1;
                    answered(lender, now, false);
                    break;
                }
                busy += 1;
                *count += 1;
                running.entry(now + WORK).or_default().push(lender);
            }
        }
        now += TICK;
    }
    let capacity = SLOTS as f64 * period.as_secs_f64() / WORK.as_secs_f64();
    (
        f64::from(rejected) / f64::from(served),
        f64::from(served) / capacity,
    )
}

// Guards against lenders that send to a full server again and again. The slots must stay in use all
// the same.
#[test]
fn windows_spare_a_full_server_rejections() {
    const LENDERS: usize = 8;
    // Without a window each lender uses all its connections and tries again at the next tick.
    let (rejections_before, _) =
        rejections_per_served(LENDERS, |_, _, running| running < 12, |_, _, _| {});

    let windows = std::cell::RefCell::new(vec![Window::new(SLOTS as u32); LENDERS]);
    let (rejections, used) = rejections_per_served(
        LENDERS,
        |lender, now, running| windows.borrow()[lender].admits(now, running),
        |lender, now, is_served| {
            let window = &mut windows.borrow_mut()[lender];
            if is_served {
                window.on_served();
            } else {
                window.on_rejected(now);
            }
        },
    );
    assert!(
        rejections * 4.0 < rejections_before,
        "{rejections_before} before, {rejections}"
    );
    assert!(used > 0.9, "{used} of the slots used");
}

// One lender alone must be able to use all slots again soon after others have left.
#[test]
fn window_grows_back_to_all_slots() {
    let mut now = Instant::now();
    let mut window = Window::new(SLOTS as u32);
    for _ in 0..50 {
        window.on_rejected(now);
        now += Duration::from_secs(1);
    }
    assert!(window.admits(now, 0), "nothing is admitted");
    assert!(!window.admits(now, 1), "more than one is admitted");
    // One second of statements, one after the other.
    for _ in 0..36 {
        window.on_served();
    }
    assert!(window.admits(now, SLOTS - 1));
    assert!(!window.admits(now, SLOTS + 1));
}

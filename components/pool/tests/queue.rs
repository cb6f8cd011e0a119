//! Guards against head-of-line blocking, starvation, missed deadlines and lost statements.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pool::queue::Limits;
use pool::shape::Table;
use pool::{Class, Event, Key, Queue, Refusal, Ticket, Work};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SHORT: Key = Key(1);
const LONG: Key = Key(2);
const UNKNOWN: Key = Key(3);

const LIMITS: Limits = Limits {
    slots: 5,
    long_max: 3,
    waiting_max: 64,
    long_after: ms(50),
    age_after: ms(200),
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A queue with its table and a clock of its own.
struct Bench {
    queue: Queue,
    table: Table,
    now: Instant,
}

impl Bench {
    fn new(limits: Limits) -> Self {
        let mut table = Table::default();
        for _ in 0..20 {
            table.learn(SHORT, ms(2));
        }
        table.learn(LONG, ms(400));
        Self {
            queue: Queue::new(limits),
            table,
            now: Instant::now(),
        }
    }

    fn submit_class(&mut self, key: Key, class: Class, wait: u64) -> Result<Ticket, Refusal> {
        let deadline = self.now + ms(wait);
        let work = Work {
            key,
            class,
            deadline,
        };
        self.queue.submit(work, &self.table, self.now)
    }

    fn submit(&mut self, key: Key) -> Ticket {
        self.submit_class(key, Class::Interactive, 60_000).unwrap()
    }

    fn schedule(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        self.queue
            .schedule(usize::MAX, &mut self.table, self.now, &mut events);
        events
    }

    fn started(&mut self) -> Vec<Ticket> {
        let tickets = self.schedule().into_iter().map(|event| match event {
            Event::Start(ticket) => ticket,
            Event::Refuse(ticket, _) => panic!("{ticket:?} refused"),
        });
        tickets.collect()
    }

    fn finish(&mut self, ticket: Ticket) {
        self.queue.finish(ticket, &mut self.table, self.now);
    }
}

#[test]
fn short_work_passes_waiting_long_work() {
    let mut bench = Bench::new(LIMITS);
    let long: Vec<_> = (0..6).map(|_| bench.submit(LONG)).collect();
    assert_eq!(bench.started(), long[..3], "long_max holds");
    let short = [
        bench.submit(SHORT),
        bench.submit(SHORT),
        bench.submit(SHORT),
    ];
    assert_eq!(bench.started(), short[..2]);
    bench.finish(short[0]);
    assert_eq!(bench.started(), short[2..]);
}

#[test]
fn long_work_leaves_the_last_free_slot() {
    let mut bench = Bench::new(LIMITS);
    let short: Vec<_> = (0..4).map(|_| bench.submit(SHORT)).collect();
    assert_eq!(bench.started(), short);
    let long = bench.submit(LONG);
    assert_eq!(bench.started(), []);
    bench.finish(short[0]);
    assert_eq!(bench.started(), [long]);
}

#[test]
fn aged_long_work_does_not_hold_back_short_work_for_other_long_work() {
    let mut bench = Bench::new(Limits { slots: 3, ..LIMITS });
    let long: Vec<_> = (0..3).map(|_| bench.submit(LONG)).collect();
    assert_eq!(bench.started(), long[..2]);
    bench.now += ms(300);
    let short = [bench.submit(SHORT), bench.submit(SHORT)];
    assert_eq!(bench.started(), short[..1]);
    let mut left = Vec::new();
    bench.queue.drain(&mut left);
    assert_eq!(left, [long[2], short[1]], "the target is leaving");
}

#[test]
fn long_work_is_not_starved_by_a_flood_of_short_work() {
    let mut bench = Bench::new(LIMITS);
    let mut running: Vec<_> = (0..5).map(|_| bench.submit(SHORT)).collect();
    assert_eq!(bench.started(), running);
    let long = bench.submit_class(LONG, Class::Batch, 60_000).unwrap();
    let begin = bench.now;
    while bench.now < begin + ms(500) {
        while bench.queue.waiting() < 8 {
            bench.submit(SHORT);
        }
        bench.now += ms(1);
        let ended = running.remove(0);
        bench.finish(ended);
        running.extend(bench.started());
        if running.contains(&long) {
            let waited = bench.now - begin;
            assert!(
                waited <= ms(90),
                "a fifth of 400 ms, and the pause: {waited:?}"
            );
            return;
        }
    }
    panic!("the long statement never started");
}

#[test]
fn an_unknown_statement_counts_as_long_once_it_has_run_long() {
    let mut bench = Bench::new(LIMITS);
    let first: Vec<_> = (0..3).map(|_| bench.submit(UNKNOWN)).collect();
    assert_eq!(bench.started(), first, "short at first");
    let waiting = bench.submit(UNKNOWN);
    bench.submit(LONG);
    bench.queue.set_limits(Limits { slots: 3, ..LIMITS });
    assert_eq!(bench.started(), []);
    assert_eq!(bench.queue.deadline(), Some(bench.now + ms(50)));
    bench.now += ms(50);
    bench.queue.set_limits(LIMITS);
    assert_eq!(bench.started(), [], "three run as long");
    assert!(bench.table.is_long(UNKNOWN, ms(50)));
    let short = bench.submit(SHORT);
    assert_eq!(bench.started(), [short]);
    bench.finish(first[0]);
    assert_eq!(bench.started(), [waiting], "it moved to the long line");
}

/// Guards against losing slots at peak load, when all work is slow at once.
#[test]
fn a_slowdown_of_all_work_leaves_every_slot_in_use() {
    let mut bench = Bench::new(LIMITS);
    for _ in 0..400 {
        bench.table.learn(SHORT, ms(120));
    }
    let all: Vec<_> = (0..5).map(|_| bench.submit(SHORT)).collect();
    let (mut events, now) = (Vec::new(), bench.now);
    let Bench { queue, table, .. } = &mut bench;
    queue.schedule(2, table, now, &mut events);
    assert_eq!(events.len(), 2, "one for each connection");
    assert_eq!(bench.started(), all[2..]);
}

#[test]
fn interactive_work_goes_before_batch_work() {
    let mut bench = Bench::new(Limits { slots: 1, ..LIMITS });
    let running = bench.submit(LONG);
    assert_eq!(
        bench.started(),
        [running],
        "a single slot runs long work too"
    );
    let batch = bench.submit_class(SHORT, Class::Batch, 60_000).unwrap();
    let interactive = bench.submit(SHORT);
    bench.finish(running);
    assert_eq!(bench.started(), [interactive]);
    bench.finish(interactive);
    assert_eq!(bench.started(), [batch]);
}

#[test]
fn deadlines_pass_in_order_and_nothing_starts_after_its_own() {
    let mut bench = Bench::new(Limits { slots: 1, ..LIMITS });
    let running = bench.submit(SHORT);
    assert_eq!(bench.started(), [running]);
    let waits = [
        (30, Class::Interactive),
        (10, Class::Batch),
        (20, Class::Interactive),
    ];
    let [third, first, second] =
        waits.map(|(wait, class)| bench.submit_class(SHORT, class, wait).unwrap());
    let later = bench.submit(SHORT);
    assert_eq!(bench.queue.deadline(), Some(bench.now + ms(10)));
    bench.now += ms(30);
    bench.finish(running);
    let refuse = |ticket| Event::Refuse(ticket, Refusal::Deadline);
    let expected = [
        refuse(first),
        refuse(second),
        refuse(third),
        Event::Start(later),
    ];
    assert_eq!(bench.schedule(), expected);
    assert_eq!(bench.queue.deadline(), None);
}

#[test]
fn a_full_queue_and_a_hopeless_wait_are_refused_at_once() {
    let mut bench = Bench::new(Limits {
        slots: 1,
        waiting_max: 4,
        ..LIMITS
    });
    let running = bench.submit(SHORT);
    assert_eq!(bench.started(), [running]);
    let waiting = [bench.submit(SHORT), bench.submit(SHORT)];
    bench.submit_class(SHORT, Class::Batch, 60_000).unwrap();
    // Two statements of 2 ms are ahead.
    let refused = bench.submit_class(SHORT, Class::Interactive, 4);
    assert_eq!(refused, Err(Refusal::Deadline));
    bench.submit_class(SHORT, Class::Interactive, 5).unwrap();
    let full = bench.submit_class(SHORT, Class::Interactive, 60_000);
    assert_eq!(full, Err(Refusal::Full));
    assert!(bench.queue.cancel(waiting[0]), "its caller has gone");
    assert!(!bench.queue.cancel(waiting[0]));
    let refilled = bench.submit_class(SHORT, Class::Interactive, 5);
    assert!(refilled.is_ok(), "it counts no more as work ahead");
    bench.finish(running);
    assert_eq!(bench.started(), [waiting[1]]);
    assert!(!bench.queue.cancel(waiting[1]), "it runs");
}

/// Guards against a transaction that waits behind work that waits for its locks.
#[test]
fn a_statement_of_an_open_transaction_needs_no_free_slot() {
    let mut bench = Bench::new(Limits { slots: 1, ..LIMITS });
    let first = bench.submit(SHORT);
    assert_eq!(bench.started(), [first]);
    let bound = bench.queue.start_bound(SHORT, &bench.table, bench.now);
    let waiting = bench.submit(SHORT);
    bench.finish(first);
    assert_eq!(bench.started(), [], "the bound statement holds the slot");
    bench.queue.abandon(bound);
    assert_eq!(bench.started(), [waiting]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::with_cases(256)
    })]

    /// Every statement ends in exactly one way, in time, and the bounds on slots always hold.
    #[test]
    fn random_work_keeps_every_bound(
        slots in 1..6_u32,
        arrivals in prop::collection::vec((0..6_u64, any::<bool>(), 0..20_u64, any::<bool>()), 1..150),
    ) {
        let limits = Limits { slots, ..LIMITS };
        let mut bench = Bench::new(limits);
        let mut waiting: BTreeMap<Ticket, (bool, Instant)> = BTreeMap::new();
        let mut running: Vec<(Instant, Ticket, bool)> = Vec::new();
        let mut next = 0;
        let mut arrive = bench.now;
        while next < arrivals.len() || !waiting.is_empty() || !running.is_empty() {
            while let Some((gap, long, wait, batch)) = arrivals.get(next).copied()
                && arrive <= bench.now
            {
                next += 1;
                arrive += ms(gap);
                let class = if batch { Class::Batch } else { Class::Interactive };
                let wait = 50 + wait * 100;
                let key = if long { LONG } else { SHORT };
                if let Ok(ticket) = bench.submit_class(key, class, wait) {
                    waiting.insert(ticket, (long, bench.now + ms(wait)));
                }
            }
            let mut last = None;
            for event in bench.schedule() {
                match event {
                    Event::Refuse(ticket, _) => {
                        let (_, deadline) = waiting.remove(&ticket).unwrap();
                        prop_assert!(deadline <= bench.now);
                        prop_assert!(last <= Some(deadline));
                        last = Some(deadline);
                    }
                    Event::Start(ticket) => {
                        let (long, deadline) = waiting.remove(&ticket).unwrap();
                        prop_assert!(bench.now < deadline);
                        running.push((bench.now + ms(if long { 400 } else { 2 }), ticket, long));
                        prop_assert!(running.len() <= slots as usize);
                        let longs = running.iter().filter(|(_, _, long)| *long).count();
                        prop_assert!(!long || slots == 1 || running.len() < slots as usize);
                        prop_assert!(longs <= 3.min(slots as usize - 1).max(1));
                    }
                }
            }
            prop_assert_eq!(bench.queue.waiting(), waiting.len());
            bench.now += ms(1);
            for (_, ticket, _) in running.extract_if(.., |(end, _, _)| *end <= bench.now) {
                bench.queue.finish(ticket, &mut bench.table, bench.now);
            }
        }
    }
}

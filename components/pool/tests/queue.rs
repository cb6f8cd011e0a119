//! Guards against head-of-line blocking, starvation, missed deadlines and lost statements in the
//! queue.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pool::queue::Limits;
use pool::service_time::Table;
use pool::{Class, Event, Key, Queue, Refusal, Submission, Ticket};
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
    max_aging_time: ms(200),
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A queue with its service times and a simulated clock.
struct Bench {
    queue: Queue,
    service_times: Table,
    now: Instant,
}

impl Bench {
    fn new(limits: Limits) -> Self {
        let mut service_times = Table::default();
        for _ in 0..20 {
            service_times.record(SHORT, ms(2));
        }
        service_times.record(LONG, ms(400));
        Self {
            queue: Queue::new(limits),
            service_times,
            now: Instant::now(),
        }
    }

    fn submit_class(&mut self, key: Key, class: Class, wait_ms: u64) -> Result<Ticket, Refusal> {
        let deadline = self.now + ms(wait_ms);
        let statement = Submission {
            key,
            class,
            deadline,
        };
        self.queue.submit(statement, &self.service_times, self.now)
    }

    fn submit(&mut self, key: Key) -> Ticket {
        self.submit_class(key, Class::Interactive, 60_000).unwrap()
    }

    fn schedule(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        self.queue
            .schedule(usize::MAX, &mut self.service_times, self.now, &mut events);
        events
    }

    fn schedule_starts(&mut self) -> Vec<Ticket> {
        let tickets = self.schedule().into_iter().map(|event| match event {
            Event::Start(ticket) => ticket,
            Event::Refuse(ticket, _) => panic!("unexpected refusal of {ticket:?}"),
        });
        tickets.collect()
    }

    fn finish(&mut self, ticket: Ticket) {
        self.queue.finish(ticket, &mut self.service_times, self.now);
    }
}

#[test]
fn short_statements_overtake_waiting_long_ones() {
    let mut bench = Bench::new(LIMITS);
    let long: Vec<_> = (0..6).map(|_| bench.submit(LONG)).collect();
    assert_eq!(
        bench.schedule_starts(),
        long[..3],
        "at most long_max long statements run"
    );
    let short = [
        bench.submit(SHORT),
        bench.submit(SHORT),
        bench.submit(SHORT),
    ];
    assert_eq!(bench.schedule_starts(), short[..2]);
    bench.finish(short[0]);
    assert_eq!(bench.schedule_starts(), short[2..]);
}

#[test]
fn long_statements_never_take_the_last_free_slot() {
    let mut bench = Bench::new(LIMITS);
    let short: Vec<_> = (0..4).map(|_| bench.submit(SHORT)).collect();
    assert_eq!(bench.schedule_starts(), short);
    let long = bench.submit(LONG);
    assert_eq!(bench.schedule_starts(), []);
    bench.finish(short[0]);
    assert_eq!(bench.schedule_starts(), [long]);
}

#[test]
fn aged_long_statement_does_not_block_short_ones_while_long_slots_are_full() {
    let mut bench = Bench::new(Limits { slots: 3, ..LIMITS });
    let long: Vec<_> = (0..3).map(|_| bench.submit(LONG)).collect();
    assert_eq!(bench.schedule_starts(), long[..2]);
    bench.now += ms(300);
    let short = [bench.submit(SHORT), bench.submit(SHORT)];
    assert_eq!(bench.schedule_starts(), short[..1]);
    let mut drained = Vec::new();
    bench.queue.drain(&mut drained);
    assert_eq!(drained, [long[2], short[1]], "drained in order of arrival");
}

#[test]
fn long_statement_is_not_starved_by_a_flood_of_short_ones() {
    let mut bench = Bench::new(LIMITS);
    let mut running: Vec<_> = (0..5).map(|_| bench.submit(SHORT)).collect();
    assert_eq!(bench.schedule_starts(), running);
    let long = bench.submit_class(LONG, Class::Batch, 60_000).unwrap();
    let start = bench.now;
    while bench.now < start + ms(500) {
        while bench.queue.waiting() < 8 {
            bench.submit(SHORT);
        }
        bench.now += ms(1);
        let ended = running.remove(0);
        bench.finish(ended);
        running.extend(bench.schedule_starts());
        if running.contains(&long) {
            let waited = bench.now - start;
            assert!(
                waited <= ms(90),
                "aging time is a fifth of 400 ms, plus the pause: {waited:?}"
            );
            return;
        }
    }
    panic!("the long statement never started");
}

#[test]
fn unknown_statement_counts_as_long_once_it_has_run_long() {
    let mut bench = Bench::new(LIMITS);
    let first: Vec<_> = (0..3).map(|_| bench.submit(UNKNOWN)).collect();
    assert_eq!(
        bench.schedule_starts(),
        first,
        "unknown statements count as short"
    );
    let waiting = bench.submit(UNKNOWN);
    bench.submit(LONG);
    bench.queue.set_limits(Limits { slots: 3, ..LIMITS });
    assert_eq!(bench.schedule_starts(), []);
    assert_eq!(bench.queue.deadline(), Some(bench.now + ms(50)));
    bench.now += ms(50);
    bench.queue.set_limits(LIMITS);
    assert_eq!(
        bench.schedule_starts(),
        [],
        "three running statements count as long"
    );
    assert!(bench.service_times.is_long(UNKNOWN, ms(50)));
    let short = bench.submit(SHORT);
    assert_eq!(bench.schedule_starts(), [short]);
    bench.finish(first[0]);
    assert_eq!(
        bench.schedule_starts(),
        [waiting],
        "the waiting statement moved to the long list"
    );
}

/// Guards against unused slots at peak load: when all statements are slow, none may count as long.
#[test]
fn slowdown_of_all_statements_leaves_every_slot_in_use() {
    let mut bench = Bench::new(LIMITS);
    for _ in 0..400 {
        bench.service_times.record(SHORT, ms(120));
    }
    let all: Vec<_> = (0..5).map(|_| bench.submit(SHORT)).collect();
    let (mut events, now) = (Vec::new(), bench.now);
    let Bench {
        queue,
        service_times,
        ..
    } = &mut bench;
    queue.schedule(2, service_times, now, &mut events);
    assert_eq!(events.len(), 2, "one statement per connection");
    assert_eq!(bench.schedule_starts(), all[2..]);
}

#[test]
fn interactive_statements_go_before_batch_statements() {
    let mut bench = Bench::new(Limits { slots: 1, ..LIMITS });
    let running = bench.submit(LONG);
    assert_eq!(
        bench.schedule_starts(),
        [running],
        "a single slot also runs long statements"
    );
    let batch = bench.submit_class(SHORT, Class::Batch, 60_000).unwrap();
    let interactive = bench.submit(SHORT);
    bench.finish(running);
    assert_eq!(bench.schedule_starts(), [interactive]);
    bench.finish(interactive);
    assert_eq!(bench.schedule_starts(), [batch]);
}

#[test]
fn expired_statements_are_refused_in_order_of_deadline_and_never_start() {
    let mut bench = Bench::new(Limits { slots: 1, ..LIMITS });
    let running = bench.submit(SHORT);
    assert_eq!(bench.schedule_starts(), [running]);
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
fn full_queue_and_predicted_deadline_miss_are_refused_at_once() {
    let mut bench = Bench::new(Limits {
        slots: 1,
        waiting_max: 4,
        ..LIMITS
    });
    let running = bench.submit(SHORT);
    assert_eq!(bench.schedule_starts(), [running]);
    let waiting = [bench.submit(SHORT), bench.submit(SHORT)];
    bench.submit_class(SHORT, Class::Batch, 60_000).unwrap();
    // Two statements of 2 ms each are ahead.
    let refused = bench.submit_class(SHORT, Class::Interactive, 4);
    assert_eq!(refused, Err(Refusal::Deadline));
    bench.submit_class(SHORT, Class::Interactive, 5).unwrap();
    let full = bench.submit_class(SHORT, Class::Interactive, 60_000);
    assert_eq!(full, Err(Refusal::Full));
    assert!(bench.queue.cancel(waiting[0]), "the statement was waiting");
    assert!(!bench.queue.cancel(waiting[0]));
    let refilled = bench.submit_class(SHORT, Class::Interactive, 5);
    assert!(
        refilled.is_ok(),
        "a cancelled statement no longer counts as ahead"
    );
    bench.finish(running);
    assert_eq!(bench.schedule_starts(), [waiting[1]]);
    assert!(
        !bench.queue.cancel(waiting[1]),
        "a running statement is not cancelled"
    );
}

/// Guards against a deadlock: a transaction that waits for a slot while the statements that hold the
/// slots wait for its locks.
#[test]
fn statement_of_an_open_transaction_needs_no_free_slot() {
    let mut bench = Bench::new(Limits { slots: 1, ..LIMITS });
    let first = bench.submit(SHORT);
    assert_eq!(bench.schedule_starts(), [first]);
    let in_transaction = bench
        .queue
        .start_in_transaction(SHORT, &bench.service_times, bench.now);
    let waiting = bench.submit(SHORT);
    bench.finish(first);
    assert_eq!(
        bench.schedule_starts(),
        [],
        "the statement of the transaction holds the slot"
    );
    bench.queue.abandon(in_transaction);
    assert_eq!(bench.schedule_starts(), [waiting]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::with_cases(256)
    })]

    /// Guards against statements that are lost, start after their deadline or exceed the limits on
    /// slots.
    #[test]
    fn random_arrivals_keep_every_limit(
        slots in 1..6_u32,
        arrivals in prop::collection::vec((0..6_u64, any::<bool>(), 0..20_u64, any::<bool>()), 1..150),
    ) {
        let limits = Limits { slots, ..LIMITS };
        let mut bench = Bench::new(limits);
        let mut waiting: BTreeMap<Ticket, (bool, Instant)> = BTreeMap::new();
        let mut running: Vec<(Instant, Ticket, bool)> = Vec::new();
        let mut next = 0;
        let mut next_arrival = bench.now;
        while next < arrivals.len() || !waiting.is_empty() || !running.is_empty() {
            while let Some((gap, long, wait, batch)) = arrivals.get(next).copied()
                && next_arrival <= bench.now
            {
                next += 1;
                next_arrival += ms(gap);
                let class = if batch { Class::Batch } else { Class::Interactive };
                let wait_ms = 50 + wait * 100;
                let key = if long { LONG } else { SHORT };
                if let Ok(ticket) = bench.submit_class(key, class, wait_ms) {
                    waiting.insert(ticket, (long, bench.now + ms(wait_ms)));
                }
            }
            let mut last_deadline = None;
            for event in bench.schedule() {
                match event {
                    Event::Refuse(ticket, _) => {
                        let (_, deadline) = waiting.remove(&ticket).unwrap();
                        prop_assert!(deadline <= bench.now);
                        prop_assert!(last_deadline <= Some(deadline));
                        last_deadline = Some(deadline);
                    }
                    Event::Start(ticket) => {
                        let (long, deadline) = waiting.remove(&ticket).unwrap();
                        prop_assert!(bench.now < deadline);
                        running.push((bench.now + ms(if long { 400 } else { 2 }), ticket, long));
                        prop_assert!(running.len() <= slots as usize);
                        let long_running = running.iter().filter(|(_, _, long)| *long).count();
                        prop_assert!(!long || slots == 1 || running.len() < slots as usize);
                        prop_assert!(long_running <= 3.min(slots as usize - 1).max(1));
                    }
                }
            }
            prop_assert_eq!(bench.queue.waiting(), waiting.len());
            bench.now += ms(1);
            for (_, ticket, _) in running.extract_if(.., |(end, _, _)| *end <= bench.now) {
                bench.queue.finish(ticket, &mut bench.service_times, bench.now);
            }
        }
    }
}

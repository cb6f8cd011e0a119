//! Admission and scheduling of the statements for one target.
//!
//! There are four wait lists: interactive and batch, each with short and long statements. Long
//! statements hold at most `long_max` slots and start only while another slot stays free, so that
//! short ones always get a slot soon. A long statement that has waited past its aging time goes
//! first; until two slots are free, nothing else starts. This pause ends when the first short
//! statement ends, which is soon, since long statements never hold all of the other slots.

use std::fmt;
use std::time::{Duration, Instant};

use crate::service_time::{Key, Table};
use crate::wait_list::{List, Waiter};

/// Identifies an admitted statement. Tickets increase in order of arrival.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Class of service that a caller asks for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Class {
    /// A user waits for the answer.
    Interactive,
    /// Runs when no interactive statement can start.
    Batch,
}

/// A statement that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct Submission {
    pub key: Key,
    pub class: Class,
    /// The statement is refused if it has not started by this instant.
    pub deadline: Instant,
}

/// Why a statement is refused without running.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Refusal {
    Full,
    /// The deadline has passed, or the predicted wait would exceed it.
    Deadline,
}

impl Refusal {
    #[must_use]
    pub const fn sqlstate(self) -> &'static str {
        match self {
            Self::Full => "57L01",
            Self::Deadline => "57L02",
        }
    }

    /// Label value in metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Full => "queue_full",
            Self::Deadline => "queue_deadline",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Full => "not run: the queue of the target is full",
            Self::Deadline => "not run: the statement would wait beyond its deadline",
        })
    }
}

impl std::error::Error for Refusal {}

/// Decision on a waiting statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The statement holds a slot and must be sent now.
    Start(Ticket),
    /// The statement has left the queue and must be answered with the refusal.
    Refuse(Ticket, Refusal),
}

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of running statements.
    pub slots: u32,
    /// Maximum number of slots for long statements. One slot is always left to short statements,
    /// unless there is only one.
    pub long_max: u32,
    /// Maximum number of waiting statements.
    pub waiting_max: usize,
    /// Service time from which a statement counts as long. The threshold is higher while the typical
    /// service time is high.
    pub long_after: Duration,
    /// Upper limit of the aging time, after which a waiting long statement goes first.
    pub max_aging_time: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    ticket: Ticket,
    key: Key,
    started_at: Instant,
    long: bool,
}

/// Waiting and running statements for one target.
#[derive(Debug)]
pub struct Queue {
    limits: Limits,
    /// Indexed by [`Class`], then by length: 0 is short, 1 is long.
    wait_lists: [[List; 2]; 2],
    running: Vec<Running>,
    last_ticket: u64,
    /// Service time from which a statement counts as long, as of the last call.
    threshold: Duration,
    /// Invariant: no waiting statement has an earlier deadline.
    earliest_deadline: Option<Instant>,
    /// Scratch list of the statements that expire in one call; kept to reuse its memory.
    expired: Vec<(Instant, Ticket)>,
}

impl Queue {
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            wait_lists: <[[List; 2]; 2]>::default(),
            running: Vec::new(),
            last_ticket: 0,
            threshold: limits.long_after,
            earliest_deadline: None,
            expired: Vec::new(),
        }
    }

    /// Changes the limits. Running statements go on, and waiting ones keep their place.
    pub const fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Number of waiting statements.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.wait_lists.iter().flatten().map(List::len).sum()
    }

    /// Number of running statements.
    #[must_use]
    pub const fn running(&self) -> usize {
        self.running.len()
    }

    /// Admits a statement to the queue; [`Self::schedule`] starts it.
    ///
    /// # Errors
    /// [`Refusal`] if the queue is full or the predicted wait would exceed the deadline.
    pub fn submit(
        &mut self,
        statement: Submission,
        service_times: &Table,
        now: Instant,
    ) -> Result<Ticket, Refusal> {
        if self.waiting() >= self.limits.waiting_max {
            return Err(Refusal::Full);
        }
        self.threshold = service_times.threshold(self.limits.long_after);
        let long = service_times.is_long(statement.key, self.threshold);
        if now + self.predicted_wait(statement.class, long) >= statement.deadline {
            return Err(Refusal::Deadline);
        }
        let ticket = self.next_ticket();
        let expected = service_times.expected(statement.key);
        self.wait_lists[statement.class as usize][usize::from(long)].insert(Waiter {
            ticket,
            key: statement.key,
            deadline: statement.deadline,
            // A wait of a fifth of its own service time hardly delays a long statement.
            aged_at: now
                + self
                    .limits
                    .max_aging_time
                    .min(expected.max(self.threshold) / 5),
            expected,
        });
        let earliest_deadline = self.earliest_deadline.unwrap_or(statement.deadline);
        self.earliest_deadline = Some(earliest_deadline.min(statement.deadline));
        Ok(ticket)
    }

    /// Counts a statement of an open transaction as running. It starts at once even without a free
    /// slot, since other statements may wait for locks that its transaction holds.
    pub fn start_in_transaction(
        &mut self,
        key: Key,
        service_times: &Table,
        now: Instant,
    ) -> Ticket {
        let ticket = self.next_ticket();
        let long = service_times.is_long(key, self.threshold);
        self.add_running(ticket, key, long, now);
        ticket
    }

    /// Refuses the expired statements in order of their deadlines, then starts those that may run,
    /// at most `connections` of them.
    pub fn schedule(
        &mut self,
        connections: usize,
        service_times: &mut Table,
        now: Instant,
        events: &mut Vec<Event>,
    ) {
        self.threshold = service_times.threshold(self.limits.long_after);
        self.refuse_expired(now, events);
        self.reclassify(service_times, now);
        for _ in 0..connections {
            let Some(waiting) = self.pop_startable(service_times, now) else {
                return;
            };
            let long = service_times.is_long(waiting.key, self.threshold);
            self.add_running(waiting.ticket, waiting.key, long, now);
            events.push(Event::Start(waiting.ticket));
        }
    }

    /// Frees the slot of a statement that has ended and records its service time.
    pub fn finish(&mut self, ticket: Ticket, service_times: &mut Table, now: Instant) {
        if let Some(running) = self.remove_running(ticket) {
            service_times.record(
                running.key,
                now.saturating_duration_since(running.started_at),
            );
        }
    }

    /// Frees the slot of a statement that did not run to completion; its time is not recorded.
    pub fn abandon(&mut self, ticket: Ticket) {
        self.remove_running(ticket);
    }

    /// Removes a waiting statement whose caller has disconnected. False if it is not waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.wait_lists
            .iter_mut()
            .flatten()
            .any(|list| list.remove(ticket).is_some())
    }

    /// Empties the queue in order of arrival, when the target takes no new statements. The caller of
    /// this function must find another target for each statement or refuse it.
    pub fn drain(&mut self, tickets: &mut Vec<Ticket>) {
        let start = tickets.len();
        for list in self.wait_lists.iter_mut().flatten() {
            tickets.extend(std::iter::from_fn(|| list.pop()).map(|waiting| waiting.ticket));
        }
        tickets[start..].sort_unstable();
        self.earliest_deadline = None;
    }

    /// Next instant at which [`Self::schedule`] must be called even without any event.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        // A running statement that becomes long may end the pause for an aged one.
        let paused = self.wait_lists.iter().any(|[_, long]| long.len() > 0);
        let short_running = self
            .running
            .iter()
            .filter(|running| paused && !running.long);
        short_running
            .map(|running| running.started_at + self.threshold)
            .chain(self.earliest_deadline.filter(|_| self.waiting() > 0))
            .min()
    }

    fn next_ticket(&mut self) -> Ticket {
        self.last_ticket += 1;
        Ticket(self.last_ticket)
    }

    fn add_running(&mut self, ticket: Ticket, key: Key, long: bool, now: Instant) {
        self.running.push(Running {
            ticket,
            key,
            started_at: now,
            long,
        });
    }

    fn remove_running(&mut self, ticket: Ticket) -> Option<Running> {
        let index = self
            .running
            .iter()
            .position(|running| running.ticket == ticket)?;
        Some(self.running.swap_remove(index))
    }

    fn free_slots(&self) -> usize {
        (self.limits.slots as usize).saturating_sub(self.running.len())
    }

    /// Number of running long statements.
    #[must_use]
    pub fn long_running(&self) -> usize {
        self.running.iter().filter(|running| running.long).count()
    }

    /// Number of slots that long statements would use without any limit.
    #[must_use]
    pub fn long_slots_wanted(&self, service_times: &Table) -> u32 {
        let is_long = |waiting: &&Waiter| service_times.is_long(waiting.key, self.threshold);
        let waiting = self.wait_lists.iter().flatten().flat_map(List::iter);
        let wanted = self.long_running() + waiting.filter(is_long).count();
        u32::try_from(wanted).unwrap_or(u32::MAX)
    }

    /// Number of slots for long statements: at most all but one, unless there is only one.
    fn long_max(&self) -> usize {
        let upper_bound = self.limits.slots.saturating_sub(1).max(1);
        self.limits.long_max.min(upper_bound) as usize
    }

    /// Predicts the wait of a new statement from those ahead of it. Running statements are left out,
    /// so that the prediction is rather too short and no statement is refused that might have run in
    /// time.
    fn predicted_wait(&self, class: Class, long: bool) -> Duration {
        let length = usize::from(long);
        let backlog = |lists: &[List; 2]| lists[length].backlog();
        let ahead: Duration = self.wait_lists[..=class as usize].iter().map(backlog).sum();
        let slots = if long {
            self.long_max()
        } else {
            (self.limits.slots as usize).saturating_sub(self.long_running())
        };
        ahead / u32::try_from(slots.max(1)).unwrap_or(u32::MAX)
    }

    fn refuse_expired(&mut self, now: Instant, events: &mut Vec<Event>) {
        if self
            .earliest_deadline
            .is_none_or(|earliest_deadline| now < earliest_deadline)
        {
            return;
        }
        let mut expired = std::mem::take(&mut self.expired);
        for list in self.wait_lists.iter_mut().flatten() {
            list.expire(now, &mut expired);
        }
        expired.sort_unstable();
        let refuse = |(_, ticket)| Event::Refuse(ticket, Refusal::Deadline);
        events.extend(expired.drain(..).map(refuse));
        self.expired = expired;
        let waiting = self.wait_lists.iter().flatten().flat_map(List::iter);
        self.earliest_deadline = waiting.map(|waiting| waiting.deadline).min();
    }

    /// Counts running statements as long once they have run for the threshold.
    fn reclassify(&mut self, service_times: &mut Table, now: Instant) {
        let threshold = self.threshold;
        for running in self.running.iter_mut().filter(|running| !running.long) {
            let elapsed = now.saturating_duration_since(running.started_at);
            if elapsed >= threshold {
                running.long = true;
                service_times.record_overrun(running.key, elapsed);
            }
        }
    }

    /// Removes the next statement that may start from its list.
    fn pop_startable(&mut self, service_times: &Table, now: Instant) -> Option<Waiter> {
        self.move_long_heads(service_times);
        let free = self.free_slots();
        if free == 0 {
            return None;
        }
        let long_allowed = self.long_running() < self.long_max();
        let leaves_free_slot = free >= 2 || self.limits.slots == 1;
        if long_allowed && let Some(class) = self.class_with_aged_head(now) {
            return if leaves_free_slot {
                self.wait_lists[class][1].pop()
            } else {
                None
            };
        }
        self.wait_lists.iter_mut().find_map(|[short, long]| {
            let next = short.pop();
            next.or_else(|| {
                if long_allowed && leaves_free_slot {
                    long.pop()
                } else {
                    None
                }
            })
        })
    }

    /// Class whose first long statement has aged; of two classes the one whose statement has waited
    /// longer.
    fn class_with_aged_head(&self, now: Instant) -> Option<usize> {
        let heads = self
            .wait_lists
            .iter()
            .enumerate()
            .filter_map(|(class, lists)| {
                let head = lists[1].head()?;
                (head.aged_at <= now).then_some((head.ticket, class))
            });
        heads.min().map(|(_, class)| class)
    }

    /// Moves statements from the head of a short list to the long one if their shape now counts as
    /// long.
    fn move_long_heads(&mut self, service_times: &Table) {
        let threshold = self.threshold;
        for [short, long] in &mut self.wait_lists {
            while short
                .head()
                .is_some_and(|head| service_times.is_long(head.key, threshold))
            {
                if let Some(waiting) = short.pop() {
                    long.insert(waiting);
                }
            }
        }
    }
}

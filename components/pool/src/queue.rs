//! Admission and scheduling of the statements for one target.
//!
//! There are four lines: interactive and batch, short and long. Long work holds at most
//! `long_max` slots and starts only while another slot stays free, so that short work always finds
//! one soon. A long statement that has aged goes first; until two slots are free, nothing else
//! starts. That pause ends with the first short statement that ends, since fewer than all other
//! slots hold long work.

use std::fmt;
use std::time::{Duration, Instant};

use crate::line::{Line, Waiting};
use crate::shape::{Key, Table};

/// A statement that waits or runs.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Class of service of a caller's work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Class {
    /// A person waits for it.
    Interactive,
    /// Runs when interactive work leaves room.
    Batch,
}

/// A statement to admit.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Shape of the statement.
    pub key: Key,
    /// Class of service.
    pub class: Class,
    /// Instant after which it is refused if it has not started.
    pub deadline: Instant,
}

/// Why a statement is refused before it ran.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Refusal {
    /// The queue has no place.
    Full,
    /// The deadline has passed, or the predicted wait goes beyond it.
    Deadline,
}

impl Refusal {
    /// SQLSTATE of the refusal.
    #[must_use]
    pub const fn sqlstate(self) -> &'static str {
        match self {
            Self::Full => "57L01",
            Self::Deadline => "57L02",
        }
    }

    /// Label in metrics.
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

/// Outcome for a waiting statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// It holds a slot; send it now.
    Start(Ticket),
    /// It has left the queue without running.
    Refuse(Ticket, Refusal),
}

/// Settings of a queue.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Statements that run at once.
    pub slots: u32,
    /// Slots that long work may hold, taken as at most all but one of several.
    pub long_max: u32,
    /// Statements that wait.
    pub waiting_max: usize,
    /// Service time from which work counts as long, unless typical work is slow.
    pub long_after: Duration,
    /// Longest wait before a long statement moves up.
    pub age_after: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    ticket: Ticket,
    key: Key,
    started: Instant,
    long: bool,
}

/// Statements of one entry for one target.
#[derive(Debug)]
pub struct Queue {
    limits: Limits,
    /// By class, then short before long.
    lines: [[Line; 2]; 2],
    running: Vec<Running>,
    next: u64,
    /// Service time from which work counts as long, as of the last call.
    threshold: Duration,
    /// Invariant: no statement waits with an earlier deadline.
    earliest: Option<Instant>,
    /// Statements that expire in one call; kept to reuse its memory.
    expired: Vec<(Instant, Ticket)>,
}

impl Queue {
    /// An empty queue.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            lines: <[[Line; 2]; 2]>::default(),
            running: Vec::new(),
            next: 0,
            threshold: limits.long_after,
            earliest: None,
            expired: Vec::new(),
        }
    }

    /// Changes the settings. What runs goes on, and what waits keeps its place.
    pub const fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Statements that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.lines.iter().flatten().map(Line::len).sum()
    }

    /// Statements that run.
    #[must_use]
    pub const fn running(&self) -> usize {
        self.running.len()
    }

    /// Puts a statement in the queue; [`Self::schedule`] starts it.
    ///
    /// # Errors
    /// [`Refusal`] if there is no place or the predicted wait goes beyond the deadline.
    pub fn submit(&mut self, work: Work, table: &Table, now: Instant) -> Result<Ticket, Refusal> {
        if self.waiting() >= self.limits.waiting_max {
            return Err(Refusal::Full);
        }
        self.threshold = table.threshold(self.limits.long_after);
        let long = table.is_long(work.key, self.threshold);
        if now + self.predict(work.class, long) >= work.deadline {
            return Err(Refusal::Deadline);
        }
        let ticket = self.ticket();
        let expected = table.expected(work.key);
        self.lines[work.class as usize][usize::from(long)].insert(Waiting {
            ticket,
            key: work.key,
            deadline: work.deadline,
            // A fifth of its own service time is a wait that a long statement bears.
            aged_at: now + self.limits.age_after.min(expected.max(self.threshold) / 5),
            expected,
        });
        let earliest = self.earliest.unwrap_or(work.deadline);
        self.earliest = Some(earliest.min(work.deadline));
        Ok(ticket)
    }

    /// Counts a statement of an open transaction, which starts at once even without a free slot:
    /// its transaction holds locks that others wait for.
    pub fn start_bound(&mut self, key: Key, table: &Table, now: Instant) -> Ticket {
        let ticket = self.ticket();
        let long = table.is_long(key, self.threshold);
        self.run(ticket, key, long, now);
        ticket
    }

    /// Refuses what has expired, in the order of deadlines, and starts what may run, at most
    /// `connections` statements.
    pub fn schedule(
        &mut self,
        connections: usize,
        table: &mut Table,
        now: Instant,
        events: &mut Vec<Event>,
    ) {
        self.threshold = table.threshold(self.limits.long_after);
        self.expire(now, events);
        self.reclassify(table, now);
        for _ in 0..connections {
            let Some(waiting) = self.pick(table, now) else {
                return;
            };
            let long = table.is_long(waiting.key, self.threshold);
            self.run(waiting.ticket, waiting.key, long, now);
            events.push(Event::Start(waiting.ticket));
        }
    }

    /// A statement has ended: frees its slot and learns its service time.
    pub fn finish(&mut self, ticket: Ticket, table: &mut Table, now: Instant) {
        if let Some(running) = self.release(ticket) {
            table.learn(running.key, now.saturating_duration_since(running.started));
        }
    }

    /// Frees the slot of a statement that did not run to its end, whose time says nothing.
    pub fn abandon(&mut self, ticket: Ticket) {
        self.release(ticket);
    }

    /// Removes a waiting statement whose caller has gone. False if it does not wait.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.lines
            .iter_mut()
            .flatten()
            .any(|line| line.remove(ticket).is_some())
    }

    /// Empties the queue, in the order of arrival: the target takes no new work, and each statement
    /// needs another target or a refusal.
    pub fn drain(&mut self, tickets: &mut Vec<Ticket>) {
        let start = tickets.len();
        for line in self.lines.iter_mut().flatten() {
            tickets.extend(std::iter::from_fn(|| line.pop()).map(|waiting| waiting.ticket));
        }
        tickets[start..].sort_unstable();
        self.earliest = None;
    }

    /// When [`Self::schedule`] is due even if nothing else happens.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        // A running statement that turns long may end the pause for an aged one.
        let paused = self.lines.iter().any(|[_, long]| long.len() > 0);
        let turns = self
            .running
            .iter()
            .filter(|running| paused && !running.long);
        turns
            .map(|running| running.started + self.threshold)
            .chain(self.earliest.filter(|_| self.waiting() > 0))
            .min()
    }

    fn ticket(&mut self) -> Ticket {
        self.next += 1;
        Ticket(self.next)
    }

    fn run(&mut self, ticket: Ticket, key: Key, long: bool, now: Instant) {
        self.running.push(Running {
            ticket,
            key,
            started: now,
            long,
        });
    }

    fn release(&mut self, ticket: Ticket) -> Option<Running> {
        let at = self.running.iter().position(|r| r.ticket == ticket)?;
        Some(self.running.swap_remove(at))
    }

    fn free(&self) -> usize {
        (self.limits.slots as usize).saturating_sub(self.running.len())
    }

    /// Long statements that run.
    #[must_use]
    pub fn long_running(&self) -> usize {
        self.running.iter().filter(|running| running.long).count()
    }

    /// Slots that long work would use if it could.
    #[must_use]
    pub fn long_wanted(&self, table: &Table) -> u32 {
        let long = |waiting: &&Waiting| table.is_long(waiting.key, self.threshold);
        let waiting = self.lines.iter().flatten().flat_map(Line::iter);
        let wanted = self.long_running() + waiting.filter(long).count();
        u32::try_from(wanted).unwrap_or(u32::MAX)
    }

    /// Slots for long work: all but one at most, unless there is only one.
    fn long_max(&self) -> usize {
        let most = self.limits.slots.saturating_sub(1).max(1);
        self.limits.long_max.min(most) as usize
    }

    /// Wait of a new statement by the work ahead of it. What runs is left out, so that the
    /// prediction errs on the short side and nothing is refused that might have run in time.
    fn predict(&self, class: Class, long: bool) -> Duration {
        let own = usize::from(long);
        let ahead = |class: &[Line; 2]| class[own].backlog();
        let ahead: Duration = self.lines[..=class as usize].iter().map(ahead).sum();
        let slots = if long {
            self.long_max()
        } else {
            (self.limits.slots as usize).saturating_sub(self.long_running())
        };
        ahead / u32::try_from(slots.max(1)).unwrap_or(u32::MAX)
    }

    fn expire(&mut self, now: Instant, events: &mut Vec<Event>) {
        if self.earliest.is_none_or(|earliest| now < earliest) {
            return;
        }
        let mut expired = std::mem::take(&mut self.expired);
        for line in self.lines.iter_mut().flatten() {
            line.expire(now, &mut expired);
        }
        expired.sort_unstable();
        let refuse = |(_, ticket)| Event::Refuse(ticket, Refusal::Deadline);
        events.extend(expired.drain(..).map(refuse));
        self.expired = expired;
        let waiting = self.lines.iter().flatten().flat_map(Line::iter);
        self.earliest = waiting.map(|waiting| waiting.deadline).min();
    }

    /// Counts running statements as long once they have run for `long_after`.
    fn reclassify(&mut self, table: &mut Table, now: Instant) {
        let threshold = self.threshold;
        for running in self.running.iter_mut().filter(|running| !running.long) {
            let elapsed = now.saturating_duration_since(running.started);
            if elapsed >= threshold {
                running.long = true;
                table.overrun(running.key, elapsed);
            }
        }
    }

    /// Takes the next statement off its line, if one may start.
    fn pick(&mut self, table: &Table, now: Instant) -> Option<Waiting> {
        self.sort_heads(table);
        let free = self.free();
        if free == 0 {
            return None;
        }
        let room = self.long_running() < self.long_max();
        let spare = free >= 2 || self.limits.slots == 1;
        if room && let Some(class) = self.aged(now) {
            return if spare {
                self.lines[class][1].pop()
            } else {
                None
            };
        }
        self.lines.iter_mut().find_map(|[short, long]| {
            let next = short.pop();
            next.or_else(|| if room && spare { long.pop() } else { None })
        })
    }

    /// Class whose first long statement has aged, the longer waiting one of two.
    fn aged(&self, now: Instant) -> Option<usize> {
        let heads = self.lines.iter().enumerate().filter_map(|(class, lines)| {
            let head = lines[1].head()?;
            (head.aged_at <= now).then_some((head.ticket, class))
        });
        heads.min().map(|(_, class)| class)
    }

    /// Moves statements at the head of a short line whose shape has turned out long.
    fn sort_heads(&mut self, table: &Table) {
        let threshold = self.threshold;
        for [short, long] in &mut self.lines {
            while short
                .head()
                .is_some_and(|head| table.is_long(head.key, threshold))
            {
                if let Some(waiting) = short.pop() {
                    long.insert(waiting);
                }
            }
        }
    }
}

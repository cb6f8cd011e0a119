//! Connections of one entry to one target.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::Backoff;

/// A connection. Its number is never used again, so that a late event cannot hit a successor.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id(pub u64);

/// What the loop is to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Open a connection, then call [`Pool::on_opened`] or [`Pool::on_open_failed`].
    Open(Id),
    /// Close a connection, then call [`Pool::on_closed`].
    Close(Id),
}

/// Settings of a pool.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections that the entry may have, including those that open and close.
    pub quota: u32,
    /// Connections that idleness does not close.
    pub keep: u32,
    /// How long an idle connection is kept.
    pub idle: Duration,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Opening,
    Idle { until: Instant },
    InUse,
    Closing,
}

/// Number of connections in each state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// Being opened.
    pub opening: u32,
    /// Free for use.
    pub idle: u32,
    /// Given out.
    pub in_use: u32,
    /// Being closed. They count against the quota until the target has let go of them.
    pub closing: u32,
}

impl Count {
    /// All connections.
    #[must_use]
    pub const fn total(self) -> u32 {
        self.live() + self.closing
    }

    /// All but those that are being closed.
    #[must_use]
    pub const fn live(self) -> u32 {
        self.opening + self.idle + self.in_use
    }
}

/// Connections of one entry to one target, held to a quota that may shrink at any time.
#[derive(Debug)]
pub struct Pool {
    limits: Limits,
    /// Invariant: a new connection starts only while there are fewer than the quota.
    connections: Vec<(Id, State)>,
    /// Invariant: exactly the connections in state idle; the longest idle at the front.
    idle: VecDeque<Id>,
    backoff: Backoff,
    next: u64,
}

impl Pool {
    /// A pool without connections.
    #[must_use]
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            connections: Vec::new(),
            idle: VecDeque::new(),
            backoff: Backoff::new(),
            next: 0,
        }
    }

    /// Connections by state.
    #[must_use]
    pub fn count(&self) -> Count {
        let mut count = Count::default();
        for (_, state) in &self.connections {
            match state {
                State::Opening => count.opening += 1,
                State::Idle { .. } => count.idle += 1,
                State::InUse => count.in_use += 1,
                State::Closing => count.closing += 1,
            }
        }
        count
    }

    /// The present quota.
    #[must_use]
    pub const fn quota(&self) -> u32 {
        self.limits.quota
    }

    /// Gives out the connection that was used last: it is the warmest, and the others can age out.
    pub fn take(&mut self) -> Option<Id> {
        let id = self.idle.pop_back()?;
        self.set(id, State::InUse);
        Some(id)
    }

    /// Takes a connection back whose exchange has ended cleanly.
    pub fn give_back(&mut self, id: Id, now: Instant, actions: &mut Vec<Action>) {
        if self.state(id) == Some(State::InUse) {
            self.settle(id, now, actions);
        }
    }

    /// Closes a connection that may not be used again.
    pub fn discard(&mut self, id: Id, actions: &mut Vec<Action>) {
        if self.state(id).is_some_and(|state| state != State::Closing) {
            self.close(id, actions);
        }
    }

    /// Opens connections for `waiting` statements that find none idle.
    pub fn on_demand(&mut self, waiting: u32, now: Instant, actions: &mut Vec<Action>) {
        if !self.backoff.ready(now) {
            return;
        }
        let count = self.count();
        let missing = waiting.saturating_sub(count.opening + count.idle);
        // After a failure one attempt at a time shows whether the target is back.
        let limit = match self.backoff.until() {
            Some(_) => 1_u32.saturating_sub(count.opening),
            None => missing,
        };
        let room = self.limits.quota.saturating_sub(count.total());
        for _ in 0..missing.min(limit).min(room) {
            let id = Id(self.next);
            self.next += 1;
            self.connections.push((id, State::Opening));
            actions.push(Action::Open(id));
        }
    }

    /// A connection has been opened and authenticated.
    pub fn on_opened(&mut self, id: Id, now: Instant, actions: &mut Vec<Action>) {
        self.backoff.succeed();
        if self.state(id) == Some(State::Opening) {
            self.settle(id, now, actions);
        }
    }

    /// A connection could not be opened; nothing of it is left.
    pub fn on_open_failed<R: Rng + ?Sized>(&mut self, id: Id, now: Instant, rng: &mut R) {
        if self.state(id) == Some(State::Opening) {
            self.backoff.fail(now, rng);
        }
        self.on_closed(id);
    }

    /// A connection is gone, whoever closed it.
    pub fn on_closed(&mut self, id: Id) {
        self.idle.retain(|idle| *idle != id);
        self.connections.retain(|(other, _)| *other != id);
    }

    /// Changes the quota. Idle connections beyond it close first, then opening ones; those in use
    /// close when they are given back.
    pub fn set_quota(&mut self, quota: u32, actions: &mut Vec<Action>) {
        self.limits.quota = quota;
        while self.count().live() > quota {
            let Some(id) = self.idle.front().copied().or_else(|| self.opening()) else {
                return;
            };
            self.close(id, actions);
        }
    }

    /// Closes connections whose idle deadline has passed.
    pub fn on_time(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while self.idle_deadline().is_some_and(|until| until <= now) {
            let Some(id) = self.idle.front().copied() else {
                return;
            };
            self.close(id, actions);
        }
    }

    /// When [`Self::on_time`] or, after a failed opening, [`Self::on_demand`] is due after `now`.
    #[must_use]
    pub fn deadline(&self, now: Instant) -> Option<Instant> {
        let retry = self.backoff.until().filter(|until| *until > now);
        self.idle_deadline().into_iter().chain(retry).min()
    }

    fn idle_deadline(&self) -> Option<Instant> {
        if self.count().live() <= self.limits.keep {
            return None;
        }
        match self.state(*self.idle.front()?)? {
            State::Idle { until } => Some(until),
            _ => None,
        }
    }

    fn opening(&self) -> Option<Id> {
        self.connections
            .iter()
            .rev()
            .find(|(_, state)| *state == State::Opening)
            .map(|(id, _)| *id)
    }

    fn settle(&mut self, id: Id, now: Instant, actions: &mut Vec<Action>) {
        if self.count().live() > self.limits.quota {
            self.close(id, actions);
            return;
        }
        let until = now + self.limits.idle;
        self.set(id, State::Idle { until });
        self.idle.push_back(id);
    }

    fn close(&mut self, id: Id, actions: &mut Vec<Action>) {
        self.idle.retain(|idle| *idle != id);
        self.set(id, State::Closing);
        actions.push(Action::Close(id));
    }

    fn state(&self, id: Id) -> Option<State> {
        let found = self.connections.iter().find(|(other, _)| *other == id);
        found.map(|(_, state)| *state)
    }

    fn set(&mut self, id: Id, state: State) {
        if let Some(found) = self.connections.iter_mut().find(|(other, _)| *other == id) {
            found.1 = state;
        }
    }
}

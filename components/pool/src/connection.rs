//! Pool of one entry's connections to one target.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::Backoff;

/// Identifies a connection. Ids are never reused, so that a late event cannot affect a newer
/// connection.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id(pub u64);

/// What the event loop must do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Open a connection, then call [`Pool::on_opened`] or [`Pool::on_open_failed`].
    Open(Id),
    /// Close a connection, then call [`Pool::on_closed`].
    Close(Id),
}

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of connections, including those being opened or closed.
    pub quota: u32,
    /// Number of connections that stay open however long they are idle.
    pub min_live: u32,
    /// An idle connection above `min_live` is closed after this time.
    pub idle_timeout: Duration,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Opening,
    Idle { expires_at: Instant },
    InUse,
    Closing,
}

/// Number of connections in each state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    pub opening: u32,
    pub idle: u32,
    pub in_use: u32,
    /// Count against the quota until the target has released them.
    pub closing: u32,
}

impl Count {
    #[must_use]
    pub const fn total(self) -> u32 {
        self.live() + self.closing
    }

    /// All connections except those being closed.
    #[must_use]
    pub const fn live(self) -> u32 {
        self.opening + self.idle + self.in_use
    }
}

/// Connections to one target, limited by a quota that may shrink at any time.
#[derive(Debug)]
pub struct Pool {
    limits: Limits,
    /// Invariant: a connection is opened only while there are fewer than the quota.
    connections: Vec<(Id, State)>,
    /// Invariant: exactly the connections in state `Idle`, the longest idle first.
    idle: VecDeque<Id>,
    backoff: Backoff,
    next_id: u64,
}

impl Pool {
    #[must_use]
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            connections: Vec::new(),
            idle: VecDeque::new(),
            backoff: Backoff::new(),
            next_id: 0,
        }
    }

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

    #[must_use]
    pub const fn quota(&self) -> u32 {
        self.limits.quota
    }

    /// Hands out the most recently used connection: its caches are warm, and the others can reach
    /// their idle timeout.
    pub fn acquire(&mut self) -> Option<Id> {
        let id = self.idle.pop_back()?;
        self.set_state(id, State::InUse);
        Some(id)
    }

    /// Returns a connection to the pool after an exchange that ended cleanly.
    pub fn release(&mut self, id: Id, now: Instant, actions: &mut Vec<Action>) {
        if self.state_of(id) == Some(State::InUse) {
            self.make_idle_or_close(id, now, actions);
        }
    }

    /// Closes a connection that must not be reused.
    pub fn discard(&mut self, id: Id, actions: &mut Vec<Action>) {
        if self
            .state_of(id)
            .is_some_and(|state| state != State::Closing)
        {
            self.close(id, actions);
        }
    }

    /// Opens the connections that `waiting` statements need beyond the idle and opening ones.
    pub fn on_demand(&mut self, waiting: u32, now: Instant, actions: &mut Vec<Action>) {
        if !self.backoff.is_ready(now) {
            return;
        }
        let count = self.count();
        let needed = waiting.saturating_sub(count.opening + count.idle);
        // After a failure a single attempt at a time probes whether the target is reachable.
        let max_attempts = match self.backoff.retry_at() {
            Some(_) => 1_u32.saturating_sub(count.opening),
            None => needed,
        };
        let quota_left = self.limits.quota.saturating_sub(count.total());
        for _ in 0..needed.min(max_attempts).min(quota_left) {
            let id = Id(self.next_id);
            self.next_id += 1;
            self.connections.push((id, State::Opening));
            actions.push(Action::Open(id));
        }
    }

    /// Must be called once a connection is open and authenticated.
    pub fn on_opened(&mut self, id: Id, now: Instant, actions: &mut Vec<Action>) {
        self.backoff.on_success();
        if self.state_of(id) == Some(State::Opening) {
            self.make_idle_or_close(id, now, actions);
        }
    }

    /// Must be called when a connection could not be opened. It is removed.
    pub fn on_open_failed<R: Rng + ?Sized>(&mut self, id: Id, now: Instant, rng: &mut R) {
        if self.state_of(id) == Some(State::Opening) {
            self.backoff.on_failure(now, rng);
        }
        self.on_closed(id);
    }

    /// Must be called when a connection has ended, whichever side closed it.
    pub fn on_closed(&mut self, id: Id) {
        self.idle.retain(|idle| *idle != id);
        self.connections.retain(|(existing, _)| *existing != id);
    }

    /// Changes the quota. Excess idle connections are closed first, then opening ones; connections
    /// in use are closed when they are released.
    pub fn set_quota(&mut self, quota: u32, actions: &mut Vec<Action>) {
        self.limits.quota = quota;
        while self.count().live() > quota {
            let Some(id) = self.idle.front().copied().or_else(|| self.newest_opening()) else {
                return;
            };
            self.close(id, actions);
        }
    }

    /// Closes the connections whose idle timeout has passed.
    pub fn on_timer(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while self
            .idle_deadline()
            .is_some_and(|expires_at| expires_at <= now)
        {
            let Some(id) = self.idle.front().copied() else {
                return;
            };
            self.close(id, actions);
        }
    }

    /// Next instant at which [`Self::on_timer`] or, after a failed attempt to open a connection,
    /// [`Self::on_demand`] must be called.
    #[must_use]
    pub fn deadline(&self, now: Instant) -> Option<Instant> {
        let retry = self.backoff.retry_at().filter(|retry_at| *retry_at > now);
        self.idle_deadline().into_iter().chain(retry).min()
    }

    fn idle_deadline(&self) -> Option<Instant> {
        if self.count().live() <= self.limits.min_live {
            return None;
        }
        match self.state_of(*self.idle.front()?)? {
            State::Idle { expires_at } => Some(expires_at),
            _ => None,
        }
    }

    fn newest_opening(&self) -> Option<Id> {
        self.connections
            .iter()
            .rev()
            .find(|(_, state)| *state == State::Opening)
            .map(|(id, _)| *id)
    }

    fn make_idle_or_close(&mut self, id: Id, now: Instant, actions: &mut Vec<Action>) {
        if self.count().live() > self.limits.quota {
            self.close(id, actions);
            return;
        }
        let expires_at = now + self.limits.idle_timeout;
        self.set_state(id, State::Idle { expires_at });
        self.idle.push_back(id);
    }

    fn close(&mut self, id: Id, actions: &mut Vec<Action>) {
        self.idle.retain(|idle| *idle != id);
        self.set_state(id, State::Closing);
        actions.push(Action::Close(id));
    }

    fn state_of(&self, id: Id) -> Option<State> {
        let entry = self
            .connections
            .iter()
            .find(|(existing, _)| *existing == id);
        entry.map(|(_, state)| *state)
    }

    fn set_state(&mut self, id: Id, state: State) {
        if let Some(entry) = self
            .connections
            .iter_mut()
            .find(|(existing, _)| *existing == id)
        {
            entry.1 = state;
        }
    }
}

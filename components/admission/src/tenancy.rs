//! Connections of one server, shared by tenants.
//!
//! A connection is opened in the name of a tenant and serves no other. The load: 85 tenants of skewed
//! size use servers with 56 connections each, of which a lender has 26. Most sessions are idle, and
//! some rest in open transactions. Opening a connection costs the server as much as a statement of
//! mean length, so a connection is kept for its tenant, and is replaced only if there is no room for
//! another one.
//!
//! [`decide`] looks at the connections of one server and at the statements that wait for one.

use std::time::{Duration, Instant};

/// Weight of the latest measurement in a smoothed time.
const SMOOTHING: f64 = 0.2;
/// Assumed before the first measurement: a short statement.
const INITIAL_TIME_IN_USE: Duration = Duration::from_millis(5);
/// Assumed before the first measurement: the cost of an opening on an idle server.
const INITIAL_TIME_TO_OPEN: Duration = Duration::from_millis(12);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    Idle,
    Opening,
    /// A statement runs on it.
    Running,
    /// A transaction holds it, or a borrower that sends no statement. Its end cannot be expected.
    Held,
}

/// A connection.
#[derive(Clone, Copy, Debug)]
pub struct Connection<K, T> {
    pub key: K,
    pub tenant: T,
    pub state: State,
    /// Since when it has been in this state.
    pub since: Instant,
    /// It has served nothing since it was opened.
    pub unused: bool,
}

/// A statement that waits for a connection.
#[derive(Clone, Copy, Debug)]
pub struct Waiter<T> {
    pub tenant: T,
    /// It can no longer be answered within its goal.
    pub late: bool,
}

/// What is done for a waiting statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step<K> {
    /// It runs on this idle connection.
    Use(K),
    /// A connection is opened for its tenant.
    Open,
    /// This connection is closed, and then one is opened for its tenant.
    Replace(K),
    /// It waits for a connection that is expected to become free.
    Wait,
    /// It waits, as there is no room and no connection may be replaced.
    Full,
}

/// Room for further connections to a server.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Number that may be opened now within the share.
    pub free: usize,
    /// Number that may be opened now beyond the share, if nothing can be replaced.
    pub beyond: usize,
    /// Number that there may be in all.
    pub limit: usize,
}

/// Measured times of a server's connections.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    in_use: Duration,
    to_open: Duration,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            in_use: INITIAL_TIME_IN_USE,
            to_open: INITIAL_TIME_TO_OPEN,
        }
    }
}

impl Times {
    /// Records how long a connection was in use.
    pub fn on_used(&mut self, elapsed: Duration) {
        self.in_use = smooth(self.in_use, elapsed);
    }

    /// Records how long it took to open a connection.
    pub fn on_opened(&mut self, elapsed: Duration) {
        self.to_open = smooth(self.to_open, elapsed);
    }

    /// When a connection is expected to become free. One that has exceeded the expected time is
    /// expected to need as long again as it has exceeded it, so that nobody waits for one that hangs.
    fn free_at<K, T>(&self, now: Instant, connection: &Connection<K, T>) -> Option<Instant> {
        let expected = match connection.state {
            State::Opening => self.to_open,
            State::Running => self.in_use,
            State::Idle | State::Held => return None,
        };
        let elapsed = now.saturating_duration_since(connection.since);
        Some(now + expected.abs_diff(elapsed))
    }
}

fn smooth(average: Duration, latest: Duration) -> Duration {
    average.mul_f64(1.0 - SMOOTHING) + latest.mul_f64(SMOOTHING)
}

/// Decides for each waiting statement, in the order in which they are served.
///
/// An idle connection of its tenant is used. Otherwise one is opened, if none of the tenant's is
/// expected to become free sooner, or the longest idle connection that no waiting statement wants is
/// replaced.
///
/// Three rules keep a tenant that uses many connections, through open transactions or a burst, from
/// excluding the others. Each other tenant that waits and uses no connection has one reserved. A
/// tenant whose transactions hold connections leaves one even if nobody waits. And a late statement of a tenant without any connection goes first, and may replace an idle connection
/// that others want.
#[must_use]
pub fn decide<K: Copy + Eq, T: Copy + Eq>(
    now: Instant,
    connections: &[Connection<K, T>],
    waiting: &[Waiter<T>],
    room: Room,
    times: &Times,
) -> Vec<Step<K>> {
    let mut decision = Decision {
        now,
        idle: connections
            .iter()
            .filter(|connection| connection.state == State::Idle)
            .copied()
            .collect(),
        used_by: connections
            .iter()
            .filter(|connection| connection.state != State::Idle)
            .map(|connection| connection.tenant)
            .collect(),
        held_by: connections
            .iter()
            .filter(|connection| connection.state == State::Held)
            .map(|connection| connection.tenant)
            .collect(),
        free_at: connections
            .iter()
            .filter_map(|connection| Some((connection.tenant, times.free_at(now, connection)?)))
            .collect(),
        undecided: Vec::new(),
        room,
        times,
    };
    for waiter in waiting {
        match decision
            .undecided
            .iter_mut()
            .find(|(tenant, _)| *tenant == waiter.tenant)
        {
            Some((_, count)) => *count += 1,
            None => decision.undecided.push((waiter.tenant, 1)),
        }
    }
    let has_connection = |tenant: T| connections.iter().any(|other| other.tenant == tenant);
    let goes_first = |waiter: &Waiter<T>| waiter.late && !has_connection(waiter.tenant);
    let mut order: Vec<usize> = (0..waiting.len()).collect();
    order.sort_by_key(|index| !goes_first(&waiting[*index]));
    let mut steps = vec![Step::Wait; waiting.len()];
    for index in order {
        let tenant = waiting[index].tenant;
        let mut counts = decision.undecided.iter_mut();
        if let Some((_, count)) = counts.find(|(other, _)| *other == tenant) {
            *count -= 1;
        }
        steps[index] = decision.next(tenant, goes_first(&waiting[index]));
    }
    steps
}

/// State of a decision, as changed by the steps so far.
#[derive(Debug)]
struct Decision<'a, K, T> {
    now: Instant,
    idle: Vec<Connection<K, T>>,
    /// Tenants of the connections that are not idle.
    used_by: Vec<T>,
    /// Tenants of the connections that are held.
    held_by: Vec<T>,
    /// When connections become free.
    free_at: Vec<(T, Instant)>,
    /// Number of statements without a step so far, by tenant: there are up to 400 statements, but
    /// at most 85 tenants.
    undecided: Vec<(T, usize)>,
    room: Room,
    times: &'a Times,
}

impl<K: Copy + Eq, T: Copy + Eq> Decision<'_, K, T> {
    fn next(&mut self, tenant: T, goes_first: bool) -> Step<K> {
        let may_use = self.may_use(tenant);
        if may_use && let Some(position) = self.idle.iter().rposition(|c| c.tenant == tenant) {
            self.begin_use(tenant, Duration::ZERO);
            return Step::Use(self.idle.remove(position).key);
        }
        if !may_use || self.waits_for_own(tenant) {
            return Step::Wait;
        }
        if self.room.free > 0 {
            self.room.free -= 1;
            self.begin_use(tenant, self.times.to_open);
            return Step::Open;
        }
        let Some(position) = self.replaceable(tenant, goes_first) else {
            if self.room.beyond == 0 {
                return Step::Full;
            }
            self.room.beyond -= 1;
            self.begin_use(tenant, self.times.to_open);
            return Step::Open;
        };
        self.begin_use(tenant, self.times.to_open);
        Step::Replace(self.idle.remove(position).key)
    }

    /// Whether the tenant may use one more connection and leave one for each other tenant that waits
    /// without any. One whose transactions hold connections leaves one in any case, as they would not
    /// end when others begin to wait.
    fn may_use(&self, tenant: T) -> bool {
        let used = self.used_by.iter().filter(|other| **other == tenant);
        let used = used.count();
        let excluded = self.undecided.iter().filter(|(other, count)| {
            *count > 0 && *other != tenant && !self.used_by.contains(other)
        });
        let is_held = self.held_by.contains(&tenant);
        let left = excluded.count().max(usize::from(is_held));
        used == 0 || used + 1 + left <= self.room.limit
    }

    /// Whether a connection of the tenant is expected to become free before one could be opened; it
    /// then counts as used by the statement.
    fn waits_for_own(&mut self, tenant: T) -> bool {
        let own = self
            .free_at
            .iter_mut()
            .filter(|(other, _)| *other == tenant);
        let Some((_, earliest)) = own.min_by_key(|(_, at)| *at) else {
            return false;
        };
        let soon = *earliest <= self.now + self.times.to_open;
        if soon {
            *earliest += self.times.in_use;
        }
        soon
    }

    fn replaceable(&self, tenant: T, goes_first: bool) -> Option<usize> {
        let may_close = |connection: &Connection<K, T>| {
            // A tenant that may use no further connection does not need its idle ones.
            let mut undecided = self.undecided.iter();
            let waits = |(other, count): &(T, usize)| *other == connection.tenant && *count > 0;
            let wanted = undecided.any(waits) && self.may_use(connection.tenant);
            // Late statements that replaced each other's new connections would all stay unserved.
            connection.tenant != tenant && (!wanted || (goes_first && !connection.unused))
        };
        let idle = self.idle.iter().enumerate();
        let closable = idle.filter(|(_, connection)| may_close(connection));
        let longest = closable.min_by_key(|(_, connection)| connection.since);
        longest.map(|(position, _)| position)
    }

    fn begin_use(&mut self, tenant: T, delay: Duration) {
        self.used_by.push(tenant);
        let free_at = self.now + delay + self.times.in_use;
        self.free_at.push((tenant, free_at));
    }
}

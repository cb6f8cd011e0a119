//! From a statement to a connection of the right server.

use std::time::{Duration, Instant};

use registry::Sample;
use registry::plan::Freshness;

use crate::choose::{Candidate, choose};
use crate::event::{ConnKey, SessionKey};
use crate::freshness;
use crate::process::Loop;
use crate::protocol::{Access, Protocol};
use crate::refuse::Reason;
use crate::session::{Kind, Stage, Work};
use crate::timer::Timer;
use clock::Clock;

/// Statements that may wait for one service.
const MAX_WAITING: usize = 300;
/// How long a primary that leaves gets new work; it has to be replaced by then.
const DRAINING: Duration = Duration::from_secs(5);
/// Waiting statements that find no connection before the rest is not asked any more.
const MISSES: usize = 6;

/// Where a statement may run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Place {
    /// On the connection of its transaction.
    Bound(ConnKey),
    /// On the primary, whose leadership the statement itself checks.
    Primary,
    /// On the primary, within a transaction that only a primary begins.
    Checked,
    /// On any server whose log holds the position.
    Fresh(Sample),
}

impl<P: Protocol, C: Clock> Loop<P, C> {
    /// Starts a session's work if a connection is there. False if it has to wait.
    pub(crate) fn dispatch(&mut self, now: Instant, key: SessionKey) -> bool {
        let Some(place) = self.place(key) else {
            return true;
        };
        let Some(work) = self.sessions.get(key).and_then(|s| s.work.as_ref()) else {
            return true;
        };
        if work.pause_until.is_some_and(|until| now < until) {
            return false;
        }
        let (service, rank) = (work.route.service, work.route.priority);
        let (index, after) = match place {
            Place::Bound(conn) => {
                self.run(now, key, conn, None, false);
                return true;
            }
            Place::Primary | Place::Checked => {
                let Some(index) = self.usable_primary(now, service) else {
                    return false;
                };
                (index, None)
            }
            Place::Fresh(after) => {
                let candidates = self.candidates(now, service, work);
                let age = self.clock.moment().since(after.at);
                let chosen = choose(&candidates, age, now);
                let chosen = chosen.or_else(|| self.borrow(now, service, key, age));
                let Some(index) = chosen else {
                    return false;
                };
                (index, Some(after.point))
            }
        };
        let Some(conn) = self.take_conn(key, index) else {
            self.servers[index].borrow(now);
            if self.servers[index].has_room(now) {
                self.open_for_waiting(now, index, rank);
            }
            return false;
        };
        let begins = self
            .sessions
            .get(key)
            .is_some_and(|session| session.transaction.is_some());
        self.run(now, key, conn, after, begins || place == Place::Checked);
        true
    }

    /// None if the session has no work that waits.
    fn place(&self, key: SessionKey) -> Option<Place> {
        let session = self.sessions.get(key)?;
        let work = session.work.as_ref()?;
        let track = &self.services[work.route.service].track;
        let fresh = |arrived| {
            let route = work.route.freshness;
            freshness::needed(route, track, session.own, arrived)
        };
        Some(match &session.transaction {
            Some(open) => match open.conn {
                Some(conn) => Place::Bound(conn),
                None if open.read_only && open.route.freshness != Freshness::Latest => {
                    fresh(open.arrived).map_or(Place::Primary, Place::Fresh)
                }
                None => Place::Primary,
            },
            None if work.kind.may_change() => Place::Primary,
            None => fresh(work.moment).map_or(Place::Checked, Place::Fresh),
        })
    }

    fn usable_primary(&self, now: Instant, service: usize) -> Option<usize> {
        let index = self.services[service].primary?;
        let server = &self.servers[index];
        let left = server
            .draining_since
            .is_some_and(|since| now >= since + DRAINING);
        (server.listed && !left).then_some(index)
    }

    fn candidates(&self, now: Instant, service: usize, work: &Work) -> Vec<Candidate> {
        let service = &self.services[service];
        let candidate = |index: &usize| {
            let primary = service.primary == Some(*index);
            let tried = work.tried.contains(index);
            self.servers[*index].candidate(*index, primary, tried, now)
        };
        service.servers.iter().map(candidate).collect()
    }

    /// Borrows a connection of the servers whose share is used up, and chooses again.
    fn borrow(
        &mut self,
        now: Instant,
        service: usize,
        key: SessionKey,
        age: Duration,
    ) -> Option<usize> {
        for index in &self.services[service].servers {
            self.servers[*index].borrow(now);
        }
        let work = self.sessions.get(key)?.work.as_ref()?;
        choose(&self.candidates(now, service, work), age, now)
    }

    /// Takes an idle connection, one with the session's values if there is any.
    fn take_conn(&mut self, key: SessionKey, index: usize) -> Option<ConnKey> {
        let values = &self.sessions.get(key)?.values;
        let idle = &self.servers[index].idle;
        let fits = |conn: &ConnKey| self.conns.get(*conn).is_some_and(|c| c.values == *values);
        let position = idle.iter().rposition(fits).or(idle.len().checked_sub(1))?;
        Some(self.servers[index].idle.remove(position))
    }

    /// Opens a connection, one at a time once there is any: each takes a slot of the server as long as a
    /// short statement, and all entries open theirs at once after a loss of power.
    fn open_for_waiting(&mut self, now: Instant, index: usize, rank: u8) {
        let server = &self.servers[index];
        let waiting = self.services[server.service].waiting.len() + 1;
        let open = server.conns.len() - server.opening;
        let most = if open == 0 || server.borrows {
            waiting
        } else {
            1
        };
        if server.opening < most {
            self.open(now, index, rank);
        }
    }

    /// Has a session's work wait, or refuses it.
    pub(crate) fn enqueue(&mut self, now: Instant, key: SessionKey) {
        let Some(work) = self.sessions.get_mut(key).and_then(|s| s.work.as_mut()) else {
            return;
        };
        work.stage = Stage::Waiting;
        let (due, service, rank) = (work.due(), work.route.service, work.route.priority);
        if self.services[service].waiting.len() >= MAX_WAITING {
            return self.refuse_waiting(now, key, Reason::QueueFull);
        }
        if work.hold_until <= now {
            return self.refuse_waiting(now, key, Reason::NoConnection);
        }
        // In the order of rank, and of arrival among equals.
        let priority = |other: &SessionKey| {
            let work = self.sessions.get(*other).and_then(|s| s.work.as_ref());
            work.map_or(0, |work| work.route.priority)
        };
        let waiting = &self.services[service].waiting;
        let position = waiting.iter().rposition(|other| priority(other) <= rank);
        let position = position.map_or(0, |position| position + 1);
        self.services[service].waiting.insert(position, key);
        self.timers.add(due, Timer::Session(key));
    }

    /// Refuses work that has not been sent. The first statement of a transaction takes it along.
    pub(crate) fn refuse_waiting(&mut self, now: Instant, key: SessionKey, reason: Reason) {
        self.end_transaction(now, key);
        self.refuse(now, key, reason);
    }

    /// Looks for connections for the statements that wait for a service.
    pub(crate) fn retry_waiting(&mut self, now: Instant, service: usize) {
        let mut misses = 0;
        let mut waiting = std::mem::take(&mut self.services[service].waiting);
        let mut kept = std::collections::VecDeque::new();
        while let Some(key) = waiting.pop_front() {
            let stage = self.sessions.get(key).and_then(|s| s.work.as_ref());
            if stage.is_none_or(|work| work.stage != Stage::Waiting) {
                continue;
            }
            let unable = misses >= MISSES || !self.dispatch(now, key);
            if unable {
                misses += 1;
                kept.push_back(key);
            }
        }
        // Statements that a failed attempt has put back meanwhile follow.
        kept.append(&mut self.services[service].waiting);
        self.services[service].waiting = kept;
    }

    /// Tries a statement again that has not run, or a read that may run twice.
    pub(crate) fn retry(&mut self, now: Instant, key: SessionKey, pause: Duration) {
        let Some(work) = self.sessions.get_mut(key).and_then(|s| s.work.as_mut()) else {
            return;
        };
        work.stage = Stage::Waiting;
        work.hedge_at = None;
        work.pause_until = (!pause.is_zero()).then(|| now + pause);
        if !self.dispatch(now, key) {
            self.enqueue(now, key);
        }
    }

    /// What a session's timer was set for: the end of a pause or of the wait, a missing answer, or
    /// the rest of a transaction.
    pub(crate) fn on_session_due(&mut self, now: Instant, key: SessionKey) {
        let Some(session) = self.sessions.get_mut(key) else {
            return;
        };
        let Some(work) = &mut session.work else {
            let rests = session.transaction.as_ref().and_then(|it| it.rests_until);
            if rests.is_some_and(|until| until <= now) {
                self.metrics.common.refusals.add(Reason::Rested.label());
                self.fail_transaction(now, key);
            }
            return;
        };
        let due = work.due();
        if now < due {
            return;
        }
        match work.stage {
            Stage::Waiting if now < work.hold_until => {
                work.pause_until = None;
                let service = work.route.service;
                self.timers.add(work.due(), Timer::Session(key));
                self.due.push(service);
            }
            Stage::Waiting | Stage::Preparing(_) => {
                let reason = self.why_waiting(key);
                self.withdraw(now, key);
                self.refuse_waiting(now, key, reason);
            }
            Stage::Sent(_) => self.on_unanswered(now, key),
        }
    }

    /// Why a statement was not sent in time.
    fn why_waiting(&self, key: SessionKey) -> Reason {
        let work = self.sessions.get(key).and_then(|s| s.work.as_ref());
        let Some(work) = work else {
            return Reason::NoConnection;
        };
        let service = &self.services[work.route.service];
        let missed = service.primary.is_none() || service.missed_since.is_some();
        match work.kind {
            _ if missed => Reason::NoPrimary,
            Kind::Plain(Access::Read) if work.tried.len() > 1 => Reason::Exhausted,
            _ => Reason::NoConnection,
        }
    }
}

//! Assigns statements to connections of suitable servers.

use std::time::{Duration, Instant};

use registry::Sample;
use registry::plan::Freshness;

use crate::choose::{Candidate, choose};
use crate::event::{ConnKey, SessionKey};
use crate::freshness;
use crate::process::Loop;
use crate::protocol::{Access, Protocol};
use crate::refuse::Reason;
use crate::session::{Kind, Query, Stage, Urgency};
use crate::tenant;
use crate::timer::Timer;
use clock::Clock;

/// Maximum number of statements that wait for one service.
const MAX_WAITING_STATEMENTS: usize = 300;
/// A draining primary still gets new statements for this long, by which time it should be replaced.
const DRAINING_PRIMARY_PERIOD: Duration = Duration::from_secs(5);
/// After this many waiting statements have found no connection, the rest is not tried in this pass.
const MAX_FAILED_DISPATCHES: usize = 6;

/// Where a statement may run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Destination {
    /// On the connection of its transaction.
    Bound(ConnKey),
    /// On the primary. The statement itself fails if the server does not lead.
    Primary,
    /// On the primary, within a transaction that only a leader can begin.
    CheckedPrimary,
    /// On any server whose log contains the position.
    UpToDate(Sample),
}

impl<P: Protocol, C: Clock> Loop<P, C> {
    /// Starts a session's query if a connection is available. Returns false if it has to wait.
    pub(crate) fn dispatch(&mut self, now: Instant, key: SessionKey) -> bool {
        let Some(destination) = self.destination(key) else {
            return true;
        };
        let Some(query) = self.sessions.get(key).and_then(|s| s.query.as_ref()) else {
            return true;
        };
        if query.retry_at.is_some_and(|until| now < until) {
            return false;
        }
        let (service, urgency) = (query.route.service, query.urgency());
        let tenant = query.route.tenant;
        let (index, after) = match destination {
            Destination::Bound(conn) => {
                self.start_on(now, key, conn, None, false);
                return true;
            }
            Destination::Primary | Destination::CheckedPrimary => {
                let Some(index) = self.usable_primary(now, service) else {
                    return false;
                };
                (index, None)
            }
            Destination::UpToDate(after) => {
                let candidates = self.candidates(now, service, query);
                let age = self.clock.moment().since(after.at);
                let chosen = choose(&candidates, age, now);
                let chosen = chosen.or_else(|| self.overcommit(now, service, key, age));
                let Some(index) = chosen else {
                    return false;
                };
                (index, Some(after.point))
            }
        };
        if let Some(query) = self.sessions.get_mut(key).and_then(|s| s.query.as_mut()) {
            query.waits_for = Some(index);
        }
        let uses_lenders = self.servers[index].uses_lenders;
        if !uses_lenders && !self.has_slot(now, index) {
            return false;
        }
        let conn = if !uses_lenders && self.is_tenant_specific(index) {
            self.assign_conn(now, index, key)
        } else {
            let conn = self.take_idle_conn(key, index);
            if conn.is_none() {
                self.servers[index].overcommit(now);
                if self.servers[index].has_room(now) {
                    self.open_for_waiting(now, index, tenant, urgency);
                }
            }
            conn
        };
        let Some(conn) = conn else {
            return false;
        };
        self.count_reuse(conn);
        let in_transaction = self
            .sessions
            .get(key)
            .is_some_and(|session| session.transaction.is_some());
        self.start_on(
            now,
            key,
            conn,
            after,
            in_transaction || destination == Destination::CheckedPrimary,
        );
        true
    }

    /// Returns `None` if the session has no query.
    fn destination(&self, key: SessionKey) -> Option<Destination> {
        let session = self.sessions.get(key)?;
        let query = session.query.as_ref()?;
        let history = &self.services[query.route.service].history;
        let up_to_date = |received_moment| {
            let route = query.route.freshness;
            freshness::required_sample(route, history, session.last_commit, received_moment)
        };
        Some(match &session.transaction {
            Some(transaction) => match transaction.conn {
                Some(conn) => Destination::Bound(conn),
                None if transaction.read_only
                    && transaction.route.freshness != Freshness::Latest =>
                {
                    up_to_date(transaction.received_moment)
                        .map_or(Destination::Primary, Destination::UpToDate)
                }
                None => Destination::Primary,
            },
            None if query.kind.may_change() => Destination::Primary,
            None => up_to_date(query.received_moment)
                .map_or(Destination::CheckedPrimary, Destination::UpToDate),
        })
    }

    fn usable_primary(&self, now: Instant, service: usize) -> Option<usize> {
        let index = self.services[service].primary?;
        let server = &self.servers[index];
        let period_over = server
            .draining_since
            .is_some_and(|since| now >= since + DRAINING_PRIMARY_PERIOD);
        (server.listed && !period_over).then_some(index)
    }

    fn candidates(&self, now: Instant, service: usize, query: &Query) -> Vec<Candidate> {
        let service = &self.services[service];
        let candidate = |index: &usize| {
            let primary = service.primary == Some(*index);
            let tried = query.tried_servers.contains(index);
            let available = self.availability(now, *index, query.route.tenant);
            self.servers[*index].candidate(*index, primary, tried, available, now)
        };
        service.servers.iter().map(candidate).collect()
    }

    /// Whether a server that has not been tried may serve a session's read now.
    pub(crate) fn has_untried_server(&self, now: Instant, key: SessionKey) -> bool {
        let Some(Destination::UpToDate(after)) = self.destination(key) else {
            return false;
        };
        let Some(query) = self.sessions.get(key).and_then(|s| s.query.as_ref()) else {
            return false;
        };
        let candidates = self.candidates(now, query.route.service, query);
        let age = self.clock.moment().since(after.at);
        let chosen = choose(&candidates, age, now);
        chosen.is_some_and(|index| !query.tried_servers.contains(&index))
    }

    /// Allows one more connection beyond the share for each server, and chooses again.
    fn overcommit(
        &mut self,
        now: Instant,
        service: usize,
        key: SessionKey,
        age: Duration,
    ) -> Option<usize> {
        for index in &self.services[service].servers {
            self.servers[*index].overcommit(now);
        }
        let query = self.sessions.get(key)?.query.as_ref()?;
        choose(&self.candidates(now, service, query), age, now)
    }

    /// Takes an idle connection of the session's tenant, preferably one with the session's variables.
    pub(crate) fn take_idle_conn(&mut self, key: SessionKey, index: usize) -> Option<ConnKey> {
        let session = self.sessions.get(key)?;
        let tenant = session.query.as_ref()?.route.tenant;
        let idle = &self.servers[index].idle;
        let is_own = |conn: &ConnKey| self.conns.get(*conn).is_some_and(|c| c.tenant == tenant);
        let has_same_variables = |conn: &ConnKey| {
            let conn = self.conns.get(*conn);
            conn.is_some_and(|c| c.tenant == tenant && c.variables == session.variables)
        };
        let position = idle
            .iter()
            .rposition(has_same_variables)
            .or_else(|| idle.iter().rposition(is_own))?;
        Some(self.servers[index].idle.remove(position))
    }

    /// Opens a connection. Once one is open, further ones are opened one at a time: an opening
    /// takes a slot of the server for as long as a short statement, and after a power loss all
    /// proxies open theirs at once.
    fn open_for_waiting(
        &mut self,
        now: Instant,
        index: usize,
        tenant: Option<tenant::Id>,
        urgency: Urgency,
    ) {
        let server = &self.servers[index];
        let (waiting, opening, open_count) = if self.is_tenant_specific(index) {
            let (opening, open) = self.count_conns(index, tenant);
            (self.count_waiting(server.service, tenant), opening, open)
        } else {
            let waiting = self.services[server.service].waiting.len();
            (waiting, server.opening, server.conns.len() - server.opening)
        };
        let waiting = waiting + 1;
        let limit = if open_count == 0 || server.uses_lenders {
            waiting
        } else {
            1
        };
        if opening < limit {
            self.open(now, index, tenant, urgency);
        }
    }

    fn count_waiting(&self, service: usize, tenant: Option<tenant::Id>) -> usize {
        let waiting = self.services[service].waiting.iter();
        let is_tenants = |key: &&SessionKey| {
            let query = self.sessions.get(**key).and_then(|s| s.query.as_ref());
            query.is_some_and(|query| query.route.tenant == tenant)
        };
        waiting.filter(is_tenants).count()
    }

    /// Queues a session's query, or refuses it.
    pub(crate) fn enqueue(&mut self, now: Instant, key: SessionKey) {
        let Some(query) = self.sessions.get_mut(key).and_then(|s| s.query.as_mut()) else {
            return;
        };
        query.stage = Stage::Waiting;
        let (due, service) = (query.next_due(), query.route.service);
        if self.services[service].waiting.len() >= MAX_WAITING_STATEMENTS {
            return self.refuse_unsent(now, key, Reason::QueueFull);
        }
        if query.wait_deadline <= now {
            return self.refuse_unsent(now, key, Reason::NoConnection);
        }
        self.services[service].waiting.push_back(key);
        self.timers.add(due, Timer::Session(key));
    }

    /// Refuses a query that has not been sent. If it is the first statement of a transaction, the
    /// transaction is rolled back as well.
    pub(crate) fn refuse_unsent(&mut self, now: Instant, key: SessionKey, reason: Reason) {
        self.roll_back_on_server(now, key);
        self.refuse(now, key, reason);
    }

    /// Dispatches the statements that wait for a service: by rank, within a rank those that can be
    /// answered within their goal first, and then by arrival.
    pub(crate) fn retry_waiting(&mut self, now: Instant, service: usize) {
        // A tenant whose statements find no connection holds up no other.
        let mut failures: Vec<(Option<tenant::Id>, usize)> = Vec::new();
        let mut waiting = std::mem::take(&mut self.services[service].waiting);
        let order = |key: &SessionKey| {
            let query = self.sessions.get(*key).and_then(|s| s.query.as_ref());
            query.map(|query| (query.urgency().order(now), query.received_at))
        };
        waiting.make_contiguous().sort_by_cached_key(order);
        self.services[service].retrying = waiting.iter().copied().collect();
        let mut still_waiting = std::collections::VecDeque::new();
        while let Some(key) = waiting.pop_front() {
            let query = self.sessions.get(key).and_then(|s| s.query.as_ref());
            let Some(query) = query.filter(|query| query.stage == Stage::Waiting) else {
                continue;
            };
            let tenant = query.route.tenant;
            let position = failures.iter().position(|(other, _)| *other == tenant);
            let position = position.unwrap_or_else(|| {
                failures.push((tenant, 0));
                failures.len() - 1
            });
            let failed = failures[position].1 >= MAX_FAILED_DISPATCHES || !self.dispatch(now, key);
            if failed {
                failures[position].1 += 1;
                still_waiting.push_back(key);
            }
        }
        self.services[service].retrying.clear();
        // Appends statements that were queued again by a failed attempt in this pass.
        still_waiting.append(&mut self.services[service].waiting);
        self.services[service].waiting = still_waiting;
    }

    /// Retries a statement that has not run, or a read, which may run twice.
    pub(crate) fn retry(&mut self, now: Instant, key: SessionKey, pause: Duration) {
        let Some(query) = self.sessions.get_mut(key).and_then(|s| s.query.as_mut()) else {
            return;
        };
        query.stage = Stage::Waiting;
        query.hedge_at = None;
        query.retry_at = (!pause.is_zero()).then(|| now + pause);
        if !self.dispatch(now, key) {
            self.enqueue(now, key);
        }
    }

    /// Handles a session's timer: the end of a retry delay or of the wait, a missing answer, or an
    /// idle transaction.
    pub(crate) fn on_session_due(&mut self, now: Instant, key: SessionKey) {
        if self.on_confirmation_due(now, key) {
            return;
        }
        let Some(session) = self.sessions.get_mut(key) else {
            return;
        };
        let Some(query) = &mut session.query else {
            let idle_deadline = session
                .transaction
                .as_ref()
                .and_then(|transaction| transaction.idle_deadline);
            if idle_deadline.is_some_and(|deadline| deadline <= now) {
                self.metrics
                    .common
                    .refusals
                    .add(Reason::IdleTransaction.label());
                self.fail_transaction(now, key);
            }
            return;
        };
        let due = query.next_due();
        if now < due {
            return;
        }
        match query.stage {
            Stage::Waiting if now < query.wait_deadline => {
                query.retry_at = None;
                let service = query.route.service;
                self.timers.add(query.next_due(), Timer::Session(key));
                self.due_services.push(service);
            }
            Stage::Waiting | Stage::Preparing(_) => {
                let reason = self.wait_reason(key);
                self.cancel_unsent(now, key);
                self.refuse_unsent(now, key, reason);
            }
            // The rate limits end its wait.
            Stage::Unadmitted => {}
            Stage::Held if now < query.deadline => {}
            Stage::Held => self.refuse(now, key, Reason::OutcomeUnknown),
            Stage::Sent(_) => self.on_unanswered(now, key),
        }
    }

    /// Why a statement was not sent in time.
    fn wait_reason(&self, key: SessionKey) -> Reason {
        let query = self.sessions.get(key).and_then(|s| s.query.as_ref());
        let Some(query) = query else {
            return Reason::NoConnection;
        };
        let service = &self.services[query.route.service];
        let unusable = service.primary.is_none() || service.unusable_since.is_some();
        match query.kind {
            _ if unusable => Reason::NoPrimary,
            Kind::Plain(Access::Read) if query.tried_servers.len() > 1 => Reason::Exhausted,
            _ => Reason::NoConnection,
        }
    }
}

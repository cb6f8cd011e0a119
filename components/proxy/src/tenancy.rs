//! Connections in the name of tenants: input of [`admission::tenancy`], and execution of its steps.
//!
//! Without tenants nothing here decides anything, see [`Loop::is_tenant_specific`].

use std::time::{Duration, Instant};

use admission::tenancy::{Connection, Room, State, Step, Waiter, decide};
use clock::Clock;

use crate::conn::{Conn, Purpose};
use crate::event::{ConnKey, SessionKey};
use crate::lend;
use crate::process::Loop;
use crate::protocol::Protocol;
use crate::session::Stage;
use crate::tenant;

/// How long a connection of a tenant that is not in the plan may be idle. A lender may learn of a
/// tenant from a borrower before its own plan names it, and must not close a connection that it has
/// just opened for a loan.
const DEPARTED_IDLE_TIMEOUT: Duration = Duration::from_millis(150);

impl Conn {
    /// What the connection does, if it is not idle.
    fn busy_state(&self) -> State {
        if self.pending.front() == Some(&Purpose::Startup) {
            State::Opening
        } else if !self.pending.is_empty() || self.lent_pending > 0 {
            State::Running
        } else {
            State::Held
        }
    }
}

impl<P: Protocol, C: Clock> Loop<P, C> {
    /// Whether a server's connections belong to tenants, or are wanted by some.
    pub(crate) fn is_tenant_specific(&self, index: usize) -> bool {
        let server = &self.servers[index];
        let is_tenants = |key: &ConnKey| self.conns.get(*key).is_some_and(|c| c.tenant.is_some());
        self.directory.largest().is_some()
            || server.has_tenant_waiters
            || server.conns.iter().any(is_tenants)
    }

    /// Takes an idle connection for a statement, or begins to open one. Returns `None` if the
    /// statement has to wait.
    pub(crate) fn assign_conn(
        &mut self,
        now: Instant,
        index: usize,
        key: SessionKey,
    ) -> Option<ConnKey> {
        let waiting = self.waiting(now, index, key);
        let position = waiting.iter().position(|(other, _)| *other == Some(key))?;
        let waiters: Vec<_> = waiting.iter().map(|(_, waiter)| *waiter).collect();
        let tenant = waiters[position].tenant;
        let connections = self.own_connections(index);
        let room = self.room(now, index);
        let times = &self.servers[index].times;
        // The statements are tried in their order, so this one may use what the earlier ones left.
        let mut own_first = waiters.clone();
        own_first[..=position].rotate_right(1);
        let step = decide(now, &connections, &own_first, room, times)[0];
        if matches!(step, Step::Use(_)) {
            return self.take_idle_conn(key, index);
        }
        // Whether to open one depends on how many statements of the tenant go before this one.
        let step = decide(now, &connections, &waiters, room, times)[position];
        if self.may_open_one(index, tenant, &waiters) {
            self.open_by_step(now, index, tenant, step);
        }
        None
    }

    /// Opens a connection of this proxy's own if a step says so.
    pub(crate) fn open_by_step(
        &mut self,
        now: Instant,
        index: usize,
        tenant: Option<tenant::Id>,
        step: Step<ConnKey>,
    ) {
        match step {
            Step::Use(_) | Step::Wait => {}
            Step::Open => self.open_own(now, index, tenant),
            Step::Replace(old) if self.servers[index].may_replace(now) => {
                self.replace_conn(now, old, tenant);
            }
            Step::Replace(_) => {}
            Step::Full => {
                let server = &mut self.servers[index];
                // Connections beyond the share are opened one at a time, as the server may have
                // none left.
                if server.opening == 0 {
                    server.overcommit(now);
                }
                if server.has_own_room(now) {
                    self.open_own(now, index, tenant);
                }
            }
        }
    }

    /// Once a tenant has an open connection, further ones are opened one at a time, since an opening
    /// takes a slot of the server for as long as a short statement.
    fn may_open_one(
        &self,
        index: usize,
        tenant: Option<tenant::Id>,
        waiters: &[Waiter<Option<tenant::Id>>],
    ) -> bool {
        let (opening, open) = self.count_conns(index, tenant);
        let waiting = waiters.iter().filter(|waiter| waiter.tenant == tenant);
        let limit = if open == 0 { waiting.count() } else { 1 };
        opening < limit
    }

    /// Numbers of a tenant's connections to a server, loans included: those that are being opened or
    /// requested, and the others.
    pub(crate) fn count_conns(&self, index: usize, tenant: Option<tenant::Id>) -> (usize, usize) {
        let conns = self.servers[index].conns.iter();
        let conns = conns.filter_map(|key| self.conns.get(*key));
        let (mut opening, mut open) = (0, 0);
        for conn in conns.filter(|conn| conn.tenant == tenant) {
            let requested = conn.loan.is_some_and(|loan| !loan.granted);
            if requested || conn.pending.front() == Some(&Purpose::Startup) {
                opening += 1;
            } else {
                open += 1;
            }
        }
        (opening, open)
    }

    /// Takes the steps for borrowers that wait for a server: lends idle connections of their tenants,
    /// and opens or replaces others.
    pub(crate) fn serve_tenants(&mut self, now: Instant, index: usize) {
        loop {
            if self.servers[index].waiters.is_empty() {
                self.servers[index].has_tenant_waiters = false;
                return;
            }
            if !self.has_slot(now, index) {
                return;
            }
            let (waiters, steps) = self.borrower_steps(now, index);
            let mut usable = Vec::new();
            for (waiter, step) in waiters.iter().zip(&steps) {
                if let Step::Use(key) = step {
                    usable.push((waiter.tenant, *key));
                }
            }
            let key = |tenant| usable.iter().find(|(other, _)| *other == tenant);
            let fits = |waiter: &lend::Waiter| key(waiter.tenant).is_some();
            let Some(waiter) = self.servers[index].waiters.pop_where(now, fits) else {
                break;
            };
            if let Some((_, key)) = key(waiter.tenant) {
                self.servers[index].idle.retain(|other| other != key);
                self.lend(now, *key, waiter);
            }
        }
        let (waiters, steps) = self.borrower_steps(now, index);
        for (waiter, step) in waiters.iter().zip(steps) {
            self.open_by_step(now, index, waiter.tenant, step);
        }
    }

    /// The borrowers that wait for a server and the steps for them.
    fn borrower_steps(
        &self,
        now: Instant,
        index: usize,
    ) -> (Vec<lend::Waiter>, Vec<Step<ConnKey>>) {
        let server = &self.servers[index];
        let borrowers: Vec<_> = server.waiters.iter(now).map(|(item, _)| *item).collect();
        let mut waiters = self.borrowers_waiting(now, index);
        waiters.extend(
            self.statements_waiting(now, index)
                .map(|(_, waiter)| waiter),
        );
        let room = self.room(now, index);
        let connections = self.own_connections(index);
        let mut steps = decide(now, &connections, &waiters, room, &server.times);
        steps.truncate(borrowers.len());
        (borrowers, steps)
    }

    fn room(&self, now: Instant, index: usize) -> Room {
        let server = &self.servers[index];
        let room = server.own_room(now);
        let free = room.saturating_sub(server.own_limit() - server.share);
        Room {
            free,
            beyond: room - free,
            limit: server.own_limit(),
        }
    }

    /// This proxy's own connections to a server; the idle ones come last, longest idle first.
    fn own_connections(&self, index: usize) -> Vec<Connection<ConnKey, Option<tenant::Id>>> {
        let server = &self.servers[index];
        let view = |key: &ConnKey, idle: bool| {
            let conn = self.conns.get(*key).filter(|conn| conn.loan.is_none())?;
            let session = conn.session.and_then(|session| self.sessions.get(session));
            let state = match session.and_then(|session| session.transaction.as_ref()) {
                _ if idle => State::Idle,
                Some(_) => State::Held,
                None => conn.busy_state(),
            };
            Some(Connection {
                key: *key,
                tenant: conn.tenant,
                state,
                since: conn.used_at,
                unused: !conn.has_been_used,
            })
        };
        let busy = server.conns.iter().filter(|key| !server.idle.contains(key));
        let busy = busy.filter_map(|key| view(key, false));
        let idle = server.idle.iter().filter_map(|key| view(key, true));
        busy.chain(idle).collect()
    }

    /// Statements and borrowers that wait for a server, in their order. The session `key` is included
    /// in any case.
    fn waiting(
        &self,
        now: Instant,
        index: usize,
        key: SessionKey,
    ) -> Vec<(Option<SessionKey>, Waiter<Option<tenant::Id>>)> {
        let statements = self.statements_waiting(now, index);
        let statements = statements.map(|(session, waiter)| (Some(session), waiter));
        let mut waiting: Vec<_> = statements.collect();
        if !waiting.iter().any(|(other, _)| *other == Some(key))
            && let Some((tenant, late)) = self.waiter(now, key)
        {
            waiting.push((Some(key), Waiter { tenant, late }));
        }
        let borrowers = self.borrowers_waiting(now, index).into_iter();
        waiting.extend(borrowers.map(|waiter| (None, waiter)));
        waiting
    }

    fn borrowers_waiting(&self, now: Instant, index: usize) -> Vec<Waiter<Option<tenant::Id>>> {
        let waiters = self.servers[index].waiters.iter(now);
        waiters
            .map(|(waiter, late)| Waiter {
                tenant: waiter.tenant,
                late,
            })
            .collect()
    }

    /// This proxy's own statements that found no connection to a server.
    fn statements_waiting(
        &self,
        now: Instant,
        index: usize,
    ) -> impl Iterator<Item = (SessionKey, Waiter<Option<tenant::Id>>)> {
        let service = &self.services[self.servers[index].service];
        let sessions = service.retrying.iter().chain(&service.waiting);
        sessions.filter_map(move |key| {
            let query = self.sessions.get(*key)?.query.as_ref()?;
            let waits = query.stage == Stage::Waiting && query.waits_for == Some(index);
            let (tenant, late) = self.waiter(now, *key).filter(|_| waits)?;
            Some((*key, Waiter { tenant, late }))
        })
    }

    /// The tenant of a session's statement, and whether the statement is late.
    fn waiter(&self, now: Instant, key: SessionKey) -> Option<(Option<tenant::Id>, bool)> {
        let query = self.sessions.get(key)?.query.as_ref()?;
        Some((query.route.tenant, query.start_by < now))
    }

    /// Whether an idle connection of a tenant exists, and whether one may be opened, requested, or
    /// put in place of another tenant's.
    pub(crate) fn availability(
        &self,
        now: Instant,
        index: usize,
        tenant: Option<tenant::Id>,
    ) -> (bool, bool) {
        let server = &self.servers[index];
        let is_own = |key: &ConnKey| self.conns.get(*key).is_some_and(|c| c.tenant == tenant);
        let has_idle = server.idle.iter().any(is_own);
        let has_other = || server.idle.iter().any(|key| !is_own(key));
        let can_replace = !server.uses_lenders && server.may_replace(now) && has_other();
        (has_idle, server.has_room(now) || can_replace)
    }

    /// Closes an idle connection and starts opening another one in its place.
    pub(crate) fn replace_conn(&mut self, now: Instant, old: ConnKey, tenant: Option<tenant::Id>) {
        let Some(conn) = self.conns.get_mut(old) else {
            return;
        };
        let (index, handle) = (conn.server, conn.handle.take());
        self.close_conn(old);
        self.metrics.tenant_connections.add("replaced");
        self.open_after(now, index, tenant, handle);
    }

    /// Opens a connection of this proxy's own although it borrows connections, as no lender is
    /// available. The one that it may have is replaced if it is another tenant's.
    pub(crate) fn open_without_lender(
        &mut self,
        now: Instant,
        index: usize,
        tenant: Option<tenant::Id>,
    ) {
        if self.servers[index].has_own_room(now) {
            return self.open_own(now, index, tenant);
        }
        let is_other = |key: &&ConnKey| {
            let conn = self.conns.get(**key);
            conn.is_some_and(|conn| conn.loan.is_none() && conn.tenant != tenant)
        };
        let old = self.servers[index].idle.iter().find(is_other).copied();
        if let Some(old) = old.filter(|_| self.servers[index].may_replace(now)) {
            self.replace_conn(now, old, tenant);
        }
    }

    /// Records how long it took to open a connection.
    pub(crate) fn measure_opening(&mut self, now: Instant, key: ConnKey) {
        if let Some(conn) = self.conns.get(key) {
            let elapsed = now.saturating_duration_since(conn.used_at);
            self.servers[conn.server].times.on_opened(elapsed);
        }
    }

    /// Counts the use of a connection that has been used before.
    pub(crate) fn count_reuse(&mut self, key: ConnKey) {
        if let Some(conn) = self.conns.get_mut(key)
            && std::mem::replace(&mut conn.has_been_used, true)
            && conn.tenant.is_some()
        {
            self.metrics.tenant_connections.add("reused");
        }
    }

    /// Closes idle connections of tenants that have left the plan.
    pub(crate) fn close_departed(&mut self, now: Instant) {
        let has_left = |key: &ConnKey| {
            let conn = self.conns.get(*key);
            conn.is_some_and(|conn| {
                let name = conn.tenant.map(|tenant| self.directory.name(tenant));
                let listed = |name| self.plan.tenants.contains_key(name);
                !name.is_none_or(listed) && now >= conn.used_at + DEPARTED_IDLE_TIMEOUT
            })
        };
        let idle = self.servers.iter().flat_map(|server| &server.idle);
        let departed: Vec<ConnKey> = idle.filter(|key| has_left(key)).copied().collect();
        for key in departed {
            self.close_conn(key);
        }
    }
}

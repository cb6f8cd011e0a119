//! Messages of callers: what the entry answers itself, and what becomes work for a server.

use std::time::{Duration, Instant};

use bytes::Buf as _;
use link::io;
use registry::plan::Freshness;
use tokio::net::TcpStream;

use crate::event::{Event, SessionKey};
use crate::process::Loop;
use crate::protocol::{Access, Invalid, Protocol, Request, State, Statement};
use crate::refuse::Reason;
use crate::session::{Kind, MAX_PREPARED, MAX_VALUES, Route, Session, Stage, Transaction, Work};
use crate::timer::Timer;
use clock::Clock;

/// Share of a statement's time that it may wait before it is refused, in percent. A caller that is
/// refused has time left to try elsewhere.
const HOLD_PERCENT: u32 = 45;
/// Time without a usable primary after which its return is no matter of moments: statements that
/// need it are refused early, so that their callers know.
const OUTAGE: Duration = Duration::from_secs(2);
/// Share of the goal that a statement may wait in an outage, in percent.
const OUTAGE_HOLD_PERCENT: u32 = 20;
/// Share of the goal after which an unanswered read is sent to another server, in percent.
const HEDGE_PERCENT: u32 = 60;

impl<P: Protocol, C: Clock> Loop<P, C> {
    pub(crate) fn on_accepted(&mut self, socket: TcpStream) {
        if self.sessions.len() >= self.settings.max_callers {
            self.metrics.common.refusals.add("too_many_callers");
            return;
        }
        if let Err(error) = socket.set_nodelay(true) {
            tracing::debug!(%error, "caller gone");
            return;
        }
        let events = self.events.clone();
        self.sessions.insert_with_key(|key| {
            let wrap = move |event| Event::Session(key, event);
            Session::new(io::spawn(socket, Default::default(), events, wrap))
        });
    }

    pub(crate) fn on_session(&mut self, now: Instant, key: SessionKey, event: io::Event) {
        let Some(session) = self.sessions.get_mut(key) else {
            return;
        };
        match event {
            io::Event::Bytes(bytes) => {
                if session.inbox.is_empty() {
                    session.inbox = bytes;
                } else {
                    session.inbox.extend_from_slice(&bytes);
                }
                // A caller that sends ahead is read no further than one message beyond the bound.
                if session.inbox.len() > self.settings.max_message {
                    session.handle.pause();
                }
                self.ready.push(key);
            }
            io::Event::Room => {
                let events = &self.events;
                session.handle.on_room(|out| {
                    io::wait_for_room(out, events.clone(), Event::Session(key, io::Event::Room));
                });
                if session.closing {
                    self.dirty_sessions.push(key);
                }
            }
            io::Event::Closed => self.remove_session(now, key),
        }
    }

    /// A caller is gone: what it has open is rolled back.
    pub(crate) fn remove_session(&mut self, now: Instant, key: SessionKey) {
        self.end_transaction(now, key);
        let Some(session) = self.sessions.remove(key) else {
            return;
        };
        if let Some(work) = session.work {
            self.abandon(&work);
            self.log_outcome(now, &work, "caller_gone", None);
        }
    }

    /// Takes a session's messages until one has to wait for a server.
    pub(crate) fn advance(&mut self, now: Instant, key: SessionKey) {
        loop {
            let Some(session) = self.sessions.get_mut(key) else {
                return;
            };
            if session.work.is_some() || session.closing {
                return;
            }
            let inbox = session.inbox.split().freeze();
            let next = P::request(&inbox, self.settings.max_message);
            let used = match next {
                Ok(Some((used, request))) => {
                    self.on_message(now, key, request);
                    used
                }
                Ok(None) => 0,
                Err(invalid) => {
                    self.on_invalid(key, invalid);
                    inbox.len()
                }
            };
            let Some(session) = self.sessions.get_mut(key) else {
                return;
            };
            let mut rest = inbox;
            rest.advance(used);
            session.inbox = rest
                .try_into_mut()
                .unwrap_or_else(|shared| shared[..].into());
            if used == 0 {
                session.handle.resume();
                return;
            }
        }
    }

    fn on_invalid(&mut self, key: SessionKey, invalid: Invalid) {
        let reason = match invalid {
            Invalid::TooLarge => Reason::TooLarge,
            Invalid::Malformed => Reason::Malformed,
        };
        self.reject(key, reason);
        self.end_session(key);
    }

    fn on_message(&mut self, now: Instant, key: SessionKey, request: Request<'_>) {
        let Some(session) = self.sessions.get_mut(key) else {
            return;
        };
        match request {
            Request::Terminate => self.remove_session(now, key),
            Request::Startup { database } if session.database.is_none() => {
                if self.plan.routes.contains_key(database) {
                    session.database = Some(database.to_owned());
                    P::ready(&mut session.out, State::Idle, None);
                    self.dirty_sessions.push(key);
                    return;
                }
                let reason = if self.plan.version == 0 {
                    Reason::NoPrimary
                } else {
                    Reason::NoDatabase
                };
                self.metrics.common.refusals.add(reason.label());
                P::error(&mut session.out, reason.code(), reason.text());
                self.end_session(key);
            }
            Request::Query {
                id,
                text,
                statement,
            } if session.database.is_some() => self.on_query(now, key, id, text, statement),
            _ => self.on_invalid(key, Invalid::Malformed),
        }
    }

    fn on_query(
        &mut self,
        now: Instant,
        key: SessionKey,
        id: &str,
        text: &str,
        statement: Statement<'_>,
    ) {
        let Some(session) = self.sessions.get_mut(key) else {
            return;
        };
        let state = session.state();
        match (statement, state) {
            (Statement::Rollback, State::Open | State::Failed) => {
                self.end_transaction(now, key);
                self.report_ended(key);
            }
            (Statement::Commit, State::Failed) => {
                self.end_transaction(now, key);
                if let Some(session) = self.sessions.get_mut(key) {
                    session.transaction = None;
                }
                self.reject(key, Reason::TransactionLost);
            }
            (_, State::Failed) => self.reject(key, Reason::Malformed),
            (Statement::Begin { read_only }, State::Idle) => self.begin(key, read_only),
            (Statement::Set { name, value }, _) => {
                let full = session.values.len() >= MAX_VALUES;
                if full && !session.values.contains_key(name) {
                    return self.reject(key, Reason::TooLarge);
                }
                session.values.insert(name.to_owned(), value.to_owned());
                self.acknowledge(key);
            }
            (
                Statement::Prepare {
                    name,
                    access,
                    shape,
                },
                _,
            ) => {
                let full = session.prepared.len() >= MAX_PREPARED;
                if full && !session.prepared.contains_key(name) {
                    return self.reject(key, Reason::TooLarge);
                }
                let number = self.number(access, shape);
                if let Some(session) = self.sessions.get_mut(key) {
                    session.prepared.insert(name.to_owned(), number);
                }
                self.acknowledge(key);
            }
            (Statement::Deallocate { name }, _) => {
                if session.prepared.remove(name).is_some() {
                    self.acknowledge(key);
                } else {
                    self.reject(key, Reason::NotPrepared);
                }
            }
            (Statement::Execute { name, arguments }, _) => {
                let Some(number) = session.prepared.get(name).copied() else {
                    return self.reject(key, Reason::NotPrepared);
                };
                let access = self.numbered[number as usize].0;
                let kind = Kind::Execute {
                    access,
                    number,
                    arguments: text.len() - arguments.len(),
                };
                self.start(now, key, id, text, kind);
            }
            (Statement::Read, _) => self.start(now, key, id, text, Kind::Plain(Access::Read)),
            (Statement::Write, _) => self.start(now, key, id, text, Kind::Plain(Access::Write)),
            (Statement::Commit, State::Open) => self.start(now, key, id, text, Kind::Commit),
            (Statement::Unknown | Statement::Begin { .. }, _)
            | (Statement::Commit | Statement::Rollback, State::Idle) => {
                self.reject(key, Reason::Malformed);
            }
        }
    }

    fn acknowledge(&mut self, key: SessionKey) {
        if let Some(session) = self.sessions.get_mut(key) {
            P::done(&mut session.out);
            let state = session.state();
            P::ready(&mut session.out, state, None);
            self.dirty_sessions.push(key);
        }
    }

    /// Number of a shape, by which servers know it.
    fn number(&mut self, access: Access, shape: &str) -> u32 {
        let wanted = (access, shape.to_owned());
        if let Some(number) = self.shapes.get(&wanted) {
            return *number;
        }
        let number = u32::try_from(self.numbered.len()).unwrap_or(u32::MAX);
        self.numbered.push(wanted.clone());
        self.shapes.insert(wanted, number);
        number
    }

    /// The route of a session's database in the plan in force.
    fn route(&self, key: SessionKey) -> Option<Route> {
        let session = self.sessions.get(key)?;
        let route = self.plan.routes.get(session.database.as_ref()?)?;
        Some(Route {
            service: *self.names.get(&route.service)?,
            freshness: route.freshness,
            timeout: route.timeout,
            goal: route.goal,
            priority: route.priority,
        })
    }

    /// Begins a transaction. A server is chosen at its first statement.
    fn begin(&mut self, key: SessionKey, read_only: bool) {
        let Some(route) = self.route(key) else {
            return self.reject(key, Reason::NoDatabase);
        };
        let arrived = self.clock.moment();
        if let Some(session) = self.sessions.get_mut(key) {
            // Routes for aged reads carry no writes, and transactions on replicas leave the primary
            // to those that need it.
            let aged = matches!(route.freshness, Freshness::Aged(_));
            let assumed = !read_only && aged && !session.writes;
            session.transaction = Some(Transaction {
                route,
                read_only: read_only || assumed,
                assumed,
                arrived,
                conn: None,
                used: false,
                wrote: false,
                failed: false,
                rests_until: None,
            });
        }
        self.rest(key);
        self.acknowledge(key);
    }

    /// Starts the time that a transaction may rest.
    pub(crate) fn rest(&mut self, key: SessionKey) {
        let Some(limit) = self.plan.idle_limit else {
            return;
        };
        let until = crate::process::now() + limit;
        let session = self.sessions.get_mut(key);
        if let Some(open) = session.and_then(|session| session.transaction.as_mut()) {
            open.rests_until = Some(until);
            self.timers.add(until, Timer::Session(key));
        }
    }

    /// Makes work of a statement and looks for a server.
    fn start(&mut self, now: Instant, key: SessionKey, id: &str, text: &str, kind: Kind) {
        let open = self.sessions.get(key).and_then(|s| s.transaction.as_ref());
        if kind != Kind::Commit && kind.may_change() && open.is_some_and(|open| open.assumed) {
            return self.reject_assumption(now, key);
        }
        let route = open.map(|open| open.route).or_else(|| self.route(key));
        let Some(route) = route else {
            return self.reject(key, Reason::NoDatabase);
        };
        let moment = self.clock.moment();
        let hold = self.hold(now, &route);
        let Some(session) = self.sessions.get_mut(key) else {
            return;
        };
        if let Some(open) = &mut session.transaction {
            open.rests_until = None;
        }
        session.work = Some(Work {
            id: id.to_owned(),
            text: text.to_owned(),
            kind,
            route,
            arrived: now,
            moment,
            deadline: now + route.timeout,
            hold_until: now + hold,
            hedge_at: None,
            pause_until: None,
            stage: Stage::Waiting,
            after: None,
            tried: Vec::new(),
            retried: None,
        });
        self.services[route.service].used_at = Some(now);
        self.budget.on_request(now);
        if !self.dispatch(now, key) {
            self.enqueue(now, key);
        }
    }

    /// A transaction that was taken for a reading one writes after all: it is rolled back, and the
    /// session's next ones begin on the primary.
    fn reject_assumption(&mut self, now: Instant, key: SessionKey) {
        if let Some(session) = self.sessions.get_mut(key) {
            session.writes = true;
        }
        self.fail_transaction(now, key);
        self.reject(key, Reason::NotReading);
    }

    /// How long a statement may wait before it is refused.
    fn hold(&self, now: Instant, route: &Route) -> Duration {
        let service = &self.services[route.service];
        let missed = service.missed_since.is_some_and(|at| now >= at + OUTAGE);
        if missed || service.primary.is_none() {
            route.goal * OUTAGE_HOLD_PERCENT / 100
        } else {
            route.timeout * HOLD_PERCENT / 100
        }
    }

    /// When an unanswered read is worth a second try elsewhere.
    pub(crate) fn hedge(goal: Duration) -> Duration {
        goal * HEDGE_PERCENT / 100
    }
}

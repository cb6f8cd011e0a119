//! Handles messages of callers: those that the proxy answers itself, and those that start a query
//! on a server.

use std::time::{Duration, Instant};

use bytes::Buf as _;
use link::io;
use tokio::net::TcpStream;

use crate::event::{Event, SessionKey};
use crate::process::Loop;
use crate::protocol::{Access, Invalid, Protocol, Request, State, Statement};
use crate::refuse::Reason;
use crate::session::{Kind, MAX_PREPARED_NAMES, MAX_VARIABLES, Query, Route, Session, Stage};
use clock::Clock;

/// Part of the route's timeout that a statement may wait before it is refused, in percent. A
/// refused caller has the remaining time to try elsewhere.
const WAIT_PERCENT: u32 = 45;
/// Part of the route's goal in which a statement has to be sent to be answered within it, in percent.
const START_PERCENT: u32 = 80;
/// If a service has no usable primary for this long, it is not expected back within moments, and
/// statements that need it are refused early.
const OUTAGE_THRESHOLD: Duration = Duration::from_secs(2);
/// Part of the route's goal that a statement may wait during an outage, in percent.
const OUTAGE_WAIT_PERCENT: u32 = 20;
/// Part of the route's goal after which an unanswered read is sent to another server, in percent.
const HEDGE_PERCENT: u32 = 60;

impl<P: Protocol, C: Clock> Loop<P, C> {
    pub(crate) fn on_accepted(&mut self, socket: TcpStream) {
        // Callers that have not taken their last bytes still hold a descriptor.
        let callers = self.sessions.len() + self.finishing_callers;
        if callers >= self.settings.max_callers {
            self.metrics.common.refusals.add("too_many_callers");
            return;
        }
        if let Err(error) = socket.set_nodelay(true) {
            tracing::debug!(%error, "caller disconnected before its session began");
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
                // Limits pipelined input of a caller to one message beyond the maximum size.
                if session.inbox.len() > self.settings.max_message {
                    session.handle.pause();
                }
                self.ready_sessions.push(key);
            }
            io::Event::Writable => {
                let events = &self.events;
                session.handle.on_writable(|out| {
                    io::notify_when_writable(
                        out,
                        events.clone(),
                        Event::Session(key, io::Event::Writable),
                    );
                });
                if session.closing.is_some() {
                    self.dirty_sessions.push(key);
                }
            }
            io::Event::ReadEnded => {
                if let Some(closing) = &mut session.closing {
                    closing.read_ended = true;
                }
                self.ready_sessions.push(key);
                self.dirty_sessions.push(key);
            }
            io::Event::Closed => self.remove_session(now, key),
        }
    }

    /// Processes a session's messages until one has to wait for a server.
    pub(crate) fn process_inbox(&mut self, now: Instant, key: SessionKey) {
        loop {
            let Some(session) = self.sessions.get_mut(key) else {
                return;
            };
            if session.query.is_some() || self.unconfirmed.contains(key) {
                return;
            }
            let inbox = session.inbox.split().freeze();
            let decoded = P::decode_request(&inbox, self.settings.max_message);
            let len = match decoded {
                Ok(Some((len, request))) => {
                    match session.closing {
                        None => self.on_caller_message(now, key, request),
                        Some(closing) => self.refuse_message(now, key, request, closing.refusal),
                    }
                    len
                }
                Ok(None) => 0,
                Err(invalid) => {
                    if session.closing.is_none() {
                        self.on_invalid(key, invalid);
                    }
                    inbox.len()
                }
            };
            let Some(session) = self.sessions.get_mut(key) else {
                return;
            };
            let mut unread = inbox;
            unread.advance(len);
            session.inbox = unread
                .try_into_mut()
                .unwrap_or_else(|shared| shared[..].into());
            if len == 0 {
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
        self.end_session(key, None);
    }

    fn on_caller_message(&mut self, now: Instant, key: SessionKey, request: Request<'_>) {
        let Some(session) = self.sessions.get_mut(key) else {
            return;
        };
        match request {
            // The answers to earlier statements are written first.
            Request::Terminate => self.end_session(key, None),
            Request::Startup {
                database,
                key: caller_key,
            } if session.digest.is_none() => self.on_startup(now, key, database, caller_key),
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
                self.roll_back_on_server(now, key);
                self.report_ended(key);
            }
            (Statement::Commit, State::Failed) => {
                self.roll_back_on_server(now, key);
                if let Some(session) = self.sessions.get_mut(key) {
                    session.transaction = None;
                }
                self.reject(key, Reason::TransactionLost);
            }
            (_, State::Failed) => self.reject(key, Reason::Malformed),
            (Statement::Begin { read_only }, State::Idle) => self.begin(key, read_only),
            (Statement::Set { name, value }, _) => {
                let full = session.variables.len() >= MAX_VARIABLES;
                if full && !session.variables.contains_key(name) {
                    return self.reject(key, Reason::TooLarge);
                }
                session.variables.insert(name.to_owned(), value.to_owned());
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
                let full = session.prepared.len() >= MAX_PREPARED_NAMES;
                if full && !session.prepared.contains_key(name) {
                    return self.reject(key, Reason::TooLarge);
                }
                let number = self.shape_number(access, shape);
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
                let access = self.shapes_by_number[number as usize].0;
                let kind = Kind::Execute {
                    access,
                    number,
                    arguments_start: text.len() - arguments.len(),
                };
                self.start_query(now, key, id, text, kind);
            }
            (Statement::Read, _) => self.start_query(now, key, id, text, Kind::Plain(Access::Read)),
            (Statement::Write, _) => {
                self.start_query(now, key, id, text, Kind::Plain(Access::Write))
            }
            (Statement::Commit, State::Open) => self.start_query(now, key, id, text, Kind::Commit),
            (Statement::Unknown | Statement::Begin { .. }, _)
            | (Statement::Commit | Statement::Rollback, State::Idle) => {
                self.reject(key, Reason::Malformed);
            }
        }
    }

    pub(crate) fn acknowledge(&mut self, key: SessionKey) {
        if let Some(session) = self.sessions.get_mut(key) {
            P::encode_complete(&mut session.out);
            let state = session.state();
            P::encode_ready(&mut session.out, state, None);
            self.dirty_sessions.push(key);
        }
    }

    /// The number by which servers know a shape.
    fn shape_number(&mut self, access: Access, shape: &str) -> u32 {
        let shape_key = (access, shape.to_owned());
        if let Some(number) = self.shapes.get(&shape_key) {
            return *number;
        }
        let number = u32::try_from(self.shapes_by_number.len()).unwrap_or(u32::MAX);
        self.shapes_by_number.push(shape_key.clone());
        self.shapes.insert(shape_key, number);
        number
    }

    /// Creates a query for a statement and looks for a server.
    fn start_query(&mut self, now: Instant, key: SessionKey, id: &str, text: &str, kind: Kind) {
        let transaction = self.sessions.get(key).and_then(|s| s.transaction.as_ref());
        if kind != Kind::Commit
            && kind.may_change()
            && transaction.is_some_and(|transaction| transaction.assumed_read_only)
        {
            return self.fail_assumed_read_only(now, key);
        }
        let route =
            transaction.map_or_else(|| self.route(key), |transaction| Ok(transaction.route));
        let route = match route {
            Ok(route) => route,
            Err(reason) => return self.reject_operation(key, reason),
        };
        let received_moment = self.clock.moment();
        let wait_limit = self.wait_limit(now, &route);
        let Some(session) = self.sessions.get_mut(key) else {
            return;
        };
        if let Some(transaction) = &mut session.transaction {
            transaction.idle_deadline = None;
        }
        session.query = Some(Query {
            id: id.to_owned(),
            text: text.to_owned(),
            kind,
            route,
            received_at: now,
            received_moment,
            deadline: now + route.timeout,
            wait_deadline: now + wait_limit,
            start_by: now + route.goal * START_PERCENT / 100,
            hedge_at: None,
            retry_at: None,
            stage: Stage::Waiting,
            has_token: false,
            after: None,
            tried_servers: Vec::new(),
            waits_for: None,
            retry_cause: None,
        });
        self.services[route.service].last_request_at = Some(now);
        if self.admit(now, key) {
            self.start_admitted(now, key);
        }
    }

    /// How long a statement may wait before it is refused.
    fn wait_limit(&self, now: Instant, route: &Route) -> Duration {
        let service = &self.services[route.service];
        let outage = service
            .unusable_since
            .is_some_and(|since| now >= since + OUTAGE_THRESHOLD);
        if outage || service.primary.is_none() {
            route.goal * OUTAGE_WAIT_PERCENT / 100
        } else {
            route.timeout * WAIT_PERCENT / 100
        }
    }

    /// Delay after which an unanswered read is sent to another server.
    pub(crate) fn hedge_delay(goal: Duration) -> Duration {
        goal * HEDGE_PERCENT / 100
    }
}

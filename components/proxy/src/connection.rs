//! Connections to servers: opening, closing, and the start of a statement on one.

use std::time::{Duration, Instant};

use bytes::Buf as _;
use link::io;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;
use types::Point;

use crate::event::{ConnKey, Event, SessionKey};
use crate::process::Loop;
use crate::protocol::{Command, Forward, Protocol};
use crate::server::{Conn, Expect};
use crate::session::{Kind, Stage};
use crate::timer::Timer;
use clock::Clock;

/// Time for a connection to a server.
const OPEN_LIMIT: Duration = Duration::from_millis(500);
/// Time after which a server that acknowledges no bytes counts as gone.
const SILENCE: Duration = Duration::from_secs(3);
/// Cause of the loss of a connection where nothing listens.
pub const REFUSED: &str = "refused";
/// How long a connection of the share stays idle, but for one that is kept.
const IDLE: Duration = Duration::from_secs(10);
/// How long a borrowed connection stays idle.
const BORROWED_IDLE: Duration = Duration::from_millis(150);
/// Time after which an opened connection has to have answered.
const STARTUP: Duration = Duration::from_millis(1500);

impl<P: Protocol, C: Clock> Loop<P, C> {
    /// Starts opening a connection, or asks another entry for one. Among those who wait there, the
    /// lowest rank goes first.
    pub(crate) fn open(&mut self, now: Instant, index: usize, rank: u8) {
        if !self.servers[index].borrows {
            return self.open_own(now, index);
        }
        if !self.ask_lender(now, index, rank) && self.servers[index].has_own_room(now) {
            self.open_own(now, index);
        }
    }

    /// Starts opening a connection of this entry's own.
    pub(crate) fn open_own(&mut self, now: Instant, index: usize) {
        let server = &mut self.servers[index];
        let key = self.conns.insert(Conn::new(index, now));
        server.conns.push(key);
        server.opening += 1;
        self.metrics.opened.inc();
        let (address, events) = (server.address, self.events.clone());
        spawn_local(async move {
            let opened = match timeout(OPEN_LIMIT, TcpStream::connect(address)).await {
                Ok(opened) => opened,
                Err(_) => Err(std::io::ErrorKind::TimedOut.into()),
            };
            let opened = opened.and_then(|socket| {
                link::socket::detect_silence(&socket, SILENCE)?;
                Ok(socket)
            });
            let _ended = events.send(Event::Opened(key, opened)).await;
        });
    }

    pub(crate) fn on_opened(
        &mut self,
        now: Instant,
        key: ConnKey,
        result: std::io::Result<TcpStream>,
    ) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let socket = match result {
            Ok(socket) => socket,
            Err(error) => {
                let server = &self.servers[conn.server];
                if server.paused_until().is_none_or(|until| until <= now) {
                    tracing::info!(id = server.id, %error, "connection not opened");
                }
                let refused = error.kind() == std::io::ErrorKind::ConnectionRefused;
                return self.on_conn_lost(now, key, if refused { REFUSED } else { "not_opened" });
            }
        };
        let events = self.events.clone();
        let wrap = move |event| Event::Conn(key, event);
        conn.handle = Some(io::spawn(socket, Default::default(), events, wrap));
        let server = &self.servers[conn.server];
        let service = &self.services[server.service].name;
        P::connect(&mut conn.out, service, &server.id);
        self.dirty_conns.push(key);
    }

    pub(crate) fn on_conn(&mut self, now: Instant, key: ConnKey, event: io::Event) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        match event {
            io::Event::Bytes(bytes) => {
                if self.pass_on(now, key, &bytes) {
                    return;
                }
                let Some(conn) = self.conns.get_mut(key) else {
                    return;
                };
                if conn.inbox.is_empty() {
                    conn.inbox = bytes;
                } else {
                    conn.inbox.extend_from_slice(&bytes);
                }
                self.read_answers(now, key);
            }
            io::Event::Room => {
                let events = &self.events;
                if let Some(handle) = &mut conn.handle {
                    handle.on_room(|out| {
                        io::wait_for_room(out, events.clone(), Event::Conn(key, io::Event::Room));
                    });
                }
            }
            io::Event::Closed => self.on_conn_lost(now, key, "closed"),
        }
    }

    /// Takes bytes of a server that came through another entry.
    pub(crate) fn on_bytes(&mut self, now: Instant, key: ConnKey, bytes: &[u8]) {
        if let Some(conn) = self.conns.get_mut(key) {
            conn.inbox.extend_from_slice(bytes);
            self.read_answers(now, key);
        }
    }

    /// Takes the complete messages of a server.
    fn read_answers(&mut self, now: Instant, key: ConnKey) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let mut rest = conn.inbox.split().freeze();
        loop {
            let (used, answer) = match P::answer(&rest, self.settings.max_message) {
                Ok(Some(found)) => found,
                Ok(None) => break,
                Err(invalid) => {
                    tracing::warn!(?invalid, "answer of a server not readable");
                    return self.on_conn_lost(now, key, "unreadable");
                }
            };
            let raw = rest.slice(..used);
            if !self.on_answer(now, key, &raw, answer) {
                return;
            }
            rest.advance(used);
        }
        if let Some(conn) = self.conns.get_mut(key) {
            conn.inbox = rest
                .try_into_mut()
                .unwrap_or_else(|shared| shared[..].into());
        }
    }

    /// Starts a session's work on a connection. `begin` asks for a transaction first.
    pub(crate) fn run(
        &mut self,
        now: Instant,
        key: SessionKey,
        conn_key: ConnKey,
        after: Option<Point>,
        begin: bool,
    ) {
        let (Some(session), Some(conn)) =
            (self.sessions.get_mut(key), self.conns.get_mut(conn_key))
        else {
            return;
        };
        let Some(work) = &mut session.work else {
            return;
        };
        work.stage = Stage::Preparing(conn_key);
        work.after = after;
        work.pause_until = None;
        if !work.tried.contains(&conn.server) {
            work.tried.push(conn.server);
        }
        if conn.session.replace(key).is_none() {
            self.servers[conn.server].running += 1;
        }
        conn.since = now;
        if conn.stale || conn.values != session.values {
            let known = |name: &String| session.values.contains_key(name);
            if conn.stale || !conn.values.keys().all(known) {
                conn.stale = false;
                P::command(&mut conn.out, Command::Reset);
                conn.expected.push_back(Expect::Setup);
                conn.values.clear();
                conn.prepared.clear();
            }
            for (name, value) in &session.values {
                if conn.values.get(name) != Some(value) {
                    P::command(&mut conn.out, Command::Set { name, value });
                    conn.expected.push_back(Expect::Setup);
                }
            }
            conn.values.clone_from(&session.values);
        }
        if let Kind::Execute { number, .. } = work.kind
            && conn.prepared.insert(number)
        {
            let (access, shape) = &self.numbered[number as usize];
            let prepare = Command::Prepare {
                number,
                access: *access,
                shape,
            };
            P::command(&mut conn.out, prepare);
            conn.expected.push_back(Expect::Setup);
        }
        self.dirty_conns.push(conn_key);
        if !begin {
            return self.send_statement(now, key, conn_key);
        }
        // Only a transaction that a replica may serve is begun as a reading one: a primary proves
        // that it leads by beginning one that may write.
        let read_only = after.is_some();
        P::command(&mut conn.out, Command::Begin { read_only, after });
        conn.wrapped = session.transaction.is_none();
        conn.expected.push_back(Expect::Begin {
            at: self.clock.moment(),
            writing: !read_only,
        });
        self.timers.add(work.due(), Timer::Session(key));
    }

    /// Sends the statement itself.
    pub(crate) fn send_statement(&mut self, now: Instant, key: SessionKey, conn_key: ConnKey) {
        let (Some(session), Some(conn)) =
            (self.sessions.get_mut(key), self.conns.get_mut(conn_key))
        else {
            return;
        };
        let Some(work) = &mut session.work else {
            return;
        };
        let in_transaction = session.transaction.is_some() || conn.wrapped;
        let forward = Forward {
            id: &work.id,
            after: work.after.filter(|_| !in_transaction),
            body: work.body(),
        };
        P::forward(&mut conn.out, forward);
        conn.expected.push_back(Expect::Statement {
            at: self.clock.moment(),
        });
        conn.since = now;
        let hedges = !work.kind.may_change() && session.transaction.is_none();
        work.hedge_at = hedges.then(|| now + Self::hedge(work.route.goal));
        work.stage = Stage::Sent(conn_key);
        let waited = now.saturating_duration_since(work.arrived);
        self.metrics.wait_seconds.observe(waited.as_secs_f64());
        self.timers.add(work.due(), Timer::Session(key));
        self.dirty_conns.push(conn_key);
    }

    /// Gives a connection back. What is open on it is rolled back first.
    pub(crate) fn release(&mut self, now: Instant, key: ConnKey, open: bool) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let server = &mut self.servers[conn.server];
        if conn.session.take().is_some() {
            server.running = server.running.saturating_sub(1);
        }
        conn.wrapped = false;
        conn.since = now;
        if open {
            P::command(&mut conn.out, Command::Rollback);
            conn.expected.push_back(Expect::Rollback);
            self.dirty_conns.push(key);
            return;
        }
        if !conn.expected.is_empty() {
            // Something is still to be answered; the connection is given back after that.
            return;
        }
        let service = server.service;
        if conn.loan.is_some() {
            self.lenders.idle.push(key);
        }
        if server.listed {
            server.idle.push(key);
            self.due.push(service);
        } else {
            self.close_conn(key);
        }
    }

    /// Closes a connection on which nothing runs.
    pub(crate) fn close_conn(&mut self, key: ConnKey) {
        self.give_back(key, false);
        let Some(conn) = self.conns.remove(key) else {
            return;
        };
        let server = &mut self.servers[conn.server];
        server.conns.retain(|other| *other != key);
        server.idle.retain(|other| *other != key);
        if conn.session.is_some() {
            server.running = server.running.saturating_sub(1);
        }
        if conn.expected.front() == Some(&Expect::Startup) {
            server.opening = server.opening.saturating_sub(1);
        }
    }

    /// Closes connections that were idle for long, and those whose server does not open them.
    pub(crate) fn close_idle(&mut self, now: Instant) {
        let mut surplus = Vec::new();
        for server in &self.servers {
            let mut borrowed = server.conns.len().saturating_sub(server.share);
            let mut last = server.idle.len().saturating_sub(1);
            if server.is_crowded() {
                (borrowed, last) = (server.idle.len(), server.idle.len());
            }
            // The ones that were idle longest come first.
            for (position, key) in server.idle.iter().take(last).enumerate() {
                let limit = if position < borrowed {
                    BORROWED_IDLE
                } else {
                    IDLE
                };
                let conn = self.conns.get(*key);
                if conn.is_some_and(|conn| now >= conn.since + limit) {
                    surplus.push(*key);
                }
            }
        }
        for key in surplus {
            self.close_conn(key);
        }
        let stuck = self.conns.iter().filter(|(_, conn)| {
            let starting = conn.expected.front() == Some(&Expect::Startup);
            let ending = conn.session.is_none() && !conn.expected.is_empty();
            (starting || ending) && now >= conn.since + OPEN_LIMIT + STARTUP
        });
        for key in stuck.map(|(key, _)| key).collect::<Vec<_>>() {
            self.on_conn_lost(now, key, "startup_unanswered");
        }
    }
}

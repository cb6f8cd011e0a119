//! Connections to servers: opening, closing, and starting a query on one.

use std::time::{Duration, Instant};

use bytes::Buf as _;
use link::io;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;
use types::Point;

use crate::conn::{Conn, Purpose};
use crate::event::{ConnKey, Event, SessionKey};
use crate::process::Loop;
use crate::protocol::{Command, Forward, Protocol};
use crate::session::{Kind, Stage, Urgency};
use crate::tenant;
use crate::timer::Timer;
use clock::Clock;

/// Time limit for opening a TCP connection to a server.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// A server that acknowledges no bytes for this long counts as gone.
const ACK_TIMEOUT: Duration = Duration::from_secs(3);
/// Cause of a lost connection if nothing listens on the server's address.
pub const CAUSE_REFUSED: &str = "refused";
/// How long a connection within the share may be idle. One connection is always kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection beyond the share may be idle.
const OVERCOMMIT_IDLE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time limit for the server's answer to the startup message.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(1500);

impl<P: Protocol, C: Clock> Loop<P, C> {
    /// Starts opening a connection, or asks a lender for one.
    pub(crate) fn open(
        &mut self,
        now: Instant,
        index: usize,
        tenant: Option<tenant::Id>,
        urgency: Urgency,
    ) {
        if !self.servers[index].uses_lenders {
            return self.open_own(now, index, tenant);
        }
        if !self.ask_lender(now, index, tenant, urgency) {
            self.on_no_lender(now, index, tenant);
        }
    }

    /// Starts opening a connection of this proxy's own.
    pub(crate) fn open_own(&mut self, now: Instant, index: usize, tenant: Option<tenant::Id>) {
        if tenant.is_some() {
            self.metrics.tenant_connections.add("opened");
        }
        self.open_after(now, index, tenant, None);
    }

    /// Starts opening a connection once `old` is closed, so that the server never counts both.
    pub(crate) fn open_after(
        &mut self,
        now: Instant,
        index: usize,
        tenant: Option<tenant::Id>,
        old: Option<io::Handle>,
    ) {
        let server = &mut self.servers[index];
        let key = self.conns.insert(Conn::new(index, tenant, now));
        server.conns.push(key);
        server.opening += 1;
        self.metrics.connections_opened.inc();
        let (address, events) = (server.address, self.events.clone());
        spawn_local(async move {
            let open = async {
                if let Some(old) = old {
                    old.close().await;
                }
                TcpStream::connect(address).await
            };
            let opened = match timeout(OPEN_TIMEOUT, open).await {
                Ok(opened) => opened,
                Err(_) => Err(std::io::ErrorKind::TimedOut.into()),
            };
            let opened = opened.and_then(|socket| {
                link::socket::detect_silence(&socket, ACK_TIMEOUT)?;
                Ok(socket)
            });
            let _ended = events.send(Event::ConnOpened(key, opened)).await;
        });
    }

    pub(crate) fn on_conn_opened(
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
                    tracing::info!(id = server.id, %error, "failed to connect to a server");
                }
                let refused = error.kind() == std::io::ErrorKind::ConnectionRefused;
                return self.on_conn_lost(
                    now,
                    key,
                    if refused { CAUSE_REFUSED } else { "not_opened" },
                );
            }
        };
        let events = self.events.clone();
        let wrap = move |event| Event::Conn(key, event);
        conn.handle = Some(io::spawn(socket, Default::default(), events, wrap));
        let server = &self.servers[conn.server];
        let service = &self.services[server.service].name;
        let tenant = conn.tenant.map(|tenant| self.directory.name(tenant));
        P::encode_startup(&mut conn.out, service, tenant, &server.id);
        self.dirty_conns.push(key);
    }

    pub(crate) fn on_conn(&mut self, now: Instant, key: ConnKey, event: io::Event) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        match event {
            io::Event::Bytes(bytes) => {
                if self.forward_to_borrower(now, key, &bytes) {
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
                self.process_answers(now, key);
            }
            io::Event::Writable => {
                let events = &self.events;
                if let Some(handle) = &mut conn.handle {
                    handle.on_writable(|out| {
                        io::notify_when_writable(
                            out,
                            events.clone(),
                            Event::Conn(key, io::Event::Writable),
                        );
                    });
                }
            }
            // Reading from servers is never ended.
            io::Event::ReadEnded => {}
            io::Event::Closed => self.on_conn_lost(now, key, "closed"),
        }
    }

    /// Handles bytes of a server that came through a lender.
    pub(crate) fn on_borrowed_bytes(&mut self, now: Instant, key: ConnKey, bytes: &[u8]) {
        if let Some(conn) = self.conns.get_mut(key) {
            conn.inbox.extend_from_slice(bytes);
            self.process_answers(now, key);
        }
    }

    /// Handles all complete messages of a server.
    fn process_answers(&mut self, now: Instant, key: ConnKey) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let mut unread = conn.inbox.split().freeze();
        loop {
            let (len, answer) = match P::decode_answer(&unread, self.settings.max_message) {
                Ok(Some(decoded)) => decoded,
                Ok(None) => break,
                Err(invalid) => {
                    tracing::warn!(
                        ?invalid,
                        "received an invalid message from a server; closing the connection"
                    );
                    return self.on_conn_lost(now, key, "unreadable");
                }
            };
            let raw = unread.slice(..len);
            if !self.on_answer(now, key, &raw, answer) {
                return;
            }
            unread.advance(len);
        }
        if let Some(conn) = self.conns.get_mut(key) {
            conn.inbox = unread
                .try_into_mut()
                .unwrap_or_else(|shared| shared[..].into());
        }
    }

    /// Starts a session's query on a connection. If `begin` is set, a transaction is begun first.
    pub(crate) fn start_on(
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
        let Some(query) = &mut session.query else {
            return;
        };
        query.stage = Stage::Preparing(conn_key);
        query.after = after;
        query.retry_at = None;
        if !query.tried_servers.contains(&conn.server) {
            query.tried_servers.push(conn.server);
        }
        if conn.session.replace(key).is_none() {
            self.servers[conn.server].running += 1;
        }
        conn.used_at = now;
        if conn.needs_reset || conn.variables != session.variables {
            let is_set = |name: &String| session.variables.contains_key(name);
            if conn.needs_reset || !conn.variables.keys().all(is_set) {
                conn.needs_reset = false;
                P::encode_command(&mut conn.out, Command::Reset);
                conn.pending.push_back(Purpose::Setup);
                conn.variables.clear();
                conn.prepared.clear();
            }
            for (name, value) in &session.variables {
                if conn.variables.get(name) != Some(value) {
                    P::encode_command(&mut conn.out, Command::Set { name, value });
                    conn.pending.push_back(Purpose::Setup);
                }
            }
            conn.variables.clone_from(&session.variables);
        }
        if let Kind::Execute { number, .. } = query.kind
            && conn.prepared.insert(number)
        {
            let (access, shape) = &self.shapes_by_number[number as usize];
            let prepare = Command::Prepare {
                number,
                access: *access,
                shape,
            };
            P::encode_command(&mut conn.out, prepare);
            conn.pending.push_back(Purpose::Setup);
        }
        self.dirty_conns.push(conn_key);
        if !begin {
            return self.send_statement(now, key, conn_key);
        }
        // Only a transaction that a replica may serve is begun as read-only: a primary proves its
        // leadership by beginning a transaction that may write.
        let read_only = after.is_some();
        P::encode_command(&mut conn.out, Command::Begin { read_only, after });
        conn.implicit_transaction = session.transaction.is_none();
        conn.pending.push_back(Purpose::Begin {
            sent_at: self.clock.moment(),
            writing: !read_only,
        });
        self.timers.add(query.next_due(), Timer::Session(key));
    }

    /// Sends the session's statement.
    pub(crate) fn send_statement(&mut self, now: Instant, key: SessionKey, conn_key: ConnKey) {
        let (Some(session), Some(conn)) =
            (self.sessions.get_mut(key), self.conns.get_mut(conn_key))
        else {
            return;
        };
        let Some(query) = &mut session.query else {
            return;
        };
        let in_transaction = session.transaction.is_some() || conn.implicit_transaction;
        let forward = Forward {
            id: &query.id,
            after: query.after.filter(|_| !in_transaction),
            body: query.body(),
        };
        P::encode_forward(&mut conn.out, forward);
        conn.pending.push_back(Purpose::Statement {
            sent_at: self.clock.moment(),
        });
        conn.used_at = now;
        let server = &self.servers[conn.server];
        let chosen = self
            .registry
            .chosen_primary(&self.services[server.service].name);
        conn.log_end = server.log_end;
        conn.token = chosen.map_or(0, |chosen| chosen.token);
        let hedges = !query.kind.may_change() && session.transaction.is_none();
        query.hedge_at = hedges.then(|| now + Self::hedge_delay(query.route.goal));
        query.stage = Stage::Sent(conn_key);
        let waited = now.saturating_duration_since(query.received_at);
        self.metrics.wait_seconds.observe(waited.as_secs_f64());
        self.timers.add(query.next_due(), Timer::Session(key));
        self.dirty_conns.push(conn_key);
    }

    /// Returns a connection to the idle ones. If a transaction is `open` on it, it is rolled back
    /// first.
    pub(crate) fn release(&mut self, now: Instant, key: ConnKey, open: bool) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let server = &mut self.servers[conn.server];
        if conn.session.take().is_some() {
            server.running = server.running.saturating_sub(1);
            let elapsed = now.saturating_duration_since(conn.used_at);
            server.times.on_used(elapsed);
        }
        conn.implicit_transaction = false;
        conn.used_at = now;
        if open {
            P::encode_command(&mut conn.out, Command::Rollback);
            conn.pending.push_back(Purpose::Rollback);
            self.dirty_conns.push(key);
            return;
        }
        if !conn.pending.is_empty() {
            // The connection becomes idle once the pending answers have arrived.
            return;
        }
        let service = server.service;
        if conn.loan.is_some() {
            self.lenders.idle_loans.push(key);
        }
        if server.listed {
            server.idle.push(key);
            self.due_services.push(service);
        } else {
            self.close_conn(key);
        }
    }

    /// Closes a connection on which nothing runs.
    pub(crate) fn close_conn(&mut self, key: ConnKey) {
        self.return_loan(key, false);
        let Some(conn) = self.conns.remove(key) else {
            return;
        };
        let server = &mut self.servers[conn.server];
        server.conns.retain(|other| *other != key);
        server.idle.retain(|other| *other != key);
        if conn.session.is_some() {
            server.running = server.running.saturating_sub(1);
        }
        if conn.pending.front() == Some(&Purpose::Startup) {
            server.opening = server.opening.saturating_sub(1);
        }
    }

    /// Closes connections that have been idle too long and those whose startup or rollback is not
    /// answered.
    pub(crate) fn close_idle(&mut self, now: Instant) {
        let mut expired = Vec::new();
        for server in &self.servers {
            let mut beyond_share = server.conns.len().saturating_sub(server.share);
            let mut closable = server.idle.len().saturating_sub(1);
            if server.is_oversubscribed() {
                (beyond_share, closable) = (server.idle.len(), server.idle.len());
            }
            // The connections that have been idle longest come first.
            for (position, key) in server.idle.iter().take(closable).enumerate() {
                let limit = if position < beyond_share {
                    OVERCOMMIT_IDLE_TIMEOUT
                } else {
                    IDLE_TIMEOUT
                };
                let conn = self.conns.get(*key);
                if conn.is_some_and(|conn| now >= conn.used_at + limit) {
                    expired.push(*key);
                }
            }
        }
        for key in expired {
            self.close_conn(key);
        }
        self.close_departed(now);
        let unanswered = self.conns.iter().filter(|(_, conn)| {
            let in_startup = conn.pending.front() == Some(&Purpose::Startup);
            let in_rollback = conn.session.is_none() && !conn.pending.is_empty();
            (in_startup || in_rollback) && now >= conn.used_at + OPEN_TIMEOUT + STARTUP_TIMEOUT
        });
        for key in unanswered.map(|(key, _)| key).collect::<Vec<_>>() {
            self.on_conn_lost(now, key, "startup_unanswered");
        }
    }
}

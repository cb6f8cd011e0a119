//! Callers' connections: startup, incoming bytes, cancel requests and disconnection.

use std::time::{Duration, Instant};

use bytes::BytesMut;
use pg::{Severity, Status};
use rand::RngExt as _;
use relay::statement::Names;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use types::Name;

use crate::caller::{self, Caller, State, Weight};
use crate::event::{CallerKey, Event};
use crate::event_loop::Loop;
use crate::parameters::Parameters as _;
use crate::startup::{self, Client, Outcome};
use link::io;

use crate::connect;

/// Verifier requests of one connection that wait for the event loop; each connection sends one.
const LOGIN_QUEUE_LEN: usize = 1;
/// Time limit for a cancel connection to a target.
pub const CANCEL_TIMEOUT: Duration = Duration::from_secs(5);
/// Message of the 57P01 error that a stopping entry sends.
pub const STOPPING_TEXT: &str = "terminating connection: this entry stops, connect again";
/// Parameters that client drivers require, sent to callers that connect before any target has
/// reported its own.
const DEFAULT_PARAMETERS: [(&str, &str); 7] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

impl Loop {
    pub(crate) fn on_accepted(&mut self, socket: TcpStream) {
        let refusal = if self.callers.len() >= self.settings.max_callers {
            Some("too_many_callers")
        } else if self.starting_connections >= self.settings.max_starting {
            Some("too_many_starting")
        } else {
            None
        };
        if let Some(reason) = refusal {
            self.metrics.common.refusals.add(reason);
            return;
        }
        if socket.set_nodelay(true).is_err() {
            return;
        }
        self.starting_connections += 1;
        let (events, limit) = (self.events.clone(), self.settings.start_timeout);
        let (logins, mut login_requests) = mpsc::channel(LOGIN_QUEUE_LEN);
        spawn_local(async move {
            let forward = async {
                while let Some(login) = login_requests.recv().await {
                    if events.send(Event::Login(login)).await.is_err() {
                        return;
                    }
                }
            };
            let (outcome, ()) = tokio::join!(startup::start(socket, logins, limit), forward);
            let _ended = events.send(Event::Startup(outcome)).await;
        });
    }

    pub(crate) fn on_startup(&mut self, _now: Instant, outcome: Outcome) {
        self.starting_connections -= 1;
        match outcome {
            Outcome::Authenticated(client) => self.start_caller(*client),
            Outcome::Cancel { process, secret } => self.on_cancel(process, secret),
            Outcome::Refused(reason) => self.metrics.common.refusals.add(reason.as_str()),
        }
    }

    fn start_caller(&mut self, client: Client) {
        let Client {
            socket,
            rest,
            parameters,
        } = client;
        if self.stop.is_some() {
            self.metrics.common.refusals.add("stopping");
            return reject(socket, "57P01", STOPPING_TEXT);
        }
        let parameter = |name: &str| {
            let found = parameters.iter().find(|(known, _)| known == name);
            found.map(|(_, value)| value.as_str())
        };
        let user = parameter("user").unwrap_or_default();
        let name = parameter("database").unwrap_or(user).to_owned();
        let database = Name::try_from(name.as_str()).ok();
        let Some(database) = database.filter(|name| self.databases.contains_key(name)) else {
            let has_catalog = self.control.catalog().is_some();
            let (reason, code) = if has_catalog {
                ("unknown_database", "3D000")
            } else {
                ("lease", "57P03")
            };
            self.metrics.common.refusals.add(reason);
            reject(
                socket,
                code,
                &format!("database \"{name}\" is not known here"),
            );
            return;
        };
        let mut profile = self.new_profile(database);
        if let Err(refusal) = self.set_start_parameters(&mut profile, &parameters) {
            self.metrics.common.refusals.add("parameter");
            reject(socket, refusal.code, &refusal.text);
            return;
        }
        let Profile {
            database,
            process,
            secret,
            session,
            max_age,
            weight,
            parameters,
        } = profile;
        let events = self.events.clone();
        let key = self.callers.insert_with_key(|key| Caller {
            handle: io::spawn(socket, rest, events, move |event| Event::Caller(key, event)),
            inbox: BytesMut::new(),
            out: BytesMut::new(),
            database,
            process,
            secret,
            statement_names: Names::default(),
            state: State::Idle,
            status: Status::Idle,
            transaction: None,
            bound_conn: None,
            unreported_loss: false,
            unsynced: false,
            unsynced_wrote: false,
            closing: false,
            session,
            max_age,
            weight,
            parameters,
        });
        self.callers_by_process.insert(process, key);
        self.metrics.callers.inc();
        self.send_startup(key);
    }

    fn new_profile(&mut self, database: Name) -> Profile {
        let process = loop {
            let process = self.rng.random_range(1..i32::MAX);
            if !self.callers_by_process.contains_key(&process) {
                break process;
            }
        };
        Profile {
            database,
            process,
            secret: self.rng.random(),
            session: caller::new_session(self.rng.random()),
            max_age: None,
            weight: Weight::default(),
            parameters: Vec::new(),
        }
    }

    /// Sets the parameters of the startup message and of its `options`.
    fn set_start_parameters(
        &self,
        profile: &mut Profile,
        startup_parameters: &[(String, String)],
    ) -> Result<(), crate::parameters::Refusal> {
        let mut view = caller::View {
            session: &mut profile.session,
            max_age: &mut profile.max_age,
            weight: &mut profile.weight,
            parameters: &mut profile.parameters,
            signer: &self.signer,
        };
        for (name, value) in startup_parameters {
            match name.as_str() {
                "user" | "database" => {}
                "options" => {
                    for (name, value) in options(value) {
                        view.set(&name, &value)?;
                    }
                }
                name if name.starts_with("_pq_.") => {}
                name => view.set(&name.to_ascii_lowercase(), value)?,
            }
        }
        Ok(())
    }

    fn send_startup(&mut self, key: CallerKey) {
        let parameters = std::mem::take(&mut self.target_parameters);
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let out = &mut caller.out;
        pg::auth_ok(out);
        for (name, value) in &parameters {
            pg::parameter_status(out, name, value);
        }
        for (name, value) in DEFAULT_PARAMETERS {
            if !parameters.iter().any(|(known, _)| known == name) {
                pg::parameter_status(out, name, value);
            }
        }
        pg::backend_key_data(out, caller.process, caller.secret);
        pg::ready_for_query(out, Status::Idle);
        self.target_parameters = parameters;
        self.dirty_callers.push(key);
    }

    pub(crate) fn on_caller_event(&mut self, now: Instant, key: CallerKey, event: io::Event) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        match event {
            // The caller was sent a FATAL error, so none of its later messages may run.
            io::Event::Bytes(_) if caller.closing => return,
            io::Event::Bytes(bytes) if caller.inbox.is_empty() => caller.inbox = bytes,
            io::Event::Bytes(bytes) => caller.inbox.extend_from_slice(&bytes),
            io::Event::Writable => {
                let events = &self.events;
                caller.handle.on_writable(|out| {
                    io::notify_when_writable(
                        out,
                        events.clone(),
                        Event::Caller(key, io::Event::Writable),
                    );
                });
                self.apply_backpressure(key);
                // Removes a closing caller whose last bytes have now been sent.
                self.remove_if_done(key);
                return;
            }
            io::Event::ReadEnded => return,
            io::Event::Closed => return self.on_caller_closed(now, key),
        }
        // A caller may pipeline batches. Beyond this limit its socket is not read until some of
        // them are answered.
        if caller.inbox.len() > 2 * self.settings.max_frame {
            caller.handle.pause();
        }
        self.ready_callers.push(key);
    }

    /// The caller has disconnected: its answers are dropped and its transaction is rolled back.
    fn on_caller_closed(&mut self, now: Instant, key: CallerKey) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        caller.closing = true;
        caller.inbox.clear();
        match caller.state {
            State::Idle | State::Acknowledging => self.remove_caller(now, key),
            State::Routing(_) | State::Queued(..) => {
                self.withdraw(key);
                self.remove_caller(now, key);
            }
            // The statement runs to completion so that its connection can be reused; the answer is
            // dropped.
            State::Running(_) => {}
        }
    }

    /// Removes a caller that has no running statement, and closes the connection of its
    /// transaction.
    pub(crate) fn remove_caller(&mut self, now: Instant, key: CallerKey) {
        let Some(mut caller) = self.callers.remove(key) else {
            return;
        };
        self.callers_by_process.remove(&caller.process);
        for id in caller.statement_names.drain() {
            self.statements.release(id);
        }
        self.metrics.callers.dec();
        if let Some(conn) = caller.bound_conn {
            // Closing the connection makes the target roll the transaction back.
            self.close_conn(now, conn);
        }
        if let Some(database) = self.databases.get_mut(&caller.database) {
            database.waiting_callers.retain(|waiting| *waiting != key);
            database.pending_acks.retain(|ack| ack.caller != key);
        }
    }

    /// Removes a closing caller once its last bytes have been passed to its socket.
    pub(crate) fn remove_if_done(&mut self, key: CallerKey) {
        let done = self.callers.get(key).is_some_and(|caller| {
            caller.closing
                && matches!(caller.state, State::Idle)
                && caller.handle.backlog_bytes() == 0
        });
        if done {
            self.remove_caller(crate::event_loop::now(), key);
        }
    }

    fn on_cancel(&mut self, process: i32, secret: i32) {
        let key = self.callers_by_process.get(&process).copied();
        let caller = key.and_then(|key| Some((key, self.callers.get(key)?)));
        let Some((key, caller)) = caller.filter(|(_, caller)| caller.secret == secret) else {
            self.metrics.cancels.add("unknown");
            return;
        };
        match caller.state {
            State::Idle | State::Acknowledging => self.metrics.cancels.add("too_late"),
            State::Routing(_) | State::Queued(..) => {
                self.metrics.cancels.add("waiting");
                self.withdraw(key);
                self.refuse(
                    key,
                    "cancelled",
                    "57014",
                    "canceling statement due to user request",
                );
            }
            State::Running(conn_key) => {
                let Some(conn) = self.conns.get_mut(conn_key) else {
                    return;
                };
                self.metrics.cancels.add("sent");
                conn.pending_cancels += 1;
                let address = self.targets[conn.target_index].address;
                let (process, secret) = (conn.process, conn.secret);
                let events = self.events.clone();
                spawn_local(async move {
                    connect::cancel(address, process, secret, CANCEL_TIMEOUT).await;
                    let _ended = events.send(Event::Cancelled(conn_key)).await;
                });
            }
        }
    }
}

/// State of a caller whose startup message is being applied, before the session is accepted.
struct Profile {
    database: Name,
    process: i32,
    secret: i32,
    session: session::Session,
    max_age: Option<Duration>,
    weight: Weight,
    parameters: Vec<(String, String)>,
}

/// Parameters given as `-c name=value` or `--name=value` in the startup options.
fn options(text: &str) -> Vec<(String, String)> {
    let mut arguments = text.split_ascii_whitespace();
    let mut parameters = Vec::new();
    while let Some(argument) = arguments.next() {
        let pair = if argument == "-c" {
            arguments.next()
        } else {
            argument
                .strip_prefix("-c")
                .or_else(|| argument.strip_prefix("--"))
        };
        if let Some((name, value)) = pair.and_then(|pair| pair.split_once('=')) {
            parameters.push((name.to_ascii_lowercase(), value.to_owned()));
        }
    }
    parameters
}

/// Sends a FATAL error and closes the connection.
fn reject(mut socket: TcpStream, code: &str, text: &str) {
    let mut out = BytesMut::new();
    pg::error_response(&mut out, Severity::Fatal, code, text);
    spawn_local(async move {
        use tokio::io::AsyncWriteExt as _;
        // The peer may have disconnected already.
        let _sent = socket.write_all(&out).await;
        let _closed = socket.shutdown().await;
    });
}

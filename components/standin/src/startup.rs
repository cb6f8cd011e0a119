//! Start of a connection: negotiation, start-up, cancel requests.

use std::time::Duration;

use bytes::Bytes;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::startup::{NegotiateProtocolVersion, SecretKey, Startup};
use pgwire::messages::{PgWireFrontendMessage, SslNegotiationMetaMessage};

use crate::failure::Failure;
use crate::reply;
use crate::server::{Server, Timer};
use crate::session::{Phase, Stage};
use crate::settings;

impl Server {
    /// Handles a message before start-up has been accepted.
    pub(crate) fn on_first(&mut self, id: u64, message: PgWireFrontendMessage) {
        match message {
            PgWireFrontendMessage::SslNegotiation(
                SslNegotiationMetaMessage::PostgresSsl(_)
                | SslNegotiationMetaMessage::PostgresGss(_),
            ) => {
                if let Some(session) = self.sessions.get(&id) {
                    session.send(Bytes::from_static(b"N"));
                }
            }
            PgWireFrontendMessage::Startup(startup) => self.start(id, startup),
            PgWireFrontendMessage::CancelRequest(request) => {
                self.cancel(&request);
                self.remove(id);
            }
            _ => self.remove(id),
        }
    }

    fn start(&mut self, id: u64, startup: Startup) {
        if startup.protocol_number_minor > 0
            && let Some(session) = self.sessions.get_mut(&id)
        {
            let names = startup.parameters.keys();
            let unknown = names.filter(|name| name.starts_with("_pq_.")).cloned();
            let answer = NegotiateProtocolVersion::new(0, unknown.collect());
            reply::put(&mut session.reply, &answer);
        }
        if startup.parameters.contains_key("replication") {
            return self.start_replica(id, &startup);
        }
        if self.connections >= self.config.connections {
            return self.refuse(id, "53300", "sorry, too many clients already");
        }
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        for (name, value) in startup.parameters {
            match name.as_str() {
                "options" => session.base.extend(options(&value)),
                _ => {
                    session.base.insert(name.to_lowercase(), value);
                }
            }
        }
        let user = session.base.entry("user".to_owned()).or_default().clone();
        session.base.entry("database".to_owned()).or_insert(user);
        session.settings = session.base.clone();
        session.phase = Phase::Opening;
        self.connections += 1;
        if self.config.open == Duration::ZERO {
            self.opened(id);
        } else {
            let due = self.now + self.config.open;
            self.timers.insert((due, Timer::Open(id)));
        }
    }

    /// Accepts a connection whose simulated time to open is over.
    pub(crate) fn opened(&mut self, id: u64) {
        let recovery = self.standby.recovery;
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session.phase = Phase::Open;
        let out = &mut session.reply;
        reply::authenticated(out);
        for (name, value) in settings::REPORTED {
            let own = settings::show(name, &session.settings, recovery);
            reply::parameter(out, name, own.as_deref().unwrap_or(value));
        }
        let hot_standby = if recovery { "on" } else { "off" };
        reply::parameter(out, "in_hot_standby", hot_standby);
        reply::key(out, session.pid, session.secret);
        reply::ready(out, pgwire::messages::response::TransactionStatus::Idle);
        self.ready.push_back(id);
    }

    /// Refuses a connection with an error.
    pub(crate) fn refuse(&mut self, id: u64, code: &'static str, text: &str) {
        if let Some(session) = self.sessions.get_mut(&id) {
            reply::fatal(&mut session.reply, code, text);
            session.flush(None);
        }
        self.remove(id);
    }

    /// Cancels the statement of the session that a key names; a wrong key has no effect.
    fn cancel(&mut self, request: &CancelRequest) {
        let key = SecretKey::as_i32(&request.secret_key);
        let mut sessions = self.sessions.iter_mut();
        let Some((id, session)) =
            sessions.find(|(_, s)| s.pid == request.pid && Some(s.secret) == key)
        else {
            return;
        };
        let id = *id;
        let blocked = session
            .job
            .as_ref()
            .is_some_and(|job| matches!(job.stage, Stage::Served | Stage::Locked));
        if blocked {
            self.slots.cancel(self.now, id);
            self.locks.stop_waiting(id);
            self.fail(id, &Failure::canceled());
            self.ready.push_back(id);
        }
    }
}

/// Reads the parameters of the start-up option string, `-c name=value` or `--name=value` each.
fn options(raw: &str) -> impl Iterator<Item = (String, String)> + use<'_> {
    raw.split_whitespace().filter_map(|word| {
        let word = word.trim_start_matches("--").trim_start_matches("-c");
        let (name, value) = word.split_once('=')?;
        Some((name.to_lowercase(), value.to_owned()))
    })
}

//! Start of a connection: encryption requests, start-up messages and cancel requests.

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
    /// Handles a message of a connection that has not sent a start-up message yet.
    pub(crate) fn on_startup_message(&mut self, id: u64, message: PgWireFrontendMessage) {
        match message {
            PgWireFrontendMessage::SslNegotiation(
                SslNegotiationMetaMessage::PostgresSsl(_)
                | SslNegotiationMetaMessage::PostgresGss(_),
            ) => {
                if let Some(session) = self.sessions.get(&id) {
                    session.send(Bytes::from_static(b"N"));
                }
            }
            PgWireFrontendMessage::Startup(startup) => self.start_session(id, startup),
            PgWireFrontendMessage::CancelRequest(request) => {
                self.cancel(&request);
                self.remove_session(id);
            }
            _ => self.remove_session(id),
        }
    }

    fn start_session(&mut self, id: u64, startup: Startup) {
        if startup.protocol_number_minor > 0
            && let Some(session) = self.sessions.get_mut(&id)
        {
            let names = startup.parameters.keys();
            let unsupported = names.filter(|name| name.starts_with("_pq_.")).cloned();
            let negotiation = NegotiateProtocolVersion::new(0, unsupported.collect());
            reply::put(&mut session.write_buffer, &negotiation);
        }
        if startup.parameters.contains_key("replication") {
            return self.start_replica(id, &startup);
        }
        if self.connections >= self.config.connections {
            return self.terminate(id, "53300", "sorry, too many clients already");
        }
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        for (name, value) in startup.parameters {
            match name.as_str() {
                "options" => session.default_settings.extend(parse_options(&value)),
                _ => {
                    session.default_settings.insert(name.to_lowercase(), value);
                }
            }
        }
        let user = session
            .default_settings
            .entry("user".to_owned())
            .or_default()
            .clone();
        session
            .default_settings
            .entry("database".to_owned())
            .or_insert(user);
        session.settings = session.default_settings.clone();
        session.phase = Phase::Opening;
        self.connections += 1;
        if self.config.open == Duration::ZERO {
            self.finish_opening(id);
        } else {
            let due = self.now + self.config.open;
            self.timers.insert((due, Timer::FinishOpening(id)));
        }
    }

    /// Accepts the start-up of a session whose simulated time to open is over.
    pub(crate) fn finish_opening(&mut self, id: u64) {
        let in_recovery = self.standby.in_recovery;
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session.phase = Phase::Open;
        let out = &mut session.write_buffer;
        reply::authentication_ok(out);
        for (name, value) in settings::REPORTED {
            let shown = settings::show(name, &session.settings, in_recovery);
            reply::parameter_status(out, name, shown.as_deref().unwrap_or(value));
        }
        let hot_standby = if in_recovery { "on" } else { "off" };
        reply::parameter_status(out, "in_hot_standby", hot_standby);
        reply::backend_key_data(out, session.pid, session.secret);
        reply::ready_for_query(out, pgwire::messages::response::TransactionStatus::Idle);
        self.ready.push_back(id);
    }

    /// Ends a session with an error.
    pub(crate) fn terminate(&mut self, id: u64, code: &'static str, text: &str) {
        if let Some(session) = self.sessions.get_mut(&id) {
            reply::fatal(&mut session.write_buffer, code, text);
            session.flush(None);
        }
        self.remove_session(id);
    }

    /// Cancels the statement of the session with the given key if it waits for a slot, for a lock
    /// or for the end of its execution time. A wrong key has no effect.
    fn cancel(&mut self, request: &CancelRequest) {
        let key = SecretKey::as_i32(&request.secret_key);
        let mut sessions = self.sessions.iter_mut();
        let Some((id, session)) =
            sessions.find(|(_, s)| s.pid == request.pid && Some(s.secret) == key)
        else {
            return;
        };
        let id = *id;
        let waiting = session
            .job
            .as_ref()
            .is_some_and(|job| matches!(job.stage, Stage::Delayed | Stage::WaitingForLock));
        if waiting {
            self.slots.cancel(self.now, id);
            self.locks.stop_waiting(id);
            self.fail(id, &Failure::canceled());
            self.ready.push_back(id);
        }
    }
}

/// Parses the start-up parameter `options`: a list of `-c name=value` or `--name=value`.
fn parse_options(raw: &str) -> impl Iterator<Item = (String, String)> + use<'_> {
    raw.split_whitespace().filter_map(|word| {
        let word = word.trim_start_matches("--").trim_start_matches("-c");
        let (name, value) = word.split_once('=')?;
        Some((name.to_lowercase(), value.to_owned()))
    })
}

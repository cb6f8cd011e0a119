//! Replication, promotion and demotion.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use pgwire::messages::startup::Startup;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::failure::{Outcome, failure};
use crate::reply;
use crate::server::{Server, Timer};
use crate::session::Phase;
use crate::upstream::{self, IDENTITY_PARAMETER, POSITION_PARAMETER, Position, TIMELINE_PARAMETER};
use crate::wal::{self, Ancestor, Message, Record};

/// Error message of sessions that end with a demotion or shutdown.
pub(crate) const TERMINATED_MESSAGE: &str = "terminating connection due to administrator command";

/// Pause before a replica connects to its primary again.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// State of replication on a replica.
#[derive(Debug)]
pub(crate) struct Standby {
    pub(crate) in_recovery: bool,
    /// Has a database; a new replica has none and needs a full copy.
    initialized: bool,
    /// Accepts a copy of another database, because the address of the primary was changed.
    accepts_other_database: bool,
    /// Reason of the last rejection of a primary; it is logged only when it changes.
    last_rejection: Option<&'static str>,
    /// Address of the primary.
    primary: Option<SocketAddr>,
    /// Value of `ALTER SYSTEM SET primary_conninfo` that takes effect on the next reload.
    pending_primary: Option<Option<SocketAddr>>,
    /// Number of the current connection; events of earlier ones are ignored.
    connection: u64,
    task: Option<AbortHandle>,
    /// Timeline and history of the connected primary.
    primary_history: Option<(u64, Vec<Ancestor>)>,
    /// Received records with the deadlines at which they are replayed.
    replay_queue: VecDeque<(Instant, Record)>,
    pub(crate) lag: Duration,
    pub(crate) received_lsn: Option<u64>,
    /// End of the replayed log when this server was promoted.
    pub(crate) promotion_lsn: Option<u64>,
}

impl Standby {
    pub(crate) fn new(primary: Option<SocketAddr>, lag: Duration) -> Self {
        Self {
            in_recovery: primary.is_some(),
            initialized: primary.is_none(),
            accepts_other_database: false,
            last_rejection: None,
            primary,
            pending_primary: None,
            connection: 0,
            task: None,
            primary_history: None,
            replay_queue: VecDeque::new(),
            lag,
            received_lsn: None,
            promotion_lsn: None,
        }
    }

    /// Closes the connection; the records that it has delivered are still replayed.
    fn disconnect(&mut self) {
        self.connection += 1;
        self.primary_history = None;
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}

impl Drop for Standby {
    fn drop(&mut self) {
        self.disconnect();
    }
}

impl Server {
    /// Connects to the primary, unless there is a connection already.
    pub(crate) fn connect_if_disconnected(&mut self) {
        if self.standby.task.is_none() {
            self.connect();
        }
    }

    /// Closes the connection to the primary, and opens a new one if this is a replica with a
    /// primary.
    pub(crate) fn connect(&mut self) {
        self.standby.disconnect();
        let Some(primary) = self.standby.primary.filter(|_| self.standby.in_recovery) else {
            return;
        };
        let (timeline, end) = match self.standby.replay_queue.back() {
            Some((_, last)) => (last.timeline, last.end),
            None if self.standby.initialized => (self.wal.timeline, self.wal.end),
            // No log contains this position, so the primary sends a full copy.
            None => (0, 0),
        };
        let position = Position {
            identity: self.wal.identity,
            timeline,
            end,
        };
        self.standby.received_lsn = self.standby.initialized.then_some(position.end);
        let events = self.events.clone();
        let connection = self.standby.connection;
        let task = tokio::spawn(upstream::run(primary, connection, position, events));
        self.standby.task = Some(task.abort_handle());
    }

    /// Disconnects from a primary that it must not follow; it connects again later, as the primary
    /// may have changed by then.
    fn reject_primary(&mut self, reason: &'static str) {
        if self.standby.last_rejection.replace(reason) != Some(reason) {
            tracing::warn!(
                target = %self.config.target,
                reason,
                "rejected the primary; connecting again later"
            );
        }
        self.reconnect_later();
    }

    fn reconnect_later(&mut self) {
        self.standby.disconnect();
        let due = self.now + RECONNECT_DELAY;
        self.timers.insert((due, Timer::Connect));
    }

    pub(crate) fn on_upstream_closed(&mut self, connection: u64) {
        if connection == self.standby.connection && self.standby.in_recovery {
            self.reconnect_later();
        }
    }

    pub(crate) fn on_upstream(&mut self, connection: u64, message: Message) {
        if connection != self.standby.connection || !self.standby.in_recovery {
            return;
        }
        let target = &self.config.target;
        let last = self.standby.replay_queue.back();
        let own_timeline = last.map_or(self.wal.timeline, |(_, record)| record.timeline);
        let accepts_other_database =
            !self.standby.initialized || self.standby.accepts_other_database;
        match message {
            Message::Copy { timeline, .. } | Message::Resume { timeline, .. }
                if timeline < own_timeline =>
            {
                self.reject_primary("primary is on an older timeline");
            }
            // A primary that restarted without its data must not erase the data of its replicas.
            Message::Copy { identity, .. }
                if !accepts_other_database && identity != self.wal.identity =>
            {
                self.reject_primary("primary holds another database");
            }
            Message::Copy {
                identity,
                store,
                timeline,
                end,
                history,
            } => {
                tracing::info!(%target, timeline, end, "rebuilt from a copy of the primary");
                self.store = store;
                self.standby.replay_queue.clear();
                self.standby.initialized = true;
                self.wal.identity = identity;
                self.standby.accepts_other_database = false;
                self.standby.last_rejection = None;
                self.wal.reset(timeline, end, history.clone());
                self.standby.received_lsn = Some(end);
                self.standby.primary_history = Some((timeline, history));
            }
            Message::Resume {
                timeline, history, ..
            } => {
                self.standby.accepts_other_database = false;
                self.standby.last_rejection = None;
                tracing::info!(
                    %target,
                    timeline,
                    from = self.wal.end,
                    "resumed replication from the primary"
                );
                self.wal.adopt_history(timeline, &history);
                self.standby.primary_history = Some((timeline, history));
            }
            Message::Record(record) => {
                self.standby.received_lsn = Some(record.end);
                let due = self.now + self.standby.lag;
                self.standby.replay_queue.push_back((due, record));
                self.replay();
            }
        }
    }

    /// Replays the received records that are due.
    pub(crate) fn replay(&mut self) {
        while !self.faults.replay_paused
            && let Some((due, _)) = self.standby.replay_queue.front()
        {
            if *due > self.now {
                self.timers.insert((*due, Timer::Replay));
                return;
            }
            let Some((_, record)) = self.standby.replay_queue.pop_front() else {
                return;
            };
            if record.start != self.wal.end {
                // The log has a gap; reconnects at the position reached.
                self.standby.replay_queue.clear();
                return self.reconnect_later();
            }
            for change in &record.changes {
                self.store.apply(change.clone());
            }
            self.wal.push(record);
            if let Some((timeline, history)) = &self.standby.primary_history {
                self.wal.adopt_history(*timeline, history);
            }
        }
    }

    /// Turns this replica into a primary on the next timeline. Log that was received but not yet
    /// replayed is lost: the simulated lag stands for a delay of the network.
    pub(crate) fn promote(&mut self) {
        self.standby.disconnect();
        self.standby.replay_queue.clear();
        self.standby.in_recovery = false;
        self.standby.primary = None;
        self.standby.pending_primary = None;
        self.standby.promotion_lsn = Some(self.wal.end);
        self.wal.fork();
        let (target, timeline, start) = (&self.config.target, self.wal.timeline, self.wal.end);
        tracing::info!(%target, timeline, start, "promoted");
        let sessions = self.sessions.iter().filter(|(_, s)| s.phase == Phase::Open);
        for id in sessions.map(|(id, _)| *id).collect::<Vec<_>>() {
            if let Some(session) = self.sessions.get_mut(&id) {
                reply::parameter_status(&mut session.write_buffer, "in_hot_standby", "off");
            }
            self.flush(id);
        }
        self.announce();
    }

    /// Stores the value of `ALTER SYSTEM SET`, which takes effect with `pg_reload_conf()`.
    pub(crate) fn alter_system(&mut self, name: &str, value: &str) -> Outcome<()> {
        if name != "primary_conninfo" {
            let text = format!("unrecognized configuration parameter \"{name}\"");
            return failure("42704", text);
        }
        let value_of = |wanted_key: &str| {
            let mut pairs = value
                .split_whitespace()
                .filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == wanted_key)
                .map(|(_, value)| value.trim_matches('\''))
        };
        let host = value_of("hostaddr").or_else(|| value_of("host"));
        let address = host
            .zip(value_of("port"))
            .and_then(|(host, port)| Some(SocketAddr::new(host.parse().ok()?, port.parse().ok()?)));
        if address.is_none() && !value.trim().is_empty() {
            let text = "primary_conninfo needs host=ADDRESS port=NUMBER";
            return failure("22023", text);
        }
        self.standby.pending_primary = Some(address);
        Ok(())
    }

    /// Applies a changed `primary_conninfo`; a primary that gets one becomes a replica.
    pub(crate) fn reload(&mut self, id: u64) {
        let Some(primary) = self.standby.pending_primary.take() else {
            return;
        };
        if !self.standby.in_recovery {
            if primary.is_none() {
                return;
            }
            self.demote(id);
        } else if primary == self.standby.primary {
            return;
        }
        let target = &self.config.target;
        tracing::info!(
            %target,
            primary = primary.map(|address| address.to_string()),
            "primary changed"
        );
        self.standby.primary = primary;
        self.standby.accepts_other_database = true;
        self.connect();
    }

    /// Turns this primary into a replica. All sessions except the given one end, as in a restart.
    fn demote(&mut self, id: u64) {
        self.standby.in_recovery = true;
        let others: Vec<_> = self
            .sessions
            .keys()
            .copied()
            .filter(|other| *other != id)
            .collect();
        for other in others {
            self.terminate(other, "57P01", TERMINATED_MESSAGE);
        }
        let target = &self.config.target;
        tracing::info!(%target, "demoted");
        self.announce();
    }

    /// Accepts a replication connection: sends the records that the replica lacks, or a full copy.
    pub(crate) fn start_replica(&mut self, id: u64, startup: &Startup) {
        if self.standby.in_recovery || self.faults.replication_dropped {
            return self.terminate(id, "57P03", "the server accepts no replicas now");
        }
        let parameter = |name| {
            startup
                .parameters
                .get(name)
                .and_then(|n| n.parse::<u64>().ok())
        };
        let identity = self.wal.identity;
        let same_database = parameter(IDENTITY_PARAMETER) == Some(identity);
        let position = parameter(TIMELINE_PARAMETER)
            .zip(parameter(POSITION_PARAMETER))
            .filter(|_| same_database);
        let missing_records =
            position.and_then(|(timeline, end)| self.wal.records_after(timeline, end));
        let (timeline, history) = (self.wal.timeline, self.wal.history.clone());
        let mut messages = Vec::new();
        match missing_records {
            Some(records) => {
                messages.push(Message::Resume {
                    identity,
                    timeline,
                    history,
                });
                messages.extend(records.cloned().map(Message::Record));
            }
            None => messages.push(Message::Copy {
                identity,
                store: self.store.clone(),
                timeline,
                end: self.wal.end,
                history,
            }),
        }
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session.phase = Phase::Replica;
        reply::authentication_ok(&mut session.write_buffer);
        session.flush(None);
        self.replicas.push(id);
        tracing::info!(target = %self.config.target, "replica connected");
        for message in &messages {
            self.send_message(message, &[id]);
        }
    }

    pub(crate) fn broadcast(&self, message: &Message) {
        self.send_message(message, &self.replicas);
    }

    fn send_message(&self, message: &Message, replicas: &[u64]) {
        let data = match wal::encode(message) {
            Ok(data) => reply::copy_data(data),
            Err(error) => {
                tracing::error!(
                    error = format!("{error:#}"),
                    "could not encode a replication message; not sending it"
                );
                return;
            }
        };
        for replica in replicas {
            if let Some(session) = self.sessions.get(replica) {
                session.send(data.clone());
            }
        }
    }
}

//! Replication and changes of role.

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
use crate::upstream::{self, IDENTITY, POSITION, Position, TIMELINE};
use crate::wal::{self, Ended, Message, Record};

/// Text of the error that ends sessions when the role changes.
pub(crate) const TERMINATED: &str = "terminating connection due to administrator command";

/// Pause before a replica connects again.
const RECONNECT: Duration = Duration::from_millis(100);

/// Replication as the replica sees it.
#[derive(Debug)]
pub(crate) struct Standby {
    pub(crate) recovery: bool,
    /// Holds a database; a new replica has none and needs a copy.
    seeded: bool,
    /// May take the copy of another database, as told by a change of primary.
    rebuild: bool,
    /// Why the primary was rejected last; logged when it changes.
    rejected: Option<&'static str>,
    /// Primary to follow.
    primary: Option<SocketAddr>,
    /// Value of `ALTER SYSTEM SET primary_conninfo` that waits for a reload.
    pending: Option<Option<SocketAddr>>,
    /// Number of the connection at hand; events of earlier ones are ignored.
    connection: u64,
    task: Option<AbortHandle>,
    /// Timeline and history of the primary at hand.
    source: Option<(u64, Vec<Ended>)>,
    /// Received records with the deadlines of their replay.
    queue: VecDeque<(Instant, Record)>,
    pub(crate) lag: Duration,
    pub(crate) received: Option<u64>,
    /// End of replay at the promotion of this server.
    pub(crate) replayed: Option<u64>,
}

impl Standby {
    pub(crate) fn new(primary: Option<SocketAddr>, lag: Duration) -> Self {
        Self {
            recovery: primary.is_some(),
            seeded: primary.is_none(),
            rebuild: false,
            rejected: None,
            primary,
            pending: None,
            connection: 0,
            task: None,
            source: None,
            queue: VecDeque::new(),
            lag,
            received: None,
            replayed: None,
        }
    }

    /// Drops the connection; what it has delivered is still replayed.
    fn disconnect(&mut self) {
        self.connection += 1;
        self.source = None;
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
    /// Connects again after a pause, unless a connection has been made meanwhile.
    pub(crate) fn connect_again(&mut self) {
        if self.standby.task.is_none() {
            self.connect();
        }
    }

    /// Connects to the primary, if this is a replica that has one.
    pub(crate) fn connect(&mut self) {
        self.standby.disconnect();
        let Some(primary) = self.standby.primary.filter(|_| self.standby.recovery) else {
            return;
        };
        let (timeline, end) = match self.standby.queue.back() {
            Some((_, last)) => (last.timeline, last.end),
            None if self.standby.seeded => (self.wal.timeline, self.wal.end),
            // No log reaches back to there, so that the primary sends a copy.
            None => (0, 0),
        };
        let at = Position {
            identity: self.wal.identity,
            timeline,
            end,
        };
        self.standby.received = self.standby.seeded.then_some(at.end);
        let events = self.events.clone();
        let connection = self.standby.connection;
        let task = tokio::spawn(upstream::run(primary, connection, at, events));
        self.standby.task = Some(task.abort_handle());
    }

    /// Leaves a primary that it must not follow; tried again, as the primary may change.
    fn reject(&mut self, reason: &'static str) {
        if self.standby.rejected.replace(reason) != Some(reason) {
            tracing::warn!(target = %self.config.target, reason, "primary rejected");
        }
        self.reconnect_later();
    }

    fn reconnect_later(&mut self) {
        self.standby.disconnect();
        let due = self.now + RECONNECT;
        self.timers.insert((due, Timer::Connect));
    }

    pub(crate) fn on_lost(&mut self, connection: u64) {
        if connection == self.standby.connection && self.standby.recovery {
            self.reconnect_later();
        }
    }

    pub(crate) fn on_upstream(&mut self, connection: u64, message: Message) {
        if connection != self.standby.connection || !self.standby.recovery {
            return;
        }
        let target = &self.config.target;
        let last = self.standby.queue.back();
        let own = last.map_or(self.wal.timeline, |(_, record)| record.timeline);
        let any = !self.standby.seeded || self.standby.rebuild;
        match message {
            Message::Copy { timeline, .. } | Message::Resume { timeline, .. } if timeline < own => {
                self.reject("primary is on an older timeline");
            }
            // A primary that restarted empty must not empty its replicas.
            Message::Copy { identity, .. } if !any && identity != self.wal.identity => {
                self.reject("primary holds another database");
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
                self.standby.queue.clear();
                self.standby.seeded = true;
                self.wal.identity = identity;
                self.standby.rebuild = false;
                self.standby.rejected = None;
                self.wal.restart(timeline, end, history.clone());
                self.standby.received = Some(end);
                self.standby.source = Some((timeline, history));
            }
            Message::Resume {
                timeline, history, ..
            } => {
                self.standby.rebuild = false;
                self.standby.rejected = None;
                tracing::info!(%target, timeline, from = self.wal.end, "following the primary");
                self.wal.adopt(timeline, &history);
                self.standby.source = Some((timeline, history));
            }
            Message::Record(record) => {
                self.standby.received = Some(record.end);
                let due = self.now + self.standby.lag;
                self.standby.queue.push_back((due, record));
                self.replay();
            }
        }
    }

    /// Replays the received records that are due.
    pub(crate) fn replay(&mut self) {
        while !self.faults.replay_paused
            && let Some((due, _)) = self.standby.queue.front()
        {
            if *due > self.now {
                self.timers.insert((*due, Timer::Replay));
                return;
            }
            let Some((_, record)) = self.standby.queue.pop_front() else {
                return;
            };
            if record.start != self.wal.end {
                // A gap: this log does not continue what the server has.
                self.standby.queue.clear();
                return self.reconnect_later();
            }
            for change in &record.changes {
                self.store.apply(change.clone());
            }
            self.wal.push(record);
            if let Some((timeline, history)) = &self.standby.source {
                self.wal.adopt(*timeline, history);
            }
        }
    }

    /// Turns this replica into a primary on the next timeline. Log that was received but not
    /// replayed is lost, as with a real server whose lag is on the way to it.
    pub(crate) fn promote(&mut self) {
        self.standby.disconnect();
        self.standby.queue.clear();
        self.standby.recovery = false;
        self.standby.primary = None;
        self.standby.pending = None;
        self.standby.replayed = Some(self.wal.end);
        self.wal.fork();
        let (target, timeline, start) = (&self.config.target, self.wal.timeline, self.wal.end);
        tracing::info!(%target, timeline, start, "promoted");
        let open = self.sessions.iter().filter(|(_, s)| s.phase == Phase::Open);
        for id in open.map(|(id, _)| *id).collect::<Vec<_>>() {
            if let Some(session) = self.sessions.get_mut(&id) {
                reply::parameter(&mut session.reply, "in_hot_standby", "off");
            }
            self.flush(id);
        }
        self.announce();
    }

    /// Notes `ALTER SYSTEM SET`; it takes effect with `pg_reload_conf()`.
    pub(crate) fn alter_system(&mut self, name: &str, value: &str) -> Outcome<()> {
        if name != "primary_conninfo" {
            let text = format!("unrecognized configuration parameter \"{name}\"");
            return failure("42704", text);
        }
        let find = |wanted: &str| {
            let mut pairs = value
                .split_whitespace()
                .filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == wanted)
                .map(|(_, value)| value.trim_matches('\''))
        };
        let host = find("hostaddr").or_else(|| find("host"));
        let address = host
            .zip(find("port"))
            .and_then(|(host, port)| Some(SocketAddr::new(host.parse().ok()?, port.parse().ok()?)));
        if address.is_none() && !value.trim().is_empty() {
            let text = "primary_conninfo needs host=ADDRESS port=NUMBER";
            return failure("22023", text);
        }
        self.standby.pending = Some(address);
        Ok(())
    }

    /// Applies changed parameters.
    pub(crate) fn reload(&mut self, id: u64) {
        let Some(primary) = self.standby.pending.take() else {
            return;
        };
        if !self.standby.recovery {
            if primary.is_none() {
                return;
            }
            self.demote(id);
        } else if primary == self.standby.primary {
            return;
        }
        let target = &self.config.target;
        tracing::info!(%target, primary = primary.map(|p| p.to_string()), "primary changed");
        self.standby.primary = primary;
        self.standby.rebuild = true;
        self.connect();
    }

    /// Turns this primary into a replica; all sessions but one end, as when a server restarts.
    fn demote(&mut self, id: u64) {
        self.standby.recovery = true;
        let others: Vec<_> = self
            .sessions
            .keys()
            .copied()
            .filter(|other| *other != id)
            .collect();
        for other in others {
            self.refuse(other, "57P01", TERMINATED);
        }
        let target = &self.config.target;
        tracing::info!(%target, "demoted");
        self.announce();
    }

    /// Accepts a replica: sends what it lacks, or everything.
    pub(crate) fn start_replica(&mut self, id: u64, startup: &Startup) {
        if self.standby.recovery || self.faults.replication_dropped {
            return self.refuse(id, "57P03", "the server accepts no replicas now");
        }
        let number = |name| {
            startup
                .parameters
                .get(name)
                .and_then(|n| n.parse::<u64>().ok())
        };
        let identity = self.wal.identity;
        let same = number(IDENTITY) == Some(identity);
        let at = number(TIMELINE).zip(number(POSITION)).filter(|_| same);
        let tail = at.and_then(|(timeline, end)| self.wal.after(timeline, end));
        let (timeline, history) = (self.wal.timeline, self.wal.history.clone());
        let mut messages = Vec::new();
        match tail {
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
        reply::authenticated(&mut session.reply);
        session.flush(None);
        self.replicas.push(id);
        tracing::info!(target = %self.config.target, "replica connected");
        for message in &messages {
            self.send_log(message, &[id]);
        }
    }

    pub(crate) fn broadcast(&self, message: &Message) {
        self.send_log(message, &self.replicas);
    }

    fn send_log(&self, message: &Message, replicas: &[u64]) {
        let data = match wal::encode(message) {
            Ok(data) => reply::copy_data(data),
            Err(error) => {
                tracing::error!(error = format!("{error:#}"), "log record not encoded");
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

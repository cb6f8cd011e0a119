//! Watches: what each target says of its role and position.

use std::time::{Duration, Instant};

use bytes::{Buf as _, BytesMut};
use pg::Frames;
use relay::{Exchange, Progress};
use route::Observed;
use types::Name;
use types::target::Role;

use crate::event::ConnKey;
use crate::event_loop::Loop;
use crate::server::{Purpose, WATCH_INTERVAL, WATCH_RETRY, WATCH_TIMEOUT, WATCH_WAITED};
use crate::timer::Timer;

/// Largest frame of an answer to the position query.
const MAX_FRAME: usize = 64 << 10;

impl Loop {
    /// Connects a watch or asks its next question, if that is due.
    pub(crate) fn on_watch_due(&mut self, now: Instant, index: usize) {
        let server = &mut self.servers[index];
        match server.watch.next_at {
            Some(at) if at <= now => {}
            Some(at) => return self.timers.add(at, Timer::Watch(index)),
            None if now >= server.watch.asked_at + WATCH_TIMEOUT => {
                // The target took the question and does not answer.
                if let Some(key) = server.watch.conn {
                    self.metrics.target_failures.add("watch_timeout");
                    self.close_conn(now, key);
                    self.give_up_conns(now, index);
                }
                return;
            }
            None => return,
        }
        if !server.known || server.quota == 0 {
            server.watch.since = now;
            server.watch.next_at = Some(now + WATCH_INTERVAL);
            return self.timers.add(now + WATCH_INTERVAL, Timer::Watch(index));
        }
        match server.watch.conn {
            Some(_) => self.ask(now, index),
            None => {
                server.watch.next_at = None;
                server.watch.asked_at = now;
                let key = self.open(index, Purpose::Watch);
                self.servers[index].watch.conn = Some(key);
            }
        }
    }

    /// Asks a target for its role and position.
    pub(crate) fn ask(&mut self, now: Instant, index: usize) {
        let server = &mut self.servers[index];
        let Some(key) = server.watch.conn else { return };
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        server.watch.next_at = None;
        server.watch.asked_at = now;
        let mut exchange = Exchange::default();
        exchange.query_position(&mut conn.out);
        conn.exchange = Some(exchange);
        self.dirty_conns.push(key);
        self.timers.add(now + WATCH_TIMEOUT, Timer::Watch(index));
    }

    pub(crate) fn on_watch_bytes(&mut self, now: Instant, key: ConnKey) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let Some(exchange) = &mut conn.exchange else {
            return self.close_conn(now, key);
        };
        let mut frames = Frames::new(&conn.inbox, MAX_FRAME);
        let mut ignored = BytesMut::new();
        let mut result = Ok(Progress::Pending);
        for frame in frames.by_ref() {
            result = match frame {
                Ok(frame) => exchange.answer(frame, &mut conn.prepared, &mut ignored),
                Err(invalid) => Err(invalid.into()),
            };
            if result != Ok(Progress::Pending) {
                break;
            }
        }
        let used = frames.consumed();
        let probe = exchange.position();
        conn.inbox.advance(used);
        let index = conn.server;
        match (result, probe) {
            (Ok(Progress::Pending), _) => {}
            (Ok(Progress::Done), Some(answer)) => {
                conn.exchange = None;
                self.on_position(now, index, answer);
            }
            (Ok(Progress::Done), None) | (Err(_), _) => self.close_conn(now, key),
        }
    }

    fn on_position(&mut self, now: Instant, index: usize, answer: relay::probe::Answer) {
        let server = &mut self.servers[index];
        let detect = self
            .databases
            .get(&server.database)
            .map(|d| d.settings.detect);
        let was_silent = !server.is_up(now, detect.unwrap_or_default());
        let asked = server.watch.asked_at;
        let observed = Observed {
            point: answer.point,
            at: asked,
        };
        server.watch.advanced = server.point() != Some(answer.point);
        server.watch.last = Some((answer.role, observed));
        server.watch.answered_at = now;
        // Just past the limit, as control compares in milliseconds.
        let silent_at = now + detect.unwrap_or_default() + Duration::from_millis(2);
        self.timers.add(silent_at, Timer::Silence(index));
        let name = server.database.clone();
        if was_silent {
            self.control.renew_soon(now);
        }
        if answer.role == Role::Primary
            && let Some(end) = self.control.lease().deadline()
            && let Some(database) = self.databases.get_mut(&name)
        {
            database.track.observe(answer.point, asked, end);
        }
        self.on_acks(now, &name);
        self.reroute(now, &name);
        self.schedule_watch(now, index, &name);
    }

    /// Sets the next question: at once while somebody waits and the target makes progress.
    fn schedule_watch(&mut self, now: Instant, index: usize, name: &Name) {
        let waited = self
            .databases
            .get(name)
            .is_some_and(|database| !database.acks.is_empty() || !database.routing.is_empty());
        let server = &mut self.servers[index];
        let replica = matches!(server.watch.last, Some((Role::Replica, _)));
        if waited && replica && server.watch.advanced {
            return self.ask(now, index);
        }
        let pause = if waited && replica {
            WATCH_WAITED
        } else {
            WATCH_INTERVAL
        };
        server.watch.next_at = Some(now + pause);
        self.timers.add(now + pause, Timer::Watch(index));
    }

    /// Asks a target now, unless an answer is awaited anyway.
    pub(crate) fn watch_soon(&mut self, now: Instant, index: usize) {
        let watch = &self.servers[index].watch;
        let connected = watch.conn.is_some_and(|key| {
            self.conns
                .get(key)
                .is_some_and(|conn| conn.handle.is_some())
        });
        if connected && watch.next_at.is_some() {
            self.ask(now, index);
        }
    }

    /// Asks the replicas of a database, as a write waits for them.
    pub(crate) fn watch_replicas(&mut self, now: Instant, name: &Name) {
        let Some(database) = self.databases.get(name) else {
            return;
        };
        if database.acks.is_empty() {
            return;
        }
        for index in database.servers.clone() {
            if matches!(self.servers[index].watch.last, Some((Role::Replica, _))) {
                self.watch_soon(now, index);
            }
        }
    }

    /// Acts on a target's silence as soon as it counts as failure: control hears of it before the
    /// next renewal, and what waits for the target goes to another one.
    pub(crate) fn on_silence_due(&mut self, now: Instant, index: usize) {
        let server = &self.servers[index];
        let Some(database) = self.databases.get(&server.database) else {
            return;
        };
        let silent_at = server.watch.answered_at + database.settings.detect;
        if server.watch.last.is_some() && now > silent_at {
            self.control.renew_soon(now);
            let name = server.database.clone();
            self.move_reads(now, index);
            self.requeue(now, &name);
        }
    }

    pub(crate) fn on_watch_lost(&mut self, now: Instant, index: usize) {
        let watch = &mut self.servers[index].watch;
        watch.conn = None;
        watch.next_at = Some(now + WATCH_RETRY);
        self.timers.add(now + WATCH_RETRY, Timer::Watch(index));
    }
}

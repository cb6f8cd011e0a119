//! Probes: periodic queries of each target's role and position.

use std::time::{Duration, Instant};

use bytes::{Buf as _, BytesMut};
use pg::Frames;
use relay::{Exchange, Progress};
use route::Observed;
use types::Name;
use types::target::Role;

use crate::event::ConnKey;
use crate::event_loop::Loop;
use crate::target::{
    AWAITED_PROBE_INTERVAL, PROBE_INTERVAL, PROBE_RETRY_PAUSE, PROBE_TIMEOUT, Purpose,
};
use crate::timer::Timer;

/// Largest frame of an answer to the position query.
const MAX_FRAME_BYTES: usize = 64 << 10;

impl Loop {
    /// Opens the probe's connection or sends the next query, if either is due.
    pub(crate) fn on_probe_due(&mut self, now: Instant, index: usize) {
        let target = &mut self.targets[index];
        match target.probe.next_at {
            Some(at) if at <= now => {}
            Some(at) => return self.timers.add(at, Timer::Probe(index)),
            None if now >= target.probe.sent_at + PROBE_TIMEOUT => {
                // The target does not answer the query.
                if let Some(key) = target.probe.conn {
                    self.metrics.target_failures.add("watch_timeout");
                    self.close_conn(now, key);
                    self.fail_all_conns(now, index);
                }
                return;
            }
            None => return,
        }
        if !target.in_catalog || target.quota == 0 {
            target.probe.started_at = now;
            target.probe.next_at = Some(now + PROBE_INTERVAL);
            return self.timers.add(now + PROBE_INTERVAL, Timer::Probe(index));
        }
        match target.probe.conn {
            Some(_) => self.send_probe(now, index),
            None => {
                target.probe.next_at = None;
                target.probe.sent_at = now;
                let key = self.open_conn(index, Purpose::Probe);
                self.targets[index].probe.conn = Some(key);
            }
        }
    }

    /// Queries a target's role and position.
    pub(crate) fn send_probe(&mut self, now: Instant, index: usize) {
        let target = &mut self.targets[index];
        let Some(key) = target.probe.conn else { return };
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        target.probe.next_at = None;
        target.probe.sent_at = now;
        let mut exchange = Exchange::default();
        exchange.query_position(&mut conn.out);
        conn.exchange = Some(exchange);
        self.dirty_conns.push(key);
        self.timers.add(now + PROBE_TIMEOUT, Timer::Probe(index));
    }

    pub(crate) fn on_probe_bytes(&mut self, now: Instant, key: ConnKey) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let Some(exchange) = &mut conn.exchange else {
            return self.close_conn(now, key);
        };
        let mut frames = Frames::new(&conn.inbox, MAX_FRAME_BYTES);
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
        let position = exchange.position();
        conn.inbox.advance(used);
        let index = conn.target_index;
        match (result, position) {
            (Ok(Progress::Pending), _) => {}
            (Ok(Progress::Done), Some(answer)) => {
                conn.exchange = None;
                self.on_position(now, index, answer);
            }
            (Ok(Progress::Done), None) | (Err(_), _) => self.close_conn(now, key),
        }
    }

    fn on_position(&mut self, now: Instant, index: usize, answer: relay::probe::Answer) {
        let target = &mut self.targets[index];
        let silence_limit = self
            .databases
            .get(&target.database)
            .map(|d| d.settings.silence_limit);
        let was_silent = !target.is_up(now, silence_limit.unwrap_or_default());
        let sent_at = target.probe.sent_at;
        let observed = Observed {
            point: answer.point,
            at: sent_at,
        };
        target.probe.progressed = target.point() != Some(answer.point);
        target.probe.last_answer = Some((answer.role, observed));
        target.probe.answered_at = now;
        // Just past the limit, since control instances compare in whole milliseconds.
        let silent_at = now + silence_limit.unwrap_or_default() + Duration::from_millis(2);
        self.timers.add(silent_at, Timer::Silence(index));
        let name = target.database.clone();
        if was_silent {
            self.control.renew_soon(now);
        }
        if answer.role == Role::Primary
            && let Some(end) = self.control.lease().deadline()
            && let Some(database) = self.databases.get_mut(&name)
        {
            database
                .primary_positions
                .observe(answer.point, sent_at, end);
        }
        self.resolve_acks(now, &name);
        self.reroute(now, &name);
        self.schedule_probe(now, index, &name);
    }

    /// Schedules the next query: at once while a caller waits and the replica makes progress.
    fn schedule_probe(&mut self, now: Instant, index: usize, name: &Name) {
        let waited = self.databases.get(name).is_some_and(|database| {
            !database.pending_acks.is_empty() || !database.waiting_callers.is_empty()
        });
        let target = &mut self.targets[index];
        let replica = matches!(target.probe.last_answer, Some((Role::Replica, _)));
        if waited && replica && target.probe.progressed {
            return self.send_probe(now, index);
        }
        let pause = if waited && replica {
            AWAITED_PROBE_INTERVAL
        } else {
            PROBE_INTERVAL
        };
        target.probe.next_at = Some(now + pause);
        self.timers.add(now + pause, Timer::Probe(index));
    }

    /// Queries a target now, unless an answer is pending.
    pub(crate) fn probe_soon(&mut self, now: Instant, index: usize) {
        let probe = &self.targets[index].probe;
        let connected = probe.conn.is_some_and(|key| {
            self.conns
                .get(key)
                .is_some_and(|conn| conn.handle.is_some())
        });
        if connected && probe.next_at.is_some() {
            self.send_probe(now, index);
        }
    }

    /// Queries the replicas of a database, as a write waits for them.
    pub(crate) fn probe_replicas(&mut self, now: Instant, name: &Name) {
        let Some(database) = self.databases.get(name) else {
            return;
        };
        if database.pending_acks.is_empty() {
            return;
        }
        for index in database.targets.clone() {
            if matches!(
                self.targets[index].probe.last_answer,
                Some((Role::Replica, _))
            ) {
                self.probe_soon(now, index);
            }
        }
    }

    /// Handles a target whose silence now counts as failure: renews at once to report it, and
    /// routes batches that wait for the target to another one.
    pub(crate) fn on_silence_due(&mut self, now: Instant, index: usize) {
        let target = &self.targets[index];
        let Some(database) = self.databases.get(&target.database) else {
            return;
        };
        let silent_at = target.probe.answered_at + database.settings.silence_limit;
        if target.probe.last_answer.is_some() && now > silent_at {
            self.control.renew_soon(now);
            let name = target.database.clone();
            self.retry_unanswered_reads(now, index);
            self.reroute_queued(now, &name);
        }
    }

    pub(crate) fn on_probe_lost(&mut self, now: Instant, index: usize) {
        let probe = &mut self.targets[index].probe;
        probe.conn = None;
        probe.next_at = Some(now + PROBE_RETRY_PAUSE);
        self.timers
            .add(now + PROBE_RETRY_PAUSE, Timer::Probe(index));
    }
}

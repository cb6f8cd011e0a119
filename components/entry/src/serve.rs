//! Timers, the HTTP endpoint, and the stop.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use observe::http::{Request, Response};
use pg::Severity;

use crate::accept::STOPPING;
use crate::caller::State;
use crate::event::CallerKey;
use crate::process::Loop;
use crate::timer::Due;

/// How long a stopping entry waits for its last bytes to be sent.
const FLUSH: Duration = Duration::from_millis(50);

impl Loop {
    pub(crate) fn on_timers(&mut self, now: Instant) {
        while let Some(due) = self.timers.pop(now) {
            match due {
                Due::Watch(index) => self.on_watch_due(now, index),
                Due::Queue(index) => {
                    self.servers[index].due_at = None;
                    self.pumped.push(index);
                }
                Due::Routing(name) => self.reroute(now, &name),
                Due::Acks(name) => self.on_acks(now, &name),
                Due::Save => self.save(),
                Due::Quotas => self.on_quotas(now),
                Due::Silence(index) => self.on_silence_due(now, index),
            }
        }
        let ended = self
            .control
            .lease()
            .deadline()
            .is_some_and(|end| end <= now);
        if ended != self.lease_ended {
            self.lease_ended = ended;
            if ended {
                tracing::warn!("lease ended: writes are refused, quotas fall to their floors");
            } else {
                tracing::info!("lease granted");
            }
            self.on_quotas(now);
        }
    }

    // --- HTTP -------------------------------------------------------------------------------------

    pub(crate) fn on_request(&mut self, now: Instant, request: Request) {
        let ready = if self.stop_at.is_some() {
            Err("stopping")
        } else if self.control.catalog().is_none() {
            Err("no catalog yet")
        } else {
            Ok(())
        };
        let registry = &self.metrics.common.registry;
        let Some(request) = observe::endpoint::answer(request, registry, ready) else {
            return;
        };
        let Request {
            method,
            path,
            query,
            token,
            body,
            reply,
        } = request;
        if !observe::token::matches(token.as_deref(), self.settings.token.as_str()) {
            self.metrics.common.refusals.add("unauthorized");
            let encoded = admin::Reply::unauthorized().encode();
            return reply.send(Response::json(encoded.status, encoded.body));
        }
        let raw = admin::Raw {
            method: &method,
            path: &path,
            query: query.as_deref(),
            body: &body,
        };
        let answer = match admin::Request::try_from(raw) {
            Ok(admin::Request::Announce { announcement, ttl }) => {
                self.on_announcement(now, announcement, ttl);
                admin::Reply::Announced
            }
            Ok(_) if method == Method::PUT => admin::Reply::not_found(&path),
            Ok(_) => {
                let text = "entries take announcements only; ask a control instance\n";
                return reply.send(Response::text(StatusCode::NOT_FOUND, text));
            }
            Err(fault) => {
                self.metrics.common.refusals.add("announcement");
                fault.into()
            }
        };
        let encoded = answer.encode();
        reply.send(Response::json(encoded.status, encoded.body));
    }

    /// Keeps an announcement until its deadline; control hears of it with the next renewal.
    fn on_announcement(
        &mut self,
        now: Instant,
        announcement: types::target::Announcement,
        ttl: Duration,
    ) {
        let news = self
            .control
            .catalog()
            .is_none_or(|catalog| catalog.is_news(&announcement));
        let known = self
            .heard
            .get(&announcement.target)
            .is_some_and(|(old, _)| *old == announcement);
        let index = self.indices.get(&announcement.target).copied();
        if let Some(index) = index {
            self.servers[index].heard = Some((announcement.clone(), now + ttl));
        }
        self.heard
            .insert(announcement.target.clone(), (announcement, now + ttl));
        self.heard.retain(|_, (_, until)| now < *until);
        if news && !known {
            self.control.hasten(now);
        }
    }

    // --- Stop -------------------------------------------------------------------------------------

    /// Begins a graceful stop: what runs goes on, callers between transactions are told to go.
    pub(crate) fn on_stop(&mut self, now: Instant) {
        if self.stop_at.is_some() {
            return;
        }
        tracing::info!(callers = self.callers.len(), "stopping");
        self.stop_at = Some(now + self.settings.stop_timeout);
        let idle: Vec<CallerKey> = self
            .callers
            .iter()
            .filter(|(_, caller)| caller.is_idle() && caller.inbox.is_empty())
            .map(|(key, _)| key)
            .collect();
        for key in idle {
            self.dismiss(now, key);
        }
    }

    /// Tells a caller between transactions that the entry stops.
    pub(crate) fn dismiss(&mut self, _now: Instant, key: CallerKey) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        pg::error(&mut caller.out, Severity::Fatal, "57P01", STOPPING);
        caller.closing = true;
        self.dirty_callers.push(key);
    }

    /// Whether a stopping entry has nothing left to do, or no time.
    pub(crate) fn is_stopped(&mut self, now: Instant) -> bool {
        let Some(stop_at) = self.stop_at else {
            return false;
        };
        if self.callers.is_empty() && self.starting == 0 && stop_at > now + FLUSH {
            // The tasks of the last callers still send what they were given.
            self.stop_at = Some(now + FLUSH);
            self.control.end();
            return false;
        }
        if now < stop_at {
            return false;
        }
        for caller in self.callers.values() {
            if !matches!(caller.state, State::Idle) {
                self.metrics.unknown.add("stopping");
            }
        }
        true
    }
}

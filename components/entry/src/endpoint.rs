//! Timers and the HTTP endpoint.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use observe::http::{Request, Response};

use crate::event_loop::Loop;
use crate::timer::Timer;

impl Loop {
    pub(crate) fn on_timers(&mut self, now: Instant) {
        while let Some(due) = self.timers.pop(now) {
            match due {
                Timer::Watch(index) => self.on_watch_due(now, index),
                Timer::Queue(index) => {
                    self.servers[index].due_at = None;
                    self.due_queues.push(index);
                }
                Timer::Routing(name) => self.reroute(now, &name),
                Timer::Acks(name) => self.on_acks(now, &name),
                Timer::Save => self.save(),
                Timer::Quotas => self.on_quotas(now),
                Timer::Silence(index) => self.on_silence_due(now, index),
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

    pub(crate) fn on_request(&mut self, now: Instant, request: Request) {
        let ready = if self.stop.is_some() {
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
            .is_none_or(|catalog| catalog.would_change(&announcement));
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
            self.control.renew_soon(now);
        }
    }
}

//! Expired timers and requests on the HTTP endpoint.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use observe::http::{Request, Response};

use crate::event_loop::Loop;
use crate::timer::Timer;

impl Loop {
    pub(crate) fn on_timers(&mut self, now: Instant) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Probe(index) => self.on_probe_due(now, index),
                Timer::Queue(index) => {
                    self.targets[index].queue_due_at = None;
                    self.due_queues.push(index);
                }
                Timer::Routing(name) => self.reroute(now, &name),
                Timer::Acks(name) => self.resolve_acks(now, &name),
                Timer::SaveCatalog => self.save_catalog(),
                Timer::Quotas => self.apply_quotas(now),
                Timer::Silence(index) => self.on_silence_due(now, index),
            }
        }
        let lease_ended = self
            .control
            .lease()
            .deadline()
            .is_some_and(|end| end <= now);
        if lease_ended != self.lease_ended {
            self.lease_ended = lease_ended;
            if lease_ended {
                tracing::warn!(
                    "lease expired; refusing writes and reducing quotas to their floors"
                );
            } else {
                tracing::info!("lease granted");
            }
            self.apply_quotas(now);
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

    /// Stores an announcement until its expiry; the next renewal reports it to the control
    /// instance.
    fn on_announcement(
        &mut self,
        now: Instant,
        announcement: types::target::Announcement,
        ttl: Duration,
    ) {
        let changes_catalog = self
            .control
            .catalog()
            .is_none_or(|catalog| catalog.would_change(&announcement));
        let repeated = self
            .announcements
            .get(&announcement.target)
            .is_some_and(|(previous, _)| *previous == announcement);
        let index = self.target_indices.get(&announcement.target).copied();
        if let Some(index) = index {
            self.targets[index].announcement = Some((announcement.clone(), now + ttl));
        }
        self.announcements
            .insert(announcement.target.clone(), (announcement, now + ttl));
        self.announcements.retain(|_, (_, until)| now < *until);
        if changes_catalog && !repeated {
            self.control.renew_soon(now);
        }
    }
}

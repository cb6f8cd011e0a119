//! HTTP endpoint for readiness and metrics.

use std::time::{Duration, Instant};

use http::StatusCode;
use observe::http::{Request, Response};

use crate::process::Loop;
use crate::protocol::Protocol;
use crate::server::Server;
use clock::Clock;

/// After this time without a usable primary the proxy reports that it is not ready. Most changes of
/// a primary take less.
const OUTAGE_LIMIT: Duration = Duration::from_secs(1);

/// The limit for a proxy that has also lost the coordinators and so is probably cut off itself.
const ISOLATED_OUTAGE_LIMIT: Duration = Duration::from_millis(300);
/// A primary that answered the coordinators within this time counts as reachable for others.
const COORDINATOR_CONTACT_AGE: Duration = Duration::from_millis(900);

impl<P: Protocol, C: Clock> Loop<P, C> {
    /// Whether load balancers should send callers to this proxy.
    ///
    /// # Errors
    /// Returns the reason why not.
    pub(crate) fn readiness(&self, now: Instant) -> Result<(), &'static str> {
        if self.stop.is_some() {
            return Err("stopping");
        }
        if self.plan.version == 0 {
            return Err("no plan yet");
        }
        let requires_key = self.plan.routes.values().any(|route| !route.public);
        if requires_key && !self.keys_hold(self.clock.moment()) {
            return Err("keys can't be confirmed");
        }
        // A proxy that borrows connections reaches no server before its first statement.
        let knows_lenders = |server: &Server| {
            let lending = self.lending(server);
            server.uses_lenders && lending.has_others(self.settings.instance.as_str())
        };
        let reached = |server: &Server| server.answered_at.is_some() || knows_lenders(server);
        let reached = self.servers.iter().any(reached);
        if !reached {
            return Err("no server reached yet");
        }
        let isolated = !self.subscription.is_current(now);
        if self.is_cut_off(
            now,
            if isolated {
                ISOLATED_OUTAGE_LIMIT
            } else {
                OUTAGE_LIMIT
            },
        ) {
            return Err("a primary can't be used from here");
        }
        Ok(())
    }

    /// Whether this proxy has been unable to use a primary for longer than `limit` while others may
    /// reach it: either the coordinators have heard from the primary lately, or this proxy has lost
    /// the coordinators too. If nobody reaches the primary, sending callers elsewhere does not
    /// help.
    pub(crate) fn is_cut_off(&self, now: Instant, limit: Duration) -> bool {
        let isolated = !self.subscription.is_current(now);
        let moment = self.clock.moment();
        self.services.iter().any(|service| {
            let outage = service
                .unusable_since
                .is_some_and(|since| now >= since + limit);
            let reachable = service
                .primary_reached_at
                .is_some_and(|at| moment.since(at) < COORDINATOR_CONTACT_AGE);
            outage && (isolated || reachable)
        })
    }

    pub(crate) fn on_http_request(&mut self, now: Instant, request: Request) {
        let ready = self.readiness(now);
        let registry = &self.metrics.common.registry;
        if let Some(request) = observe::endpoint::answer(request, registry, ready) {
            let text = format!("nothing at {}\n", request.path);
            request
                .reply
                .send(Response::text(StatusCode::NOT_FOUND, text));
        }
    }
}

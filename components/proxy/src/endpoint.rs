//! The HTTP endpoint: readiness and metrics.

use std::time::{Duration, Instant};

use http::StatusCode;
use observe::http::{Request, Response};

use crate::process::Loop;
use crate::protocol::Protocol;
use crate::server::Server;
use clock::Clock;

/// Time without a usable primary after which callers are better sent elsewhere. A change of
/// primary is mostly over before.
const MISSED: Duration = Duration::from_secs(1);

/// The same for an entry that has lost the coordinators too, and so is cut off itself.
const ALONE: Duration = Duration::from_millis(300);
/// Age up to which an answer of a primary to the coordinators shows that it can be reached.
const HEARD: Duration = Duration::from_millis(900);

impl<P: Protocol, C: Clock> Loop<P, C> {
    /// Whether callers should be sent here.
    ///
    /// # Errors
    /// Returns why not.
    pub(crate) fn readiness(&self, now: Instant) -> Result<(), &'static str> {
        if self.stop.is_some() {
            return Err("stopping");
        }
        if self.plan.version == 0 {
            return Err("no plan yet");
        }
        // One that borrows connections reaches none before its first statement.
        let reached = |it: &Server| it.answered_at.is_some() || it.borrows;
        let reached = self.servers.iter().any(reached);
        if !reached {
            return Err("no server reached yet");
        }
        let alone = !self.subscription.is_current(now);
        if self.is_cut_off(now, if alone { ALONE } else { MISSED }) {
            return Err("a primary can't be used from here");
        }
        Ok(())
    }

    /// Whether a primary could not be used from here for longer than `limit`, while others may reach
    /// it: the coordinators have had an answer of it lately, or this entry has lost them as well. A
    /// primary that is lost to all is no reason to send callers elsewhere.
    pub(crate) fn is_cut_off(&self, now: Instant, limit: Duration) -> bool {
        let alone = !self.subscription.is_current(now);
        let moment = self.clock.moment();
        self.services.iter().any(|it| {
            let missed = it.missed_since.is_some_and(|since| now >= since + limit);
            let heard = it.heard_at.is_some_and(|at| moment.since(at) < HEARD);
            missed && (alone || heard)
        })
    }

    pub(crate) fn on_request(&mut self, now: Instant, request: Request) {
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

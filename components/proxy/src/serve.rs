//! The HTTP endpoint: readiness and metrics.

use std::time::{Duration, Instant};

use http::StatusCode;
use observe::http::{Request, Response};
use registry::plan::Format;

use crate::clock::Clock;
use crate::process::Loop;
use crate::protocol::Protocol;

/// Time without a usable primary after which callers are better sent elsewhere. A change of
/// primary is mostly over before.
const MISSED: Duration = Duration::from_secs(1);

impl<P: Protocol, F: Format, C: Clock> Loop<P, F, C> {
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
        let reached = self
            .servers
            .iter()
            .any(|server| server.answered_at.is_some());
        if !reached {
            return Err("no server reached yet");
        }
        if self.is_missing(now, MISSED) {
            return Err("a primary can't be used");
        }
        Ok(())
    }

    /// Whether a primary could not be used for longer than `limit`. Other entries may reach it: this
    /// one may be cut off, or its failure domain.
    pub(crate) fn is_missing(&self, now: Instant, limit: Duration) -> bool {
        let mut missed = self.services.iter().filter_map(|it| it.missed_since);
        missed.any(|since| now >= since + limit)
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

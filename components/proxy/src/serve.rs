//! The HTTP endpoint: readiness and metrics.

use http::StatusCode;
use observe::http::{Request, Response};
use registry::plan::Format;

use crate::clock::Clock;
use crate::process::Loop;
use crate::protocol::Protocol;

impl<P: Protocol, F: Format, C: Clock> Loop<P, F, C> {
    /// Whether callers should be sent here.
    ///
    /// # Errors
    /// Returns why not.
    pub(crate) fn readiness(&self) -> Result<(), &'static str> {
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
        if reached {
            Ok(())
        } else {
            Err("no server reached yet")
        }
    }

    pub(crate) fn on_request(&mut self, request: Request) {
        let ready = self.readiness();
        let registry = &self.metrics.common.registry;
        if let Some(request) = observe::endpoint::answer(request, registry, ready) {
            let text = format!("nothing at {}\n", request.path);
            request
                .reply
                .send(Response::text(StatusCode::NOT_FOUND, text));
        }
    }
}

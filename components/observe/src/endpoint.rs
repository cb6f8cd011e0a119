//! HTTP paths that every process serves: `/metrics`, `/ready` and `/health`.

use http::{Method, StatusCode};
use prometheus_client::registry::Registry;

use crate::http::{Request, Response};
use crate::metrics;

/// Answers a request for metrics, readiness or health; returns any other request unanswered.
///
/// `ready` is an error with the reason while the load balancer should send no callers to this
/// process. Health has no argument: an event loop that answers is alive.
#[must_use]
pub fn answer(
    request: Request,
    registry: &Registry,
    ready: Result<(), &'static str>,
) -> Option<Request> {
    let response = match request.path.as_str() {
        "/metrics" => Response::new(StatusCode::OK, metrics::CONTENT_TYPE, ""),
        "/ready" => match ready {
            Ok(()) => Response::text(StatusCode::OK, "ready\n"),
            Err(reason) => Response::text(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
        },
        "/health" => Response::text(StatusCode::OK, "alive\n"),
        _ => return Some(request),
    };
    let response = match (&request.method, request.path.as_str()) {
        (&Method::GET, "/metrics") => response.with_body(metrics::encode(registry)),
        (&Method::GET, _) => response,
        _ => Response::text(StatusCode::METHOD_NOT_ALLOWED, "use GET\n"),
    };
    request.reply.send(response);
    None
}

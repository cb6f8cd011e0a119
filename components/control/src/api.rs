//! Requests of operators.

use std::time::Instant;

use anyhow::Result;
use catalog::Outcome;
use http::StatusCode;
use observe::http::{Reply, Request, Response};

use crate::process::Loop;

/// A change that waits for its commit.
#[derive(Debug)]
pub struct Pending {
    reply: Reply,
}

impl Pending {
    /// The change may or may not be committed.
    pub fn lost(self) {
        let text = "leadership was lost; send the change again with the same request id\n";
        self.reply
            .send(Response::text(StatusCode::SERVICE_UNAVAILABLE, text));
    }
}

/// A read that waits until this instance is known to be current.
#[derive(Debug)]
pub struct Read {
    reply: Reply,
}

impl Loop {
    pub(crate) fn on_request(&mut self, _now: Instant, request: Request) -> Result<()> {
        let ready = if self.node.leader().is_some() {
            Ok(())
        } else {
            Err("no leader is known")
        };
        let request = observe::endpoint::answer(request, &self.metrics.common.registry, ready);
        if let Some(request) = request {
            let text = "no such path\n";
            request
                .reply
                .send(Response::text(StatusCode::NOT_FOUND, text));
        }
        Ok(())
    }

    pub(crate) fn on_read(&mut self, _now: Instant, id: u64) {
        if let Some(read) = self.reads.remove(&id) {
            read.reply
                .send(Response::text(StatusCode::NOT_FOUND, "no such path\n"));
        }
    }

    pub(crate) fn on_read_refused(&mut self, id: u64) {
        if let Some(read) = self.reads.remove(&id) {
            let text = "this instance leads no longer\n";
            read.reply
                .send(Response::text(StatusCode::SERVICE_UNAVAILABLE, text));
        }
    }

    pub(crate) fn answer_change(&mut self, _now: Instant, pending: Pending, outcome: Outcome) {
        pending
            .reply
            .send(Response::text(StatusCode::OK, format!("{outcome:?}\n")));
    }
}

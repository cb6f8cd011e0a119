//! Log positions of primaries, and their exchange between processes.

use std::time::Duration;

use clock::Moment;
use types::{Lsn, Point, Term};

/// Log position of a server that proved to be the primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sample {
    /// End of its log: covers every commit acknowledged before `at`.
    pub point: Point,
    /// When the request for the position was sent.
    pub at: Moment,
}

impl Sample {
    /// Encodes the sample for another process. Moments have no meaning outside a process, so the
    /// age is sent instead.
    #[must_use]
    pub fn to_wire(&self, service: &str, now: Moment) -> wire::Sample {
        // Rounded up, as a sample must never look younger than it is.
        let age = now.since(self.at).as_millis() + 1;
        wire::Sample {
            service: service.to_owned(),
            point: wire::Point {
                term: self.point.term.0,
                lsn: self.point.lsn.0,
            },
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }

    /// Decodes a sample from the reply to a request that was sent at `requested_at`. The reply is
    /// later than the request, so this moment minus the age is never too late, whatever the network
    /// delays.
    #[must_use]
    pub fn from_wire(raw: &wire::Sample, requested_at: Moment) -> Self {
        Self {
            point: Point {
                term: Term(raw.point.term),
                lsn: Lsn(raw.point.lsn),
            },
            at: requested_at.earlier(Duration::from_millis(raw.age_ms.into())),
        }
    }
}

//! Positions of primaries that proved to lead, and how processes pass them on.

use std::time::Duration;

use clock::Moment;
use types::{Lsn, Point, Term};

/// A position of a primary that proved to lead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sample {
    /// End of its log: covers every commit that was acknowledged before `at`.
    pub point: Point,
    /// When the question was sent that it answered.
    pub at: Moment,
}

impl Sample {
    /// As another process is told. Moments are a process's own, so that the age is told instead.
    #[must_use]
    pub fn told(&self, service: &str, now: Moment) -> wire::Sample {
        // Rounded up: a sample must not look younger than it is.
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

    /// What another process told in answer to a question that was sent at `asked`. Its answer is not
    /// older than the question, whatever time either took on the way.
    #[must_use]
    pub fn heard(told: &wire::Sample, asked: Moment) -> Self {
        Self {
            point: Point {
                term: Term(told.point.term),
                lsn: Lsn(told.point.lsn),
            },
            at: asked.earlier(Duration::from_millis(told.age_ms.into())),
        }
    }
}

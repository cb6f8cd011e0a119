//! Which position a read has to see.

use std::time::Duration;

use registry::plan::Freshness;
use types::Point;

use crate::clock::Moment;

/// A position of a primary that proved to lead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sample {
    /// End of its log: covers every commit that was acknowledged before `at`.
    pub point: Point,
    /// When the question was sent that it answered.
    pub at: Moment,
}

/// Latest sample of a service's primary.
#[derive(Clone, Copy, Debug, Default)]
pub struct Track {
    latest: Option<Sample>,
}

impl Track {
    /// Takes a sample. One that was asked for earlier, or of an earlier term, is of no use.
    pub fn observe(&mut self, sample: Sample) {
        let newer = |known: &Sample| {
            sample.point.term >= known.point.term
                && (sample.at > known.at || sample.point.term > known.point.term)
        };
        if self.latest.as_ref().is_none_or(newer) {
            self.latest = Some(sample);
        }
    }

    /// The latest sample.
    #[must_use]
    pub fn latest(&self) -> Option<Sample> {
        self.latest
    }

    /// Age of the latest sample.
    #[must_use]
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.latest.map(|sample| now.since(sample.at))
    }
}

/// Position that a read has to see if it may run on a replica; none if only the primary will do.
///
/// `arrived` is when the read, or the begin of its transaction, was received, which is not before
/// its caller sent it. `own` is the session's last commit.
#[must_use]
pub fn needed(
    freshness: Freshness,
    track: &Track,
    own: Option<Point>,
    arrived: Moment,
) -> Option<Point> {
    let (age, own) = match freshness {
        Freshness::Latest => return None,
        Freshness::Aged(age) => (age, None),
        Freshness::Session(age) => (age, own),
    };
    let sample = track.latest()?;
    if sample.at < arrived.earlier(age) {
        return None;
    }
    // A position of a later term covers all of earlier terms that its promotion kept.
    let later = |a: Point, b: Point| {
        if (a.term, a.lsn) >= (b.term, b.lsn) {
            a
        } else {
            b
        }
    };
    Some(own.map_or(sample.point, |own| later(own, sample.point)))
}

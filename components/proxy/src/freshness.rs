//! Which position a read has to see.

use std::collections::VecDeque;
use std::time::Duration;

use registry::Sample;
use registry::plan::Freshness;
use types::Point;

use clock::Moment;

/// Time between two samples that are both kept.
const SPACING: Duration = Duration::from_millis(25);
/// Age of the oldest sample that is kept, by the latest one. Reads that accept more see this much.
const KEPT: Duration = Duration::from_secs(10);

/// Samples of a service's primary, oldest first.
///
/// Invariant: all are of one term, and neither positions nor moments fall. A promotion may roll
/// back what the old primary had not yet had acknowledged, so that its positions are of no use then.
#[derive(Clone, Debug, Default)]
pub struct Track {
    samples: VecDeque<Sample>,
}

impl Track {
    /// Takes a sample. One of an earlier term, or that was asked for earlier, is of no use.
    pub fn observe(&mut self, sample: Sample) {
        if let Some(latest) = self.latest() {
            if sample.point.term < latest.point.term {
                return;
            }
            if sample.point.term > latest.point.term {
                self.samples.clear();
            } else if sample.at <= latest.at {
                return;
            }
        }
        // Between two close samples the later one adds little.
        let end = self.samples.len();
        if end >= 2 && sample.at.since(self.samples[end - 2].at) < SPACING {
            self.samples.pop_back();
        }
        self.samples.push_back(sample);
        while self
            .samples
            .front()
            .is_some_and(|first| sample.at.since(first.at) > KEPT)
        {
            self.samples.pop_front();
        }
    }

    /// The latest sample.
    #[must_use]
    pub fn latest(&self) -> Option<Sample> {
        self.samples.back().copied()
    }

    /// The first sample that was asked for at `at` or later. The older it may be, the more replicas
    /// have reached its position.
    #[must_use]
    pub fn first_since(&self, at: Moment) -> Option<Sample> {
        let index = self.samples.partition_point(|sample| sample.at < at);
        self.samples.get(index).copied()
    }

    /// How far a log that ends at `point` is behind the primary's; none if the position is not of
    /// the present term. A log at or beyond the latest sample is not behind.
    #[must_use]
    pub fn lag(&self, point: Point, now: Moment) -> Option<Duration> {
        let latest = self.latest()?;
        if latest.point.term != point.term {
            return None;
        }
        let index = self
            .samples
            .partition_point(|sample| sample.point.lsn <= point.lsn);
        match self.samples.get(index) {
            None => Some(Duration::ZERO),
            // The first sample that it lacks.
            Some(lacking) => Some(now.since(lacking.at)),
        }
    }

    /// Age of the latest sample.
    #[must_use]
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.latest().map(|sample| now.since(sample.at))
    }
}

/// What a read has to see if it may run on a replica; none if only the primary will do.
///
/// `arrived` is when the read, or the begin of its transaction, was received, which is not before
/// its caller sent it. `own` is the session's last commit.
#[must_use]
pub fn needed(
    freshness: Freshness,
    track: &Track,
    own: Option<Sample>,
    arrived: Moment,
) -> Option<Sample> {
    let (age, own) = match freshness {
        Freshness::Latest => return None,
        Freshness::Aged(age) => (age, None),
        Freshness::Session(age) => (age, own),
    };
    let sample = track.first_since(arrived.earlier(age))?;
    // A position of a later term covers all of earlier terms that its promotion kept.
    let order = |sample: &Sample| (sample.point.term, sample.point.lsn);
    Some(match own {
        Some(own) if order(&own) > order(&sample) => own,
        _ => sample,
    })
}

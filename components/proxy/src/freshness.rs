//! Log position that a server must have reached to serve a read.

use std::collections::VecDeque;
use std::time::Duration;

use registry::Sample;
use registry::plan::Freshness;
use types::Point;

use clock::Moment;

/// Minimum time between two samples that are both kept.
const SAMPLE_SPACING: Duration = Duration::from_millis(25);
/// Age of the oldest sample kept, relative to the latest one. Reads that accept older data still
/// see data of this age.
const SAMPLE_RETENTION: Duration = Duration::from_secs(10);

/// Samples of the log position of a service's primary, oldest first.
///
/// Invariant: all samples are of one term, and neither positions nor moments decrease. A promotion
/// may roll back positions of the old primary that were not acknowledged, so samples of earlier
/// terms are dropped.
#[derive(Clone, Debug, Default)]
pub struct History {
    samples: VecDeque<Sample>,
}

impl History {
    /// Adds a sample. Samples of an earlier term, or that were requested earlier than the latest
    /// one, are ignored.
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
        // Of two samples that are close to each other only the later one is kept.
        let end = self.samples.len();
        if end >= 2 && sample.at.since(self.samples[end - 2].at) < SAMPLE_SPACING {
            self.samples.pop_back();
        }
        self.samples.push_back(sample);
        while self
            .samples
            .front()
            .is_some_and(|first| sample.at.since(first.at) > SAMPLE_RETENTION)
        {
            self.samples.pop_front();
        }
    }

    #[must_use]
    pub fn latest(&self) -> Option<Sample> {
        self.samples.back().copied()
    }

    /// The first sample that was requested at `at` or later. More replicas have reached an older
    /// position.
    #[must_use]
    pub fn first_since(&self, at: Moment) -> Option<Sample> {
        let index = self.samples.partition_point(|sample| sample.at < at);
        self.samples.get(index).copied()
    }

    /// How far a log that ends at `point` lags behind the primary's; `None` if `point` is not of
    /// the current term. A log at or beyond the latest sample does not lag.
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
            // The first sample that the log lacks.
            Some(lacking) => Some(now.since(lacking.at)),
        }
    }

    /// Age of the latest sample.
    #[must_use]
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.latest().map(|sample| now.since(sample.at))
    }
}

/// The sample whose position a replica must have reached to serve a read, or `None` if only the
/// primary may serve it.
///
/// `received_moment` is when the read, or the begin of its transaction, was received, which is not
/// before the caller sent it. `last_commit` is the session's last commit.
#[must_use]
pub fn required_sample(
    freshness: Freshness,
    history: &History,
    last_commit: Option<Sample>,
    received_moment: Moment,
) -> Option<Sample> {
    let (age, last_commit) = match freshness {
        Freshness::Latest => return None,
        Freshness::Aged(age) => (age, None),
        Freshness::Session(age) => (age, last_commit),
    };
    let sample = history.first_since(received_moment.earlier(age))?;
    // A position of a later term covers all positions of earlier terms that survived the promotion.
    let order = |sample: &Sample| (sample.point.term, sample.point.lsn);
    Some(match last_commit {
        Some(last_commit) if order(&last_commit) > order(&sample) => last_commit,
        _ => sample,
    })
}

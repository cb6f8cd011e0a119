//! Services as this proxy sees them.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use clock::Moment;
use types::Point;

use crate::event::SessionKey;
use crate::freshness::History;
use crate::lenders::Lending;

/// A primary whose smoothed latency exceeds the route's goal by this factor counts as slow.
const SLOW_GOAL_FACTOR: u32 = 2;
/// How long a primary must be slow before it is reported. Short peaks of demand are over before.
const SLOW_PERIOD: Duration = Duration::from_millis(1500);
/// How long after a promotion a slow primary is not reported.
const PROMOTION_COOLDOWN: Duration = Duration::from_secs(10);

/// The latest commit that was passed on.
#[derive(Clone, Copy, Debug)]
pub struct Acknowledged {
    /// Index of the server that acknowledged it.
    pub server: usize,
    /// Token of the choice by which the server led.
    pub token: u64,
    /// It is at this point or past it.
    pub least: Point,
    /// A leader has been told.
    pub is_reported: bool,
}

/// A service.
#[derive(Debug)]
pub struct Service {
    pub name: String,
    /// Indices of its servers.
    pub servers: Vec<usize>,
    /// Index of the server that is believed to lead.
    pub primary: Option<usize>,
    /// Log positions of the primary.
    pub history: History,
    /// Latest commit whose success was passed on to a caller.
    pub acknowledged: Option<Acknowledged>,
    /// When the last statement for the service was received.
    pub last_request_at: Option<Instant>,
    /// When the primary last answered the coordinators.
    pub primary_reached_at: Option<Moment>,
    /// Sessions whose statements wait.
    pub waiting: VecDeque<SessionKey>,
    /// Sessions whose waiting statements are being dispatched again, in their order.
    pub retrying: Vec<SessionKey>,
    /// Since when the primary is unusable.
    pub unusable_since: Option<Instant>,
    /// Since when the primary is slow.
    pub slow_since: Option<Instant>,
    /// When the last promotion was found to have taken effect.
    pub confirmed_at: Option<Instant>,
    /// Token of the last promotion that has taken effect.
    pub confirmed_token: u64,
    /// Number of connections that each server accepts from all proxies together.
    pub connections: u32,
    /// Lenders in this failure domain, which count while the plan has no tenants.
    pub lending: Lending,
}

impl Service {
    /// Records whether the primary is slow, compared to the goal of a statement that it served.
    pub fn on_primary_latency(&mut self, now: Instant, latency: Duration, goal: Duration) {
        if latency > goal * SLOW_GOAL_FACTOR {
            self.slow_since.get_or_insert(now);
        } else {
            self.slow_since = None;
        }
    }

    /// Whether the primary has been slow long enough to be replaced. A change costs about a second
    /// without writes and does not help if there are simply too many callers, so it is requested
    /// only once in a while.
    #[must_use]
    pub fn is_primary_slow(&self, now: Instant) -> bool {
        let slow = self
            .slow_since
            .is_some_and(|since| now >= since + SLOW_PERIOD);
        slow && self
            .confirmed_at
            .is_none_or(|at| now >= at + PROMOTION_COOLDOWN)
    }

    /// A service without servers.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            servers: Vec::new(),
            primary: None,
            history: History::default(),
            acknowledged: None,
            last_request_at: None,
            primary_reached_at: None,
            waiting: VecDeque::new(),
            retrying: Vec::new(),
            unusable_since: None,
            slow_since: None,
            confirmed_at: None,
            confirmed_token: 0,
            connections: 0,
            lending: Lending::default(),
        }
    }
}

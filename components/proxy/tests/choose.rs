//! Choice of a server for a read.

use std::time::{Duration, Instant};

use proxy::choose::{Candidate, choose};
use rstest::rstest;

fn candidate(index: usize) -> Candidate {
    Candidate {
        index,
        draining: false,
        primary: false,
        local: true,
        has_idle: true,
        can_open: true,
        running: 0,
        latency: Duration::from_millis(20),
        full: false,
        down_until: None,
        lag: Some(Duration::from_millis(20)),
        tried: false,
    }
}

/// Applies a change to the first of two equal candidates, 0 and 1, and returns the choice.
fn choose_of_two(change: impl FnOnce(&mut Candidate, Instant)) -> Option<usize> {
    let now = Instant::now();
    let mut first = candidate(0);
    change(&mut first, now);
    choose(&[first, candidate(1)], POSITION_AGE, now)
}

/// Age of the position that reads need.
const POSITION_AGE: Duration = Duration::from_millis(500);
const SHORT_TIME: Duration = Duration::from_millis(50);

#[rstest]
#[case::draining(|c: &mut Candidate, _| c.draining = true)]
#[case::primary(|c: &mut Candidate, _| c.primary = true)]
#[case::remote(|c: &mut Candidate, _| c.local = false)]
#[case::no_idle_connection(|c: &mut Candidate, _| c.has_idle = false)]
#[case::busy(|c: &mut Candidate, _| c.running = 3)]
#[case::slow(|c: &mut Candidate, _| c.latency = Duration::from_millis(90))]
#[case::failed(|c: &mut Candidate, now| c.down_until = Some(now + SHORT_TIME))]
#[case::behind(|c: &mut Candidate, _| c.lag = Some(POSITION_AGE + SHORT_TIME))]
#[case::tried(|c: &mut Candidate, _| c.tried = true)]
#[case::full(|c: &mut Candidate, _| c.full = true)]
fn avoids_the_worse_of_two_servers(#[case] change: fn(&mut Candidate, Instant)) {
    assert_eq!(choose_of_two(change), Some(1));
}

// A server must not stay excluded after its pause.
#[test]
fn uses_a_server_again_after_its_pause() {
    let now = Instant::now();
    let mut only = candidate(0);
    only.down_until = Some(now);
    assert_eq!(choose(&[only], POSITION_AGE, now), Some(0));
}

// A statement that was tried on every server must be retried rather than refused.
#[test]
fn retries_on_a_tried_server_if_no_other_is_left() {
    let mut only = candidate(0);
    only.tried = true;
    assert_eq!(choose(&[only], POSITION_AGE, Instant::now()), Some(0));
}

// Without a connection the statement must wait in the proxy, where it can still be refused.
#[test]
fn waits_if_no_connection_is_available() {
    let mut only = candidate(0);
    (only.has_idle, only.can_open) = (false, false);
    assert_eq!(choose(&[only], POSITION_AGE, Instant::now()), None);
}

#[test]
fn uses_another_failure_domain_if_the_local_server_is_busy() {
    let mut local = candidate(0);
    local.running = 2;
    let mut remote = candidate(1);
    remote.local = false;
    assert_eq!(
        choose(&[local, remote], POSITION_AGE, Instant::now()),
        Some(1)
    );
}

// A replica whose lag the read accepts must serve it, to relieve the primary.
#[test]
fn uses_a_replica_whose_lag_the_read_accepts() {
    let mut replica = candidate(0);
    replica.lag = Some(POSITION_AGE);
    let mut primary = candidate(1);
    (primary.primary, primary.lag) = (true, Some(Duration::ZERO));
    let now = Instant::now();
    assert_eq!(choose(&[replica, primary], POSITION_AGE, now), Some(0));
    assert_eq!(
        choose(&[replica, primary], POSITION_AGE - SHORT_TIME, now),
        Some(1)
    );
}

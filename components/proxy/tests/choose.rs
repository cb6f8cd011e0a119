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
        idle: true,
        room: true,
        running: 0,
        latency: Duration::from_millis(20),
        down_until: None,
        lag: Some(Duration::from_millis(20)),
        tried: false,
    }
}

/// The first candidate, changed, beside a second one that is as good as the first was.
fn chosen(change: impl FnOnce(&mut Candidate, Instant)) -> Option<usize> {
    let now = Instant::now();
    let mut first = candidate(0);
    change(&mut first, now);
    choose(&[first, candidate(1)], AGE, now)
}

/// Age of the position that reads need.
const AGE: Duration = Duration::from_millis(500);
const SOON: Duration = Duration::from_millis(50);

#[rstest]
#[case::draining(|c: &mut Candidate, _| c.draining = true)]
#[case::primary(|c: &mut Candidate, _| c.primary = true)]
#[case::remote(|c: &mut Candidate, _| c.local = false)]
#[case::no_idle_connection(|c: &mut Candidate, _| c.idle = false)]
#[case::busy(|c: &mut Candidate, _| c.running = 3)]
#[case::slow(|c: &mut Candidate, _| c.latency = Duration::from_millis(90))]
#[case::failed(|c: &mut Candidate, now| c.down_until = Some(now + SOON))]
#[case::behind(|c: &mut Candidate, _| c.lag = Some(AGE + SOON))]
#[case::tried(|c: &mut Candidate, _| c.tried = true)]
fn prefers_the_other(#[case] change: fn(&mut Candidate, Instant)) {
    assert_eq!(chosen(change), Some(1));
}

// A pause that is over is forgotten.
#[test]
fn uses_a_server_again_after_its_pause() {
    let now = Instant::now();
    let mut only = candidate(0);
    only.down_until = Some(now);
    assert_eq!(choose(&[only], AGE, now), Some(0));
}

// A statement that was tried everywhere is tried again rather than given up.
#[test]
fn tries_again_where_nothing_else_is_left() {
    let mut only = candidate(0);
    only.tried = true;
    assert_eq!(choose(&[only], AGE, Instant::now()), Some(0));
}

// The queue of a server without a connection to give is in the entry, where it can be refused.
#[test]
fn waits_without_a_connection() {
    let mut only = candidate(0);
    (only.idle, only.room) = (false, false);
    assert_eq!(choose(&[only], AGE, Instant::now()), None);
}

#[test]
fn goes_to_another_domain_when_the_own_is_busy() {
    let mut local = candidate(0);
    local.running = 2;
    let mut remote = candidate(1);
    remote.local = false;
    assert_eq!(choose(&[local, remote], AGE, Instant::now()), Some(1));
}

// A replica that lags less than the read accepts serves it; otherwise its primary would have to.
#[test]
fn uses_a_replica_that_lags_within_the_age() {
    let mut replica = candidate(0);
    replica.lag = Some(AGE);
    let mut primary = candidate(1);
    (primary.primary, primary.lag) = (true, Some(Duration::ZERO));
    let now = Instant::now();
    assert_eq!(choose(&[replica, primary], AGE, now), Some(0));
    assert_eq!(choose(&[replica, primary], AGE - SOON, now), Some(1));
}

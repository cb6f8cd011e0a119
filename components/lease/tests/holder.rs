//! Guards against acknowledgements after the lease has ended or under an old term.

use std::time::{Duration, Instant};

use lease::allowance::Allowance;
use lease::holder::Lease;
use lease::quota::Quota;
use types::{Name, Revision, Term};

const TTL: Duration = Duration::from_millis(1000);

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn receive_grant(lease: &mut Lease, seq: u64) -> bool {
    lease.on_grant(seq, TTL, Revision(1), Revision(1)).is_some()
}

/// The leader counts the lease from the time at which it got the renewal. A lease that runs from
/// the arrival of the grant would outlast the leader's deadline.
#[test]
fn a_lease_runs_from_the_time_at_which_the_renewal_was_sent() {
    let start = Instant::now();
    let mut lease = Lease::default();
    assert!(!lease.is_valid(start));
    let seq = lease.on_renewal_sent(start);
    assert!(receive_grant(&mut lease, seq));
    assert!(lease.is_valid(start + ms(999)));
    assert!(!lease.is_valid(start + TTL));
}

/// A grant that was delayed for most of the ttl must not extend a newer lease.
#[test]
fn a_late_grant_extends_the_lease_only_from_its_own_renewal() {
    let start = Instant::now();
    let mut lease = Lease::default();
    let old_seq = lease.on_renewal_sent(start);
    let new_seq = lease.on_renewal_sent(start + ms(250));
    assert!(receive_grant(&mut lease, new_seq));
    assert!(receive_grant(&mut lease, old_seq));
    assert_eq!(lease.deadline(), Some(start + ms(1250)));
    assert!(!receive_grant(&mut lease, old_seq), "grant received twice");
    assert!(!receive_grant(&mut lease, 77), "renewal never sent");
}

/// A process that was stopped for seconds must find that its lease has ended before it passes on
/// any acknowledgement.
#[test]
fn an_instance_that_was_frozen_past_its_lease_acknowledges_no_write() {
    let start = Instant::now();
    let mut lease = Lease::default();
    let seq = lease.on_renewal_sent(start);
    receive_grant(&mut lease, seq);
    let seq_before_freeze = lease.on_renewal_sent(start + ms(250));
    let resumed_at = start + ms(5_000);
    assert!(!lease.may_acknowledge(resumed_at, Term(1), Some(Term(1))));
    assert!(
        receive_grant(&mut lease, seq_before_freeze),
        "the grant waited in the socket"
    );
    assert!(!lease.may_acknowledge(resumed_at, Term(1), Some(Term(1))));
}

/// Counting the grant first would allow an acknowledgement that the grant's changes forbid.
#[test]
fn a_grant_counts_only_after_its_changes_are_applied() {
    let start = Instant::now();
    let mut lease = Lease::default();
    let seq = lease.on_renewal_sent(start);
    assert_eq!(lease.on_grant(seq, TTL, Revision(5), Revision(4)), None);
    assert!(!lease.is_valid(start));
    assert_eq!(
        lease.on_grant(seq, TTL, Revision(5), Revision(5)),
        Some(start + TTL)
    );
    assert!(lease.is_valid(start));
}

#[test]
fn a_write_of_another_term_or_during_a_change_of_primary_is_not_acknowledged() {
    let start = Instant::now();
    let mut lease = Lease::default();
    let seq = lease.on_renewal_sent(start);
    receive_grant(&mut lease, seq);
    assert!(lease.may_acknowledge(start, Term(2), Some(Term(2))));
    assert!(!lease.may_acknowledge(start, Term(1), Some(Term(2))));
    assert!(!lease.may_acknowledge(start, Term(2), None));
    lease.end();
    assert!(!lease.may_acknowledge(start, Term(2), Some(Term(2))));
}

/// Surplus connections that outlive the grant that allowed them may have been granted to another
/// instance.
#[test]
fn surplus_connections_end_with_their_own_grant_and_the_others_with_the_lease() {
    let start = Instant::now();
    let quota = |connections| Quota {
        target: Name::try_from("t1").unwrap(),
        connections,
    };
    let mut allowance = Allowance::default();
    allowance.on_grant(1, start + ms(1000), &[quota(9)]);
    allowance.on_grant(3, start + ms(1500), &[quota(4)]);
    allowance.on_grant(2, start + ms(1250), &[quota(7)]);
    let limits_and_confirmed_seq = |allowance: &mut Allowance, at_ms| {
        let now = start + ms(at_ms);
        (
            allowance.soft_limit(now, "t1", 2),
            allowance.hard_limit(now, "t1", 2),
            allowance.confirmed_seq(now),
        )
    };
    assert_eq!(limits_and_confirmed_seq(&mut allowance, 999), (4, 9, 1));
    assert_eq!(limits_and_confirmed_seq(&mut allowance, 1000), (4, 4, 3));
    assert_eq!(limits_and_confirmed_seq(&mut allowance, 1500), (2, 2, 3));
    allowance.on_grant(4, start + ms(1900), &[]);
    allowance.on_surplus_closed();
    assert_eq!(
        limits_and_confirmed_seq(&mut allowance, 1600),
        (2, 2, 4),
        "the floor is not named"
    );
}

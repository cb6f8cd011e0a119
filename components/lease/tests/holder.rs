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

fn grant(lease: &mut Lease, seq: u64) -> bool {
    lease.on_grant(seq, TTL, Revision(1), Revision(1)).is_some()
}

/// The leader counts from a time after the sending; counting from the arrival would outlast it.
#[test]
fn a_lease_runs_from_the_sending_of_the_renewal() {
    let start = Instant::now();
    let mut lease = Lease::default();
    assert!(!lease.valid(start));
    let seq = lease.on_send(start);
    assert!(grant(&mut lease, seq));
    assert!(lease.valid(start + ms(999)));
    assert!(!lease.valid(start + TTL));
}

/// An answer that was delayed for most of the ttl must not extend a newer lease.
#[test]
fn an_answer_to_an_old_renewal_extends_no_further_than_that_renewal() {
    let start = Instant::now();
    let mut lease = Lease::default();
    let old = lease.on_send(start);
    let new = lease.on_send(start + ms(250));
    assert!(grant(&mut lease, new));
    assert!(grant(&mut lease, old));
    assert_eq!(lease.deadline(), Some(start + ms(1250)));
    assert!(!grant(&mut lease, old), "answered twice");
    assert!(!grant(&mut lease, 77), "never sent");
}

/// A process that was stopped for seconds must find its lease ended before it answers anybody.
#[test]
fn an_entry_frozen_past_its_lease_acknowledges_nothing() {
    let start = Instant::now();
    let mut lease = Lease::default();
    let seq = lease.on_send(start);
    grant(&mut lease, seq);
    let frozen = lease.on_send(start + ms(250));
    let woken = start + ms(5_000);
    assert!(!lease.allows(woken, Term(1), Some(Term(1))));
    assert!(grant(&mut lease, frozen), "the grant lay in the socket");
    assert!(!lease.allows(woken, Term(1), Some(Term(1))));
}

/// Counting the lease first would allow an acknowledgement that the grant's changes forbid.
#[test]
fn a_grant_counts_only_when_its_changes_are_applied() {
    let start = Instant::now();
    let mut lease = Lease::default();
    let seq = lease.on_send(start);
    assert_eq!(lease.on_grant(seq, TTL, Revision(5), Revision(4)), None);
    assert!(!lease.valid(start));
    assert_eq!(
        lease.on_grant(seq, TTL, Revision(5), Revision(5)),
        Some(start + TTL)
    );
    assert!(lease.valid(start));
}

#[test]
fn a_write_of_another_term_or_during_a_change_is_not_acknowledged() {
    let start = Instant::now();
    let mut lease = Lease::default();
    let seq = lease.on_send(start);
    grant(&mut lease, seq);
    assert!(lease.allows(start, Term(2), Some(Term(2))));
    assert!(!lease.allows(start, Term(1), Some(Term(2))));
    assert!(!lease.allows(start, Term(2), None));
    lease.end();
    assert!(!lease.allows(start, Term(2), Some(Term(2))));
}

/// A surplus that outlives the grant that allowed it is handed out to another entry.
#[test]
fn a_surplus_ends_with_its_own_grant_and_the_rest_with_the_lease() {
    let start = Instant::now();
    let quota = |connections| Quota {
        target: Name::try_from("t1").unwrap(),
        connections,
    };
    let mut allowance = Allowance::default();
    allowance.on_grant(1, start + ms(1000), &[quota(9)]);
    allowance.on_grant(3, start + ms(1500), &[quota(4)]);
    allowance.on_grant(2, start + ms(1250), &[quota(7)]);
    let numbers = |a: &mut Allowance, at| {
        let now = start + ms(at);
        (
            a.allowed(now, "t1", 2),
            a.most(now, "t1", 2),
            a.confirmed(now),
        )
    };
    assert_eq!(numbers(&mut allowance, 999), (4, 9, 1));
    assert_eq!(numbers(&mut allowance, 1000), (4, 4, 3));
    assert_eq!(numbers(&mut allowance, 1500), (2, 2, 3));
    allowance.on_grant(4, start + ms(1900), &[]);
    allowance.on_closed();
    assert_eq!(
        numbers(&mut allowance, 1600),
        (2, 2, 4),
        "the floor is not named"
    );
}

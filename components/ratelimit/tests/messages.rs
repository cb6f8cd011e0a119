//! Conversions to and from the wire messages.

use std::time::Duration;

use ratelimit::{Claim, Grant, Issue, MAX_NEEDS, Need};

fn claim(needs: usize) -> Claim<u8> {
    let need = Need {
        tenant: 1,
        held: 2,
        waiting: 3,
        ahead: 4,
        share_milli: 5,
    };
    Claim {
        number: 7,
        received: 6,
        proxies: 8,
        needs: vec![need; needs],
    }
}

/// Guards against fields that are exchanged, and needs without a name that reach the issuer.
#[test]
fn claims_give_tenants_by_name() {
    let message = claim(1).to_wire("e1", |tenant| (*tenant == 1).then_some("one"));
    let received = Claim::try_from(message).unwrap();
    assert_eq!((received.number, received.received), (7, 6));
    assert_eq!((received.proxies, received.needs[0].share_milli), (8, 5));
    let need = &received.needs[0];
    assert_eq!(need.tenant, "one");
    assert_eq!((need.held, need.waiting, need.ahead), (2, 3, 4));
    assert_eq!(claim(1).to_wire("e1", |_| None).needs, []);
}

/// Guards against a message that makes the issuer do unbounded work.
#[test]
fn long_claims_are_rejected() {
    let message = claim(MAX_NEEDS + 1).to_wire("e1", |_| Some("one"));
    let error = Claim::try_from(message).unwrap_err();
    assert!(error.to_string().contains("1025 tenants"), "{error}");
}

/// Guards against a retry time that is rounded down: the caller would come back too early.
#[test]
fn issues_round_retry_times_up() {
    let grant = Grant {
        tenant: "one".to_owned(),
        tokens: 5,
        retry_in: Duration::from_micros(1200),
        share_milli: 3,
    };
    let message = wire::Issue::from(Issue {
        number: 7,
        grants: vec![grant],
    });
    let received = Issue::from_wire(&message, |name| (name == "one").then_some(1)).unwrap();
    assert_eq!((received.number, received.grants[0].tenant), (7, 1));
    assert_eq!(received.grants[0].tokens, 5);
    assert_eq!(received.grants[0].share_milli, 3);
    assert_eq!(received.grants[0].retry_in, Duration::from_millis(2));
    let unknown = Issue::<u8>::from_wire(&message, |_| None).unwrap();
    assert_eq!(unknown.grants, []);
}

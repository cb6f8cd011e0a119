//! Which proxies lend connections.

use std::collections::BTreeMap;

use proxy::lenders::{
    BACKUP_LENDER_COUNT, Duty, LENDER_COUNT, Lending, Neighbour, preferred, ranked,
    ranked_for_server,
};
use proxy::outbox::Outbox;
use proxy::tenant::Directory;
use tokio::sync::mpsc;
use wire::Borrow;

fn neighbours(count: u16) -> Vec<Neighbour> {
    let neighbour = |index: u16| Neighbour {
        instance: format!("entry-{index}"),
        domain: "a".to_owned(),
        address: ([10, 0, 0, 1], index + 1).into(),
    };
    (0..count).map(neighbour).collect()
}

// Proxies that disagree would ask others that lend nothing.
#[test]
fn ranking_does_not_depend_on_the_list_order() {
    let all = neighbours(30);
    let mut reversed = all.clone();
    reversed.reverse();
    for service in ["orders", "herbs", "eggs"] {
        assert_eq!(ranked(&all, service), ranked(&reversed, service));
    }
}

// The loss of a proxy must not move connections that others lend, as these would all have to be
// opened again.
#[test]
fn losing_a_proxy_moves_only_its_own_loans() {
    let all = neighbours(30);
    for service in ["orders", "herbs", "eggs"] {
        let before = ranked(&all, service);
        let lost = before[0].clone();
        let remaining: Vec<Neighbour> = all
            .iter()
            .filter(|neighbour| **neighbour != lost)
            .cloned()
            .collect();
        assert_eq!(ranked(&remaining, service), before[1..]);
    }
}

// No proxy may become a lender of far more services than the others.
#[test]
fn spreads_services_over_proxies() {
    let all = neighbours(30);
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for service in 0..300 {
        for neighbour in ranked(&all, &format!("service-{service}"))
            .iter()
            .take(LENDER_COUNT)
        {
            *counts.entry(neighbour.instance.clone()).or_default() += 1;
        }
    }
    // Expected: 20 each.
    assert!(
        counts.len() == 30 && counts.values().all(|count| *count < 45),
        "{counts:?}"
    );
}

/// Thirty proxies in each of the domains a, b and c.
fn in_domains() -> Vec<Neighbour> {
    let mut all = neighbours(90);
    for (index, neighbour) in all.iter_mut().enumerate() {
        neighbour.domain = ["a", "b", "c"][index % 3].to_owned();
    }
    all
}

// A lender in another domain could not reach a server whose domain is cut off, and no proxy of the
// domain may hold the connections of far more servers than the others.
#[test]
fn spreads_servers_over_the_proxies_of_their_domain() {
    let all = in_domains();
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for server in 0..300 {
        let ranked = ranked_for_server(&all, "b", &format!("server-{server}"));
        let (lenders, others) = ranked.split_at(LENDER_COUNT);
        assert!(lenders.iter().all(|lender| lender.domain == "b"));
        let stand_ins = &others[..BACKUP_LENDER_COUNT];
        assert!(stand_ins.iter().all(|other| other.domain == "b"));
        for lender in lenders {
            *counts.entry(lender.instance.clone()).or_default() += 1;
        }
    }
    // Expected: 20 each.
    assert!(
        counts.len() == 30 && counts.values().all(|count| *count < 45),
        "{counts:?}"
    );
}

// The loss of a proxy must move no connections but its own, whichever domain it is in.
#[test]
fn losing_a_proxy_moves_only_its_own_servers() {
    let all = in_domains();
    for lost in [&all[1], &all[2]] {
        let mut remaining = all.clone();
        remaining.retain(|neighbour| neighbour != lost);
        for server in (0..300).map(|number| format!("server-{number}")) {
            let mut before = ranked_for_server(&all, "b", &server);
            before.retain(|neighbour| *neighbour != lost);
            assert_eq!(ranked_for_server(&remaining, "b", &server), before);
        }
    }
}

// A server whose domain has no proxy, or a single one, must have as many lenders as others.
#[test]
fn proxies_of_other_domains_lend_where_the_own_ones_are_too_few() {
    let mut all = in_domains();
    all.retain(|neighbour| neighbour.domain != "b" || neighbour.instance == "entry-1");
    for server in (0..50).map(|number| format!("server-{number}")) {
        let ranked = ranked_for_server(&all, "b", &server);
        assert_eq!(ranked[0].instance, "entry-1");
        assert_eq!(ranked.len(), all.len());
        assert_eq!(
            ranked[1..],
            ranked_for_server(&all, "d", &server)
                .into_iter()
                .filter(|neighbour| neighbour.domain != "b")
                .collect::<Vec<_>>()
        );
    }
}

// A proxy that misjudges its place would open connections beside the lenders, or lend none; and one
// that asks a stand-in first would make it open some.
#[test]
fn duties_follow_the_order() {
    let all = neighbours(6);
    let ranked = ranked_for_server(&all, "a", "server");
    let duty = |instance: &str| {
        let mut lending = Lending::default();
        lending.update(instance, ranked.clone());
        lending.duty
    };
    let duties: Vec<Duty> = ranked.iter().map(|other| duty(&other.instance)).collect();
    use Duty::{Borrows, Lends, StandsIn};
    assert_eq!(duties, [Lends, Lends, StandsIn, StandsIn, Borrows, Borrows]);
    assert_eq!(duty("unlisted"), Borrows);
    let mut lending = Lending::default();
    assert_eq!(lending.duty, Duty::Unknown);
    lending.update("unlisted", ranked.clone());
    for tenant in ["t0", "t1", "t2", "t3"] {
        let order = lending.ask_order("unlisted", Some(tenant), "server");
        let first = preferred("unlisted", Some(tenant), "server");
        assert_eq!(order[0], (ranked[first].address, true));
        let are_lenders: Vec<bool> = order.iter().map(|(_, is_lender)| *is_lender).collect();
        assert_eq!(are_lenders, [true, true, false, false]);
    }
}

// The first lender of a service must differ between proxies, so that no lender gets all requests.
#[test]
fn spreads_proxies_over_lenders() {
    let first =
        (0..200).filter(|number| preferred(&format!("entry-{number}"), None, "orders") == 0);
    let first = first.count();
    assert!((60..140).contains(&first), "{first} of 200");
}

// All proxies must ask the same lender for a tenant, which otherwise opens connections at both; and
// the tenants must be spread over the lenders.
#[test]
fn first_lender_of_a_tenant_is_the_same_for_all_proxies() {
    let lender = |instance, tenant: &str| preferred(instance, Some(tenant), "orders");
    let tenants: Vec<String> = (0..200).map(|number| format!("tenant-{number}")).collect();
    let same = tenants
        .iter()
        .all(|name| lender("entry-1", name) == lender("entry-2", name));
    assert!(same);
    let first = tenants.iter().filter(|name| lender("entry-1", name) == 0);
    let first = first.count();
    assert!((60..140).contains(&first), "{first} of 200");
}

// A faulty peer must neither exhaust the memory with names nor put control characters into a startup
// message. Names of the plan stay valid beyond the bound.
#[test]
fn names_of_peers_are_checked_and_bounded() {
    let mut directory = Directory::default();
    assert_eq!(directory.named_by_peer("a b"), None);
    assert_eq!(directory.named_by_peer("a\r\nQUERY"), None);
    let known = directory.named_by_peer("tenant");
    assert!(known.is_some());
    let learned = (0..20_000).filter(|number| {
        let id = directory.named_by_peer(&format!("peer-{number}"));
        id.is_some()
    });
    assert!(learned.count() < 20_000);
    assert_eq!(directory.named_by_peer("tenant"), known);
    let planned = directory.id("planned");
    assert_eq!(directory.name(planned), "planned");
}

// Guards against a lender that keeps a connection lent for good, as the message that returns the loan
// found no room in the queue and nothing closed the stream.
#[test]
fn stream_must_close_if_a_loan_cannot_be_returned() {
    let (out, mut outgoing) = mpsc::channel(1);
    let mut out = Outbox::new(out);
    out.return_loan(1, true);
    assert!(!out.must_close(), "the first loan is returned");
    assert!(!out.send(Borrow::Return {
        loan: 2,
        clean: true
    }));
    assert!(!out.must_close(), "the sender has handled the failure");
    out.return_loan(3, true);
    assert!(out.must_close(), "the lender does not know of the end");
    outgoing.try_recv().unwrap();
    out.return_loan(4, true);
    assert!(out.must_close(), "loan 3 is still open");
}

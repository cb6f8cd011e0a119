//! Which proxies lend connections.

use std::collections::BTreeMap;

use proxy::lenders::{LENDER_COUNT, Neighbour, preferred, ranked};
use proxy::tenant::Directory;

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

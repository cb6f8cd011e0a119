//! Which entries lend connections.

use std::collections::BTreeMap;

use proxy::lenders::{LENDERS, Neighbour, preferred, ranked};

fn entries(count: u16) -> Vec<Neighbour> {
    let entry = |index: u16| Neighbour {
        instance: format!("entry-{index}"),
        address: ([10, 0, 0, 1], index + 1).into(),
    };
    (0..count).map(entry).collect()
}

// Entries that disagreed would ask those who lend nothing.
#[test]
fn agree_whatever_the_order() {
    let all = entries(30);
    let mut reversed = all.clone();
    reversed.reverse();
    for service in ["orders", "herbs", "eggs"] {
        assert_eq!(ranked(&all, service), ranked(&reversed, service));
    }
}

// The loss of one entry must not move what the others lend, as all their connections would be opened anew.
#[test]
fn move_only_what_a_lost_entry_lent() {
    let all = entries(30);
    for service in ["orders", "herbs", "eggs"] {
        let before = ranked(&all, service);
        let lost = before[0].clone();
        let rest: Vec<Neighbour> = all.iter().filter(|it| **it != lost).cloned().collect();
        assert_eq!(ranked(&rest, service), before[1..]);
    }
}

// One entry that lent for most services would bind them all.
#[test]
fn share_the_services() {
    let all = entries(30);
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for service in 0..300 {
        for entry in ranked(&all, &format!("service-{service}"))
            .iter()
            .take(LENDERS)
        {
            *counts.entry(entry.instance.clone()).or_default() += 1;
        }
    }
    // 20 on average.
    assert!(
        counts.len() == 30 && counts.values().all(|count| *count < 45),
        "{counts:?}"
    );
}

// Entries ask different lenders of a service first.
#[test]
fn share_the_entries() {
    let first = (0..200).filter(|it| preferred(&format!("entry-{it}"), "orders") == 0);
    let first = first.count();
    assert!((60..140).contains(&first), "{first} of 200");
}

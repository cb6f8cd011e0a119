//! Lists of the running entries.

use std::time::{Duration, Instant};

use coordinator::neighbours::Neighbours;
use types::Name;
use wire::Neighbour;

fn entry(instance: &str, domain: &str) -> Neighbour {
    Neighbour {
        instance: instance.to_owned(),
        domain: domain.to_owned(),
        address: format!("10.0.0.1:{}", instance.len()),
    }
}

fn after_ms(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

// A coordinator that has just started knows few entries. If it published them, each entry would take
// too large a share of the connections.
#[test]
fn publishes_no_list_before_all_instances_can_have_sent_theirs() {
    let start = Instant::now();
    let mut neighbours = Neighbours::new(start);
    assert!(
        neighbours
            .update(after_ms(start, 250), vec![entry("e1", "a")])
            .is_empty()
    );
    assert_eq!(neighbours.count(after_ms(start, 250)), None);
    let later = after_ms(start, 3500);
    let lists = neighbours.update(later, vec![entry("e1", "a"), entry("e2", "b")]);
    assert_eq!(lists["a"], [entry("e1", "a")]);
    assert_eq!(lists["b"], [entry("e2", "b")]);
    assert_eq!(neighbours.count(later), Some(2));
}

// Entries that lose their coordinator open a stream to another one; the list, and with it the choice
// of lenders, must not change.
#[test]
fn keeps_an_entry_that_moves_to_another_coordinator() {
    let start = Instant::now();
    let mut neighbours = Neighbours::new(start);
    let other = Name::try_from("c2").unwrap();
    let now = after_ms(start, 4000);
    neighbours.on_list(now, other.clone(), vec![entry("e2", "a")]);
    assert_eq!(neighbours.update(now, vec![entry("e1", "a")])["a"].len(), 2);
    let now = after_ms(start, 4250);
    neighbours.on_list(now, other, Vec::new());
    assert!(neighbours.update(now, vec![entry("e1", "a")]).is_empty());
    let now = after_ms(start, 5000);
    let both = vec![entry("e1", "a"), entry("e2", "a")];
    assert!(neighbours.update(now, both).is_empty());
}

// An entry that stays away must be removed after the grace period, and one that stops at once.
#[test]
fn removes_an_entry_that_has_gone_or_stops() {
    let start = Instant::now();
    let mut neighbours = Neighbours::new(start);
    let now = after_ms(start, 4000);
    neighbours.update(
        now,
        vec![entry("e1", "a"), entry("e2", "a"), entry("e3", "a")],
    );
    neighbours.on_left("e3");
    let lists = neighbours.update(
        after_ms(start, 4100),
        vec![entry("e1", "a"), entry("e2", "a")],
    );
    assert_eq!(lists["a"], [entry("e1", "a"), entry("e2", "a")]);
    let lists = neighbours.update(after_ms(start, 6000), vec![entry("e1", "a")]);
    assert_eq!(lists["a"], [entry("e1", "a")]);
}

// Entries borrow across domains if the plan has tenants: each must learn of all entries, also of the
// end of the last one in a domain, and gets no list that has not changed.
#[test]
fn the_list_of_all_domains_is_returned_when_it_changes() {
    let start = Instant::now();
    let mut neighbours = Neighbours::new(start);
    let both = vec![entry("e1", "a"), entry("e2", "b")];
    assert_eq!(
        neighbours.update_all(after_ms(start, 250), both.clone()),
        None
    );
    assert!(neighbours.all().is_empty());
    let now = after_ms(start, 4000);
    assert_eq!(neighbours.update_all(now, both.clone()), Some(both.clone()));
    assert_eq!(
        neighbours.update_all(after_ms(start, 4250), both.clone()),
        None
    );
    assert_eq!(neighbours.all(), both);
    neighbours.on_left("e2");
    let rest = vec![entry("e1", "a")];
    let now = after_ms(start, 4500);
    assert_eq!(neighbours.update_all(now, rest.clone()), Some(rest));
}

// Each change is sent at once, and the list is repeated, as a message may be lost with its stream.
#[test]
fn repeats_its_list_to_the_other_instances() {
    let start = Instant::now();
    let mut neighbours = Neighbours::new(start);
    let own = [entry("e1", "a")];
    assert_eq!(
        neighbours.next_message(start, &own).as_deref(),
        Some(&own[..])
    );
    assert_eq!(neighbours.next_message(after_ms(start, 250), &own), None);
    assert_eq!(
        neighbours
            .next_message(after_ms(start, 500), &[])
            .as_deref(),
        Some(&[][..])
    );
    assert!(
        neighbours
            .next_message(after_ms(start, 3000), &[])
            .is_some()
    );
}

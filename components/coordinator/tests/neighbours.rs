//! Which entries there are.

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

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

// A coordinator that has just started has heard of few entries. What it told made each entry take a share
// of the connections that belonged to many.
#[test]
fn tells_nothing_before_it_can_know_all() {
    let start = Instant::now();
    let mut known = Neighbours::new(start);
    assert!(
        known
            .follow(after(start, 250), vec![entry("e1", "a")])
            .is_empty()
    );
    assert_eq!(known.count(after(start, 250)), None);
    let later = after(start, 3500);
    let lists = known.follow(later, vec![entry("e1", "a"), entry("e2", "b")]);
    assert_eq!(lists["a"], [entry("e1", "a")]);
    assert_eq!(lists["b"], [entry("e2", "b")]);
    assert_eq!(known.count(later), Some(2));
}

// Entries whose coordinator is lost open a stream to another one; who lends must not change by that.
#[test]
fn keeps_an_entry_that_changes_its_coordinator() {
    let start = Instant::now();
    let mut known = Neighbours::new(start);
    let other = Name::try_from("c2").unwrap();
    let now = after(start, 4000);
    known.on_told(now, other.clone(), vec![entry("e2", "a")]);
    assert_eq!(known.follow(now, vec![entry("e1", "a")])["a"].len(), 2);
    let now = after(start, 4250);
    known.on_told(now, other, Vec::new());
    assert!(known.follow(now, vec![entry("e1", "a")]).is_empty());
    let now = after(start, 5000);
    let both = vec![entry("e1", "a"), entry("e2", "a")];
    assert!(known.follow(now, both).is_empty());
}

// An entry that is gone for good leaves the list, and one that stops leaves it at once.
#[test]
fn drops_an_entry_that_is_gone() {
    let start = Instant::now();
    let mut known = Neighbours::new(start);
    let now = after(start, 4000);
    known.follow(
        now,
        vec![entry("e1", "a"), entry("e2", "a"), entry("e3", "a")],
    );
    known.on_left("e3");
    let lists = known.follow(after(start, 4100), vec![entry("e1", "a"), entry("e2", "a")]);
    assert_eq!(lists["a"], [entry("e1", "a"), entry("e2", "a")]);
    let lists = known.follow(after(start, 6000), vec![entry("e1", "a")]);
    assert_eq!(lists["a"], [entry("e1", "a")]);
}

// The others are told of each change and, as a message may be lost with its stream, again in a while.
#[test]
fn repeats_what_it_tells_the_others() {
    let start = Instant::now();
    let mut known = Neighbours::new(start);
    let own = [entry("e1", "a")];
    assert_eq!(known.due(start, &own).as_deref(), Some(&own[..]));
    assert_eq!(known.due(after(start, 250), &own), None);
    assert_eq!(known.due(after(start, 500), &[]).as_deref(), Some(&[][..]));
    assert!(known.due(after(start, 3000), &[]).is_some());
}

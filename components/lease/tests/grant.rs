//! Guards against treating a lease as ended while its holder may still acknowledge.

use std::time::{Duration, Instant};

use lease::grant::{Renewal, Table, span};
use types::{Name, Revision};

const TTL: Duration = Duration::from_millis(1000);
const DRIFT: u32 = 1000;
const OLD: Duration = Duration::from_secs(60);

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

/// A table whose grace has ended.
fn table(start: Instant, entries: &[&str]) -> Table {
    let names: Vec<Name> = entries.iter().map(|text| name(text)).collect();
    Table::new(start - OLD, TTL, DRIFT, &names)
}

fn renew(table: &mut Table, now: Instant, entry: &str, boot: u64, age: Duration, at: u64) -> bool {
    table.renew(
        now,
        &Renewal {
            instance: &name(entry),
            boot,
            age,
            revision: Revision(at),
        },
    )
}

fn lease(table: &mut Table, now: Instant, entry: &str, boot: u64, at: u64) -> bool {
    renew(table, now, entry, boot, OLD, at) && table.grant(now, entry, boot, Revision(at)).is_some()
}

/// A slow clock holds the lease for longer than the ttl on the leader's clock, and the later grant
/// that carries the fence may be lost.
#[test]
fn a_lease_is_counted_with_the_drift() {
    let start = Instant::now();
    let mut table = table(start, &["e1"]);
    assert!(lease(&mut table, start, "e1", 1, 4));
    assert!(table.grant(start + ms(250), "e1", 1, Revision(5)).is_some());
    assert!(!table.fenced_by(start + ms(1000), Revision(5)));
    assert!(table.fenced_by(start + ms(1001), Revision(5)));
    assert_eq!(span(Duration::from_nanos(1), 1), Duration::from_nanos(2));
}

/// Live entries must not cost the full ttl, and one that is silent must.
#[test]
fn a_confirmation_ends_the_wait_for_that_entry_only() {
    let start = Instant::now();
    let mut table = table(start, &["e1", "e2"]);
    lease(&mut table, start, "e1", 1, 4);
    lease(&mut table, start, "e2", 1, 4);
    renew(&mut table, start + ms(20), "e1", 1, OLD, 5);
    let waiting: Vec<&Name> = table.waiting(start + ms(20), Revision(5)).collect();
    assert_eq!(waiting, [&name("e2")]);
    renew(&mut table, start + ms(30), "e2", 1, OLD, 5);
    assert!(table.fenced_by(start + ms(30), Revision(5)));
}

/// The process before the restart may be frozen with a valid lease.
#[test]
fn the_lease_of_an_earlier_boot_counts_until_its_deadline_or_its_end() {
    let start = Instant::now();
    let mut table = table(start, &["e1"]);
    lease(&mut table, start, "e1", 1, 4);
    lease(&mut table, start + ms(100), "e1", 2, 5);
    assert!(!table.fenced_by(start + ms(1000), Revision(5)));
    assert!(!lease(&mut table, start + ms(200), "e1", 1, 4), "replaced");
    assert!(table.grant(start + ms(200), "e1", 1, Revision(5)).is_none());
    table.end("e1", 1);
    assert!(table.fenced_by(start + ms(200), Revision(5)));
}

#[test]
fn a_new_leader_waits_for_the_grace_or_for_every_entry() {
    let start = Instant::now();
    let names = [name("e1"), name("e2")];
    let mut table = Table::new(start, TTL, DRIFT, &names);
    // A process that has just started says nothing of the one that it replaced.
    renew(&mut table, start, "e1", 1, ms(500), 5);
    renew(&mut table, start, "e2", 1, ms(500), 5);
    assert!(!table.fenced_by(start, Revision(5)));
    let mut table = Table::new(start, TTL, DRIFT, &names);
    renew(&mut table, start, "e1", 1, OLD, 5);
    assert!(!table.fenced_by(start, Revision(5)), "e2 may hold a lease");
    renew(&mut table, start, "e2", 1, OLD, 4);
    assert!(!table.fenced_by(start, Revision(5)), "e2 is at revision 4");
    assert!(table.fenced_by(start, Revision(4)));
    renew(&mut table, start + ms(1), "e2", 1, OLD, 5);
    assert!(table.fenced_by(start + ms(1), Revision(5)));
    assert!(Table::new(start, TTL, DRIFT, &names).fenced_by(start + ms(1001), Revision(5)));
}

/// The next leader would not count the lease of an entry that is no longer enrolled.
#[test]
fn an_entry_is_free_for_dismissal_after_its_last_lease() {
    let start = Instant::now();
    let mut table = table(start, &["e1"]);
    lease(&mut table, start, "e1", 1, 4);
    table.close(&name("e1"));
    assert!(!lease(&mut table, start + ms(250), "e1", 1, 4));
    assert!(!table.is_free(start + ms(1000), "e1"));
    assert!(table.is_free(start + ms(1001), "e1"));
    assert!(!Table::new(start, TTL, DRIFT, &[name("e1")]).is_free(start, "e1"));
}

#[test]
fn only_entries_with_a_lease_are_live_and_unknown_ones_get_none() {
    let start = Instant::now();
    let mut table = table(start, &["e1", "e2"]);
    lease(&mut table, start, "e1", 1, 4);
    assert_eq!(table.live(start).collect::<Vec<_>>(), [&name("e1")]);
    assert_eq!(table.live(start + ms(1001)).count(), 0);
    assert!(!lease(&mut table, start, "stranger", 1, 4));
    table.enroll(&name("stranger"));
    assert!(lease(&mut table, start, "stranger", 1, 4));
}

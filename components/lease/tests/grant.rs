//! Guards against treating a lease as ended while its holder may still acknowledge writes.

use std::time::{Duration, Instant};

use lease::grant::{Renewal, Table, ttl_with_drift};
use types::{Name, Revision};

const TTL: Duration = Duration::from_millis(1000);
const DRIFT_PPM: u32 = 1000;
/// Age at which no earlier process of an instance can hold a lease.
const SETTLED_AGE: Duration = Duration::from_secs(60);

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

/// Creates a table after its grace deadline.
fn table(start: Instant, instances: &[&str]) -> Table {
    let names: Vec<Name> = instances.iter().map(|text| name(text)).collect();
    Table::new(start - SETTLED_AGE, TTL, DRIFT_PPM, &names)
}

fn renew(
    table: &mut Table,
    now: Instant,
    instance: &str,
    boot: u64,
    age: Duration,
    revision: u64,
) -> bool {
    table.renew(
        now,
        &Renewal {
            instance: &name(instance),
            boot,
            age,
            revision: Revision(revision),
        },
    )
}

fn renew_and_grant(
    table: &mut Table,
    now: Instant,
    instance: &str,
    boot: u64,
    revision: u64,
) -> bool {
    renew(table, now, instance, boot, SETTLED_AGE, revision)
        && table
            .grant(now, instance, boot, Revision(revision))
            .is_some()
}

/// A holder with a slow clock keeps the lease for longer than the ttl on the leader's clock, and
/// the later grant that carries the fence may be lost.
#[test]
fn a_lease_counts_for_the_ttl_with_drift() {
    let start = Instant::now();
    let mut table = table(start, &["e1"]);
    assert!(renew_and_grant(&mut table, start, "e1", 1, 4));
    assert!(table.grant(start + ms(250), "e1", 1, Revision(5)).is_some());
    assert!(!table.is_fenced(start + ms(1000), Revision(5)));
    assert!(table.is_fenced(start + ms(1001), Revision(5)));
    assert_eq!(
        ttl_with_drift(Duration::from_nanos(1), 1),
        Duration::from_nanos(2)
    );
}

/// A fence must not wait for an instance that has confirmed, but has to wait for a silent one.
#[test]
fn a_confirmation_ends_the_wait_for_that_instance_only() {
    let start = Instant::now();
    let mut table = table(start, &["e1", "e2"]);
    renew_and_grant(&mut table, start, "e1", 1, 4);
    renew_and_grant(&mut table, start, "e2", 1, 4);
    renew(&mut table, start + ms(20), "e1", 1, SETTLED_AGE, 5);
    let unfenced: Vec<&Name> = table
        .unfenced_instances(start + ms(20), Revision(5))
        .collect();
    assert_eq!(unfenced, [&name("e2")]);
    renew(&mut table, start + ms(30), "e2", 1, SETTLED_AGE, 5);
    assert!(table.is_fenced(start + ms(30), Revision(5)));
}

/// The process that was replaced may be frozen with a valid lease.
#[test]
fn the_lease_of_an_earlier_boot_counts_until_its_deadline_or_removal() {
    let start = Instant::now();
    let mut table = table(start, &["e1"]);
    renew_and_grant(&mut table, start, "e1", 1, 4);
    renew_and_grant(&mut table, start + ms(100), "e1", 2, 5);
    assert!(!table.is_fenced(start + ms(1000), Revision(5)));
    assert!(
        !renew_and_grant(&mut table, start + ms(200), "e1", 1, 4),
        "the process was replaced"
    );
    assert!(table.grant(start + ms(200), "e1", 1, Revision(5)).is_none());
    table.remove_leases("e1", 1);
    assert!(table.is_fenced(start + ms(200), Revision(5)));
}

/// A new leader does not know the leases that the earlier leader granted.
#[test]
fn a_new_leader_waits_for_the_grace_deadline_or_for_every_instance() {
    let start = Instant::now();
    let names = [name("e1"), name("e2")];
    let mut table = Table::new(start, TTL, DRIFT_PPM, &names);
    // A process that has just started may have replaced one that holds a lease.
    renew(&mut table, start, "e1", 1, ms(500), 5);
    renew(&mut table, start, "e2", 1, ms(500), 5);
    assert!(!table.is_fenced(start, Revision(5)));
    let mut table = Table::new(start, TTL, DRIFT_PPM, &names);
    renew(&mut table, start, "e1", 1, SETTLED_AGE, 5);
    assert!(!table.is_fenced(start, Revision(5)), "e2 may hold a lease");
    renew(&mut table, start, "e2", 1, SETTLED_AGE, 4);
    assert!(!table.is_fenced(start, Revision(5)), "e2 is at revision 4");
    assert!(table.is_fenced(start, Revision(4)));
    renew(&mut table, start + ms(1), "e2", 1, SETTLED_AGE, 5);
    assert!(table.is_fenced(start + ms(1), Revision(5)));
    assert!(Table::new(start, TTL, DRIFT_PPM, &names).is_fenced(start + ms(1001), Revision(5)));
}

/// The next leader would not account for the lease of an instance that is no longer enrolled.
#[test]
fn an_instance_is_not_dismissible_before_its_last_lease_has_ended() {
    let start = Instant::now();
    let mut table = table(start, &["e1"]);
    renew_and_grant(&mut table, start, "e1", 1, 4);
    table.stop_grants(&name("e1"));
    assert!(!renew_and_grant(&mut table, start + ms(250), "e1", 1, 4));
    assert!(!table.is_dismissible(start + ms(1000), "e1"));
    assert!(table.is_dismissible(start + ms(1001), "e1"));
    assert!(!Table::new(start, TTL, DRIFT_PPM, &[name("e1")]).is_dismissible(start, "e1"));
}

/// Reports of an instance without a lease must not decide whether a primary has failed.
#[test]
fn only_instances_with_a_lease_are_live_and_unknown_ones_get_none() {
    let start = Instant::now();
    let mut table = table(start, &["e1", "e2"]);
    renew_and_grant(&mut table, start, "e1", 1, 4);
    assert_eq!(
        table.live_instances(start).collect::<Vec<_>>(),
        [&name("e1")]
    );
    assert_eq!(table.live_instances(start + ms(1001)).count(), 0);
    assert!(!renew_and_grant(&mut table, start, "stranger", 1, 4));
    table.enroll(&name("stranger"));
    assert!(renew_and_grant(&mut table, start, "stranger", 1, 4));
}

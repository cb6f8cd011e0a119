//! Guards the entry's side of leases and quotas.

use std::time::{Duration, Instant};

use catalog::{Catalog, Command};
use entry::control::{Change, Control, Report};
use tokio::sync::mpsc;
use types::{Name, Revision};
use wire::{Down, Up};

const FLOOR: u32 = 2;

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn snapshot(enrolled: &[&str]) -> Down {
    let mut catalog = Catalog::new(name("organisation"));
    for (index, entry) in (1..).zip(enrolled) {
        let (instance, domain) = (name(entry), name("enna"));
        catalog.apply(Revision(index), &Command::Enroll { instance, domain });
    }
    let mut bytes = Vec::new();
    catalog.encode(&mut bytes).unwrap();
    let revision = catalog.revision().0;
    Down::Snapshot {
        revision,
        catalog: bytes.into(),
    }
}

/// An entry with an open stream that has sent its Hello and one renewal.
fn connected(now: Instant) -> (Control, mpsc::Receiver<Up>) {
    let address = "127.0.0.1:1".parse().unwrap();
    let mut control = Control::new(name("entry-0"), name("enna"), 7, vec![address], now);
    assert_eq!(control.dial(now), Some(address));
    let (out, sent) = mpsc::channel(16);
    control.on_open(now, out);
    control.renew(now, Report::default());
    (control, sent)
}

fn grant(seq: u64, revision: u64, quotas: &[(&str, u32)]) -> Down {
    let quota = |(target, connections): &(&str, u32)| wire::Quota {
        target: (*target).to_owned(),
        connections: *connections,
    };
    Down::Grant {
        seq,
        ttl_ms: 1000,
        revision,
        quotas: quotas.iter().map(quota).collect(),
        long: vec![],
    }
}

/// An entry that used the floor before its enrollment could take connections that other entries
/// hold. Its probe then got no connection and reported a healthy primary as silent.
#[test]
fn an_entry_that_is_not_enrolled_opens_no_connection() {
    let now = Instant::now();
    let (mut control, _sent) = connected(now);
    assert_eq!(
        control.quota(now, &name("t"), FLOOR),
        0,
        "before a catalog arrived"
    );
    control.on_message(now, snapshot(&["entry-1"])).unwrap();
    assert_eq!(
        control.quota(now, &name("t"), FLOOR),
        0,
        "before its enrollment"
    );
    control
        .on_message(now, snapshot(&["entry-1", "entry-0"]))
        .unwrap();
    assert_eq!(
        control.quota(now, &name("t"), FLOOR),
        FLOOR,
        "after its enrollment"
    );
}

/// After the lease, connections above the floor may be granted to another entry.
#[test]
fn a_quota_ends_with_its_lease() {
    let now = Instant::now();
    let (mut control, _sent) = connected(now);
    control.on_message(now, snapshot(&["entry-0"])).unwrap();
    let change = control.on_message(now, grant(1, 1, &[("t", 9)])).unwrap();
    assert_eq!(change, Change::Lease);
    let end = now + Duration::from_secs(1);
    let last = end.checked_sub(Duration::from_nanos(1)).unwrap();
    assert_eq!(control.quota(last, &name("t"), FLOOR), 9);
    assert_eq!(control.quota(end, &name("t"), FLOOR), FLOOR);
}

/// A grant that counts on catalog changes which have not arrived must not extend the lease: the
/// entry could acknowledge writes under a fence that it does not know.
#[test]
fn a_grant_ahead_of_the_catalog_gives_no_lease() {
    let now = Instant::now();
    let (mut control, _sent) = connected(now);
    control.on_message(now, snapshot(&["entry-0"])).unwrap();
    control.on_message(now, grant(1, 2, &[])).unwrap();
    assert!(!control.lease().is_valid(now));
}

/// The stream of a frozen or partitioned control instance stays open; an entry that waits for its
/// grant would lose the lease.
#[test]
fn a_silent_stream_is_closed_and_the_next_instance_dialed() {
    let now = Instant::now();
    let (mut control, _sent) = connected(now);
    let silent = now + Duration::from_secs(1);
    assert!(!control.close_if_silent(silent.checked_sub(Duration::from_millis(1)).unwrap()));
    assert!(control.close_if_silent(silent));
    assert!(control.dial(silent + Duration::from_millis(100)).is_some());
}

/// A command that the snapshot contains already must not be applied a second time.
#[test]
fn an_update_with_an_old_revision_is_rejected() {
    let now = Instant::now();
    let (mut control, _sent) = connected(now);
    control.on_message(now, snapshot(&["entry-0"])).unwrap();
    let command = wire::Command::Retire {
        target: "t".to_owned(),
    };
    control
        .on_message(
            now,
            Down::Update {
                revision: 1,
                command,
            },
        )
        .unwrap_err();
}

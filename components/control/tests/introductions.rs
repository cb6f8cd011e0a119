//! Member lists derived from introductions.

use consensus::{Disk, Identity};
use control::convert::Hello;
use control::introductions::Introductions;
use rstest::rstest;
use types::Name;

fn identity(instance: &str, disk: u64) -> Identity {
    Identity {
        instance: Name::try_from(instance).unwrap(),
        disk: Disk(disk),
    }
}

/// Guards against a new cluster that never starts because one founder wrote the list before the
/// others, and against a second cluster beside an existing one.
#[rstest]
#[case::blank(&[(2, true)], true)]
#[case::founded_earlier(&[(2, true), (2, false)], true)]
#[case::member_of_a_cluster(&[(2, false)], false)]
#[case::other_disk(&[(2, true), (3, false)], false)]
#[case::not_introduced(&[], false)]
fn founders_are_known_once_every_disk_was_blank(
    #[case] introduced: &[(u64, bool)],
    #[case] complete: bool,
) {
    let member = |instance: &str| settings::Member {
        instance: Name::try_from(instance).unwrap(),
        address: "127.0.0.1:7000".parse().unwrap(),
    };
    let mut introductions = Introductions::default();
    for (disk, blank) in introduced {
        introductions.record(Hello {
            identity: identity("b", *disk),
            version: wire::VERSION,
            address: "127.0.0.1:7000".to_owned(),
            blank: *blank,
            http: "127.0.0.1:7001".parse().unwrap(),
        });
    }
    let founders = introductions.founders(&identity("a", 1), &[member("a"), member("b")]);
    assert_eq!(founders.is_some(), complete);
    let disks = founders.map(|list| list.iter().map(|member| member.disk.0).collect::<Vec<_>>());
    assert!(disks.is_none_or(|disks| disks == [1, 2]));
}

/// Guards against a change of the member list for an instance that is no member, or whose disk is
/// the known one or holds another log.
#[rstest]
#[case::known_disk("b", 2, true, false)]
#[case::emptied_disk("b", 9, true, true)]
#[case::another_disk_with_a_log("b", 9, false, false)]
#[case::instance_that_is_no_member("d", 9, true, false)]
fn only_a_blank_disk_of_a_member_rejoins(
    #[case] instance: &str,
    #[case] disk: u64,
    #[case] blank: bool,
    #[case] joins: bool,
) {
    let member = |instance, disk| consensus::Member {
        instance: identity(instance, disk).instance,
        disk: Disk(disk),
        address: "127.0.0.1:1".parse().unwrap(),
        seat: consensus::Seat::Voter,
    };
    let members = [member("a", 1), member("b", 2), member("c", 3)];
    let mut introductions = Introductions::default();
    introductions.record(Hello {
        http: "127.0.0.1:7001".parse().unwrap(),
        identity: identity(instance, disk),
        version: 1,
        address: "127.0.0.1:7000".to_owned(),
        blank,
    });
    let change = introductions.rejoin_change(&members);
    assert_eq!(matches!(change, Some(consensus::Change::Join(..))), joins);
}

//! Guards the founding of a cluster: it happens once, with the disks of all configured instances,
//! and an emptied disk never founds a second cluster.

use consensus::{Change, Disk, Identity, Member, Seat};
use control::convert::Hello;
use control::members::Introductions;
use rstest::rstest;
use types::Name;

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn hello(instance: &str, disk: u64, blank: bool) -> Hello {
    let identity = Identity {
        instance: name(instance),
        disk: Disk(disk),
    };
    Hello {
        identity,
        version: 1,
        address: "127.0.0.1:1".into(),
        blank,
    }
}

fn configured() -> Vec<settings::Member> {
    let member = |instance| settings::Member {
        instance: name(instance),
        address: "127.0.0.1:1".parse().unwrap(),
    };
    ["a", "b", "c"].map(member).to_vec()
}

fn me() -> Identity {
    hello("a", 1, true).identity
}

#[rstest]
#[case::nobody(&[], None)]
#[case::one_missing(&[("b", 2, true)], None)]
#[case::all_blank(&[("b", 2, true), ("c", 3, true)], Some(vec![1, 2, 3]))]
#[case::one_has_a_log(&[("b", 2, true), ("c", 3, false)], None)]
#[case::one_was_emptied_meanwhile(&[("b", 2, true), ("c", 3, true), ("b", 4, true)], Some(vec![1, 4, 3]))]
fn a_cluster_is_founded_only_by_blank_disks(
    #[case] heard: &[(&str, u64, bool)],
    #[case] expected: Option<Vec<u64>>,
) {
    let mut introductions = Introductions::default();
    for (instance, disk, blank) in heard {
        introductions.hear(hello(instance, *disk, *blank));
    }
    let founders = introductions.founders(&me(), &configured());
    let disks = founders.map(|list| list.iter().map(|member| member.disk.0).collect::<Vec<_>>());
    assert_eq!(disks, expected);
}

#[rstest]
#[case::known_disk("b", 2, true, false)]
#[case::emptied_disk("b", 9, true, true)]
#[case::another_disk_with_a_log("b", 9, false, false)]
#[case::instance_that_is_no_member("d", 9, true, false)]
fn only_an_emptied_disk_of_a_member_joins_by_itself(
    #[case] instance: &str,
    #[case] disk: u64,
    #[case] blank: bool,
    #[case] joins: bool,
) {
    let member = |instance, disk| Member {
        instance: name(instance),
        disk: Disk(disk),
        address: "127.0.0.1:1".parse().unwrap(),
        seat: Seat::Voter,
    };
    let members = [member("a", 1), member("b", 2), member("c", 3)];
    let mut introductions = Introductions::default();
    introductions.hear(hello(instance, disk, blank));
    let change = introductions.returning(&members);
    assert_eq!(matches!(change, Some(Change::Join(..))), joins);
}

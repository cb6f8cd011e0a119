//! Tests of the maintenance of the member list without an operator.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cluster::Roster;
use cluster::convert::Introduction;
use cluster::roster::Size;
use consensus::{Change, Disk, Identity, Member, Seat};
use rstest::rstest;
use types::Name;

const THREE_VOTERS: Size = Size {
    voters: 3,
    domains: 3,
};

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

/// Introduction of instance `number` in a failure domain, with its own disk.
fn introduction(number: u8, domain: &str, blank: bool) -> Introduction {
    Introduction {
        identity: Identity::new(name(&format!("c{number}")), Disk(u64::from(number))),
        version: 1,
        address: address(number),
        http: address(number),
        domain: name(domain),
        blank,
        founding: true,
        known_addresses: Vec::new(),
    }
}

fn member(introduction: &Introduction, seat: Seat) -> Member {
    Member::new(introduction.identity.clone(), introduction.address, seat)
}

fn seeds() -> Vec<SocketAddr> {
    vec![address(1), address(2), address(3)]
}

/// Three voters in three failure domains. All introduced themselves at `now`, and the leader was
/// elected at the same time.
fn three_voters(now: Instant) -> (Roster, Vec<Introduction>, Vec<Member>) {
    let mut roster = Roster::new(THREE_VOTERS, seeds());
    let introductions: Vec<_> = (1..=3)
        .map(|number| introduction(number, &format!("d{number}"), false))
        .collect();
    for introduction in &introductions {
        roster.on_introduction(now, introduction.clone());
    }
    roster.set_leading_since(Some(now));
    let members = introductions
        .iter()
        .map(|introduction| member(introduction, Seat::Voter))
        .collect();
    (roster, introductions, members)
}

// Guards against two clusters, which could form if an instance did not wait for all seeds.
#[test]
fn forms_a_cluster_only_once_every_seed_is_blank() {
    let now = Instant::now();
    let mut roster = Roster::new(THREE_VOTERS, seeds());
    let local = introduction(1, "d1", true);
    roster.on_introduction(now, introduction(2, "d2", true));
    assert_eq!(roster.initial_members(&local), None);
    roster.on_introduction(now, introduction(3, "d3", true));
    let founders = roster.initial_members(&local).unwrap();
    let names: Vec<_> = founders
        .iter()
        .map(|member| member.instance.as_str())
        .collect();
    assert_eq!(names, ["c1", "c2", "c3"]);
}

// The first founder that writes the member list is no longer blank. The others still have to create
// the same list.
#[test]
fn counts_a_founder_that_already_wrote_the_list() {
    let now = Instant::now();
    let mut roster = Roster::new(THREE_VOTERS, seeds());
    roster.on_introduction(now, introduction(2, "d2", true));
    roster.on_introduction(now, introduction(3, "d3", true));
    roster.on_introduction(now, introduction(2, "d2", false));
    assert!(
        roster
            .initial_members(&introduction(1, "d1", true))
            .is_some()
    );
}

// Guards against a second cluster, formed by an instance whose disk was erased after the first start
// of the system or by an instance that is no seed.
#[rstest]
#[case::later_start(false, 1)]
#[case::not_a_seed(true, 4)]
fn forms_no_second_cluster(#[case] founding: bool, #[case] number: u8) {
    let now = Instant::now();
    let mut roster = Roster::new(THREE_VOTERS, seeds());
    for other in 1..=3 {
        roster.on_introduction(now, introduction(other, "d", true));
    }
    let mut local = introduction(number, "d", true);
    local.founding = founding;
    assert_eq!(roster.initial_members(&local), None);
}

// A seed with a log shows that a cluster already exists.
#[test]
fn forms_no_cluster_if_a_seed_has_a_log() {
    let now = Instant::now();
    let mut roster = Roster::new(THREE_VOTERS, seeds());
    roster.on_introduction(now, introduction(2, "d2", true));
    roster.on_introduction(now, introduction(3, "d3", false));
    assert_eq!(roster.initial_members(&introduction(1, "d1", true)), None);
}

#[test]
fn adds_and_promotes_an_erased_instance() {
    let now = Instant::now();
    let (mut roster, introductions, mut members) = three_voters(now);
    let mut erased = introduction(3, "d3", true);
    erased.identity.disk = Disk(33);
    roster.on_introduction(now, erased.clone());
    let change = roster.next_change(now, &introductions[0], &members, |_| false);
    assert_eq!(
        change,
        Some(Change::Join(erased.identity.clone(), address(3)))
    );
    members[2] = member(&erased, Seat::Learner);
    assert_eq!(
        roster.next_change(now, &introductions[0], &members, |_| false),
        None
    );
    let change = roster.next_change(now, &introductions[0], &members, |_| true);
    assert_eq!(change, Some(Change::Promote(erased.identity)));
}

// A replacement machine has a new name and address. If the member list kept the lost one, the next
// loss would leave no quorum.
#[test]
fn replaces_a_silent_voter_by_a_ready_learner() {
    let now = Instant::now();
    let (mut roster, introductions, mut members) = three_voters(now);
    let replacement = introduction(4, "d3", true);
    let later = now + Duration::from_millis(2500);
    for number in [1, 2] {
        roster.on_introduction(later, introduction(number, &format!("d{number}"), false));
    }
    roster.on_introduction(later, replacement.clone());
    members.push(member(&replacement, Seat::Learner));
    assert_eq!(
        roster.next_change(later, &introductions[0], &members, |_| false),
        None
    );
    let change = roster.next_change(later, &introductions[0], &members, |_| true);
    assert_eq!(
        change,
        Some(Change::Remove(introductions[2].identity.clone()))
    );
}

// A partition of a few seconds must not remove a voter that no learner can replace.
#[test]
fn keeps_a_silent_voter_without_a_replacement() {
    let now = Instant::now();
    let (mut roster, introductions, members) = three_voters(now);
    let later = now + Duration::from_secs(10);
    for number in [1, 2] {
        roster.on_introduction(later, introduction(number, &format!("d{number}"), false));
    }
    assert_eq!(
        roster.next_change(later, &introductions[0], &members, |_| true),
        None
    );
}

// A voter that stalls for a short time must not be replaced.
#[test]
fn keeps_a_voter_after_a_short_silence() {
    let now = Instant::now();
    let (mut roster, introductions, mut members) = three_voters(now);
    let spare = introduction(4, "d3", true);
    let later = now + Duration::from_millis(1200);
    roster.on_introduction(later, spare.clone());
    members.push(member(&spare, Seat::Learner));
    assert_eq!(
        roster.next_change(later, &introductions[0], &members, |_| true),
        None
    );
}

// Voters need not have sent anything to this instance before it became leader, so earlier silence
// must not count.
#[test]
fn counts_silence_only_since_the_election() {
    let now = Instant::now();
    let (mut roster, introductions, mut members) = three_voters(now);
    let spare = introduction(4, "d3", true);
    let later = now + Duration::from_secs(5);
    roster.set_leading_since(Some(later));
    roster.on_introduction(later, spare.clone());
    members.push(member(&spare, Seat::Learner));
    assert_eq!(
        roster.next_change(later, &introductions[0], &members, |_| true),
        None
    );
}

// Five voters in three failure domains: the loss of a domain with three voters would leave no quorum.
#[test]
fn distributes_voters_over_failure_domains() {
    let now = Instant::now();
    let size = Size {
        voters: 5,
        domains: 3,
    };
    let mut roster = Roster::new(size, seeds());
    let domains = ["a", "a", "b", "a", "c"];
    let introductions: Vec<_> = (1..=5)
        .map(|number| introduction(number, domains[usize::from(number) - 1], false))
        .collect();
    let mut members = Vec::new();
    for (index, introduction) in introductions.iter().enumerate() {
        roster.on_introduction(now, introduction.clone());
        let seat = if index < 3 {
            Seat::Voter
        } else {
            Seat::Learner
        };
        members.push(member(introduction, seat));
    }
    roster.set_leading_since(Some(now));
    let change = roster.next_change(now, &introductions[0], &members, |_| true);
    assert_eq!(
        change,
        Some(Change::Promote(introductions[4].identity.clone()))
    );
    members[4].seat = Seat::Voter;
    assert_eq!(
        roster.next_change(now, &introductions[0], &members, |_| true),
        None
    );
}

#[rstest]
#[case::one_domain(3, 1, 3)]
#[case::two_domains(3, 2, 2)]
#[case::three_domains(5, 3, 2)]
fn promotes_as_many_voters_as_domains_allow(
    #[case] voters: usize,
    #[case] domains: usize,
    #[case] expected_voters: usize,
) {
    let now = Instant::now();
    let mut roster = Roster::new(Size { voters, domains }, seeds());
    let first = introduction(1, "a", false);
    roster.on_introduction(now, first.clone());
    roster.set_leading_since(Some(now));
    let mut members = vec![member(&first, Seat::Voter)];
    for number in 2..=6 {
        let learner = introduction(number, "a", false);
        roster.on_introduction(now, learner.clone());
        members.push(member(&learner, Seat::Learner));
    }
    while let Some(Change::Promote(identity)) = roster.next_change(now, &first, &members, |_| true)
    {
        let member = members
            .iter_mut()
            .find(|member| member.has_identity(&identity))
            .unwrap();
        member.seat = Seat::Voter;
    }
    let count = members
        .iter()
        .filter(|member| member.seat == Seat::Voter)
        .count();
    assert_eq!(count, expected_voters);
}

// Instances would otherwise pass the address of a removed instance on to each other forever.
#[test]
fn does_not_pass_on_addresses_reported_by_others() {
    let now = Instant::now();
    let mut roster = Roster::new(THREE_VOTERS, seeds());
    let mut neighbour = introduction(2, "d2", false);
    neighbour.known_addresses = vec![address(9)];
    roster.on_introduction(now, neighbour);
    assert!(roster.addresses(now, &[]).contains(&address(9)));
    assert!(!roster.advertised_addresses(now, &[]).contains(&address(9)));
    let later = now + Duration::from_secs(30);
    assert!(!roster.addresses(later, &[]).contains(&address(9)));
}

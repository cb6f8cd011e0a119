//! Upkeep of the member list without an operator.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cluster::Roster;
use cluster::convert::Introduction;
use cluster::roster::Size;
use consensus::{Change, Disk, Identity, Member, Seat};
use rstest::rstest;
use types::Name;

const THREE: Size = Size {
    voters: 3,
    domains: 3,
};

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7000))
}

/// Instance number `host` in the failure domain `domain`, with a disk of its own.
fn intro(host: u8, domain: &str, blank: bool) -> Introduction {
    Introduction {
        identity: Identity::new(name(&format!("c{host}")), Disk(u64::from(host))),
        version: 1,
        address: address(host),
        http: address(host),
        domain: name(domain),
        blank,
        founding: true,
        known: Vec::new(),
    }
}

fn member(intro: &Introduction, seat: Seat) -> Member {
    Member::new(intro.identity.clone(), intro.address, seat)
}

fn seeds() -> Vec<SocketAddr> {
    vec![address(1), address(2), address(3)]
}

/// Three voters in three domains, all heard of at `now`, under a leader since then.
fn steady(now: Instant) -> (Roster, Vec<Introduction>, Vec<Member>) {
    let mut roster = Roster::new(THREE, seeds());
    let intros: Vec<_> = (1..=3)
        .map(|host| intro(host, &format!("d{host}"), false))
        .collect();
    for it in &intros {
        roster.on_introduction(now, it.clone());
    }
    roster.set_leading(Some(now));
    let members = intros.iter().map(|it| member(it, Seat::Voter)).collect();
    (roster, intros, members)
}

// Two clusters would be founded if an instance went ahead without having heard of all seeds.
#[test]
fn founds_once_every_seed_is_blank() {
    let now = Instant::now();
    let mut roster = Roster::new(THREE, seeds());
    let me = intro(1, "d1", true);
    roster.on_introduction(now, intro(2, "d2", true));
    assert_eq!(roster.founders(&me), None);
    roster.on_introduction(now, intro(3, "d3", true));
    let founders = roster.founders(&me).unwrap();
    let names: Vec<_> = founders.iter().map(|it| it.instance.as_str()).collect();
    assert_eq!(names, ["c1", "c2", "c3"]);
}

// A founder that went ahead is blank no longer; the others have to make the same list all the same.
#[test]
fn counts_a_founder_that_went_ahead() {
    let now = Instant::now();
    let mut roster = Roster::new(THREE, seeds());
    roster.on_introduction(now, intro(2, "d2", true));
    roster.on_introduction(now, intro(3, "d3", true));
    roster.on_introduction(now, intro(2, "d2", false));
    assert!(roster.founders(&intro(1, "d1", true)).is_some());
}

// A wiped instance comes back when the system has run for long: it must not found a second cluster.
#[rstest]
#[case::later_start(false, 1)]
#[case::no_seed(true, 4)]
fn founds_nothing(#[case] founding: bool, #[case] host: u8) {
    let now = Instant::now();
    let mut roster = Roster::new(THREE, seeds());
    for other in 1..=3 {
        roster.on_introduction(now, intro(other, "d", true));
    }
    let mut me = intro(host, "d", true);
    me.founding = founding;
    assert_eq!(roster.founders(&me), None);
}

// An instance with a log is the sign of a cluster that exists.
#[test]
fn founds_nothing_beside_a_log() {
    let now = Instant::now();
    let mut roster = Roster::new(THREE, seeds());
    roster.on_introduction(now, intro(2, "d2", true));
    roster.on_introduction(now, intro(3, "d3", false));
    assert_eq!(roster.founders(&intro(1, "d1", true)), None);
}

#[test]
fn lets_a_wiped_disk_join_and_promotes_it() {
    let now = Instant::now();
    let (mut roster, intros, mut members) = steady(now);
    let mut wiped = intro(3, "d3", true);
    wiped.identity.disk = Disk(33);
    roster.on_introduction(now, wiped.clone());
    let change = roster.change(now, &intros[0], &members, |_| false);
    assert_eq!(
        change,
        Some(Change::Join(wiped.identity.clone(), address(3)))
    );
    members[2] = member(&wiped, Seat::Learner);
    assert_eq!(roster.change(now, &intros[0], &members, |_| false), None);
    let change = roster.change(now, &intros[0], &members, |_| true);
    assert_eq!(change, Some(Change::Promote(wiped.identity)));
}

// A replaced machine comes with another name and address; the list must not keep the one that is
// gone, or the next loss leaves no quorum.
#[test]
fn replaces_a_silent_voter_by_a_ready_learner() {
    let now = Instant::now();
    let (mut roster, intros, mut members) = steady(now);
    let new = intro(4, "d3", true);
    let later = now + Duration::from_millis(2500);
    for host in [1, 2] {
        roster.on_introduction(later, intro(host, &format!("d{host}"), false));
    }
    roster.on_introduction(later, new.clone());
    members.push(member(&new, Seat::Learner));
    assert_eq!(roster.change(later, &intros[0], &members, |_| false), None);
    let change = roster.change(later, &intros[0], &members, |_| true);
    assert_eq!(change, Some(Change::Remove(intros[2].identity.clone())));
}

// A partition of some seconds must not cost a voter that nobody can take the place of.
#[test]
fn keeps_a_silent_voter_without_a_successor() {
    let now = Instant::now();
    let (mut roster, intros, members) = steady(now);
    let later = now + Duration::from_secs(10);
    for host in [1, 2] {
        roster.on_introduction(later, intro(host, &format!("d{host}"), false));
    }
    assert_eq!(roster.change(later, &intros[0], &members, |_| true), None);
}

// A short silence is a stall, not a loss.
#[test]
fn keeps_a_voter_after_a_short_silence() {
    let now = Instant::now();
    let (mut roster, intros, mut members) = steady(now);
    let spare = intro(4, "d3", true);
    let later = now + Duration::from_millis(1200);
    roster.on_introduction(later, spare.clone());
    members.push(member(&spare, Seat::Learner));
    assert_eq!(roster.change(later, &intros[0], &members, |_| true), None);
}

// Silence before the leader's election says nothing: it was not the leader that listened.
#[test]
fn counts_silence_from_the_election() {
    let now = Instant::now();
    let (mut roster, intros, mut members) = steady(now);
    let spare = intro(4, "d3", true);
    let later = now + Duration::from_secs(5);
    roster.set_leading(Some(later));
    roster.on_introduction(later, spare.clone());
    members.push(member(&spare, Seat::Learner));
    assert_eq!(roster.change(later, &intros[0], &members, |_| true), None);
}

// Five voters over three domains: three in one domain would take the quorum along with it.
#[test]
fn spreads_voters_over_domains() {
    let now = Instant::now();
    let size = Size {
        voters: 5,
        domains: 3,
    };
    let mut roster = Roster::new(size, seeds());
    let domains = ["a", "a", "b", "a", "c"];
    let intros: Vec<_> = (1..=5)
        .map(|host| intro(host, domains[usize::from(host) - 1], false))
        .collect();
    let mut members = Vec::new();
    for (index, it) in intros.iter().enumerate() {
        roster.on_introduction(now, it.clone());
        let seat = if index < 3 {
            Seat::Voter
        } else {
            Seat::Learner
        };
        members.push(member(it, seat));
    }
    roster.set_leading(Some(now));
    let change = roster.change(now, &intros[0], &members, |_| true);
    assert_eq!(change, Some(Change::Promote(intros[4].identity.clone())));
    members[4].seat = Seat::Voter;
    assert_eq!(roster.change(now, &intros[0], &members, |_| true), None);
}

#[rstest]
#[case::one_domain(3, 1, 3)]
#[case::two_domains(3, 2, 2)]
#[case::three_domains(5, 3, 2)]
fn fills_the_seats_that_domains_allow(
    #[case] voters: usize,
    #[case] domains: usize,
    #[case] in_one: usize,
) {
    let now = Instant::now();
    let mut roster = Roster::new(Size { voters, domains }, seeds());
    let first = intro(1, "a", false);
    roster.on_introduction(now, first.clone());
    roster.set_leading(Some(now));
    let mut members = vec![member(&first, Seat::Voter)];
    for host in 2..=6 {
        let it = intro(host, "a", false);
        roster.on_introduction(now, it.clone());
        members.push(member(&it, Seat::Learner));
    }
    while let Some(Change::Promote(who)) = roster.change(now, &first, &members, |_| true) {
        let member = members.iter_mut().find(|it| it.has_identity(&who)).unwrap();
        member.seat = Seat::Voter;
    }
    let count = members.iter().filter(|it| it.seat == Seat::Voter).count();
    assert_eq!(count, in_one);
}

// Addresses that only others speak of would be passed round for ever.
#[test]
fn passes_on_no_rumours() {
    let now = Instant::now();
    let mut roster = Roster::new(THREE, seeds());
    let mut speaker = intro(2, "d2", false);
    speaker.known = vec![address(9)];
    roster.on_introduction(now, speaker);
    assert!(roster.addresses(now, &[]).contains(&address(9)));
    assert!(!roster.known(now, &[]).contains(&address(9)));
    let later = now + Duration::from_secs(30);
    assert!(!roster.addresses(later, &[]).contains(&address(9)));
}

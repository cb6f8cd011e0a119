//! Guards against unfair or wasteful splits; `random.rs` guards the sum.

use std::time::{Duration, Instant};

use lease::quota::{Answer, Quota, Split};
use rstest::rstest;
use types::Name;

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

struct Control {
    split: Split,
    now: Instant,
    seq: u64,
}

impl Control {
    fn new(entries: &[&str]) -> Self {
        let names: Vec<Name> = entries.iter().map(|text| name(text)).collect();
        let now = Instant::now();
        let mut split = Split::new(now, &names);
        split.set(&name("t1"), 20, 2);
        Self { split, now, seq: 0 }
    }

    /// One renewal that confirms `confirmed`, and its grant; none stands for the floor.
    fn renew(&mut self, entry: &str, confirmed: u64, demand: u32) -> Option<u32> {
        self.seq += 1;
        let instance = name(entry);
        let demand = [(name("t1"), demand)];
        self.split.on_renewal(&instance, 1, confirmed, &demand);
        let answer = Answer {
            instance: &instance,
            boot: 1,
            seq: self.seq,
            deadline: self.now + Duration::from_millis(1001),
        };
        let mut out: Vec<Quota> = Vec::new();
        self.split.grant(self.now, &answer, &mut out);
        out.first().map(|quota| quota.connections)
    }
}

#[rstest]
#[case::one_wants_all(&[40, 0, 0], &[16, 2, 2])]
#[case::all_want_all(&[40, 40, 40], &[6, 7, 7])]
#[case::a_small_demand_is_met_and_the_rest_is_shared(&[4, 40, 40], &[4, 8, 8])]
fn the_rest_above_the_floors_is_split_fairly(#[case] demand: &[u32], #[case] expected: &[u32]) {
    let entries = ["e1", "e2", "e3"];
    let mut control = Control::new(&entries);
    let mut got = vec![2; 3];
    // Reduction goes before growth, so that the split settles after a few rounds.
    for _ in 0..4 {
        for (index, entry) in entries.iter().enumerate() {
            let confirmed = control.seq;
            got[index] = control.renew(entry, confirmed, demand[index]).unwrap_or(2);
        }
    }
    assert_eq!(got, expected);
}

/// Handing out what another entry may still be using would exceed the limit.
#[test]
fn growth_waits_until_the_reduction_is_confirmed_or_has_expired() {
    let mut control = Control::new(&["e1", "e2"]);
    assert_eq!(control.renew("e1", 0, 40), Some(18));
    assert_eq!(control.renew("e2", 0, 40), Some(2), "until e1 gives back");
    assert_eq!(control.renew("e1", 1, 40), Some(10));
    assert_eq!(control.renew("e2", 2, 40), Some(2));
    assert_eq!(control.renew("e1", 3, 40), Some(10), "e1 keeps to 10 now");
    assert_eq!(control.renew("e2", 4, 40), Some(10));
}

#[test]
fn what_a_silent_entry_had_is_free_after_its_deadline() {
    let mut control = Control::new(&["e1", "e2"]);
    assert_eq!(control.renew("e1", 0, 40), Some(18));
    control.now += Duration::from_millis(1000);
    assert_eq!(control.renew("e2", 0, 40), Some(2));
    control.now += Duration::from_millis(1);
    assert_eq!(control.renew("e2", 2, 40), Some(18));
}

/// The limit may have been handed out by the earlier leader.
#[test]
fn a_new_leader_grants_floors_until_the_grace_has_ended() {
    let mut control = Control::new(&["e1", "e2"]);
    let grace = control.now + Duration::from_millis(1001);
    control.split = Split::new(grace, &[name("e1"), name("e2")]);
    control.split.set(&name("t1"), 20, 2);
    control.split.enroll(&name("late"));
    assert_eq!(control.renew("e1", 0, 40), Some(2));
    assert_eq!(
        control.renew("late", 0, 40),
        Some(0),
        "nothing was reserved"
    );
    control.now = grace;
    assert_eq!(control.renew("e1", 1, 40), Some(16), "all but two floors");
}

/// Ten thousand targets without work must not fill every grant.
#[test]
fn a_floor_that_nobody_exceeds_is_not_named() {
    let mut control = Control::new(&["e1", "e2"]);
    assert_eq!(control.renew("e1", 0, 0), None);
    assert_eq!(control.renew("e1", 0, 5), Some(5));
    assert_eq!(control.renew("e1", 2, 0), Some(2), "a reduction is named");
    assert_eq!(control.renew("e1", 3, 0), None);
}

/// An entry without its floor yet must get it: others may not take that room meanwhile.
#[test]
fn a_new_entry_waits_for_room_and_keeps_its_floor_reserved() {
    let mut control = Control::new(&["e1", "e2"]);
    assert_eq!(control.renew("e1", 0, 40), Some(18));
    control.split.enroll(&name("late"));
    assert_eq!(control.renew("late", 0, 1), Some(0), "no room yet");
    assert_eq!(control.renew("e1", 1, 10), Some(10));
    assert_eq!(control.renew("e1", 3, 10), Some(10));
    assert_eq!(control.renew("e2", 0, 40), Some(8), "20 less 10 and 2");
    assert_eq!(control.renew("late", 2, 1), None, "the floor");
}

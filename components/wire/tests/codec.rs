//! Guards the bounds of decoding: hostile or torn input must fail without a large allocation.

use rstest::rstest;
use wire::{Announcement, Body, Entry, Payload, Peer, Role, Up};

fn renew() -> Up {
    let announcement = Announcement {
        target: "t1".into(),
        service: "registro-uova".into(),
        database: "orders".into(),
        group: "g".into(),
        region: "sicilia-est".into(),
        domain: "enna".into(),
        address: "127.0.0.1:5432".into(),
        role: Role::Primary,
        leaving: false,
        connections: 35,
        slots: 5,
    };
    let announcements = vec![announcement];
    Up::Renew {
        seq: 7,
        age_ms: 1,
        confirmed: 6,
        revision: 9,
        demand: vec![],
        long: vec![],
        health: vec![],
        announcements,
    }
}

#[test]
fn a_message_survives_the_round_trip() {
    let mut out = Vec::new();
    wire::encode(&renew(), &mut out).unwrap();
    assert_eq!(wire::decode::<Up>(&out).unwrap(), renew());
}

#[test]
fn every_torn_message_is_an_error() {
    let mut out = Vec::new();
    wire::encode(&renew(), &mut out).unwrap();
    for end in 0..out.len() {
        assert!(
            wire::decode::<Up>(&out[..end]).is_err(),
            "decoded {end} of {} bytes",
            out.len()
        );
    }
    out.push(0);
    assert!(
        wire::decode::<Up>(&out).is_err(),
        "decoded with a byte too many"
    );
}

#[rstest]
#[case::length_of_4_gib(&[0xFC, 0xFF, 0xFF, 0xFF, 0xFF])]
#[case::length_of_2_to_the_63(&[0xFD, 0, 0, 0, 0, 0, 0, 0, 0x80])]
fn a_length_beyond_the_input_is_an_error(#[case] length: &[u8]) {
    let mut bytes = vec![1];
    bytes.extend_from_slice(length);
    wire::decode::<Payload>(&bytes).unwrap_err();
}

#[test]
fn a_message_over_the_limit_is_not_encoded() {
    let payload = Payload::Data(vec![0; wire::MAX_BYTES].into());
    let entries = vec![Entry {
        index: 1,
        epoch: 1,
        payload,
    }];
    let body = Body::Append {
        round: 1,
        prev_index: 0,
        prev_epoch: 0,
        commit: 0,
        entries,
    };
    let peer = Peer {
        from: "c1".into(),
        disk: 1,
        epoch: 1,
        body,
    };
    wire::encode(&peer, &mut Vec::new()).unwrap_err();
}

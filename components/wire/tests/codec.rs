//! Guards the bounds of the codec: hostile or truncated input must fail without a large allocation.

use rstest::rstest;
use wire::{Announcement, Body, Entry, Payload, Peer, Role, Up};

fn renewal() -> Up {
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
fn a_decoded_message_equals_the_encoded_one() {
    let mut encoded = Vec::new();
    wire::encode(&renewal(), &mut encoded).unwrap();
    assert_eq!(wire::decode::<Up>(&encoded).unwrap(), renewal());
}

#[test]
fn truncated_and_overlong_messages_are_errors() {
    let mut encoded = Vec::new();
    wire::encode(&renewal(), &mut encoded).unwrap();
    for end in 0..encoded.len() {
        assert!(
            wire::decode::<Up>(&encoded[..end]).is_err(),
            "decoded a message truncated to {end} of {} bytes",
            encoded.len()
        );
    }
    encoded.push(0);
    assert!(
        wire::decode::<Up>(&encoded).is_err(),
        "decoded a message with an extra byte"
    );
}

#[rstest]
#[case::length_of_4_gib(&[0xFC, 0xFF, 0xFF, 0xFF, 0xFF])]
#[case::length_of_2_to_the_63(&[0xFD, 0, 0, 0, 0, 0, 0, 0, 0x80])]
fn a_length_prefix_beyond_the_input_is_an_error(#[case] prefix: &[u8]) {
    let mut bytes = vec![1];
    bytes.extend_from_slice(prefix);
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

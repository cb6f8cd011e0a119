//! Guards against forged, damaged or replayed-with-another-key tokens, and lost positions.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit, Mac};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use session::signer::TEXT_MAX;
use session::token::{DATABASES_MAX, Full};
use session::{Key, Needs, Refusal, Session, Signer, Token};
use sha2::Sha256;
use types::database::History;
use types::{Lsn, Name, Point, Term};

const SECRET: &[u8] = b"0123456789abcdef";
const OTHER: &[u8] = b"fedcba9876543210";

fn key(id: u8, secret: &[u8]) -> Key {
    Key::new(id, secret).unwrap()
}

fn signer() -> Signer {
    Signer::new(key(1, SECRET), None)
}

fn name(raw: &str) -> Name {
    Name::try_from(raw).unwrap()
}

const fn point(term: u64, lsn: u64) -> Point {
    Point {
        term: Term(term),
        lsn: Lsn(lsn),
    }
}

fn token() -> Token {
    let mut token = Token::new(0x1234_5678_9abc);
    token.advance(&name("orders"), point(3, 900)).unwrap();
    token.advance(&name("boxes"), point(2, 70)).unwrap();
    token
}

/// A text with a right signature over any bytes.
fn sign(body: &[u8]) -> String {
    let mac = Hmac::<Sha256>::new_from_slice(SECRET).unwrap();
    let tag = mac.chain_update(body).finalize().into_bytes();
    URL_SAFE_NO_PAD.encode([body, tag.as_slice()].concat())
}

fn body(count: u8, names: &[&str]) -> Vec<u8> {
    let mut body = vec![1, 1];
    body.extend([0; 16]);
    body.push(count);
    for name in names {
        body.push(u8::try_from(name.len()).unwrap());
        body.extend(name.as_bytes());
        body.extend([0; 16]);
    }
    body
}

#[rstest]
#[case::term_wins(point(4, 1), point(4, 1))]
#[case::older_term(point(2, 5_000), point(3, 900))]
#[case::higher_lsn(point(3, 901), point(3, 901))]
#[case::lower_lsn(point(3, 899), point(3, 900))]
fn the_later_position_stays(#[case] write: Point, #[case] expected: Point) {
    let mut token = token();
    token.advance(&name("orders"), write).unwrap();
    assert_eq!(token.position(&name("orders")), Some(expected));
    assert_eq!(token.position(&name("boxes")), Some(point(2, 70)));
}

/// Guards against dropping an old position, which would make a later read stale.
#[test]
fn a_full_token_refuses_another_database_and_still_fits() {
    let mut token = Token::new(u128::MAX);
    let long = |at| {
        name(&format!(
            "{at:02}{}",
            "x".repeat(types::name::MAX_BYTES - 2)
        ))
    };
    for at in 0..DATABASES_MAX {
        token.advance(&long(at), point(1, 1)).unwrap();
    }
    let before = token.clone();
    assert_eq!(token.advance(&long(99), point(1, 1)), Err(Full));
    assert_eq!(token, before);
    token.advance(&long(0), point(1, 2)).unwrap();
    let text = signer().seal(&token);
    assert!(text.len() <= TEXT_MAX);
    assert_eq!(signer().open(&text), Ok(token));
}

#[rstest]
#[case::empty("", Refusal::Malformed)]
#[case::not_base64("AQ==", Refusal::Malformed)]
#[case::random("!!random bytes!!", Refusal::Malformed)]
#[case::only_a_version("AQ", Refusal::Malformed)]
#[case::too_long(&"A".repeat(TEXT_MAX + 1), Refusal::Malformed)]
#[case::version_zero(&URL_SAFE_NO_PAD.encode([0; 80]), Refusal::UnknownVersion)]
#[case::version_two(&URL_SAFE_NO_PAD.encode([2; 80]), Refusal::UnknownVersion)]
#[case::unsigned(&URL_SAFE_NO_PAD.encode([1; 80]), Refusal::BadSignature)]
#[case::count_too_high(&sign(&body(2, &["a"])), Refusal::Malformed)]
#[case::bytes_behind(&sign(&body(1, &["a", "b"])), Refusal::Malformed)]
#[case::unsorted(&sign(&body(2, &["b", "a"])), Refusal::Malformed)]
#[case::repeated(&sign(&body(2, &["a", "a"])), Refusal::Malformed)]
#[case::bad_name(&sign(&body(1, &["A B"])), Refusal::Malformed)]
#[case::too_many(&sign(&body(65, &["a"; 65])), Refusal::Malformed)]
fn a_bad_text_is_refused_with_its_reason(#[case] text: &str, #[case] refusal: Refusal) {
    assert_eq!(signer().open(text), Err(refusal));
}

#[test]
fn a_foreign_key_is_told_from_a_foreign_secret() {
    let text = signer().seal(&token());
    let unknown = Signer::new(key(2, SECRET), None);
    assert_eq!(unknown.open(&text), Err(Refusal::UnknownKey));
    let foreign = Signer::new(key(1, OTHER), None);
    assert_eq!(foreign.open(&text), Err(Refusal::BadSignature));
    assert!(Key::new(1, &SECRET[1..]).is_err(), "too short a secret");
    assert!(!format!("{foreign:?}").contains("fedc"));
}

/// Guards against refusing sessions while keys are rotated.
#[test]
fn two_keys_are_accepted_and_the_first_signs() {
    let old = signer().seal(&token());
    let both = Signer::new(key(2, OTHER), Some(key(1, SECRET)));
    assert_eq!(both.open(&old), Ok(token()));
    let new = both.seal(&token());
    assert_eq!(Signer::new(key(2, OTHER), None).open(&new), Ok(token()));
}

#[test]
fn every_changed_bit_and_every_truncation_is_refused() {
    let text = signer().seal(&token());
    let bytes = URL_SAFE_NO_PAD.decode(&text).unwrap();
    for bit in 0..bytes.len() * 8 {
        let mut changed = bytes.clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        let refusal = signer().open(&URL_SAFE_NO_PAD.encode(&changed));
        let expected = match bit / 8 {
            0 => Refusal::UnknownVersion,
            1 => Refusal::UnknownKey,
            _ => Refusal::BadSignature,
        };
        assert_eq!(refusal, Err(expected), "bit {bit}");
    }
    for end in 0..text.len() {
        assert!(Session::read(&signer(), &text[..end]).is_err(), "{end}");
    }
}

#[rstest]
#[case::not_written("growth", Needs::Any)]
#[case::survives("orders", Needs::AtLeast(Lsn(900)))]
#[case::lost("boxes", Needs::Lost)]
#[case::ahead("vans", Needs::Ahead)]
fn a_session_needs_what_it_wrote(#[case] database: &str, #[case] needs: Needs) {
    let mut token = token();
    token.advance(&name("vans"), point(4, 1)).unwrap();
    let mut history = History::default();
    for (term, start) in [(1, 0), (2, 10), (3, 60)] {
        assert!(history.begin(Term(term), Lsn(start)));
    }
    let known = Session::Known(token);
    assert_eq!(Needs::of(&known, &name(database), &history), needs);
    let named = Session::read(&signer(), "van-7").unwrap();
    assert_eq!(named, Session::Named(name("van-7")));
    let needs = Needs::of(&named, &name(database), &history);
    assert_eq!(needs, Needs::PrimaryOnly);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::with_cases(256)
    })]

    #[test]
    fn any_token_survives_its_encoding(
        session in any::<u128>(),
        writes in prop::collection::vec(("[a-z0-9][a-z0-9._-]{0,62}", any::<u64>(), any::<u64>()), 0..64),
    ) {
        let mut token = Token::new(session);
        for (database, term, lsn) in writes {
            token.advance(&name(&database), point(term, lsn)).unwrap();
        }
        prop_assert!(token.positions().is_sorted_by(|a, b| a.0 < b.0));
        let text = signer().seal(&token);
        prop_assert_eq!(Session::read(&signer(), &text), Ok(Session::Known(token)));
    }

    #[test]
    fn no_text_makes_the_signer_fail(text in "\\PC{0,200}") {
        let opened = signer().open(&text);
        prop_assert!(opened.is_err());
    }
}

//! Guards against accepting forged or damaged tokens, and against losing positions.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit, Mac};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use session::signer::MAX_TEXT_BYTES;
use session::token::{MAX_DATABASES, Overflow};
use session::{Key, Needs, Rejection, Session, Signer, Token};
use sha2::Sha256;
use types::database::History;
use types::{Lsn, Name, Point, Term};

const SECRET: &[u8] = b"0123456789abcdef";
const OTHER_SECRET: &[u8] = b"fedcba9876543210";

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

/// Encodes any bytes with a valid signature.
fn sign_bytes(body: &[u8]) -> String {
    let mac = Hmac::<Sha256>::new_from_slice(SECRET).unwrap();
    let tag = mac.chain_update(body).finalize().into_bytes();
    URL_SAFE_NO_PAD.encode([body, tag.as_slice()].concat())
}

fn encode_body(count: u8, names: &[&str]) -> Vec<u8> {
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

/// Guards against forgetting the latest write when writes are recorded out of order.
#[rstest]
#[case::higher_term(point(4, 1), point(4, 1))]
#[case::lower_term(point(2, 5_000), point(3, 900))]
#[case::higher_lsn(point(3, 901), point(3, 901))]
#[case::lower_lsn(point(3, 899), point(3, 900))]
fn keeps_the_later_position(#[case] write: Point, #[case] expected: Point) {
    let mut token = token();
    token.advance(&name("orders"), write).unwrap();
    assert_eq!(token.position(&name("orders")), Some(expected));
    assert_eq!(token.position(&name("boxes")), Some(point(2, 70)));
}

/// Guards against dropping an old position, after which a read could miss a write of the session.
#[test]
fn full_token_rejects_another_database_and_fits_the_limit() {
    let mut token = Token::new(u128::MAX);
    let long_name = |index| {
        name(&format!(
            "{index:02}{}",
            "x".repeat(types::name::MAX_BYTES - 2)
        ))
    };
    for index in 0..MAX_DATABASES {
        token.advance(&long_name(index), point(1, 1)).unwrap();
    }
    let before = token.clone();
    assert_eq!(token.advance(&long_name(99), point(1, 1)), Err(Overflow));
    assert_eq!(token, before);
    token.advance(&long_name(0), point(1, 2)).unwrap();
    let text = signer().sign(&token);
    assert!(text.len() <= MAX_TEXT_BYTES);
    assert_eq!(signer().verify(&text), Ok(token));
}

/// Guards against accepting malformed or unsigned tokens, and against misleading errors.
#[rstest]
#[case::empty("", Rejection::Malformed)]
#[case::not_base64("AQ==", Rejection::Malformed)]
#[case::random_text("!!random bytes!!", Rejection::Malformed)]
#[case::only_version("AQ", Rejection::Malformed)]
#[case::too_long(&"A".repeat(MAX_TEXT_BYTES + 1), Rejection::Malformed)]
#[case::version_zero(&URL_SAFE_NO_PAD.encode([0; 80]), Rejection::UnknownVersion)]
#[case::version_two(&URL_SAFE_NO_PAD.encode([2; 80]), Rejection::UnknownVersion)]
#[case::no_valid_signature(&URL_SAFE_NO_PAD.encode([1; 80]), Rejection::BadSignature)]
#[case::count_too_high(&sign_bytes(&encode_body(2, &["a"])), Rejection::Malformed)]
#[case::trailing_bytes(&sign_bytes(&encode_body(1, &["a", "b"])), Rejection::Malformed)]
#[case::unsorted(&sign_bytes(&encode_body(2, &["b", "a"])), Rejection::Malformed)]
#[case::duplicate_name(&sign_bytes(&encode_body(2, &["a", "a"])), Rejection::Malformed)]
#[case::invalid_name(&sign_bytes(&encode_body(1, &["A B"])), Rejection::Malformed)]
#[case::too_many_databases(&sign_bytes(&encode_body(65, &["a"; 65])), Rejection::Malformed)]
fn rejects_an_invalid_token_with_the_reason(#[case] text: &str, #[case] expected: Rejection) {
    assert_eq!(signer().verify(text), Err(expected));
}

/// Guards against misleading errors after a wrong key setting, weak secrets, and secrets in logs.
#[test]
fn distinguishes_an_unknown_key_from_a_wrong_secret() {
    let text = signer().sign(&token());
    let other_key = Signer::new(key(2, SECRET), None);
    assert_eq!(other_key.verify(&text), Err(Rejection::UnknownKey));
    let other_secret = Signer::new(key(1, OTHER_SECRET), None);
    assert_eq!(other_secret.verify(&text), Err(Rejection::BadSignature));
    assert!(
        Key::new(1, &SECRET[1..]).is_err(),
        "a secret of 15 bytes must be rejected"
    );
    assert!(!format!("{other_secret:?}").contains("fedc"));
}

/// Guards against rejecting sessions during a key rotation.
#[test]
fn accepts_both_keys_and_signs_with_the_first() {
    let old_text = signer().sign(&token());
    let signer = Signer::new(key(2, OTHER_SECRET), Some(key(1, SECRET)));
    assert_eq!(signer.verify(&old_text), Ok(token()));
    let new_text = signer.sign(&token());
    assert_eq!(
        Signer::new(key(2, OTHER_SECRET), None).verify(&new_text),
        Ok(token())
    );
}

/// Guards against accepting tokens that were modified or cut off.
#[test]
fn rejects_every_flipped_bit_and_every_truncation() {
    let text = signer().sign(&token());
    let bytes = URL_SAFE_NO_PAD.decode(&text).unwrap();
    for bit in 0..bytes.len() * 8 {
        let mut changed = bytes.clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        let result = signer().verify(&URL_SAFE_NO_PAD.encode(&changed));
        let expected = match bit / 8 {
            0 => Rejection::UnknownVersion,
            1 => Rejection::UnknownKey,
            _ => Rejection::BadSignature,
        };
        assert_eq!(result, Err(expected), "flipped bit {bit}");
    }
    for end in 0..text.len() {
        assert!(
            Session::parse(&signer(), &text[..end]).is_err(),
            "cut off at byte {end}"
        );
    }
}

/// Guards against reads that miss own writes, also after a promotion.
#[rstest]
#[case::not_written("growth", Needs::Any)]
#[case::kept_write("orders", Needs::AtLeast(Lsn(900)))]
#[case::lost_write("boxes", Needs::WriteLost)]
#[case::unknown_term("vans", Needs::UnknownTerm)]
fn reads_require_the_positions_that_the_session_has_written(
    #[case] database: &str,
    #[case] needs: Needs,
) {
    let mut token = token();
    token.advance(&name("vans"), point(4, 1)).unwrap();
    let mut history = History::default();
    for (term, start) in [(1, 0), (2, 10), (3, 60)] {
        assert!(history.begin(Term(term), Lsn(start)));
    }
    let with_token = Session::Token(token);
    assert_eq!(Needs::of(&with_token, &name(database), &history), needs);
    let with_name = Session::parse(&signer(), "van-7").unwrap();
    assert_eq!(with_name, Session::Name(name("van-7")));
    let needs = Needs::of(&with_name, &name(database), &history);
    assert_eq!(needs, Needs::PrimaryOnly);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::with_cases(256)
    })]

    /// Guards against positions that are lost or changed by the encoding.
    #[test]
    fn encoding_preserves_any_token(
        session in any::<u128>(),
        writes in prop::collection::vec(("[a-z0-9][a-z0-9._-]{0,62}", any::<u64>(), any::<u64>()), 0..64),
    ) {
        let mut token = Token::new(session);
        for (database, term, lsn) in writes {
            token.advance(&name(&database), point(term, lsn)).unwrap();
        }
        prop_assert!(token.positions().is_sorted_by(|a, b| a.0 < b.0));
        let text = signer().sign(&token);
        prop_assert_eq!(Session::parse(&signer(), &text), Ok(Session::Token(token)));
    }

    /// Guards against panics on arbitrary input.
    #[test]
    fn rejects_arbitrary_text_without_a_panic(text in "\\PC{0,200}") {
        let result = signer().verify(&text);
        prop_assert!(result.is_err());
    }
}

//! Guards against shapes that split by values or merge by accident, and a cache without bound.

use std::num::NonZeroUsize;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use sql::cache::TEXT_MAX;
use sql::{Cache, Kind, classify};

#[rstest]
#[case::literal("SELECT a FROM t WHERE b = 1", "SELECT a FROM t WHERE b = 'x'")]
#[case::parameter("SELECT a FROM t WHERE b = $1", "SELECT a FROM t WHERE b = 2.5")]
#[case::space_and_case("SELECT a\n\tFROM t", "select A from T;")]
#[case::comment("SELECT /* one */ a FROM t", "SELECT a -- two\nFROM t")]
#[case::list("SELECT 1 IN (1, 2, 3)", "SELECT $1 IN ($2)")]
fn equal_shapes_share_a_fingerprint(#[case] first: &str, #[case] second: &str) {
    assert_eq!(classify(first).fingerprint, classify(second).fingerprint);
}

#[rstest]
#[case::column("SELECT a FROM t", "SELECT b FROM t")]
#[case::joined_words("SELECT a b FROM t", "SELECT ab FROM t")]
#[case::quoted_case("SELECT \"A\" FROM t", "SELECT \"a\" FROM t")]
#[case::literal_or_column("SELECT 1 FROM t", "SELECT a FROM t")]
#[case::column_behind_a_literal("SELECT 1, a FROM t", "SELECT 1 a FROM t")]
#[case::not_tokenized("SELECT 'a", "SELECT 'b")]
fn different_shapes_differ(#[case] first: &str, #[case] second: &str) {
    assert_ne!(classify(first).fingerprint, classify(second).fingerprint);
}

#[test]
fn the_cache_is_bounded_and_keeps_what_is_used() {
    let mut cache = Cache::new(NonZeroUsize::new(4).unwrap());
    for at in 0..100 {
        assert_eq!(cache.classify("SELECT 1").kind, Kind::Read);
        let text = format!("DELETE FROM t{at}");
        assert_eq!(*cache.classify(&text), classify(&text));
        assert!(cache.len() <= 4);
    }
    let before = std::ptr::from_ref(cache.classify("SELECT 1"));
    assert!(std::ptr::eq(before, cache.classify("SELECT 1")), "kept");
}

#[test]
fn a_long_text_is_classified_but_not_kept() {
    let mut cache = Cache::new(NonZeroUsize::new(4).unwrap());
    let text = format!("SELECT '{}'", "x".repeat(TEXT_MAX));
    assert_eq!(cache.classify(&text).kind, Kind::Read);
    assert!(cache.is_empty());
}

/// Words and signs that statements are made of, in any order.
fn soup() -> impl Strategy<Value = String> {
    let words = prop::sample::select(vec![
        "SELECT",
        "WITH",
        "a",
        "AS",
        "(",
        ")",
        ",",
        ";",
        "'",
        "\"",
        "$$",
        "--",
        "/*",
        "*/",
        "\n",
        "FOR",
        "UPDATE",
        "set_config",
        "true",
        "SET",
        "=",
        ".",
        "1",
        "INTO",
        "TEMP",
        "count",
        "::",
        "ROLLBACK",
        "SHOW",
        "é",
        "\u{a0}",
        "\\",
        "E'",
        "pg_catalog",
        "OVER",
        "JOIN",
        "BY",
    ]);
    prop::collection::vec(words, 0..24).prop_map(|words| words.join(" "))
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(17), failure_persistence: None, ..ProptestConfig::with_cases(2_000)
    })]

    /// Guards against a caller that ends the process with a text, and against a cache that answers
    /// for another text.
    #[test]
    fn any_text_has_a_class(texts in prop::collection::vec(soup(), 1..6)) {
        let mut cache = Cache::new(NonZeroUsize::new(2).unwrap());
        for text in texts.iter().chain(&texts) {
            prop_assert_eq!(cache.classify(text), &classify(text));
        }
    }

    /// Guards against a write that hides behind whatever comes before it.
    #[test]
    fn a_statement_with_a_write_behind_it_is_never_a_read(text in soup()) {
        let class = classify(&format!("SELECT 1; DELETE FROM t; {text}"));
        prop_assert!(class.kind != Kind::Read && class.kind != Kind::Empty);
    }
}

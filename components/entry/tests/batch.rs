//! Guards against batches that are split at the wrong place, or whose writes are not detected.

use bytes::BytesMut;
use entry::batch::{self, Batch, End};
use pg::Error;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use relay::statement::{Names, Table};
use rstest::rstest;
use sql::Cache;

const MAX_FRAME_BYTES: usize = 1 << 20;

fn next(bytes: &[u8]) -> Result<Option<Batch>, Error> {
    let mut cache = Cache::new(16.try_into().unwrap());
    batch::next(
        bytes,
        MAX_FRAME_BYTES,
        &Names::default(),
        &Table::default(),
        &mut cache,
    )
}

fn execute(out: &mut BytesMut) {
    out.extend_from_slice(b"E\0\0\0\x09\0\0\0\0\0");
}

fn config() -> Config {
    Config {
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_240_918),
        failure_persistence: None,
        ..Config::default()
    }
}

/// A part of a batch must not run, and bytes after a batch must not be taken as part of it.
#[rstest]
#[case::simple(b"Q", End::Simple)]
#[case::sync(b"S", End::Sync)]
#[case::flush(b"H", End::Flush)]
#[case::terminate(b"X", End::Terminate)]
fn a_batch_ends_with_its_last_byte(#[case] tag: &[u8; 1], #[case] end: End) {
    let mut bytes = BytesMut::new();
    pg::parse(&mut bytes, b"a", b"SELECT 1", &[0, 0]);
    pg::bind(&mut bytes, b"", b"a", &[0; 6]);
    execute(&mut bytes);
    match tag {
        b"Q" => pg::query(&mut bytes, b"SELECT 2"),
        tag => bytes.extend_from_slice(&[tag[0], 0, 0, 0, 4]),
    }
    for length in 0..bytes.len() {
        assert_eq!(next(&bytes[..length]), Ok(None), "{length} bytes");
    }
    let found = next(&[&*bytes, b"Q\0\0"].concat()).unwrap().unwrap();
    assert_eq!((found.length, found.end), (bytes.len(), end));
}

/// A write that is bound in one batch and executed in a later one of the same transaction must
/// count, or its commit is acknowledged without a check of the lease.
#[test]
fn a_bound_write_counts_before_it_is_executed() {
    let mut bytes = BytesMut::new();
    pg::parse(&mut bytes, b"a", b"INSERT INTO t VALUES (1)", &[0, 0]);
    pg::sync(&mut bytes);
    assert!(
        !next(&bytes).unwrap().unwrap().summary.may_write(),
        "only prepared"
    );
    let mut bytes = BytesMut::new();
    pg::parse(&mut bytes, b"a", b"INSERT INTO t VALUES (1)", &[0, 0]);
    pg::bind(&mut bytes, b"p", b"a", &[0; 6]);
    pg::sync(&mut bytes);
    assert!(next(&bytes).unwrap().unwrap().summary.may_write());
}

/// A portal bound in an earlier batch exists only on its target, so the entry must not answer for
/// it.
#[test]
fn an_execute_alone_needs_its_target() {
    let mut bytes = BytesMut::new();
    execute(&mut bytes);
    pg::sync(&mut bytes);
    assert!(next(&bytes).unwrap().unwrap().summary.uses_portal);
}

proptest! {
    #![proptest_config(config())]

    /// Arbitrary bytes must not cause a panic or a batch longer than the input.
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(Some(batch)) = next(&bytes) {
            prop_assert!(batch.length <= bytes.len());
        }
    }
}

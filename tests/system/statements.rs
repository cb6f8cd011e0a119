//! Guarantees to callers, mostly without failures.

use std::time::Duration;

use bytes::BytesMut;
use tokio::task::spawn_local;
use tokio::time::timeout;
use tokio_postgres::NoTls;

use crate::caller::{token, value};
use crate::harness::{System, TIMEOUT};
use crate::load::Outcome;
use crate::run;
use crate::settings::Options;

/// Replication delay, much longer than the time from a write to the next read.
const REPLICATION_LAG_MS: u64 = 30;

/// Guards against a session that misses its own writes through another entry while replicas lag.
#[test]
fn session_reads_its_writes_through_another_entry() {
    run(async {
        let options = Options {
            lag_ms: REPLICATION_LAG_MS,
            ..Options::default()
        };
        let system = System::start(options).await;
        let mut callers = Vec::new();
        for entry in 0..3 {
            callers.push(system.connect(entry, None).await.unwrap());
        }
        for id in 0..200_usize {
            let writer = &callers[id % 3];
            let write = format!("INSERT INTO log VALUES ({id}, 'v{id}')");
            writer.batch_execute(&write).await.unwrap();
            let token = token(writer).await;
            let other = (id + 1) % 3;
            let read = format!("SELECT v FROM log WHERE id = {id}");
            let received = if id % 10 == 0 {
                let reader = system.connect(other, Some(&token)).await.unwrap();
                value(&reader, &read).await
            } else {
                let set = format!("SET limpettally.session = '{token}'");
                callers[other].batch_execute(&set).await.unwrap();
                value(&callers[other], &read).await
            };
            assert_eq!(received.unwrap(), Some(format!("v{id}")), "write {id}");
        }

        let replica_reads = async || {
            let mut sum = 0;
            for entry in 0..3 {
                sum += system.count(entry, "batches", "read_replica").await;
            }
            sum
        };
        let before = replica_reads().await;
        let reader = system.connect(0, None).await.unwrap();
        for _ in 0..100 {
            value(&reader, "SELECT v FROM log WHERE id = 1")
                .await
                .unwrap();
        }
        // The target is over 95% of the reads that replicas may serve.
        assert!(
            replica_reads().await - before > 95,
            "replicas served too few reads"
        );
    });
}

/// Guards against a late cancel request that hits another caller's statement on the same
/// connection, and against answers that go to the wrong request.
#[test]
fn cancel_does_not_hit_other_callers() {
    run(async {
        let system = System::start(Options::default()).await;
        let long = system.connect(0, None).await.unwrap();
        let mut short = Vec::new();
        for n in 0..4 {
            let caller = system.connect(0, None).await.unwrap();
            short.push(spawn_local(async move {
                for i in 0..250 {
                    let text = format!("SELECT 'short-{n}-{i}'");
                    let received = value(&caller, &text)
                        .await
                        .expect("statement is not cancelled");
                    assert_eq!(received, Some(format!("short-{n}-{i}")));
                }
            }));
        }
        let mut cancelled = 0;
        for i in 0..60_u64 {
            let cancel = long.cancel_token();
            // A fixed series of delays, from cancels that arrive too early to ones that arrive too
            // late.
            let delay = Duration::from_millis(i * 7 % 25);
            let sent = spawn_local(async move {
                tokio::time::sleep(delay).await;
                cancel.cancel_query(NoTls).await
            });
            let text = format!("SELECT pg_sleep(0.0{}), 'long-{i}'", 1 + i % 3);
            match long.query_one(&text, &[]).await {
                Ok(row) => assert_eq!(row.get::<_, String>(1), format!("long-{i}")),
                Err(error) => {
                    let outcome = Outcome::of::<()>(Err(error));
                    assert_eq!(outcome, Outcome::Refused("57014".into()), "statement {i}");
                    cancelled += 1;
                }
            }
            if i % 2 == 0 {
                let received = value(&long, &format!("SELECT 'next-{i}'")).await;
                match received {
                    Ok(received) => assert_eq!(received, Some(format!("next-{i}"))),
                    // A cancel is addressed to the caller, so it may hit the caller's next
                    // statement.
                    Err(error) => assert_eq!(error.code().unwrap().code(), "57014"),
                }
            }
            sent.await.unwrap().expect("the cancel request is sent");
        }
        assert!(cancelled > 0, "no cancel arrived in time");
        for caller in short {
            timeout(TIMEOUT, caller)
                .await
                .expect("every statement is answered")
                .unwrap();
        }
    });
}

/// Guards against writes through a portal, bound in one batch and executed in the next, that skip
/// the check of lease and replicas or leave the session's token without a position.
#[test]
fn write_through_a_portal_is_acknowledged_as_a_write() {
    run(async {
        let system = System::start(Options::default()).await;
        let mut caller = system.connect(0, None).await.unwrap();
        let acknowledged_writes = async || {
            let count = system
                .metric("entry", 0, "writes_acknowledged_total ")
                .await;
            count.unwrap()
        };
        let before = acknowledged_writes().await;
        let transaction = caller.transaction().await.unwrap();
        let insert = transaction
            .prepare("INSERT INTO log VALUES ($1, $2)")
            .await
            .unwrap();
        let portal = transaction.bind(&insert, &[&-6, &"portal"]).await.unwrap();
        transaction.query_portal(&portal, 0).await.unwrap();
        transaction.commit().await.unwrap();
        assert_eq!(acknowledged_writes().await, before + 1);
        let reader = system
            .connect(1, Some(&token(&caller).await))
            .await
            .unwrap();
        let received = value(&reader, "SELECT v FROM log WHERE id = -6").await;
        assert_eq!(received.unwrap().as_deref(), Some("portal"));
    });
}

/// After an error a server skips everything up to a Sync, simple queries included. Guards against a
/// connection that is released before the Sync, so that the next caller's statement is skipped.
#[test]
fn connection_is_not_released_before_the_sync() {
    run(async {
        let system = System::start(Options::default()).await;
        let other = system.connect(0, None).await.unwrap();
        let mut raw = crate::raw::Raw::login(system.address("entry", 0)).await;
        let mut out = BytesMut::new();
        pg::parse(&mut out, b"", b"SELECT missing FROM nowhere", &[0, 0]);
        out.extend_from_slice(b"H\0\0\0\x04");
        raw.send(&out).await;
        assert_eq!(raw.next().await.0, b'E');
        out.clear();
        pg::query(&mut out, b"SELECT 1");
        raw.send(&out).await;
        for i in 0..20 {
            let read = timeout(TIMEOUT, value(&other, "SELECT 2")).await;
            let read =
                read.unwrap_or_else(|_| panic!("statement {i} of another caller got no answer"));
            assert_eq!(read.unwrap().as_deref(), Some("2"));
        }
        out.clear();
        pg::sync(&mut out);
        raw.send(&out).await;
        assert_eq!(
            raw.next().await,
            (b'Z', b"I".to_vec()),
            "the query was skipped"
        );
    });
}

/// Guards against reads that hang on a suspended replica, which keeps its connections open and
/// never answers; another target must answer them.
#[test]
fn reads_move_off_a_suspended_replica() {
    run(async {
        let system = System::start(Options::default()).await;
        let writer = system.connect(0, None).await.unwrap();
        writer
            .execute("INSERT INTO log VALUES (1, 'here')", &[])
            .await
            .unwrap();
        let session = token(&writer).await;
        let mut readers = Vec::new();
        for entry in [0, 1, 2, 0, 1, 2] {
            let reader = system.connect(entry, Some(&session)).await.unwrap();
            let read = async move {
                let started = std::time::Instant::now();
                while started.elapsed() < TIMEOUT / 2 {
                    let rows = reader.query("SELECT id FROM log WHERE id = 1", &[]).await;
                    assert_eq!(rows.unwrap().len(), 1);
                }
            };
            readers.push(tokio::task::spawn_local(read));
        }
        tokio::time::sleep(std::time::Duration::from_millis(300)).await;
        system.suspend("target-1");
        system.suspend("target-2");
        for reader in readers {
            let result = tokio::time::timeout(TIMEOUT, reader).await;
            result.expect("every read is answered").unwrap();
        }
    });
}

//! What callers rely on while nothing fails.

use std::time::Duration;

use bytes::BytesMut;
use tokio::task::spawn_local;
use tokio::time::timeout;
use tokio_postgres::NoTls;

use crate::caller::{token, value};
use crate::harness::{LIMIT, System};
use crate::load::Outcome;
use crate::run;
use crate::settings::Options;

/// Replication delay, far above the time from a write to a read.
const LAG_MS: u64 = 30;

/// A session that roams between entries must read its own writes although every replica lags.
#[test]
fn session_reads_its_writes_through_another_entry() {
    run(async {
        let options = Options {
            lag_ms: LAG_MS,
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
            let found = if id % 10 == 0 {
                let reader = system.connect(other, Some(&token)).await.unwrap();
                value(&reader, &read).await
            } else {
                let set = format!("SET limpettally.session = '{token}'");
                callers[other].batch_execute(&set).await.unwrap();
                value(&callers[other], &read).await
            };
            assert_eq!(found.unwrap(), Some(format!("v{id}")), "write {id}");
        }

        let replicas = async || {
            let mut sum = 0;
            for entry in 0..3 {
                sum += system.count(entry, "batches", "read_replica").await;
            }
            sum
        };
        let before = replicas().await;
        let reader = system.connect(0, None).await.unwrap();
        for _ in 0..100 {
            value(&reader, "SELECT v FROM log WHERE id = 1")
                .await
                .unwrap();
        }
        // The aim is over 95% of reads that a replica may serve.
        assert!(replicas().await - before > 95, "reads without a position");
    });
}

/// A cancel that arrives late must not hit another caller's statement on the same connection, and
/// an answer must go to the request that asked for it.
#[test]
fn cancel_hits_only_its_own_statement() {
    run(async {
        let system = System::start(Options::default()).await;
        let long = system.connect(0, None).await.unwrap();
        let mut short = Vec::new();
        for n in 0..4 {
            let caller = system.connect(0, None).await.unwrap();
            short.push(spawn_local(async move {
                for i in 0..250 {
                    let text = format!("SELECT 'short-{n}-{i}'");
                    let found = value(&caller, &text).await.expect("not cancelled");
                    assert_eq!(found, Some(format!("short-{n}-{i}")));
                }
            }));
        }
        let mut cancelled = 0;
        for i in 0..60_u64 {
            let cancel = long.cancel_token();
            // From cancels that come too early to ones that come too late, in a fixed order.
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
                let found = value(&long, &format!("SELECT 'next-{i}'")).await;
                match found {
                    Ok(found) => assert_eq!(found, Some(format!("next-{i}"))),
                    // The cancel belongs to the caller, and may arrive in its next statement.
                    Err(error) => assert_eq!(error.code().unwrap().code(), "57014"),
                }
            }
            sent.await.unwrap().expect("the cancel is taken");
        }
        assert!(cancelled > 0, "some cancels were in time");
        for caller in short {
            timeout(LIMIT, caller).await.expect("answers").unwrap();
        }
    });
}

/// A write through a portal, bound in one batch and executed in the next, must be acknowledged like
/// any other: with the lease and the replicas looked at, and a position in the session's token.
#[test]
fn write_through_a_portal_is_acknowledged_as_a_write() {
    run(async {
        let system = System::start(Options::default()).await;
        let mut caller = system.connect(0, None).await.unwrap();
        let acknowledged = async || {
            let count = system
                .metric("entry", 0, "writes_acknowledged_total ")
                .await;
            count.unwrap()
        };
        let before = acknowledged().await;
        let transaction = caller.transaction().await.unwrap();
        let insert = transaction
            .prepare("INSERT INTO log VALUES ($1, $2)")
            .await
            .unwrap();
        let portal = transaction.bind(&insert, &[&-6, &"portal"]).await.unwrap();
        transaction.query_portal(&portal, 0).await.unwrap();
        transaction.commit().await.unwrap();
        assert_eq!(acknowledged().await, before + 1);
        let reader = system
            .connect(1, Some(&token(&caller).await))
            .await
            .unwrap();
        let found = value(&reader, "SELECT v FROM log WHERE id = -6").await;
        assert_eq!(found.unwrap().as_deref(), Some("portal"));
    });
}

/// After an error a server skips everything up to a Sync, also a simple query. The connection must
/// stay with its caller until then, or the next caller's statement would be skipped too.
#[test]
fn series_without_its_sync_keeps_the_connection() {
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
            let read = timeout(LIMIT, value(&other, "SELECT 2")).await;
            let read = read.unwrap_or_else(|_| panic!("statement {i} of another caller"));
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

/// Reads that are under way on a replica when it freezes must be answered by another target: a
/// frozen server keeps its connections open and never answers.
#[test]
fn reads_leave_a_frozen_replica() {
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
                while started.elapsed() < LIMIT / 2 {
                    let rows = reader.query("SELECT id FROM log WHERE id = 1", &[]).await;
                    assert_eq!(rows.unwrap().len(), 1);
                }
            };
            readers.push(tokio::task::spawn_local(read));
        }
        tokio::time::sleep(std::time::Duration::from_millis(300)).await;
        system.freeze("target-1");
        system.freeze("target-2");
        for reader in readers {
            let ended = tokio::time::timeout(LIMIT, reader).await;
            ended.expect("every read is answered").unwrap();
        }
    });
}

//! What callers rely on while nothing fails.

use std::time::Duration;

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

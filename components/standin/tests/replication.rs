//! Replication, changes of role and faults over real sockets.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::{code, config, connect, one, replica, rows, start, until};
use types::Lsn;

const PRIMARY_POINT: &str =
    "SELECT pg_is_in_recovery(), timeline_id, pg_current_wal_lsn() FROM pg_control_checkpoint()";
const REPLICA_POINT: &str = "SELECT pg_is_in_recovery(), timeline_id, pg_last_wal_replay_lsn() FROM pg_control_checkpoint()";
const LSN: &str = "SELECT CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_lsn() END";
/// A lag that no test waits for.
const FOREVER: Duration = Duration::from_secs(600);

async fn follow(client: &tokio_postgres::Client, primary: SocketAddr) {
    let (host, port) = (primary.ip(), primary.port());
    let sql = format!("ALTER SYSTEM SET primary_conninfo = 'host={host} port={port}'");
    client.batch_execute(&sql).await.unwrap();
    assert_eq!(one(client, "SELECT pg_reload_conf()").await, "t");
}

/// Guards against replicas that miss the copy, lose the order, take writes or report another point.
#[tokio::test]
async fn copy_and_stream() {
    let address = start(config()).await;
    let primary = connect(address).await;
    let table = "CREATE TABLE t (id int PRIMARY KEY, n int); INSERT INTO t VALUES (1, 1)";
    primary.batch_execute(table).await.unwrap();
    let before = Lsn::try_from(one(&primary, LSN).await.as_str()).unwrap();
    let replica = connect(replica(address, Duration::ZERO).await).await;
    until(&replica, "SELECT * FROM t", &["1,1"]).await;
    primary
        .batch_execute("UPDATE t SET n = 2; INSERT INTO t VALUES (2, 2)")
        .await
        .unwrap();
    let after = Lsn::try_from(one(&primary, LSN).await.as_str()).unwrap();
    assert!(after > before, "the position rises with a commit");
    until(&replica, LSN, &[&after.to_string()]).await;
    assert_eq!(rows(&replica, "SELECT * FROM t").await, ["1,2", "2,2"]);
    assert_eq!(one(&primary, PRIMARY_POINT).await, format!("f,1,{after}"));
    assert_eq!(one(&replica, REPLICA_POINT).await, format!("t,1,{after}"));
    assert_eq!(code(&replica, "INSERT INTO t VALUES (3, 3)").await, "25006");
    assert_eq!(code(&replica, "SELECT pg_current_wal_lsn()").await, "55000");
    assert_eq!(code(&primary, "SELECT pg_promote()").await, "55000");
}

/// Guards against a lag that delays nothing, or that a change of it does not reach.
#[tokio::test]
async fn lag() {
    let address = start(config()).await;
    let primary = connect(address).await;
    primary
        .batch_execute("CREATE TABLE t (id int PRIMARY KEY)")
        .await
        .unwrap();
    let replica = connect(replica(address, FOREVER).await).await;
    until(&replica, "SELECT * FROM t", &[]).await;
    primary
        .batch_execute("INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    let end = one(&primary, LSN).await;
    until(&replica, "SELECT pg_last_wal_receive_lsn()", &[&end]).await;
    assert_eq!(one(&replica, "SELECT count(*) FROM t").await, "0");
    assert_ne!(one(&replica, LSN).await, end);
}

/// Guards against a promotion that keeps an unreplicated tail, reuses the timeline or loses what
/// was replicated; and against an old primary that keeps its own tail when it follows.
#[tokio::test]
async fn promotion() {
    let old_address = start(config()).await;
    let old = connect(old_address).await;
    let table = "CREATE TABLE t (id int PRIMARY KEY); INSERT INTO t VALUES (1)";
    old.batch_execute(table).await.unwrap();
    let new_address = replica(old_address, Duration::ZERO).await;
    let (new, third) = (
        connect(new_address).await,
        replica(old_address, Duration::ZERO).await,
    );
    let third = connect(third).await;
    until(&new, "SELECT id FROM t", &["1"]).await;
    until(&third, "SELECT id FROM t", &["1"]).await;
    let start = one(&new, LSN).await;
    new.batch_execute("SELECT standin_fault('pause_replay')")
        .await
        .unwrap();
    old.batch_execute("INSERT INTO t VALUES (2)").await.unwrap();
    until(&third, "SELECT id FROM t", &["1", "2"]).await;

    assert_eq!(one(&new, "SELECT pg_promote()").await, "t");
    assert_eq!(one(&new, PRIMARY_POINT).await, format!("f,2,{start}"));
    new.batch_execute("INSERT INTO t VALUES (3)").await.unwrap();
    // The third server has replayed past the fork and must discard its tail.
    follow(&third, new_address).await;
    until(&third, "SELECT id FROM t", &["1", "3"]).await;
    // The old primary has a tail of its own and other sessions that end with its role.
    let mut target = tokio_postgres::Config::new();
    target
        .host("127.0.0.1")
        .port(old_address.port())
        .user("other");
    let (_other, connection) = target.connect(tokio_postgres::NoTls).await.unwrap();
    let ended = tokio::spawn(connection);
    follow(&old, new_address).await;
    until(&old, "SELECT id FROM t", &["1", "3"]).await;
    let reason = ended.await.unwrap().unwrap_err();
    assert_eq!(reason.code().unwrap().code(), "57P01");
    assert_eq!(one(&old, "SELECT pg_is_in_recovery()").await, "t");
    assert_eq!(code(&old, "INSERT INTO t VALUES (4)").await, "25006");
    new.batch_execute("INSERT INTO t VALUES (4)").await.unwrap();
    let end = one(&new, LSN).await;
    for replica in [&old, &third] {
        until(replica, REPLICA_POINT, &[&format!("t,2,{end}")]).await;
    }
}

/// Guards against a replica behind the fork that is rebuilt or stuck instead of going on.
#[tokio::test]
async fn follow_from_behind() {
    let old_address = start(config()).await;
    let old = connect(old_address).await;
    old.batch_execute("CREATE TABLE t (id int PRIMARY KEY)")
        .await
        .unwrap();
    let new_address = replica(old_address, Duration::ZERO).await;
    let new = connect(new_address).await;
    let behind = connect(replica(old_address, Duration::ZERO).await).await;
    until(&behind, "SELECT id FROM t", &[]).await;
    until(&new, "SELECT id FROM t", &[]).await;
    behind
        .batch_execute("SELECT standin_fault('pause_replay')")
        .await
        .unwrap();
    old.batch_execute("INSERT INTO t VALUES (1)").await.unwrap();
    until(&new, "SELECT id FROM t", &["1"]).await;
    new.batch_execute("SELECT pg_promote(); INSERT INTO t VALUES (2)")
        .await
        .unwrap();
    follow(&behind, new_address).await;
    let end = one(&new, LSN).await;
    until(&behind, "SELECT pg_last_wal_receive_lsn()", &[&end]).await;
    assert!(one(&behind, REPLICA_POINT).await.starts_with("t,1,"));
    behind
        .batch_execute("SELECT standin_fault('pause_replay', 0)")
        .await
        .unwrap();
    until(&behind, "SELECT id FROM t", &["1", "2"]).await;
    assert_eq!(one(&behind, REPLICA_POINT).await, format!("t,2,{end}"));
}

/// Guards against a replica that stays behind after its connection was cut.
#[tokio::test]
async fn reconnect() {
    let address = start(config()).await;
    let primary = connect(address).await;
    primary
        .batch_execute("CREATE TABLE t (id int PRIMARY KEY)")
        .await
        .unwrap();
    let replica = connect(replica(address, Duration::ZERO).await).await;
    until(&replica, "SELECT id FROM t", &[]).await;
    primary
        .batch_execute("SELECT standin_fault('drop_replication')")
        .await
        .unwrap();
    primary
        .batch_execute("INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    assert_eq!(one(&replica, "SELECT count(*) FROM t").await, "0");
    primary
        .batch_execute("SELECT standin_fault('drop_replication', 0)")
        .await
        .unwrap();
    until(&replica, "SELECT id FROM t", &["1"]).await;
}

/// Guards against faults around a commit that strike on the wrong side of it.
#[tokio::test]
async fn commit_faults() {
    let address = start(config()).await;
    let admin = connect(address).await;
    admin
        .batch_execute("CREATE TABLE t (id int PRIMARY KEY)")
        .await
        .unwrap();
    let faults = [
        ("close_before_commit", "0"),
        ("close_before_commit_reply", "1"),
    ];
    for (fault, rows) in faults {
        let client = connect(address).await;
        let sql = format!("SELECT standin_fault('{fault}')");
        admin.batch_execute(&sql).await.unwrap();
        client
            .batch_execute("BEGIN; INSERT INTO t VALUES (1)")
            .await
            .unwrap();
        assert_eq!(code(&client, "COMMIT").await, "", "{fault}");
        assert_eq!(one(&admin, "SELECT count(*) FROM t").await, rows, "{fault}");
    }
    // The faults struck once each.
    admin
        .batch_execute("INSERT INTO t VALUES (2)")
        .await
        .unwrap();
}

/// Guards against a commit on a server that was demoted while the transaction was open.
#[tokio::test]
async fn demotion_in_transaction() {
    let new_address = start(config()).await;
    let old_address = start(config()).await;
    let (admin, client) = (connect(old_address).await, connect(old_address).await);
    admin
        .batch_execute("CREATE TABLE t (id int PRIMARY KEY)")
        .await
        .unwrap();
    let (host, port) = (new_address.ip(), new_address.port());
    let sql = format!("ALTER SYSTEM SET primary_conninfo = 'host={host} port={port}'");
    admin.batch_execute(&sql).await.unwrap();
    let sql = "BEGIN; INSERT INTO t VALUES (1); SELECT pg_reload_conf()";
    client.batch_execute(sql).await.unwrap();
    assert_eq!(code(&client, "COMMIT").await, "57P01");
    let client = connect(old_address).await;
    // The new primary never had the table.
    until_missing(&client).await;
}

/// Waits until the table is gone; it must have no rows until then.
async fn until_missing(client: &tokio_postgres::Client) {
    let deadline = tokio::time::Instant::now() + support::PATIENCE;
    while tokio::time::Instant::now() < deadline {
        match client.simple_query("SELECT id FROM t").await {
            Ok(rows) => assert!(rows.len() <= 2, "the open transaction was committed"),
            Err(error) => return assert_eq!(error.code().unwrap().code(), "42P01"),
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the server was not rebuilt");
}

/// Guards against a primary that restarted without its data and takes its replicas' data too.
#[tokio::test]
async fn restarted_empty() {
    let bound = standin::bind(config()).await.unwrap();
    let address = bound.addr();
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let first = tokio::spawn(bound.run(async {
        stopped.await.unwrap();
    }));
    let primary = connect(address).await;
    let table = "CREATE TABLE t (id int PRIMARY KEY); INSERT INTO t VALUES (1)";
    primary.batch_execute(table).await.unwrap();
    let replica = connect(replica(address, Duration::ZERO).await).await;
    until(&replica, "SELECT id FROM t", &["1"]).await;
    stop.send(()).unwrap();
    first.await.unwrap();
    let mut config = config();
    config.listen = address;
    let empty = connect(start(config).await).await;
    empty
        .batch_execute("CREATE TABLE other (id int)")
        .await
        .unwrap();
    // Long enough for some attempts of the replica; fewer could only miss the fault.
    tokio::time::sleep(Duration::from_millis(350)).await;
    assert_eq!(rows(&replica, "SELECT id FROM t").await, ["1"]);
    assert_eq!(code(&replica, "SELECT * FROM other").await, "42P01");
}

/// Moves one between two of ten accounts, as often as it takes to win over deadlocks.
async fn transfer(client: &tokio_postgres::Client, from: u64, to: u64) {
    loop {
        let sql = format!(
            "BEGIN; UPDATE a SET n = n - 1 WHERE id = {from};
            UPDATE a SET n = n + 1 WHERE id = {to}; COMMIT"
        );
        match client.batch_execute(&sql).await {
            Ok(()) => return,
            Err(error) => {
                assert_eq!(error.code().unwrap().code(), "40P01");
                client.batch_execute("ROLLBACK").await.unwrap();
            }
        }
    }
}

/// Guards against transactions that mix, that readers or replicas see in part, or that lose
/// updates.
#[tokio::test]
async fn transfers() {
    let address = start(config()).await;
    let primary = connect(address).await;
    let values: Vec<_> = (0..10).map(|id| format!("({id}, 100)")).collect();
    let table = "CREATE TABLE a (id int PRIMARY KEY, n int)";
    primary.batch_execute(table).await.unwrap();
    let insert = format!("INSERT INTO a VALUES {}", values.join(", "));
    primary.batch_execute(&insert).await.unwrap();
    let replica = connect(replica(address, Duration::from_millis(1)).await).await;
    until(&replica, "SELECT sum(n) FROM a", &["1000"]).await;
    let mut writers = tokio::task::JoinSet::new();
    for writer in 0..8u64 {
        let client = connect(address).await;
        writers.spawn(async move {
            for step in 0..50 {
                let from = (writer * 3 + step * 7) % 10;
                transfer(&client, from, (from + 1 + step % 9) % 10).await;
            }
        });
    }
    while !writers.is_empty() {
        assert_eq!(one(&primary, "SELECT sum(n) FROM a").await, "1000");
        assert_eq!(one(&replica, "SELECT sum(n) FROM a").await, "1000");
        if let Some(ended) = writers.try_join_next() {
            ended.unwrap();
        }
    }
    let mut expected = [100i64; 10];
    for (writer, step) in (0..8).flat_map(|writer| (0..50).map(move |step| (writer, step))) {
        let from = (writer * 3 + step * 7) % 10;
        expected[from] -= 1;
        expected[(from + 1 + step % 9) % 10] += 1;
    }
    let expected = expected.map(|n| n.to_string());
    let expected: Vec<_> = expected.iter().map(String::as_str).collect();
    for client in [&primary, &replica] {
        until(client, "SELECT n FROM a ORDER BY id", &expected).await;
    }
}

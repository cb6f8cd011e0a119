//! Replication, promotion, demotion and faults over real sockets.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::{
    connect, default_config, rows, single_value, sqlstate, start_replica, start_target,
    wait_for_rows,
};
use types::Lsn;

const PRIMARY_POINT_SQL: &str =
    "SELECT pg_is_in_recovery(), timeline_id, pg_current_wal_lsn() FROM pg_control_checkpoint()";
const REPLICA_POINT_SQL: &str = "SELECT pg_is_in_recovery(), timeline_id, pg_last_wal_replay_lsn() FROM pg_control_checkpoint()";
const LSN_SQL: &str = "SELECT CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_lsn() END";
/// Longer than any test runs.
const ENDLESS_LAG: Duration = Duration::from_secs(600);

async fn set_primary(client: &tokio_postgres::Client, primary: SocketAddr) {
    let (host, port) = (primary.ip(), primary.port());
    let sql = format!("ALTER SYSTEM SET primary_conninfo = 'host={host} port={port}'");
    client.batch_execute(&sql).await.unwrap();
    assert_eq!(single_value(client, "SELECT pg_reload_conf()").await, "t");
}

/// Guards against a replica that misses changes of its primary, accepts writes or reports a wrong
/// point.
#[tokio::test]
async fn replica_diverges_from_primary() {
    let address = start_target(default_config()).await;
    let primary = connect(address).await;
    let table = "CREATE TABLE t (id int PRIMARY KEY, n int); INSERT INTO t VALUES (1, 1)";
    primary.batch_execute(table).await.unwrap();
    let before = Lsn::try_from(single_value(&primary, LSN_SQL).await.as_str()).unwrap();
    let replica = connect(start_replica(address, Duration::ZERO).await).await;
    wait_for_rows(&replica, "SELECT * FROM t", &["1,1"]).await;
    primary
        .batch_execute("UPDATE t SET n = 2; INSERT INTO t VALUES (2, 2)")
        .await
        .unwrap();
    let after = Lsn::try_from(single_value(&primary, LSN_SQL).await.as_str()).unwrap();
    assert!(after > before, "a commit must advance the position");
    wait_for_rows(&replica, LSN_SQL, &[&after.to_string()]).await;
    assert_eq!(rows(&replica, "SELECT * FROM t").await, ["1,2", "2,2"]);
    assert_eq!(
        single_value(&primary, PRIMARY_POINT_SQL).await,
        format!("f,1,{after}")
    );
    assert_eq!(
        single_value(&replica, REPLICA_POINT_SQL).await,
        format!("t,1,{after}")
    );
    assert_eq!(
        sqlstate(&replica, "INSERT INTO t VALUES (3, 3)").await,
        "25006"
    );
    assert_eq!(
        sqlstate(&replica, "SELECT pg_current_wal_lsn()").await,
        "55000"
    );
    assert_eq!(sqlstate(&primary, "SELECT pg_promote()").await, "55000");
}

/// Guards against a lag that does not delay the replay.
#[tokio::test]
async fn lag_does_not_delay_replay() {
    let address = start_target(default_config()).await;
    let primary = connect(address).await;
    primary
        .batch_execute("CREATE TABLE t (id int PRIMARY KEY)")
        .await
        .unwrap();
    let replica = connect(start_replica(address, ENDLESS_LAG).await).await;
    wait_for_rows(&replica, "SELECT * FROM t", &[]).await;
    primary
        .batch_execute("INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    let end = single_value(&primary, LSN_SQL).await;
    wait_for_rows(&replica, "SELECT pg_last_wal_receive_lsn()", &[&end]).await;
    assert_eq!(single_value(&replica, "SELECT count(*) FROM t").await, "0");
    assert_ne!(single_value(&replica, LSN_SQL).await, end);
}

/// Guards against a promotion that reuses the timeline or loses replayed rows, and against servers
/// that keep records from after the fork when they follow the new primary.
#[tokio::test]
async fn promotion_keeps_diverged_records() {
    let old_address = start_target(default_config()).await;
    let old = connect(old_address).await;
    let table = "CREATE TABLE t (id int PRIMARY KEY); INSERT INTO t VALUES (1)";
    old.batch_execute(table).await.unwrap();
    let new_address = start_replica(old_address, Duration::ZERO).await;
    let (new, third) = (
        connect(new_address).await,
        start_replica(old_address, Duration::ZERO).await,
    );
    let third = connect(third).await;
    wait_for_rows(&new, "SELECT id FROM t", &["1"]).await;
    wait_for_rows(&third, "SELECT id FROM t", &["1"]).await;
    let start = single_value(&new, LSN_SQL).await;
    new.batch_execute("SELECT standin_fault('pause_replay')")
        .await
        .unwrap();
    old.batch_execute("INSERT INTO t VALUES (2)").await.unwrap();
    wait_for_rows(&third, "SELECT id FROM t", &["1", "2"]).await;

    assert_eq!(single_value(&new, "SELECT pg_promote()").await, "t");
    assert_eq!(
        single_value(&new, PRIMARY_POINT_SQL).await,
        format!("f,2,{start}")
    );
    new.batch_execute("INSERT INTO t VALUES (3)").await.unwrap();
    // The third server has replayed records from after the fork, which it must discard.
    set_primary(&third, new_address).await;
    wait_for_rows(&third, "SELECT id FROM t", &["1", "3"]).await;
    // The old primary must discard such a record too, and end its other sessions on demotion.
    let mut client_config = tokio_postgres::Config::new();
    client_config
        .host("127.0.0.1")
        .port(old_address.port())
        .user("other");
    let (_other, connection) = client_config.connect(tokio_postgres::NoTls).await.unwrap();
    let ended = tokio::spawn(connection);
    set_primary(&old, new_address).await;
    wait_for_rows(&old, "SELECT id FROM t", &["1", "3"]).await;
    let reason = ended.await.unwrap().unwrap_err();
    assert_eq!(reason.code().unwrap().code(), "57P01");
    assert_eq!(single_value(&old, "SELECT pg_is_in_recovery()").await, "t");
    assert_eq!(sqlstate(&old, "INSERT INTO t VALUES (4)").await, "25006");
    new.batch_execute("INSERT INTO t VALUES (4)").await.unwrap();
    let end = single_value(&new, LSN_SQL).await;
    for replica in [&old, &third] {
        wait_for_rows(replica, REPLICA_POINT_SQL, &[&format!("t,2,{end}")]).await;
    }
}

/// Guards against a replica behind the fork that does not continue from its position.
#[tokio::test]
async fn replica_behind_fork_does_not_continue() {
    let old_address = start_target(default_config()).await;
    let old = connect(old_address).await;
    old.batch_execute("CREATE TABLE t (id int PRIMARY KEY)")
        .await
        .unwrap();
    let new_address = start_replica(old_address, Duration::ZERO).await;
    let new = connect(new_address).await;
    let behind = connect(start_replica(old_address, Duration::ZERO).await).await;
    wait_for_rows(&behind, "SELECT id FROM t", &[]).await;
    wait_for_rows(&new, "SELECT id FROM t", &[]).await;
    behind
        .batch_execute("SELECT standin_fault('pause_replay')")
        .await
        .unwrap();
    old.batch_execute("INSERT INTO t VALUES (1)").await.unwrap();
    wait_for_rows(&new, "SELECT id FROM t", &["1"]).await;
    new.batch_execute("SELECT pg_promote(); INSERT INTO t VALUES (2)")
        .await
        .unwrap();
    set_primary(&behind, new_address).await;
    let end = single_value(&new, LSN_SQL).await;
    wait_for_rows(&behind, "SELECT pg_last_wal_receive_lsn()", &[&end]).await;
    assert!(
        single_value(&behind, REPLICA_POINT_SQL)
            .await
            .starts_with("t,1,")
    );
    behind
        .batch_execute("SELECT standin_fault('pause_replay', 0)")
        .await
        .unwrap();
    wait_for_rows(&behind, "SELECT id FROM t", &["1", "2"]).await;
    assert_eq!(
        single_value(&behind, REPLICA_POINT_SQL).await,
        format!("t,2,{end}")
    );
}

/// Guards against a replica that does not catch up after its connection was closed.
#[tokio::test]
async fn replica_does_not_catch_up_after_disconnect() {
    let address = start_target(default_config()).await;
    let primary = connect(address).await;
    primary
        .batch_execute("CREATE TABLE t (id int PRIMARY KEY)")
        .await
        .unwrap();
    let replica = connect(start_replica(address, Duration::ZERO).await).await;
    wait_for_rows(&replica, "SELECT id FROM t", &[]).await;
    primary
        .batch_execute("SELECT standin_fault('drop_replication')")
        .await
        .unwrap();
    primary
        .batch_execute("INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    assert_eq!(single_value(&replica, "SELECT count(*) FROM t").await, "0");
    primary
        .batch_execute("SELECT standin_fault('drop_replication', 0)")
        .await
        .unwrap();
    wait_for_rows(&replica, "SELECT id FROM t", &["1"]).await;
}

/// Guards against commit faults that close the connection after the commit instead of before it, or
/// the reverse.
#[tokio::test]
async fn commit_fault_on_wrong_side_of_commit() {
    let address = start_target(default_config()).await;
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
        assert_eq!(sqlstate(&client, "COMMIT").await, "", "{fault}");
        assert_eq!(
            single_value(&admin, "SELECT count(*) FROM t").await,
            rows,
            "{fault}"
        );
    }
    // Each fault applies to a single commit.
    admin
        .batch_execute("INSERT INTO t VALUES (2)")
        .await
        .unwrap();
}

/// Guards against a commit on a server that was demoted during the transaction.
#[tokio::test]
async fn commit_succeeds_after_demotion() {
    let new_address = start_target(default_config()).await;
    let old_address = start_target(default_config()).await;
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
    assert_eq!(sqlstate(&client, "COMMIT").await, "57P01");
    let client = connect(old_address).await;
    // The new primary never had the table.
    wait_until_table_missing(&client).await;
}

/// Waits until the table does not exist; it must have no rows until then.
async fn wait_until_table_missing(client: &tokio_postgres::Client) {
    let deadline = tokio::time::Instant::now() + support::WAIT_TIMEOUT;
    while tokio::time::Instant::now() < deadline {
        match client.simple_query("SELECT id FROM t").await {
            Ok(rows) => assert!(rows.len() <= 2, "the open transaction was committed"),
            Err(error) => return assert_eq!(error.code().unwrap().code(), "42P01"),
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the server was not replaced by a copy of its new primary");
}

/// Guards against replicas that delete their data when their primary restarts without its data.
#[tokio::test]
async fn replica_copies_empty_primary() {
    let listener = standin::bind(default_config()).await.unwrap();
    let address = listener.address();
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let first = tokio::spawn(listener.run(async {
        stopped.await.unwrap();
    }));
    let primary = connect(address).await;
    let table = "CREATE TABLE t (id int PRIMARY KEY); INSERT INTO t VALUES (1)";
    primary.batch_execute(table).await.unwrap();
    let replica = connect(start_replica(address, Duration::ZERO).await).await;
    wait_for_rows(&replica, "SELECT id FROM t", &["1"]).await;
    stop.send(()).unwrap();
    first.await.unwrap();
    let mut config = default_config();
    config.listen = address;
    let empty = connect(start_target(config).await).await;
    empty
        .batch_execute("CREATE TABLE other (id int)")
        .await
        .unwrap();
    // Long enough for several connection attempts of the replica; with fewer the test could pass
    // despite the fault, but not fail without it.
    tokio::time::sleep(Duration::from_millis(350)).await;
    assert_eq!(rows(&replica, "SELECT id FROM t").await, ["1"]);
    assert_eq!(sqlstate(&replica, "SELECT * FROM other").await, "42P01");
}

/// Transfers 1 between two accounts; retries after deadlocks.
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

/// Guards against concurrent transactions that lose updates, and against readers or replicas that
/// see partial transactions.
#[tokio::test]
async fn concurrent_transfers_lose_updates() {
    let address = start_target(default_config()).await;
    let primary = connect(address).await;
    let values: Vec<_> = (0..10).map(|id| format!("({id}, 100)")).collect();
    let table = "CREATE TABLE a (id int PRIMARY KEY, n int)";
    primary.batch_execute(table).await.unwrap();
    let insert = format!("INSERT INTO a VALUES {}", values.join(", "));
    primary.batch_execute(&insert).await.unwrap();
    let replica = connect(start_replica(address, Duration::from_millis(1)).await).await;
    wait_for_rows(&replica, "SELECT sum(n) FROM a", &["1000"]).await;
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
        assert_eq!(single_value(&primary, "SELECT sum(n) FROM a").await, "1000");
        assert_eq!(single_value(&replica, "SELECT sum(n) FROM a").await, "1000");
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
        wait_for_rows(client, "SELECT n FROM a ORDER BY id", &expected).await;
    }
}

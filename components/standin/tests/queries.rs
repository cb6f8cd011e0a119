//! Simple and extended queries, transactions and errors over real sockets.

mod support;

use rstest::rstest;
use support::{connect, default_config, rows, single_value, sqlstate, start_target, wait_for_rows};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio_postgres::NoTls;

/// Guards against SELECTs whose results differ from PostgreSQL's.
#[rstest]
#[case("SELECT 1", &["1"])]
#[case("SELECT 7 / 2, 7 % 2, -7 / 2, 1 + 2 * 3", &["3,1,-3,7"])]
#[case("SELECT id FROM t WHERE n > 10 ORDER BY id DESC", &["3", "2"])]
#[case("SELECT count(*), sum(n), min(name), max(n) + 1 FROM t", &["4,60,a,31"])]
#[case("SELECT id FROM t WHERE name IS NULL OR id IN (1, 2) ORDER BY 1 LIMIT 2", &["1", "2"])]
#[case("SELECT id FROM t WHERE n NOT IN (10, 20)", &["3"])]
#[case("SELECT * FROM t WHERE id = 2", &["2,20,b"])]
#[case("SELECT n FROM t ORDER BY n DESC LIMIT 1", &["null"])]
#[case("SELECT CASE WHEN pg_is_in_recovery() THEN 1 ELSE 2 END AS role", &["2"])]
#[case("SELECT 'a' || 'b', '5'::int + 1, NULL = 1, NOT false", &["ab,6,null,t"])]
#[case("SELECT coalesce(name, 'none') FROM t WHERE id = 4", &["none"])]
#[case("SHOW server_version", &["16.0"])]
#[case("SELECT 1; SELECT 2", &["1", "2"])]
#[tokio::test]
async fn select_result_differs_from_postgresql(#[case] sql: &str, #[case] expected: &[&str]) {
    let client = connect(start_target(default_config()).await).await;
    let table = "CREATE TABLE t (id int PRIMARY KEY, n int, name text);
        INSERT INTO t VALUES (1, 10, 'a'), (2, 20, 'b'), (3, 30, 'c'), (4, NULL, NULL)";
    client.batch_execute(table).await.unwrap();
    assert_eq!(rows(&client, sql).await, expected);
}

/// Guards against wrong SQLSTATEs, by which callers and the proxy decide whether to retry.
#[rstest]
#[case("SELECT * FROM missing", "42P01")]
#[case("SELECT missing FROM t", "42703")]
#[case("INSERT INTO t VALUES (1)", "23505")]
#[case("INSERT INTO t VALUES (2), (2)", "23505")]
#[case("INSERT INTO t VALUES (NULL)", "23502")]
#[case("SELEC 1", "42601")]
#[case("SELECT 'x'::int", "22P02")]
#[case("SELECT 1 / 0", "22012")]
#[case("SELECT nothing()", "42883")]
#[case("CREATE TABLE t (id int)", "42P07")]
#[case("BEGIN READ ONLY; INSERT INTO t VALUES (5)", "25006")]
#[case("SET nonsense = 1", "42704")]
#[tokio::test]
async fn wrong_sqlstate(#[case] sql: &str, #[case] expected: &str) {
    let client = connect(start_target(default_config()).await).await;
    let table = "CREATE TABLE t (id int PRIMARY KEY); INSERT INTO t VALUES (1)";
    client.batch_execute(table).await.unwrap();
    assert_eq!(sqlstate(&client, sql).await, expected);
}

/// Guards against parameters or results with a wrong type or format.
#[tokio::test]
async fn wrong_parameter_type_or_format() {
    let client = connect(start_target(default_config()).await).await;
    let table = "CREATE TABLE p (id int8 PRIMARY KEY, n int, x float8, b bool, s text)";
    client.batch_execute(table).await.unwrap();
    let insert = client
        .prepare("INSERT INTO p VALUES ($1, $2, $3, $4, $5) RETURNING id + 1")
        .await
        .unwrap();
    let row = client
        .query_one(&insert, &[&(1i64 << 40), &7i32, &1.5f64, &true, &Some("é")])
        .await
        .unwrap();
    assert_eq!(row.get::<_, i64>(0), (1i64 << 40) + 1);
    let row = client
        .query_one("SELECT * FROM p WHERE n = $1 AND s = $2", &[&7i32, &"é"])
        .await
        .unwrap();
    assert_eq!(row.get::<_, i64>("id"), 1i64 << 40);
    assert_eq!(row.get::<_, i32>("n"), 7);
    assert!((row.get::<_, f64>("x") - 1.5).abs() < f64::EPSILON);
    assert!(row.get::<_, bool>("b"));
    assert_eq!(row.get::<_, Option<String>>("s").as_deref(), Some("é"));
    let row = client
        .query_one("SELECT $1::int + 1", &[&41i32])
        .await
        .unwrap();
    assert_eq!(row.get::<_, i32>(0), 42);
    let changed = client
        .execute(
            "UPDATE p SET n = n + $1 WHERE id = $2",
            &[&1i32, &(1i64 << 40)],
        )
        .await
        .unwrap();
    assert_eq!(changed, 1);
}

/// Guards against a partly fetched portal that other statements of the connection change or close.
#[tokio::test]
async fn portal_changed_by_other_statements() {
    let mut client = connect(start_target(default_config()).await).await;
    client
        .batch_execute("CREATE TABLE t (id int PRIMARY KEY); INSERT INTO t VALUES (1), (2), (3)")
        .await
        .unwrap();
    let transaction = client.transaction().await.unwrap();
    let statement = transaction
        .prepare("SELECT id FROM t ORDER BY id")
        .await
        .unwrap();
    let portal = transaction.bind(&statement, &[]).await.unwrap();
    let first = transaction.query_portal(&portal, 2).await.unwrap();
    transaction.batch_execute("DELETE FROM t").await.unwrap();
    let second = transaction.query_portal(&portal, 2).await.unwrap();
    assert_eq!((first.len(), second.len()), (2, 1));
    assert_eq!(second[0].get::<_, i32>(0), 3);
}

/// Guards against an aborted transaction that runs further statements or can be committed.
#[tokio::test]
async fn aborted_transaction_continues() {
    let client = connect(start_target(default_config()).await).await;
    client
        .batch_execute("CREATE TABLE t (id int PRIMARY KEY)")
        .await
        .unwrap();
    client
        .batch_execute("BEGIN; INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    assert_eq!(sqlstate(&client, "INSERT INTO t VALUES (1)").await, "23505");
    assert_eq!(sqlstate(&client, "SELECT 1").await, "25P02");
    let error = client.query("SELECT 1", &[]).await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "25P02");
    client.batch_execute("COMMIT").await.unwrap();
    assert_eq!(single_value(&client, "SELECT count(*) FROM t").await, "0");
}

/// Guards against a multi-statement query that fails but keeps the changes of its first statements.
#[tokio::test]
async fn failed_script_is_partly_committed() {
    let client = connect(start_target(default_config()).await).await;
    client
        .batch_execute("CREATE TABLE t (id int PRIMARY KEY)")
        .await
        .unwrap();
    let sql = "INSERT INTO t VALUES (1); INSERT INTO t VALUES (1)";
    assert_eq!(sqlstate(&client, sql).await, "23505");
    assert_eq!(single_value(&client, "SELECT count(*) FROM t").await, "0");
}

/// Guards against a rollback to a savepoint that undoes too much or too little.
#[tokio::test]
async fn rollback_to_savepoint_undoes_wrong_rows() {
    let client = connect(start_target(default_config()).await).await;
    client
        .batch_execute(
            "CREATE TABLE t (id int PRIMARY KEY); BEGIN; INSERT INTO t VALUES (1); SAVEPOINT s",
        )
        .await
        .unwrap();
    assert_eq!(sqlstate(&client, "INSERT INTO t VALUES (1)").await, "23505");
    client
        .batch_execute("ROLLBACK TO s; INSERT INTO t VALUES (2); COMMIT")
        .await
        .unwrap();
    assert_eq!(
        rows(&client, "SELECT id FROM t ORDER BY id").await,
        ["1", "2"]
    );
}

/// Guards against uncommitted rows that other sessions see, and against locks that outlive their
/// connection.
#[tokio::test]
async fn disconnect_exposes_rows_or_keeps_locks() {
    let address = start_target(default_config()).await;
    let (writer, reader) = (connect(address).await, connect(address).await);
    let table = "CREATE TABLE t (id int PRIMARY KEY, n int); INSERT INTO t VALUES (1, 1)";
    reader.batch_execute(table).await.unwrap();
    writer
        .batch_execute("BEGIN; UPDATE t SET n = 2; INSERT INTO t VALUES (2, 2)")
        .await
        .unwrap();
    assert_eq!(rows(&reader, "SELECT * FROM t").await, ["1,1"]);
    let (update_result, ()) = tokio::join!(
        reader.batch_execute("UPDATE t SET n = n + 10 WHERE id = 1"),
        async { drop(writer) }
    );
    update_result.unwrap();
    assert_eq!(rows(&reader, "SELECT * FROM t").await, ["1,11"]);
}

/// Guards against lost updates: a writer that waited for a lock must read the committed row again.
#[tokio::test]
async fn blocked_writer_loses_update() {
    let address = start_target(default_config()).await;
    let (a, b) = (connect(address).await, connect(address).await);
    let table = "CREATE TABLE t (id int PRIMARY KEY, n int); INSERT INTO t VALUES (1, 1), (2, 1)";
    a.batch_execute(table).await.unwrap();
    a.batch_execute("BEGIN; UPDATE t SET n = n + 1 WHERE id = 1")
        .await
        .unwrap();
    let blocked_update = b.batch_execute("UPDATE t SET n = n + 1 WHERE id = 1");
    let (first, second) = tokio::join!(blocked_update, a.batch_execute("COMMIT"));
    first.and(second).unwrap();
    assert_eq!(single_value(&a, "SELECT n FROM t WHERE id = 1").await, "3");
}

/// Guards against a deadlock that blocks both writers forever.
#[tokio::test]
async fn deadlock_blocks_both_writers() {
    let address = start_target(default_config()).await;
    let (a, b) = (connect(address).await, connect(address).await);
    let table = "CREATE TABLE t (id int PRIMARY KEY, n int); INSERT INTO t VALUES (1, 1), (2, 1)";
    a.batch_execute(table).await.unwrap();
    a.batch_execute("BEGIN; UPDATE t SET n = 2 WHERE id = 1")
        .await
        .unwrap();
    b.batch_execute("BEGIN; UPDATE t SET n = 2 WHERE id = 2")
        .await
        .unwrap();
    let (first, second) = tokio::join!(a.batch_execute("UPDATE t SET n = 3 WHERE id = 2"), async {
        let result = b.batch_execute("UPDATE t SET n = 3 WHERE id = 1").await;
        b.batch_execute("ROLLBACK").await.unwrap();
        result
    });
    // The second statement to arrive causes the deadlock; either connection may be the one.
    let codes =
        [first, second].map(|r| r.err().and_then(|e| e.code().map(|c| c.code().to_owned())));
    assert_eq!(codes.iter().flatten().collect::<Vec<_>>(), ["40P01"]);
}

/// Guards against a cancel request that has no effect or cancels the next statement.
#[tokio::test]
async fn cancel_misses_its_statement() {
    let address = start_target(default_config()).await;
    let (client, other) = (connect(address).await, connect(address).await);
    let token = client.cancel_token();
    let mut sleep = std::pin::pin!(client.batch_execute("SELECT pg_sleep(600)"));
    // A cancel request that arrives before the statement has no effect, so it is repeated.
    let result = loop {
        tokio::select! {
            biased;
            result = &mut sleep => break result,
            _ = single_value(&other, "SELECT 1") => token.cancel_query(NoTls).await.unwrap(),
        }
    };
    assert_eq!(result.unwrap_err().code().unwrap().code(), "57014");
    token.cancel_query(NoTls).await.unwrap();
    assert_eq!(single_value(&client, "SELECT 1").await, "1");
}

/// Guards against a target that accepts more connections than its limit, or that still counts
/// closed ones.
#[tokio::test]
async fn connection_limit_exceeded_or_not_freed() {
    let mut config = default_config();
    config.connections = 2;
    let address = start_target(config).await;
    let (first, second) = (connect(address).await, connect(address).await);
    let error = support::try_connect(address).await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "53300");
    drop(first);
    // The server processes the close asynchronously.
    wait_for_rows(&second, "SELECT 1", &["1"]).await;
    let deadline = tokio::time::Instant::now() + std::time::Duration::from_secs(20);
    while support::try_connect(address).await.is_err() {
        assert!(
            tokio::time::Instant::now() < deadline,
            "the closed connection still counts towards the limit"
        );
    }
}

/// Guards against settings that outlive their transaction or are lost.
#[tokio::test]
async fn settings_outlive_transaction() {
    let client = connect(start_target(default_config()).await).await;
    client
        .batch_execute("BEGIN; SET LOCAL a.b = 'x'; SET c.d = 'y'")
        .await
        .unwrap();
    assert_eq!(single_value(&client, "SHOW a.b").await, "x");
    client.batch_execute("COMMIT").await.unwrap();
    assert_eq!(sqlstate(&client, "SHOW a.b").await, "42704");
    assert_eq!(
        single_value(&client, "SELECT current_setting('c.d')").await,
        "y"
    );
    client
        .batch_execute("BEGIN; SET c.d = 'z'; ROLLBACK")
        .await
        .unwrap();
    assert_eq!(single_value(&client, "SHOW c.d").await, "y");
    client.batch_execute("DISCARD ALL").await.unwrap();
    assert_eq!(sqlstate(&client, "SHOW c.d").await, "42704");
}

/// Guards against utility statements and empty statements that fail in the extended protocol.
#[tokio::test]
async fn prepared_utility_statement_fails() {
    let client = connect(start_target(default_config()).await).await;
    let row = client.query_one("SHOW server_version", &[]).await.unwrap();
    assert_eq!(row.get::<_, &str>(0), "16.0");
    client
        .execute("CREATE TABLE t (id int PRIMARY KEY)", &[])
        .await
        .unwrap();
    client.execute("BEGIN", &[]).await.unwrap();
    client
        .execute("INSERT INTO t VALUES ($1)", &[&1i32])
        .await
        .unwrap();
    client.execute("ROLLBACK", &[]).await.unwrap();
    let row = client
        .query_one("SELECT count(*) FROM t", &[])
        .await
        .unwrap();
    assert_eq!(row.get::<_, i64>(0), 0);
    client.execute("", &[]).await.unwrap();
}

/// Guards against encryption requests that are not rejected with `N`, and against invalid input
/// that affects other connections.
#[rstest]
#[case(&[0, 0, 0, 8, 4, 210, 22, 47], b"N")]
#[case(&[0, 0, 0, 8, 4, 210, 22, 48], b"N")]
#[case(&[0, 0, 0, 0, 0, 0, 0, 0], b"")]
#[case(&[255; 64], b"")]
#[case(b"GET / HTTP/1.1\r\n\r\n", b"")]
#[tokio::test]
async fn invalid_first_bytes_affect_other_connections(
    #[case] request: &[u8],
    #[case] response: &[u8],
) {
    let address = start_target(default_config()).await;
    let client = connect(address).await;
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    stream.write_all(request).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut received = Vec::new();
    // Closing a socket with unread input may cause a connection reset.
    let _ = stream.read_to_end(&mut received).await;
    assert_eq!(received, response);
    assert_eq!(single_value(&client, "SELECT 1").await, "1");
}

//! Simple and extended queries, transactions and errors over real sockets.

mod support;

use rstest::rstest;
use support::{code, config, connect, one, rows, start, until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio_postgres::NoTls;

/// Guards against a subset of SQL that parses but computes something else than PostgreSQL.
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
async fn select(#[case] sql: &str, #[case] wanted: &[&str]) {
    let client = connect(start(config()).await).await;
    let table = "CREATE TABLE t (id int PRIMARY KEY, n int, name text);
        INSERT INTO t VALUES (1, 10, 'a'), (2, 20, 'b'), (3, 30, 'c'), (4, NULL, NULL)";
    client.batch_execute(table).await.unwrap();
    assert_eq!(rows(&client, sql).await, wanted);
}

/// Guards against wrong SQLSTATEs, on which callers and the proxy decide about retries.
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
async fn errors(#[case] sql: &str, #[case] wanted: &str) {
    let client = connect(start(config()).await).await;
    let table = "CREATE TABLE t (id int PRIMARY KEY); INSERT INTO t VALUES (1)";
    client.batch_execute(table).await.unwrap();
    assert_eq!(code(&client, sql).await, wanted);
}

/// Guards against parameters or results that lose their type or format.
#[tokio::test]
async fn parameters() {
    let client = connect(start(config()).await).await;
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

/// Guards against a named statement or a portal in parts that does not survive other work.
#[tokio::test]
async fn portals() {
    let mut client = connect(start(config()).await).await;
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

/// Guards against statements that run in an aborted transaction, and against a COMMIT of one.
#[tokio::test]
async fn aborted_transaction() {
    let client = connect(start(config()).await).await;
    client
        .batch_execute("CREATE TABLE t (id int PRIMARY KEY)")
        .await
        .unwrap();
    client
        .batch_execute("BEGIN; INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    assert_eq!(code(&client, "INSERT INTO t VALUES (1)").await, "23505");
    assert_eq!(code(&client, "SELECT 1").await, "25P02");
    let error = client.query("SELECT 1", &[]).await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "25P02");
    client.batch_execute("COMMIT").await.unwrap();
    assert_eq!(one(&client, "SELECT count(*) FROM t").await, "0");
}

/// Guards against half of a multi-statement query staying when its other half fails.
#[tokio::test]
async fn implicit_transaction() {
    let client = connect(start(config()).await).await;
    client
        .batch_execute("CREATE TABLE t (id int PRIMARY KEY)")
        .await
        .unwrap();
    let sql = "INSERT INTO t VALUES (1); INSERT INTO t VALUES (1)";
    assert_eq!(code(&client, sql).await, "23505");
    assert_eq!(one(&client, "SELECT count(*) FROM t").await, "0");
}

/// Guards against savepoints that lose or keep the wrong part.
#[tokio::test]
async fn savepoint() {
    let client = connect(start(config()).await).await;
    client
        .batch_execute(
            "CREATE TABLE t (id int PRIMARY KEY); BEGIN; INSERT INTO t VALUES (1); SAVEPOINT s",
        )
        .await
        .unwrap();
    assert_eq!(code(&client, "INSERT INTO t VALUES (1)").await, "23505");
    client
        .batch_execute("ROLLBACK TO s; INSERT INTO t VALUES (2); COMMIT")
        .await
        .unwrap();
    assert_eq!(
        rows(&client, "SELECT id FROM t ORDER BY id").await,
        ["1", "2"]
    );
}

/// Guards against uncommitted rows that others see, and locks that outlive their connection.
#[tokio::test]
async fn rollback_on_drop() {
    let address = start(config()).await;
    let (writer, reader) = (connect(address).await, connect(address).await);
    let table = "CREATE TABLE t (id int PRIMARY KEY, n int); INSERT INTO t VALUES (1, 1)";
    reader.batch_execute(table).await.unwrap();
    writer
        .batch_execute("BEGIN; UPDATE t SET n = 2; INSERT INTO t VALUES (2, 2)")
        .await
        .unwrap();
    assert_eq!(rows(&reader, "SELECT * FROM t").await, ["1,1"]);
    let (blocked, ()) = tokio::join!(
        reader.batch_execute("UPDATE t SET n = n + 10 WHERE id = 1"),
        async { drop(writer) }
    );
    blocked.unwrap();
    assert_eq!(rows(&reader, "SELECT * FROM t").await, ["1,11"]);
}

/// Guards against lost updates: a writer that waited has to see what the other committed.
#[tokio::test]
async fn blocked_writer() {
    let address = start(config()).await;
    let (a, b) = (connect(address).await, connect(address).await);
    let table = "CREATE TABLE t (id int PRIMARY KEY, n int); INSERT INTO t VALUES (1, 1), (2, 1)";
    a.batch_execute(table).await.unwrap();
    a.batch_execute("BEGIN; UPDATE t SET n = n + 1 WHERE id = 1")
        .await
        .unwrap();
    let wait = b.batch_execute("UPDATE t SET n = n + 1 WHERE id = 1");
    let (first, second) = tokio::join!(wait, a.batch_execute("COMMIT"));
    first.and(second).unwrap();
    assert_eq!(one(&a, "SELECT n FROM t WHERE id = 1").await, "3");
}

/// Guards against a deadlock that blocks both writers for good.
#[tokio::test]
async fn deadlock() {
    let address = start(config()).await;
    let (a, b) = (connect(address).await, connect(address).await);
    let table = "CREATE TABLE t (id int PRIMARY KEY, n int); INSERT INTO t VALUES (1, 1), (2, 1)";
    a.batch_execute(table).await.unwrap();
    a.batch_execute("BEGIN; UPDATE t SET n = 2 WHERE id = 1")
        .await
        .unwrap();
    b.batch_execute("BEGIN; UPDATE t SET n = 2 WHERE id = 2")
        .await
        .unwrap();
    let (one, two) = tokio::join!(a.batch_execute("UPDATE t SET n = 3 WHERE id = 2"), async {
        let failed = b.batch_execute("UPDATE t SET n = 3 WHERE id = 1").await;
        b.batch_execute("ROLLBACK").await.unwrap();
        failed
    });
    // Whichever came second closes the circle; with these two connections either may.
    let codes = [one, two].map(|r| r.err().and_then(|e| e.code().map(|c| c.code().to_owned())));
    assert_eq!(codes.iter().flatten().collect::<Vec<_>>(), ["40P01"]);
}

/// Guards against a cancel that has no effect or hits the statement after it.
#[tokio::test]
async fn cancel() {
    let address = start(config()).await;
    let (client, other) = (connect(address).await, connect(address).await);
    let token = client.cancel_token();
    let mut sleep = std::pin::pin!(client.batch_execute("SELECT pg_sleep(600)"));
    // A cancel that overtakes the statement has no effect, so that it is repeated.
    let slept = loop {
        tokio::select! {
            biased;
            slept = &mut sleep => break slept,
            _ = one(&other, "SELECT 1") => token.cancel_query(NoTls).await.unwrap(),
        }
    };
    assert_eq!(slept.unwrap_err().code().unwrap().code(), "57014");
    token.cancel_query(NoTls).await.unwrap();
    assert_eq!(one(&client, "SELECT 1").await, "1");
}

/// Guards against a target that takes more connections than its limit, or never frees one.
#[tokio::test]
async fn connection_limit() {
    let mut config = config();
    config.connections = 2;
    let address = start(config).await;
    let (first, second) = (connect(address).await, connect(address).await);
    let error = support::try_connect(address).await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "53300");
    drop(first);
    // The server learns of the close by its own event.
    until(&second, "SELECT 1", &["1"]).await;
    let deadline = tokio::time::Instant::now() + std::time::Duration::from_secs(20);
    while support::try_connect(address).await.is_err() {
        assert!(
            tokio::time::Instant::now() < deadline,
            "the slot was never freed"
        );
    }
}

/// Guards against settings that outlive their transaction or are not reported.
#[tokio::test]
async fn settings() {
    let client = connect(start(config()).await).await;
    client
        .batch_execute("BEGIN; SET LOCAL a.b = 'x'; SET c.d = 'y'")
        .await
        .unwrap();
    assert_eq!(one(&client, "SHOW a.b").await, "x");
    client.batch_execute("COMMIT").await.unwrap();
    assert_eq!(code(&client, "SHOW a.b").await, "42704");
    assert_eq!(one(&client, "SELECT current_setting('c.d')").await, "y");
    client
        .batch_execute("BEGIN; SET c.d = 'z'; ROLLBACK")
        .await
        .unwrap();
    assert_eq!(one(&client, "SHOW c.d").await, "y");
    client.batch_execute("DISCARD ALL").await.unwrap();
    assert_eq!(code(&client, "SHOW c.d").await, "42704");
}

/// Guards against statements without tables that fail when they are prepared.
#[tokio::test]
async fn prepared_control() {
    let client = connect(start(config()).await).await;
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

/// Guards against negotiation requests that are not answered with `N`, and against bad input that
/// ends more than its own connection.
#[rstest]
#[case(&[0, 0, 0, 8, 4, 210, 22, 47], b"N")]
#[case(&[0, 0, 0, 8, 4, 210, 22, 48], b"N")]
#[case(&[0, 0, 0, 0, 0, 0, 0, 0], b"")]
#[case(&[255; 64], b"")]
#[case(b"GET / HTTP/1.1\r\n\r\n", b"")]
#[tokio::test]
async fn first_bytes(#[case] request: &[u8], #[case] answer: &[u8]) {
    let address = start(config()).await;
    let client = connect(address).await;
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    stream.write_all(request).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut received = Vec::new();
    // A close with unread input may come as a reset.
    let _ = stream.read_to_end(&mut received).await;
    assert_eq!(received, answer);
    assert_eq!(one(&client, "SELECT 1").await, "1");
}

//! Simulated limits and faults that concern whole connections.

mod support;

use std::time::Duration;

use support::{code, config, connect, one, start, try_connect};
use tokio::time::Instant;
use tokio_postgres::{Client, NoTls};

/// Some exchanges with the server that take no slot; a statement that is not held up is answered
/// meanwhile.
async fn exchanges(admin: &Client) {
    for _ in 0..20 {
        assert_eq!(one(admin, "SELECT pg_is_in_recovery()").await, "f");
    }
}

/// Guards against statements beyond the slots that run at once, and against a slot never freed.
#[tokio::test]
async fn slots() {
    let mut config = config();
    config.slots = 1;
    let address = start(config).await;
    let (busy, waiting) = (connect(address).await, connect(address).await);
    let admin = connect(address).await;
    let token = busy.cancel_token();
    let (first, answered) = tokio::join!(busy.batch_execute("SELECT pg_sleep(600)"), async {
        let deadline = Instant::now() + support::PATIENCE;
        // Repeated until the long statement has arrived and holds the slot.
        let blocked = loop {
            assert!(Instant::now() < deadline, "always ran without a slot");
            let mut second = Box::pin(waiting.simple_query("SELECT 1"));
            let done = tokio::select! {
                biased;
                _ = &mut second => true,
                () = exchanges(&admin) => false,
            };
            if !done {
                break second;
            }
        };
        token.cancel_query(NoTls).await.unwrap();
        blocked.await
    });
    assert_eq!(first.unwrap_err().code().unwrap().code(), "57014");
    answered.unwrap();
}

/// Guards against simulated times that are shorter than set.
#[tokio::test]
async fn times() {
    let wait = Duration::from_millis(30);
    let mut config = config();
    config.open = wait;
    config.statement = wait;
    let address = start(config).await;
    let before = Instant::now();
    let client = connect(address).await;
    assert!(before.elapsed() >= wait, "open");
    let before = Instant::now();
    client.batch_execute("SELECT 1").await.unwrap();
    assert!(before.elapsed() >= wait, "statement");
    for fault in ["reply_delay_ms", "freeze_ms"] {
        let sql = format!("SELECT standin_fault('{fault}', 30)");
        client.batch_execute(&sql).await.unwrap();
        let before = Instant::now();
        assert_eq!(one(&client, "SELECT pg_is_in_recovery()").await, "f");
        // The freeze began when its own statement was answered, a moment before.
        assert!(before.elapsed() >= wait / 2, "{fault}");
        let sql = "SELECT standin_fault('reply_delay_ms', 0)";
        client.batch_execute(sql).await.unwrap();
    }
}

/// Guards against new connections that get through a refusal, or open ones that it ends.
#[tokio::test]
async fn refusal() {
    let address = start(config()).await;
    let client = connect(address).await;
    client
        .batch_execute("SELECT standin_fault('refuse_ms', 600000)")
        .await
        .unwrap();
    try_connect(address).await.unwrap_err();
    client
        .batch_execute("SELECT standin_fault('refuse_ms', 0)")
        .await
        .unwrap();
    connect(address).await;
    assert_eq!(
        code(&client, "SELECT standin_fault('nonsense')").await,
        "22023"
    );
}

/// Guards against work that is lost because its client has gone: a real server runs what it has
/// received.
#[tokio::test]
async fn client_gone() {
    let mut config = config();
    config.statement = Duration::from_millis(20);
    let address = start(config).await;
    let (client, other) = (connect(address).await, connect(address).await);
    client
        .batch_execute("CREATE TABLE t (id int PRIMARY KEY)")
        .await
        .unwrap();
    let mut target = tokio_postgres::Config::new();
    target.host("127.0.0.1").port(address.port()).user("gone");
    let (gone, connection) = target.connect(NoTls).await.unwrap();
    let connection = tokio::spawn(connection);
    tokio::select! {
        biased;
        _ = gone.batch_execute("INSERT INTO t VALUES (1)") => panic!("ran without its time"),
        _ = one(&other, "SELECT pg_is_in_recovery()") => {}
    }
    connection.abort();
    support::until(&other, "SELECT id FROM t", &["1"]).await;
}

/// Guards against a stop that clients cannot tell from a crash, or that commits open work.
#[tokio::test]
async fn stop() {
    let bound = standin::bind(config()).await.unwrap();
    let address = bound.addr();
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let server = tokio::spawn(bound.run(async {
        stopped.await.unwrap();
    }));
    let mut target = tokio_postgres::Config::new();
    target.host("127.0.0.1").port(address.port()).user("tester");
    let (client, connection) = target.connect(NoTls).await.unwrap();
    let connection = tokio::spawn(connection);
    client
        .batch_execute("BEGIN; CREATE TABLE t (id int)")
        .await
        .unwrap();
    stop.send(()).unwrap();
    let reason = connection.await.unwrap().unwrap_err();
    assert_eq!(reason.code().unwrap().code(), "57P01");
    server.await.unwrap();
    try_connect(address).await.unwrap_err();
}

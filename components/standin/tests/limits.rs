//! Simulated limits and delays, and faults that affect whole connections.

mod support;

use std::time::Duration;

use support::{connect, default_config, single_value, sqlstate, start_target, try_connect};
use tokio::time::Instant;
use tokio_postgres::{Client, NoTls};

/// Runs some statements that need no slot; a statement on another connection that does not wait for
/// a slot completes in the meantime.
async fn run_slotless_statements(admin: &Client) {
    for _ in 0..20 {
        assert_eq!(single_value(admin, "SELECT pg_is_in_recovery()").await, "f");
    }
}

/// Guards against more concurrent statements than slots, and against a slot that a canceled
/// statement does not free.
#[tokio::test]
async fn more_statements_run_than_slots() {
    let mut config = default_config();
    config.slots = 1;
    let address = start_target(config).await;
    let (occupying, waiting) = (connect(address).await, connect(address).await);
    let admin = connect(address).await;
    let token = occupying.cancel_token();
    let (first_result, second_result) =
        tokio::join!(occupying.batch_execute("SELECT pg_sleep(600)"), async {
            let deadline = Instant::now() + support::WAIT_TIMEOUT;
            // Repeated until the long statement has been received and occupies the slot.
            let blocked = loop {
                assert!(
                    Instant::now() < deadline,
                    "statements kept running although the only slot should be occupied"
                );
                let mut second = Box::pin(waiting.simple_query("SELECT 1"));
                let completed = tokio::select! {
                    biased;
                    _ = &mut second => true,
                    () = run_slotless_statements(&admin) => false,
                };
                if !completed {
                    break second;
                }
            };
            token.cancel_query(NoTls).await.unwrap();
            blocked.await
        });
    assert_eq!(first_result.unwrap_err().code().unwrap().code(), "57014");
    second_result.unwrap();
}

/// Guards against simulated delays that are shorter than configured.
#[tokio::test]
async fn simulated_delay_too_short() {
    let delay = Duration::from_millis(30);
    let mut config = default_config();
    config.open = delay;
    config.statement = delay;
    let address = start_target(config).await;
    let before = Instant::now();
    let client = connect(address).await;
    assert!(
        before.elapsed() >= delay,
        "connecting took less than the configured time"
    );
    let before = Instant::now();
    client.batch_execute("SELECT 1").await.unwrap();
    assert!(
        before.elapsed() >= delay,
        "statement took less than the configured time"
    );
    for fault in ["reply_delay_ms", "freeze_ms"] {
        let sql = format!("SELECT standin_fault('{fault}', 30)");
        client.batch_execute(&sql).await.unwrap();
        let before = Instant::now();
        assert_eq!(
            single_value(&client, "SELECT pg_is_in_recovery()").await,
            "f"
        );
        // The freeze started before the reply to its own statement arrived, so only part of it is
        // left.
        assert!(before.elapsed() >= delay / 2, "{fault}");
        let sql = "SELECT standin_fault('reply_delay_ms', 0)";
        client.batch_execute(sql).await.unwrap();
    }
}

/// Guards against new connections that are accepted while connections are refused, and against open
/// connections that the fault closes.
#[tokio::test]
async fn refused_connection_accepted() {
    let address = start_target(default_config()).await;
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
        sqlstate(&client, "SELECT standin_fault('nonsense')").await,
        "22023"
    );
}

/// Guards against statements that are lost when their client disconnects: PostgreSQL runs what it
/// has received.
#[tokio::test]
async fn statement_lost_after_disconnect() {
    let mut config = default_config();
    config.statement = Duration::from_millis(20);
    let address = start_target(config).await;
    let (client, other) = (connect(address).await, connect(address).await);
    client
        .batch_execute("CREATE TABLE t (id int PRIMARY KEY)")
        .await
        .unwrap();
    let mut client_config = tokio_postgres::Config::new();
    client_config
        .host("127.0.0.1")
        .port(address.port())
        .user("gone");
    let (disconnecting, connection) = client_config.connect(NoTls).await.unwrap();
    let connection = tokio::spawn(connection);
    tokio::select! {
        biased;
        _ = disconnecting.batch_execute("INSERT INTO t VALUES (1)") =>
            panic!("the statement ran without its simulated execution time"),
        _ = single_value(&other, "SELECT pg_is_in_recovery()") => {}
    }
    connection.abort();
    support::wait_for_rows(&other, "SELECT id FROM t", &["1"]).await;
}

/// Guards against a shutdown that clients cannot distinguish from a crash.
#[tokio::test]
async fn stop_without_error_code() {
    let listener = standin::bind(default_config()).await.unwrap();
    let address = listener.address();
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let server = tokio::spawn(listener.run(async {
        stopped.await.unwrap();
    }));
    let mut client_config = tokio_postgres::Config::new();
    client_config
        .host("127.0.0.1")
        .port(address.port())
        .user("tester");
    let (client, connection) = client_config.connect(NoTls).await.unwrap();
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

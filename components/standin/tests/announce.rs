//! Announcements of a target to the entries.

mod support;

use std::time::Duration;

use serde_json::Value;
use support::{connect, default_config, start_target, wait_for_rows};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Receives an announcement and returns its head and body.
async fn receive_announcement(listener: &TcpListener) -> (String, Value) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut raw = Vec::new();
    loop {
        stream.read_buf(&mut raw).await.unwrap();
        let text = String::from_utf8(raw.clone()).unwrap();
        if let Some((head, body)) = text.split_once("\r\n\r\n")
            && let Ok(body) = serde_json::from_str(body)
        {
            let response = b"HTTP/1.1 204 No Content\r\n\r\n";
            stream.write_all(response).await.unwrap();
            return (head.to_lowercase(), body);
        }
    }
}

/// Guards against announcements that do not match the schema of the API, and against a role from
/// before a promotion.
#[tokio::test]
async fn announcement_invalid_or_with_former_role() {
    let schema = serde_json::from_str(include_str!("../../../schema/api.json")).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let primary = start_target(default_config()).await;
    let mut config = default_config();
    config.primary = Some(primary);
    config.ttl = Duration::from_millis(300);
    config.token = "secret".to_owned();
    config.announce = vec![listener.local_addr().unwrap()];
    let address = start_target(config).await;
    let (head, body) = receive_announcement(&listener).await;
    assert!(
        head.starts_with("put /v1/targets/target http/1.1"),
        "{head}"
    );
    assert!(head.contains("authorization: bearer secret"), "{head}");
    jsonschema::validate(&schema, &body).unwrap();
    assert_eq!(body["role"], "replica");
    assert_eq!(body["address"], address.to_string());
    let client = connect(address).await;
    wait_for_rows(
        &client,
        "SELECT pg_last_wal_receive_lsn() IS NOT NULL",
        &["t"],
    )
    .await;
    client.batch_execute("SELECT pg_promote()").await.unwrap();
    // At most one announcement from before the promotion may be in flight.
    let mut last = receive_announcement(&listener).await.1;
    if last["role"] == "replica" {
        last = receive_announcement(&listener).await.1;
    }
    assert_eq!(last["role"], "primary");
}

//! I/O task of the replication connection to the primary.

use std::net::SocketAddr;

use anyhow::{Context, Result, bail};
use bytes::BytesMut;
use pgwire::messages::startup::Startup;
use pgwire::messages::{DecodeContext, Message, PgWireBackendMessage, ProtocolVersion};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::event::{Event, Events};
use crate::wal;

/// Start-up parameters with the position of a replica.
pub(crate) const IDENTITY_PARAMETER: &str = "standin.identity";
pub(crate) const TIMELINE_PARAMETER: &str = "standin.timeline";
pub(crate) const POSITION_PARAMETER: &str = "standin.position";

/// Position of a replica's log when it connects.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Position {
    pub(crate) identity: u64,
    pub(crate) timeline: u64,
    pub(crate) end: u64,
}

/// Passes the primary's messages to the event loop until the connection ends.
pub(crate) async fn run(primary: SocketAddr, connection: u64, position: Position, events: Events) {
    if let Err(error) = receive(primary, connection, position, &events).await {
        tracing::debug!(%primary, error = format!("{error:#}"), "replication connection ended");
    }
    // Fails only after the event loop has ended.
    let _ = events.send(Event::UpstreamClosed(connection));
}

async fn receive(
    primary: SocketAddr,
    connection: u64,
    position: Position,
    events: &Events,
) -> Result<()> {
    let mut stream = TcpStream::connect(primary)
        .await
        .context("connect to the primary")?;
    stream.set_nodelay(true)?;
    let mut startup = Startup::new();
    let parameters = [
        ("user", "standin".to_owned()),
        ("replication", "true".to_owned()),
        (IDENTITY_PARAMETER, position.identity.to_string()),
        (TIMELINE_PARAMETER, position.timeline.to_string()),
        (POSITION_PARAMETER, position.end.to_string()),
    ];
    let owned = parameters.map(|(name, value)| (name.to_owned(), value));
    startup.parameters = owned.into_iter().collect();
    let mut buffer = BytesMut::new();
    startup.encode(&mut buffer)?;
    stream
        .write_all(&buffer)
        .await
        .context("send the start-up message")?;
    buffer.clear();
    let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    loop {
        while let Some(message) = PgWireBackendMessage::decode(&mut buffer, &context)? {
            match message {
                PgWireBackendMessage::CopyData(copy) => {
                    let message =
                        wal::decode(&copy.data).context("decode a replication message")?;
                    events.send(Event::Upstream(connection, message))?;
                }
                PgWireBackendMessage::ErrorResponse(error) => bail!(
                    "primary refused the replication connection: {:?}",
                    error.fields
                ),
                _ => {}
            }
        }
        if stream
            .read_buf(&mut buffer)
            .await
            .context("read from the primary")?
            == 0
        {
            bail!("the primary closed the connection");
        }
    }
}

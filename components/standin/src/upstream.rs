//! I/O task of the connection to the primary.

use std::net::SocketAddr;

use anyhow::{Context, Result, bail};
use bytes::BytesMut;
use pgwire::messages::startup::Startup;
use pgwire::messages::{DecodeContext, Message, PgWireBackendMessage, ProtocolVersion};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::event::{Event, Events};
use crate::wal;

/// Start-up parameters that give a replica's position.
pub(crate) const IDENTITY: &str = "standin.identity";
pub(crate) const TIMELINE: &str = "standin.timeline";
pub(crate) const POSITION: &str = "standin.position";

/// Where a replica stands when it connects.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Position {
    pub(crate) identity: u64,
    pub(crate) timeline: u64,
    pub(crate) end: u64,
}

/// Passes the primary's messages to the loop until the connection ends.
pub(crate) async fn run(primary: SocketAddr, connection: u64, at: Position, events: Events) {
    if let Err(error) = follow(primary, connection, at, &events).await {
        tracing::debug!(%primary, error = format!("{error:#}"), "replication connection ended");
    }
    // The loop is gone when this fails.
    let _ = events.send(Event::Lost(connection));
}

async fn follow(primary: SocketAddr, connection: u64, at: Position, events: &Events) -> Result<()> {
    let mut stream = TcpStream::connect(primary).await.context("connect")?;
    stream.set_nodelay(true)?;
    let mut startup = Startup::new();
    let parameters = [
        ("user", "standin".to_owned()),
        ("replication", "true".to_owned()),
        (IDENTITY, at.identity.to_string()),
        (TIMELINE, at.timeline.to_string()),
        (POSITION, at.end.to_string()),
    ];
    let owned = parameters.map(|(name, value)| (name.to_owned(), value));
    startup.parameters = owned.into_iter().collect();
    let mut buffer = BytesMut::new();
    startup.encode(&mut buffer)?;
    stream.write_all(&buffer).await.context("start-up")?;
    buffer.clear();
    let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    loop {
        while let Some(message) = PgWireBackendMessage::decode(&mut buffer, &context)? {
            match message {
                PgWireBackendMessage::CopyData(copy) => {
                    let message = wal::decode(&copy.data).context("no replication message")?;
                    events.send(Event::Upstream(connection, message))?;
                }
                PgWireBackendMessage::ErrorResponse(error) => bail!("refused: {:?}", error.fields),
                _ => {}
            }
        }
        if stream.read_buf(&mut buffer).await.context("read")? == 0 {
            bail!("closed by the primary");
        }
    }
}

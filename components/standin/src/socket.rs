//! I/O task of one client connection.

use bytes::{Buf, Bytes, BytesMut};
use pgwire::messages::{
    DecodeContext, PgWireFrontendMessage, ProtocolVersion, SslNegotiationMetaMessage,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::event::{Event, Events};

/// Bytes that are read at a time.
const CHUNK: usize = 16 << 10;

/// Tells the loop about the end of the connection, however the task ends.
#[derive(Debug)]
struct Guard {
    session: u64,
    events: Events,
}

impl Drop for Guard {
    fn drop(&mut self) {
        // The loop is gone when this fails, and needs no event then.
        let _ = self.events.send(Event::Closed(self.session));
    }
}

/// Carries messages to the loop and its bytes back; ends when either side ends.
pub(crate) async fn run(
    mut stream: TcpStream,
    session: u64,
    events: Events,
    mut output: UnboundedReceiver<Bytes>,
) {
    let guard = Guard { session, events };
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    let mut buffer = BytesMut::with_capacity(CHUNK);
    loop {
        tokio::select! {
            read = stream.read_buf(&mut buffer) => {
                if !matches!(read, Ok(n) if n > 0) {
                    return;
                }
                let (messages, valid) = decode(&mut buffer, &mut context);
                let sent = messages.is_empty()
                    || guard.events.send(Event::Messages(session, messages)).is_ok();
                if !valid || !sent {
                    return;
                }
                buffer.reserve(CHUNK);
            }
            bytes = output.recv() => {
                let Some(bytes) = bytes else {
                    // Waits for nothing: a missing reader must not keep the task.
                    let _ = stream.shutdown().await;
                    return;
                };
                if stream.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        }
    }
}

/// Takes all complete messages; false when the rest is no message.
fn decode(
    buffer: &mut BytesMut,
    context: &mut DecodeContext,
) -> (Vec<PgWireFrontendMessage>, bool) {
    let mut messages = Vec::new();
    while buffer.has_remaining() {
        if !plausible(buffer, context) {
            return (messages, false);
        }
        match PgWireFrontendMessage::decode(buffer, context) {
            Ok(Some(PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None))) => {
                context.awaiting_frontend_ssl = false;
            }
            Ok(Some(message)) => {
                if matches!(message, PgWireFrontendMessage::Startup(_)) {
                    context.awaiting_frontend_startup = false;
                }
                messages.push(message);
            }
            Ok(None) => break,
            Err(_) => return (messages, false),
        }
    }
    (messages, true)
}

/// Whether the length field can be one; the codec does not check for lengths below its header.
fn plausible(buffer: &[u8], context: &DecodeContext) -> bool {
    let header = usize::from(!context.awaiting_frontend_startup);
    match buffer.get(header..header + 4) {
        Some(raw) => {
            let least = if header == 1 { 4 } else { 8 };
            i32::from_be_bytes([raw[0], raw[1], raw[2], raw[3]]) >= least
        }
        None => true,
    }
}

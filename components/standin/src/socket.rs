//! I/O task of one client connection.

use bytes::{Buf, Bytes, BytesMut};
use pgwire::messages::{
    DecodeContext, PgWireFrontendMessage, ProtocolVersion, SslNegotiationMetaMessage,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::event::{Event, Events};

/// Bytes that the read buffer is extended by.
const READ_CHUNK_BYTES: usize = 16 << 10;

/// Notifies the event loop that the connection has ended, even if the task panics.
#[derive(Debug)]
struct Guard {
    session: u64,
    events: Events,
}

impl Drop for Guard {
    fn drop(&mut self) {
        // Fails only after the event loop has ended, which needs no event then.
        let _ = self.events.send(Event::Closed(self.session));
    }
}

/// Passes the client's messages to the event loop and writes the replies; returns when either side
/// ends.
pub(crate) async fn run(
    mut stream: TcpStream,
    session: u64,
    events: Events,
    mut output: UnboundedReceiver<Bytes>,
) {
    let guard = Guard { session, events };
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    let mut buffer = BytesMut::with_capacity(READ_CHUNK_BYTES);
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
                buffer.reserve(READ_CHUNK_BYTES);
            }
            bytes = output.recv() => {
                let Some(bytes) = bytes else {
                    // Closes the socket without waiting for the client to read the replies.
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

/// Decodes all complete messages; the flag is false if the remaining bytes are invalid.
fn decode(
    buffer: &mut BytesMut,
    context: &mut DecodeContext,
) -> (Vec<PgWireFrontendMessage>, bool) {
    let mut messages = Vec::new();
    while buffer.has_remaining() {
        if !has_valid_length(buffer, context) {
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

/// Whether the length field is in range; the codec does not reject lengths below the header's.
fn has_valid_length(buffer: &[u8], context: &DecodeContext) -> bool {
    let length_offset = usize::from(!context.awaiting_frontend_startup);
    match buffer.get(length_offset..length_offset + 4) {
        Some(raw) => {
            let min_length = if length_offset == 1 { 4 } else { 8 };
            i32::from_be_bytes([raw[0], raw[1], raw[2], raw[3]]) >= min_length
        }
        None => true,
    }
}

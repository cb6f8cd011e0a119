//! A caller without a driver, for messages that no driver sends.

use std::net::SocketAddr;

use bytes::BytesMut;
use pg::Frame;
use postgres_protocol::authentication::sasl::{ChannelBinding, SCRAM_SHA_256, ScramSha256};
use postgres_protocol::message::frontend;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// An authenticated caller.
#[derive(Debug)]
pub struct Raw {
    pub socket: TcpStream,
    inbox: BytesMut,
}

impl Raw {
    /// Connects, authenticates and reads up to the first ReadyForQuery.
    pub async fn login(address: SocketAddr) -> Self {
        let socket = TcpStream::connect(address).await.unwrap();
        let inbox = BytesMut::new();
        let mut raw = Self { socket, inbox };
        let mut out = BytesMut::new();
        let parameters = [("user", "demo"), ("database", "orders")];
        frontend::startup_message(parameters, &mut out).unwrap();
        let mut scram = ScramSha256::new(b"demo", ChannelBinding::unsupported());
        loop {
            raw.send(&out).await;
            out.clear();
            let (tag, body) = raw.next().await;
            match (tag, body.get(3)) {
                (b'R', Some(10)) => {
                    let first = scram.message();
                    frontend::sasl_initial_response(SCRAM_SHA_256, first, &mut out).unwrap();
                }
                (b'R', Some(11)) => {
                    scram.update(&body[4..]).unwrap();
                    frontend::sasl_response(scram.message(), &mut out).unwrap();
                }
                (b'R', Some(12)) => scram.finish(&body[4..]).unwrap(),
                (b'Z', _) => return raw,
                (b'E', _) => panic!("login refused: {}", String::from_utf8_lossy(&body)),
                _ => {}
            }
        }
    }

    pub async fn send(&mut self, bytes: &[u8]) {
        self.socket.write_all(bytes).await.unwrap();
    }

    /// Type and body of the next message.
    pub async fn next(&mut self) -> (u8, Vec<u8>) {
        loop {
            if let Some(frame) = Frame::first(&self.inbox, 1 << 20).unwrap() {
                let (tag, body, length) = (frame.tag, frame.body.to_vec(), frame.raw.len());
                let _taken = self.inbox.split_to(length);
                return (tag, body);
            }
            let read = self.socket.read_buf(&mut self.inbox).await.unwrap();
            assert!(read > 0, "the entry closed the connection");
        }
    }
}

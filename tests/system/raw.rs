//! A caller without a driver, for bytes that no driver sends.

use std::net::SocketAddr;

use bytes::BytesMut;
use pg::Frame;
use postgres_protocol::authentication::sasl::{ChannelBinding, SCRAM_SHA_256, ScramSha256};
use postgres_protocol::message::frontend;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// Connects and authenticates; the socket has been read up to the first ReadyForQuery.
pub async fn login(address: SocketAddr) -> TcpStream {
    let mut socket = TcpStream::connect(address).await.unwrap();
    let mut out = BytesMut::new();
    let parameters = [("user", "demo"), ("database", "orders")];
    frontend::startup_message(parameters, &mut out).unwrap();
    let mut scram = ScramSha256::new(b"demo", ChannelBinding::unsupported());
    let mut inbox = BytesMut::new();
    loop {
        socket.write_all(&out).await.unwrap();
        out.clear();
        let (tag, body) = next(&mut socket, &mut inbox).await;
        match (tag, body.get(3)) {
            (b'R', Some(10)) => {
                frontend::sasl_initial_response(SCRAM_SHA_256, scram.message(), &mut out).unwrap();
            }
            (b'R', Some(11)) => {
                scram.update(&body[4..]).unwrap();
                frontend::sasl_response(scram.message(), &mut out).unwrap();
            }
            (b'R', Some(12)) => scram.finish(&body[4..]).unwrap(),
            (b'Z', _) => return socket,
            (b'E', _) => panic!("refused: {}", String::from_utf8_lossy(&body)),
            _ => {}
        }
    }
}

async fn next(socket: &mut TcpStream, inbox: &mut BytesMut) -> (u8, Vec<u8>) {
    loop {
        if let Some(frame) = Frame::first(inbox, 1 << 20).unwrap() {
            let (tag, body, length) = (frame.tag, frame.body.to_vec(), frame.raw.len());
            let _taken = inbox.split_to(length);
            return (tag, body);
        }
        let read = socket.read_buf(inbox).await.unwrap();
        assert!(read > 0, "the entry closed the connection");
    }
}

//! Sockets of the event loop.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use link::io;
use tokio::io::AsyncReadExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::timeout;

const CHUNK_BYTES: usize = 1 << 20;

async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (opened, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    (opened.unwrap(), accepted.unwrap().0)
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}

// Bytes that only the channel holds are lost if the process ends.
#[test]
fn finishes_after_the_peer_has_been_sent_all_bytes() {
    run(async {
        let (socket, mut peer) = pair().await;
        let (events, _reported) = mpsc::channel(10);
        let mut handle = io::spawn(socket, BytesMut::new(), events, |event| event);
        handle.send(Bytes::from(vec![0; 32 * CHUNK_BYTES]), |_| {});
        let mut finish = std::pin::pin!(handle.finish());
        let early = timeout(Duration::from_millis(300), &mut finish).await;
        assert!(early.is_err(), "finished while the peer read nothing");
        let mut received = Vec::new();
        let (read, ()) = tokio::join!(peer.read_to_end(&mut received), finish);
        assert_eq!(read.unwrap(), 32 * CHUNK_BYTES);
    });
}

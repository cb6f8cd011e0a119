//! Sockets of the event loop.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use link::io::{self, Event};
use tokio::io::AsyncReadExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::timeout;

const CHUNK_BYTES: usize = 1 << 20;
/// More chunks than socket buffers and the channel to the writer task hold.
const CHUNK_COUNT: usize = 64;

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

// While reading is paused only the writer notices that the peer has gone. Without a report the
// owner would keep the connection and its backlog for good.
#[test]
fn reports_a_lost_peer_while_reading_is_paused() {
    run(async {
        let (socket, peer) = pair().await;
        let (events, mut reported) = mpsc::channel(10);
        let mut handle = io::spawn(socket, BytesMut::new(), events.clone(), |event| event);
        handle.pause();
        for _ in 0..CHUNK_COUNT {
            handle.send(Bytes::from(vec![0; CHUNK_BYTES]), |out| {
                io::notify_when_writable(out, events.clone(), Event::Writable);
            });
        }
        let mut on_writable = async |limit| {
            let event = timeout(limit, reported.recv()).await;
            let is_writable = matches!(event, Ok(Some(Event::Writable)));
            if is_writable {
                handle.on_writable(|out| {
                    io::notify_when_writable(out, events.clone(), Event::Writable);
                });
            }
            (is_writable, handle.backlog_bytes())
        };
        while on_writable(Duration::from_millis(200)).await.0 {}
        drop(peer);
        let (is_reported, backlog_bytes) = on_writable(Duration::from_secs(5)).await;
        assert!(is_reported, "{backlog_bytes} bytes are kept");
        assert_eq!(backlog_bytes, 0);
    });
}

// Bytes that only the channel holds are lost if the process ends.
#[test]
fn finishes_after_the_peer_has_been_sent_all_bytes() {
    run(async {
        let (socket, mut peer) = pair().await;
        let (events, _reported) = mpsc::channel(10);
        let mut handle = io::spawn(socket, BytesMut::new(), events, |event| event);
        handle.send(Bytes::from(vec![0; 32 * CHUNK_BYTES]), |_| {});
        let mut close = std::pin::pin!(handle.close());
        let early = timeout(Duration::from_millis(300), &mut close).await;
        assert!(early.is_err(), "finished while the peer read nothing");
        let mut received = Vec::new();
        let (read, ()) = tokio::join!(peer.read_to_end(&mut received), close);
        assert_eq!(read.unwrap(), 32 * CHUNK_BYTES);
    });
}

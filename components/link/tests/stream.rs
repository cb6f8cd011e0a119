//! Guards the transport between processes: messages of any size arrive whole and in order, and
//! invalid input of a peer ends only its own connection.

use std::net::SocketAddr;

use link::Event;
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use wire::{Down, Up};

fn renewal(seq: u64) -> Up {
    Up::Renew {
        seq,
        age_ms: 0,
        confirmed: 0,
        revision: 0,
        demand: vec![],
        long: vec![],
        health: vec![],
        announcements: vec![],
    }
}

/// Starts a listener whose streams answer each renewal with a catalog of `catalog_bytes`.
async fn start(catalog_bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(link::listen(listener, move |path, _, stream| {
        assert_eq!(path, link::ENTRY_PATH);
        let (replies, outgoing) = mpsc::channel(16);
        let (events, mut incoming) = mpsc::channel(16);
        spawn_local(stream.run(outgoing, events, |event: Event<Up>| event));
        spawn_local(async move {
            while let Some(Event::Message(Up::Renew { seq, .. })) = incoming.recv().await {
                let catalog = vec![7; catalog_bytes].into();
                let _result = replies
                    .send(Down::Snapshot {
                        revision: seq,
                        catalog,
                    })
                    .await;
            }
        });
    }));
    address
}

#[tokio::test(flavor = "current_thread")]
async fn large_messages_arrive_whole_and_in_order() {
    const CATALOG_BYTES: usize = 4 << 20;
    LocalSet::new()
        .run_until(async {
            let address = start(CATALOG_BYTES).await;
            let stream = link::dial(address, link::ENTRY_PATH).await.unwrap();
            let (requests, outgoing) = mpsc::channel(16);
            let (events, mut incoming) = mpsc::channel(16);
            spawn_local(stream.run(outgoing, events, |event: Event<Down>| event));
            for seq in 0..5 {
                requests.send(renewal(seq)).await.unwrap();
            }
            for seq in 0..5 {
                let Some(Event::Message(Down::Snapshot { revision, catalog })) =
                    incoming.recv().await
                else {
                    panic!("no snapshot for renewal {seq}");
                };
                assert_eq!((revision, catalog.len()), (seq, CATALOG_BYTES));
            }
            drop(requests);
            assert!(matches!(incoming.recv().await, Some(Event::Closed(_))));
        })
        .await;
}

#[tokio::test(flavor = "current_thread")]
async fn random_bytes_do_not_disturb_other_streams() {
    LocalSet::new()
        .run_until(async {
            let address = start(8).await;
            let mut hostile = TcpStream::connect(address).await.unwrap();
            hostile.write_all(&[0xA5; 4096]).await.unwrap();
            let stream = link::dial(address, link::ENTRY_PATH).await.unwrap();
            let (requests, outgoing) = mpsc::channel(16);
            let (events, mut incoming) = mpsc::channel(16);
            spawn_local(stream.run(outgoing, events, |event: Event<Down>| event));
            requests.send(renewal(1)).await.unwrap();
            assert!(matches!(
                incoming.recv().await,
                Some(Event::Message(Down::Snapshot { .. }))
            ));
        })
        .await;
}

#[tokio::test(flavor = "current_thread")]
async fn a_failed_dial_names_the_address() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = LocalSet::new()
        .run_until(link::dial(address, link::PEER_PATH))
        .await
        .unwrap_err();
    assert!(
        format!("{error:#}").contains(&address.to_string()),
        "{error:#}"
    );
}

//! Streams that other processes open.

use cluster::peers;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::event::{Event, StreamId};
use crate::rate;

/// Length of the queue of outgoing messages of an entry's stream.
const ENTRY_QUEUE_LEN: usize = 1024;

/// Accepts streams of coordinators and entries.
pub fn accept(listener: TcpListener, events: mpsc::Sender<Event>) {
    spawn_local(link::listen(listener, move |path, number, stream| {
        let events = events.clone();
        match path {
            link::PEER_PATH => {
                spawn_local(peers::receive(stream, events));
            }
            link::ENTRY_PATH => {
                let id = StreamId(number);
                let (sender, outgoing) = mpsc::channel(ENTRY_QUEUE_LEN);
                spawn_local(async move {
                    if events.send(Event::EntryOpened(id, sender)).await.is_ok() {
                        let to_event = move |event| Event::Entry(id, event);
                        stream.run(outgoing, events, to_event).await;
                    }
                });
            }
            link::RATE_PATH => {
                spawn_local(rate::receive(stream, StreamId(number), events));
            }
            _ => {}
        }
    }));
}

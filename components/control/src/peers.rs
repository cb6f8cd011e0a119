//! Streams to the other control instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use tokio::task::spawn_local;
use types::Name;

use crate::convert;
use crate::event::Event;

/// Delay before the next dial of an instance.
const REDIAL_DELAY: Duration = Duration::from_millis(100);
/// Capacity of the queue to an instance in messages. Further ones are dropped; the consensus
/// protocol repeats them.
const PEER_QUEUE_LEN: usize = 1024;

#[derive(Debug)]
enum State {
    /// Not connected; the next dial is due at this instant.
    Down(Instant),
    Dialing,
    Up(mpsc::Sender<wire::Peer>),
}

#[derive(Debug)]
struct Stream {
    address: SocketAddr,
    state: State,
}

/// Streams to the other control instances, by name.
#[derive(Debug)]
pub struct Peers {
    own_name: Name,
    streams: BTreeMap<Name, Stream>,
    events: mpsc::Sender<Event>,
}

impl Peers {
    #[must_use]
    pub fn new(own_name: Name, events: mpsc::Sender<Event>) -> Self {
        Self {
            own_name,
            streams: BTreeMap::new(),
            events,
        }
    }

    /// Sets the instances to keep streams to. Streams to all others are dropped.
    pub fn set_members<'a>(
        &mut self,
        now: Instant,
        members: impl Iterator<Item = (&'a Name, SocketAddr)>,
    ) {
        let mut wanted = BTreeMap::new();
        for (name, address) in members.filter(|(name, _)| **name != self.own_name) {
            let known = self
                .streams
                .remove(name)
                .filter(|stream| stream.address == address);
            let stream = known.unwrap_or(Stream {
                address,
                state: State::Down(now),
            });
            wanted.insert(name.clone(), stream);
        }
        self.streams = wanted;
    }

    /// When a dial is due next.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        let due = self
            .streams
            .values()
            .filter_map(|stream| match stream.state {
                State::Down(at) => Some(at),
                State::Dialing | State::Up(_) => None,
            });
        due.min()
    }

    /// Starts the dials that are due.
    pub fn on_tick(&mut self, now: Instant) {
        for (name, stream) in &mut self.streams {
            if !matches!(stream.state, State::Down(at) if at <= now) {
                continue;
            }
            stream.state = State::Dialing;
            spawn_local(dial(name.clone(), stream.address, self.events.clone()));
        }
    }

    /// Records an opened stream and sends the introduction as its first message.
    pub fn on_opened(
        &mut self,
        name: &Name,
        sender: mpsc::Sender<wire::Peer>,
        hello: &convert::Hello,
    ) {
        if let Some(stream) = self.streams.get_mut(name) {
            let _full = sender.try_send(convert::hello(hello));
            stream.state = State::Up(sender);
        }
    }

    /// Schedules the next dial after a failed dial or the end of a stream.
    pub fn on_closed(&mut self, now: Instant, name: &Name) {
        if let Some(stream) = self.streams.get_mut(name) {
            stream.state = State::Down(now + REDIAL_DELAY);
        }
    }

    /// Whether every stream is open, so that this instance has introduced itself to all others.
    #[must_use]
    pub fn all_open(&self) -> bool {
        let mut streams = self.streams.values();
        streams.all(|stream| matches!(stream.state, State::Up(_)))
    }

    /// Sends a message, or drops it if the stream is not open or its queue is full.
    pub fn send(&self, name: &Name, message: wire::Peer) {
        if let Some(Stream {
            state: State::Up(sender),
            ..
        }) = self.streams.get(name)
        {
            let _dropped = sender.try_send(message);
        }
    }

    /// Sends this instance's introduction on all open streams.
    pub fn send_hello(&self, hello: &convert::Hello) {
        for name in self.streams.keys() {
            self.send(name, convert::hello(hello));
        }
    }
}

async fn dial(name: Name, address: SocketAddr, events: mpsc::Sender<Event>) {
    let Ok(stream) = link::dial(address, link::PEER_PATH).await else {
        let _ended = events.send(Event::PeerClosed(name)).await;
        return;
    };
    let (sender, outgoing) = mpsc::channel(PEER_QUEUE_LEN);
    if events
        .send(Event::PeerOpened(name.clone(), sender))
        .await
        .is_err()
    {
        return;
    }
    // The other instance sends its messages on the stream that it opens itself.
    let wrap = move |event: link::Event<wire::Peer>| match event {
        link::Event::Message(message) => Event::PeerMessage(message),
        link::Event::Closed(_) => Event::PeerClosed(name.clone()),
    };
    stream.run(outgoing, events, wrap).await;
}

//! Streams to the other control instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use tokio::task::spawn_local;
use types::Name;

use crate::convert;
use crate::event::Event;

/// Pause between two dials of an instance.
const RETRY: Duration = Duration::from_millis(100);
/// Messages that wait for a stream; further ones are dropped, as the log repeats them.
const OUT: usize = 1024;

#[derive(Debug)]
enum State {
    Down(Instant),
    Dialing,
    Up(mpsc::Sender<wire::Peer>),
}

#[derive(Debug)]
struct Stream {
    address: SocketAddr,
    state: State,
}

/// Streams by instance.
#[derive(Debug)]
pub struct Peers {
    me: Name,
    streams: BTreeMap<Name, Stream>,
    events: mpsc::Sender<Event>,
}

impl Peers {
    /// No streams yet.
    #[must_use]
    pub fn new(me: Name, events: mpsc::Sender<Event>) -> Self {
        Self {
            me,
            streams: BTreeMap::new(),
            events,
        }
    }

    /// Keeps streams to these instances, and to no others.
    pub fn keep<'a>(
        &mut self,
        now: Instant,
        members: impl Iterator<Item = (&'a Name, SocketAddr)>,
    ) {
        let mut wanted = BTreeMap::new();
        for (name, address) in members.filter(|(name, _)| **name != self.me) {
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

    /// A dial succeeded; the instance is introduced first.
    pub fn on_open(&mut self, name: &Name, out: mpsc::Sender<wire::Peer>, hello: &convert::Hello) {
        if let Some(stream) = self.streams.get_mut(name) {
            let _full = out.try_send(convert::hello(hello));
            stream.state = State::Up(out);
        }
    }

    /// A dial failed or a stream ended.
    pub fn on_closed(&mut self, now: Instant, name: &Name) {
        if let Some(stream) = self.streams.get_mut(name) {
            stream.state = State::Down(now + RETRY);
        }
    }

    /// Whether every stream is open, so that every instance was introduced to.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let mut streams = self.streams.values();
        streams.all(|stream| matches!(stream.state, State::Up(_)))
    }

    /// Sends a message, or drops it if the stream is not open.
    pub fn send(&self, name: &Name, message: wire::Peer) {
        if let Some(Stream {
            state: State::Up(out),
            ..
        }) = self.streams.get(name)
        {
            let _dropped = out.try_send(message);
        }
    }

    /// Introduces this instance again to all.
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
    let (out, outgoing) = mpsc::channel(OUT);
    if events
        .send(Event::PeerOpen(name.clone(), out))
        .await
        .is_err()
    {
        return;
    }
    // The other side sends on the stream that it opens itself.
    let wrap = move |event: link::Event<wire::Peer>| match event {
        link::Event::Message(message) => Event::Peer(message),
        link::Event::Closed(_) => Event::PeerClosed(name.clone()),
    };
    stream.run(outgoing, events, wrap).await;
}

//! Streams to other instances, by address: an instance that was found through a seed has no name
//! before it has introduced itself.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Pause between two dials of an address.
const RETRY: Duration = Duration::from_millis(200);
/// Messages that wait for a stream; further ones are dropped, as the log repeats them.
const OUT: usize = 1024;

/// What a stream reports to the loop.
#[derive(Debug)]
pub enum Event {
    /// A stream to an instance is open.
    Open(SocketAddr, mpsc::Sender<wire::Peer>),
    /// A dial failed, or the stream has ended.
    Closed(SocketAddr, anyhow::Error),
    /// A message of an instance.
    Message(wire::Peer),
    /// A stream from an instance has ended; that instance opens the next one.
    Ended,
}

#[derive(Debug)]
enum State {
    Down(Instant),
    Dialing,
    Up(mpsc::Sender<wire::Peer>),
}

/// Streams by address.
#[derive(Debug)]
pub struct Peers<E> {
    me: SocketAddr,
    streams: BTreeMap<SocketAddr, State>,
    events: mpsc::Sender<E>,
}

impl<E: From<Event> + 'static> Peers<E> {
    /// No streams yet; none is opened to the own address.
    #[must_use]
    pub fn new(me: SocketAddr, events: mpsc::Sender<E>) -> Self {
        Self {
            me,
            streams: BTreeMap::new(),
            events,
        }
    }

    /// Keeps streams to these addresses, and to no others.
    pub fn keep(&mut self, now: Instant, addresses: &BTreeSet<SocketAddr>) {
        self.streams
            .retain(|address, _| addresses.contains(address));
        for address in addresses.iter().filter(|address| **address != self.me) {
            self.streams.entry(*address).or_insert(State::Down(now));
        }
    }

    /// When a dial is due next.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        let due = self.streams.values().filter_map(|state| match state {
            State::Down(at) => Some(*at),
            State::Dialing | State::Up(_) => None,
        });
        due.min()
    }

    /// Starts the dials that are due.
    pub fn on_tick(&mut self, now: Instant) {
        for (address, state) in &mut self.streams {
            if matches!(state, State::Down(at) if *at <= now) {
                *state = State::Dialing;
                spawn_local(dial(*address, self.events.clone()));
            }
        }
    }

    /// A dial succeeded; `first` is sent before anything else.
    pub fn on_open(
        &mut self,
        address: SocketAddr,
        out: mpsc::Sender<wire::Peer>,
        first: wire::Peer,
    ) {
        if let Some(state) = self.streams.get_mut(&address) {
            let _full = out.try_send(first);
            *state = State::Up(out);
        }
    }

    /// A dial failed or a stream ended. True if the stream was open before.
    pub fn on_closed(&mut self, now: Instant, address: SocketAddr) -> bool {
        let Some(state) = self.streams.get_mut(&address) else {
            return false;
        };
        let was_up = matches!(state, State::Up(_));
        *state = State::Down(now + RETRY);
        was_up
    }

    /// Whether streams to all of these addresses are open, the own one aside.
    #[must_use]
    pub fn is_open_to(&self, addresses: &[SocketAddr]) -> bool {
        let is_open = |address: &SocketAddr| {
            *address == self.me || matches!(self.streams.get(address), Some(State::Up(_)))
        };
        addresses.iter().all(is_open)
    }

    /// Sends a message, or drops it if the stream is not open.
    pub fn send(&self, address: SocketAddr, message: wire::Peer) {
        if let Some(State::Up(out)) = self.streams.get(&address) {
            let _dropped = out.try_send(message);
        }
    }

    /// Sends a message on every open stream.
    pub fn send_all(&self, message: &wire::Peer) {
        for address in self.streams.keys() {
            self.send(*address, message.clone());
        }
    }
}

async fn dial<E: From<Event> + 'static>(address: SocketAddr, events: mpsc::Sender<E>) {
    let stream = match link::dial(address, link::PEER_PATH).await {
        Ok(stream) => stream,
        Err(error) => {
            let _ended = events.send(Event::Closed(address, error).into()).await;
            return;
        }
    };
    let (out, outgoing) = mpsc::channel(OUT);
    if events.send(Event::Open(address, out).into()).await.is_err() {
        return;
    }
    // The other side sends on the stream that it opens itself.
    let wrap = move |event: link::Event<wire::Peer>| match event {
        link::Event::Message(message) => Event::Message(message).into(),
        link::Event::Closed(error) => Event::Closed(address, error).into(),
    };
    stream.run(outgoing, events, wrap).await;
}

/// Receives from another instance. Answers go over the stream that this side opens; the sender is
/// kept so that this one stays open.
pub async fn receive<E: From<Event> + 'static>(stream: link::Stream, events: mpsc::Sender<E>) {
    let (keep, outgoing) = mpsc::channel::<wire::Peer>(1);
    let wrap = |event| match event {
        link::Event::Message(message) => Event::Message(message).into(),
        link::Event::Closed(_) => Event::Ended.into(),
    };
    stream.run(outgoing, events, wrap).await;
    drop(keep);
}

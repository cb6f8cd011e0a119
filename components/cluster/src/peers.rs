//! Streams to other instances, by address. The name of an instance that was found through a seed is
//! unknown until it has introduced itself.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Delay before an address is dialed again.
const REDIAL_DELAY: Duration = Duration::from_millis(200);
/// Capacity of the queue of messages to a stream. Further ones are dropped, as the replicated log
/// sends them again.
const PEER_QUEUE_LEN: usize = 1024;

/// Event of a stream, sent to the event loop.
#[derive(Debug)]
pub enum Event {
    /// A stream to this address is open.
    Open(SocketAddr, mpsc::Sender<wire::Peer>),
    /// Connecting to this address failed, or the stream was closed.
    Closed(SocketAddr, anyhow::Error),
    /// An instance sent a message.
    Message(wire::Peer),
    /// A stream that another instance opened was closed; that instance opens it again.
    InboundClosed,
}

#[derive(Debug)]
enum State {
    /// Holds the time of the next attempt to connect.
    Down(Instant),
    Dialing,
    Up(mpsc::Sender<wire::Peer>),
}

/// Streams to other instances, by address.
#[derive(Debug)]
pub struct Peers<E> {
    own_address: SocketAddr,
    streams: BTreeMap<SocketAddr, State>,
    events: mpsc::Sender<E>,
}

impl<E: From<Event> + 'static> Peers<E> {
    /// Creates the set without streams. It never opens a stream to `own_address`.
    #[must_use]
    pub fn new(own_address: SocketAddr, events: mpsc::Sender<E>) -> Self {
        Self {
            own_address,
            streams: BTreeMap::new(),
            events,
        }
    }

    /// Sets the addresses to keep streams to. Streams to other addresses are closed.
    pub fn set_addresses(&mut self, now: Instant, addresses: &BTreeSet<SocketAddr>) {
        self.streams
            .retain(|address, _| addresses.contains(address));
        for address in addresses
            .iter()
            .filter(|address| **address != self.own_address)
        {
            self.streams.entry(*address).or_insert(State::Down(now));
        }
    }

    /// Time at which [`Peers::on_tick`] is due next.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        let dial_times = self.streams.values().filter_map(|state| match state {
            State::Down(retry_at) => Some(*retry_at),
            State::Dialing | State::Up(_) => None,
        });
        dial_times.min()
    }

    /// Starts the attempts to connect that are due.
    pub fn on_tick(&mut self, now: Instant) {
        for (address, state) in &mut self.streams {
            if matches!(state, State::Down(retry_at) if *retry_at <= now) {
                *state = State::Dialing;
                spawn_local(dial(*address, self.events.clone()));
            }
        }
    }

    /// Handles an opened stream and sends `first` on it before any other message.
    pub fn on_open(
        &mut self,
        address: SocketAddr,
        sender: mpsc::Sender<wire::Peer>,
        first: wire::Peer,
    ) {
        if let Some(state) = self.streams.get_mut(&address) {
            let _queue_full = sender.try_send(first);
            *state = State::Up(sender);
        }
    }

    /// Handles a failed attempt to connect or a closed stream. Returns whether the stream was open.
    pub fn on_closed(&mut self, now: Instant, address: SocketAddr) -> bool {
        let Some(state) = self.streams.get_mut(&address) else {
            return false;
        };
        let was_open = matches!(state, State::Up(_));
        *state = State::Down(now + REDIAL_DELAY);
        was_open
    }

    /// Whether streams to all of these addresses are open, except for the own address.
    #[must_use]
    pub fn is_open_to(&self, addresses: &[SocketAddr]) -> bool {
        let is_open = |address: &SocketAddr| {
            *address == self.own_address || matches!(self.streams.get(address), Some(State::Up(_)))
        };
        addresses.iter().all(is_open)
    }

    /// Sends a message. Drops it if the stream is not open or its queue is full.
    pub fn send(&self, address: SocketAddr, message: wire::Peer) {
        if let Some(State::Up(sender)) = self.streams.get(&address) {
            let _dropped = sender.try_send(message);
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
            let _receiver_closed = events.send(Event::Closed(address, error).into()).await;
            return;
        }
    };
    let (sender, outgoing) = mpsc::channel(PEER_QUEUE_LEN);
    if events
        .send(Event::Open(address, sender).into())
        .await
        .is_err()
    {
        return;
    }
    // Messages arrive on the stream that the other side opens; this one is used for sending.
    let into_event = move |event: link::Event<wire::Peer>| match event {
        link::Event::Message(message) => Event::Message(message).into(),
        link::Event::Closed(error) => Event::Closed(address, error).into(),
    };
    stream.run(outgoing, events, into_event).await;
}

/// Receives messages on a stream that another instance opened. Replies are sent on the stream that
/// this side opens. The unused sender is kept, as the stream closes when it is dropped.
pub async fn receive<E: From<Event> + 'static>(stream: link::Stream, events: mpsc::Sender<E>) {
    let (unused_sender, outgoing) = mpsc::channel::<wire::Peer>(1);
    let into_event = |event| match event {
        link::Event::Message(message) => Event::Message(message).into(),
        link::Event::Closed(_) => Event::InboundClosed.into(),
    };
    stream.run(outgoing, events, into_event).await;
    drop(unused_sender);
}

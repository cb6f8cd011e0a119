//! Tasks that own a socket each, and the loop's handle of them.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Chunks that wait for a socket before the loop keeps further ones back.
const OUT_CHUNKS: usize = 32;
/// Free space for one read.
const READ_BYTES: usize = 16 << 10;

/// What a connection reports to the loop.
#[derive(Debug)]
pub enum Event {
    /// Bytes arrived.
    Bytes(BytesMut),
    /// The socket takes bytes again.
    Room,
    /// The peer closed the connection, or it failed.
    Closed,
}

/// Whether the reader goes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Pace {
    Read,
    Wait,
}

/// The loop's end of a connection. Dropping it closes the connection after what was sent.
#[derive(Debug)]
pub struct Handle {
    out: mpsc::Sender<Bytes>,
    pace: mpsc::UnboundedSender<Pace>,
    paused: bool,
    /// Chunks that the channel had no room for. Invariant: empty unless a task waits for room.
    backlog: VecDeque<Bytes>,
    backlog_bytes: usize,
}

/// Starts the tasks of a connection. `wrap` makes an event of the loop.
pub fn spawn<E, W>(socket: TcpStream, read: BytesMut, events: mpsc::Sender<E>, wrap: W) -> Handle
where
    E: 'static,
    W: Fn(Event) -> E + Clone + 'static,
{
    let (reader, writer) = socket.into_split();
    let (out, outgoing) = mpsc::channel(OUT_CHUNKS);
    let (pace, paces) = mpsc::unbounded_channel();
    spawn_local(write(writer, outgoing));
    spawn_local(self::read(reader, read, paces, events, wrap));
    Handle {
        out,
        pace,
        paused: false,
        backlog: VecDeque::new(),
        backlog_bytes: 0,
    }
}

impl Handle {
    /// Sends bytes. False if some must wait for room; `wait` is then called once to start a task
    /// that reports [`Event::Room`].
    pub fn send(&mut self, bytes: Bytes, wait: impl FnOnce(mpsc::Sender<Bytes>)) {
        if bytes.is_empty() {
            return;
        }
        if self.backlog.is_empty() {
            match self.out.try_send(bytes) {
                // A closed channel means that the reader is about to report the end.
                Ok(()) | Err(mpsc::error::TrySendError::Closed(_)) => {}
                Err(mpsc::error::TrySendError::Full(bytes)) => {
                    self.keep(bytes);
                    wait(self.out.clone());
                }
            }
        } else {
            self.keep(bytes);
        }
    }

    fn keep(&mut self, bytes: Bytes) {
        self.backlog_bytes += bytes.len();
        self.backlog.push_back(bytes);
    }

    /// Moves kept bytes on after [`Event::Room`].
    pub fn on_room(&mut self, wait: impl FnOnce(mpsc::Sender<Bytes>)) {
        while let Some(bytes) = self.backlog.pop_front() {
            let length = bytes.len();
            match self.out.try_send(bytes) {
                Ok(()) => self.backlog_bytes -= length,
                Err(mpsc::error::TrySendError::Closed(_)) => {
                    self.backlog.clear();
                    self.backlog_bytes = 0;
                }
                Err(mpsc::error::TrySendError::Full(bytes)) => {
                    self.backlog.push_front(bytes);
                    wait(self.out.clone());
                    return;
                }
            }
        }
    }

    /// Bytes that the socket has not taken yet, beyond what its channel holds.
    #[must_use]
    pub fn backlog(&self) -> usize {
        self.backlog_bytes
    }

    /// Stops reading from the socket, so that its peer is slowed down by the transport.
    pub fn pause(&mut self) {
        if !self.paused {
            self.paused = true;
            let _closed = self.pace.send(Pace::Wait);
        }
    }

    /// Reads again.
    pub fn resume(&mut self) {
        if self.paused {
            self.paused = false;
            let _closed = self.pace.send(Pace::Read);
        }
    }
}

async fn write(mut socket: OwnedWriteHalf, mut outgoing: mpsc::Receiver<Bytes>) {
    while let Some(bytes) = outgoing.recv().await {
        if socket.write_all(&bytes).await.is_err() {
            return;
        }
    }
    let _closed = socket.shutdown().await;
}

async fn read<E, W: Fn(Event) -> E>(
    mut socket: OwnedReadHalf,
    mut buffer: BytesMut,
    mut paces: mpsc::UnboundedReceiver<Pace>,
    events: mpsc::Sender<E>,
    wrap: W,
) {
    if !buffer.is_empty()
        && events
            .send(wrap(Event::Bytes(buffer.split())))
            .await
            .is_err()
    {
        return;
    }
    let mut pace = Pace::Read;
    loop {
        buffer.reserve(READ_BYTES);
        tokio::select! {
            biased;
            next = paces.recv() => match next {
                Some(next) => pace = next,
                // The loop dropped its handle and wants no more events.
                None => return,
            },
            read = socket.read_buf(&mut buffer), if pace == Pace::Read => {
                let event = match read {
                    Ok(1..) => Event::Bytes(buffer.split()),
                    Ok(0) | Err(_) => Event::Closed,
                };
                let closed = matches!(event, Event::Closed);
                if events.send(wrap(event)).await.is_err() || closed {
                    return;
                }
            }
        }
    }
}

/// Starts a task that reports room in a connection's channel.
pub fn wait_for_room<E: 'static>(out: mpsc::Sender<Bytes>, events: mpsc::Sender<E>, room: E) {
    spawn_local(async move {
        // The permit is given back at once: the loop is the only sender.
        let ready = out.reserve().await.is_ok();
        if ready {
            let _ended = events.send(room).await;
        }
    });
}

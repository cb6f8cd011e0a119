//! I/O tasks that own a TCP socket, and the handle through which the event loop uses it.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout;

/// Maximum number of chunks in the channel to the writer task; further ones go to the backlog.
const MAX_QUEUED_CHUNKS: usize = 32;
/// Buffer space reserved for one read.
const READ_BYTES: usize = 16 << 10;
/// Time for the peer to close its end after the last byte is written.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// An event that a connection reports to the event loop.
#[derive(Debug)]
pub enum Event {
    /// Bytes arrived.
    Bytes(BytesMut),
    /// The channel to the writer task has room again.
    Writable,
    /// Reading has ended on request: no more bytes follow.
    ReadEnded,
    /// The peer closed the connection, or it failed.
    Closed,
}

/// Whether the reader task reads from the socket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mode {
    Read,
    Pause,
    /// Ends the reports of bytes.
    End,
    /// Reads and discards until the peer closes the connection.
    Discard,
}

/// The event loop's end of a connection. Dropping it closes the connection once the chunks in the
/// channel are written; the backlog is lost.
#[derive(Debug)]
pub struct Handle {
    out: mpsc::Sender<Bytes>,
    mode: mpsc::UnboundedSender<Mode>,
    paused: bool,
    read_ended: bool,
    /// Chunks that did not fit into the channel. Invariant: empty unless a task waits for room.
    backlog: VecDeque<Bytes>,
    backlog_bytes: usize,
    /// Ends once the channel is closed and its chunks are written, or the connection has failed.
    writer: JoinHandle<()>,
    /// Ends once the peer has closed the connection, or the handle is dropped.
    reader: JoinHandle<()>,
}

/// Starts the reader and writer tasks of a connection. `received` holds bytes that were read from
/// `socket` before; `wrap` converts an event to one of the event loop.
pub fn spawn<E, W>(
    socket: TcpStream,
    received: BytesMut,
    events: mpsc::Sender<E>,
    wrap: W,
) -> Handle
where
    E: 'static,
    W: Fn(Event) -> E + Clone + 'static,
{
    let (reader, writer) = socket.into_split();
    let (out, outgoing) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let (mode, modes) = mpsc::unbounded_channel();
    let writer = spawn_local(write(writer, outgoing));
    let reader = spawn_local(self::read(reader, received, modes, events, wrap));
    Handle {
        out,
        mode,
        paused: false,
        read_ended: false,
        backlog: VecDeque::new(),
        backlog_bytes: 0,
        writer,
        reader,
    }
}

impl Handle {
    /// Sends bytes. If the channel is full, they go to the backlog, and if the backlog was empty,
    /// `wait` is called to start a task that reports [`Event::Writable`].
    pub fn send(&mut self, bytes: Bytes, wait: impl FnOnce(mpsc::Sender<Bytes>)) {
        if bytes.is_empty() {
            return;
        }
        if self.backlog.is_empty() {
            match self.out.try_send(bytes) {
                // A closed channel means that the reader is about to report the end of the
                // connection.
                Ok(()) | Err(mpsc::error::TrySendError::Closed(_)) => {}
                Err(mpsc::error::TrySendError::Full(bytes)) => {
                    self.push_backlog(bytes);
                    wait(self.out.clone());
                }
            }
        } else {
            self.push_backlog(bytes);
        }
    }

    fn push_backlog(&mut self, bytes: Bytes) {
        self.backlog_bytes += bytes.len();
        self.backlog.push_back(bytes);
    }

    /// Moves the backlog to the channel after [`Event::Writable`]; calls `wait` if some of it is left.
    pub fn on_writable(&mut self, wait: impl FnOnce(mpsc::Sender<Bytes>)) {
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

    /// Size of the backlog in bytes, without the chunks in the channel.
    #[must_use]
    pub fn backlog_bytes(&self) -> usize {
        self.backlog_bytes
    }

    /// Closes the connection, and waits until the chunks in the channel are written or the
    /// connection has failed. The backlog is lost.
    ///
    /// Input that arrives meanwhile is discarded. The kernel resets a connection that is closed with
    /// unread input, and then drops the bytes that the peer has not received yet.
    pub async fn close(self) {
        let Self {
            out,
            mode,
            writer,
            reader,
            ..
        } = self;
        drop(out);
        let _ended = writer.await;
        let _closed = mode.send(Mode::Discard);
        let _elapsed = timeout(LINGER_TIMEOUT, reader).await;
    }

    /// Ends reading from the socket. [`Event::ReadEnded`] follows the bytes that were read.
    pub fn end_reading(&mut self) {
        if !self.read_ended {
            self.read_ended = true;
            let _closed = self.mode.send(Mode::End);
        }
    }

    /// Stops reading from the socket, so that TCP flow control slows down the peer.
    pub fn pause(&mut self) {
        if !self.paused && !self.read_ended {
            self.paused = true;
            let _closed = self.mode.send(Mode::Pause);
        }
    }

    /// Resumes reading from the socket.
    pub fn resume(&mut self) {
        if self.paused && !self.read_ended {
            self.paused = false;
            let _closed = self.mode.send(Mode::Read);
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
    mut modes: mpsc::UnboundedReceiver<Mode>,
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
    let mut mode = Mode::Read;
    loop {
        buffer.reserve(READ_BYTES);
        tokio::select! {
            biased;
            next = modes.recv() => match next {
                Some(Mode::Discard) => return discard(socket, modes).await,
                Some(next) => {
                    mode = next;
                    if mode == Mode::End && events.send(wrap(Event::ReadEnded)).await.is_err() {
                        return;
                    }
                }
                // The event loop dropped its handle and expects no more events.
                None => return,
            },
            read = socket.read_buf(&mut buffer), if mode == Mode::Read => {
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

/// Discards input until the peer closes the connection, or the sender of `modes` is dropped.
async fn discard(mut socket: OwnedReadHalf, mut modes: mpsc::UnboundedReceiver<Mode>) {
    let mut buffer = [0; 4 << 10];
    loop {
        tokio::select! {
            biased;
            _ = modes.recv() => return,
            read = socket.read(&mut buffer) => {
                if !matches!(read, Ok(1..)) {
                    return;
                }
            }
        }
    }
}

/// Starts a task that sends `event`, which holds [`Event::Writable`], once the channel `out` of a
/// connection has room, or the writer task has ended. While reading is paused nothing else reports
/// that the connection has failed.
pub fn notify_when_writable<E: 'static>(
    out: mpsc::Sender<Bytes>,
    events: mpsc::Sender<E>,
    event: E,
) {
    spawn_local(async move {
        // The permit is released immediately; the event loop is the only sender, so the room
        // remains.
        drop(out.reserve().await);
        let _result = events.send(event).await;
    });
}

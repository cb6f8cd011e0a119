//! Opens, accepts and runs message streams.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use bytes::{Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use http::{Request, Response};
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::frame::Outgoing;
use crate::{frame, socket};

/// Timeout for opening a stream: TCP connection, HTTP/2 handshake and response.
const DIAL_TIMEOUT: Duration = Duration::from_millis(300);
/// A connection fails once its peer has acknowledged no bytes and no keep-alive probe for this
/// long.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Flow control window of a stream and of a connection. Larger than the largest message, so that
/// flow control does not stop a sender in the middle of one.
const WINDOW_BYTES: u32 = 16 << 20;
/// Maximum number of streams that a peer may open on one connection. [`dial`] opens one.
const MAX_STREAMS: u32 = 4;

/// An event that a running stream reports.
#[derive(Debug)]
pub enum Event<I> {
    /// A message arrived.
    Message(I),
    /// The stream has ended; no further event follows.
    Closed(anyhow::Error),
}

/// A bidirectional stream of messages.
#[derive(Debug)]
pub struct Stream {
    send: SendStream<Bytes>,
    receive: RecvStream,
}

/// Opens a stream to the process at `address`.
///
/// # Errors
/// Fails if the process does not answer in time or rejects the stream.
pub async fn dial(address: SocketAddr, path: &str) -> Result<Stream> {
    let result = timeout(DIAL_TIMEOUT, open(address, path)).await;
    result
        .with_context(|| format!("dial {address}: timed out"))?
        .with_context(|| format!("dial {address}"))
}

async fn open(address: SocketAddr, path: &str) -> Result<Stream> {
    let socket = TcpStream::connect(address).await.context("connect")?;
    socket::detect_silence(&socket, SILENCE_TIMEOUT).context("set socket options")?;
    let (requests, connection) = h2::client::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake::<_, Bytes>(socket)
        .await
        .context("handshake")?;
    spawn_local(async move {
        // The end of the connection is reported by its stream.
        let _result = connection.await;
    });
    let mut requests = requests.ready().await.context("stream")?;
    let request = Request::post(format!("http://{address}{path}"))
        .body(())
        .context("request")?;
    let (response, send) = requests.send_request(request, false).context("request")?;
    let response = response.await.context("response")?;
    if !response.status().is_success() {
        bail!("rejected with status {}", response.status());
    }
    Ok(Stream {
        send,
        receive: response.into_body(),
    })
}

/// Accepts streams until the future is dropped. `accept` is called with the path of each stream, a
/// number that is unique within this call, and the stream, and starts a task for it. Dropping the
/// stream closes it.
pub async fn listen(listener: TcpListener, accept: impl Fn(&str, u64, Stream) + Clone + 'static) {
    for connection in 0.. {
        let Ok((socket, _)) = listener.accept().await else {
            // Out of file descriptors: connections that end will free some.
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        let accept = accept.clone();
        let first_number = connection * u64::from(MAX_STREAMS);
        spawn_local(async move {
            // A failed connection ends its streams, which report the error.
            let _result = serve(socket, first_number, accept).await;
        });
    }
}

async fn serve(
    socket: TcpStream,
    first_number: u64,
    accept: impl Fn(&str, u64, Stream),
) -> Result<()> {
    socket::detect_silence(&socket, SILENCE_TIMEOUT)?;
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS);
    let handshake = timeout(DIAL_TIMEOUT, builder.handshake::<_, Bytes>(socket));
    let mut connection = handshake.await.context("handshake timeout")??;
    // Processes of this system open one stream on a connection.
    let mut numbers = first_number..first_number + u64::from(MAX_STREAMS);
    while let Some(request) = connection.accept().await {
        let Some(number) = numbers.next() else {
            bail!("more than {MAX_STREAMS} streams on a connection");
        };
        let (request, mut respond) = request?;
        let send = respond.send_response(Response::new(()), false)?;
        let path = request.uri().path().to_owned();
        let stream = Stream {
            send,
            receive: request.into_body(),
        };
        accept(&path, number, stream);
    }
    Ok(())
}

impl Stream {
    /// Runs the stream until it ends: sends the messages of `outgoing`, and reports received ones
    /// to the event loop as events that `wrap` makes. Also ends when `outgoing` is closed.
    pub async fn run<I, O, E>(
        mut self,
        mut outgoing: mpsc::Receiver<O>,
        events: mpsc::Sender<E>,
        wrap: impl Fn(Event<I>) -> E,
    ) where
        I: DeserializeOwned,
        O: Outgoing,
    {
        let mut buffer = BytesMut::new();
        let error = loop {
            tokio::select! {
                message = outgoing.recv() => {
                    let Some(message) = message else {
                        break anyhow::anyhow!("closed by this process");
                    };
                    if let Err(error) = write(&mut self.send, &message).await {
                        break error.context("send");
                    }
                }
                read = read(&mut self.receive, &mut buffer) => {
                    if let Err(error) = read {
                        break error.context("receive");
                    }
                    match deliver(&mut buffer, &events, &wrap).await {
                        Ok(true) => {}
                        Ok(false) => return,
                        Err(error) => break error.context("decode"),
                    }
                }
            }
        };
        // The event loop may have ended already.
        let _result = events.send(wrap(Event::Closed(error))).await;
    }
}

/// Sends the complete messages in `buffer` to the event loop. Returns false if the loop has ended.
async fn deliver<I: DeserializeOwned, E>(
    buffer: &mut BytesMut,
    events: &mpsc::Sender<E>,
    wrap: &impl Fn(Event<I>) -> E,
) -> Result<bool> {
    while let Some(message) = frame::decode_next(buffer)? {
        if events.send(wrap(Event::Message(message))).await.is_err() {
            return Ok(false);
        }
    }
    Ok(true)
}

async fn write<O: Outgoing>(send: &mut SendStream<Bytes>, message: &O) -> Result<()> {
    let mut bytes = message.frame()?;
    while !bytes.is_empty() {
        send.reserve_capacity(bytes.len());
        let capacity = poll_fn(|context| send.poll_capacity(context)).await;
        let capacity = capacity.context("stream ended")??;
        let chunk = bytes.split_to(capacity.min(bytes.len()));
        send.send_data(chunk, false)?;
    }
    Ok(())
}

async fn read(receive: &mut RecvStream, buffer: &mut BytesMut) -> Result<()> {
    let chunk = receive.data().await.context("stream ended")??;
    buffer.extend_from_slice(&chunk);
    receive.flow_control().release_capacity(chunk.len())?;
    Ok(())
}

//! Opens connections to targets.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use pg::Frame;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Largest message accepted from a target during startup.
const MAX_STARTUP_BYTES: usize = 64 << 10;
/// Body of an AuthenticationOk message.
const AUTHENTICATION_OK_BODY: &[u8] = &[0, 0, 0, 0];

/// A connection that is ready for statements.
#[derive(Debug)]
pub struct Opened {
    pub socket: TcpStream,
    /// Process id for CancelRequest.
    pub process: i32,
    /// Secret for CancelRequest.
    pub secret: i32,
    /// Parameters that the target reported.
    pub parameters: Vec<(String, String)>,
}

/// Why a connection could not be opened. No statement has run on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No answer within the time limit.
    Timeout,
    /// The connection attempt was refused, or the connection was closed during startup.
    Closed,
    /// The target has no free connection.
    Full,
    /// The target is starting or shutting down.
    NotReady,
    /// The target demands an authentication that is not configured, or violates the protocol.
    Refused,
}

/// Opens a connection within `limit`.
///
/// # Errors
/// Returns the reason of the failure, as counted in `target_failures`.
pub async fn open(
    address: SocketAddr,
    user: &str,
    database: &str,
    limit: Duration,
) -> Result<Opened, Failure> {
    timeout(limit, connect(address, user, database))
        .await
        .unwrap_or(Err(Failure::Timeout))
}

async fn connect(address: SocketAddr, user: &str, database: &str) -> Result<Opened, Failure> {
    let mut socket = TcpStream::connect(address)
        .await
        .map_err(|_| Failure::Closed)?;
    socket.set_nodelay(true).map_err(|_| Failure::Closed)?;
    let mut out = BytesMut::new();
    let parameters = [
        ("user", user),
        ("database", database),
        ("application_name", "limpettally"),
        ("client_encoding", "UTF8"),
    ];
    pg::startup_message(&mut out, &parameters).map_err(|_| Failure::Refused)?;
    socket.write_all(&out).await.map_err(|_| Failure::Closed)?;

    let mut opened = Opened {
        socket,
        process: 0,
        secret: 0,
        parameters: Vec::new(),
    };
    let mut buffer = BytesMut::with_capacity(1024);
    loop {
        while let Some(frame) =
            Frame::first(&buffer, MAX_STARTUP_BYTES).map_err(|_| Failure::Refused)?
        {
            let ready = opened.handle_message(frame)?;
            let length = frame.raw.len();
            buffer.advance(length);
            if ready {
                return Ok(opened);
            }
        }
        let read = opened
            .socket
            .read_buf(&mut buffer)
            .await
            .map_err(|_| Failure::Closed)?;
        if read == 0 {
            return Err(Failure::Closed);
        }
    }
}

impl Opened {
    /// Handles a startup message. True once the target is ready.
    fn handle_message(&mut self, frame: Frame<'_>) -> Result<bool, Failure> {
        match frame.tag {
            b'R' if frame.body == AUTHENTICATION_OK_BODY => {}
            b'S' => {
                let mut strings = frame
                    .body
                    .split(|byte| *byte == 0)
                    .map(String::from_utf8_lossy);
                if let (Some(name), Some(value)) = (strings.next(), strings.next()) {
                    self.parameters
                        .push((name.into_owned(), value.into_owned()));
                }
            }
            b'K' => {
                let (process, rest) = frame
                    .body
                    .split_first_chunk::<4>()
                    .ok_or(Failure::Refused)?;
                let secret = rest.first_chunk::<4>().ok_or(Failure::Refused)?;
                self.process = i32::from_be_bytes(*process);
                self.secret = i32::from_be_bytes(*secret);
            }
            b'N' => {}
            b'Z' => return Ok(true),
            b'E' => return Err(Failure::from_error(&frame)),
            _ => return Err(Failure::Refused),
        }
        Ok(false)
    }
}

impl Failure {
    fn from_error(frame: &Frame<'_>) -> Self {
        match frame.error_field(b'C') {
            Some(b"53300") => Self::Full,
            Some(b"57P03" | b"57P01" | b"57P02") => Self::NotReady,
            _ => Self::Refused,
        }
    }

    /// Reason in the counter `target_failures`.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Timeout => "timeout",
            Self::Closed => "closed",
            Self::Full => "full",
            Self::NotReady => "not_ready",
            Self::Refused => "refused",
        }
    }
}

/// Sends a CancelRequest and waits until the target closes the connection, after which the request
/// can no longer hit a later statement.
pub async fn cancel(address: SocketAddr, process: i32, secret: i32, limit: Duration) {
    let request = async {
        let mut socket = TcpStream::connect(address).await.ok()?;
        let mut out = BytesMut::new();
        pg::cancel_request(&mut out, process, secret);
        socket.write_all(&out).await.ok()?;
        let mut rest = [0; 16];
        while socket.read(&mut rest).await.ok()? > 0 {}
        Some(())
    };
    // A failed cancel request leaves the statement running, which the protocol allows.
    let _ended = timeout(limit, request).await;
}

//! Socket options of connections between processes.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Number of unanswered keep-alive probes after which the connection fails.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// Disables Nagle's algorithm, and makes the connection fail once its peer has been silent for
/// about `timeout`: without these options it would hang for as long as a network partition lasts.
///
/// # Errors
/// Fails if the operating system rejects an option.
pub fn detect_silence(socket: &TcpStream, timeout: Duration) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let interval = (timeout / (MAX_UNANSWERED_PROBES + 1)).max(Duration::from_secs(1));
    let keepalive = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(MAX_UNANSWERED_PROBES);
    let socket = SockRef::from(socket);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(timeout))
}

//! Options of sockets between processes.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Keep-alive probes without an answer after which the peer counts as gone.
const PROBES: u32 = 2;

/// Sends small messages at once, and makes a connection fail whose peer is silent for about
/// `limit`: without these options it would hang for as long as a partition lasts.
///
/// # Errors
/// Fails if the system refuses an option.
pub fn detect_silence(socket: &TcpStream, limit: Duration) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let interval = (limit / (PROBES + 1)).max(Duration::from_secs(1));
    let probes = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(PROBES);
    let socket = SockRef::from(socket);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(limit))
}

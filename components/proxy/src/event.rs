//! Events of the proxy's loop.

use std::net::SocketAddr;

use link::io;
use slotmap::new_key_type;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

new_key_type! {
    /// A caller's session.
    pub struct SessionKey;
    /// A connection to a server.
    pub struct ConnKey;
}

/// Something that happened outside the loop.
#[derive(Debug)]
pub enum Event {
    /// A caller connected.
    Accepted(TcpStream),
    /// Bytes of a caller, or the end of its connection.
    Session(SessionKey, io::Event),
    /// A connection to a server was opened, or could not be.
    Opened(ConnKey, std::io::Result<TcpStream>),
    /// Bytes of a server, or the end of its connection.
    Conn(ConnKey, io::Event),
    /// A stream to a coordinator was opened, or could not be. The number is that of the dial.
    Dialed(u64, Option<mpsc::Sender<wire::Subscribe>>),
    /// A message of a coordinator, or the end of its stream.
    Coordinator(u64, link::Event<wire::Publish>),
    /// A stream to another entry was opened, or could not be. The number is that of the dial.
    LenderDialed(SocketAddr, u64, Option<mpsc::Sender<wire::Borrow>>),
    /// A message of an entry that lends connections, or the end of its stream.
    Lender(SocketAddr, u64, link::Event<wire::Lend>),
    /// An entry that borrows connections opened a stream with this number.
    Borrower(u64, mpsc::Sender<wire::Lend>),
    /// A message of an entry that borrows connections, or the end of its stream.
    Borrow(u64, link::Event<wire::Borrow>),
    /// A request on the HTTP endpoint.
    Http(observe::http::Request),
    /// The settings file has changed.
    Reload,
    /// SIGTERM or SIGINT.
    Stop,
}

impl From<observe::http::Request> for Event {
    fn from(request: observe::http::Request) -> Self {
        Self::Http(request)
    }
}

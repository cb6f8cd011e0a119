//! Events of the proxy's loop.

use std::net::SocketAddr;

use link::io;
use slotmap::new_key_type;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

new_key_type! {
    /// Identifies a caller's session.
    pub struct SessionKey;
    /// Identifies a connection to a server.
    pub struct ConnKey;
}

/// Input of the loop.
#[derive(Debug)]
pub enum Event {
    /// A caller connected.
    Accepted(TcpStream),
    /// Bytes of a caller, or the end of its connection.
    Session(SessionKey, io::Event),
    /// The last bytes of a caller whose session has ended are written, or its connection has failed.
    CallerFinished,
    /// Result of opening a connection to a server.
    ConnOpened(ConnKey, std::io::Result<TcpStream>),
    /// Bytes of a server, or the end of its connection.
    Conn(ConnKey, io::Event),
    /// Result of dialing a coordinator, with the number of the dial; `None` if it failed.
    CoordinatorDialed(u64, Option<mpsc::Sender<wire::Subscribe>>),
    /// A message of a coordinator, or the end of its stream, with the number of the dial.
    Coordinator(u64, link::Event<wire::Publish>),
    /// Result of dialing a lender, with the number of the dial; `None` if it failed.
    LenderDialed(SocketAddr, u64, Option<mpsc::Sender<wire::Borrow>>),
    /// A message of a lender, or the end of its stream, with the number of the dial.
    Lender(SocketAddr, u64, link::Event<wire::Lend>),
    /// Result of dialing the issuer of rate limit tokens, with the number of the dial; `None` if it
    /// failed.
    IssuerDialed(u64, Option<mpsc::Sender<wire::Claim>>),
    /// A message of the issuer, or the end of its stream, with the number of the dial.
    Issuer(u64, link::Event<wire::Issue>),
    /// A proxy that borrows connections opened the stream with this number.
    BorrowerAccepted(u64, mpsc::Sender<wire::Lend>),
    /// A message of a borrower, or the end of its stream, with the number of the stream.
    Borrower(u64, link::Event<wire::Borrow>),
    /// A request to the HTTP endpoint.
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

//! Events of the entry's event loop.

use slotmap::new_key_type;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use wire::{Down, Up};

use link::io;

use crate::{connect, startup};

new_key_type! {
    /// Identity of a caller's connection, never reused.
    pub struct CallerKey;
    /// Identity of a connection to a target, never reused.
    pub struct ConnKey;
}

#[derive(Debug)]
pub enum Event {
    /// A connection was accepted on the callers' address.
    Accepted(TcpStream),
    /// A connecting caller needs the verifier of its user.
    Login(startup::Login),
    /// The startup of a caller's connection has ended.
    Startup(startup::Outcome),
    /// Socket event of a caller's connection.
    Caller(CallerKey, io::Event),
    /// An attempt to open a connection to a target has ended.
    Opened(ConnKey, Result<Box<connect::Opened>, connect::Failure>),
    /// Socket event of a connection to a target.
    Conn(ConnKey, io::Event),
    /// A cancel connection to a target has closed.
    Cancelled(ConnKey),
    /// A dial to a control instance has ended; identified by its dial id.
    Dialed(u64, Option<mpsc::Sender<Up>>),
    /// Event of the stream to a control instance, with the id of its dial.
    Control(u64, link::Event<Down>),
    /// Request on the HTTP endpoint.
    Http(observe::http::Request),
    /// SIGTERM or SIGINT was received.
    Stop,
}

impl From<observe::http::Request> for Event {
    fn from(request: observe::http::Request) -> Self {
        Self::Http(request)
    }
}

impl From<startup::Login> for Event {
    fn from(login: startup::Login) -> Self {
        Self::Login(login)
    }
}

//! Events of the entry's loop.

use slotmap::new_key_type;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use wire::{Down, Up};

use link::io;

use crate::{connect, startup};

new_key_type! {
    /// Identity of a caller's connection, never used twice.
    pub struct CallerKey;
    /// Identity of a connection to a target, never used twice.
    pub struct ConnKey;
}

/// Something that happened outside the loop.
#[derive(Debug)]
pub enum Event {
    /// A connection arrived on the callers' address.
    Accepted(TcpStream),
    /// A connection wants to authenticate.
    Login(startup::Login),
    /// The start of a connection has ended.
    Start(startup::Outcome),
    /// A caller's connection.
    Caller(CallerKey, io::Event),
    /// An attempt to open a connection to a target has ended.
    Opened(ConnKey, Result<Box<connect::Opened>, connect::Failure>),
    /// A connection to a target.
    Conn(ConnKey, io::Event),
    /// A cancel connection to a target has closed.
    Cancelled(ConnKey),
    /// A dial to a control instance has ended, with its number.
    Dialed(u64, Option<mpsc::Sender<Up>>),
    /// The stream to control, by the number of its dial.
    Control(u64, link::Event<Down>),
    /// A request on the HTTP endpoint.
    Http(observe::http::Request),
    /// SIGTERM or SIGINT.
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
